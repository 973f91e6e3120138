//! A sound client: sends requests on one connection, and reports what each of them got.

use {
    crate::http::{BodyEnd, read_head, read_reply_body},
    std::{
        io::{BufReader, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
};

/// Host of the routes, and the key of the tenant.
pub const HOST: &str = "pule25.example";
pub const KEY: &str = "9dnn2ctnfzs989anu6ws";

/// What a request got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer with this status.
    Answered(u16),
    /// A head with this status, and only a part of the body.
    Cut(u16),
    /// The connection closed without an answer.
    Closed,
    /// No connection came up.
    NotConnected,
}

/// A request.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    /// Further header lines, each with its line end.
    pub headers: &'a str,
    pub body: &'a [u8],
}

/// A connection that is kept for many requests.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects within a second.
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Self { stream, reader })
    }

    /// Sends a request and waits for its answer, at most for its deadline.
    pub fn exchange(&mut self, request: &Request<'_>) -> Outcome {
        self.exchange_body(request).0
    }

    /// Sends a request like [`exchange`](Self::exchange), and returns the body of its answer too.
    pub fn exchange_body(&mut self, request: &Request<'_>) -> (Outcome, String) {
        let limit = Duration::from_millis(request.deadline_ms);
        let _ = self.stream.set_read_timeout(Some(limit));
        let Request {
            method,
            path,
            id,
            deadline_ms,
            headers,
            body,
        } = request;
        let length = match *method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", body.len()),
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nHazelyoke-Request-Id: {id}\r\n\
             Hazelyoke-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{headers}{length}\r\n"
        );
        let sent = self.stream.write_all(head.as_bytes());
        if sent.and_then(|()| self.stream.write_all(body)).is_err() {
            return (Outcome::Closed, String::new());
        }
        let Ok(Some(head)) = read_head(&mut self.reader) else {
            return (Outcome::Closed, String::new());
        };
        let status = head.word(1).parse().unwrap_or(0);
        let (body, end) = read_reply_body(&mut self.reader, &head);
        let outcome = match end {
            BodyEnd::Whole => Outcome::Answered(status),
            BodyEnd::Cut => Outcome::Cut(status),
        };
        (outcome, String::from_utf8_lossy(&body).into_owned())
    }
}

//! Callers that send requests over persistent connections and record what they received.

use {
    super::{fleet::Daemon, stand_in::client},
    rand::{RngExt, rngs::SmallRng},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Longest wait for a reply before a caller gives up; also the deadline that its requests carry.
const REPLY_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Number of requests after which a caller opens a new connection.
const MAX_REQUESTS: u32 = 40;

/// A kind of request; each has a route of its own in the soak's table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Repeatable,
    Guarded,
    Stream,
    Staged,
}

impl Kind {
    pub const ALL: [Kind; 4] = [Kind::Repeatable, Kind::Guarded, Kind::Stream, Kind::Staged];

    pub fn path(self) -> &'static str {
        match self {
            Kind::Repeatable => "/r/",
            Kind::Guarded => "/g/",
            Kind::Stream => "/s/",
            Kind::Staged => "/p/",
        }
    }

    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream | Kind::Staged)
    }
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
#[allow(dead_code, reason = "findings print the daemon by Debug")]
pub struct Outcome {
    pub id: String,
    pub kind: Kind,
    /// Index of the daemon that got the request.
    pub daemon: usize,
    /// `None` if the caller got no complete head.
    pub status: Option<u16>,
    pub stamp: Option<String>,
    pub body: String,
    /// Whether the body is complete according to its framing.
    pub whole: bool,
    /// Whether the caller gave up before the end of the reply.
    pub left: bool,
    /// The stream that the request takes up; `None` if it takes up none.
    pub taken_up: Option<BrokenStream>,
}

/// A stream that broke off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenStream {
    /// Id of the request that brought its first event.
    pub first: String,
    /// Number of the last event that came.
    pub last_event: u64,
}

impl Outcome {
    /// Returns the stream that the caller can take up after this outcome, if it broke off after an event.
    fn broken_stream(&self) -> Option<BrokenStream> {
        let is_broken = self.kind == Kind::Stream && self.status == Some(200) && !self.whole;
        let last_event = event_ids(&self.body).last().copied()?;
        let first = match &self.taken_up {
            Some(stream) => stream.first.clone(),
            None => self.id.clone(),
        };
        (is_broken && !self.left).then_some(BrokenStream { first, last_event })
    }
}

/// Returns the ids of the events in a body.
pub fn event_ids(body: &str) -> Vec<u64> {
    body.lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect()
}

/// The outcomes of all callers' requests, shared by the callers.
pub type Outcomes = Rc<RefCell<Vec<Outcome>>>;

/// One connection, with the bytes that were read but not parsed yet.
struct Connection {
    stream: TcpStream,
    bytes: Vec<u8>,
}

/// A reply, as far as it was read.
struct Answer {
    status: Option<u16>,
    stamp: Option<String>,
    body: Vec<u8>,
    whole: bool,
    /// Whether the connection can carry another request.
    open: bool,
}

impl Connection {
    /// Reads more bytes; returns false at the end of the connection or on an error.
    async fn read_more(&mut self) -> bool {
        let mut buffer = [0; 8 * 1024];
        match self.stream.read(&mut buffer).await {
            Ok(size) if size > 0 => {
                self.bytes.extend_from_slice(&buffer[..size]);
                true
            }
            _ => false,
        }
    }

    async fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.bytes.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
                self.bytes.drain(..end + 2);
                return Some(line);
            }
            if !self.read_more().await {
                return None;
            }
        }
    }

    async fn read_exactly(&mut self, size: usize, body: &mut Vec<u8>) -> bool {
        while self.bytes.len() < size {
            if !self.read_more().await {
                body.append(&mut self.bytes);
                return false;
            }
        }
        body.extend(self.bytes.drain(..size));
        true
    }

    /// Reads a reply into `answer` step by step: what was received stays there if the read is cancelled.
    async fn answer(&mut self, answer: &mut Answer) {
        let Some(first) = self.read_line().await else {
            return;
        };
        let (mut length, mut chunked, mut close) = (None, false, false);
        loop {
            let Some(line) = self.read_line().await else {
                return;
            };
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            let value = value.trim();
            match name.to_ascii_lowercase().as_str() {
                client::SIGNATURE => answer.stamp = Some(value.into()),
                "content-length" => length = value.parse().ok(),
                "transfer-encoding" => chunked = value == "chunked",
                "connection" => close = value == "close",
                _ => {}
            }
        }
        answer.status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
        answer.whole = if chunked {
            self.read_chunks(&mut answer.body).await
        } else {
            self.read_exactly(length.unwrap_or(0), &mut answer.body)
                .await
        };
        answer.open = answer.whole && !close;
    }

    async fn read_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(line) = self.read_line().await else {
                return false;
            };
            let Ok(size) = usize::from_str_radix(&line, 16) else {
                return false;
            };
            if !self.read_exactly(size, body).await || self.read_line().await.is_none() {
                return false;
            }
            if size == 0 {
                return true;
            }
        }
    }
}

/// Sends one request on a connection; returns the reply, and whether the caller gave up before its end.
async fn send(
    connection: &mut Connection,
    id: &str,
    kind: Kind,
    taken_up: Option<&BrokenStream>,
    timeout: Duration,
) -> (Answer, bool) {
    let mut text = client::keep_alive_request(&format!("{}{id}", kind.path()), id, REPLY_TIMEOUT);
    if let Some(BrokenStream { first, last_event }) = taken_up {
        let lines = format!("\r\nResumes: {first}\r\nLast-Event-Id: {last_event}\r\n");
        text = text.replacen("\r\n", &lines, 1);
    }
    let mut answer = Answer {
        status: None,
        stamp: None,
        body: Vec::new(),
        whole: false,
        open: false,
    };
    if connection.stream.write_all(text.as_bytes()).await.is_err() {
        return (answer, false);
    }
    let read = tokio::time::timeout(timeout, connection.answer(&mut answer)).await;
    (answer, read.is_err())
}

/// Connects to a daemon and sends one request; returns the status of a complete reply.
pub async fn send_once(listen: SocketAddr, id: &str, kind: Kind) -> Option<u16> {
    let stream = TcpStream::connect(listen).await.ok()?;
    let bytes = Vec::new();
    let mut connection = Connection { stream, bytes };
    let (answer, _) = send(&mut connection, id, kind, None, REPLY_TIMEOUT).await;
    answer.status.filter(|_| answer.whole)
}

/// Calls daemons until `stop` is set: the one that `herd` names, or else randomly chosen ones. A stream that breaks off
/// is taken up at another daemon.
pub async fn run_caller(
    name: String,
    daemons: Rc<RefCell<Vec<Daemon>>>,
    herd: Rc<Cell<Option<usize>>>,
    outcomes: Outcomes,
    mut rng: SmallRng,
    stop: Rc<Cell<bool>>,
) {
    let mut count = 0;
    let mut broken: Option<BrokenStream> = None;
    while !stop.get() {
        let drawn = rng.random_range(0..daemons.borrow().len());
        let chosen = herd.get().filter(|_| broken.is_none()).unwrap_or(drawn);
        let listen = daemons.borrow()[chosen].listen;
        let Ok(stream) = TcpStream::connect(listen).await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let mut connection = Connection {
            stream,
            bytes: Vec::new(),
        };
        for _ in 0..MAX_REQUESTS {
            if stop.get() {
                break;
            }
            count += 1;
            let id = format!("{name}{count:04}");
            let taken_up = broken.take();
            let kind = match taken_up {
                Some(_) => Kind::Stream,
                None => Kind::ALL[rng.random_range(0..Kind::ALL.len())],
            };
            // Some callers give up early.
            let timeout = if rng.random_bool(0.05) {
                Duration::from_millis(rng.random_range(1..60))
            } else {
                REPLY_TIMEOUT
            };
            let (answer, left) = send(&mut connection, &id, kind, taken_up.as_ref(), timeout).await;
            let open = answer.open;
            let outcome = Outcome {
                id,
                kind,
                daemon: chosen,
                status: answer.status,
                stamp: answer.stamp,
                body: String::from_utf8_lossy(&answer.body).into_owned(),
                whole: answer.whole,
                left,
                taken_up,
            };
            broken = outcome.broken_stream();
            outcomes.borrow_mut().push(outcome);
            if !open {
                break;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..15))).await;
        }
    }
}

//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read},
    net::TcpStream,
};

/// The head of a request or reply: its first line and its headers, with names in lower case.
#[derive(Debug, Clone)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name)?;
        Some(&found.1)
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }
}

/// How the body of a reply ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// The body is complete.
    Whole,
    /// The connection closed or failed within the body.
    Cut,
}

/// Reads a head; `None` if the connection closes before one begins.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            let first = first.trim_end().to_owned();
            return Ok(Some(Head { first, headers }));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body of the length that its head states.
pub fn read_sized(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    let length = head
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads the body of a reply, with a length or in chunks.
pub fn read_reply_body(reader: &mut BufReader<TcpStream>, head: &Head) -> (Vec<u8>, BodyEnd) {
    let mut body = Vec::new();
    let ended = if head.header("transfer-encoding") == Some("chunked") {
        read_chunks(reader, &mut body)
    } else {
        read_sized(reader, head).map(|bytes| body = bytes)
    };
    let end = match ended {
        Ok(()) => BodyEnd::Whole,
        Err(_) => BodyEnd::Cut,
    };
    (body, end)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk);
        let mut end = String::new();
        reader.read_line(&mut end)?;
        if size == 0 {
            return Ok(());
        }
    }
}

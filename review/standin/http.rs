//! HTTP/1.1 messages with a content length, as the stand-ins read and write them.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A message: the first line, the headers with names in lower case, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
    }

    /// The second word of the first line: a request's target or an answer's status.
    pub fn second(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    pub rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    /// Reads a message; `None` if the connection was closed before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = self.rest.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill()? {
                return match self.rest.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.rest[..head_end - 4]).into_owned();
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first: lines.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        let length: usize = message
            .header("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        while self.rest.len() < head_end + length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.rest[head_end..head_end + length].to_vec();
        self.rest.drain(..head_end + length);
        Ok(Some(message))
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 16_384];
        let length = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..length]);
        Ok(length > 0)
    }

    pub fn write(&mut self, first: &str, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
        let mut out = format!("{first}\r\n");
        for (name, value) in headers {
            out += &format!("{name}: {value}\r\n");
        }
        out += &format!("Content-Length: {}\r\n\r\n", body.len());
        let mut out = out.into_bytes();
        out.extend_from_slice(body);
        self.stream.write_all(&out)
    }

    /// Whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let read = self.stream.peek(&mut [0; 1]);
        let _ = self.stream.set_nonblocking(false);
        match read {
            Ok(length) => length == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

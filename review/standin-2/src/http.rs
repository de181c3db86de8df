//! HTTP/1.1 on plain sockets, for clients and servers that need control over each byte.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A message as received, with its body if it came with a length.
#[derive(Clone, Debug)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// The status of a response; 0 for a request.
    pub status: u16,
    /// The head with the first line.
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Returns the request's id, empty without one.
    pub fn id(&self) -> &str {
        self.header("request-attempt-id").unwrap_or("")
    }

    /// Returns the path and query of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Puts bytes back that were read from the connection.
    pub fn unread(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Reads the next message; `None` if the connection ends before its first byte.
    /// A message that is cut off is an error.
    pub fn next(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let mut message = Self::parse_head(&self.buffer[..end]);
        self.buffer.drain(..end + 4);
        let length: usize = message
            .header("content-length")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(Some(message))
    }

    /// Returns the message that begins with a head.
    pub fn parse_head(bytes: &[u8]) -> Message {
        let head = String::from_utf8_lossy(bytes).trim_end().to_owned();
        let start = head.lines().next().unwrap_or("").to_owned();
        let status = start.strip_prefix("HTTP/1.1 ");
        let status = status.and_then(|rest| rest.get(..3)?.parse().ok());
        Message {
            start,
            status: status.unwrap_or(0),
            head,
            body: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut part = vec![0; 64 * 1024];
        let length = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..length]);
        Ok(length > 0)
    }
}

/// Sends a request on a new connection and reads the answer.
pub fn exchange(address: SocketAddr, request: &str, timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    stream.write_all(request.as_bytes())?;
    let answer = Reader::new(stream).next()?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Returns a request without a body.
pub fn get(path: &str, id: &str, remaining_ms: u32) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: reports.example\r\nRequest-Attempt-Id: {id}\r\n\
         Deadline-Remaining: {remaining_ms}\r\n\r\n"
    )
}

/// Returns a request with a short body.
pub fn post(path: &str, id: &str, remaining_ms: u32) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: reports.example\r\nRequest-Attempt-Id: {id}\r\n\
         Deadline-Remaining: {remaining_ms}\r\nContent-Length: 4\r\n\r\nbody"
    )
}

//! A stand-in of a client that opens a connection for each request.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::ms;
use crate::next_random;

/// A request and how it ended.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub id: String,
    pub sent_at: Instant,
    /// The status; 0 if there was no answer.
    pub status: u16,
    pub body: String,
}

/// Sends a request and waits for its answer, for `budget_ms` and a second more.
pub fn send(daemon: SocketAddr, method: &str, path: &str, host: &str, budget_ms: u64) -> Exchange {
    let id = format!("{:016x}", next_random());
    let sent_at = Instant::now();
    let answer = exchange(daemon, method, path, host, budget_ms, &id);
    let (status, body) = answer.unwrap_or((0, String::new()));
    Exchange {
        id,
        sent_at,
        status,
        body,
    }
}

fn exchange(
    daemon: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    budget_ms: u64,
    id: &str,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&daemon, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ms(budget_ms + 1_000)))?;
    let body = if method == "GET" { "" } else { "work" };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Attempt-Id: {id}\r\nDeadline-Remaining: {budget_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let Some(answer) = http::read(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    Ok((answer.status(), body))
}

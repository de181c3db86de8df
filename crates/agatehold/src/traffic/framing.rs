//! Checks the framing of callers' requests before the HTTP parser sees them.
//!
//! The HTTP library resolves an ambiguous body length on its own or answers
//! with a bare status. The guard holds each head back until it is complete
//! and replaces a bad one by a head that names the fault, so that every bad
//! request gets a refusal from the table.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;

use agatehold_core::refusal::RefusalKind;

/// The header by which the guard reports a fault to the request handler.
pub(crate) const FAULT_HEADER: &str = "agatehold-framing-fault";

/// The size of one read from the socket in bytes.
const READ_BYTES: usize = 4096;

/// The greatest number of headers in a request.
const HEADERS_MAX: usize = 100;

/// The limits that the guard enforces.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FramingLimits {
    /// The size of a head.
    pub(crate) head_bytes: usize,
    /// The time from the first byte of a head to its last.
    pub(crate) head_timeout: Duration,
    /// The time that a connection may be idle between requests.
    pub(crate) idle_timeout: Duration,
    /// The same time once the daemon stops.
    pub(crate) stop_idle_timeout: Duration,
    /// The time that one write to the caller may wait.
    pub(crate) write_timeout: Duration,
}

/// What the bytes on the connection belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FramingState {
    /// A head that is not complete.
    Head,
    /// A body with this many bytes to come.
    Body(u64),
    /// A chunked body; the connection closes after its response.
    Chunked,
    /// A bad head was replaced; nothing more is read.
    Ended,
}

/// What the guard, the request handler and the stop know of a connection.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    /// Whether the daemon stops.
    pub(crate) stopping: Cell<bool>,
    /// Whether a request is being handled.
    pub(crate) handling: Cell<bool>,
    /// When bytes last went either way.
    last_active_at: Cell<Instant>,
}

impl ConnectionState {
    /// Creates the state of a connection that was just accepted.
    pub(crate) fn new() -> Self {
        Self {
            stopping: Cell::new(false),
            handling: Cell::new(false),
            last_active_at: Cell::new(Instant::now()),
        }
    }

    /// Notes that bytes went either way or a request was handled.
    pub(crate) fn touch(&self) {
        self.last_active_at.set(Instant::now());
    }
}

/// A caller's connection whose request heads are checked.
pub(crate) struct FramingGuard {
    stream: TcpStream,
    limits: FramingLimits,
    state: FramingState,
    /// Bytes of the head that is being collected.
    head: Vec<u8>,
    /// Checked bytes that the parser has not taken yet.
    checked: Vec<u8>,
    connection: Rc<ConnectionState>,
    /// When the first byte of the current head came.
    head_started_at: Instant,
    read_timer: Option<Pin<Box<Sleep>>>,
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl FramingGuard {
    /// Wraps a caller's connection.
    pub(crate) fn new(
        stream: TcpStream,
        limits: FramingLimits,
        connection: Rc<ConnectionState>,
    ) -> Self {
        Self {
            stream,
            limits,
            state: FramingState::Head,
            head: Vec::new(),
            checked: Vec::new(),
            connection,
            head_started_at: Instant::now(),
            read_timer: None,
            write_timer: None,
        }
    }

    /// Moves a complete head, and what came of its body, to the checked bytes.
    fn check_head(&mut self) {
        let Some(head_bytes) = head_length(&self.head) else {
            if self.head.len() > self.limits.head_bytes {
                self.replace_head(RefusalKind::HeadTooLarge);
            }
            return;
        };
        if head_bytes > self.limits.head_bytes {
            self.replace_head(RefusalKind::HeadTooLarge);
            return;
        }
        let body = match inspect_head(&self.head[..head_bytes]) {
            Ok(body) => body,
            Err(kind) => {
                self.replace_head(kind);
                return;
            }
        };
        let mut rest = self.head.split_off(head_bytes);
        self.checked.append(&mut self.head);
        match body {
            BodyFraming::Chunked => {
                self.checked.append(&mut rest);
                self.state = FramingState::Chunked;
            }
            BodyFraming::Length(length) => {
                let here = usize::try_from(length)
                    .unwrap_or(usize::MAX)
                    .min(rest.len());
                self.head = rest.split_off(here);
                self.checked.append(&mut rest);
                self.set_body_remaining(length - here as u64);
            }
        }
    }

    fn set_body_remaining(&mut self, remaining: u64) {
        self.state = match remaining {
            0 => FramingState::Head,
            _ => FramingState::Body(remaining),
        };
    }

    fn replace_head(&mut self, kind: RefusalKind) {
        let head = format!(
            "GET / HTTP/1.1\r\nhost: invalid\r\n{FAULT_HEADER}: {kind}\r\nconnection: close\r\n\r\n"
        );
        self.head.clear();
        self.checked = head.into_bytes();
        self.state = FramingState::Ended;
    }

    /// Returns whether the time for a head, or between requests, is over.
    ///
    /// While a request is handled or its response waits for the caller, the
    /// connection is not idle, however long that takes.
    fn poll_read_timer(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.connection.handling.get() || self.write_timer.is_some() {
            return Poll::Pending;
        }
        let last_active_at = self.connection.last_active_at.get();
        let until = if !self.head.is_empty() {
            self.head_started_at + self.limits.head_timeout
        } else if self.connection.stopping.get() {
            last_active_at + self.limits.stop_idle_timeout
        } else {
            last_active_at + self.limits.idle_timeout
        };
        let timer = self
            .read_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(until)));
        if timer.deadline() != until {
            timer.as_mut().reset(until);
        }
        timer.as_mut().poll(cx)
    }

    /// Reads part of a head; `Ready(Ok(true))` at the end of the connection.
    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let mut bytes = [0_u8; READ_BYTES];
        let mut part = ReadBuf::new(&mut bytes);
        match Pin::new(&mut self.stream).poll_read(cx, &mut part) {
            Poll::Ready(Ok(())) => {}
            Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            Poll::Pending => {
                if self.poll_read_timer(cx).is_pending() {
                    return Poll::Pending;
                }
                if self.head.is_empty() {
                    return Poll::Ready(Ok(true));
                }
                self.replace_head(RefusalKind::SlowSender);
                return Poll::Ready(Ok(false));
            }
        }
        if part.filled().is_empty() {
            return Poll::Ready(Ok(true));
        }
        self.connection.touch();
        if self.head.is_empty() {
            self.head_started_at = Instant::now();
        }
        self.head.extend_from_slice(part.filled());
        self.check_head();
        Poll::Ready(Ok(false))
    }

    /// Reads part of a body, never beyond its end.
    fn poll_body(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        remaining: u64,
    ) -> Poll<io::Result<()>> {
        let most = usize::try_from(remaining).unwrap_or(usize::MAX);
        let mut bytes = [0_u8; READ_BYTES];
        let most = most.min(buf.remaining()).min(READ_BYTES);
        let mut part = ReadBuf::new(&mut bytes[..most]);
        match Pin::new(&mut self.stream).poll_read(cx, &mut part) {
            Poll::Ready(Ok(())) => {}
            other => return other,
        }
        self.connection.touch();
        buf.put_slice(part.filled());
        self.set_body_remaining(remaining - part.filled().len() as u64);
        Poll::Ready(Ok(()))
    }

    fn give_checked(&mut self, buf: &mut ReadBuf<'_>) {
        let count = buf.remaining().min(self.checked.len());
        buf.put_slice(&self.checked[..count]);
        self.checked.drain(..count);
    }
}

impl AsyncRead for FramingGuard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if !self.checked.is_empty() {
                self.give_checked(buf);
                return Poll::Ready(Ok(()));
            }
            match self.state {
                FramingState::Ended => return Poll::Pending,
                FramingState::Chunked => return Pin::new(&mut self.stream).poll_read(cx, buf),
                FramingState::Body(remaining) => return self.poll_body(cx, buf, remaining),
                FramingState::Head => {}
            }
            if !self.head.is_empty() {
                self.check_head();
                if !self.checked.is_empty() {
                    continue;
                }
            }
            match self.poll_head(cx) {
                Poll::Ready(Ok(false)) => continue,
                Poll::Ready(Ok(true)) => return Poll::Ready(Ok(())),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}

impl AsyncWrite for FramingGuard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        if result.is_ready() {
            self.write_timer = None;
            self.connection.touch();
            return result;
        }
        let timeout = self.limits.write_timeout;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// How a request gives the length of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyFraming {
    /// By its length, 0 if there is no body.
    Length(u64),
    /// By chunks.
    Chunked,
}

/// Returns the length of a complete head with its empty line.
fn head_length(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .map(|position| position + 4)
}

/// Returns the framing of the body, or why the head is refused.
///
/// A head with more than one body length is refused even if the lengths
/// agree (RFC 9112, section 6.3, allows it), since another parser on the way
/// may read it differently.
fn inspect_head(head: &[u8]) -> Result<BodyFraming, RefusalKind> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(head) {
        Ok(httparse::Status::Complete(_)) => {}
        Err(httparse::Error::TooManyHeaders) => return Err(RefusalKind::HeadTooLarge),
        Ok(httparse::Status::Partial) | Err(_) => return Err(RefusalKind::BadRequest),
    }
    let mut length = None;
    let mut chunked = false;
    for header in request.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            if length.is_some() {
                return Err(RefusalKind::AmbiguousFraming);
            }
            length = Some(parse_length(header.value)?);
        }
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if chunked || !header.value.eq_ignore_ascii_case(b"chunked") {
                return Err(RefusalKind::AmbiguousFraming);
            }
            chunked = true;
        }
    }
    match (length, chunked) {
        (Some(_), true) => Err(RefusalKind::AmbiguousFraming),
        (None, true) => Ok(BodyFraming::Chunked),
        (length, false) => Ok(BodyFraming::Length(length.unwrap_or(0))),
    }
}

/// Parses a `Content-Length`; a list, a sign or white space is refused.
fn parse_length(value: &[u8]) -> Result<u64, RefusalKind> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(RefusalKind::AmbiguousFraming);
    }
    std::str::from_utf8(value)
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or(RefusalKind::AmbiguousFraming)
}

//! Checks the framing of callers' requests before the HTTP parser sees them.
//!
//! On an ambiguous body length, hyper picks an interpretation itself or answers
//! with a bare status code. The guard therefore holds back each head until it
//! is complete, and replaces a bad head with one that carries the fault in a
//! header. The request handler turns that header into a refusal, so that every
//! bad request receives a refusal of a known kind.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::rc::Weak;
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

/// The header with which the guard reports a fault to the request handler.
pub(crate) const FRAMING_FAULT_HEADER: &str = "agatehold-framing-fault";

/// The maximum number of bytes in one read from the socket.
const READ_BYTES: usize = 4096;

/// The maximum number of headers in a request.
const HEADERS_MAX: usize = 100;

/// The limits that the guard enforces.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FramingLimits {
    /// The maximum size of a head.
    pub(crate) head_bytes: usize,
    /// The maximum time from the first byte of a head to its last.
    pub(crate) head_timeout: Duration,
    /// The maximum idle time of a connection between requests.
    pub(crate) idle_timeout: Duration,
    /// The maximum idle time once the daemon is shutting down.
    pub(crate) stop_idle_timeout: Duration,
    /// The maximum time for which one write to the caller may block.
    pub(crate) write_timeout: Duration,
}

/// The part of a request that the next bytes on the connection belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FramingState {
    /// A head that is not complete yet.
    Head,
    /// A body of which this many bytes remain.
    Body(u64),
    /// A chunked body. The guard does not parse it, so the connection is closed
    /// after the response.
    Chunked,
    /// A bad head was replaced; nothing more is read from the connection.
    Rejected,
}

/// The state of a caller's connection that is shared by the framing guard, the
/// request handler and the shutdown.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    /// Whether the daemon is shutting down.
    pub(crate) stopping: Cell<bool>,
    /// Whether a request is being handled.
    pub(crate) handling: Cell<bool>,
    /// When bytes were last read or written or a request was last handled.
    last_active_at: Cell<Instant>,
    /// Can be upgraded as long as the task that relays an answer is running.
    relay: RefCell<Weak<()>>,
}

impl ConnectionState {
    /// Creates the state of a connection that was just accepted.
    pub(crate) fn new() -> Self {
        Self {
            stopping: Cell::new(false),
            handling: Cell::new(false),
            last_active_at: Cell::new(Instant::now()),
            relay: RefCell::default(),
        }
    }

    /// Keeps the connection from counting as idle while an answer is relayed.
    pub(crate) fn track_relay(&self, running: Weak<()>) {
        self.relay.replace(running);
    }

    /// Records that bytes were read or written or that a request was handled.
    pub(crate) fn record_activity(&self) {
        self.last_active_at.set(Instant::now());
    }
}

/// A caller's connection on which request heads are checked before hyper reads
/// them.
pub(crate) struct FramingGuard {
    stream: TcpStream,
    limits: FramingLimits,
    state: FramingState,
    /// The bytes received of the current head, and any that followed it.
    head: Vec<u8>,
    /// Checked bytes that hyper has not read yet.
    checked: Vec<u8>,
    connection: Rc<ConnectionState>,
    /// When the first byte of the current head was received.
    head_started_at: Instant,
    read_timer: Option<Pin<Box<Sleep>>>,
    write_timer: Option<Pin<Box<Sleep>>>,
    /// When the write half was shut down.
    shut_down_at: Option<Instant>,
    close_timer: Option<Pin<Box<Sleep>>>,
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
            shut_down_at: None,
            close_timer: None,
        }
    }

    /// If the head is complete and valid, moves it and the received part of
    /// its body to the checked bytes. Replaces an invalid head.
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
                let received_bytes = usize::try_from(length)
                    .unwrap_or(usize::MAX)
                    .min(rest.len());
                self.head = rest.split_off(received_bytes);
                self.checked.append(&mut rest);
                self.set_body_remaining(length - received_bytes as u64);
            }
        }
    }

    fn set_body_remaining(&mut self, remaining: u64) {
        self.state = match remaining {
            0 => FramingState::Head,
            _ => FramingState::Body(remaining),
        };
    }

    /// Replaces the head with a request that reports the fault to the request
    /// handler.
    fn replace_head(&mut self, kind: RefusalKind) {
        let head = format!(
            "GET / HTTP/1.1\r\nhost: invalid\r\n{FRAMING_FAULT_HEADER}: {kind}\r\nconnection: close\r\n\r\n"
        );
        self.head.clear();
        self.checked = head.into_bytes();
        self.state = FramingState::Rejected;
    }

    /// Completes when the timeout for the current head or the idle timeout has
    /// expired.
    ///
    /// While a request is handled or a response waits for the caller to read
    /// it, the connection does not count as idle.
    fn poll_read_timer(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.connection.handling.get() || self.write_timer.is_some() {
            return Poll::Pending;
        }
        // A target may pause for longer than the idle timeout while it sends
        // its answer.
        if self.connection.relay.borrow().strong_count() > 0 {
            self.connection.record_activity();
        }
        let last_active_at = self.connection.last_active_at.get();
        let expires_at = if !self.head.is_empty() {
            self.head_started_at + self.limits.head_timeout
        } else if self.connection.stopping.get() {
            last_active_at + self.limits.stop_idle_timeout
        } else {
            last_active_at + self.limits.idle_timeout
        };
        let timer = self
            .read_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(expires_at)));
        if timer.deadline() != expires_at {
            timer.as_mut().reset(expires_at);
        }
        timer.as_mut().poll(cx)
    }

    /// Reads part of a head. Returns `Ready(Ok(true))` if the connection has
    /// ended or has been idle for too long.
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
        self.connection.record_activity();
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
        let read_limit = usize::try_from(remaining).unwrap_or(usize::MAX);
        let mut bytes = [0_u8; READ_BYTES];
        let read_limit = read_limit.min(buf.remaining()).min(READ_BYTES);
        let mut part = ReadBuf::new(&mut bytes[..read_limit]);
        match Pin::new(&mut self.stream).poll_read(cx, &mut part) {
            Poll::Ready(Ok(())) => {}
            other => return other,
        }
        self.connection.record_activity();
        buf.put_slice(part.filled());
        self.set_body_remaining(remaining - part.filled().len() as u64);
        Poll::Ready(Ok(()))
    }

    /// Completes when the caller has had its time to read after the write half was shut
    /// down. A caller that does not close its connection keeps a stopping daemon no longer
    /// than an idle one does.
    fn poll_close_timer(&mut self, cx: &mut Context<'_>, shut_down_at: Instant) -> Poll<()> {
        let expires_at = shut_down_at
            + match self.connection.stopping.get() {
                true => self.limits.stop_idle_timeout,
                false => self.limits.write_timeout,
            };
        let timer = self
            .close_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(expires_at)));
        if timer.deadline() != expires_at {
            timer.as_mut().reset(expires_at);
        }
        timer.as_mut().poll(cx)
    }

    fn copy_checked(&mut self, buf: &mut ReadBuf<'_>) {
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
                self.copy_checked(buf);
                return Poll::Ready(Ok(()));
            }
            match self.state {
                FramingState::Rejected => return Poll::Pending,
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
            self.connection.record_activity();
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

    /// Shuts down the write half and waits until the caller closes the connection. Closing
    /// the socket before would reset the connection if bytes are unread or still come, and
    /// the caller could lose the response.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let shut_down_at = match self.shut_down_at {
            Some(shut_down_at) => shut_down_at,
            None => {
                std::task::ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
                *self.shut_down_at.insert(Instant::now())
            }
        };
        if self.poll_close_timer(cx, shut_down_at).is_ready() {
            return Poll::Ready(Ok(()));
        }
        loop {
            let mut bytes = [0_u8; READ_BYTES];
            let mut part = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(cx, &mut part) {
                Poll::Ready(Ok(())) if !part.filled().is_empty() => {}
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}

/// How the length of a request's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyFraming {
    /// By `Content-Length`; 0 if there is no body.
    Length(u64),
    /// By the chunked transfer coding.
    Chunked,
}

/// Returns the length of the head, including the empty line that ends it;
/// `None` if the head is not complete.
fn head_length(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .map(|position| position + 4)
}

/// Returns the framing of the body, or the reason to refuse the head.
///
/// A head with more than one body length is refused even if the lengths agree,
/// which RFC 9112, section 6.3, allows: another HTTP parser on the path may
/// interpret it differently.
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

/// Parses the value of a `Content-Length` header. A list of values, a sign or
/// white space is refused.
fn parse_length(value: &[u8]) -> Result<u64, RefusalKind> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(RefusalKind::AmbiguousFraming);
    }
    std::str::from_utf8(value)
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or(RefusalKind::AmbiguousFraming)
}

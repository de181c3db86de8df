//! Exchanges one request and response with a target over a pooled or new
//! connection, and classifies the result.

use std::cell::RefCell;
use std::io::IoSlice;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;
use http::header;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

use agatehold_core::dispatch::LoadReport;
use agatehold_core::dispatch::was_dead_before;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::units::DurationMs;
use agatehold_platform::DecodeError;
use agatehold_platform::parse_load;
use agatehold_platform::parse_pause;
use agatehold_platform::request_headers;
use agatehold_platform::says_leaving;
use agatehold_platform::target_headers;

use super::http1::BodyCollector;
use super::http1::HttpError;
use super::http1::ResponseHead;
use super::http1::take_response_head;
use super::memory::MemoryHold;
use super::pool::ConnectionUse;
use super::pool::OpenError;
use super::pool::TargetPool;
use super::pool::TargetStream;
use super::pool::open;

/// The maximum size of a response head.
const HEAD_BYTES_MAX: usize = 32 * 1024;

/// The maximum size of a response body, which is buffered completely before it is
/// forwarded.
const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;

/// The maximum number of late responses to earlier requests that are skipped while
/// waiting for the response to the current one.
const LATE_RESPONSES_MAX: u32 = 4;

/// The free buffer space that is reserved before each read.
const READ_BYTES: usize = 8 * 1024;

/// A request to a target in encoded form.
pub(super) struct OutboundRequest<'a> {
    /// The encoded head.
    pub(super) head: &'a [u8],
    /// The body.
    pub(super) body: &'a [u8],
    /// The request id, which the response must echo.
    pub(super) request_id: Option<&'a [u8]>,
    /// The longest rest of a connection that the request may use; `None` for no limit.
    pub(super) idle_max: Option<Duration>,
    /// Whether the request may run more than once.
    pub(super) idempotent: bool,
    /// Whether this is a HEAD request, whose response has no body.
    pub(super) is_head_request: bool,
    /// The deadline for the response to the caller.
    pub(super) deadline: Instant,
    /// Holds the memory of the response's body while it is read. The size that it has
    /// before is what is expected.
    pub(super) memory: &'a MemoryHold,
    /// Returns whether the target still takes requests, asked right before the first
    /// write.
    pub(super) may_write: &'a dyn Fn() -> bool,
}

impl OutboundRequest<'_> {
    /// Returns the length of the encoded request.
    const fn length(&self) -> usize {
        self.head.len() + self.body.len()
    }

    /// Returns the parts of the head and of the body that follow the first `written`
    /// bytes. They are not copied together, since a body may be large.
    fn unsent(&self, written: usize) -> [IoSlice<'_>; 2] {
        let head = self.head.get(written..).unwrap_or_default();
        let body_written = written.saturating_sub(self.head.len());
        [IoSlice::new(head), IoSlice::new(&self.body[body_written..])]
    }
}

/// A complete response from a target.
pub(super) struct TargetResponse {
    /// The status.
    pub(super) status: StatusCode,
    /// The headers, unmodified.
    pub(super) headers: HeaderMap,
    /// The body.
    pub(super) body: Bytes,
}

/// The result of an attempt.
pub(super) struct AttemptEnd {
    /// The outcome, which decides about a retry and feeds the health check.
    pub(super) outcome: AttemptOutcome,
    /// The response, if a complete one arrived that can be forwarded.
    pub(super) response: Option<TargetResponse>,
    /// The load that the target reported in the response.
    pub(super) load: Option<LoadReport>,
    /// Whether the address now belongs to another target (status 421).
    pub(super) is_wrong_target: bool,
    /// Whether the target that answered says that it is leaving.
    pub(super) says_leaving: bool,
    /// The pause that the target asks for, or why its value can't be used; `None` if it
    /// asks for none.
    pub(super) pause: Option<Result<DurationMs, DecodeError>>,
    /// Whether this daemon abandoned the attempt before the request's deadline.
    pub(super) is_abandoned: bool,
    /// The connection that carried the request; `None` if none did.
    pub(super) connection_use: Option<ConnectionUse>,
    /// How long the connection had rested, if it was reused.
    pub(super) rested_ms: Option<DurationMs>,
    /// Whether the connection turned out to have been dead before the request.
    pub(super) was_dead: bool,
    /// Whether the connection was lost after a part of the request had been written and
    /// before the response was complete: the target may have crashed.
    pub(super) is_connection_lost: bool,
    /// Whether only the end of the connection told that the response was complete. It does
    /// not tell whether the target has closed it or has crashed.
    pub(super) ends_with_connection: bool,
    /// A description of the failure for the log.
    pub(super) detail: &'static str,
}

impl AttemptEnd {
    pub(super) const fn without_response(outcome: AttemptOutcome, detail: &'static str) -> Self {
        Self {
            outcome,
            response: None,
            load: None,
            is_wrong_target: false,
            says_leaving: false,
            pause: None,
            is_abandoned: false,
            connection_use: None,
            rested_ms: None,
            was_dead: false,
            is_connection_lost: false,
            ends_with_connection: false,
            detail,
        }
    }
}

/// Why an exchange brought no usable response.
#[derive(Clone, Copy, Debug)]
struct ExchangeError {
    outcome: AttemptOutcome,
    /// See [`AttemptEnd::is_connection_lost`].
    is_connection_lost: bool,
    detail: &'static str,
}

/// Sends a request once and reads the complete response.
///
/// The connection is returned to the pool only after a complete response that is no
/// rejection and is followed by no further bytes. Otherwise it is closed, so that late
/// bytes can't be taken for the response to another request.
pub(super) async fn run_attempt(
    pool: &RefCell<TargetPool>,
    address: SocketAddr,
    outbound: &OutboundRequest<'_>,
) -> AttemptEnd {
    let pooled = pool
        .borrow_mut()
        .take(address, outbound.idle_max, outbound.idempotent);
    let mut connection = match pooled {
        Some(connection) => connection,
        None => match open(address, outbound.deadline).await {
            Ok(mut connection) => {
                pool.borrow_mut().count_opened(&mut connection);
                connection
            }
            Err(error) => {
                let detail = error.as_str();
                return AttemptEnd::without_response(AttemptOutcome::ConnectFailed, detail);
            }
        },
    };
    if Instant::now() >= outbound.deadline {
        // The process was suspended since the target was chosen.
        pool.borrow_mut().put_unused(address, connection);
        return AttemptEnd::without_response(AttemptOutcome::NotWritten, "deadline passed");
    }
    if !(outbound.may_write)() {
        pool.borrow_mut().put_unused(address, connection);
        return AttemptEnd::without_response(
            AttemptOutcome::NotWritten,
            "target takes no requests",
        );
    }
    if connection.allow_pauses(outbound.length()).is_err() {
        let detail = OpenError::SocketOptions.as_str();
        return AttemptEnd::without_response(AttemptOutcome::NotWritten, detail);
    }
    let connection_use = connection.connection_use;
    let rested = connection.rested();
    let written_at = Instant::now();
    let exchanging = exchange(&mut connection, outbound);
    let end = match tokio::time::timeout_at(outbound.deadline, exchanging).await {
        Err(_) => AttemptEnd::without_response(AttemptOutcome::TimedOut, "deadline passed"),
        Ok(Err(error)) => AttemptEnd {
            is_connection_lost: error.is_connection_lost,
            ..AttemptEnd::without_response(error.outcome, error.detail)
        },
        Ok(Ok(received)) => {
            // A copy of a rejection may follow on the connection, and nothing tells it
            // from the response to the same request sent once more.
            let is_reusable = received.is_reusable && !claims_not_run(&received.head);
            if is_reusable && connection.buffer.is_empty() && connection.end_pauses().is_ok() {
                connection.record_use(announced_keep_alive(&received.head.headers));
                connection.connection_use.earlier_requests += 1;
                pool.borrow_mut().put(address, connection);
            }
            classify(received)
        }
    };
    let was_reused = connection_use.earlier_requests > 0;
    let rested_ms = DurationMs(rested.as_millis() as u64);
    let run_ms = DurationMs(written_at.elapsed().as_millis() as u64);
    let is_lost = end.outcome == AttemptOutcome::ConnectionLost;
    AttemptEnd {
        connection_use: Some(connection_use),
        rested_ms: was_reused.then_some(rested_ms),
        was_dead: was_reused && is_lost && was_dead_before(rested_ms, run_ms),
        ..end
    }
}

/// A complete response as received, before it is classified.
struct CompleteResponse {
    head: ResponseHead,
    body: Bytes,
    is_reusable: bool,
    /// See [`AttemptEnd::ends_with_connection`].
    ends_with_connection: bool,
}

/// Writes the request and reads the response, which may arrive before the request
/// is written completely.
async fn exchange(
    connection: &mut TargetStream,
    outbound: &OutboundRequest<'_>,
) -> Result<CompleteResponse, ExchangeError> {
    let TargetStream { stream, buffer, .. } = connection;
    let mut written = 0;
    let mut interim_bytes = 0;
    let mut late_responses = 0;
    let mut head: Option<(ResponseHead, BodyCollector)> = None;
    loop {
        if head.is_none() {
            head = next_head(buffer, outbound, &mut interim_bytes)?;
        }
        if let Some((_, body)) = &mut head {
            let complete = body.take(buffer).map_err(from_http_error)?;
            let size_bytes = body.collected_bytes();
            if size_bytes > outbound.memory.size_bytes() && !outbound.memory.resize(size_bytes) {
                metrics::counter!("agatehold_memory_refusals_total", "kind" => "read").increment(1);
                return Err(cut("memory limit for answer bodies reached"));
            }
            if complete && let Some((read, body)) = head.take() {
                if !echoes_request_id(&read, outbound) {
                    // A late response to an earlier request on this connection;
                    // the response to this request is still to come.
                    late_responses += 1;
                    if !read.keeps_alive || late_responses > LATE_RESPONSES_MAX {
                        return Err(mismatched());
                    }
                    continue;
                }
                let is_reusable = read.keeps_alive && written == outbound.length();
                return Ok(CompleteResponse {
                    head: read,
                    body: body.into_bytes(),
                    is_reusable,
                    ends_with_connection: false,
                });
            }
        }
        buffer.reserve(READ_BYTES);
        let (mut reading, mut writing) = stream.split();
        let unsent = outbound.unsent(written);
        tokio::select! {
            biased;
            sent = writing.write_vectored(&unsent), if written < outbound.length() => match sent {
                Ok(length) => written += length,
                Err(_) if written == 0 => return Err(not_written()),
                Err(_) => return Err(connection_lost("connection lost while writing")),
            },
            read = reading.read_buf(buffer) => match read {
                Ok(0) => return end_of_stream(head.take(), outbound, written),
                Ok(_) => {}
                Err(_) => return Err(premature_close(head.is_some(), written)),
            },
        }
    }
}

fn next_head(
    buffer: &mut BytesMut,
    outbound: &OutboundRequest<'_>,
    interim_bytes: &mut usize,
) -> Result<Option<(ResponseHead, BodyCollector)>, ExchangeError> {
    if buffer.is_empty() {
        return Ok(None);
    }
    let is_head_request = outbound.is_head_request;
    let head = take_response_head(buffer, HEAD_BYTES_MAX, interim_bytes, is_head_request)
        .map_err(from_http_error)?;
    let Some(head) = head else {
        return Ok(None);
    };
    let body = BodyCollector::new(head.framing, BODY_BYTES_MAX).map_err(from_http_error)?;
    Ok(Some((head, body)))
}

/// Handles an orderly end of the stream, which completes a response that has
/// neither a length nor chunks.
fn end_of_stream(
    head: Option<(ResponseHead, BodyCollector)>,
    outbound: &OutboundRequest<'_>,
    written: usize,
) -> Result<CompleteResponse, ExchangeError> {
    let Some((head, body)) = head else {
        return Err(premature_close(false, written));
    };
    if !body.ends_with_close() {
        return Err(lost_in_answer("answer ended early"));
    }
    if !echoes_request_id(&head, outbound) {
        return Err(mismatched());
    }
    Ok(CompleteResponse {
        head,
        body: body.into_bytes(),
        is_reusable: false,
        ends_with_connection: true,
    })
}

fn echoes_request_id(head: &ResponseHead, outbound: &OutboundRequest<'_>) -> bool {
    let echoed_id = head.headers.get(request_headers::REQUEST_ID);
    match (echoed_id, outbound.request_id) {
        (Some(echoed_id), Some(sent)) => echoed_id.as_bytes() == sent,
        // Targets don't run a request without an id, so a success can't be the
        // response to it.
        (None, None) => !head.status.is_success(),
        // A refusal without the id may be a repetition of an earlier one, while
        // this request is running.
        (None, Some(_)) | (Some(_), None) => false,
    }
}

const fn connection_lost(detail: &'static str) -> ExchangeError {
    ExchangeError {
        outcome: AttemptOutcome::ConnectionLost,
        is_connection_lost: true,
        detail,
    }
}

/// The connection was lost after the head of the answer had arrived.
const fn lost_in_answer(detail: &'static str) -> ExchangeError {
    ExchangeError {
        is_connection_lost: true,
        ..cut(detail)
    }
}

const fn cut(detail: &'static str) -> ExchangeError {
    ExchangeError {
        outcome: AttemptOutcome::Cut,
        is_connection_lost: false,
        detail,
    }
}

const fn mismatched() -> ExchangeError {
    ExchangeError {
        outcome: AttemptOutcome::Mismatched,
        is_connection_lost: false,
        detail: "answer to another request",
    }
}

const fn not_written() -> ExchangeError {
    ExchangeError {
        outcome: AttemptOutcome::NotWritten,
        is_connection_lost: false,
        detail: "connection closed before the request was written",
    }
}

const fn premature_close(has_head: bool, written: usize) -> ExchangeError {
    if has_head {
        return lost_in_answer("connection lost during the answer");
    }
    if written == 0 {
        return not_written();
    }
    connection_lost("connection lost before the answer")
}

const fn from_http_error(error: HttpError) -> ExchangeError {
    match error {
        HttpError::Malformed => cut("malformed answer"),
        HttpError::HeadTooLarge => cut("head of the answer exceeds the size limit"),
        HttpError::BodyTooLarge => cut("body of the answer exceeds the size limit"),
        HttpError::AmbiguousLength => cut("ambiguous body length of the answer"),
    }
}

/// Parses the idle timeout in whole seconds from the `keep-alive` header and
/// returns 75 % of it, since part of it has passed when the response arrives.
fn announced_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    for parameter in text.split(',') {
        let Some(seconds) = parameter.trim().strip_prefix("timeout=") else {
            continue;
        };
        let seconds: u64 = seconds.parse().ok()?;
        return Some(Duration::from_millis(seconds.saturating_mul(750)));
    }
    None
}

fn classify(received: CompleteResponse) -> AttemptEnd {
    let CompleteResponse {
        head,
        body,
        ends_with_connection,
        ..
    } = received;
    let load = head
        .headers
        .get(target_headers::LOAD)
        .and_then(|value| value.to_str().ok())
        .and_then(parse_load);
    let leaving = head.headers.get(target_headers::LEAVING);
    let says_leaving = leaving.is_some_and(|value| says_leaving(value.as_bytes()));
    let pause = asked_pause(&head);
    let is_signed = head.headers.contains_key(target_headers::SIGNATURE);
    let is_wrong_target = head.status == StatusCode::MISDIRECTED_REQUEST;
    let is_not_run = claims_not_run(&head);
    let is_encoded = head.headers.contains_key(header::CONTENT_ENCODING);
    let (outcome, detail) = if is_not_run {
        (AttemptOutcome::Shed, "target did not run the request")
    } else if head.status.is_success() && !is_signed {
        (
            AttemptOutcome::Mismatched,
            "success status without the target's signature header",
        )
    } else if is_encoded {
        (AttemptOutcome::Mismatched, "unexpected content-encoding")
    } else if head.status.is_server_error() {
        (AttemptOutcome::Failed, "server error")
    } else if !is_signed {
        (
            AttemptOutcome::Failed,
            "status without the target's signature header",
        )
    } else {
        (AttemptOutcome::Answered, "")
    };
    let is_usable = matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Failed);
    let response = is_usable.then_some(TargetResponse {
        status: head.status,
        headers: head.headers,
        body,
    });
    AttemptEnd {
        outcome,
        response,
        load,
        is_wrong_target,
        says_leaving,
        pause,
        is_abandoned: false,
        connection_use: None,
        rested_ms: None,
        was_dead: false,
        is_connection_lost: false,
        ends_with_connection,
        detail,
    }
}

/// Returns whether a target says that it has not run the request.
fn claims_not_run(head: &ResponseHead) -> bool {
    head.status == StatusCode::MISDIRECTED_REQUEST
        || head.headers.contains_key(target_headers::NOT_RUN)
}

/// Returns the pause that a target asks for with a rejection.
fn asked_pause(head: &ResponseHead) -> Option<Result<DurationMs, DecodeError>> {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let value = head.headers.get(target_headers::PAUSE)?;
    let answered = head.headers.get(header::DATE);
    let answered = answered.and_then(|value| value.to_str().ok());
    let value = value.to_str().unwrap_or("");
    Some(parse_pause(value, answered, SystemTime::now()))
}

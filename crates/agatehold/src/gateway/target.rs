//! Exchanges one request and response with a target over a pooled or new
//! connection, and classifies the result.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;
use http::header;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

use agatehold_core::dispatch::LoadReport;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_platform::parse_load;
use agatehold_platform::request_headers;
use agatehold_platform::target_headers;

use super::http1::BodyCollector;
use super::http1::HttpFault;
use super::http1::ResponseHead;
use super::http1::take_response_head;
use super::pool::BodyBytes;
use super::pool::IDLE_MAX;
use super::pool::TargetPool;
use super::pool::TargetStream;
use super::pool::open;

/// The longest idle time of a connection that is reused for a request that is not
/// idempotent. An older connection may be dead or about to be closed, and such a
/// request can't be retried; opening a new connection takes about 1 ms.
const IDLE_MAX_ONCE: Duration = Duration::from_millis(400);

/// The maximum size of a response head.
const HEAD_BYTES_MAX: usize = 32 * 1024;

/// The maximum size of a response body, which is buffered completely before it is
/// forwarded.
const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;

/// The maximum number of late responses to earlier requests that are skipped while
/// waiting for the response to the current one.
const LATE_ANSWERS_MAX: u32 = 4;

/// The free buffer space that is reserved before each read.
const READ_BYTES: usize = 8 * 1024;

/// A request to a target in encoded form.
pub(super) struct Outbound<'a> {
    /// The encoded head and body.
    pub(super) bytes: &'a [u8],
    /// The request id, which the response must echo.
    pub(super) request_id: Option<&'a [u8]>,
    /// Whether the request may run more than once.
    pub(super) idempotent: bool,
    /// Whether this is a HEAD request, whose response has no body.
    pub(super) is_head_request: bool,
    /// The deadline for the response to the caller.
    pub(super) deadline: Instant,
}

/// A complete response from a target.
pub(super) struct TargetAnswer {
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
    pub(super) answer: Option<TargetAnswer>,
    /// The load that the target reported in the response.
    pub(super) load: Option<LoadReport>,
    /// Whether the address now belongs to another target (status 421).
    pub(super) is_wrong_target: bool,
    /// Whether this daemon abandoned the attempt before the request's deadline.
    pub(super) is_given_up: bool,
    /// A description of the failure for the log.
    pub(super) detail: &'static str,
}

impl AttemptEnd {
    pub(super) const fn without_answer(outcome: AttemptOutcome, detail: &'static str) -> Self {
        Self {
            outcome,
            answer: None,
            load: None,
            is_wrong_target: false,
            is_given_up: false,
            detail,
        }
    }
}

/// Why an exchange brought no usable response.
#[derive(Clone, Copy, Debug)]
struct ExchangeFault {
    outcome: AttemptOutcome,
    detail: &'static str,
}

/// Sends a request once and reads the complete response.
///
/// The connection is returned to the pool only after a complete response that is
/// followed by no further bytes. Otherwise it is closed, so that late bytes can't
/// be taken for the response to another request.
pub(super) async fn run_attempt(
    pool: &RefCell<TargetPool>,
    address: SocketAddr,
    outbound: &Outbound<'_>,
) -> AttemptEnd {
    let idle_max = if outbound.idempotent {
        IDLE_MAX
    } else {
        IDLE_MAX_ONCE
    };
    let pooled = pool.borrow_mut().take(address, idle_max);
    let mut connection = match pooled {
        Some(connection) => connection,
        None => match open(address, outbound.deadline).await {
            Ok(connection) => connection,
            Err(detail) => {
                return AttemptEnd::without_answer(AttemptOutcome::ConnectFailed, detail);
            }
        },
    };
    let body_bytes = pool.borrow().body_bytes();
    let exchanged = exchange(&mut connection, outbound, body_bytes);
    match tokio::time::timeout_at(outbound.deadline, exchanged).await {
        Err(_) => AttemptEnd::without_answer(AttemptOutcome::TimedOut, "deadline passed"),
        Ok(Err(fault)) => AttemptEnd::without_answer(fault.outcome, fault.detail),
        Ok(Ok(exchanged)) => {
            if exchanged.is_reusable && connection.buffer.is_empty() {
                if let Some(lifetime) = announced_lifetime(&exchanged.head.headers) {
                    connection.usable_until = Instant::now() + lifetime;
                }
                pool.borrow_mut().put(address, connection);
            }
            classify(exchanged)
        }
    }
}

/// A complete response as received, before it is classified.
struct Exchanged {
    head: ResponseHead,
    body: Bytes,
    is_reusable: bool,
}

/// Writes the request and reads the response, which may arrive before the request
/// is written completely.
async fn exchange(
    connection: &mut TargetStream,
    outbound: &Outbound<'_>,
    mut body_bytes: BodyBytes,
) -> Result<Exchanged, ExchangeFault> {
    let TargetStream { stream, buffer, .. } = connection;
    let mut written = 0;
    let mut interim_bytes = 0;
    let mut late_answers = 0;
    let mut head: Option<(ResponseHead, BodyCollector)> = None;
    loop {
        if head.is_none() {
            head = next_head(buffer, outbound, &mut interim_bytes)?;
        }
        if let Some((_, body)) = &mut head {
            let complete = body.take(buffer).map_err(broken)?;
            if !body_bytes.set(body.collected_bytes()) {
                return Err(cut("memory limit for answer bodies reached"));
            }
            if complete && let Some((read, body)) = head.take() {
                if !repeats_id(&read, outbound) {
                    // A late response to an earlier request on this connection;
                    // the response to this request is still to come.
                    late_answers += 1;
                    if !read.keeps_alive || late_answers > LATE_ANSWERS_MAX {
                        return Err(mismatched());
                    }
                    continue;
                }
                let is_reusable = read.keeps_alive && written == outbound.bytes.len();
                return Ok(Exchanged {
                    head: read,
                    body: body.close(),
                    is_reusable,
                });
            }
        }
        buffer.reserve(READ_BYTES);
        let (mut reading, mut writing) = stream.split();
        let unsent = &outbound.bytes[written..];
        tokio::select! {
            biased;
            sent = writing.write(unsent), if !unsent.is_empty() => match sent {
                Ok(length) => written += length,
                Err(_) if written == 0 => return Err(not_written()),
                Err(_) => return Err(lost("connection lost while writing")),
            },
            read = reading.read_buf(buffer) => match read {
                Ok(0) => return end_of_stream(head.take(), outbound, written),
                Ok(_) => {}
                Err(_) => return Err(reset(head.is_some(), written)),
            },
        }
    }
}

fn next_head(
    buffer: &mut BytesMut,
    outbound: &Outbound<'_>,
    interim_bytes: &mut usize,
) -> Result<Option<(ResponseHead, BodyCollector)>, ExchangeFault> {
    if buffer.is_empty() {
        return Ok(None);
    }
    let is_head_request = outbound.is_head_request;
    let head = take_response_head(buffer, HEAD_BYTES_MAX, interim_bytes, is_head_request)
        .map_err(broken)?;
    let Some(head) = head else {
        return Ok(None);
    };
    let body = BodyCollector::new(head.framing, BODY_BYTES_MAX).map_err(broken)?;
    Ok(Some((head, body)))
}

/// Handles an orderly end of the stream, which completes a response that has
/// neither a length nor chunks.
fn end_of_stream(
    head: Option<(ResponseHead, BodyCollector)>,
    outbound: &Outbound<'_>,
    written: usize,
) -> Result<Exchanged, ExchangeFault> {
    let Some((head, body)) = head else {
        return Err(reset(false, written));
    };
    if !body.ends_with_close() {
        return Err(cut("answer ended early"));
    }
    if !repeats_id(&head, outbound) {
        return Err(mismatched());
    }
    Ok(Exchanged {
        head,
        body: body.close(),
        is_reusable: false,
    })
}

fn repeats_id(head: &ResponseHead, outbound: &Outbound<'_>) -> bool {
    let echo = head.headers.get(request_headers::REQUEST_ID);
    match (echo, outbound.request_id) {
        (Some(echo), Some(sent)) => echo.as_bytes() == sent,
        // Targets don't run a request without an id, so a success can't be the
        // response to it.
        (None, None) => !head.status.is_success(),
        // A refusal without the id may be a repetition of an earlier one, while
        // this request is running.
        (None, Some(_)) | (Some(_), None) => false,
    }
}

const fn lost(detail: &'static str) -> ExchangeFault {
    ExchangeFault {
        outcome: AttemptOutcome::ConnectionLost,
        detail,
    }
}

const fn cut(detail: &'static str) -> ExchangeFault {
    ExchangeFault {
        outcome: AttemptOutcome::Cut,
        detail,
    }
}

const fn mismatched() -> ExchangeFault {
    ExchangeFault {
        outcome: AttemptOutcome::Mismatched,
        detail: "answer to another request",
    }
}

const fn not_written() -> ExchangeFault {
    ExchangeFault {
        outcome: AttemptOutcome::NotWritten,
        detail: "connection closed before the request was written",
    }
}

const fn reset(has_head: bool, written: usize) -> ExchangeFault {
    if has_head {
        return cut("connection lost during the answer");
    }
    if written == 0 {
        return not_written();
    }
    lost("connection lost before the answer")
}

const fn broken(fault: HttpFault) -> ExchangeFault {
    match fault {
        HttpFault::Malformed => cut("malformed answer"),
        HttpFault::HeadTooLarge => cut("head of the answer exceeds the size limit"),
        HttpFault::BodyTooLarge => cut("body of the answer exceeds the size limit"),
        HttpFault::AmbiguousLength => cut("ambiguous body length of the answer"),
    }
}

/// Parses the idle timeout in whole seconds from the `keep-alive` header and
/// returns 75 % of it, since part of it has passed when the response arrives.
fn announced_lifetime(headers: &HeaderMap) -> Option<Duration> {
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

fn classify(exchanged: Exchanged) -> AttemptEnd {
    let Exchanged { head, body, .. } = exchanged;
    let load = head
        .headers
        .get(target_headers::LOAD)
        .and_then(|value| value.to_str().ok())
        .and_then(parse_load);
    let is_signed = head.headers.contains_key(target_headers::SIGNATURE);
    let is_wrong_target = head.status == StatusCode::MISDIRECTED_REQUEST;
    let is_not_run = is_wrong_target || head.headers.contains_key(target_headers::NOT_RUN);
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
    } else if head.status.is_server_error() || !is_signed {
        (AttemptOutcome::Failed, "server error")
    } else {
        (AttemptOutcome::Answered, "")
    };
    let is_usable = matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Failed);
    let answer = is_usable.then_some(TargetAnswer {
        status: head.status,
        headers: head.headers,
        body,
    });
    AttemptEnd {
        outcome,
        answer,
        load,
        is_wrong_target,
        is_given_up: false,
        detail,
    }
}

//! One attempt to run a request at a target.

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

/// A connection that was idle for longer is not used for a request that must
/// not run twice: it may have gone silent or be about to close, and a new one
/// costs about 1 ms.
const IDLE_MAX_ONCE: Duration = Duration::from_millis(400);

/// The size of an answer's head.
const HEAD_BYTES_MAX: usize = 32 * 1024;

/// The size of an answer's body, which is read whole before any of it is
/// passed on.
const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;

/// The late answers to earlier requests that are passed over before the own one.
const LATE_ANSWERS_MAX: u32 = 4;

/// The space that is free for each read.
const READ_BYTES: usize = 8 * 1024;

/// A request as it is sent to a target.
pub(super) struct Outbound<'a> {
    /// The head and the body.
    pub(super) bytes: &'a [u8],
    /// The request's identifier, which the answer has to repeat.
    pub(super) request_id: Option<&'a [u8]>,
    /// Whether the request may run more than once.
    pub(super) idempotent: bool,
    /// Whether the answer has no body by the request's method.
    pub(super) is_head_request: bool,
    /// When the final answer is due.
    pub(super) deadline: Instant,
}

/// A whole answer of a target.
pub(super) struct TargetAnswer {
    /// The status.
    pub(super) status: StatusCode,
    /// The headers as received.
    pub(super) headers: HeaderMap,
    /// The body.
    pub(super) body: Bytes,
}

/// How an attempt ended.
pub(super) struct AttemptEnd {
    /// The outcome for the rules and the health evidence.
    pub(super) outcome: AttemptOutcome,
    /// The answer, if a whole one came.
    pub(super) answer: Option<TargetAnswer>,
    /// The load that the target reported.
    pub(super) load: Option<LoadReport>,
    /// Whether another target has the address.
    pub(super) is_wrong_target: bool,
    /// Whether this daemon gave up waiting before the request's deadline.
    pub(super) is_given_up: bool,
    /// What went wrong, for the log.
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

/// Why an exchange brought no answer.
#[derive(Clone, Copy, Debug)]
struct ExchangeFault {
    outcome: AttemptOutcome,
    detail: &'static str,
}

/// Sends a request once and reads its whole answer.
///
/// A connection goes back to the pool only after a whole answer with nothing
/// behind it; in every other case it is closed, so that what comes late dies
/// with it.
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

/// A whole answer as it came.
struct Exchanged {
    head: ResponseHead,
    body: Bytes,
    is_reusable: bool,
}

/// Writes the request and reads the answer, which may come before the whole
/// request is written.
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
                return Err(cut("no memory for the answer"));
            }
            if complete && let Some((read, body)) = head.take() {
                if !repeats_id(&read, outbound) {
                    // The late answer to an earlier request; the own one
                    // follows behind it.
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

/// The stream ended cleanly, which completes an answer without a length.
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
        // Targets do not run a request without an id.
        (None, None) => !head.status.is_success(),
        // A refusal without the id may be an earlier one that is written again,
        // while the request runs.
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
        detail: "closed before writing",
    }
}

const fn reset(has_head: bool, written: usize) -> ExchangeFault {
    if has_head {
        return cut("connection lost within the answer");
    }
    if written == 0 {
        return not_written();
    }
    lost("connection lost before the answer")
}

const fn broken(fault: HttpFault) -> ExchangeFault {
    match fault {
        HttpFault::Malformed => cut("bytes that are no answer"),
        HttpFault::HeadTooLarge => cut("head of the answer over the limit"),
        HttpFault::BodyTooLarge => cut("answer over the limit"),
        HttpFault::AmbiguousLength => cut("length of the answer ambiguous"),
    }
}

/// Reads the idle time that the target announces, in whole seconds; some of it
/// passes while the answer is on its way.
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
        (AttemptOutcome::Shed, "not run")
    } else if head.status.is_success() && !is_signed {
        (AttemptOutcome::Mismatched, "success without a signature")
    } else if is_encoded {
        (AttemptOutcome::Mismatched, "encoded body")
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

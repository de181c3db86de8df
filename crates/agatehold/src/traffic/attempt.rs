//! Sends a request to a target once and reads the answer.

use std::cell::RefCell;
use std::error::Error as _;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use tokio::time::Instant;

use agatehold_core::ids::RequestId;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::outcome::is_valid_status;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;
use agatehold_wire::headers;

use crate::clock::Clock;
use crate::clock::duration;

use super::pool::Connection;
use super::pool::IDLE_MAX_MS;
use super::pool::IDLE_MAX_NON_IDEMPOTENT_MS;
use super::pool::Pool;
use super::pool::TRAFFIC_TCP_TIMEOUTS;

/// The timeout for opening a connection. The latency between hosts is a few
/// milliseconds, so a longer wait means that the host is unreachable.
const CONNECT_TIMEOUT_MS: DurationMs = DurationMs(500);

/// The time without an answer after which a connection that had been idle
/// counts as silent: its packets are lost, but it was never closed. Half the
/// time until the deadline applies instead if that is shorter.
const SILENT_TIMEOUT_MS: DurationMs = DurationMs(1_000);

/// The idle time after which a connection may have gone silent without this
/// having been noticed.
const SILENT_SUSPECT_IDLE_MS: DurationMs = IDLE_MAX_NON_IDEMPOTENT_MS;

/// A request as it is sent to a target.
pub(crate) struct Outbound<'a> {
    /// The request method.
    pub(crate) method: &'a Method,
    /// The path with its query.
    pub(crate) path: &'a str,
    /// The value of the `Host` header; `None` for the target's address.
    pub(crate) host: Option<&'a str>,
    /// The headers, without hop-by-hop headers.
    pub(crate) headers: &'a HeaderMap,
    /// The complete body.
    pub(crate) body: &'a Bytes,
    /// The request id, which the target may echo in its answer.
    pub(crate) request_id: RequestId,
    /// The time by which the request must be answered.
    pub(crate) deadline: TimeMs,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// The maximum number of idle connections that this thread keeps to the
    /// target.
    pub(crate) idle_connections_max: usize,
    /// The maximum size of an answer that is buffered completely before any of
    /// it is passed on.
    pub(crate) answer_bytes: usize,
}

/// An answer received from a target or another daemon.
pub(crate) struct ReceivedAnswer {
    /// The status code.
    pub(crate) status: StatusCode,
    /// The headers as they were received.
    pub(crate) headers: HeaderMap,
    /// The complete body, or its first part if `rest` is set.
    pub(crate) body: Bytes,
    /// The unread rest of a body that exceeds the buffer size, and the
    /// connection that delivers it.
    pub(crate) rest: Option<(Incoming, Connection)>,
}

/// The result of an attempt.
pub(crate) struct Attempt {
    /// The outcome, which the retry rules and the health evidence use.
    pub(crate) outcome: AttemptOutcome,
    /// The answer, if it was received completely or exceeds the buffer size.
    pub(crate) received: Option<ReceivedAnswer>,
    /// Whether the connection was lost before the answer was complete: the target may
    /// have crashed.
    pub(crate) is_connection_lost: bool,
}

impl Attempt {
    pub(crate) const fn without_answer(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            received: None,
            is_connection_lost: matches!(outcome, AttemptOutcome::ConnectionLost),
        }
    }
}

/// Sends a request once and reads its answer.
///
/// The connection is returned to the pool only after a complete, well-framed
/// answer of a target that has not shed the request. In all other cases it is
/// closed, so that a late answer or the copy of one that says "not run" can't
/// be taken for the answer to a later request. A shed answer without the
/// request's id is believed only on a new connection.
pub(crate) async fn run_attempt(
    pool: &RefCell<Pool>,
    clock: Clock,
    address: SocketAddr,
    outbound: &Outbound<'_>,
) -> Attempt {
    let mut connection = match obtain_connection(pool, clock, address, outbound).await {
        Ok(connection) => connection,
        Err(outcome) => return Attempt::without_answer(outcome),
    };
    if clock.now() >= outbound.deadline {
        // The process was paused, or the host suspended, while it waited for the
        // connection. The caller may have given up, and its claim of the key may have
        // run out.
        connection.close();
        return Attempt::without_answer(AttemptOutcome::NotWritten);
    }
    let request = build_request(address, outbound, clock.now());
    let response = match send(&mut connection, clock, request, outbound).await {
        Ok(response) => response,
        Err(outcome) => {
            connection.close();
            if outcome == AttemptOutcome::Silent {
                pool.borrow_mut().close_address(address);
            }
            return Attempt::without_answer(outcome);
        }
    };
    read_answer(pool, clock, address, connection, response, outbound).await
}

async fn obtain_connection(
    pool: &RefCell<Pool>,
    clock: Clock,
    address: SocketAddr,
    outbound: &Outbound<'_>,
) -> Result<Connection, AttemptOutcome> {
    let idle_max_ms = if outbound.idempotent {
        IDLE_MAX_MS
    } else {
        IDLE_MAX_NON_IDEMPOTENT_MS
    };
    let pooled = pool.borrow_mut().take(address, clock.now(), idle_max_ms);
    if let Some(connection) = pooled {
        return Ok(connection);
    }
    let connect_deadline = outbound.deadline.min(clock.now() + CONNECT_TIMEOUT_MS);
    match tokio::time::timeout_at(
        clock.instant(connect_deadline),
        Connection::open(address, TRAFFIC_TCP_TIMEOUTS),
    )
    .await
    {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(_)) | Err(_) => Err(AttemptOutcome::ConnectFailed),
    }
}

fn build_request(
    address: SocketAddr,
    outbound: &Outbound<'_>,
    now: TimeMs,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outbound.body.clone()));
    *request.method_mut() = outbound.method.clone();
    if let Ok(uri) = outbound.path.parse() {
        *request.uri_mut() = uri;
    }
    *request.headers_mut() = outbound.headers.clone();
    let remaining_ms = outbound.deadline.since(now);
    let values = [
        (
            "host",
            outbound
                .host
                .map_or_else(|| address.to_string(), str::to_owned),
        ),
        (headers::REQUEST_ID, outbound.request_id.to_string()),
        (headers::TIMEOUT_MS, remaining_ms.0.to_string()),
    ];
    for (name, value) in values {
        if let Ok(value) = value.parse() {
            request.headers_mut().insert(name, value);
        }
    }
    request
}

async fn send(
    connection: &mut Connection,
    clock: Clock,
    request: Request<Full<Bytes>>,
    outbound: &Outbound<'_>,
) -> Result<Response<Incoming>, AttemptOutcome> {
    let deadline = clock.instant(outbound.deadline);
    let may_be_silent = connection
        .idle_ms
        .is_some_and(|idle_ms| idle_ms >= SILENT_SUSPECT_IDLE_MS);
    let response_deadline = if may_be_silent {
        let half_ms = DurationMs(outbound.deadline.since(clock.now()).0 / 2);
        deadline.min(Instant::now() + duration(SILENT_TIMEOUT_MS.min(half_ms)))
    } else {
        deadline
    };
    let sending = connection.sender.try_send_request(request);
    match tokio::time::timeout_at(response_deadline, sending).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => Err(classify_send_error(error)),
        Err(_) if may_be_silent && response_deadline < deadline => Err(AttemptOutcome::Silent),
        Err(_) => Err(AttemptOutcome::TimedOut),
    }
}

/// Returns the outcome of a failed send. If hyper returns the request, it was
/// never written to the connection. A target whose answer can't be parsed is in
/// trouble, but has not crashed.
fn classify_send_error(mut error: TrySendError<Request<Full<Bytes>>>) -> AttemptOutcome {
    match error.take_message() {
        Some(_) => AttemptOutcome::NotWritten,
        None if error.error().is_parse() => AttemptOutcome::Cut,
        None => AttemptOutcome::ConnectionLost,
    }
}

/// Returns whether hyper has accepted an answer that is malformed: hyper takes
/// statuses up to 999, and a protocol switch, which is never requested.
fn is_malformed(status: StatusCode) -> bool {
    !is_valid_status(status.as_u16()) || status == StatusCode::SWITCHING_PROTOCOLS
}

async fn read_answer(
    pool: &RefCell<Pool>,
    clock: Clock,
    address: SocketAddr,
    connection: Connection,
    response: Response<Incoming>,
    outbound: &Outbound<'_>,
) -> Attempt {
    let (head, mut body) = response.into_parts();
    if is_malformed(head.status) {
        connection.close();
        return Attempt::without_answer(AttemptOutcome::Cut);
    }
    let echo = read_echo(&head.headers, outbound.request_id);
    if echo == Echo::Other {
        connection.close();
        return Attempt::without_answer(AttemptOutcome::Mismatched);
    }
    let outcome = classify_response(head.status, &head.headers);
    let was_used_before = connection.idle_ms.is_some();
    if outcome == AttemptOutcome::Shed && echo == Echo::Missing && was_used_before {
        // The answer may be that to an earlier request on the connection.
        connection.close();
        return Attempt::without_answer(AttemptOutcome::Mismatched);
    }
    let deadline = clock.instant(outbound.deadline);
    let mut buffer = BytesMut::new();
    loop {
        let frame = match tokio::time::timeout_at(deadline, body.frame()).await {
            Ok(None) => break,
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => {
                connection.close();
                return Attempt {
                    is_connection_lost: is_connection_error(&error),
                    ..Attempt::without_answer(AttemptOutcome::Cut)
                };
            }
            Err(_) => {
                connection.close();
                return Attempt::without_answer(AttemptOutcome::TimedOut);
            }
        };
        // Trailers are dropped, since none of the proxied protocols needs them.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        if buffer.len() > outbound.answer_bytes {
            return Attempt {
                outcome,
                received: Some(ReceivedAnswer {
                    status: head.status,
                    headers: head.headers,
                    body: buffer.freeze(),
                    rest: Some((body, connection)),
                }),
                is_connection_lost: false,
            };
        }
    }
    if outcome == AttemptOutcome::Shed {
        // A copy of the answer may follow, and nothing tells it from the answer to the
        // next request: a target need not echo the id, and the next request may be the
        // same one, for another target with the same address.
        connection.close();
    } else {
        let max = outbound.idle_connections_max;
        pool.borrow_mut().put(address, connection, clock.now(), max);
    }
    Attempt {
        outcome,
        received: Some(ReceivedAnswer {
            status: head.status,
            headers: head.headers,
            body: buffer.freeze(),
            rest: None,
        }),
        is_connection_lost: false,
    }
}

/// Returns whether the body of an answer ended because the connection did, and not because
/// the body is malformed.
fn is_connection_error(error: &hyper::Error) -> bool {
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(error) = cause.downcast_ref::<io::Error>() {
            return matches!(
                error.kind(),
                io::ErrorKind::UnexpectedEof
                    | io::ErrorKind::ConnectionReset
                    | io::ErrorKind::ConnectionAborted
                    | io::ErrorKind::BrokenPipe
            );
        }
        source = cause.source();
    }
    error.is_incomplete_message()
}

/// The request id in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Echo {
    /// The id of the request.
    Own,
    /// No id; targets need not echo it.
    Missing,
    /// Another id, or none that can be parsed.
    Other,
}

fn read_echo(received: &HeaderMap, request_id: RequestId) -> Echo {
    let Some(echo) = received.get(headers::REQUEST_ID) else {
        return Echo::Missing;
    };
    let echo = echo.to_str().ok().and_then(|text| text.parse().ok());
    if echo == Some(request_id) {
        Echo::Own
    } else {
        Echo::Other
    }
}

fn classify_response(status: StatusCode, received: &HeaderMap) -> AttemptOutcome {
    if status == StatusCode::SERVICE_UNAVAILABLE && received.contains_key(headers::SHED) {
        return AttemptOutcome::Shed;
    }
    if status.is_server_error() {
        return AttemptOutcome::Failed;
    }
    AttemptOutcome::Answered
}

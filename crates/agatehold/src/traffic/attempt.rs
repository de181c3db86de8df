//! One attempt to run a request at a target.

use std::cell::RefCell;
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
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;
use agatehold_wire::headers;

use crate::clock::Clock;
use crate::clock::duration;

use super::pool::Connection;
use super::pool::IDLE_MAX_MS;
use super::pool::IDLE_MAX_NON_IDEMPOTENT_MS;
use super::pool::Pool;
use super::pool::TRAFFIC_LIVENESS;

/// The longest time that opening a connection may take. Hosts are a few
/// milliseconds apart, so a longer wait means that the host is unreachable.
const CONNECT_TIMEOUT_MS: DurationMs = DurationMs(500);

/// The time without a byte after which a connection that had been idle is
/// taken for silent.
const SILENT_BOUND_MS: DurationMs = DurationMs(1_000);

/// The idle time from which a connection may have gone silent unnoticed.
const SILENT_SUSPECT_IDLE_MS: DurationMs = IDLE_MAX_NON_IDEMPOTENT_MS;

/// A request as it is sent to a target.
pub(crate) struct Outbound<'a> {
    /// The method.
    pub(crate) method: &'a Method,
    /// The path with its query.
    pub(crate) path: &'a str,
    /// The host name to send; the address if absent.
    pub(crate) host: Option<&'a str>,
    /// The headers without those of the connection.
    pub(crate) headers: &'a HeaderMap,
    /// The whole body.
    pub(crate) body: &'a Bytes,
    /// The identifier that the target may echo.
    pub(crate) request_id: RequestId,
    /// When the request has to be answered.
    pub(crate) deadline: TimeMs,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// The connections that this thread keeps to the target.
    pub(crate) connections_max: usize,
    /// The size up to which an answer is read before any of it is passed on.
    pub(crate) answer_bytes: usize,
}

/// An answer of a target.
pub(crate) struct Received {
    /// The status code.
    pub(crate) status: StatusCode,
    /// The headers as received.
    pub(crate) headers: HeaderMap,
    /// The body, or its first part if `rest` follows.
    pub(crate) body: Bytes,
    /// The rest of a body that is over the buffer size, with its connection.
    pub(crate) rest: Option<(Incoming, Connection)>,
}

/// How an attempt ended.
pub(crate) struct Attempt {
    /// The outcome for the retry rules and the health evidence.
    pub(crate) outcome: AttemptOutcome,
    /// The answer, if a whole one came or its first part.
    pub(crate) received: Option<Received>,
}

impl Attempt {
    pub(crate) const fn without_answer(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            received: None,
        }
    }
}

/// Sends a request once and reads its answer.
///
/// A connection goes back to the pool only after a whole, well-framed answer;
/// in every other case it is closed, so that a late answer dies with it.
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
    let latest = outbound.deadline.min(clock.now() + CONNECT_TIMEOUT_MS);
    match tokio::time::timeout_at(
        clock.instant(latest),
        Connection::open(address, TRAFFIC_LIVENESS),
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
    let suspect = connection
        .idle_ms
        .is_some_and(|idle_ms| idle_ms >= SILENT_SUSPECT_IDLE_MS);
    let bound = if suspect {
        let half_ms = DurationMs(outbound.deadline.since(clock.now()).0 / 2);
        deadline.min(Instant::now() + duration(SILENT_BOUND_MS.min(half_ms)))
    } else {
        deadline
    };
    let sending = connection.sender.try_send_request(request);
    match tokio::time::timeout_at(bound, sending).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => Err(send_fault(error)),
        Err(_) if suspect && bound < deadline => Err(AttemptOutcome::Silent),
        Err(_) => Err(AttemptOutcome::TimedOut),
    }
}

/// A request that the library hands back was never written.
fn send_fault(mut error: TrySendError<Request<Full<Bytes>>>) -> AttemptOutcome {
    match error.take_message() {
        Some(_) => AttemptOutcome::NotWritten,
        None => AttemptOutcome::ConnectionLost,
    }
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
    if !echo_matches(&head.headers, outbound.request_id) {
        connection.close();
        return Attempt::without_answer(AttemptOutcome::Mismatched);
    }
    let outcome = classify(head.status, &head.headers);
    let deadline = clock.instant(outbound.deadline);
    let mut buffer = BytesMut::new();
    loop {
        let frame = match tokio::time::timeout_at(deadline, body.frame()).await {
            Ok(None) => break,
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => {
                connection.close();
                return Attempt::without_answer(AttemptOutcome::Cut);
            }
            Err(_) => {
                connection.close();
                return Attempt::without_answer(AttemptOutcome::TimedOut);
            }
        };
        // Trailers are dropped: none of the brokered protocols needs them.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        if buffer.len() > outbound.answer_bytes {
            return Attempt {
                outcome,
                received: Some(Received {
                    status: head.status,
                    headers: head.headers,
                    body: buffer.freeze(),
                    rest: Some((body, connection)),
                }),
            };
        }
    }
    let max = outbound.connections_max;
    pool.borrow_mut().put(address, connection, clock.now(), max);
    Attempt {
        outcome,
        received: Some(Received {
            status: head.status,
            headers: head.headers,
            body: buffer.freeze(),
            rest: None,
        }),
    }
}

fn echo_matches(received: &HeaderMap, request_id: RequestId) -> bool {
    let Some(echo) = received.get(headers::REQUEST_ID) else {
        return true;
    };
    echo.to_str()
        .ok()
        .and_then(|text| text.parse::<RequestId>().ok())
        == Some(request_id)
}

fn classify(status: StatusCode, received: &HeaderMap) -> AttemptOutcome {
    if status == StatusCode::SERVICE_UNAVAILABLE && received.contains_key(headers::SHED) {
        return AttemptOutcome::Shed;
    }
    if status.is_server_error() {
        return AttemptOutcome::Failed;
    }
    AttemptOutcome::Answered
}

//! Reads a caller's request completely and checks its headers.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use agatehold_core::catalog::without_port;
use agatehold_core::ids::HostId;
use agatehold_core::ids::RequestId;
use agatehold_core::ids::TenantName;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::units::DurationMs;
use agatehold_wire::headers;

use super::answer::strip_hop_by_hop;
use super::framing::FRAMING_FAULT_HEADER;

/// Request headers that are not forwarded as received, since agatehold
/// interprets them or sets them itself.
const CONSUMED_HEADERS: [&str; 7] = [
    headers::TIMEOUT_MS,
    headers::IDEMPOTENT,
    headers::REQUEST_ID,
    headers::FORWARDED_BY,
    "host",
    "content-length",
    "expect",
];

/// A request that was received completely.
pub(crate) struct Arrival {
    /// The request id: random, or set by the daemon that forwarded the request.
    pub(crate) request_id: RequestId,
    /// The request method.
    pub(crate) method: Method,
    /// The host name without its port, empty if absent.
    pub(crate) host: Box<str>,
    /// The path with its query.
    pub(crate) path_and_query: Box<str>,
    /// The headers that are forwarded to the target.
    pub(crate) headers: HeaderMap,
    /// The complete body.
    pub(crate) body: Bytes,
    /// The tenant; `None` if the header is missing or malformed.
    pub(crate) tenant: Option<TenantName>,
    /// The caller's timeout; `None` if the caller sets none.
    pub(crate) timeout_ms: Option<DurationMs>,
    /// The idempotency key as it was received, not yet parsed.
    pub(crate) key: Option<Box<str>>,
    /// Whether the caller marked the request as non-idempotent.
    pub(crate) marked_non_idempotent: bool,
    /// The daemon that forwarded the request, if any.
    pub(crate) forwarded_by: Option<HostId>,
}

impl Arrival {
    /// Returns the path without its query.
    pub(crate) fn path(&self) -> &str {
        self.path_and_query.split('?').next().unwrap_or("/")
    }
}

/// The limits on a request's body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// The maximum size of the body.
    pub(crate) body_bytes: usize,
    /// The maximum time from the end of the head to the end of the body.
    pub(crate) body_timeout: Duration,
}

/// Reads a request. The body is read completely first, so that a request whose
/// caller disconnects while sending it has no effect.
pub(crate) async fn read_request(
    request: Request<Incoming>,
    request_id: RequestId,
    limits: BodyLimits,
) -> Result<Arrival, RefusalKind> {
    let (mut head, body) = request.into_parts();
    if let Some(fault) = head.headers.get(FRAMING_FAULT_HEADER) {
        let kind = fault.to_str().ok().and_then(|text| text.parse().ok());
        return Err(kind.unwrap_or(RefusalKind::BadRequest));
    }
    let tenant = parse_header(&head.headers, headers::TENANT);
    let timeout_ms = read_timeout(&head.headers)?;
    let key = head
        .headers
        .get(headers::IDEMPOTENCY_KEY)
        .map(|value| value.to_str().map(Box::from))
        .transpose()
        .map_err(|_| RefusalKind::KeyMalformed)?;
    let marked_non_idempotent = head
        .headers
        .get(headers::IDEMPOTENT)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"no"));
    let forwarded_by: Option<HostId> = parse_header(&head.headers, headers::FORWARDED_BY);
    let host = host_name(&head.headers, head.uri.host());
    let path_and_query = head
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .into();
    strip_hop_by_hop(&mut head.headers);
    for name in CONSUMED_HEADERS {
        head.headers.remove(name);
    }
    let body = read_body(body, limits).await?;
    Ok(Arrival {
        request_id,
        method: head.method,
        host,
        path_and_query,
        headers: head.headers,
        body,
        tenant,
        timeout_ms,
        key,
        marked_non_idempotent,
        forwarded_by,
    })
}

/// Returns the request id set by the daemon that forwarded the request, if it
/// was forwarded.
///
/// Every answer, including a refusal, has to echo this id. The forwarding
/// daemon rejects an answer with another id as the answer to another request.
pub(crate) fn parse_forwarded_request_id(fields: &HeaderMap) -> Option<RequestId> {
    let _: HostId = parse_header(fields, headers::FORWARDED_BY)?;
    parse_header(fields, headers::REQUEST_ID)
}

fn parse_header<T: std::str::FromStr>(fields: &HeaderMap, name: &str) -> Option<T> {
    fields.get(name)?.to_str().ok()?.parse().ok()
}

/// Parses the caller's timeout. 0 or a negative number is refused because the
/// deadline has passed; anything that is not a number is malformed.
fn read_timeout(fields: &HeaderMap) -> Result<Option<DurationMs>, RefusalKind> {
    let Some(value) = fields.get(headers::TIMEOUT_MS) else {
        return Ok(None);
    };
    let timeout_ms: i64 = value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or(RefusalKind::BadRequest)?;
    match u64::try_from(timeout_ms) {
        Ok(0) | Err(_) => Err(RefusalKind::DeadlinePassed),
        Ok(timeout_ms) => Ok(Some(DurationMs(timeout_ms))),
    }
}

/// Returns the host name to which a request is addressed, in lower case and
/// without its port.
pub(crate) fn host_name(fields: &HeaderMap, uri_host: Option<&str>) -> Box<str> {
    let host = fields
        .get(header::HOST)
        .and_then(|value| value.to_str().ok())
        .or(uri_host)
        .unwrap_or("");
    without_port(host).to_ascii_lowercase().into()
}

async fn read_body(mut body: Incoming, limits: BodyLimits) -> Result<Bytes, RefusalKind> {
    let declared_bytes = hyper::body::Body::size_hint(&body).lower();
    if declared_bytes > limits.body_bytes as u64 {
        return Err(RefusalKind::BodyTooLarge);
    }
    let body_deadline = tokio::time::Instant::now() + limits.body_timeout;
    let mut buffer = BytesMut::new();
    loop {
        let frame = match tokio::time::timeout_at(body_deadline, body.frame()).await {
            Err(_) => return Err(RefusalKind::SlowSender),
            Ok(None) => return Ok(buffer.freeze()),
            Ok(Some(Err(_))) => return Err(RefusalKind::BadRequest),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > limits.body_bytes {
            return Err(RefusalKind::BodyTooLarge);
        }
        buffer.extend_from_slice(&data);
    }
}

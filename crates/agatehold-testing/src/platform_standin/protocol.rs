//! Parses requests and builds responses of the platform's protocol.
//!
//! This code doesn't share the client's codec, so that a bug in the codec
//! can't cancel itself out in tests.

use std::str::FromStr;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::ETAG;
use http::header::IF_MATCH;
use http::header::IF_NONE_MATCH;
use http_body_util::Full;

use agatehold_core::units::DurationMs;
use agatehold_wire::platform::LeaseId;
use agatehold_wire::platform::PlatformKey;
use agatehold_wire::platform::PlatformRequest;
use agatehold_wire::platform::VALUE_MAX_BYTES;
use agatehold_wire::platform::ValueVersion;

use crate::common::text_response;

/// Parses a request, or returns the error status of the response.
pub(super) fn parse_request(request: &Request<Bytes>) -> Result<PlatformRequest, StatusCode> {
    let path = request.uri().path();
    let query = request.uri().query().unwrap_or_default();
    let method = request.method();
    if let Some(key) = path.strip_prefix("/kv/") {
        let key = key.parse().map_err(|_| StatusCode::BAD_REQUEST)?;
        return parse_key_request(request, key, query);
    }
    if path == "/keys" && method == Method::GET {
        let prefix = query_value(query, "prefix")?.unwrap_or_default();
        return Ok(PlatformRequest::ListKeys { prefix });
    }
    if path == "/hosts" && method == Method::GET {
        return Ok(PlatformRequest::ListHosts);
    }
    if method != Method::POST {
        return Err(StatusCode::NOT_FOUND);
    }
    if path == "/leases" {
        let ttl_ms = query_value(query, "ttl_ms")?.ok_or(StatusCode::BAD_REQUEST)?;
        return Ok(PlatformRequest::CreateLease {
            ttl_ms: DurationMs(ttl_ms),
        });
    }
    let lease = path
        .strip_prefix("/leases/")
        .and_then(|rest| rest.strip_suffix("/renew"))
        .ok_or(StatusCode::NOT_FOUND)?;
    Ok(PlatformRequest::RenewLease {
        lease: lease.parse().map_err(|_| StatusCode::BAD_REQUEST)?,
    })
}

fn parse_key_request(
    request: &Request<Bytes>,
    key: PlatformKey,
    query: &str,
) -> Result<PlatformRequest, StatusCode> {
    let headers = request.headers();
    match *request.method() {
        Method::GET => {
            let Some(after) = query_value(query, "after")? else {
                return Ok(PlatformRequest::Get { key });
            };
            Ok(PlatformRequest::Watch {
                key,
                after: ValueVersion(after),
                wait_ms: DurationMs(query_value(query, "wait_ms")?.unwrap_or(0)),
            })
        }
        Method::PUT => {
            if request.body().len() > VALUE_MAX_BYTES {
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            let value = request.body().to_vec();
            let lease: Option<LeaseId> = query_value(query, "lease")?;
            if headers.contains_key(IF_NONE_MATCH) {
                if headers[IF_NONE_MATCH] != "*" || headers.contains_key(IF_MATCH) {
                    return Err(StatusCode::BAD_REQUEST);
                }
                return Ok(PlatformRequest::Create { key, value, lease });
            }
            Ok(PlatformRequest::CompareAndSwap {
                key,
                version: if_match(headers)?,
                value,
                lease,
            })
        }
        Method::DELETE => Ok(PlatformRequest::Delete {
            key,
            version: if_match(headers)?,
        }),
        _ => Err(StatusCode::METHOD_NOT_ALLOWED),
    }
}

/// Parses the version in the `if-match` header. A write without this condition
/// is refused with status 428, see RFC 6585, section 3.
fn if_match(headers: &HeaderMap) -> Result<ValueVersion, StatusCode> {
    let header = headers
        .get(IF_MATCH)
        .ok_or(StatusCode::PRECONDITION_REQUIRED)?;
    let text = header.to_str().map_err(|_| StatusCode::BAD_REQUEST)?;
    let digits = text.trim_matches('"');
    if text.len() != digits.len() + 2 {
        return Err(StatusCode::BAD_REQUEST);
    }
    digits
        .parse()
        .map(ValueVersion)
        .map_err(|_| StatusCode::BAD_REQUEST)
}

/// Returns the parsed value of the query parameter `name`, if it is present.
pub(super) fn query_value<T: FromStr>(query: &str, name: &str) -> Result<Option<T>, StatusCode> {
    for pair in query.split('&') {
        let Some((found, value)) = pair.split_once('=') else {
            continue;
        };
        if found == name {
            return value.parse().map(Some).map_err(|_| StatusCode::BAD_REQUEST);
        }
    }
    Ok(None)
}

/// Builds a response with the current version of a value as its `etag`.
pub(super) fn versioned_response(
    status: StatusCode,
    version: ValueVersion,
    value: Bytes,
) -> Response<Full<Bytes>> {
    let mut response = text_response(status, value);
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{}\"", version.0)) {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

//! Builds the responses to callers.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Weak;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;

use agatehold_core::ids::RequestId;
use agatehold_core::refusal::RetryAdvice;
use agatehold_core::units::DurationMs;
use agatehold_wire::headers;
use agatehold_wire::problem;

use super::refusal::Refusal;

/// Hop-by-hop headers, which apply to a single connection (RFC 9110,
/// section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// The error for a relayed answer that can't be completed.
///
/// hyper closes the connection on this error, so that the caller can tell that
/// the body is truncated.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerAborted;

impl std::fmt::Display for AnswerAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the target's answer ended early")
    }
}

impl std::error::Error for AnswerAborted {}

/// The body of a response.
pub(crate) enum AnswerBody {
    /// A complete body; `None` once it was handed to hyper.
    Whole(Option<Bytes>),
    /// A body that is relayed part by part while the target sends it.
    Relayed(Relay),
}

/// A body whose parts are read from the target by a separate task.
pub(crate) struct Relay {
    /// The parts of the body, in order.
    pub(crate) parts: mpsc::Receiver<Result<Bytes, AnswerAborted>>,
    /// Can be upgraded as long as the task that reads the parts is running.
    pub(crate) running: Weak<()>,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|data| Ok(Frame::data(data)))),
            Self::Relayed(relay) => match relay.parts.poll_recv(cx) {
                Poll::Ready(Some(Ok(data))) => Poll::Ready(Some(Ok(Frame::data(data)))),
                Poll::Ready(Some(Err(aborted))) => Poll::Ready(Some(Err(aborted))),
                Poll::Ready(None) => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(Some(data)) => SizeHint::with_exact(data.len() as u64),
            Self::Whole(None) => SizeHint::with_exact(0),
            Self::Relayed(_) => SizeHint::default(),
        }
    }
}

/// Builds a response with a complete body.
pub(crate) fn whole_response(
    status: StatusCode,
    received: HeaderMap,
    body: Bytes,
) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(Some(body)));
    *response.status_mut() = status;
    *response.headers_mut() = received;
    response
}

/// Builds the response for a refusal: a problem document (`problem+json`) and
/// the headers that describe the refusal.
pub(crate) fn refusal_response(
    refusal: &Refusal,
    request_id: RequestId,
    addresses: &[SocketAddr],
    retry_after_ms: DurationMs,
) -> Response<AnswerBody> {
    let answer = refusal.kind.answer();
    let body = problem::encode(refusal.kind, refusal.outcome, request_id, addresses);
    let status =
        StatusCode::from_u16(answer.http_status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = whole_response(status, HeaderMap::new(), body.into());
    let fields = response.headers_mut();
    fields.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static(problem::PROBLEM_JSON),
    );
    set_header(fields, headers::REFUSAL, answer.name);
    set_header(fields, headers::OUTCOME, &refusal.outcome.to_string());
    set_header(fields, headers::REQUEST_ID, &request_id.to_string());
    if answer.retry == RetryAdvice::Later {
        let retry_after_s = retry_after_ms.0.div_ceil(1_000);
        set_header(fields, "retry-after", &retry_after_s.to_string());
    }
    response
}

/// Sets a header. A value that is not a valid header value is ignored.
pub(crate) fn set_header(fields: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        fields.insert(HeaderName::from_static(name), value);
    }
}

/// Removes the hop-by-hop headers, including those that the `Connection`
/// header lists.
pub(crate) fn strip_hop_by_hop(fields: &mut HeaderMap) {
    let mut connection_headers = Vec::new();
    for value in fields.get_all(header::CONNECTION) {
        let Ok(text) = value.to_str() else {
            continue;
        };
        for name in text.split(',') {
            connection_headers.push(name.trim().to_ascii_lowercase());
        }
    }
    for name in connection_headers {
        fields.remove(name.as_str());
    }
    for name in HOP_BY_HOP {
        fields.remove(name);
    }
    fields.remove("keep-alive");
}

//! The body of refusals, in the problem details format (RFC 9457).

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use agatehold_core::ids::RequestId;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::refusal::RefusalOutcome;

/// The media type of problem details (RFC 9457, section 3).
pub const PROBLEM_JSON: &str = "application/problem+json";

/// The problem details of a refused request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A URI that identifies the kind of refusal.
    #[serde(rename = "type")]
    pub kind_uri: Box<str>,
    /// A short description for humans.
    pub title: Box<str>,
    /// The HTTP status code.
    pub status: u16,
    /// The name of the kind of refusal.
    pub kind: Box<str>,
    /// Whether the request may have run: `not-run` or `unknown`.
    pub outcome: Box<str>,
    /// The identifier that the daemon gave to the arrival of the request.
    pub request_id: Box<str>,
    /// Addresses at which the service can be reached, for callers whose
    /// addresses are out of date.
    pub addresses: Vec<SocketAddr>,
}

/// Encodes the body of a refusal.
///
/// The outcome may be `unknown` for a kind whose own outcome is `not-run`, if
/// an earlier request with the same key may have run.
pub fn encode(
    kind: RefusalKind,
    outcome: RefusalOutcome,
    request_id: RequestId,
    addresses: &[SocketAddr],
) -> Vec<u8> {
    let answer = kind.answer();
    let problem = Problem {
        kind_uri: format!("urn:agatehold:refusal:{}", answer.name).into(),
        title: answer.title.into(),
        status: answer.http_status,
        kind: answer.name.into(),
        outcome: outcome.to_string().into(),
        request_id: request_id.to_string().into(),
        addresses: addresses.to_vec(),
    };
    serde_json::to_vec(&problem).unwrap_or_default()
}

/// Decodes the body of a refusal; returns `None` if it is malformed.
pub fn decode(body: &[u8]) -> Option<Problem> {
    serde_json::from_slice(body).ok()
}

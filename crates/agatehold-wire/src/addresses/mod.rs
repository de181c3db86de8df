//! The answer to callers that ask which addresses to use.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Which addresses a caller should use for a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// The service.
    pub service: Box<str>,
    /// The addresses, best first, in different failure domains.
    pub addresses: Vec<SocketAddr>,
    /// How long to keep the answer, in milliseconds.
    pub ttl_ms: u64,
    /// The prefix for idempotency keys; a key is the prefix, a dot and a part
    /// that the caller makes. Absent if the daemon takes no new keys.
    pub key_prefix: Option<Box<str>>,
}

/// Encodes an answer as JSON.
pub fn encode(answer: &AddressAnswer) -> Vec<u8> {
    serde_json::to_vec(answer).unwrap_or_default()
}

/// Decodes an answer, `None` if it is malformed.
pub fn decode(body: &[u8]) -> Option<AddressAnswer> {
    serde_json::from_slice(body).ok()
}

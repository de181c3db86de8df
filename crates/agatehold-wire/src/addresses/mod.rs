//! The JSON body that tells callers which addresses to use for a service.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The addresses that a caller should use for a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// The service.
    pub service: Box<str>,
    /// The addresses, best first, in different failure domains.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may keep the answer, in milliseconds.
    pub ttl_ms: u64,
    /// The prefix for idempotency keys; a key is the prefix, a dot and a part that
    /// the caller chooses. Absent if the daemon accepts no new keys.
    pub key_prefix: Option<Box<str>>,
}

/// Encodes an answer as JSON.
pub fn encode(answer: &AddressAnswer) -> Vec<u8> {
    serde_json::to_vec(answer).unwrap_or_default()
}

/// Decodes an answer; returns `None` if it is malformed.
pub fn decode(body: &[u8]) -> Option<AddressAnswer> {
    serde_json::from_slice(body).ok()
}

//! Codecs of the messages that agatehold exchanges, free of sockets.

pub mod addresses;
pub mod admin;
pub mod headers;
mod json;
pub mod peers;
pub mod platform;
pub mod problem;

/// Protobuf messages and the gRPC service, made by `tools/protogen`.
#[expect(missing_docs, clippy::all, reason = "generated code")]
pub mod generated {
    include!("generated/agatehold.peers.v1.rs");
}

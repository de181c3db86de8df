//! Message codecs of agatehold.

/// Protobuf messages and the gRPC service, made by `tools/protogen`.
#[expect(missing_docs, clippy::all, reason = "generated code")]
pub mod generated {
    include!("generated/agatehold.peers.v1.rs");
}

pub mod peers;

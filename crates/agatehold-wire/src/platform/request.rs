//! Encoding of requests to the platform.

use std::net::SocketAddr;

use http::Method;
use http::Request;
use http::Uri;
use http::header::CONTENT_TYPE;
use http::header::IF_MATCH;
use http::header::IF_NONE_MATCH;

use agatehold_core::units::DurationMs;

use super::KeyPrefix;
use super::LeaseId;
use super::PlatformCodecError;
use super::PlatformKey;
use super::ValueVersion;

/// The maximum size of a value that the platform accepts.
pub const VALUE_MAX_BYTES: usize = 1_000_000;

/// A request to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformRequest {
    /// Reads a value.
    Get {
        /// The key to read.
        key: PlatformKey,
    },
    /// Waits until the value of a key is newer than `after` (long polling).
    Watch {
        /// The key to watch.
        key: PlatformKey,
        /// The version that the requester has; 0 if none.
        after: ValueVersion,
        /// How long the platform waits for a change before it answers that there is
        /// none.
        wait_ms: DurationMs,
    },
    /// Writes a value if the key has none.
    Create {
        /// The key to write.
        key: PlatformKey,
        /// The value, at most [`VALUE_MAX_BYTES`] long.
        value: Vec<u8>,
        /// The lease of the key; the platform removes the key when the lease expires.
        lease: Option<LeaseId>,
    },
    /// Replaces a value if its current version is `version`.
    CompareAndSwap {
        /// The key to write.
        key: PlatformKey,
        /// The version to replace.
        version: ValueVersion,
        /// The value, at most [`VALUE_MAX_BYTES`] long.
        value: Vec<u8>,
        /// The lease of the key; the platform removes the key when the lease expires.
        lease: Option<LeaseId>,
    },
    /// Removes a value if its current version is `version`.
    Delete {
        /// The key to remove.
        key: PlatformKey,
        /// The version to remove.
        version: ValueVersion,
    },
    /// Lists the keys that begin with a prefix.
    ListKeys {
        /// The prefix.
        prefix: KeyPrefix,
    },
    /// Creates a lease.
    CreateLease {
        /// How long the lease lasts without renewal.
        ttl_ms: DurationMs,
    },
    /// Renews a lease.
    RenewLease {
        /// The lease to renew.
        lease: LeaseId,
    },
    /// Reads the host list.
    ListHosts,
}

impl PlatformRequest {
    /// Returns whether the request may change the platform's state. If the response
    /// to such a request is lost, its effect is unknown.
    pub const fn is_write(&self) -> bool {
        match self {
            Self::Get { .. } | Self::Watch { .. } | Self::ListKeys { .. } | Self::ListHosts => {
                false
            }
            Self::Create { .. }
            | Self::CompareAndSwap { .. }
            | Self::Delete { .. }
            | Self::CreateLease { .. }
            | Self::RenewLease { .. } => true,
        }
    }

    /// Returns the name of the request kind, used in metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Get { .. } => "get",
            Self::Watch { .. } => "watch",
            Self::Create { .. } => "create",
            Self::CompareAndSwap { .. } => "compare-and-swap",
            Self::Delete { .. } => "delete",
            Self::ListKeys { .. } => "list-keys",
            Self::CreateLease { .. } => "create-lease",
            Self::RenewLease { .. } => "renew-lease",
            Self::ListHosts => "list-hosts",
        }
    }

    /// Returns the HTTP method, and the path with the query.
    fn method_and_path(&self) -> (Method, String) {
        match self {
            Self::Get { key } => (Method::GET, format!("/kv/{key}")),
            Self::Watch {
                key,
                after,
                wait_ms,
            } => (
                Method::GET,
                format!("/kv/{key}?after={after}&wait_ms={}", wait_ms.0),
            ),
            Self::Create { key, lease, .. } | Self::CompareAndSwap { key, lease, .. } => {
                let query = lease.as_ref().map(|lease| format!("?lease={lease}"));
                let query = query.unwrap_or_default();
                (Method::PUT, format!("/kv/{key}{query}"))
            }
            Self::Delete { key, .. } => (Method::DELETE, format!("/kv/{key}")),
            Self::ListKeys { prefix } => (Method::GET, format!("/keys?prefix={prefix}")),
            Self::CreateLease { ttl_ms } => (Method::POST, format!("/leases?ttl_ms={}", ttl_ms.0)),
            Self::RenewLease { lease } => (Method::POST, format!("/leases/{lease}/renew")),
            Self::ListHosts => (Method::GET, "/hosts".to_owned()),
        }
    }
}

/// Encodes a request to the platform at `address` as an HTTP request.
///
/// The URI is absolute, so that an HTTP client can take the address from it.
pub fn encode_request(
    request: &PlatformRequest,
    address: SocketAddr,
) -> Result<Request<Vec<u8>>, PlatformCodecError> {
    let failed = |error: http::Error| PlatformCodecError::Encode(error.to_string().into());
    let (method, path) = request.method_and_path();
    let uri = Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()
        .map_err(failed)?;
    let mut builder = Request::builder().method(method).uri(uri);
    let mut body = Vec::new();
    match request {
        PlatformRequest::Create { value, .. } => {
            builder = builder.header(IF_NONE_MATCH, "*");
            body.clone_from(value);
        }
        PlatformRequest::CompareAndSwap { version, value, .. } => {
            builder = builder.header(IF_MATCH, version.entity_tag());
            body.clone_from(value);
        }
        PlatformRequest::Delete { version, .. } => {
            builder = builder.header(IF_MATCH, version.entity_tag());
        }
        PlatformRequest::Get { .. }
        | PlatformRequest::Watch { .. }
        | PlatformRequest::ListKeys { .. }
        | PlatformRequest::CreateLease { .. }
        | PlatformRequest::RenewLease { .. }
        | PlatformRequest::ListHosts => {}
    }
    if body.len() > VALUE_MAX_BYTES {
        return Err(PlatformCodecError::TooLarge(body.len()));
    }
    if !body.is_empty() {
        builder = builder.header(CONTENT_TYPE, "application/octet-stream");
    }
    builder.body(body).map_err(failed)
}

//! Options of a caller: what it sends, and at which rate.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TenantName;
use agatehold_core::units::ByteCount;
use agatehold_core::units::DurationMs;
use agatehold_core::units::RequestsPerSecond;

/// When the caller starts new requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Load {
    /// Closed loop: a fixed number of concurrent requests. A new one starts
    /// when one ends.
    Closed(u32),
    /// Open loop: a fixed rate, independent of the responses.
    Open(RequestsPerSecond),
}

/// Which idempotency keys the caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyMode {
    /// No keys.
    None,
    /// Keys that begin with the key prefix of the address response.
    Prefix,
    /// Keys that the caller generates without a prefix.
    Own,
}

impl KeyMode {
    const NAMES: [(Self, &'static str); 3] = [
        (Self::None, "none"),
        (Self::Prefix, "prefix"),
        (Self::Own, "own"),
    ];
}

impl fmt::Display for KeyMode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (mode, name) in Self::NAMES {
            if mode == *self {
                return f.write_str(name);
            }
        }
        Ok(())
    }
}

impl FromStr for KeyMode {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        for (mode, name) in Self::NAMES {
            if name == text {
                return Ok(mode);
            }
        }
        Err("expected none, prefix or own")
    }
}

/// The requests that the caller sends.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestShape {
    /// The HTTP method.
    pub method: http::Method,
    /// The path, to which the request marker is appended as the query
    /// `n=<name>-<number>`.
    pub path: Box<str>,
    /// Further query parameters, such as `answer_bytes=1000`.
    pub query: Box<str>,
    /// The minimum size of the request body.
    pub body_bytes: ByteCount,
    /// A text that the body contains, such as a crash marker.
    pub body_text: Box<str>,
    /// The value of the header `agatehold-timeout-ms`, if it is sent.
    pub timeout_ms: Option<DurationMs>,
    /// Which idempotency keys are sent.
    pub keys: KeyMode,
    /// Whether the requests must run at most once. This is recorded and not
    /// sent.
    pub is_non_idempotent: bool,
    /// Whether the header `agatehold-idempotent: no` is sent.
    pub sends_non_idempotent_header: bool,
}

/// The options of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerOptions {
    /// The name of the caller, part of its request markers and idempotency
    /// keys.
    pub name: Box<str>,
    /// The configured daemons. Requests for addresses go in turn to the daemons
    /// of the last address response and to these.
    pub daemons: Vec<SocketAddr>,
    /// The service for which it requests addresses.
    pub service: ServiceName,
    /// The tenant that it belongs to.
    pub tenant: TenantName,
    /// The requests that it sends.
    pub shape: RequestShape,
    /// When it starts new requests.
    pub load: Load,
    /// The maximum number of requests.
    pub count: u64,
    /// The time after which it starts no new requests.
    pub duration_ms: DurationMs,
    /// The response timeout, from sending to the end of the response.
    pub response_timeout_ms: DurationMs,
    /// The maximum number of attempts for a request.
    pub attempts: u32,
    /// Whether it requests addresses. If not, it only sends to `daemons`, as
    /// a caller with outdated, fixed addresses does.
    pub fetches_addresses: bool,
    /// Whether it reuses connections for further requests.
    pub keeps_connections: bool,
}

impl CallerOptions {
    /// Returns the options for a single POST request with an idempotency key
    /// from the key prefix.
    pub fn new(daemons: Vec<SocketAddr>, service: ServiceName, tenant: TenantName) -> Self {
        Self {
            name: "caller".into(),
            daemons,
            service,
            tenant,
            shape: RequestShape {
                method: http::Method::POST,
                path: "/".into(),
                query: "".into(),
                body_bytes: ByteCount(0),
                body_text: "".into(),
                timeout_ms: None,
                keys: KeyMode::Prefix,
                is_non_idempotent: true,
                sends_non_idempotent_header: false,
            },
            load: Load::Closed(1),
            count: 1,
            duration_ms: DurationMs(60_000),
            response_timeout_ms: DurationMs(30_000),
            attempts: 3,
            fetches_addresses: true,
            keeps_connections: true,
        }
    }
}

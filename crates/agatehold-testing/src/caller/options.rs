//! What a caller sends, and how fast.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TenantName;
use agatehold_core::units::ByteCount;
use agatehold_core::units::DurationMs;
use agatehold_core::units::RequestsPerSecond;

/// How the caller paces its requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Load {
    /// So many requests at once; a new one starts when one ends.
    Closed(u32),
    /// A fixed rate, whatever the answers.
    Open(RequestsPerSecond),
}

/// Which idempotency keys the caller makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyMode {
    /// None.
    None,
    /// The prefix of the address response with a number of its own.
    Prefix,
    /// Keys of its own making.
    Own,
}

impl KeyMode {
    const WORDS: [(Self, &'static str); 3] = [
        (Self::None, "none"),
        (Self::Prefix, "prefix"),
        (Self::Own, "own"),
    ];
}

impl fmt::Display for KeyMode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (mode, word) in Self::WORDS {
            if mode == *self {
                return f.write_str(word);
            }
        }
        Ok(())
    }
}

impl FromStr for KeyMode {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        for (mode, word) in Self::WORDS {
            if word == text {
                return Ok(mode);
            }
        }
        Err("expected none, prefix or own")
    }
}

/// The requests that the caller sends.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestShape {
    /// The method.
    pub method: http::Method,
    /// The path; the query `n=<name>-<number>` is added.
    pub path: Box<str>,
    /// Further parts of the query, such as `answer_bytes=1000`.
    pub query: Box<str>,
    /// The least size of the request body.
    pub body_bytes: ByteCount,
    /// A text that is put into the body, such as a crash marker.
    pub body_text: Box<str>,
    /// The deadline that the caller gives, if any.
    pub timeout_ms: Option<DurationMs>,
    /// The idempotency keys.
    pub keys: KeyMode,
    /// Whether the requests must run at most once.
    pub is_non_idempotent: bool,
    /// Whether the caller marks them `agatehold-idempotent: no`.
    pub says_non_idempotent: bool,
}

/// How a caller runs.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerOptions {
    /// The name of the caller, part of its markers and keys.
    pub name: Box<str>,
    /// The daemons that it knows at first, and falls back to.
    pub daemons: Vec<SocketAddr>,
    /// The service that it asks addresses for.
    pub service: ServiceName,
    /// The tenant that it belongs to.
    pub tenant: TenantName,
    /// What it sends.
    pub shape: RequestShape,
    /// How it paces its requests.
    pub load: Load,
    /// The number of requests.
    pub count: u64,
    /// How long it starts new requests.
    pub duration_ms: DurationMs,
    /// How long it waits for an answer.
    pub patience_ms: DurationMs,
    /// The number of attempts for one request.
    pub attempts: u32,
    /// Whether it asks for addresses at all; if not, it sends to `daemons`
    /// for ever, as a forgotten caller does.
    pub asks_addresses: bool,
    /// Whether it keeps connections open between requests.
    pub keeps_connections: bool,
}

impl CallerOptions {
    /// Returns the options of one POST at a time with keys from the prefix.
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
                says_non_idempotent: false,
            },
            load: Load::Closed(1),
            count: 1,
            duration_ms: DurationMs(60_000),
            patience_ms: DurationMs(30_000),
            attempts: 3,
            asks_addresses: true,
            keeps_connections: true,
        }
    }
}

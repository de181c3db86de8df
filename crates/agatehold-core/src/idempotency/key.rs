//! Idempotency keys and the key prefixes that daemons issue to callers.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;

use crate::ids::Epoch;
use crate::ids::HostId;
use crate::ids::Incarnation;

/// The maximum length of a key in characters.
pub const KEY_MAX_CHARS: usize = 255;

quick_error! {
    /// The error for a text that is not a valid idempotency key or key prefix.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ParseKeyError {
        /// The key is empty or too long.
        Length {
            display("expected a key of 1 to {} characters", KEY_MAX_CHARS)
        }
        /// The key contains a character other than printable ASCII, or begins or
        /// ends with a space.
        Character {
            display("expected a key of printable ASCII characters without leading or trailing spaces")
        }
        /// The text is not a key prefix.
        Prefix {
            display("expected a key prefix <host>.<incarnation>.<epoch>")
        }
    }
}

/// The part of a key that names its owner, which is the daemon process that runs
/// the key's requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyPrefix {
    /// The daemon's host.
    pub host: HostId,
    /// The incarnation of the daemon process on that host.
    pub incarnation: Incarnation,
    /// The epoch in which the process issued the prefix.
    pub epoch: Epoch,
}

impl fmt::Display for KeyPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.host, self.incarnation, self.epoch)
    }
}

impl FromStr for KeyPrefix {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('.');
        let (Some(host), Some(incarnation), Some(epoch), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(ParseKeyError::Prefix);
        };
        Ok(Self {
            host: host.parse().map_err(|_| ParseKeyError::Prefix)?,
            incarnation: incarnation.parse().map_err(|_| ParseKeyError::Prefix)?,
            epoch: epoch.parse().map_err(|_| ParseKeyError::Prefix)?,
        })
    }
}

/// The key by which a daemon recognises repeated arrivals of one request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum IdempotencyKey {
    /// A key that begins with a prefix issued by a daemon.
    Prefixed {
        /// The prefix from an address response.
        prefix: KeyPrefix,
        /// The rest of the key, chosen by the caller; not empty.
        unique: Box<str>,
    },
    /// A key without a prefix, chosen entirely by the caller.
    CallerMade(Box<str>),
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Prefixed { prefix, unique } => write!(f, "{prefix}.{unique}"),
            Self::CallerMade(text) => f.write_str(text),
        }
    }
}

impl FromStr for IdempotencyKey {
    type Err = ParseKeyError;

    /// Parses a key; one without a valid prefix becomes [`Self::CallerMade`].
    ///
    /// Texts that differ only in the letter case of the incarnation or in
    /// leading zeros of the epoch parse to the same key.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() || text.len() > KEY_MAX_CHARS {
            return Err(ParseKeyError::Length);
        }
        // HTTP strips leading and trailing spaces from header values (RFC 9110,
        // section 5.5), so two different keys could arrive as the same key.
        if !text.bytes().all(|b| (b' '..=b'~').contains(&b)) || text.trim() != text {
            return Err(ParseKeyError::Character);
        }
        let Some((prefix_end, _)) = text.match_indices('.').nth(2) else {
            return Ok(Self::CallerMade(text.into()));
        };
        let unique = &text[prefix_end + 1..];
        match text[..prefix_end].parse() {
            Ok(prefix) if !unique.is_empty() => Ok(Self::Prefixed {
                prefix,
                unique: unique.into(),
            }),
            _ => Ok(Self::CallerMade(text.into())),
        }
    }
}

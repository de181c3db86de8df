//! Idempotency keys and the prefixes that daemons give out.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;

use crate::ids::Epoch;
use crate::ids::HostId;
use crate::ids::Incarnation;

/// The longest key in characters.
pub const KEY_MAX_CHARS: usize = 255;

quick_error! {
    /// A text that is not an idempotency key or prefix.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ParseKeyError {
        /// The key is empty or too long.
        Length {
            display("expected a key of 1 to {} characters", KEY_MAX_CHARS)
        }
        /// The key has a character that is not printable ASCII.
        Character {
            display("expected printable ASCII without a space at either end")
        }
        /// The text is not a prefix.
        Prefix {
            display("expected <host>.<incarnation>.<epoch>")
        }
    }
}

/// The part of a key that names the daemon process which runs its requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyPrefix {
    /// The daemon's host.
    pub host: HostId,
    /// The daemon process on the host.
    pub incarnation: Incarnation,
    /// The period in which the process gave out the prefix.
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

/// A key by which the arrivals of one request are recognised.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum IdempotencyKey {
    /// A key that begins with a daemon's prefix.
    Prefixed {
        /// The prefix from an address response.
        prefix: KeyPrefix,
        /// What the caller added; not empty.
        unique: Box<str>,
    },
    /// A key that the caller made without a prefix.
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

    /// Reads a key; one that doesn't begin with a prefix is the caller's own.
    ///
    /// Spellings that differ only in the case of the incarnation or in leading
    /// zeros of the epoch are the same key.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() || text.len() > KEY_MAX_CHARS {
            return Err(ParseKeyError::Length);
        }
        // A space at either end is lost in an HTTP header field (RFC 9110,
        // section 5.5), so that two keys would become one on the way.
        if !text.bytes().all(|b| (b' '..=b'~').contains(&b)) || text.trim() != text {
            return Err(ParseKeyError::Character);
        }
        let Some((end, _)) = text.match_indices('.').nth(2) else {
            return Ok(Self::CallerMade(text.into()));
        };
        let unique = &text[end + 1..];
        match text[..end].parse() {
            Ok(prefix) if !unique.is_empty() => Ok(Self::Prefixed {
                prefix,
                unique: unique.into(),
            }),
            _ => Ok(Self::CallerMade(text.into())),
        }
    }
}

//! Keys, versions and leases of the platform.

use std::fmt;
use std::str::FromStr;

use super::PlatformFault;

/// The longest key in characters.
const KEY_MAX_CHARS: usize = 255;

/// Returns whether `text` holds only characters that stand in a URI's path
/// and query without escapes (RFC 3986).
fn is_plain(text: &str) -> bool {
    text.len() <= KEY_MAX_CHARS
        && text.bytes().all(|byte| {
            byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_./".contains(&byte)
        })
}

/// Returns whether a path segment is empty or would be removed as a dot
/// segment (RFC 3986, section 5.2.4).
fn is_bad_segment(segment: &str) -> bool {
    segment.is_empty() || segment == "." || segment == ".."
}

/// A key of the platform: segments of `a-z0-9-_.` separated by `/`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlatformKey(Box<str>);

impl PlatformKey {
    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Creates a key that is known to be well formed.
    pub(super) fn known(text: String) -> Self {
        debug_assert!(text.parse::<Self>().is_ok(), "{text}");
        Self(text.into())
    }
}

impl fmt::Display for PlatformKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for PlatformKey {
    type Err = PlatformFault;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if !is_plain(text) || text.split('/').any(is_bad_segment) {
            return Err(PlatformFault::Name("a key of a-z, 0-9, '-', '_', '.', '/'"));
        }
        Ok(Self(text.into()))
    }
}

/// The beginning of keys to list; empty for all keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyPrefix(Box<str>);

impl KeyPrefix {
    /// Returns the prefix as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Creates a prefix that is known to be well formed.
    pub(super) fn known(text: String) -> Self {
        debug_assert!(text.parse::<Self>().is_ok(), "{text}");
        Self(text.into())
    }
}

impl fmt::Display for KeyPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for KeyPrefix {
    type Err = PlatformFault;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if !is_plain(text) {
            return Err(PlatformFault::Name(
                "a prefix of a-z, 0-9, '-', '_', '.', '/'",
            ));
        }
        Ok(Self(text.into()))
    }
}

/// The name of a lease, chosen by the platform.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(Box<str>);

impl LeaseId {
    /// Returns the lease as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for LeaseId {
    type Err = PlatformFault;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if !is_plain(text) || text.contains('/') || is_bad_segment(text) {
            return Err(PlatformFault::Name("a lease of a-z, 0-9, '-', '_', '.'"));
        }
        Ok(Self(text.into()))
    }
}

/// The version of a value; 0 stands for a missing value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ValueVersion(pub u64);

impl ValueVersion {
    /// Returns the version as an entity tag (RFC 9110, section 8.8.3).
    pub fn entity_tag(self) -> String {
        format!("\"{self}\"")
    }

    /// Reads an entity tag.
    pub fn from_entity_tag(text: &str) -> Result<Self, PlatformFault> {
        let inner = text
            .strip_prefix('"')
            .and_then(|rest| rest.strip_suffix('"'));
        inner.ok_or(PlatformFault::Header("etag"))?.parse()
    }
}

impl fmt::Display for ValueVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for ValueVersion {
    type Err = PlatformFault;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|_| PlatformFault::Name("a version number"))
    }
}

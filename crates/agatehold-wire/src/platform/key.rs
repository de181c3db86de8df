//! Keys, key prefixes, value versions and lease ids of the platform.

use std::fmt;
use std::str::FromStr;

use super::PlatformCodecError;

/// The maximum length of a key in characters.
const KEY_MAX_CHARS: usize = 255;

/// Returns whether `text` is short enough for a key and holds only characters that
/// need no percent-encoding in the path and query of a URI (RFC 3986).
fn needs_no_encoding(text: &str) -> bool {
    text.len() <= KEY_MAX_CHARS
        && text.bytes().all(|byte| {
            byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_./".contains(&byte)
        })
}

/// Returns whether a path segment is empty or would be removed as a dot
/// segment (RFC 3986, section 5.2.4).
fn is_invalid_segment(segment: &str) -> bool {
    segment.is_empty() || segment == "." || segment == ".."
}

/// A key in the platform's store: segments of `a-z0-9-_.` separated by `/`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlatformKey(Box<str>);

impl PlatformKey {
    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Creates a key from a text that the caller knows to be valid; checked only in
    /// debug builds.
    pub(super) fn new_unchecked(text: String) -> Self {
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
    type Err = PlatformCodecError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if !needs_no_encoding(text) || text.split('/').any(is_invalid_segment) {
            return Err(PlatformCodecError::Name(
                "a key of at most 255 characters, its segments of a-z, 0-9, '-', '_', '.' separated by '/'",
            ));
        }
        Ok(Self(text.into()))
    }
}

/// A prefix that selects keys; the empty prefix selects all keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyPrefix(Box<str>);

impl KeyPrefix {
    /// Returns the prefix as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Creates a prefix from a text that the caller knows to be valid; checked only
    /// in debug builds.
    pub(super) fn new_unchecked(text: String) -> Self {
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
    type Err = PlatformCodecError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if !needs_no_encoding(text) {
            return Err(PlatformCodecError::Name(
                "a key prefix of at most 255 characters of a-z, 0-9, '-', '_', '.', '/'",
            ));
        }
        Ok(Self(text.into()))
    }
}

/// The identifier of a lease, assigned by the platform.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(Box<str>);

impl LeaseId {
    /// Returns the lease id as text.
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
    type Err = PlatformCodecError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if !needs_no_encoding(text) || text.contains('/') || is_invalid_segment(text) {
            return Err(PlatformCodecError::Name(
                "a lease id of at most 255 characters of a-z, 0-9, '-', '_', '.'",
            ));
        }
        Ok(Self(text.into()))
    }
}

/// The version of a stored value; 0 means that the key has no value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ValueVersion(pub u64);

impl ValueVersion {
    /// Returns the version as an entity tag (RFC 9110, section 8.8.3).
    pub fn entity_tag(self) -> String {
        format!("\"{self}\"")
    }

    /// Parses the version from an entity tag.
    pub fn from_entity_tag(text: &str) -> Result<Self, PlatformCodecError> {
        let inner = text
            .strip_prefix('"')
            .and_then(|rest| rest.strip_suffix('"'));
        inner.ok_or(PlatformCodecError::Header("etag"))?.parse()
    }
}

impl fmt::Display for ValueVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for ValueVersion {
    type Err = PlatformCodecError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|_| PlatformCodecError::Name("a version number"))
    }
}

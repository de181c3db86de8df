//! Names that operators and other systems choose.

use std::fmt;
use std::str::FromStr;

use super::Digest;
use super::ParseIdError;

/// The maximum length of a name in characters, as for a DNS label (RFC 1035).
const NAME_MAX_CHARS: usize = 63;

fn is_name(text: &str) -> bool {
    if text.is_empty() || text.len() > NAME_MAX_CHARS || text.starts_with('-') {
        return false;
    }
    text.bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
}

/// The number of hexadecimal digits of the hash in a shortened name.
const HASH_DIGITS: usize = 16;

/// Returns a name for any text that another system has chosen.
///
/// A text of at most [`NAME_MAX_CHARS`] bytes without white space, control characters,
/// quotes and backslashes is its own name. Another one becomes its beginning and a part of
/// its hash, so that a name has a bounded length in messages, and stays one word in log
/// lines. The name of a name is that name.
fn external_name(text: &str) -> Box<str> {
    let is_plain =
        |char: char| !char.is_whitespace() && !char.is_control() && !matches!(char, '"' | '\\');
    if !text.is_empty() && text.len() <= NAME_MAX_CHARS && text.chars().all(is_plain) {
        return text.into();
    }
    let mut name = String::with_capacity(NAME_MAX_CHARS);
    for char in text.chars() {
        let char = if is_plain(char) { char } else { '_' };
        if name.len() + char.len_utf8() + 1 + HASH_DIGITS > NAME_MAX_CHARS {
            break;
        }
        name.push(char);
    }
    let hash = Digest::of_parts(&[text.as_bytes()]).to_string();
    name.push('~');
    name.push_str(&hash[..HASH_DIGITS]);
    name.into()
}

macro_rules! external_name_type {
    ($name:ident) => {
        impl $name {
            /// Returns the name for a text that another system has chosen. It is the text
            /// itself unless that is long or has characters that break log lines.
            pub fn external(text: &str) -> Self {
                Self(external_name(text))
            }
        }
    };
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                if !is_name(text) {
                    return Err(ParseIdError::Name);
                }
                Ok(Self(text.into()))
            }
        }
    };
}

name_type! {
    /// The name of a service.
    ServiceName
}

name_type! {
    /// The name of a target.
    TargetName
}

name_type! {
    /// The name of a route.
    RouteName
}

name_type! {
    /// The name of a tenant.
    TenantName
}

name_type! {
    /// The name of a failure domain.
    FailureDomain
}

name_type! {
    /// The name of a host that runs a daemon, unique in the fleet.
    HostId
}

external_name_type!(ServiceName);
external_name_type!(TenantName);
external_name_type!(FailureDomain);
external_name_type!(HostId);

impl TargetName {
    /// Returns the name that another system has given a target; `None` if it can't be sent
    /// in a header, by which requests name the target that they are for.
    pub fn external(text: &str) -> Option<Self> {
        is_header_text(text).then(|| Self(text.into()))
    }
}

/// Returns whether a text arrives unchanged as the value of an HTTP header: it is not
/// empty, has no control characters, and neither begins nor ends with white space
/// (RFC 9110, section 5.5).
pub fn is_header_text(text: &str) -> bool {
    let is_trimmed = text.trim_matches([' ', '\t']).len() == text.len();
    !text.is_empty() && is_trimmed && !text.bytes().any(|byte| byte.is_ascii_control())
}

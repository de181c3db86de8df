//! Shared secrets and tokens, which error messages and debug output never show.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;

/// The minimum length of a secret in characters (docs/design.md, section 15.5).
const SECRET_MIN_CHARS: usize = 16;

quick_error! {
    /// An error while parsing a secret.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ParseSecretError {
        /// The text is too short.
        TooShort {
            display("expected at least {} characters", SECRET_MIN_CHARS)
        }
    }
}

/// A shared secret or token.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Box<str>);

impl Secret {
    /// Returns the secret as text, to be sent or compared. It must not be logged.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

impl FromStr for Secret {
    type Err = ParseSecretError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.chars().count() < SECRET_MIN_CHARS {
            return Err(ParseSecretError::TooShort);
        }
        Ok(Self(text.into()))
    }
}

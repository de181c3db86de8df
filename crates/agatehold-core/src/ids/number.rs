//! Numeric identifiers.

use std::fmt;
use std::str::FromStr;

use super::ParseIdError;

/// Identifies one start of a daemon process; unique in the fleet with high
/// probability.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 16 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(ParseIdError::Hex(16));
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseIdError::Hex(16))
    }
}

/// Identifies one request of a caller; drawn at random when the request arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(ParseIdError::Hex(32));
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseIdError::Hex(32))
    }
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the number after this one.
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| ParseIdError::Number)
            }
        }
    };
}

number_type! {
    /// The number of a release note; the first one is 1, and 0 means none.
    NoteNumber(u64)
}

number_type! {
    /// The number of a period into which one daemon process groups its
    /// idempotency keys; keys expire by whole periods.
    Epoch(u32)
}

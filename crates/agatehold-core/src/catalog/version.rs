//! The version number of a configuration.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// The number of hexadecimal digits of a version in text form.
const DIGITS: usize = 8;

/// The version of a configuration. Newer configurations have higher numbers;
/// the numbers need not be consecutive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u32);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for ConfigVersion {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != DIGITS || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(ParseIdError::Hex(DIGITS));
        }
        u32::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseIdError::Hex(DIGITS))
    }
}

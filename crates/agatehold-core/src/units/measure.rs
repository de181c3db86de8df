//! Sizes, counts, percentages, probabilities and rates.

use std::fmt;
use std::str::FromStr;

use super::ParseUnitError;
use super::parse_unsigned;

/// Defines a newtype over an unsigned integer whose text form ends in a unit.
macro_rules! unsigned_unit {
    ($(#[$doc:meta])* $name:ident($inner:ty), $suffix:literal, $expected:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $suffix), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseUnitError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let number = parse_unsigned(text, $suffix, $expected)?;
                <$inner>::try_from(number)
                    .map(Self)
                    .map_err(|_| ParseUnitError::OutOfRange($expected))
            }
        }
    };
}

unsigned_unit! {
    /// A size in bytes.
    ByteCount(u64), "B", "a number of bytes"
}

unsigned_unit! {
    /// A number of slots: how many requests a target runs at once.
    SlotCount(u32), "", "a number of slots"
}

unsigned_unit! {
    /// A number of targets.
    TargetCount(u32), "", "a number of targets"
}

/// A percentage from 0 to 100.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Percent(u8);

impl Percent {
    /// 10%.
    pub const TEN: Self = Self(10);
    /// 100%.
    pub const HUNDRED: Self = Self(100);

    /// Creates a percentage, or returns `None` above 100.
    pub const fn new(value: u8) -> Option<Self> {
        if value > 100 {
            return None;
        }
        Some(Self(value))
    }

    /// Returns the percentage as an integer from 0 to 100.
    pub const fn get(self) -> u8 {
        self.0
    }

    /// Returns the percentage as a fraction from 0 to 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for Percent {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let expected = "a percentage from 0 to 100";
        let number = parse_unsigned(text, "%", expected)?;
        u8::try_from(number)
            .ok()
            .and_then(Self::new)
            .ok_or(ParseUnitError::OutOfRange(expected))
    }
}

/// A probability strictly between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Probability(f64);

impl Probability {
    /// 1 in 20.
    pub const ONE_IN_TWENTY: Self = Self(0.05);
    /// 1 in 1,000.
    pub const ONE_IN_THOUSAND: Self = Self(1e-3);
    /// 1 in 1,000,000.
    pub const ONE_IN_MILLION: Self = Self(1e-6);

    /// Creates a probability, or returns `None` unless 0 < `value` < 1.
    pub fn new(value: f64) -> Option<Self> {
        if value > 0.0 && value < 1.0 {
            return Some(Self(value));
        }
        None
    }

    /// Returns the probability as a number.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Probability {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Probability {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let expected = "a probability between 0 and 1";
        let value = text
            .parse()
            .map_err(|_| ParseUnitError::NotANumber(expected))?;
        Self::new(value).ok_or(ParseUnitError::OutOfRange(expected))
    }
}

/// A rate in requests per second, finite and not negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct RequestsPerSecond(f64);

impl RequestsPerSecond {
    /// Creates a rate, or returns `None` if `value` is negative or not finite.
    pub fn new(value: f64) -> Option<Self> {
        if value.is_finite() && value >= 0.0 {
            return Some(Self(value));
        }
        None
    }

    /// Returns the rate in requests per second.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestsPerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RequestsPerSecond {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let expected = "a rate in requests per second";
        let value = text
            .strip_suffix("/s")
            .unwrap_or(text)
            .parse()
            .map_err(|_| ParseUnitError::NotANumber(expected))?;
        Self::new(value).ok_or(ParseUnitError::OutOfRange(expected))
    }
}

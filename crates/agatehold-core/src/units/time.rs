//! Points in time and durations in milliseconds.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::str::FromStr;

use super::ParseUnitError;
use super::parse_unsigned;

/// A point in time, in milliseconds since an origin chosen by the process.
///
/// It is read from a monotonic clock and can't be compared with the times of
/// another process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// Returns the duration from `earlier` to this time, or zero if `earlier` is
    /// later.
    pub const fn since(self, earlier: Self) -> DurationMs {
        DurationMs(self.0.saturating_sub(earlier.0))
    }
}

impl Add<DurationMs> for TimeMs {
    type Output = Self;

    fn add(self, duration: DurationMs) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl Sub<DurationMs> for TimeMs {
    type Output = Self;

    fn sub(self, duration: DurationMs) -> Self {
        Self(self.0.saturating_sub(duration.0))
    }
}

impl fmt::Display for TimeMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for TimeMs {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_unsigned(text, "ms", "milliseconds").map(Self)
    }
}

/// A duration in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DurationMs(pub u64);

impl DurationMs {
    /// Returns this duration times `factor`, saturating.
    pub const fn times(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }

    /// Returns this duration minus `other`, or zero if `other` is longer.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the weight of a sample of this age, which halves with every
    /// `half_life`.
    pub fn half_life_weight(self, half_life: Self) -> f64 {
        (-(self.0 as f64) / half_life.0 as f64).exp2()
    }
}

impl Add for DurationMs {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for DurationMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for DurationMs {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_unsigned(text, "ms", "milliseconds").map(Self)
    }
}

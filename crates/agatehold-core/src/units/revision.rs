//! Positions in the history of the platform's store.

use std::fmt;
use std::str::FromStr;

use super::ParseUnitError;
use super::parse_unsigned;

/// The number of bits of a packed [`StoreRevision`] that hold the revision. At 100,000
/// changes a second they last for 89 years.
const REVISION_BITS: u32 = 48;

/// How many times the store has come back from an older copy of itself; 0 if it does not
/// say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u16);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for StoreEra {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let expected = "an era of the store";
        let number = parse_unsigned(text, "", expected)?;
        u16::try_from(number)
            .map(Self)
            .map_err(|_| ParseUnitError::OutOfRange(expected))
    }
}

/// A position in the store's history, ordered by the era first and by the revision
/// second: a store that came back from a copy gives out revisions again.
///
/// The era takes the upper 16 bits and the revision the lower 48. Daemons send each
/// other this number, so that the plain revision of a daemon that knows no eras is one
/// of era 0, and such a daemon compares the numbers of others in the right order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision(u64);

impl StoreRevision {
    /// The position before any change; also stands for nothing known.
    pub const ZERO: Self = Self(0);

    /// Creates a position; `None` if the revision does not fit into 48 bits.
    pub const fn new(era: StoreEra, revision: u64) -> Option<Self> {
        if revision >> REVISION_BITS != 0 {
            return None;
        }
        Some(Self((era.0 as u64) << REVISION_BITS | revision))
    }

    /// Returns the position with this number; each number is one.
    pub const fn from_packed(packed: u64) -> Self {
        Self(packed)
    }

    /// Returns the number that [`Self::from_packed`] takes.
    pub const fn packed(self) -> u64 {
        self.0
    }

    /// Returns the era.
    pub const fn era(self) -> StoreEra {
        StoreEra((self.0 >> REVISION_BITS) as u16)
    }

    /// Returns the revision within the era.
    pub const fn revision(self) -> u64 {
        self.0 & ((1 << REVISION_BITS) - 1)
    }
}

impl fmt::Display for StoreRevision {
    /// Writes `era.revision`, or the revision alone in era 0.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era() != StoreEra(0) {
            write!(f, "{}.", self.era())?;
        }
        write!(f, "{}", self.revision())
    }
}

impl FromStr for StoreRevision {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let expected = "a revision of the store";
        let (era, revision) = text.split_once('.').unwrap_or(("0", text));
        let revision = parse_unsigned(revision, "", expected)?;
        Self::new(era.parse()?, revision).ok_or(ParseUnitError::OutOfRange(expected))
    }
}

//! Newtypes for times, sizes, counts, percentages, probabilities and rates.

mod measure;
mod revision;
mod time;

pub use measure::ByteCount;
pub use measure::Percent;
pub use measure::Probability;
pub use measure::RequestsPerSecond;
pub use measure::SlotCount;
pub use measure::TargetCount;
pub use revision::StoreEra;
pub use revision::StoreRevision;
pub use time::DurationMs;
pub use time::TimeMs;

use quick_error::quick_error;

quick_error! {
    /// The error for a text that is not a value of the expected unit.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ParseUnitError {
        /// The text is not a number with the unit's optional suffix.
        NotANumber(expected: &'static str) {
            display("expected {}", expected)
        }
        /// The number is outside the range of the unit.
        OutOfRange(expected: &'static str) {
            display("out of range, expected {}", expected)
        }
    }
}

/// Parses an unsigned integer with an optional unit suffix.
fn parse_unsigned(text: &str, suffix: &str, expected: &'static str) -> Result<u64, ParseUnitError> {
    let digits = text.strip_suffix(suffix).unwrap_or(text).trim_end();
    digits
        .parse()
        .map_err(|_| ParseUnitError::NotANumber(expected))
}

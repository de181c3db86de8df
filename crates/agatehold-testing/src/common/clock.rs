//! The clock of the stand-ins.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use agatehold_core::units::TimeMs;

/// Returns the time since the Unix epoch. Processes on one machine share this
/// clock, so that their records can be compared.
pub fn unix_now() -> TimeMs {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = elapsed.map_or(0, |duration| duration.as_millis());
    TimeMs(u64::try_from(millis).unwrap_or(u64::MAX))
}

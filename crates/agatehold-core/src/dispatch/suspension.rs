//! Detects that the host was suspended, during which the steady clock stands still.

use crate::units::DurationMs;
use crate::units::TimeMs;

/// The shortest suspension that counts, a hundredth of a retry window of ten seconds. The
/// two clocks are read one after the other, and the thread may be descheduled between.
const SUSPENSION_MIN_MS: DurationMs = DurationMs(100);

/// The time on two clocks, read one after the other in the order of the fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The time on the steady clock, which stands still during a suspension.
    pub steady: TimeMs,
    /// The time on a clock that also counts suspensions.
    pub with_suspensions: TimeMs,
}

/// Compares the two clocks with those of the last check.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionDetector {
    /// How far the clock that counts suspensions was ahead at the last check. It is not
    /// lower than the sum of all suspensions before that check.
    ahead_ms: DurationMs,
}

impl SuspensionDetector {
    /// Creates a detector of the suspensions after `reading`.
    pub fn new(reading: ClockReading) -> Self {
        Self {
            ahead_ms: ahead(reading),
        }
    }

    /// Returns the length of the suspensions since the last check; `None` if there were
    /// none.
    pub fn check(&mut self, reading: ClockReading) -> Option<DurationMs> {
        let ahead_ms = ahead(reading);
        let before_ms = std::mem::replace(&mut self.ahead_ms, ahead_ms);
        let suspended_ms = DurationMs(ahead_ms.0.saturating_sub(before_ms.0));
        (suspended_ms >= SUSPENSION_MIN_MS).then_some(suspended_ms)
    }
}

fn ahead(reading: ClockReading) -> DurationMs {
    reading.with_suspensions.since(reading.steady)
}

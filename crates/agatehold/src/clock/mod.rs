//! The monotonic clock of the process.

use std::time::Instant;

use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

/// A monotonic clock whose zero is one hour before its creation.
///
/// The offset makes points in time some minutes before the start representable.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
}

/// The time that the clock returns at its creation.
const ORIGIN_MS: u64 = 3_600_000;

impl Clock {
    /// Creates a clock.
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> TimeMs {
        let elapsed_ms = self.started.elapsed().as_millis();
        TimeMs(ORIGIN_MS + u64::try_from(elapsed_ms).unwrap_or(u64::MAX / 2))
    }

    /// Returns the time since the creation of the clock.
    pub(crate) fn uptime(&self) -> DurationMs {
        self.now().since(TimeMs(ORIGIN_MS))
    }

    /// Converts a point in time to an instant for Tokio's timers.
    pub(crate) fn instant(&self, time: TimeMs) -> tokio::time::Instant {
        let since_start = time.since(TimeMs(ORIGIN_MS));
        tokio::time::Instant::from_std(self.started) + duration(since_start)
    }
}

/// Converts a duration to the standard library's type.
pub(crate) fn duration(duration_ms: DurationMs) -> std::time::Duration {
    std::time::Duration::from_millis(duration_ms.0)
}

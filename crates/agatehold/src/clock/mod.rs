//! The monotonic clock of the process.

use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use agatehold_core::dispatch::ClockReading;
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

/// Reads the two clocks that together show whether the host was suspended.
///
/// Both are read in the same way, so that they keep pace wherever they come from.
pub(crate) fn read_suspension_clocks() -> ClockReading {
    ClockReading {
        steady: read_clock(ClockId::Monotonic),
        with_suspensions: read_clock(ClockId::Boottime),
    }
}

fn read_clock(clock: ClockId) -> TimeMs {
    let time = clock_gettime(clock);
    let seconds_ms = u64::try_from(time.tv_sec)
        .unwrap_or(0)
        .saturating_mul(1_000);
    let rest_ms = u64::try_from(time.tv_nsec / 1_000_000).unwrap_or(0);
    TimeMs(seconds_ms.saturating_add(rest_ms))
}

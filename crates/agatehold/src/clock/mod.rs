//! The monotonic clock of the process.

use std::time::Duration;

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
    id: ClockId,
    started: Duration,
}

/// The time that the clock returns at its creation.
const ORIGIN_MS: u64 = 3_600_000;

impl Clock {
    /// Creates a steady clock, which stands still while the host is suspended.
    pub(crate) fn new_steady() -> Self {
        Self::new(ClockId::Monotonic)
    }

    /// Creates a clock that goes on while the host is suspended. What it shows to be
    /// in force (permits, claims, confirmations) has not run out during a suspension.
    pub(crate) fn new_with_suspensions() -> Self {
        Self::new(ClockId::Boottime)
    }

    fn new(id: ClockId) -> Self {
        Self {
            id,
            started: read_clock(id),
        }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> TimeMs {
        let elapsed_ms = read_clock(self.id).saturating_sub(self.started).as_millis();
        TimeMs(ORIGIN_MS + u64::try_from(elapsed_ms).unwrap_or(u64::MAX / 2))
    }

    /// Returns the time since the creation of the clock.
    pub(crate) fn uptime(&self) -> DurationMs {
        self.now().since(self.started_at())
    }

    /// Returns the time at which the process started.
    pub(crate) const fn started_at(&self) -> TimeMs {
        TimeMs(ORIGIN_MS)
    }

    /// Converts a point in time to an instant for Tokio's timers.
    ///
    /// Tokio's timers stand still during a suspension. Whoever waits for one checks the
    /// time on this clock afterwards.
    pub(crate) fn instant(&self, time: TimeMs) -> tokio::time::Instant {
        let since_start = duration(time.since(TimeMs(ORIGIN_MS)));
        let time = self.started + since_start;
        let (now, instant) = (read_clock(self.id), tokio::time::Instant::now());
        if time >= now {
            return instant + (time - now);
        }
        instant.checked_sub(now - time).unwrap_or(instant)
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
        steady: read_clock_ms(ClockId::Monotonic),
        with_suspensions: read_clock_ms(ClockId::Boottime),
    }
}

fn read_clock_ms(clock: ClockId) -> TimeMs {
    let time_ms = read_clock(clock).as_millis();
    TimeMs(u64::try_from(time_ms).unwrap_or(u64::MAX / 2))
}

fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}

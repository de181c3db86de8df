//! The times at which the refused requests of a tenant are told to come back.

use crate::units::DurationMs;
use crate::units::TimeMs;

/// The longest delay. Callers have seconds for a request; what is later is of no use.
const DELAY_MAX_MS: DurationMs = DurationMs(60_000);

/// The next free time for a refused request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RetrySchedule {
    /// In fractions of a millisecond, so that high rates are not rounded.
    next_ms: f64,
}

impl RetrySchedule {
    /// Returns the delay of a refused request and moves the schedule on by one request at
    /// `rate_per_s`. `first_ms` is the time until the next token.
    pub(super) fn next(&mut self, first_ms: f64, rate_per_s: f64, now: TimeMs) -> DurationMs {
        let now_ms = now.0 as f64;
        let at_ms = self.next_ms.max(now_ms + first_ms);
        let delay_ms = at_ms - now_ms;
        if delay_ms >= DELAY_MAX_MS.0 as f64 {
            return DELAY_MAX_MS;
        }
        self.next_ms = at_ms + 1_000.0 / rate_per_s;
        DurationMs(delay_ms.ceil() as u64)
    }

    /// Returns whether a time that was given is still to come.
    pub(super) fn is_ahead(&self, now: TimeMs) -> bool {
        self.next_ms > now.0 as f64
    }
}

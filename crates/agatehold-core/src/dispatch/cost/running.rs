//! The expected remaining run time of a request in flight.

use crate::units::TimeMs;

use super::ExpectedCost;

/// The upper limit of the spread that the remaining run time is estimated with. At 1 the
/// estimate is that of a memoryless run time, and each request weighs the same.
const LOG_SPREAD_MAX: f64 = 1.0;

/// Identifies a request in flight in [`super::super::LiveTargets`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkId(pub(super) u64);

/// A request in flight whose cost was predicted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunningRequest {
    pub(super) id: WorkId,
    pub(super) expected: ExpectedCost,
    pub(super) started_at: TimeMs,
}

impl RunningRequest {
    /// Returns the expected remaining work in milliseconds at a target with the given
    /// slowness.
    ///
    /// Until the expected end it is the difference to the expected work, but at least
    /// the spread's share of it. After that it grows with the elapsed time, as it does
    /// for every run time with a heavy tail. For a log-normal run time with a spread of
    /// 0.8 the estimate lies within a quarter of the true mean up to the expected work.
    pub(super) fn remaining_ms(&self, slowness: f64, now: TimeMs) -> f64 {
        let work = self.expected.work.0;
        let elapsed = now.since(self.started_at).0 as f64 / slowness;
        let spread = self.expected.log_spread.min(LOG_SPREAD_MAX);
        (work - elapsed).max(spread * work.max(elapsed))
    }
}

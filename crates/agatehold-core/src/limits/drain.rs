//! Estimates how often a slot of a service becomes free.

use crate::units::DurationMs;
use crate::units::TimeMs;

/// The weight of the newest sample in the exponential moving average.
const NEWEST_WEIGHT: f64 = 0.05;

/// A moving average of the time between two slots becoming free, measured while
/// requests wait.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DrainRate {
    mean_interval_ms: Option<f64>,
    /// When the last slot became free or, if none has since, when requests
    /// began to wait; `None` while no request waits.
    measured_since: Option<TimeMs>,
}

impl DrainRate {
    /// Records that a request begins to wait at `now`.
    pub(super) fn begin_wait(&mut self, now: TimeMs) {
        if self.measured_since.is_none() {
            self.measured_since = Some(now);
        }
    }

    /// Records that no request waits any more.
    pub(super) fn end_wait(&mut self) {
        self.measured_since = None;
    }

    /// Records that a slot became free.
    pub(super) fn record_free_slot(&mut self, now: TimeMs) {
        let Some(since) = self.measured_since else {
            return;
        };
        let sample = now.since(since).0 as f64;
        let mean = self.mean_interval_ms.unwrap_or(sample);
        self.mean_interval_ms = Some(mean + (sample - mean) * NEWEST_WEIGHT);
        self.measured_since = Some(now);
    }

    /// Returns the estimated time until `slots` slots have become free; `None`
    /// before the first sample.
    pub(super) fn time_for(&self, slots: usize, now: TimeMs) -> Option<DurationMs> {
        let mean = self.mean_interval_ms?;
        // While no slots become free, the time since the last one is the better
        // estimate of the interval.
        Some(DurationMs(
            (mean.max(self.idle_ms(now)) * slots as f64) as u64,
        ))
    }

    /// Returns the estimated time until a number of slots, not necessarily whole, have
    /// become free; `None` before the first sample.
    ///
    /// The time since the last slot counts as one more sample. Taken for the interval
    /// itself, one pause of 100 ms would make ten places a wait of a second.
    pub(super) fn time_for_slots(&self, slots: f64, now: TimeMs) -> Option<DurationMs> {
        let mean = self.mean_interval_ms?;
        let interval_ms = mean + (self.idle_ms(now) - mean).max(0.0) * NEWEST_WEIGHT;
        Some(DurationMs((interval_ms * slots) as u64))
    }

    /// Returns the mean time between two slots becoming free; `None` before the first
    /// sample.
    pub(super) const fn interval_ms(&self) -> Option<f64> {
        self.mean_interval_ms
    }

    /// Returns the time since a slot became free or requests began to wait.
    fn idle_ms(&self, now: TimeMs) -> f64 {
        self.measured_since
            .map_or(0.0, |since| now.since(since).0 as f64)
    }
}

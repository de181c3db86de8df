//! Estimates how fast the slots of a service become free.

use crate::units::DurationMs;
use crate::units::TimeMs;

/// The weight of the newest sample in the moving average.
const NEWEST_WEIGHT: f64 = 0.05;

/// The mean time between two free slots while requests wait.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DrainRate {
    interval_ms: Option<f64>,
    /// When the last slot became free; `None` while no request waits.
    last: Option<TimeMs>,
}

impl DrainRate {
    /// Records that a request waits from now on.
    pub(super) fn begin_wait(&mut self, now: TimeMs) {
        if self.last.is_none() {
            self.last = Some(now);
        }
    }

    /// Records that no request waits.
    pub(super) fn end_wait(&mut self) {
        self.last = None;
    }

    /// Records a free slot.
    pub(super) fn record_free_slot(&mut self, now: TimeMs) {
        let Some(last) = self.last else {
            return;
        };
        let sample = now.since(last).0 as f64;
        let mean = self.interval_ms.unwrap_or(sample);
        self.interval_ms = Some(mean + (sample - mean) * NEWEST_WEIGHT);
        self.last = Some(now);
    }

    /// Returns the time until `slots` more slots become free, if known.
    pub(super) fn time_for(&self, slots: usize, now: TimeMs) -> Option<DurationMs> {
        let mean = self.interval_ms?;
        // When the targets stand still, the time since the last free slot is
        // the better estimate.
        let idle = self.last.map_or(0.0, |last| now.since(last).0 as f64);
        Some(DurationMs((mean.max(idle) * slots as f64) as u64))
    }
}

//! A streaming estimate of the median latency.

use crate::units::DurationMs;

/// The relative step of the estimate once it has settled.
const SETTLED_STEP: f64 = 0.05;

/// The relative step of the first samples, divided by their number.
const FIRST_STEP: f64 = 0.7;

/// A median estimate that moves by a relative step towards each sample.
///
/// It needs two numbers for each target, where a sorted window would need
/// hundreds; at 9,900 targets the difference is several megabytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MedianEstimate {
    /// The estimate in milliseconds.
    value_ms: f64,
    /// The number of samples so far.
    samples: u32,
}

impl MedianEstimate {
    /// Adds one sample.
    pub fn add(&mut self, sample: DurationMs) {
        // A sample of 0 ms stands for less than one millisecond.
        let sample_ms = (sample.0 as f64).max(0.5);
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.value_ms = sample_ms;
            return;
        }
        let step = (FIRST_STEP / f64::from(self.samples)).max(SETTLED_STEP);
        if sample_ms > self.value_ms {
            self.value_ms = (self.value_ms * (1.0 + step)).min(sample_ms);
        } else if sample_ms < self.value_ms {
            self.value_ms = (self.value_ms / (1.0 + step)).max(sample_ms);
        }
    }

    /// Returns the estimate in milliseconds, `None` before `min_samples`.
    pub fn get(&self, min_samples: u32) -> Option<f64> {
        (self.samples >= min_samples).then_some(self.value_ms)
    }
}

//! A streaming estimate of the median latency.

use crate::units::DurationMs;

/// The lower limit of the relative step, reached after a number of samples.
const RELATIVE_STEP_MIN: f64 = 0.05;

/// The relative step before it is divided by the number of samples so far.
const INITIAL_RELATIVE_STEP: f64 = 0.7;

/// A median estimate that moves by a relative step towards each sample.
///
/// It stores two numbers for each target, while a sorted window would need
/// hundreds; with 9,900 targets this saves several megabytes.
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
        // A sample of 0 ms means less than one millisecond.
        let sample_ms = (sample.0 as f64).max(0.5);
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.value_ms = sample_ms;
            return;
        }
        let step = (INITIAL_RELATIVE_STEP / f64::from(self.samples)).max(RELATIVE_STEP_MIN);
        if sample_ms > self.value_ms {
            self.value_ms = (self.value_ms * (1.0 + step)).min(sample_ms);
        } else if sample_ms < self.value_ms {
            self.value_ms = (self.value_ms / (1.0 + step)).max(sample_ms);
        }
    }

    /// Returns the estimate in milliseconds, or `None` if there are fewer than
    /// `min_samples` samples.
    pub fn get(&self, min_samples: u32) -> Option<f64> {
        (self.samples >= min_samples).then_some(self.value_ms)
    }
}

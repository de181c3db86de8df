//! CUSUM (cumulative sum) statistics of Bernoulli observations.

use crate::config::DetectionPolicy;

use super::LogLikelihood;

/// A one-sided CUSUM of the log likelihood ratio between two Bernoulli rates,
/// that of a bad target and that of a healthy one (Page 1954).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cusum {
    /// The statistic in nats; never negative.
    value: f64,
}

impl Cusum {
    /// Adds one observation. `hit` tells whether the event, such as a failure,
    /// occurred. `bad_rate` and `base_rate` are the probabilities of the event at
    /// a bad and at a healthy target.
    ///
    /// Resets the statistic to 0 if `bad_rate` is at most 1.5 times `base_rate`,
    /// since the two can't be distinguished then.
    pub fn add(&mut self, hit: bool, bad_rate: f64, base_rate: f64) {
        if base_rate * 1.5 >= bad_rate {
            self.value = 0.0;
            return;
        }
        let ratio = if hit {
            (bad_rate / base_rate).ln()
        } else {
            ((1.0 - bad_rate) / (1.0 - base_rate)).ln()
        };
        self.value = (self.value + ratio).max(0.0);
    }

    /// Adds evidence that is already a log likelihood ratio.
    pub fn add_nats(&mut self, nats: f64) {
        self.value = (self.value + nats).max(0.0);
    }

    /// Sets the statistic to `value`.
    pub fn reset_to(&mut self, value: LogLikelihood) {
        self.value = value.get();
    }

    /// Returns the statistic.
    pub const fn value(&self) -> LogLikelihood {
        LogLikelihood::from_nats(self.value)
    }
}

/// Returns the value of the statistic from which a target counts as bad.
///
/// It is the upper threshold of Wald's sequential probability ratio test for the
/// error rates in the service's policy.
pub fn alarm_threshold(policy: &DetectionPolicy) -> LogLikelihood {
    let odds = (1.0 - policy.max_missed.get()) / policy.max_false_ejection.get();
    LogLikelihood::from_nats(odds.ln().max(0.0))
}

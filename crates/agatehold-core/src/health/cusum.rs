//! Bernoulli CUSUM statistics.

use crate::config::DetectionPolicy;

use super::LogLikelihood;

/// A one-sided CUSUM of the log likelihood ratio of two Bernoulli rates
/// (Page 1954).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cusum {
    /// The statistic in nats; never negative.
    value: f64,
}

impl Cusum {
    /// Adds one observation, `hit` if it speaks for `bad_rate`.
    ///
    /// Does nothing when `base_rate` is so close to `bad_rate` that the two
    /// can't be told apart.
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

/// Returns the statistic at which a target counts as bad.
///
/// It is the upper threshold of Wald's sequential test for the error rates of
/// the service.
pub fn alarm_threshold(policy: &DetectionPolicy) -> LogLikelihood {
    let odds = (1.0 - policy.max_missed.get()) / policy.max_false_ejection.get();
    LogLikelihood::from_nats(odds.ln().max(0.0))
}

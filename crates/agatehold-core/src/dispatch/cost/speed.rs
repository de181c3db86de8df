//! How much longer the same work takes at one target than at the others.

use crate::units::DurationMs;
use crate::units::TimeMs;

/// The time after which the weight of a sample of a target's speed has halved. Shorter
/// spells of slowness show in the elapsed time of the requests in flight.
const SPEED_HALF_LIFE_MS: DurationMs = DurationMs(8_000);

/// The time after which the weight of a sample of a service's values has halved.
const SERVICE_HALF_LIFE_MS: DurationMs = DurationMs(20_000);

/// The number of standard errors up to which a difference in speed is taken for chance.
/// With 2, equally fast targets with unpredictable requests were told apart so often that
/// the median response took 0.4% longer at eight daemons.
const CHANCE_ERRORS: f64 = 3.0;

/// The limit of one sample's natural logarithm, so that a single outlier doesn't make a
/// target slow.
const SAMPLE_LOG_MAX: f64 = 2.0;

/// The assumed variance of the logarithm until samples show it.
const INITIAL_LOG_VARIANCE: f64 = 0.5;

/// The limits of a target's slowness.
const SLOWNESS_MIN: f64 = 0.25;
const SLOWNESS_MAX: f64 = 8.0;

/// The recent speed of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetSpeed {
    /// The mean natural logarithm of run time over expected work.
    log_mean: f64,
    /// The decayed number of samples.
    weight: f64,
    updated_at: TimeMs,
}

/// The mean of a service's targets, which the speed of each is compared with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceWork {
    /// The mean expected work of the answered requests; above 0.
    pub mean_work_ms: f64,
    /// The mean absolute natural logarithm of run time over expected work, with the
    /// usual bias and the target's slowness removed.
    pub mean_log_error: f64,
    /// The mean natural logarithm of run time over expected work.
    log_mean: f64,
    /// The variance of that logarithm around the mean of the same target.
    log_variance: f64,
    weight: f64,
    updated_at: TimeMs,
}

impl ServiceWork {
    pub(super) const fn new(work_ms: f64) -> Self {
        Self {
            mean_work_ms: work_ms,
            mean_log_error: 0.0,
            log_mean: 0.0,
            log_variance: INITIAL_LOG_VARIANCE,
            weight: 0.0,
            updated_at: TimeMs(0),
        }
    }

    /// Returns how many times as long a request takes at a target as at a usual one. It
    /// is 1 as far as the difference may be chance.
    pub fn slowness(&self, speed: &TargetSpeed, now: TimeMs) -> f64 {
        let age_ms = now.since(speed.updated_at);
        let weight = speed.weight * age_ms.half_life_weight(SPEED_HALF_LIFE_MS);
        let difference = speed.log_mean - self.log_mean;
        let chance = CHANCE_ERRORS * CHANCE_ERRORS * self.log_variance;
        // The positive-part James-Stein estimate; weights near 0 give 1.
        let certain = 1.0 - chance / (weight * difference * difference).max(1e-9);
        if certain <= 0.0 {
            return 1.0;
        }
        (difference * certain)
            .exp()
            .clamp(SLOWNESS_MIN, SLOWNESS_MAX)
    }

    /// Records the run time of a request of the target with this speed.
    pub(super) fn record(
        &mut self,
        speed: &mut TargetSpeed,
        work_ms: f64,
        run_ms: f64,
        now: TimeMs,
    ) {
        let slowness = self.slowness(speed, now);
        let sample = (run_ms / work_ms).ln() - self.log_mean;
        let sample = self.log_mean + sample.clamp(-SAMPLE_LOG_MAX, SAMPLE_LOG_MAX);

        let age_ms = now.since(self.updated_at);
        self.weight = self.weight * age_ms.half_life_weight(SERVICE_HALF_LIFE_MS) + 1.0;
        self.updated_at = now;
        let rate = 1.0 / self.weight;
        let log_error = (sample - self.log_mean - slowness.ln()).abs();
        self.mean_log_error += (log_error - self.mean_log_error) * rate;
        self.mean_work_ms += (work_ms - self.mean_work_ms) * rate;
        // The variance starts from the assumed one as if that were ten samples.
        let within = sample - speed.log_mean;
        if speed.weight > 1.0 {
            let variance_rate = 1.0 / (self.weight + 10.0);
            self.log_variance += (within * within - self.log_variance) * variance_rate;
        }
        self.log_mean += (sample - self.log_mean) * rate;

        let age_ms = now.since(speed.updated_at);
        speed.weight = speed.weight * age_ms.half_life_weight(SPEED_HALF_LIFE_MS) + 1.0;
        speed.updated_at = now;
        speed.log_mean += (sample - speed.log_mean) / speed.weight;
    }
}

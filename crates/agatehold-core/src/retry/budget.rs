//! The retry budget of a service.

use crate::units::DurationMs;
use crate::units::Percent;
use crate::units::TimeMs;

/// The number of retries that a service may save up even if it has few requests.
///
/// From the tenth request on, one retry is at most a tenth of the requests, so
/// that the attempts stay within the bound given at [`SHARE_MAX`].
pub const SAVED_RETRIES_MIN: f64 = 1.0;

/// The upper limit of the share of retries that a policy may allow. It keeps the
/// attempts, saved retries included, below 1.2 times the requests.
const SHARE_MAX: f64 = 0.1;

/// The number of buckets in the second over which recent requests are counted.
const BUCKETS: usize = 10;

/// The length of one bucket.
const BUCKET_MS: DurationMs = DurationMs(100);

/// A token bucket for the retries that one daemon may make for one service.
///
/// Each request adds `share` tokens and each retry takes one token. The tokens
/// are limited to those that the requests of the last second have added, so that
/// over any longer time saved retries add at most another [`SHARE_MAX`].
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// The tokens that each request adds.
    share: f64,
    /// The retries that are left; at most [`SAVED_RETRIES_MIN`] or the tokens that
    /// the requests of the last second have added, whichever is more.
    tokens: f64,
    /// The requests of the last second; a ring buffer indexed by the number of
    /// the bucket modulo its length.
    requests: [u32; BUCKETS],
    /// The number of the current bucket since the clock's origin.
    bucket: u64,
}

impl RetryBudget {
    /// Creates a budget that allows retries for `share` of the requests.
    pub fn new(share: Percent, now: TimeMs) -> Self {
        let share = share.fraction().min(SHARE_MAX);
        Self {
            share,
            tokens: if share > 0.0 { SAVED_RETRIES_MIN } else { 0.0 },
            requests: [0; BUCKETS],
            bucket: now.0 / BUCKET_MS.0,
        }
    }

    /// Changes the share of requests for which retries are allowed.
    pub fn set_share(&mut self, share: Percent) {
        self.share = share.fraction().min(SHARE_MAX);
    }

    /// Records a request that is sent for the first time.
    pub fn record_request(&mut self, now: TimeMs) {
        self.advance_to(now);
        let position = (self.bucket % BUCKETS as u64) as usize;
        self.requests[position] = self.requests[position].saturating_add(1);
        self.tokens = (self.tokens + self.share).min(self.tokens_max());
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn take(&mut self, now: TimeMs) -> bool {
        self.advance_to(now);
        self.tokens = self.tokens.min(self.tokens_max());
        if self.tokens < 1.0 || self.share <= 0.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the upper limit of the tokens.
    fn tokens_max(&self) -> f64 {
        let recent: u32 = self.requests.iter().sum();
        (f64::from(recent) * self.share).max(SAVED_RETRIES_MIN)
    }

    /// Moves on to the bucket of `now` and clears the buckets that began a second
    /// or longer before it.
    fn advance_to(&mut self, now: TimeMs) {
        let bucket = now.0 / BUCKET_MS.0;
        let first = self.bucket + 1;
        let last = bucket.min(self.bucket + BUCKETS as u64);
        for passed in first..=last {
            self.requests[(passed % BUCKETS as u64) as usize] = 0;
        }
        self.bucket = self.bucket.max(bucket);
    }
}

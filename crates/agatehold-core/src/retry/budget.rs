//! The retry budget of a service.

use crate::units::DurationMs;
use crate::units::Percent;
use crate::units::TimeMs;

/// The retries that are saved up where there are few requests.
///
/// One retry to ten requests is a tenth, so that the floor stays below the
/// bound on attempts from the tenth request on.
pub const RETRY_FLOOR: f64 = 1.0;

/// The highest share of retries to requests, whatever the policy says, so that
/// attempts stay below 1.2 times the requests together with saved retries.
const SHARE_MAX: f64 = 0.1;

/// The parts of the second over which recent requests are counted.
const PARTS: usize = 10;

/// The length of one part.
const PART_MS: DurationMs = DurationMs(100);

/// The retries that one service may make in one daemon.
///
/// Each request adds its share of a retry; a retry takes one. Retries that
/// were not used are kept for one second, so that over any longer time they
/// add at most another [`SHARE_MAX`].
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: f64,
    /// At most the larger of the floor and the share of the last second.
    tokens: f64,
    /// The requests of the last second in parts, by the number of the part.
    requests: [u32; PARTS],
    /// The number of the current part.
    part: u64,
}

impl RetryBudget {
    /// Creates a budget of `share` of the requests.
    pub fn new(share: Percent, now: TimeMs) -> Self {
        let share = share.fraction().min(SHARE_MAX);
        Self {
            share,
            tokens: if share > 0.0 { RETRY_FLOOR } else { 0.0 },
            requests: [0; PARTS],
            part: now.0 / PART_MS.0,
        }
    }

    /// Changes the share.
    pub fn set_share(&mut self, share: Percent) {
        self.share = share.fraction().min(SHARE_MAX);
    }

    /// Records a request that is sent for the first time.
    pub fn record_request(&mut self, now: TimeMs) {
        self.pass_time(now);
        let position = (self.part % PARTS as u64) as usize;
        self.requests[position] = self.requests[position].saturating_add(1);
        self.tokens = (self.tokens + self.share).min(self.most_tokens());
    }

    /// Takes a retry and returns whether there was one.
    pub fn take(&mut self, now: TimeMs) -> bool {
        self.pass_time(now);
        self.tokens = self.tokens.min(self.most_tokens());
        if self.tokens < 1.0 || self.share <= 0.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn most_tokens(&self) -> f64 {
        let recent: u32 = self.requests.iter().sum();
        (f64::from(recent) * self.share).max(RETRY_FLOOR)
    }

    /// Clears the parts that lie more than a second back.
    fn pass_time(&mut self, now: TimeMs) {
        let part = now.0 / PART_MS.0;
        let first = self.part + 1;
        let last = part.min(self.part + PARTS as u64);
        for passed in first..=last {
            self.requests[(passed % PARTS as u64) as usize] = 0;
        }
        self.part = self.part.max(part);
    }
}

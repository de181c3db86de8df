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

/// How long unused retries are kept.
///
/// Over any longer time the saved retries add at most another [`SHARE_MAX`].
const WINDOW_MS: DurationMs = DurationMs(1_000);

/// The retries that one service may make in one daemon.
///
/// Each request adds its share of a retry; a retry takes one.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: f64,
    /// At most the larger of the floor and the share of one window's requests.
    tokens: f64,
    window_start: TimeMs,
    requests: u32,
    previous_requests: u32,
}

impl RetryBudget {
    /// Creates a budget of `share` of the requests.
    pub fn new(share: Percent, now: TimeMs) -> Self {
        let share = share.fraction().min(SHARE_MAX);
        Self {
            share,
            tokens: if share > 0.0 { RETRY_FLOOR } else { 0.0 },
            window_start: now,
            requests: 0,
            previous_requests: 0,
        }
    }

    /// Changes the share.
    pub fn set_share(&mut self, share: Percent) {
        self.share = share.fraction().min(SHARE_MAX);
    }

    /// Records a request that is sent for the first time.
    pub fn record_request(&mut self, now: TimeMs) {
        self.roll_window(now);
        self.requests = self.requests.saturating_add(1);
        self.tokens = (self.tokens + self.share).min(self.most_tokens());
    }

    /// Takes a retry and returns whether there was one.
    pub fn take(&mut self, now: TimeMs) -> bool {
        self.roll_window(now);
        self.tokens = self.tokens.min(self.most_tokens());
        if self.tokens < 1.0 || self.share <= 0.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn most_tokens(&self) -> f64 {
        let recent = self.requests.max(self.previous_requests);
        (f64::from(recent) * self.share).max(RETRY_FLOOR)
    }

    fn roll_window(&mut self, now: TimeMs) {
        let passed = now.since(self.window_start);
        if passed < WINDOW_MS {
            return;
        }
        self.previous_requests = if passed < WINDOW_MS.times(2) {
            self.requests
        } else {
            0
        };
        self.requests = 0;
        self.window_start = now;
    }
}

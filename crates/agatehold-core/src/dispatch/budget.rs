//! Limits how often the requests of a service are sent again.

use std::collections::VecDeque;
use std::fmt;

use crate::units::DurationMs;
use crate::units::TimeMs;

/// The number of buckets that the window is divided into for counting.
const WINDOW_BUCKETS: u64 = 10;

/// The share of `ResendPolicy::ratio` that this daemon uses. The margin keeps
/// a window that starts in the middle of a bucket below the bound.
const RATIO_USED_SHARE: f64 = 0.95;

/// The share of `ResendPolicy::slack` that all entry daemons use together. The
/// rest is left for daemons that still serve callers with outdated addresses.
const SLACK_USED_SHARE: f64 = 0.85;

/// The share of the slack that new entry daemons get immediately. The previous
/// entry daemons may have spent the rest within the current window.
const NEW_ENTRY_SLACK_SHARE: f64 = 0.1;

/// The number of resends that must be left before a request may be sent to a
/// target that is likely to fail it; they are kept for other failures.
const RESEND_RESERVE: f64 = 8.0;

/// The upper bound on the resends of all daemons together, over any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResendPolicy {
    /// Resends allowed per request of the service.
    pub ratio: f64,
    /// Resends allowed in addition, independent of the number of requests.
    pub slack: u32,
    /// The length of the window.
    pub window_ms: DurationMs,
}

/// The resends that one daemon may make for one service.
///
/// Each daemon applies the ratio to the requests that it receives itself and
/// gets an equal part of the slack. The sum over all daemons therefore stays
/// within the policy however the traffic is distributed.
#[derive(Clone, Debug)]
pub struct ResendBudget {
    policy: ResendPolicy,
    /// This daemon's part of the slack.
    own_slack: u32,
    /// A larger part of the slack and the time from which it applies. It does not
    /// apply before a window has passed, since resends that other daemons have
    /// made from it count until then.
    pending_slack: Option<(u32, TimeMs)>,
    /// Requests and resends by bucket, oldest first.
    buckets: VecDeque<Bucket>,
}

/// What a budget has counted in its window, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetState {
    /// The requests of the window.
    pub requests: u32,
    /// The resends of the window.
    pub resends: u32,
    /// This daemon's part of the slack, in resends.
    pub own_slack: f64,
    /// The resends that are left; below 0 after the part of the slack has become
    /// smaller.
    pub left: f64,
}

impl fmt::Display for BudgetState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "requests={} resends={} slack={:.1} left={:.1}",
            self.requests, self.resends, self.own_slack, self.left
        )
    }
}

/// The counts of one bucket of the window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// The number of the bucket since the clock's origin.
    number: u64,
    requests: u32,
    resends: u32,
}

impl ResendBudget {
    /// Creates a budget without any slack.
    pub fn new(policy: ResendPolicy) -> Self {
        Self {
            policy,
            own_slack: 0,
            pending_slack: None,
            buckets: VecDeque::new(),
        }
    }

    /// Sets the number of entry daemons that share the slack, including this
    /// one; 0 if this daemon is not an entry daemon.
    ///
    /// A smaller part of the slack applies immediately, a larger one after a
    /// full window.
    pub fn set_entries(&mut self, entries: u32, now: TimeMs) {
        self.apply_pending_slack(now);
        let part = |share: f64| match entries {
            0 => 0,
            entries => (f64::from(self.policy.slack) * share / f64::from(entries)) as u32,
        };
        let full = part(SLACK_USED_SHARE);
        if full <= self.own_slack {
            self.own_slack = full;
            self.pending_slack = None;
            return;
        }
        self.own_slack = self.own_slack.max(part(NEW_ENTRY_SLACK_SHARE));
        if self.pending_slack.is_none_or(|(slack, _)| slack != full) {
            self.pending_slack = Some((full, now + self.policy.window_ms));
        }
    }

    /// Switches to the larger part of the slack once it applies.
    fn apply_pending_slack(&mut self, now: TimeMs) {
        if let Some((slack, at)) = self.pending_slack
            && now >= at
        {
            self.own_slack = slack;
            self.pending_slack = None;
        }
    }

    /// Records a request that is sent for the first time or is refused.
    pub fn record_request(&mut self, now: TimeMs) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes one resend from the budget; returns false if none is left.
    pub fn take(&mut self, now: TimeMs) -> bool {
        if !self.has_resend(now) {
            return false;
        }
        self.current_bucket(now).resends += 1;
        true
    }

    /// Returns whether a resend is left.
    pub fn has_resend(&mut self, now: TimeMs) -> bool {
        self.has_left(1.0, now)
    }

    /// Returns whether enough resends are left to send a request to a target
    /// that is likely to fail it.
    pub fn has_reserve(&mut self, now: TimeMs) -> bool {
        self.has_left(RESEND_RESERVE, now)
    }

    /// Returns whether at least `needed` resends are left.
    fn has_left(&mut self, needed: f64, now: TimeMs) -> bool {
        self.state(now).left >= needed
    }

    /// Returns what the budget has counted in the window that ends now.
    pub fn state(&mut self, now: TimeMs) -> BudgetState {
        self.apply_pending_slack(now);
        let newest = self.current_bucket(now).number;
        // The bucket in which the window begins counts for the resends only: part of
        // its requests are older than the window.
        let is_within = |bucket: &&Bucket| bucket.number + WINDOW_BUCKETS > newest;
        let within = self.buckets.iter().filter(is_within);
        let requests: u32 = within.map(|bucket| bucket.requests).sum();
        let resends: u32 = self.buckets.iter().map(|bucket| bucket.resends).sum();
        let own_slack = f64::from(self.own_slack);
        let allowed = f64::from(requests) * self.policy.ratio * RATIO_USED_SHARE + own_slack;
        BudgetState {
            requests,
            resends,
            own_slack,
            left: allowed - f64::from(resends),
        }
    }

    /// Returns the current bucket after dropping those that ended at least a
    /// window ago.
    fn current_bucket(&mut self, now: TimeMs) -> &mut Bucket {
        let length_ms = (self.policy.window_ms.0 / WINDOW_BUCKETS).max(1);
        let number = now.0 / length_ms;
        while let Some(oldest) = self.buckets.front() {
            if oldest.number + WINDOW_BUCKETS >= number {
                break;
            }
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|newest| newest.number < number)
        {
            self.buckets.push_back(Bucket {
                number,
                requests: 0,
                resends: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

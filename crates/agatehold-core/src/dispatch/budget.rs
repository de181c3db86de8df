//! Limits how often the requests of a service are sent again.

use std::collections::VecDeque;
use std::fmt;

use crate::units::DurationMs;
use crate::units::TimeMs;

/// The number of buckets that the window is divided into for counting.
const WINDOW_BUCKETS: u64 = 20;

/// The share of `ResendPolicy::ratio` that each request earns.
const EARNED_SHARE: f64 = 0.7;

/// The share of `ResendPolicy::ratio` that may be saved up for each request of the last
/// window. With [`EARNED_SHARE`] it is below 1; the margin covers the time between a
/// request and its last arrival at a target.
const SAVED_SHARE: f64 = 0.25;

/// The share of `ResendPolicy::slack` that all entry daemons use together. The rest is
/// for what new entry daemons get immediately, and for daemons that don't know yet that
/// they are no entry daemons any more.
const SLACK_USED_SHARE: f64 = 0.75;

/// The share of the slack that new entry daemons get immediately. The previous
/// processes may have spent their part within the current window, so that each start
/// of the whole fleet within a window adds this share.
const NEW_ENTRY_SLACK_SHARE: f64 = 0.1;

/// How long other daemons may use their part of the slack before they know of a change
/// of the entry daemons.
const CHANGE_KNOWN_AFTER_MS: DurationMs = DurationMs(3_000);

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

/// The resends that one daemon may make for one service: a token bucket that requests
/// fill, and a part of the slack for each window.
///
/// Each request earns a part of a resend. What is saved of it is limited by the requests
/// of the last window. The resends of a daemon in any window are therefore at most what
/// its requests in this window have earned, what its requests in the window before
/// allowed it to save, and its part of the slack.
///
/// The first two are sums over requests in which each request counts once, whichever
/// daemon gets it. They stay within the policy for the sum of all daemons, also if
/// daemons are killed or started, or their callers move to others. A process starts with
/// nothing saved. The parts of the slack stay within the policy as far as daemons know
/// who the entry daemons are.
#[derive(Clone, Debug)]
pub struct ResendBudget {
    policy: ResendPolicy,
    /// The resends that are saved; at most [`SAVED_SHARE`] of the ratio for each request
    /// in `buckets`.
    saved: f64,
    /// This daemon's part of the slack for each window, in resends.
    own_slack: f64,
    /// A larger part of the slack and the time from which it applies. It does not
    /// apply before the resends that other daemons have made from it have left the
    /// window.
    pending_slack: Option<(f64, TimeMs)>,
    /// Requests and the slack spent by bucket, oldest first. None of them ended longer
    /// than a window ago.
    buckets: VecDeque<Bucket>,
}

/// What a budget has counted, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetState {
    /// The requests of the last window.
    pub requests: u32,
    /// The resends that are saved.
    pub saved: f64,
    /// This daemon's part of the slack, in resends.
    pub own_slack: f64,
    /// The part of the slack that is left, in resends.
    pub slack_left: f64,
}

impl BudgetState {
    /// Returns the resends that are left.
    pub fn left(&self) -> f64 {
        self.saved + self.slack_left
    }
}

impl fmt::Display for BudgetState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "requests={} saved={:.1} slack={:.1} slack_left={:.1}",
            self.requests, self.saved, self.own_slack, self.slack_left
        )
    }
}

/// The counts of one bucket of the window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// The number of the bucket since the clock's origin.
    number: u64,
    requests: u32,
    /// What was spent of the slack, in resends.
    slack_spent: f64,
}

impl ResendBudget {
    /// Creates a budget with nothing saved and without any slack.
    pub fn new(policy: ResendPolicy) -> Self {
        Self {
            policy,
            saved: 0.0,
            own_slack: 0.0,
            pending_slack: None,
            buckets: VecDeque::new(),
        }
    }

    /// Sets the number of entry daemons that share the slack, including this
    /// one; 0 if this daemon is not an entry daemon.
    ///
    /// A smaller part of the slack applies immediately, a larger one after a
    /// window and the time in which other daemons learn of the change.
    pub fn set_entries(&mut self, entries: u32, now: TimeMs) {
        self.apply_pending_slack(now);
        let part = |share: f64| match entries {
            0 => 0.0,
            entries => f64::from(self.policy.slack) * share / f64::from(entries),
        };
        let full = part(SLACK_USED_SHARE);
        if full <= self.own_slack {
            self.own_slack = full;
            self.pending_slack = None;
            return;
        }
        self.own_slack = self.own_slack.max(part(NEW_ENTRY_SLACK_SHARE));
        self.pending_slack = Some(match self.pending_slack {
            // A part that changes time and again must not put off the increase.
            Some((slack, at)) => (slack.min(full), at),
            None => (full, now + self.policy.window_ms + CHANGE_KNOWN_AFTER_MS),
        });
    }

    /// Forgets what was saved and counts the slack as spent, for example because the
    /// process was suspended: what was counted may be older than it seems.
    pub fn clear_saved(&mut self, now: TimeMs) {
        self.saved = 0.0;
        self.buckets.clear();
        let own_slack = self.own_slack;
        self.current_bucket(now).slack_spent = own_slack;
    }

    /// Returns this daemon's part of the slack, in resends.
    pub fn own_slack(&mut self, now: TimeMs) -> f64 {
        self.apply_pending_slack(now);
        self.own_slack
    }

    /// Switches to the larger part of the slack once it applies.
    fn apply_pending_slack(&mut self, now: TimeMs) {
        if let Some((slack, at)) = self.pending_slack
            && now >= at
        {
            self.own_slack = self.own_slack.max(slack);
            self.pending_slack = None;
        }
    }

    /// Records a request that is sent for the first time or is refused.
    pub fn record_request(&mut self, now: TimeMs) {
        self.current_bucket(now).requests += 1;
        self.saved += self.policy.ratio * EARNED_SHARE;
        self.update(now);
    }

    /// Takes one resend from the budget; returns false if none is left.
    pub fn take(&mut self, now: TimeMs) -> bool {
        let state = self.state(now);
        if state.left() < 1.0 {
            return false;
        }
        let from_saved = state.saved.min(1.0);
        self.saved -= from_saved;
        self.current_bucket(now).slack_spent += 1.0 - from_saved;
        true
    }

    /// Returns whether a resend is left.
    pub fn has_resend(&mut self, now: TimeMs) -> bool {
        self.state(now).left() >= 1.0
    }

    /// Returns whether enough resends are left to send a request to a target
    /// that is likely to fail it: [`RESEND_RESERVE`], or half of what a daemon with few
    /// requests can have.
    pub fn has_reserve(&mut self, now: TimeMs) -> bool {
        let state = self.state(now);
        let most = self.saved_max(state.requests) + state.own_slack;
        let needed = RESEND_RESERVE.min(most / 2.0).max(1.0);
        state.left() >= needed
    }

    /// Returns what the budget has counted.
    pub fn state(&mut self, now: TimeMs) -> BudgetState {
        let requests = self.update(now);
        let spent: f64 = self.buckets.iter().map(|bucket| bucket.slack_spent).sum();
        BudgetState {
            requests,
            saved: self.saved,
            own_slack: self.own_slack,
            slack_left: (self.own_slack - spent).max(0.0),
        }
    }

    /// Drops the buckets that ended a window ago, and what can't be saved without their
    /// requests; returns the requests of the window.
    fn update(&mut self, now: TimeMs) -> u32 {
        self.apply_pending_slack(now);
        let number = self.bucket_number(now);
        while let Some(oldest) = self.buckets.front() {
            if oldest.number + WINDOW_BUCKETS >= number {
                break;
            }
            self.buckets.pop_front();
        }
        // The bucket in which the window begins counts for the slack only: part of its
        // requests are older than the window.
        let is_within = |bucket: &&Bucket| bucket.number + WINDOW_BUCKETS > number;
        let within = self.buckets.iter().filter(is_within);
        let requests = within.map(|bucket| bucket.requests).sum();
        self.saved = self.saved.min(self.saved_max(requests));
        requests
    }

    fn current_bucket(&mut self, now: TimeMs) -> &mut Bucket {
        let number = self.bucket_number(now);
        let newest = self.buckets.back().map(|bucket| bucket.number);
        if newest.is_none_or(|newest| newest < number) {
            self.buckets.push_back(Bucket {
                number,
                requests: 0,
                slack_spent: 0.0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn bucket_number(&self, now: TimeMs) -> u64 {
        now.0 / (self.policy.window_ms.0 / WINDOW_BUCKETS).max(1)
    }

    /// Returns how many resends may be saved for the requests of a window.
    fn saved_max(&self, requests: u32) -> f64 {
        f64::from(requests) * self.policy.ratio * SAVED_SHARE
    }
}

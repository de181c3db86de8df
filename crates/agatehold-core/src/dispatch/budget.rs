//! Limits how often the requests of a service are sent again.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;

use crate::ids::ServiceName;
use crate::units::DurationMs;
use crate::units::TimeMs;

/// The number of buckets that the window is divided into for counting.
const WINDOW_BUCKETS: u64 = 20;

/// The share of `ResendPolicy::ratio` that each request earns.
const EARNED_SHARE: f64 = 0.5;

/// The share of `ResendPolicy::ratio` that may be saved up for each request of the last
/// window. With [`EARNED_SHARE`] it is below 1; the margin covers the time between a
/// request and its last arrival at a target.
const SAVED_SHARE: f64 = 0.45;

/// The share of `ResendPolicy::slack` that all entry daemons use together. The
/// rest is left for daemons that still serve callers with outdated addresses.
const SLACK_USED_SHARE: f64 = 0.85;

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

/// The resends that one daemon may make for one service: a token bucket.
///
/// Each request earns a part of a resend. What is saved is limited by the requests of
/// the last window and by an equal part of the slack. The resends of a daemon in any
/// window are therefore at most what its requests in this window have earned and what
/// its requests in the window before allowed it to save, plus its part of the slack.
///
/// Both terms are sums over requests, and each request counts once in each of them,
/// whichever daemon gets it. The sum over all daemons therefore stays within the policy
/// also if daemons are killed or started, or their callers move to others. A process
/// starts with nothing saved.
#[derive(Clone, Debug)]
pub struct ResendBudget {
    policy: ResendPolicy,
    /// The resends that are saved; at most the limit that [`Self::limit`] returns.
    saved: f64,
    /// This daemon's part of the slack, in resends.
    own_slack: f64,
    /// A larger part of the slack and the time from which it applies. It does not
    /// apply before a window has passed, since resends that other daemons have
    /// made from it count until then.
    pending_slack: Option<(f64, TimeMs)>,
    /// Requests by bucket, oldest first. None of them began longer than a window ago.
    buckets: VecDeque<Bucket>,
}

/// What a budget has counted, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetState {
    /// The requests of the last window.
    pub requests: u32,
    /// This daemon's part of the slack, in resends.
    pub own_slack: f64,
    /// The resends that are left.
    pub left: f64,
}

impl fmt::Display for BudgetState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "requests={} slack={:.1} left={:.1}",
            self.requests, self.own_slack, self.left
        )
    }
}

/// The count of one bucket of the window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// The number of the bucket since the clock's origin.
    number: u64,
    requests: u32,
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
    /// full window.
    pub fn set_entries(&mut self, entries: u32, now: TimeMs) {
        self.apply_pending_slack(now);
        let part = match entries {
            0 => 0.0,
            entries => f64::from(self.policy.slack) * SLACK_USED_SHARE / f64::from(entries),
        };
        if part <= self.own_slack {
            self.own_slack = part;
            self.pending_slack = None;
            return;
        }
        if self.pending_slack.is_none_or(|(slack, _)| slack != part) {
            self.pending_slack = Some((part, now + self.policy.window_ms));
        }
    }

    /// Forgets what was saved, for example because the process was suspended: the
    /// requests that it was saved for may be older than they seem.
    pub fn clear_saved(&mut self) {
        self.saved = 0.0;
        self.buckets.clear();
    }

    /// Switches to the larger part of the slack once it applies. What it adds can be
    /// spent at once.
    fn apply_pending_slack(&mut self, now: TimeMs) {
        if let Some((slack, at)) = self.pending_slack
            && now >= at
        {
            self.saved += slack - self.own_slack;
            self.own_slack = slack;
            self.pending_slack = None;
        }
    }

    /// Records a request that is sent for the first time or is refused.
    pub fn record_request(&mut self, now: TimeMs) {
        self.update(now);
        let number = self.bucket_number(now);
        match self.buckets.back_mut() {
            Some(newest) if newest.number >= number => newest.requests += 1,
            _ => self.buckets.push_back(Bucket {
                number,
                requests: 1,
            }),
        }
        let earned = self.policy.ratio * EARNED_SHARE;
        self.saved = (self.saved + earned).min(self.limit());
    }

    /// Takes one resend from the budget; returns false if none is left.
    pub fn take(&mut self, now: TimeMs) -> bool {
        if !self.has_resend(now) {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Returns whether a resend is left.
    pub fn has_resend(&mut self, now: TimeMs) -> bool {
        self.state(now).left >= 1.0
    }

    /// Returns whether enough resends are left to send a request to a target
    /// that is likely to fail it.
    pub fn has_reserve(&mut self, now: TimeMs) -> bool {
        self.state(now).left >= RESEND_RESERVE
    }

    /// Returns what the budget has counted.
    pub fn state(&mut self, now: TimeMs) -> BudgetState {
        self.update(now);
        BudgetState {
            requests: self.requests(),
            own_slack: self.own_slack,
            left: self.saved,
        }
    }

    /// Drops the buckets that began longer than a window ago, and what can no longer
    /// be saved without them.
    fn update(&mut self, now: TimeMs) {
        self.apply_pending_slack(now);
        let number = self.bucket_number(now);
        while let Some(oldest) = self.buckets.front() {
            if oldest.number + WINDOW_BUCKETS > number {
                break;
            }
            self.buckets.pop_front();
        }
        self.saved = self.saved.min(self.limit());
    }

    fn bucket_number(&self, now: TimeMs) -> u64 {
        now.0 / (self.policy.window_ms.0 / WINDOW_BUCKETS).max(1)
    }

    fn requests(&self) -> u32 {
        self.buckets.iter().map(|bucket| bucket.requests).sum()
    }

    /// Returns how many resends may be saved.
    fn limit(&self) -> f64 {
        f64::from(self.requests()) * self.policy.ratio * SAVED_SHARE + self.own_slack
    }
}

/// The budgets of all services in one daemon.
#[derive(Clone, Debug)]
pub struct ResendBudgets {
    policy: ResendPolicy,
    /// The services that have had requests or entry daemons since the process started.
    rows: HashMap<ServiceName, ResendBudget>,
}

/// A change of this daemon's part of the slack of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// The service.
    pub service: ServiceName,
    /// The number of entry daemons that divide the slack; 0 if this daemon is not one
    /// of them.
    pub entries: u32,
    /// This daemon's part of the slack, in resends.
    pub own_slack: f64,
}

impl ResendBudgets {
    /// Creates the budgets of a process that has had no requests.
    pub fn new(policy: ResendPolicy) -> Self {
        Self {
            policy,
            rows: HashMap::new(),
        }
    }

    /// Returns the budget of a service.
    pub fn of_service(&mut self, service: &ServiceName) -> &mut ResendBudget {
        let policy = self.policy;
        self.rows
            .entry(service.clone())
            .or_insert_with(|| ResendBudget::new(policy))
    }

    /// Sets the number of entry daemons of each service (see
    /// [`ResendBudget::set_entries`]) and returns the parts of the slack that changed.
    ///
    /// A service that is not in `entries` has no entry daemons, since no route leads to
    /// it or no daemon is registered. Its slack waits for a window when it comes back.
    pub fn set_entries(
        &mut self,
        entries: &HashMap<ServiceName, u32>,
        now: TimeMs,
    ) -> Vec<ShareChange> {
        for service in entries.keys() {
            self.of_service(service);
        }
        let mut changes = Vec::new();
        for (service, budget) in &mut self.rows {
            let entries = entries.get(service).copied().unwrap_or(0);
            let before = budget.state(now).own_slack;
            budget.set_entries(entries, now);
            let own_slack = budget.state(now).own_slack;
            if before.to_bits() != own_slack.to_bits() {
                changes.push(ShareChange {
                    service: service.clone(),
                    entries,
                    own_slack,
                });
            }
        }
        changes
    }

    /// Forgets what was saved for all services (see [`ResendBudget::clear_saved`]).
    pub fn clear_saved(&mut self) {
        for budget in self.rows.values_mut() {
            budget.clear_saved();
        }
    }
}

//! The budget of sends beyond the first of each request.

use std::collections::VecDeque;

use crate::units::DurationMs;
use crate::units::TimeMs;

/// The parts of the window in which requests are counted.
const PARTS: u64 = 10;

/// The share of the fleet's budget by requests that this daemon uses, so that
/// a window that begins between two parts stays below the bound.
const RATIO_MARGIN: f64 = 0.95;

/// The share of the fleet's fixed budget that all entry daemons together use;
/// the rest is left for daemons that carry callers with old addresses.
const SLACK_MARGIN: f64 = 0.85;

/// The share that daemons have at once where they become entry daemons; the
/// daemons before them may have spent the rest within the window.
const NEWCOMER_MARGIN: f64 = 0.1;

/// The resends that are kept for requests that fail without being risked.
const RESERVE_RESENDS: f64 = 8.0;

/// The bound that holds for all daemons together, over any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResendPolicy {
    /// Sends for each request of the service.
    pub ratio: f64,
    /// Sends beyond that.
    pub slack: u32,
    /// The length of the window.
    pub window_ms: DurationMs,
}

/// The sends beyond the first that one service may make in one daemon.
///
/// Each daemon spends the ratio on the requests that it sees itself, and a
/// part of the slack by the number of entry daemons, so that the sum over all
/// daemons holds however the traffic divides among them.
#[derive(Clone, Debug)]
pub struct ResendBudget {
    policy: ResendPolicy,
    /// The part of the slack that is this daemon's.
    own_slack: u32,
    /// A larger part, and when it is this daemon's: what others spend of it now
    /// counts for a window.
    rise: Option<(u32, TimeMs)>,
    /// Requests and resends by part of the window, oldest first.
    parts: VecDeque<Part>,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    /// The number of the part since the clock's origin.
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
            rise: None,
            parts: VecDeque::new(),
        }
    }

    /// Sets the number of entry daemons that share the slack, this one
    /// included; 0 if this daemon is none of them.
    ///
    /// A smaller part holds at once, a larger one after a window.
    pub fn set_entries(&mut self, entries: u32, now: TimeMs) {
        self.apply_rise(now);
        let part = |margin: f64| match entries {
            0 => 0,
            entries => (f64::from(self.policy.slack) * margin / f64::from(entries)) as u32,
        };
        let full = part(SLACK_MARGIN);
        if full <= self.own_slack {
            self.own_slack = full;
            self.rise = None;
            return;
        }
        self.own_slack = self.own_slack.max(part(NEWCOMER_MARGIN));
        if self.rise.is_none_or(|(slack, _)| slack != full) {
            self.rise = Some((full, now + self.policy.window_ms));
        }
    }

    fn apply_rise(&mut self, now: TimeMs) {
        if let Some((slack, at)) = self.rise
            && now >= at
        {
            self.own_slack = slack;
            self.rise = None;
        }
    }

    /// Records a request that is sent for the first time or refused.
    pub fn record_request(&mut self, now: TimeMs) {
        self.part_at(now).requests += 1;
    }

    /// Takes a resend and returns whether there was one.
    pub fn take(&mut self, now: TimeMs) -> bool {
        if !self.has_resend(now) {
            return false;
        }
        self.part_at(now).resends += 1;
        true
    }

    /// Returns whether a resend is left.
    pub fn has_resend(&mut self, now: TimeMs) -> bool {
        self.has_left(1.0, now)
    }

    /// Returns whether so much of the budget is left that a part of it can be
    /// risked.
    pub fn has_reserve(&mut self, now: TimeMs) -> bool {
        self.has_left(RESERVE_RESENDS, now)
    }

    fn has_left(&mut self, wished: f64, now: TimeMs) -> bool {
        self.apply_rise(now);
        self.part_at(now);
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        let resends: u32 = self.parts.iter().map(|part| part.resends).sum();
        let allowed =
            f64::from(requests) * self.policy.ratio * RATIO_MARGIN + f64::from(self.own_slack);
        f64::from(resends) + wished <= allowed
    }

    /// Returns the current part after dropping those that ended more than a
    /// window and a part ago.
    fn part_at(&mut self, now: TimeMs) -> &mut Part {
        let length_ms = (self.policy.window_ms.0 / PARTS).max(1);
        let number = now.0 / length_ms;
        while let Some(oldest) = self.parts.front() {
            if oldest.number + PARTS >= number {
                break;
            }
            self.parts.pop_front();
        }
        if self
            .parts
            .back()
            .is_none_or(|newest| newest.number < number)
        {
            self.parts.push_back(Part {
                number,
                requests: 0,
                resends: 0,
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}

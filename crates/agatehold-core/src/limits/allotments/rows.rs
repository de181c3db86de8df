//! The bucket of one tenant in one daemon.

use std::collections::VecDeque;

use crate::tenants::Allotment;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::peers::Peer;
use super::retry_schedule::RetrySchedule;

/// How long after the ask a granted token may be used. Within it a round trip, the longest
/// wait of a request (40 ms) and the use of what was asked ahead must fit. A longer life
/// would let daemons hold more beyond the allotment: 0.25 s of the rate.
pub const GRANT_LIFETIME_MS: DurationMs = DurationMs(250);

/// The half-life of the measured demand.
const DEMAND_HALF_LIFE_MS: DurationMs = DurationMs(700);

/// The half-life of the measured rate of asks, which may be far below one a second.
const ASKED_HALF_LIFE_MS: DurationMs = DurationMs(3_000);

/// How many times what its part gains a holder is asked for while the tenant is over its
/// limit. Below it, several daemons may each ask several holders for the same request.
const CONTENDED_FACTOR: f64 = 3.0;

/// Tolerance for sums of parts of tokens that make up a whole one.
pub(super) const EPSILON: f64 = 1e-6;

/// How a token was made up, so that it can be given back.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TakenToken {
    /// What came out of the daemon's own part.
    own: f64,
    /// What came out of grants.
    granted: f64,
    /// When the granted part lapses.
    lapses_at: TimeMs,
}

/// An exponentially weighted rate of events.
#[derive(Clone, Copy, Debug)]
pub(super) struct EventRate {
    per_s: f64,
    at: TimeMs,
    half_life_ms: DurationMs,
}

impl EventRate {
    /// Creates the rate of events that a daemon's own requests cause.
    pub(super) const fn of_requests() -> Self {
        Self {
            per_s: 0.0,
            at: TimeMs(0),
            half_life_ms: DEMAND_HALF_LIFE_MS,
        }
    }

    /// Creates the rate of other daemons' asks.
    pub(super) const fn of_asks() -> Self {
        Self {
            half_life_ms: ASKED_HALF_LIFE_MS,
            ..Self::of_requests()
        }
    }

    pub(super) fn record(&mut self, now: TimeMs) {
        let gain = std::f64::consts::LN_2 * 1_000.0 / self.half_life_ms.0 as f64;
        self.per_s = self.per_s(now) + gain;
        self.at = now;
    }

    pub(super) fn per_s(&self, now: TimeMs) -> f64 {
        self.per_s * now.since(self.at).half_life_weight(self.half_life_ms)
    }
}

/// The bucket of a tenant.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) tenant_hash: u64,
    pub(super) allotment: Allotment,
    /// The part of the allotment, and the generation of the parts for which it was worked
    /// out.
    pub(super) part: f64,
    pub(super) generation: u64,
    /// The tokens of the own part at `at`; at most the part of the burst.
    pub(super) tokens: f64,
    pub(super) at: TimeMs,
    /// Granted tokens and when they lapse; the soonest first.
    pub(super) granted: VecDeque<(f64, TimeMs)>,
    /// The requests that arrive.
    pub(super) demand: EventRate,
    /// The asks of other daemons.
    pub(super) asked: EventRate,
    /// The requests that get a token.
    pub(super) admitted: EventRate,
    /// The requests that wait for a grant.
    pub(super) waiting: u32,
    /// The other holders; empty until one is needed.
    pub(super) peers: Vec<Peer>,
    /// The generation of the parts for which `peers` was worked out.
    pub(super) peers_generation: Option<u64>,
    /// The position in `peers` after the one asked last.
    pub(super) next_peer: usize,
    /// The answers in a row that granted nothing.
    pub(super) empty_answers: u32,
    /// When others may be asked again after many empty answers.
    pub(super) ask_after: TimeMs,
    pub(super) schedule: RetrySchedule,
}

impl Row {
    /// Returns the most tokens that the own part may hold.
    pub(super) fn own_burst(&self) -> f64 {
        // A burst of 0 would refuse every request, regardless of the rate.
        self.part * self.allotment.burst.max(1.0)
    }

    pub(super) fn own_rate_per_s(&self) -> f64 {
        self.part * self.allotment.rate_per_s
    }

    /// Returns whether far more is asked for than the own part gains.
    pub(super) fn is_contended(&self, now: TimeMs) -> bool {
        let wanted_per_s = self.asked.per_s(now) + self.demand.per_s(now);
        wanted_per_s > self.own_rate_per_s() * CONTENDED_FACTOR
    }

    /// Adds what the own part has gained, and drops lapsed grants.
    pub(super) fn refill(&mut self, now: TimeMs) {
        let gained = self.own_rate_per_s() * now.since(self.at).0 as f64 / 1_000.0;
        self.tokens = (self.tokens + gained).min(self.own_burst());
        self.at = self.at.max(now);
        while let Some((_, lapses_at)) = self.granted.front() {
            if *lapses_at > now {
                break;
            }
            self.granted.pop_front();
        }
    }

    /// Applies another part or another allotment.
    pub(super) fn set_part(&mut self, part: f64, allotment: Allotment, now: TimeMs) {
        // The time of the change may be earlier than now: the smaller of both counts.
        let larger = part > self.part;
        self.part = self.part.min(part);
        self.refill(now);
        if larger {
            self.part = part;
        }
        self.allotment = allotment;
        self.tokens = self.tokens.min(self.own_burst());
    }

    /// Returns the tokens at hand.
    pub(super) fn available(&self) -> f64 {
        let granted: f64 = self.granted.iter().map(|(tokens, _)| tokens).sum();
        self.tokens + granted
    }

    /// Takes one token, granted ones first, since they lapse.
    pub(super) fn take(&mut self) -> Option<TakenToken> {
        if self.available() < 1.0 - EPSILON {
            return None;
        }
        let mut taken = TakenToken::default();
        while let Some((tokens, lapses_at)) = self.granted.front_mut() {
            let part = tokens.min(1.0 - taken.granted);
            *tokens -= part;
            taken.granted += part;
            // The earliest time counts for all of it.
            if taken.lapses_at == TimeMs(0) {
                taken.lapses_at = *lapses_at;
            }
            if *tokens > 0.0 {
                break;
            }
            self.granted.pop_front();
        }
        taken.own = (1.0 - taken.granted).min(self.tokens).max(0.0);
        self.tokens -= taken.own;
        Some(taken)
    }

    /// Puts a token back that was not used, as far as it has not lapsed.
    pub(super) fn give_back(&mut self, taken: TakenToken, now: TimeMs) {
        self.tokens = (self.tokens + taken.own).min(self.own_burst());
        if taken.granted > 0.0 && taken.lapses_at > now {
            self.granted.push_front((taken.granted, taken.lapses_at));
        }
    }

    /// Returns whether nothing would be lost if the row were made anew.
    pub(super) fn is_idle(&self, now: TimeMs) -> bool {
        self.waiting == 0
            && self.granted.is_empty()
            && self.tokens >= self.own_burst() - EPSILON
            && self.demand.per_s(now) < 0.01
            && !self.schedule.is_ahead(now)
    }
}

//! Asks between daemons, and what one daemon expects others to have.

use std::fmt;
use std::str::FromStr;

use crate::ids::HostId;
use crate::ids::TenantName;
use crate::units::DurationMs;
use crate::units::TimeMs;

/// The maximum number of tenants in one ask: with names of 63 characters, the message
/// stays below 2,048 bytes.
pub const ASK_ITEMS_MAX: usize = 16;

/// How long a daemon that had nothing to give is not asked again.
pub(super) const EMPTY_PAUSE_MS: DurationMs = DurationMs(250);

/// When an ask without an answer is repeated. Round trips take up to 10 ms.
pub(super) const REPEAT_AFTER_MS: DurationMs = DurationMs(12);

/// How long an answer is waited for before others are asked for the same: two round trips.
pub(super) const ANSWER_MS: DurationMs = DurationMs(24);

/// How long a daemon that has not answered is not asked again. One datagram in twenty may
/// be lost, so that it is shorter than [`EMPTY_PAUSE_MS`].
const UNANSWERED_PAUSE_MS: DurationMs = DurationMs(100);

/// The least amount that is worth a message.
pub(super) const TOKENS_MIN: f64 = 0.02;

/// What is asked for, as a multiple of what the other daemon is expected to have.
const ASK_FACTOR: f64 = 1.25;

/// The number of an ask; never used again by the same process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AskNumber(pub u64);

impl fmt::Display for AskNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for AskNumber {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A request for tokens to another daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// The daemon that is asked.
    pub to: HostId,
    /// The number, which the grant repeats.
    pub number: AskNumber,
    /// The tokens asked for; at most [`ASK_ITEMS_MAX`].
    pub items: Vec<(TenantName, f64)>,
}

/// The answer to an [`Ask`].
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The daemon that grants.
    pub from: HostId,
    /// The number of the ask.
    pub number: AskNumber,
    /// What is granted for each tenant.
    pub items: Vec<GrantItem>,
}

/// The tokens granted for one tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantItem {
    /// The tenant.
    pub tenant: TenantName,
    /// The tokens granted; 0 if the daemon had nothing to give.
    pub tokens: f64,
    /// The tokens that it could still give.
    pub left: f64,
}

/// What one daemon knows of another holder of a tenant.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) host: HostId,
    /// The order in which holders are asked; those of the own failure domain come first.
    pub(super) order: (bool, u64),
    /// What the holder could give at `known_at`; `None` if it has not told yet.
    left: Option<(f64, TimeMs)>,
    /// Not to be asked before this time.
    paused_until: TimeMs,
    /// When it was asked and what it is expected to grant, until it answers.
    asked: Option<(TimeMs, f64)>,
}

impl Peer {
    pub(super) const fn new(host: HostId, order: (bool, u64)) -> Self {
        Self {
            host,
            order,
            left: None,
            paused_until: TimeMs(0),
            asked: None,
        }
    }

    /// Returns the tokens that are on their way from this holder as far as expected.
    pub(super) fn pending(&self, now: TimeMs) -> f64 {
        match self.asked {
            Some((at, tokens)) if now.since(at) < ANSWER_MS => tokens,
            _ => 0.0,
        }
    }

    /// Returns whether an answer of this holder is waited for.
    pub(super) fn is_pending(&self, now: TimeMs) -> bool {
        self.asked.is_some_and(|(at, _)| now.since(at) < ANSWER_MS)
    }

    /// Pauses a holder that has not answered in time: it may be gone.
    pub(super) fn check_answer(&mut self, now: TimeMs) {
        if self.asked.is_some() && !self.is_pending(now) {
            self.asked = None;
            self.paused_until = now + UNANSWERED_PAUSE_MS;
        }
    }

    /// Returns whether this holder may be asked now.
    pub(super) fn may_ask(&self, now: TimeMs) -> bool {
        now >= self.paused_until && !self.is_pending(now)
    }

    /// Returns what this holder is expected to have, with `rate_per_s` and `burst` of its
    /// part.
    pub(super) fn expected(&self, rate_per_s: f64, burst: f64, now: TimeMs) -> f64 {
        match self.left {
            // It has nothing to say about a tenant that sends it nothing: its part is full.
            None => burst,
            Some((left, at)) => {
                let gained = rate_per_s * now.since(at).0 as f64 / 1_000.0;
                (left + gained).min(burst)
            }
        }
    }

    /// Records an ask and returns the tokens to ask for.
    pub(super) fn ask(&mut self, need: f64, expected: f64, now: TimeMs) -> f64 {
        self.asked = Some((now, expected.min(need)));
        (expected * ASK_FACTOR).min(need)
    }

    /// Records an answer.
    pub(super) fn record_answer(&mut self, granted: f64, left: f64, now: TimeMs) {
        self.asked = None;
        self.left = Some((left, now));
        if granted <= 0.0 && left < TOKENS_MIN {
            self.paused_until = now + EMPTY_PAUSE_MS;
        }
    }
}

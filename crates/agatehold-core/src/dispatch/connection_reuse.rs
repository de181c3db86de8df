//! Decides how long an idle connection to a target may be reused, and how many are kept.

use crate::units::DurationMs;
use crate::units::TimeMs;

/// The shortest limit for a request that is not idempotent. It is below the rest after
/// which targets are known to forget connections (300 ms).
const IDLE_MIN_MS: DurationMs = DurationMs(200);

/// The part of the rest after which a connection was found dead that is still trusted.
const TRUSTED_SHARE_PERCENT: u64 = 70;

/// How long a shorter limit applies after the last connection that was found dead.
/// Targets that forget connections do so for some seconds.
const CAUTIOUS_MS: DurationMs = DurationMs(20_000);

/// A reused connection that is reset this soon after the request was written had been
/// dead before. A target that crashes while it runs the request resets it later on
/// average.
const PROMPT_RESET_MS: DurationMs = DurationMs(100);

/// The share of a target's connection limit that the idle connections of all daemons may
/// take together; the rest is for requests in flight.
const IDLE_SHARE: f64 = 0.6;

/// The limit on the idle connections of one daemon to a target, also where the target
/// would take more.
const IDLE_CONNECTIONS_MAX: usize = 8;

/// The time after which the weight of a reuse has halved.
const HALF_LIFE_MS: DurationMs = DurationMs(4_000);

/// The number of connections found dead from which rests are distrusted. Targets that
/// fail by resetting connections are left after one failure each, so that one daemon
/// rarely sees three of them within the half-life.
const DEAD_MIN: f64 = 2.5;

/// The share of dead connections from which rests are distrusted. Targets that reset part
/// of their requests, on new connections too, stay below it as long as they are few.
const DEAD_SHARE: f64 = 0.15;

/// How long idle connections are reused for requests that must not run twice.
///
/// A target may drop a connection without notice. What is written on it next is lost, and
/// such a request can't be sent again. As long as few connections were found dead, any
/// that the target's announced idle time allows is reused, since opening one costs the
/// target work. If more were, as this daemon sees or another one tells, the limit is
/// shorter than the time that they had rested.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConnectionReuse {
    /// The reused connections that worked after a rest, halved each [`HALF_LIFE_MS`].
    alive: f64,
    /// Those that were dead, counted in the same way.
    dead: f64,
    /// The shortest rest of those that were dead; of use only while `dead` is above 0.
    dead_rest_ms: DurationMs,
    /// The time for which the counts were last decayed.
    updated_at: TimeMs,
    /// The distrusted rest, and until when it is distrusted.
    distrusted: Option<(DurationMs, TimeMs)>,
}

impl ConnectionReuse {
    /// Returns the longest rest of a connection that a request may use; `None` if there
    /// is no limit but the target's own. An idempotent request can be sent again.
    pub fn idle_max(&self, idempotent: bool, now: TimeMs) -> Option<DurationMs> {
        let (rested_ms, until) = self.distrusted?;
        if idempotent || now >= until {
            return None;
        }
        let trusted_ms = DurationMs(rested_ms.0 * TRUSTED_SHARE_PERCENT / 100);
        Some(trusted_ms.max(IDLE_MIN_MS))
    }

    /// Records that a reused connection worked after it had rested for `rested_ms`.
    pub fn record_alive(&mut self, rested_ms: DurationMs, now: TimeMs) {
        if rested_ms < IDLE_MIN_MS {
            return;
        }
        self.decay(now);
        self.alive += 1.0;
    }

    /// Records that a connection was found dead after it had rested for `rested_ms`.
    /// Returns the rest to distrust if it is shorter than known, for other daemons.
    pub fn record_dead(&mut self, rested_ms: DurationMs, now: TimeMs) -> Option<DurationMs> {
        self.decay(now);
        self.dead_rest_ms = match self.dead >= 0.5 {
            true => self.dead_rest_ms.min(rested_ms),
            false => rested_ms,
        };
        self.dead += 1.0;
        let is_frequent = self.dead > DEAD_SHARE * (self.dead + self.alive);
        if self.dead < DEAD_MIN || !is_frequent {
            return None;
        }
        let rested_ms = self.dead_rest_ms;
        self.distrust(rested_ms, now).then_some(rested_ms)
    }

    /// Distrusts connections that have rested for `rested_ms`, as this daemon has seen or
    /// another one tells. Returns whether the limit becomes shorter.
    pub fn distrust(&mut self, rested_ms: DurationMs, now: TimeMs) -> bool {
        let known = self.distrusted.filter(|(_, until)| now < *until);
        let shortest_ms = known.map_or(rested_ms, |(known_ms, _)| known_ms.min(rested_ms));
        self.distrusted = Some((shortest_ms, now + CAUTIOUS_MS));
        known.is_none_or(|(known_ms, _)| shortest_ms < known_ms)
    }

    fn decay(&mut self, now: TimeMs) {
        let weight = now.since(self.updated_at).half_life_weight(HALF_LIFE_MS);
        self.alive *= weight;
        self.dead *= weight;
        self.updated_at = now;
    }
}

/// Returns whether a connection that was lost before any part of the answer had been dead
/// before the request was written.
///
/// `rested_ms` is how long it had been idle, `run_ms` the time from the request to the
/// loss.
pub fn was_dead_before(rested_ms: DurationMs, run_ms: DurationMs) -> bool {
    rested_ms >= IDLE_MIN_MS && run_ms <= PROMPT_RESET_MS
}

/// Returns how many idle connections a daemon keeps to each target, so that those of
/// `daemons` daemons stay below a target's connection limit; at least 1.
pub fn idle_connections_max(connections_max: u32, daemons: usize) -> usize {
    let share = f64::from(connections_max) * IDLE_SHARE / daemons.max(1) as f64;
    (share as usize).clamp(1, IDLE_CONNECTIONS_MAX)
}

//! Evidence that a target fails, from the requests sent to it.

use crate::health::Cusum;
use crate::outcome::AttemptOutcome;
use crate::units::DurationMs;
use crate::units::TimeMs;

/// The share of requests that healthy targets fail.
const BASE_FAILURE_RATE: f64 = 0.02;

/// The least share of requests that a gray target fails.
const BAD_FAILURE_RATE: f64 = 0.5;

/// The statistic at which a target is suspected: one failure, if no run of
/// successes came before it. At a twentieth of gray targets, four in five
/// single failures come from one.
const SUSPECT_NATS: f64 = 3.0;

/// The most that the statistic grows to, so that a target that recovers is
/// cleared by a few answers.
const NATS_MAX: f64 = 8.0;

/// How long a target is avoided at first.
const FIRST_HOLD_MS: DurationMs = DurationMs(800);

/// The longest time that a target is avoided before it is tried again.
const LONGEST_HOLD_MS: DurationMs = DurationMs(4_000);

/// The shortest time that one attempt of an idempotent request gets.
const ATTEMPT_TIMEOUT_MIN_MS: DurationMs = DurationMs(150);

/// The evidence against one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Suspicion {
    statistic: Cusum,
    /// The length of the last hold.
    hold_ms: DurationMs,
    /// Until when the target is avoided.
    avoided_until: TimeMs,
    /// Whether a request tries the target after a hold; the verdict on it is
    /// awaited before further requests are sent.
    on_trial: bool,
}

/// Whether requests go to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Standing {
    /// The target is not suspected.
    Trusted,
    /// A hold has ended, and one request may try the target.
    Trial,
    /// The target is the last choice.
    Avoided,
}

impl Suspicion {
    /// Adds the end of an attempt; returns whether the target has just become
    /// suspected.
    pub fn record(&mut self, outcome: AttemptOutcome, now: TimeMs) -> bool {
        let failed = match outcome {
            AttemptOutcome::Answered => false,
            AttemptOutcome::Failed
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectionLost
            | AttemptOutcome::Cut
            | AttemptOutcome::Mismatched => true,
            // These say nothing of whether the target serves.
            AttemptOutcome::Shed
            | AttemptOutcome::NotWritten
            | AttemptOutcome::Overdue
            | AttemptOutcome::Silent
            | AttemptOutcome::Cancelled => {
                self.on_trial = false;
                return false;
            }
        };
        self.on_trial = false;
        self.statistic
            .add(failed, BAD_FAILURE_RATE, BASE_FAILURE_RATE);
        let nats = self.statistic.value().get();
        if nats > NATS_MAX {
            self.statistic
                .reset_to(crate::health::LogLikelihood::from_nats(NATS_MAX));
        }
        if failed && nats >= SUSPECT_NATS {
            return self.hold(now);
        }
        if !failed && nats < SUSPECT_NATS {
            self.avoided_until = TimeMs(0);
            self.hold_ms = DurationMs(self.hold_ms.0 / 2);
        }
        false
    }

    /// Avoids the target, for twice as long as the last time; returns whether
    /// it was not avoided before.
    pub fn hold(&mut self, now: TimeMs) -> bool {
        if now < self.avoided_until {
            return false;
        }
        let is_new = self.avoided_until == TimeMs(0);
        self.hold_ms = self
            .hold_ms
            .times(2)
            .clamp(FIRST_HOLD_MS, LONGEST_HOLD_MS);
        self.avoided_until = now + self.hold_ms;
        is_new
    }

    /// Notes that a request was sent to the target.
    pub(super) fn note_choice(&mut self, now: TimeMs) {
        if self.standing(now) == Standing::Trial {
            self.on_trial = true;
        }
    }

    /// Returns whether requests go to the target.
    pub(super) fn standing(&self, now: TimeMs) -> Standing {
        if self.avoided_until == TimeMs(0) {
            return Standing::Trusted;
        }
        if now < self.avoided_until || self.on_trial {
            return Standing::Avoided;
        }
        Standing::Trial
    }

    /// Returns whether the target is the last choice at `now`.
    pub fn is_avoided(&self, now: TimeMs) -> bool {
        self.standing(now) == Standing::Avoided
    }

    /// Returns the statistic in nats.
    pub fn nats(&self) -> f64 {
        self.statistic.value().get()
    }
}

/// Returns how long the first attempt of an idempotent request may take before
/// the request is sent to another target.
///
/// Three usual run times, but at most what leaves a second attempt the usual
/// time before the objective passes, and at least the objective's half: a slow
/// answer is better than none.
pub fn attempt_timeout(
    usual_ms: DurationMs,
    objective_ms: DurationMs,
    remaining_ms: DurationMs,
) -> DurationMs {
    let half_objective = DurationMs(objective_ms.0 / 2);
    let before_second = objective_ms.less(usual_ms).max(half_objective);
    let wished = usual_ms.times(3).max(before_second);
    // A second attempt needs its time too.
    let latest = remaining_ms.less(usual_ms.times(2).max(half_objective));
    wished.min(latest).max(ATTEMPT_TIMEOUT_MIN_MS)
}

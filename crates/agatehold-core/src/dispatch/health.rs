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

/// How long a target is avoided at first. Gray failures last for seconds, and
/// each trial of a target that still fails costs a request.
const FIRST_HOLD_MS: DurationMs = DurationMs(3_000);

/// The longest time that a target is avoided before it is tried again.
const LONGEST_HOLD_MS: DurationMs = DurationMs(6_000);

/// How long a target is avoided at least where many requests of its service
/// are not served: sound targets must not go without work for two seconds.
const PRESSED_HOLD_MS: DurationMs = DurationMs(1_500);

/// How long a target that can't be reached is avoided at first.
const FIRST_UNREACHABLE_MS: DurationMs = DurationMs(500);

/// The longest time that a target that can't be reached is avoided; a trial
/// costs little, since the request goes on to another target.
const LONGEST_UNREACHABLE_MS: DurationMs = DurationMs(2_000);

/// The share of a hold by which it differs between daemons at most.
const HOLD_SPREAD: f64 = 0.4;

/// The shortest time that one attempt of an idempotent request gets.
const ATTEMPT_TIMEOUT_MIN_MS: DurationMs = DurationMs(150);

/// The evidence against one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Suspicion {
    statistic: Cusum,
    /// The length of the last hold.
    hold_ms: DurationMs,
    /// When it began.
    held_at: TimeMs,
    /// Until when the target is avoided.
    avoided_until: TimeMs,
    /// The length of the last hold of the path to the target; 0 once it was
    /// reached.
    unreachable_hold_ms: DurationMs,
    /// Until when the path to the target is avoided.
    unreachable_until: TimeMs,
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
    ///
    /// `spread`, from 0 to 1, makes holds differ between daemons, so that they
    /// don't all try a target at once.
    pub fn record(&mut self, outcome: AttemptOutcome, spread: f64, now: TimeMs) -> bool {
        let failed = match outcome {
            AttemptOutcome::Answered => false,
            AttemptOutcome::ConnectFailed => {
                self.on_trial = false;
                return self.note_unreachable(now);
            }
            AttemptOutcome::Failed
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
        self.unreachable_hold_ms = DurationMs(0);
        self.statistic
            .add(failed, BAD_FAILURE_RATE, BASE_FAILURE_RATE);
        let nats = self.statistic.value().get();
        if nats > NATS_MAX {
            self.statistic
                .reset_to(crate::health::LogLikelihood::from_nats(NATS_MAX));
        }
        if failed && nats >= SUSPECT_NATS {
            return self.hold(spread, now);
        }
        if !failed && nats < SUSPECT_NATS {
            self.avoided_until = TimeMs(0);
            self.hold_ms = DurationMs(self.hold_ms.0 / 2);
        }
        false
    }

    /// Avoids the target on a path that does not lead to it; returns whether it
    /// was reachable before.
    fn note_unreachable(&mut self, now: TimeMs) -> bool {
        let is_new = self.unreachable_hold_ms == DurationMs(0);
        self.unreachable_hold_ms = self
            .unreachable_hold_ms
            .times(2)
            .clamp(FIRST_UNREACHABLE_MS, LONGEST_UNREACHABLE_MS);
        self.unreachable_until = now + self.unreachable_hold_ms;
        is_new
    }

    /// Returns whether the target could not be reached a moment ago.
    pub fn is_unreachable(&self, now: TimeMs) -> bool {
        now < self.unreachable_until
    }

    /// Avoids the target, for twice as long as the last time; returns whether
    /// it was not avoided before.
    fn hold(&mut self, spread: f64, now: TimeMs) -> bool {
        let is_new = self.avoided_until == TimeMs(0);
        if now >= self.avoided_until {
            self.hold_ms = self
                .hold_ms
                .times(2)
                .clamp(FIRST_HOLD_MS, LONGEST_HOLD_MS);
        }
        let spread_ms = self.hold_ms.0 as f64 * HOLD_SPREAD * spread;
        self.held_at = now;
        self.avoided_until = now + self.hold_ms + DurationMs(spread_ms as u64);
        is_new
    }

    /// Notes that a request was sent to the target.
    pub(super) fn note_choice(&mut self) {
        if self.avoided_until != TimeMs(0) {
            self.on_trial = true;
        }
    }

    /// Returns whether requests go to the target; `is_pressed` if many requests
    /// of its service are not served.
    pub(super) fn standing(&self, is_pressed: bool, now: TimeMs) -> Standing {
        if self.avoided_until == TimeMs(0) {
            return Standing::Trusted;
        }
        if self.on_trial {
            return Standing::Avoided;
        }
        let is_due = now >= self.avoided_until
            || (is_pressed && now.since(self.held_at) >= PRESSED_HOLD_MS);
        if is_due {
            return Standing::Trial;
        }
        Standing::Avoided
    }

    /// Returns whether the target is not trusted.
    pub fn is_suspected(&self) -> bool {
        self.avoided_until != TimeMs(0)
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

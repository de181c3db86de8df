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

/// The statistic below which a suspected target is trusted again: two
/// successes after one failure. One in four requests succeeds at a gray target.
const TRUST_NATS: f64 = 1.9;

/// The most that the statistic grows to, so that a target that recovers is
/// trusted again after a few successes.
const NATS_MAX: f64 = 4.6;

/// How long a target is avoided after one failure, and how long after several.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Holds {
    first_ms: DurationMs,
    repeated_ms: DurationMs,
}

/// The longest hold. A target that failed by itself counts for a floor after two
/// seconds, and must have had a request two seconds later; the rest of these is
/// for the spread and [`LATE_TRIAL_MS`].
const HOLD_MAX_MS: DurationMs = DurationMs(3_300);

/// Holds while the service can do without the targets on hold: each trial of a
/// target that still fails costs a request.
pub(super) const LONG_HOLDS: Holds = Holds {
    first_ms: HOLD_MAX_MS,
    repeated_ms: HOLD_MAX_MS,
};

/// Holds while many targets are on hold: a single failure may have been one of
/// those that healthy targets have too.
pub(super) const SHORT_HOLDS: Holds = Holds {
    first_ms: DurationMs(1_000),
    repeated_ms: HOLD_MAX_MS,
};

/// The run time up to which a failure counts as one at once.
const FAST_FAILURE_MS: DurationMs = DurationMs(40);

/// Failures in a row from which a hold counts as repeated.
const REPEATED_FAILURES: u32 = 2;

/// How long a target that can't be reached is avoided at first.
const FIRST_UNREACHABLE_MS: DurationMs = DurationMs(500);

/// The longest time that a target that can't be reached is avoided; a trial
/// costs little, since the request goes on to another target.
const LONGEST_UNREACHABLE_MS: DurationMs = DurationMs(2_000);

/// The share of a hold by which it differs between daemons at most.
const HOLD_SPREAD: f64 = 0.1;

/// The time for which a trial waits for a request that loses little by it; any
/// other makes it after that.
const LATE_TRIAL_MS: DurationMs = DurationMs(200);

/// The shortest time that one attempt of an idempotent request gets.
const ATTEMPT_TIMEOUT_MIN_MS: DurationMs = DurationMs(150);

/// The evidence against one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Suspicion {
    statistic: Cusum,
    /// When the target was last put on hold; `None` while it is trusted.
    held_at: Option<TimeMs>,
    /// By how much holds differ between daemons, from 0 to 1.
    spread: f64,
    /// Failures since the last success.
    failures: u32,
    /// How long the last failed request ran.
    failed_after_ms: DurationMs,
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
    /// A hold has ended, and one request may try the target, if it loses little.
    Trial,
    /// A hold ended a while ago, and any request may try the target.
    LateTrial,
    /// The target is the last choice.
    Avoided,
}

impl Suspicion {
    /// Adds the end of an attempt; returns whether the target has just become
    /// suspected.
    ///
    /// `spread`, from 0 to 1, makes holds differ between daemons, so that they
    /// don't all try a target at once.
    ///
    /// `run_ms` is how long the request ran.
    pub fn record(
        &mut self,
        outcome: AttemptOutcome,
        run_ms: DurationMs,
        spread: f64,
        now: TimeMs,
    ) -> bool {
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
        self.failures = if failed { self.failures + 1 } else { 0 };
        if failed {
            self.failed_after_ms = run_ms;
        }
        if failed && nats >= SUSPECT_NATS {
            return self.hold(spread, now);
        }
        if !failed && nats < TRUST_NATS {
            self.held_at = None;
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

    /// Puts the target on hold; returns whether it was trusted before.
    fn hold(&mut self, spread: f64, now: TimeMs) -> bool {
        self.spread = spread;
        self.held_at.replace(now).is_none()
    }

    /// Notes that a request was sent to the target.
    pub(super) fn note_choice(&mut self) {
        if self.held_at.is_some() {
            self.on_trial = true;
        }
    }

    /// Returns whether requests go to the target, at a daemon that waits for
    /// `delay_ms` after a hold.
    pub(super) fn standing(&self, holds: &Holds, delay_ms: DurationMs, now: TimeMs) -> Standing {
        let Some(held_at) = self.held_at else {
            return Standing::Trusted;
        };
        let held_ms = now.since(held_at);
        let hold_ms = self.hold_length(holds) + delay_ms;
        if self.on_trial || held_ms < hold_ms {
            return Standing::Avoided;
        }
        if held_ms < hold_ms + LATE_TRIAL_MS {
            return Standing::Trial;
        }
        Standing::LateTrial
    }

    /// Returns how long the target is on hold.
    fn hold_length(&self, holds: &Holds) -> DurationMs {
        let hold_ms = if self.failures >= REPEATED_FAILURES {
            holds.repeated_ms
        } else {
            holds.first_ms
        };
        hold_ms + DurationMs((hold_ms.0 as f64 * HOLD_SPREAD * self.spread) as u64)
    }

    /// Returns whether the target, where it fails, does so at once, so that a
    /// request that may run again loses nothing by it.
    pub(super) fn fails_fast(&self) -> bool {
        self.failed_after_ms <= FAST_FAILURE_MS
    }

    /// Returns whether the target is not trusted.
    pub fn is_suspected(&self) -> bool {
        self.held_at.is_some()
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

//! Detects failing targets from the outcome of the requests sent to them.

use crate::health::Cusum;
use crate::outcome::AttemptOutcome;
use crate::units::DurationMs;
use crate::units::TimeMs;

/// The share of requests that fail at a healthy target.
const HEALTHY_FAILURE_RATE: f64 = 0.02;

/// The lowest share of requests that fail at a gray target, that is, one that
/// fails only part of its requests.
const GRAY_FAILURE_RATE: f64 = 0.5;

/// The statistic at which a target becomes suspected. A single failure reaches
/// it: if one target in twenty is gray, four of five single failures come from
/// a gray target.
const SUSPECT_THRESHOLD_NATS: f64 = 3.0;

/// The statistic below which a suspected target is trusted again. After one
/// failure it takes two successes, since one in four requests succeeds at a
/// gray target.
const TRUST_THRESHOLD_NATS: f64 = 1.9;

/// The upper limit of the statistic, so that a target that recovers is trusted
/// again after a few successes.
const STATISTIC_MAX_NATS: f64 = 4.6;

/// How long a target is on hold, that is, gets no requests, after one failure
/// and after several failures in a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HoldDurations {
    first_ms: DurationMs,
    repeated_ms: DurationMs,
}

/// The longest hold. Two seconds after a target has failed on its own, a floor
/// counts it again, and it must get a request within another two seconds. The
/// hold is shorter than these four seconds to leave time for
/// [`HOLD_SPREAD_SHARE`] and [`LATE_TRIAL_DELAY_MS`].
const HOLD_MAX_MS: DurationMs = DurationMs(3_300);

/// The holds while the other targets can carry the load of the service. They are
/// long because each trial of a target that still fails costs a request.
pub(super) const LONG_HOLDS: HoldDurations = HoldDurations {
    first_ms: HOLD_MAX_MS,
    repeated_ms: HOLD_MAX_MS,
};

/// The holds while many targets are on hold. The hold after a single failure is
/// short, since healthy targets also fail a request now and then.
pub(super) const SHORT_HOLDS: HoldDurations = HoldDurations {
    first_ms: DurationMs(1_000),
    repeated_ms: HOLD_MAX_MS,
};

/// The run time up to which a failed request counts as a fast failure.
const FAST_FAILURE_MAX_MS: DurationMs = DurationMs(40);

/// The number of failures in a row from which `HoldDurations::repeated_ms` applies.
const REPEATED_FAILURES_MIN: u32 = 2;

/// How long a target is avoided after its first failed connection attempt.
const UNREACHABLE_MIN_MS: DurationMs = DurationMs(500);

/// The longest time that an unreachable target is avoided. A trial costs
/// little, since the request is then sent to another target.
const UNREACHABLE_MAX_MS: DurationMs = DurationMs(2_000);

/// The largest difference of a hold between daemons, as a share of its length.
const HOLD_SPREAD_SHARE: f64 = 0.1;

/// How long after a hold only requests that may try a target (see
/// `ServiceStats::may_try`) are sent to it; after that, any request may be.
const LATE_TRIAL_DELAY_MS: DurationMs = DurationMs(200);

/// The lower limit of the timeout of one attempt of an idempotent request.
const ATTEMPT_TIMEOUT_MIN_MS: DurationMs = DurationMs(150);

/// The failure detector of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureDetector {
    statistic: Cusum,
    /// When the target was last put on hold; `None` if it is trusted.
    held_at: Option<TimeMs>,
    /// The part of [`HOLD_SPREAD_SHARE`] by which this daemon lengthens a hold,
    /// from 0 to 1.
    spread: f64,
    /// Failures since the last success.
    failures: u32,
    /// How long the last failed request ran.
    last_failure_run_ms: DurationMs,
    /// How long the target was last avoided as unreachable; 0 once it was
    /// reached.
    unreachable_hold_ms: DurationMs,
    /// Until when the target is avoided as unreachable.
    unreachable_until: TimeMs,
    /// Whether a request was sent to the suspected target and has not ended. No
    /// further requests are sent until it has.
    on_trial: bool,
}

/// Whether requests may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Eligibility {
    /// The target is not suspected.
    Trusted,
    /// A hold has ended, and one request for which `PickRequest::may_try` is
    /// set may be sent to the target.
    Trial,
    /// A hold ended at least [`LATE_TRIAL_DELAY_MS`] ago, and one request of any
    /// kind may be sent to the target.
    LateTrial,
    /// The target is on hold or a trial is in progress.
    Avoided,
}

impl FailureDetector {
    /// Records the outcome of an attempt; returns whether the target has just
    /// become suspected or unreachable.
    ///
    /// `spread`, from 0 to 1, makes holds differ between daemons, so that they
    /// don't all try a target at the same time.
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
                return self.record_unreachable(now);
            }
            AttemptOutcome::Failed
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectionLost
            | AttemptOutcome::Cut
            | AttemptOutcome::Mismatched => true,
            // These outcomes don't tell whether the target works.
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
            .add(failed, GRAY_FAILURE_RATE, HEALTHY_FAILURE_RATE);
        let nats = self.statistic.value().get();
        if nats > STATISTIC_MAX_NATS {
            self.statistic
                .reset_to(crate::health::LogLikelihood::from_nats(STATISTIC_MAX_NATS));
        }
        self.failures = if failed { self.failures + 1 } else { 0 };
        if failed {
            self.last_failure_run_ms = run_ms;
        }
        if failed && nats >= SUSPECT_THRESHOLD_NATS {
            return self.start_hold(spread, now);
        }
        if !failed && nats < TRUST_THRESHOLD_NATS {
            self.held_at = None;
        }
        false
    }

    /// Avoids the target after a failed connection attempt; returns whether it
    /// was reachable before.
    fn record_unreachable(&mut self, now: TimeMs) -> bool {
        let is_new = self.unreachable_hold_ms == DurationMs(0);
        self.unreachable_hold_ms = self
            .unreachable_hold_ms
            .times(2)
            .clamp(UNREACHABLE_MIN_MS, UNREACHABLE_MAX_MS);
        self.unreachable_until = now + self.unreachable_hold_ms;
        is_new
    }

    /// Returns whether the target is avoided because a recent connection
    /// attempt failed.
    pub fn is_unreachable(&self, now: TimeMs) -> bool {
        now < self.unreachable_until
    }

    /// Puts the target on hold; returns whether it was trusted before.
    fn start_hold(&mut self, spread: f64, now: TimeMs) -> bool {
        self.spread = spread;
        self.held_at.replace(now).is_none()
    }

    /// Records that a request was sent to the target; if the target is
    /// suspected, the request is a trial.
    pub(super) fn record_send(&mut self) {
        if self.held_at.is_some() {
            self.on_trial = true;
        }
    }

    /// Records that the request of a trial was not sent.
    pub(super) fn cancel_trial(&mut self) {
        self.on_trial = false;
    }

    /// Returns whether requests may be sent to the target, at a daemon that
    /// waits a further `delay_ms` after a hold.
    pub(super) fn eligibility(
        &self,
        holds: &HoldDurations,
        delay_ms: DurationMs,
        now: TimeMs,
    ) -> Eligibility {
        let Some(held_at) = self.held_at else {
            return Eligibility::Trusted;
        };
        let held_ms = now.since(held_at);
        let hold_ms = self.hold_length(holds) + delay_ms;
        if self.on_trial || held_ms < hold_ms {
            return Eligibility::Avoided;
        }
        if held_ms < hold_ms + LATE_TRIAL_DELAY_MS {
            return Eligibility::Trial;
        }
        Eligibility::LateTrial
    }

    /// Returns the length of the target's hold, the spread included.
    fn hold_length(&self, holds: &HoldDurations) -> DurationMs {
        let hold_ms = if self.failures >= REPEATED_FAILURES_MIN {
            holds.repeated_ms
        } else {
            holds.first_ms
        };
        hold_ms + DurationMs((hold_ms.0 as f64 * HOLD_SPREAD_SHARE * self.spread) as u64)
    }

    /// Returns whether the last failure at the target came so soon that an
    /// idempotent request loses hardly any time by trying it.
    pub(super) fn fails_fast(&self) -> bool {
        self.last_failure_run_ms <= FAST_FAILURE_MAX_MS
    }

    /// Returns whether the target is suspected of failing.
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
/// The timeout is three times the usual run time, but at least the objective
/// less the usual run time and at least half the objective, since a slow answer
/// is better than none. It is lowered so that a second attempt still has time
/// within `remaining_ms`, but not below [`ATTEMPT_TIMEOUT_MIN_MS`].
pub fn attempt_timeout(
    usual_ms: DurationMs,
    objective_ms: DurationMs,
    remaining_ms: DurationMs,
) -> DurationMs {
    let half_objective = DurationMs(objective_ms.0 / 2);
    let second_start = objective_ms.saturating_sub(usual_ms).max(half_objective);
    let preferred = usual_ms.times(3).max(second_start);
    // Leave enough time for a second attempt.
    let limit = remaining_ms.saturating_sub(usual_ms.times(2).max(half_objective));
    preferred.min(limit).max(ATTEMPT_TIMEOUT_MIN_MS)
}

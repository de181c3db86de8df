//! Decides what to do after an attempt at a target has ended.

use crate::idempotency::KeyState;
use crate::idempotency::refusal_outcome;
use crate::outcome::AttemptOutcome;
use crate::refusal::RefusalKind;
use crate::refusal::RefusalOutcome;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::RetryBudget;

/// The maximum number of targets that one arrival of a request is sent to. The
/// caller may send the same request again, which is another arrival.
pub const ATTEMPTS_MAX: u32 = 3;

/// The maximum number of targets that may have run one arrival of an idempotent
/// request.
pub const RUNS_MAX: u32 = 2;

/// The number of targets in the whole fleet that one request may crash before it
/// is not sent again.
const CRASHES_MAX: u32 = 2;

/// The attempts that were made for one arrival of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// The number of targets that the request was sent to.
    pub sent: u32,
    /// The number of these targets that may have run it.
    pub may_have_run: u32,
    /// The refusal for the last attempt that may have run the request.
    pub failure: Option<RefusalKind>,
}

/// What the decision depends on besides the outcome of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestFacts {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// What is known of earlier requests with the same idempotency key.
    pub key: KeyState,
    /// Whether the attempt ended with a crash of the target.
    pub crashed: bool,
    /// The number of targets in the whole fleet that the request has crashed,
    /// including the target of this attempt.
    pub crashes: u32,
    /// Whether part of the target's answer was already sent to the caller.
    pub passed_on: bool,
    /// The time left until the deadline.
    pub remaining_ms: DurationMs,
}

/// What a daemon does after an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Pass the target's answer on.
    Answer,
    /// Send the request to a target that it was not sent to yet.
    SendAgain,
    /// Refuse the request.
    Refuse {
        /// The reason.
        kind: RefusalKind,
        /// What the refusal says about execution. The claim of the idempotency
        /// key is released for `NotRun`; otherwise its result is stored as
        /// unknown.
        outcome: RefusalOutcome,
    },
    /// Close the caller's connection, because the answer can't be completed.
    Abort,
    /// Keep waiting, because the attempt has not ended.
    Wait,
    /// Do nothing, because the caller is gone; the result of the claim is stored
    /// as unknown.
    CallerGone,
}

/// Decides what to do after an attempt at a target has ended or is overdue.
///
/// A failed attempt is added to `attempts`, and a retry is taken from `budget` if
/// the request is sent again.
pub fn next_step(
    outcome: AttemptOutcome,
    facts: &RequestFacts,
    attempts: &mut Attempts,
    budget: &mut RetryBudget,
    now: TimeMs,
) -> NextStep {
    let Some(kind) = refusal_of(outcome, facts.crashed) else {
        return match outcome {
            AttemptOutcome::Overdue => NextStep::Wait,
            AttemptOutcome::Cancelled => NextStep::CallerGone,
            _ => NextStep::Answer,
        };
    };
    attempts.sent += 1;
    if !outcome.is_not_run() {
        attempts.may_have_run += 1;
        attempts.failure = Some(kind);
    }
    if facts.passed_on {
        return NextStep::Abort;
    }
    if may_send_again(facts, attempts) && budget.take(now) {
        return NextStep::SendAgain;
    }
    if attempts.may_have_run == 0 && facts.crashes > 0 {
        // No target ran this arrival, but another arrival of the request has run
        // and crashed its target.
        return refuse(RefusalKind::Poisoned, facts.key);
    }
    if outcome == AttemptOutcome::Failed {
        return NextStep::Answer;
    }
    // If an earlier attempt may have run the request, the refusal has to say
    // so, even if the last attempt certainly did not run it.
    refuse(attempts.failure.unwrap_or(kind), facts.key)
}

/// Returns the refusal of a request, given what is known of its key.
const fn refuse(kind: RefusalKind, key: KeyState) -> NextStep {
    NextStep::Refuse {
        kind,
        outcome: refusal_outcome(kind, key),
    }
}

/// Decides what to do after an attempt to forward a request to the daemon that
/// owns its idempotency key.
///
/// A request that failed is not sent again here: only the owner retries, and
/// only the owner knows whether a request with this key has run.
pub const fn next_forward_step(outcome: AttemptOutcome) -> NextStep {
    match outcome {
        AttemptOutcome::Answered | AttemptOutcome::Failed | AttemptOutcome::Shed => {
            NextStep::Answer
        }
        AttemptOutcome::Overdue => NextStep::Wait,
        AttemptOutcome::Cancelled => NextStep::CallerGone,
        _ => NextStep::Refuse {
            kind: RefusalKind::OwnerUnreachable,
            outcome: RefusalOutcome::Unknown,
        },
    }
}

/// Returns the refusal for a failed attempt, or `None` if the target has answered
/// without a server error, the attempt is overdue or the caller is gone.
const fn refusal_of(outcome: AttemptOutcome, crashed: bool) -> Option<RefusalKind> {
    match outcome {
        AttemptOutcome::Answered | AttemptOutcome::Overdue | AttemptOutcome::Cancelled => None,
        AttemptOutcome::Shed => Some(RefusalKind::TargetShed),
        AttemptOutcome::ConnectFailed | AttemptOutcome::NotWritten => {
            Some(RefusalKind::TargetUnreachable)
        }
        AttemptOutcome::ConnectionLost if crashed => Some(RefusalKind::TargetCrashed),
        AttemptOutcome::ConnectionLost | AttemptOutcome::Silent | AttemptOutcome::Failed => {
            Some(RefusalKind::TargetFailed)
        }
        AttemptOutcome::TimedOut => Some(RefusalKind::TargetTimeout),
        AttemptOutcome::Cut => Some(RefusalKind::AnswerCut),
        AttemptOutcome::Mismatched => Some(RefusalKind::AnswerMismatched),
    }
}

/// Returns whether the request may be sent to another target.
const fn may_send_again(facts: &RequestFacts, attempts: &Attempts) -> bool {
    if facts.remaining_ms.0 == 0 || attempts.sent >= ATTEMPTS_MAX {
        return false;
    }
    if facts.crashes >= CRASHES_MAX {
        return false;
    }
    if attempts.may_have_run == 0 && facts.crashes == 0 {
        return true;
    }
    facts.idempotent && attempts.may_have_run < RUNS_MAX
}

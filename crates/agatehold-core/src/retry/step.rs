//! What follows from the end of an attempt.

use crate::idempotency::KeyState;
use crate::idempotency::refusal_outcome;
use crate::outcome::AttemptOutcome;
use crate::refusal::RefusalKind;
use crate::refusal::RefusalOutcome;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::RetryBudget;

/// How many targets one arrival may be sent to in all.
pub const ATTEMPTS_MAX: u32 = 3;

/// How many targets may have run one arrival, where it is idempotent.
pub const RUNS_MAX: u32 = 2;

/// How many targets one request may crash in the whole fleet.
const CRASHES_MAX: u32 = 2;

/// The attempts of one arrival so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Targets that the arrival was sent to.
    pub sent: u32,
    /// Of these, the ones that may have run it.
    pub may_have_run: u32,
    /// The refusal of the last of the latter.
    pub failure: Option<RefusalKind>,
}

/// What the next step depends on beside the end of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestFacts {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// What is known of earlier arrivals of the key.
    pub key: KeyState,
    /// Whether the attempt ended with a crash of the target.
    pub crashed: bool,
    /// Targets that the request crashed in the whole fleet, this one included.
    pub crashes: u32,
    /// Whether part of the target's answer was passed on to the caller.
    pub passed_on: bool,
    /// The time left until the deadline.
    pub remaining_ms: DurationMs,
}

/// What a daemon does after an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Pass the target's answer on.
    Answer,
    /// Send the request to a target that it was not sent to before.
    SendAgain,
    /// Refuse the request.
    Refuse {
        /// The reason.
        kind: RefusalKind,
        /// What the refusal says about execution. The claim of the key is
        /// released for `NotRun` and ends as unknown otherwise.
        outcome: RefusalOutcome,
    },
    /// Close the caller's connection, whose answer can't be completed.
    Abort,
    /// Wait for the attempt, which has not ended.
    Wait,
    /// Do nothing, because the caller is gone; the claim ends as unknown.
    CallerGone,
}

/// Decides what follows from the end of an attempt at a target.
///
/// The attempt is added to `attempts`, and a retry is taken from `budget`.
pub fn next_step(
    outcome: AttemptOutcome,
    facts: &RequestFacts,
    attempts: &mut Attempts,
    budget: &mut RetryBudget,
    now: TimeMs,
) -> Next {
    let Some(kind) = refusal_of(outcome, facts.crashed) else {
        return match outcome {
            AttemptOutcome::Overdue => Next::Wait,
            AttemptOutcome::Cancelled => Next::CallerGone,
            _ => Next::Answer,
        };
    };
    attempts.sent += 1;
    if !outcome.is_not_run() {
        attempts.may_have_run += 1;
        attempts.failure = Some(kind);
    }
    if facts.passed_on {
        return Next::Abort;
    }
    if may_send_again(facts, attempts) && budget.take(now) {
        return Next::SendAgain;
    }
    if attempts.may_have_run == 0 && facts.crashes > 0 {
        // Another arrival of the request ran and crashed its target.
        return refuse(RefusalKind::Poisoned, facts.key);
    }
    if outcome == AttemptOutcome::Failed {
        return Next::Answer;
    }
    // An earlier attempt that may have run the request decides what the
    // refusal says, even if the last attempt certainly did not.
    refuse(attempts.failure.unwrap_or(kind), facts.key)
}

const fn refuse(kind: RefusalKind, key: KeyState) -> Next {
    Next::Refuse {
        kind,
        outcome: refusal_outcome(kind, key),
    }
}

/// Decides what follows when the owner of a key did not answer a forwarded
/// request.
///
/// Only the owner sends again, and only the owner knows whether the key ran.
pub const fn next_forward_step(outcome: AttemptOutcome) -> Next {
    match outcome {
        AttemptOutcome::Answered | AttemptOutcome::Failed | AttemptOutcome::Shed => Next::Answer,
        AttemptOutcome::Overdue => Next::Wait,
        AttemptOutcome::Cancelled => Next::CallerGone,
        _ => Next::Refuse {
            kind: RefusalKind::OwnerUnreachable,
            outcome: RefusalOutcome::Unknown,
        },
    }
}

/// Returns the refusal for an attempt that ended without an answer for the
/// caller.
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

//! What follows from the end of an attempt at a registered target.

use crate::outcome::AttemptOutcome;
use crate::refusal::RefusalKind;
use crate::retry::Attempts;
use crate::units::DurationMs;

/// The targets that one request is tried at, those included that it does not
/// reach.
const TRIES_MAX: u32 = 4;

/// What the next step depends on beside the end of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFacts {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The number of targets that the request may be sent to.
    pub attempts_max: u32,
    /// Targets that the request was tried at.
    pub tries: u32,
    /// Whether the request crashed targets before.
    pub is_poisoned: bool,
    /// The time left until the final answer is due.
    pub remaining_ms: DurationMs,
}

/// What a daemon does after an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Pass the target's answer on.
    Answer,
    /// Send the request to another target.
    SendAgain,
    /// Refuse the request; the kind says whether it may have run.
    Refuse(RefusalKind),
    /// Do nothing, because the caller is gone.
    CallerGone,
}

/// Decides what follows from the end of an attempt, which is added to
/// `attempts`; `take_resend` draws on the budget of the service.
///
/// A request that is not idempotent is sent again only if none of its attempts
/// may have run.
pub fn after_attempt(
    outcome: AttemptOutcome,
    facts: &AttemptFacts,
    attempts: &mut Attempts,
    take_resend: impl FnOnce() -> bool,
) -> Decision {
    let kind = match outcome {
        AttemptOutcome::Answered => return Decision::Answer,
        AttemptOutcome::Cancelled => return Decision::CallerGone,
        AttemptOutcome::Shed => RefusalKind::TargetShed,
        AttemptOutcome::ConnectFailed | AttemptOutcome::NotWritten => {
            RefusalKind::TargetUnreachable
        }
        AttemptOutcome::ConnectionLost | AttemptOutcome::Silent | AttemptOutcome::Failed => {
            RefusalKind::TargetFailed
        }
        AttemptOutcome::TimedOut | AttemptOutcome::Overdue => RefusalKind::TargetTimeout,
        AttemptOutcome::Cut => RefusalKind::AnswerCut,
        AttemptOutcome::Mismatched => RefusalKind::AnswerMismatched,
    };
    let reached = !matches!(
        outcome,
        AttemptOutcome::ConnectFailed | AttemptOutcome::NotWritten
    );
    attempts.sent += u32::from(reached);
    if !outcome.is_not_run() {
        attempts.may_have_run += 1;
        attempts.failure = Some(kind);
    }
    let safe_to_repeat = facts.idempotent || attempts.may_have_run == 0;
    let may_repeat = safe_to_repeat
        && attempts.sent < facts.attempts_max
        && facts.tries < TRIES_MAX
        && !facts.is_poisoned
        && facts.remaining_ms.0 > 0;
    // A target that the request never reached has no share in the budget; the
    // first arrival of a request is not a resend either.
    let is_resend = attempts.sent > 0;
    if may_repeat && (!is_resend || take_resend()) {
        return Decision::SendAgain;
    }
    if outcome == AttemptOutcome::Failed {
        return Decision::Answer;
    }
    Decision::Refuse(attempts.failure.unwrap_or(kind))
}

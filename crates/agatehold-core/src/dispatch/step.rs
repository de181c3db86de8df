//! Decides what to do after an attempt at a registered target has ended.

use crate::outcome::AttemptOutcome;
use crate::refusal::RefusalKind;
use crate::retry::Attempts;
use crate::units::DurationMs;

/// The maximum number of targets at which one request is tried, including
/// targets that it does not reach.
const TRIES_MAX: u32 = 4;

/// What the decision depends on besides the outcome of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFacts {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the attempt's answer has a status that callers take as the promise that
    /// the request has not run, although the target does not say so.
    pub answer_claims_not_run: bool,
    /// The maximum number of targets that the request may reach.
    pub attempts_max: u32,
    /// The number of targets at which the request was tried so far.
    pub tries: u32,
    /// The number of targets at which the request runs, without that of the attempt that
    /// has ended.
    pub running: u32,
    /// Whether the request may have crashed a target, even if that is not confirmed.
    pub is_crash_suspected: bool,
    /// Whether the request has crashed targets before.
    pub is_poisoned: bool,
    /// The time left until the caller must have an answer.
    pub remaining_ms: DurationMs,
}

/// What a daemon does after an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Pass the target's answer on.
    Answer,
    /// Send the request to another target.
    SendAgain,
    /// Wait for the other attempt that runs.
    Wait,
    /// Refuse the request; the kind tells whether it may have run.
    Refuse(RefusalKind),
    /// Do nothing, because the caller is gone.
    CallerGone,
}

/// Decides what to do after an attempt has ended and adds the attempt to
/// `attempts`. `take_resend` takes a resend from the service's budget and
/// returns false if none is left.
///
/// A request that is not idempotent is sent again only if none of its attempts
/// may have run. Its caller sends it again after a status that claims so; such an
/// answer of a target that has run it is replaced by a refusal.
///
/// While another attempt runs, the request is not refused: its target may still answer.
/// `take_resend` then also returns false if no other target has a free slot.
pub fn after_attempt(
    outcome: AttemptOutcome,
    facts: &AttemptFacts,
    attempts: &mut Attempts,
    take_resend: impl FnOnce() -> bool,
) -> Decision {
    let may_pass_on = facts.idempotent || !facts.answer_claims_not_run;
    let kind = match outcome {
        AttemptOutcome::Answered if may_pass_on => return Decision::Answer,
        AttemptOutcome::Cancelled => return Decision::CallerGone,
        AttemptOutcome::Shed => RefusalKind::TargetShed,
        AttemptOutcome::ConnectFailed | AttemptOutcome::NotWritten => {
            RefusalKind::TargetUnreachable
        }
        AttemptOutcome::Answered
        | AttemptOutcome::ConnectionLost
        | AttemptOutcome::Silent
        | AttemptOutcome::Failed => RefusalKind::TargetFailed,
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
    // Copies that run at the same time could crash several targets before it is known
    // that the request crashes them.
    let is_risk = facts.is_crash_suspected && facts.running > 0;
    let may_repeat = safe_to_repeat && !is_risk && has_try_left(facts, attempts);
    // Sending the request again counts as a resend only if it has reached a
    // target before.
    let is_resend = attempts.sent + facts.running > 0;
    if may_repeat && (!is_resend || take_resend()) {
        return Decision::SendAgain;
    }
    if facts.running > 0 {
        return Decision::Wait;
    }
    if outcome == AttemptOutcome::Failed && may_pass_on {
        return Decision::Answer;
    }
    Decision::Refuse(attempts.failure.unwrap_or(kind))
}

/// Decides whether a request whose attempt takes longer than usual is sent to a further
/// target while those that run go on. `facts.running` counts all attempts that run.
pub fn may_send_beside(facts: &AttemptFacts, attempts: &Attempts) -> bool {
    facts.idempotent && !facts.is_crash_suspected && has_try_left(facts, attempts)
}

/// Returns whether the request may be sent to a further target, as far as the number of
/// its targets, its crashes and its time allow it.
fn has_try_left(facts: &AttemptFacts, attempts: &Attempts) -> bool {
    attempts.sent + facts.running < facts.attempts_max
        && facts.tries < TRIES_MAX
        && !facts.is_poisoned
        && facts.remaining_ms.0 > 0
}

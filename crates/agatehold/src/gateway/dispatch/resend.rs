//! Decides about further sends of a request, and begins them: after an attempt has ended,
//! and beside one that takes longer than usual.

use tokio::sync::oneshot;

use agatehold_core::dispatch::Choice;
use agatehold_core::dispatch::Decision;
use agatehold_core::dispatch::after_attempt;
use agatehold_core::dispatch::may_send_beside;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::refusal::RefusalKind;

use crate::gateway::endpoint::Response;
use crate::gateway::queue;
use crate::gateway::serve::request_id_text;
use crate::gateway::target::AttemptEnd;

use super::Dispatch;
use super::attempt::RunningAttempt;
use super::attempt::SlotBeside;

impl<'a> Dispatch<'a> {
    /// Decides what to do after an attempt has ended while those in `running` go on. If the
    /// request is to be sent again beside one of them, returns the slot for that.
    pub(super) fn decide(
        &mut self,
        end: &AttemptEnd,
        running: &[RunningAttempt<'a>],
        response_sender: &oneshot::Sender<Response>,
    ) -> (Decision, Option<SlotBeside>) {
        let facts = self.facts(Some(end), running.len());
        let now = self.now();
        let mut attempts = self.attempts;
        let mut is_over_budget = false;
        let mut slot = None;
        let decision = after_attempt(end.outcome, &facts, &mut attempts, || {
            if !running.is_empty() {
                if !response_sender.is_closed() {
                    slot = self.claim_beside();
                }
                return slot.is_some();
            }
            self.state.check_suspension();
            let taken = self.with_budget(|budget| budget.take(now));
            is_over_budget = !taken;
            taken
        });
        self.attempts = attempts;
        self.is_over_budget |= is_over_budget;
        if is_over_budget {
            log::info!(
                "event=resend_denied id={} service={} target={} outcome={} budget=\"{}\"",
                request_id_text(self.request_id.as_ref()),
                self.service,
                self.target_text(),
                end.outcome,
                self.with_budget(|budget| budget.state(now))
            );
        }
        (decision, slot)
    }

    /// Sends the request to a second target, if it may be sent there while the attempts in
    /// `running` go on. The first one that answers ends the others. `position` is that of
    /// the attempt that takes longer than usual.
    pub(super) fn send_beside(&mut self, running: &mut Vec<RunningAttempt<'a>>, position: usize) {
        let facts = self.facts(None, running.len());
        if !may_send_beside(&facts, &self.attempts) {
            return;
        }
        let Some(slot) = self.claim_beside() else {
            return;
        };
        let sent = self.attempts.sent as usize + running.len();
        let slow_target = running[position].target().as_str();
        self.record_resend(
            slow_target,
            AttemptOutcome::Overdue,
            "attempt timeout",
            sent,
        );
        running[position].is_given_up = true;
        // Without a valid key the attempts that run go on.
        running.extend(self.begin_beside(slot));
    }

    /// Begins an attempt beside one that runs. Fails if the request's key is no longer
    /// valid.
    pub(super) fn begin_beside(
        &mut self,
        slot: SlotBeside,
    ) -> Result<RunningAttempt<'a>, RefusalKind> {
        if let Err(kind) = self.check_before_send() {
            self.release_unused(&slot.target);
            return Err(kind);
        }
        Ok(self.begin_attempt(slot.target, Some(slot.memory)))
    }

    /// Begins the next attempt after all others have ended. Fails with the refusal if no
    /// target can take the request.
    pub(super) fn begin_next(&mut self) -> Result<RunningAttempt<'a>, RefusalKind> {
        let idempotent = self.route.idempotent;
        let body_bytes = self.body_bytes();
        match queue::claim(
            self.state,
            &self.service,
            &self.tried,
            idempotent,
            true,
            body_bytes,
        ) {
            Choice::Target(target) => {
                if let Err(kind) = self.check_before_send() {
                    self.release_unused(&target);
                    return Err(kind);
                }
                Ok(self.begin_attempt(target, None))
            }
            Choice::AllPaused(until) => {
                self.backlog_ms = Some(until.since(self.now()));
                Err(self.attempts.failure.unwrap_or(RefusalKind::TargetsPaused))
            }
            Choice::AllBusy | Choice::NoTarget => {
                Err(self.attempts.failure.unwrap_or(RefusalKind::TargetShed))
            }
        }
    }

    /// Counts and logs a further send of the request.
    pub(super) fn record_resend(
        &self,
        target: &str,
        outcome: AttemptOutcome,
        detail: &str,
        sent: usize,
    ) {
        let now = self.now();
        log::info!(
            "event=send_again id={} service={} target={target} connection={} outcome={outcome} detail=\"{detail}\" sent={sent} budget=\"{}\"",
            request_id_text(self.request_id.as_ref()),
            self.service,
            self.connection_text(),
            self.with_budget(|budget| budget.state(now))
        );
        metrics::counter!("agatehold_retries_total",
            "service" => self.service.to_string())
        .increment(1);
    }
}

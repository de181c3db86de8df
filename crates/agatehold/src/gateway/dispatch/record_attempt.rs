//! Records the result of an attempt: target health, crash marks of the request,
//! run times, and the slot.

use std::net::SocketAddr;

use http::header;
use rand::RngExt;

use agatehold_core::ids::Digest;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::poison;
use agatehold_core::poison::RequestIdentity;
use agatehold_core::poison::Suspicion;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::target_registry::TargetIdentity;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

use crate::gateway::crash_check::LostConnection;
use crate::gateway::evidence;
use crate::gateway::messages::Evidence;
use crate::gateway::queue;
use crate::gateway::routes;
use crate::gateway::serve::request_id_text;
use crate::gateway::target::AttemptEnd;

use super::Dispatch;

impl Dispatch<'_> {
    /// Releases the slot and records what the attempt showed about the target and
    /// the request.
    ///
    /// If the target has been started again meanwhile, the row is that of the next
    /// process, of which the attempt showed nothing.
    pub(super) fn record_attempt(
        &mut self,
        identity: &TargetIdentity,
        address: SocketAddr,
        end: &AttemptEnd,
        charged_ms: DurationMs,
        run_ms: DurationMs,
    ) {
        let target = &identity.name;
        let now = self.now();
        let jitter = self.state.rng.borrow_mut().random();
        let was_refused = self.is_refused_by_poison_table(now);
        let has_survived = end.outcome == AttemptOutcome::Answered && !end.ends_with_connection;
        let answered = (has_survived && self.revoke_crash_marks()).then(|| self.fingerprint());
        let mut report = None;
        let mut targets = self.state.targets.borrow_mut();
        let row = targets.rows.get_mut(target);
        if let Some(row) = row.filter(|row| row.record.identity == *identity) {
            // A target that moved may have answered for its previous address.
            let has_moved = end.is_wrong_target && row.record.address == address;
            let had_evidence = row.failure_detector.nats() > 0.0;
            if let Some(load) = end.load {
                row.report_load(load, now);
            }
            if has_moved {
                row.leaving = true;
                log::warn!("event=address_moved target={target} address={address}");
            }
            let outcome = match end.outcome {
                // A target that asks for a pause is overloaded, not failing.
                AttemptOutcome::Shed | AttemptOutcome::Failed
                    if matches!(end.pause, Some(Ok(_))) =>
                {
                    AttemptOutcome::Shed
                }
                // A timeout caused by a short deadline of the request is no
                // evidence against the target.
                AttemptOutcome::TimedOut
                    if !end.is_abandoned && run_ms < self.route.objective_ms =>
                {
                    AttemptOutcome::Cancelled
                }
                // A target that rejects a request while it reports free slots is
                // failing, not overloaded.
                AttemptOutcome::Shed
                    if !end.is_wrong_target
                        && end.load.is_some_and(|load| load.has_free_slot()) =>
                {
                    AttemptOutcome::Failed
                }
                outcome => outcome,
            };
            if row.failure_detector.record(outcome, run_ms, jitter, now) {
                log::warn!(
                    "event=target_avoided target={target} service={} outcome={} nats={:.1} detail=\"{}\"",
                    self.service,
                    end.outcome,
                    row.failure_detector.nats(),
                    end.detail
                );
                metrics::counter!("agatehold_avoided_total",
                    "service" => self.service.to_string())
                .increment(1);
            }
            // Connection failures and timeouts are not shared: they may be
            // specific to this daemon's network path, and other daemons may
            // reach the target.
            let is_shared = !matches!(
                outcome,
                AttemptOutcome::ConnectFailed | AttemptOutcome::TimedOut
            );
            // Daemons report only attempts at a target against which there was evidence
            // before or after the attempt: the entry daemons see most requests themselves.
            let is_reportable = is_shared && (had_evidence || row.failure_detector.nats() > 0.0);
            if is_reportable || has_moved || answered.is_some() {
                report = Some(Evidence {
                    target: row.record.identity.clone(),
                    outcome,
                    run_ms,
                    moved: has_moved,
                    crash: end.is_connection_lost.then(|| self.fingerprint()),
                    answered,
                    reporter: self.state.shared.settings.host.id.clone(),
                });
            }
        }
        drop(targets);
        self.record_reuse(end);
        if let Some(evidence) = report {
            evidence::send_evidence(self.state, &self.service, &evidence);
            if was_refused && evidence.answered.is_some() {
                evidence::send_answered(self.state, &self.service, &evidence);
            }
        }
        queue::charge_run(
            self.state,
            &self.service,
            self.credentials.tenant(),
            self.priority,
            charged_ms,
            run_ms,
        );
        match end.outcome {
            AttemptOutcome::Answered => {
                routes::record_run(self.state, self.route, run_ms);
                if let Some(response) = &end.response {
                    routes::record_response(self.state, self.route, response.body.len());
                }
                queue::record_run(self.state, &self.service, run_ms);
            }
            AttemptOutcome::ConnectionLost | AttemptOutcome::ConnectFailed => {
                self.state.pool.borrow_mut().close_address(address);
            }
            _ => {}
        }
        if end.is_connection_lost {
            self.suspect_crash(identity, now);
        }
        if end.is_connection_lost || end.ends_with_connection {
            self.request_crash_check(identity, address, end, now);
        }
        metrics::counter!("agatehold_attempts_total",
            "service" => self.service.to_string(), "outcome" => end.outcome.as_str())
        .increment(1);
        self.release(identity);
    }

    /// Records whether a connection that had rested was still alive.
    fn record_reuse(&self, end: &AttemptEnd) {
        let Some(rested_ms) = end.rested_ms else {
            return;
        };
        if end.was_dead {
            evidence::report_dead_connection(self.state, &self.service, rested_ms);
            return;
        }
        let answered = matches!(
            end.outcome,
            AttemptOutcome::Answered | AttemptOutcome::Failed
        );
        if answered {
            let mut reuse = self.state.connection_reuse.get();
            reuse.record_alive(rested_ms, self.now());
            self.state.connection_reuse.set(reuse);
        }
    }

    fn fingerprint(&self) -> Digest {
        let head = &self.incoming.head;
        let host = head.headers.get(header::HOST);
        poison::fingerprint(&RequestIdentity {
            caller: self.incoming.caller,
            host: host.map_or(&[], |value| value.as_bytes()),
            method: head.method.as_str().as_bytes(),
            path: head.target.as_bytes(),
            body: &self.incoming.body,
        })
    }

    /// Checks whether the request may be sent, given the target crashes that it was
    /// involved in. Fails with the refusal of one that may not.
    pub(super) fn check_poison_table(&mut self) -> Result<(), RefusalKind> {
        let mut table = self.state.poison.borrow_mut();
        if table.rows.is_empty() {
            return Ok(());
        }
        let own = &self.state.shared.settings.host.id;
        let (fingerprint, now) = (self.fingerprint(), self.now());
        match poison::admit(&mut table, &fingerprint, own, now) {
            poison::Admission::Admitted => Ok(()),
            poison::Admission::AdmittedOnce => {
                self.is_only_copy = true;
                Ok(())
            }
            poison::Admission::Deferred => {
                self.backlog_ms = Some(poison::deferral(&table, &fingerprint, now));
                Err(RefusalKind::HeldBack)
            }
            poison::Admission::Refused => {
                if !poison::begin_trial(&mut table, &fingerprint, own, now) {
                    return Err(RefusalKind::Poisoned);
                }
                self.is_only_copy = true;
                log::info!(
                    "event=crash_trial id={} service={} fingerprint={fingerprint}",
                    request_id_text(self.request_id.as_ref()),
                    self.service
                );
                Ok(())
            }
        }
    }

    /// Lets other copies of the request be sent again, if they wait for the end of this one.
    ///
    /// A target that has not answered in time, or whose caller has left, may still run the
    /// request and crash; the other copies wait for longer then.
    pub(super) fn end_only_copy(&mut self) {
        let is_only_copy = std::mem::take(&mut self.is_only_copy);
        if is_only_copy && !self.may_still_run {
            poison::end_resend(&mut self.state.poison.borrow_mut(), &self.fingerprint());
        }
    }

    fn is_refused_by_poison_table(&self, now: TimeMs) -> bool {
        let table = self.state.poison.borrow();
        !table.rows.is_empty() && poison::is_refused(&table, &self.fingerprint(), now)
    }

    /// Returns the number of crashes in which the request was involved, including those
    /// that are not confirmed yet.
    pub(super) fn crash_count(&self) -> usize {
        let table = self.state.poison.borrow();
        if table.rows.is_empty() {
            return 0;
        }
        poison::crash_count(&table, &self.fingerprint(), self.now())
    }

    /// Holds the request back until it is known whether it has crashed the target.
    fn suspect_crash(&self, target: &TargetIdentity, now: TimeMs) {
        let suspicion = Suspicion {
            target: target.name.clone(),
            reporter: self.state.shared.settings.host.id.clone(),
            at: now,
            withdrawn: false,
        };
        let mut poison = self.state.poison.borrow_mut();
        poison::suspect(&mut poison, &self.fingerprint(), suspicion, now);
    }

    /// Has a target checked that closed the connection of the request.
    fn request_crash_check(
        &self,
        target: &TargetIdentity,
        address: SocketAddr,
        end: &AttemptEnd,
        now: TimeMs,
    ) {
        let lost = LostConnection {
            target: target.clone(),
            address,
            service: self.service.clone(),
            fingerprint: self.fingerprint(),
            lost_at: now,
            has_left: self.state.targets.borrow().has_left(target),
            is_answered: end.outcome == AttemptOutcome::Answered,
        };
        // The receiver is only dropped with the traffic thread's tasks.
        let _ = self.state.lost_connections.send(lost);
    }

    /// Revokes the crash marks of the request; returns whether it had any.
    fn revoke_crash_marks(&self) -> bool {
        let mut table = self.state.poison.borrow_mut();
        !table.rows.is_empty() && poison::revoke_marks(&mut table, &self.fingerprint())
    }
}

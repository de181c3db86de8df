//! Dispatches one request: waits for a slot, sends it to a target, and retries
//! until it is answered or must be refused.

mod attempt;
mod credentials;
mod finish;
mod record_attempt;
mod record_cost;
mod record_statements;
mod resend;

use std::time::Duration;

use http::HeaderValue;
use tokio::sync::oneshot;
use tokio::time::Instant;

use agatehold_core::catalog::CatalogRoute;
use agatehold_core::catalog::ConfigVersion;
use agatehold_core::catalog::match_catalog_route;
use agatehold_core::dispatch::AttemptFacts;
use agatehold_core::dispatch::Decision;
use agatehold_core::dispatch::ResendBudget;
use agatehold_core::dispatch::ServiceStats;
use agatehold_core::dispatch::StopPhase;
use agatehold_core::dispatch::cost::RequestCost;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TargetName;
use agatehold_core::poison;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::refusal::claims_not_run;
use agatehold_core::retry::Attempts;
use agatehold_core::target_registry::TargetIdentity;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;
use agatehold_platform::request_headers;

use crate::clock::duration;

use crate::gateway::allotments::HeldToken;
use crate::gateway::endpoint::IncomingRequest;
use crate::gateway::endpoint::Response;
use crate::gateway::pool::ConnectionUse;
use crate::gateway::queue;
use crate::gateway::queue::QueueRefusal;
use crate::gateway::queue::SlotOutcome;
use crate::gateway::queue::SlotRequest;
use crate::gateway::routes;
use crate::gateway::serve::host_and_path;
use crate::gateway::serve::request_id;
use crate::gateway::serve::request_id_text;
use crate::gateway::target::AttemptEnd;
use crate::gateway::target::TargetResponse;
use crate::gateway::tenant_metrics;
use crate::gateway::traffic::TrafficState;

use attempt::AttemptEvent;
use attempt::next_event;

pub(super) use credentials::Credentials;

/// How long a request may wait for a slot, as a percentage of the route's latency
/// objective.
const WAIT_SHARE_PERCENT: u64 = 60;

/// The routing decision for a request.
pub(super) struct Plan<'a> {
    /// What the request's key allows.
    pub(super) credentials: Credentials,
    /// The token of the tenant's allotment; `None` if the tenant has no limit.
    pub(super) token: Option<HeldToken>,
    /// The priority among the requests that wait for the service; 0 is the highest.
    pub(super) priority: u8,
    /// The matched route.
    pub(super) route: &'a CatalogRoute,
    /// The version of the configuration that contains the route.
    pub(super) version: ConfigVersion,
    /// The service chosen by the traffic split.
    pub(super) service: ServiceName,
    /// The deadline for the response to the caller.
    pub(super) deadline: TimeMs,
}

/// The state of a request while it is dispatched.
struct Dispatch<'a> {
    state: &'a TrafficState,
    incoming: &'a IncomingRequest,
    route: &'a CatalogRoute,
    credentials: Credentials,
    /// The version of the configuration by which `credentials` were checked.
    checked_version: ConfigVersion,
    token: Option<HeldToken>,
    priority: u8,
    version: ConfigVersion,
    service: ServiceName,
    /// The deadline for the response to the caller.
    deadline: TimeMs,
    request_id: Option<HeaderValue>,
    /// What the request is expected to cost, as predicted when it arrived; `None` unless
    /// targets are chosen by expected cost.
    cost: Option<RequestCost>,
    attempts: Attempts,
    tried: Vec<TargetName>,
    /// The target of the attempt that ended last, for the log.
    ended_at: Option<TargetName>,
    /// Why that attempt failed, for the log.
    detail: &'static str,
    /// The connection of that attempt, for the log.
    connection_use: Option<ConnectionUse>,
    /// Whether a retry was denied because the retry budget was used up.
    is_over_budget: bool,
    /// The queue's estimated drain time, if the queue refused the request, or the time
    /// until a request that is held back may be admitted.
    backlog_ms: Option<DurationMs>,
    /// After which time the caller may return, if the queue said so.
    return_ms: Option<DurationMs>,
    /// The run time that the queue has charged the tenant for the next attempt.
    charged_ms: DurationMs,
    /// Whether other copies of the request are deferred until this one ends, since the
    /// request may have crashed a target.
    is_only_copy: bool,
    /// Whether a target that has not answered may still run the request.
    may_still_run: bool,
    /// Whether an attempt has begun and not ended.
    is_attempting: bool,
    /// Whether an attempt ended with its connection, and what other daemons tell of
    /// crashes was not awaited since.
    is_crash_suspected: bool,
}

/// How the dispatch of a request ended.
enum DispatchEnd {
    /// A target responded.
    Answered(TargetResponse),
    /// The request is refused.
    Refused(RefusalKind),
    /// The caller disconnected.
    CallerGone,
}

/// Sends a request to targets until it is answered or must be refused; returns
/// `None` if the caller has disconnected.
pub(super) async fn run(
    state: &TrafficState,
    incoming: &IncomingRequest,
    plan: Plan<'_>,
    response_sender: &mut oneshot::Sender<Response>,
) -> Option<Response> {
    let cost = record_cost::predict(state, incoming, &plan);
    let mut dispatch = Dispatch {
        state,
        incoming,
        route: plan.route,
        credentials: plan.credentials,
        checked_version: plan.version,
        token: plan.token,
        priority: plan.priority,
        version: plan.version,
        service: plan.service,
        deadline: plan.deadline,
        request_id: request_id(&incoming.head),
        cost,
        attempts: Attempts::default(),
        tried: Vec::new(),
        ended_at: None,
        detail: "",
        connection_use: None,
        is_over_budget: false,
        backlog_ms: None,
        return_ms: None,
        charged_ms: DurationMs(0),
        is_only_copy: false,
        may_still_run: false,
        is_attempting: false,
        is_crash_suspected: false,
    };
    let dispatch_end = tokio::select! {
        biased;
        dispatch_end = dispatch.send_until_answered(response_sender) => dispatch_end,
        () = state.shutdown.reached(StopPhase::Refusing) => dispatch.end_at_stop_limit(),
    };
    dispatch.end_only_copy();
    dispatch.finish(dispatch_end)
}

impl<'a> Dispatch<'a> {
    fn now(&self) -> TimeMs {
        self.state.shared.clock.now()
    }

    fn elapsed_ms(&self) -> u128 {
        self.incoming.arrived_at.elapsed().as_millis()
    }

    async fn send_until_answered(
        &mut self,
        response_sender: &mut oneshot::Sender<Response>,
    ) -> DispatchEnd {
        let now = self.now();
        self.with_budget(|budget| budget.record_request(now));
        let idempotent = self.route.idempotent;
        self.with_service_stats(|stats| stats.record_arrival(idempotent, now));
        if let Err(kind) = self.check_poison_table() {
            return DispatchEnd::Refused(kind);
        }
        let target = match self.claim_or_wait(response_sender).await {
            Ok(target) => target,
            Err(dispatch_end) => return dispatch_end,
        };
        if let Err(kind) = self.check_before_send() {
            self.release_unused(&target);
            return DispatchEnd::Refused(kind);
        }
        let mut running = vec![self.begin_attempt(target, None)];
        loop {
            self.is_attempting = true;
            let (position, event) = tokio::select! {
                biased;
                event = next_event(&mut running) => event,
                () = response_sender.closed() => {
                    self.cancel_attempts(running);
                    return DispatchEnd::CallerGone;
                }
            };
            let mut end = match event {
                AttemptEvent::Overdue => {
                    self.record_overdue(&running[position]);
                    continue;
                }
                AttemptEvent::TimedOut => {
                    if !response_sender.is_closed() {
                        self.send_beside(&mut running, position);
                    }
                    continue;
                }
                AttemptEvent::Ended(end) => end,
            };
            let attempt = running.remove(position);
            end.is_abandoned |= attempt.is_given_up;
            self.is_attempting = !running.is_empty();
            self.record_end_state(&attempt, &end);
            self.end_attempt(attempt, &end);
            self.is_crash_suspected |= end.is_connection_lost;
            let (decision, slot) = self.decide(&end, &running, response_sender);
            match decision {
                Decision::Answer => {
                    self.cancel_overtaken(running);
                    return match end.response {
                        Some(response) => DispatchEnd::Answered(response),
                        None => DispatchEnd::Refused(RefusalKind::Internal),
                    };
                }
                Decision::CallerGone => {
                    self.cancel_attempts(running);
                    return DispatchEnd::CallerGone;
                }
                Decision::Refuse(kind) => return DispatchEnd::Refused(kind),
                Decision::Wait => {
                    log::info!(
                        "event=awaits_other id={} service={} target={} connection={} outcome={} detail=\"{}\"",
                        request_id_text(self.request_id.as_ref()),
                        self.service,
                        self.target_text(),
                        self.connection_text(),
                        end.outcome,
                        end.detail
                    );
                }
                Decision::SendAgain => {
                    if running.is_empty()
                        && std::mem::take(&mut self.is_crash_suspected)
                        && let Err(dispatch_end) = self.await_crash_reports(response_sender).await
                    {
                        return dispatch_end;
                    }
                    let sent = self.attempts.sent as usize + running.len();
                    self.record_resend(self.target_text(), end.outcome, end.detail, sent);
                    let next = match slot {
                        Some(slot) => self.begin_beside(slot),
                        None => self.begin_next(),
                    };
                    match next {
                        Ok(attempt) => running.push(attempt),
                        Err(_) if !running.is_empty() => {}
                        Err(kind) => return DispatchEnd::Refused(kind),
                    }
                }
            }
        }
    }

    /// Refuses the request because the daemon exits; a running attempt is broken off.
    fn end_at_stop_limit(&mut self) -> DispatchEnd {
        if self.is_attempting {
            self.attempts.sent += 1;
            self.attempts.may_have_run += 1;
            self.ended_at = self.tried.last().cloned();
            self.detail = "stop limit";
        }
        DispatchEnd::Refused(RefusalKind::Stopping)
    }

    /// Waits for what other daemons tell of crashes before the request is sent again whose
    /// connection was lost: a caller may have sent copies to several daemons at once, and
    /// each would crash a second target.
    async fn await_crash_reports(
        &mut self,
        response_sender: &mut oneshot::Sender<Response>,
    ) -> Result<(), DispatchEnd> {
        tokio::select! {
            biased;
            () = response_sender.closed() => return Err(DispatchEnd::CallerGone),
            () = tokio::time::sleep(duration(poison::RESEND_DELAY_MS)) => {}
        }
        let checked = self.check_poison_table();
        checked.map_err(|kind| DispatchEnd::Refused(self.attempts.failure.unwrap_or(kind)))
    }

    /// Returns the target of the attempt that ended last for the log; `-` if there is none.
    fn target_text(&self) -> &str {
        self.ended_at.as_ref().map_or("-", TargetName::as_str)
    }

    /// Returns the connection of the last attempt for the log; `-` if it used none.
    fn connection_text(&self) -> String {
        self.connection_use
            .map_or_else(|| "-".to_owned(), |connection| connection.to_string())
    }

    /// Returns what the next decision depends on, after the end of an attempt or without
    /// one, while `running` attempts go on.
    fn facts(&self, end: Option<&AttemptEnd>, running: usize) -> AttemptFacts {
        let response = end.and_then(|end| end.response.as_ref());
        let crash_count = self.crash_count();
        AttemptFacts {
            idempotent: self.route.idempotent,
            answer_claims_not_run: response
                .is_some_and(|response| claims_not_run(response.status.as_u16())),
            attempts_max: self.route.attempts_max,
            tries: u32::try_from(self.tried.len()).unwrap_or(u32::MAX),
            running: u32::try_from(running).unwrap_or(u32::MAX),
            is_crash_suspected: crash_count > 0,
            is_poisoned: crash_count >= poison::CRASHES_MAX,
            remaining_ms: self.deadline.since(self.now()),
        }
    }

    fn with_budget<T>(&self, decide: impl FnOnce(&mut ResendBudget) -> T) -> T {
        let mut budgets = self.state.budgets.borrow_mut();
        decide(budgets.of_service(&self.service))
    }

    fn with_service_stats(&self, change: impl FnOnce(&mut ServiceStats)) {
        let mut service_stats = self.state.service_stats.borrow_mut();
        change(service_stats.entry(self.service.clone()).or_default());
    }

    /// Claims a slot of a target, waiting in the queue if none is free.
    async fn claim_or_wait(
        &mut self,
        response_sender: &mut oneshot::Sender<Response>,
    ) -> Result<TargetIdentity, DispatchEnd> {
        let objective_ms = self.route.objective_ms;
        let expected_run_ms = routes::average_run(self.state, self.route);
        let headers = &self.incoming.head.headers;
        let slot_outcome = queue::claim_or_wait(
            self.state,
            &SlotRequest {
                service: &self.service,
                tenant: self.credentials.tenant(),
                priority: self.priority,
                idempotent: self.route.idempotent,
                deadline: self.deadline,
                wait_ms: DurationMs(objective_ms.0 * WAIT_SHARE_PERCENT / 100),
                body_bytes: self.body_bytes(),
                expected_run_ms,
                has_caller_deadline: headers.contains_key(request_headers::DEADLINE_REMAINING_MS),
            },
        );
        let (waiter, mut result_receiver) = match slot_outcome {
            SlotOutcome::Target(target) => {
                self.record_wait(Duration::ZERO);
                return Ok(target);
            }
            SlotOutcome::Refused(queue_refusal) => return Err(self.refused(queue_refusal)),
            SlotOutcome::Waiting(waiter, result_receiver) => (waiter, result_receiver),
        };
        let waits_since = Instant::now();
        let result = tokio::select! {
            biased;
            // First, so that nothing is sent for a caller that has left.
            () = response_sender.closed() => {
                queue::cancel(self.state, &self.service, waiter);
                // The queue may have assigned a slot in the meantime.
                result_receiver.close();
                if let Ok(Ok(target)) = result_receiver.try_recv() {
                    self.release_unused(&target);
                }
                return Err(DispatchEnd::CallerGone);
            }
            result = &mut result_receiver => result,
        };
        self.record_wait(waits_since.elapsed());
        match result {
            Ok(Ok(target)) => {
                self.charged_ms = expected_run_ms;
                Ok(target)
            }
            Ok(Err(queue_refusal)) => Err(self.refused(queue_refusal)),
            Err(_) => Err(DispatchEnd::Refused(RefusalKind::QueueTimeout)),
        }
    }

    /// Checks right before the request is sent whether it still may be. Fails with the
    /// refusal if its key is no longer valid, or if a stopping daemon would break it off.
    fn check_before_send(&mut self) -> Result<(), RefusalKind> {
        let expected_run_ms = routes::average_run(self.state, self.route);
        if !self.state.shutdown.may_start_attempt(expected_run_ms) {
            return Err(RefusalKind::Stopping);
        }
        self.renew_credentials()
    }

    /// Checks the request's key by the newest configuration, which may have changed while
    /// the request waited. Fails with the refusal of a key that is no longer valid.
    fn renew_credentials(&mut self) -> Result<(), RefusalKind> {
        let view = self.state.view();
        let Some(catalog) = &view.catalog else {
            return Ok(());
        };
        if catalog.version == self.checked_version {
            return Ok(());
        }
        let head = &self.incoming.head;
        let (host, path) = host_and_path(head);
        if let Some(position) = match_catalog_route(catalog, &host, path) {
            let route = &catalog.routes[position];
            let renewed = Credentials::of_request(catalog, route, &head.headers);
            let (credentials, _) = renewed.map_err(|kind| view.refusal_of_unknown(kind))?;
            self.credentials = credentials;
        }
        self.checked_version = catalog.version;
        Ok(())
    }

    /// Returns the size of the request's body.
    fn body_bytes(&self) -> u64 {
        self.incoming.body.len() as u64
    }

    /// Gives back a slot whose request was not sent.
    fn release_unused(&self, target: &TargetIdentity) {
        let mut targets = self.state.targets.borrow_mut();
        targets.remove_body(target, self.body_bytes());
        targets.release_unused(target);
        drop(targets);
        queue::assign_free_slots(self.state, &self.service);
    }

    fn record_wait(&self, waited: Duration) {
        let view = self.state.view();
        tenant_metrics::record_wait(&view, &self.service, self.priority, waited);
    }

    /// Notes what a refusal of the queue says about the caller's return.
    fn refused(&mut self, queue_refusal: QueueRefusal) -> DispatchEnd {
        self.backlog_ms = Some(queue_refusal.backlog_ms);
        self.return_ms = queue_refusal.return_ms;
        DispatchEnd::Refused(queue_refusal.kind)
    }

    fn release(&self, target: &TargetIdentity) {
        let mut targets = self.state.targets.borrow_mut();
        targets.remove_body(target, self.body_bytes());
        targets.release(target);
        drop(targets);
        queue::assign_free_slots(self.state, &self.service);
    }
}

//! Sends a request to targets until one answers or the request is refused.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use agatehold_core::health::next_overdue_at;
use agatehold_core::idempotency::KeyState;
use agatehold_core::idempotency::refusal_outcome;
use agatehold_core::ids::TargetName;
use agatehold_core::limits::Offer;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::outcome::OutcomeReport;
use agatehold_core::poison::Admission;
use agatehold_core::poison::CrashMark;
use agatehold_core::poison::admit;
use agatehold_core::poison::clear;
use agatehold_core::poison::clear_target;
use agatehold_core::poison::mark_crash;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::retry::Attempts;
use agatehold_core::retry::NextStep;
use agatehold_core::retry::RequestFacts;
use agatehold_core::retry::next_step;
use agatehold_core::routing::TargetIndex;
use agatehold_core::routing::pick_target;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;
use agatehold_wire::headers;

use crate::admission::AdmissionController;
use crate::admission::ClaimedSlot;
use crate::admission::SlotRefusal;
use crate::admission::SlotResult;
use crate::clock::duration;
use crate::shared::TrafficReport;

use super::ThreadState;
use super::answer::AnswerAborted;
use super::answer::AnswerBody;
use super::answer::Relay;
use super::attempt::Attempt;
use super::attempt::Outbound;
use super::attempt::ReceivedAnswer;
use super::attempt::run_attempt;
use super::plan::Plan;
use super::pool::Connection;
use super::pool::TRAFFIC_TCP_TIMEOUTS;
use super::refusal::Refusal;
use super::request_reader::Arrival;
use super::serve::Caller;

/// The maximum number of parts of a relayed body that are queued for the
/// caller.
const RELAY_QUEUE_PARTS: usize = 4;

/// A relayed answer is aborted if no data arrives for this long.
const RELAY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A target whose connection was lost counts as crashed if it does not accept
/// a new connection within this time.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// The delay before a target whose connection was lost is contacted. A process that ends
/// may close its listener some time after its connections, and accept a connection that
/// comes in between. The crash marks of other daemons for the same request arrive during
/// the delay, so that the request may be sent again after the check.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(50);

/// How the dispatch of a request ended.
pub(crate) enum DispatchEnd {
    /// This target answered.
    Answered(ReceivedAnswer, TargetName),
    /// The request was refused.
    Refused(Refusal),
    /// The caller disconnected.
    CallerGone,
}

/// How a dispatch ended and how much time it spent at targets.
pub(crate) struct DispatchResult {
    /// How the dispatch ended.
    pub(crate) end: DispatchEnd,
    /// The total duration of all attempts.
    pub(crate) target_time: Duration,
}

/// The state of one request while it is dispatched.
struct Dispatch<'a> {
    state: &'a Rc<ThreadState>,
    arrival: &'a Arrival,
    plan: &'a Plan,
    key: KeyState,
    admission_controller: Arc<AdmissionController>,
    attempts: Attempts,
    tried: Vec<TargetIndex>,
    target_time: Duration,
}

/// Dispatches a request. If the request has an idempotency key, the key must
/// already be claimed.
pub(crate) async fn run(
    state: &Rc<ThreadState>,
    arrival: &Arrival,
    plan: &Plan,
    key: KeyState,
    caller: &mut Caller,
) -> DispatchResult {
    let admission_controller =
        Arc::clone(&plan.published.admission_controllers[plan.service.position()]);
    let mut dispatch = Dispatch {
        state,
        arrival,
        plan,
        key,
        admission_controller,
        attempts: Attempts::default(),
        tried: Vec::new(),
        target_time: Duration::ZERO,
    };
    let end = match dispatch.admit(caller).await {
        Ok(slot) => dispatch.send_until_answered(slot, caller).await,
        Err(end) => end,
    };
    DispatchResult {
        end,
        target_time: dispatch.target_time,
    }
}

impl Dispatch<'_> {
    fn refused(&self, kind: RefusalKind) -> DispatchEnd {
        DispatchEnd::Refused(Refusal::with_outcome(kind, refusal_outcome(kind, self.key)))
    }

    fn refused_slot(&self, slot_refusal: SlotRefusal) -> DispatchEnd {
        let mut refusal = Refusal::with_outcome(
            slot_refusal.kind,
            refusal_outcome(slot_refusal.kind, self.key),
        );
        refusal.retry = slot_refusal.retry;
        DispatchEnd::Refused(refusal)
    }

    /// Checks the crash marks of the request and the tenant's token bucket,
    /// then claims a slot, waiting in the queue if necessary.
    async fn admit(&mut self, caller: &mut Caller) -> Result<ClaimedSlot, DispatchEnd> {
        if !self.passes_poison_check() {
            return Err(self.refused(RefusalKind::Poisoned));
        }
        let shared = &self.state.shared;
        let now = shared.clock.now();
        let tenant = &self.plan.tenant;
        if let Err(retry) = shared
            .tenant_buckets()
            .take(tenant, &self.plan.tenant_row, now)
        {
            let kind = RefusalKind::RateLimited;
            return Err(self.refused_slot(SlotRefusal { kind, retry }));
        }
        let offer = Offer {
            tenant: tenant.clone(),
            class: self.plan.class,
            deadline: self.plan.deadline,
            expected_run_ms: None,
            caller_deadline: None,
        };
        self.admission_controller
            .with_budget(|budget| budget.record_request(now));
        let slot_result = self.admission_controller.request_slot(
            &self.plan.published,
            self.plan.service,
            offer,
            self.plan.idempotent,
            now,
            &mut *self.state.rng.borrow_mut(),
        );
        let (waiter, queue_result) = match slot_result {
            SlotResult::Claimed(slot) => return Ok(slot),
            SlotResult::Refused(slot_refusal) => return Err(self.refused_slot(slot_refusal)),
            SlotResult::Queued(waiter, queue_result) => (waiter, queue_result),
        };
        let mut queue_result = pin!(queue_result);
        let queue_result = tokio::select! {
            queue_result = queue_result.as_mut() => queue_result,
            () = caller.gone() => {
                self.admission_controller.cancel(waiter);
                // A slot may have been assigned in the meantime; release it.
                queue_result.as_mut().close();
                if let Ok(Ok(slot)) = queue_result.try_recv() {
                    slot.release();
                    self.process_queue();
                }
                return Err(DispatchEnd::CallerGone);
            }
        };
        match queue_result {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(slot_refusal)) => Err(self.refused_slot(slot_refusal)),
            Err(_) => Err(self.refused(RefusalKind::QueueTimeout)),
        }
    }

    /// Sends the request to one target after another until one answers or the
    /// request may not be sent again.
    async fn send_until_answered(&mut self, slot: ClaimedSlot, caller: &mut Caller) -> DispatchEnd {
        let mut slot = slot;
        if self.state.shared.clock.now() >= self.plan.deadline {
            // Claiming the key or waiting in the queue took too long, or the
            // process was paused.
            slot.release();
            self.process_queue();
            return self.refused(RefusalKind::DeadlinePassed);
        }
        loop {
            let target = slot.entry().name.clone();
            self.tried.push(slot.target);
            let sent_at = Instant::now();
            let attempt = self.attempt(&slot, caller).await;
            let elapsed = sent_at.elapsed();
            self.target_time += elapsed;
            let crashed = self.finish_attempt(slot, &attempt, elapsed).await;
            match self.decide_next_step(&attempt, crashed) {
                NextStep::Answer => {
                    return match attempt.received {
                        Some(received) => DispatchEnd::Answered(received, target),
                        None => self.refused(RefusalKind::Internal),
                    };
                }
                NextStep::SendAgain if crashed => {
                    if !self.passes_poison_check() {
                        return self.refused(RefusalKind::Poisoned);
                    }
                }
                NextStep::SendAgain => {}
                NextStep::Refuse { kind, outcome } => {
                    return DispatchEnd::Refused(Refusal::with_outcome(kind, outcome));
                }
                NextStep::CallerGone => return DispatchEnd::CallerGone,
                NextStep::Wait | NextStep::Abort => return self.refused(RefusalKind::Internal),
            }
            let Some(next_slot) = self.claim_untried_target() else {
                return self.refused_without_retry(&attempt, crashed);
            };
            metrics::counter!("agatehold_retries_total",
                "service" => self.plan.service_entry().name.to_string())
            .increment(1);
            slot = next_slot;
        }
    }

    /// Sends the request to one target, and reports the attempt as overdue
    /// while it takes longer than the slow bound of the service.
    async fn attempt(&self, slot: &ClaimedSlot, caller: &mut Caller) -> Attempt {
        let entry = slot.entry();
        let outbound = Outbound {
            method: &self.arrival.method,
            path: &self.arrival.path_and_query,
            host: None,
            headers: &self.arrival.headers,
            body: &self.arrival.body,
            request_id: self.arrival.request_id,
            deadline: self.plan.deadline,
            idempotent: self.plan.idempotent,
            idle_connections_max: idle_connections_max(self.state, entry.slots.0),
            answer_bytes: self.plan.answer_bytes,
        };
        let clock = self.state.shared.clock;
        let running = run_attempt(&self.state.pool, clock, entry.address, &outbound);
        // The answer to a request with a claimed key is stored, so that a
        // caller which sends the request again receives it. Such a request
        // therefore continues after its caller has disconnected.
        let stops_with_caller = self.key == KeyState::NoKey;
        let caller_gone = async {
            if stops_with_caller {
                caller.gone().await;
            } else {
                std::future::pending::<()>().await;
            }
        };
        let overdue = self.report_overdue(slot, Instant::now());
        tokio::select! {
            biased;
            attempt = running => attempt,
            () = caller_gone => Attempt::without_answer(AttemptOutcome::Cancelled),
            () = overdue => Attempt::without_answer(AttemptOutcome::TimedOut),
        }
    }

    /// Reports the attempt when its age exceeds the slow bound, and again each
    /// time the age has doubled, so that a target that hangs is detected
    /// before the attempt ends.
    async fn report_overdue(&self, slot: &ClaimedSlot, sent_at: Instant) {
        let bounds = &slot.published.slow_bounds_ms;
        let bound_ms = bounds
            .get(self.plan.service.position())
            .map_or(0, |bound| bound.load(Ordering::Relaxed));
        if bound_ms == 0 {
            return std::future::pending().await;
        }
        let bound = DurationMs(bound_ms);
        let mut due = next_overdue_at(DurationMs(0), bound);
        loop {
            tokio::time::sleep_until((sent_at + duration(due)).into()).await;
            self.report(slot, AttemptOutcome::Overdue, sent_at.elapsed(), None);
            due = next_overdue_at(due, bound);
        }
    }

    /// Reports the attempt, releases the slot and returns whether the target
    /// crashed.
    async fn finish_attempt(
        &self,
        slot: ClaimedSlot,
        attempt: &Attempt,
        elapsed: Duration,
    ) -> bool {
        let entry = slot.entry();
        let now = self.state.shared.clock.now();
        let received = attempt.received.as_ref();
        if let Some(in_target) = received.and_then(reported_load) {
            entry.cell.report_load(in_target, now);
        }
        let crashed =
            attempt.is_connection_lost && self.confirm_crash(&entry.name, entry.address).await;
        if attempt.outcome == AttemptOutcome::Answered {
            self.clear_marks();
        }
        self.report(&slot, attempt.outcome, elapsed, received);
        slot.release();
        self.process_queue();
        crashed
    }

    fn report(
        &self,
        slot: &ClaimedSlot,
        outcome: AttemptOutcome,
        elapsed: Duration,
        received: Option<&ReceivedAnswer>,
    ) {
        let target_state = received
            .and_then(|received| received.headers.get(headers::STATE))
            .and_then(|value| value.to_str().ok())
            .unwrap_or("");
        if target_state == "leaving" {
            // This takes effect at once for all traffic threads. The control
            // thread records it when it processes the report below.
            slot.entry().cell.set_leaving(true);
        }
        let report = OutcomeReport {
            service: self.plan.service_entry().name.clone(),
            target: slot.entry().name.clone(),
            outcome,
            elapsed_ms: DurationMs(elapsed.as_millis() as u64),
            at: self.state.shared.clock.now(),
            fingerprint: self.plan.fingerprint,
            leaving: target_state == "leaving",
            warming: target_state == "warming",
        };
        metrics::counter!("agatehold_attempts_total",
            "service" => report.service.to_string(), "outcome" => outcome.as_str())
        .increment(1);
        self.state.shared.report(TrafficReport::Attempt(report));
    }

    fn decide_next_step(&mut self, attempt: &Attempt, crashed: bool) -> NextStep {
        let now = self.state.shared.clock.now();
        let facts = RequestFacts {
            idempotent: self.plan.idempotent,
            key: self.key,
            crashed,
            crashes: self.crash_count(),
            passed_on: false,
            remaining_ms: self.plan.deadline.since(now),
        };
        let attempts = &mut self.attempts;
        self.admission_controller
            .with_budget(|budget| next_step(attempt.outcome, &facts, attempts, budget, now))
    }

    /// Refuses a request for which there is no other target, as if it had no
    /// retry left.
    fn refused_without_retry(&mut self, attempt: &Attempt, crashed: bool) -> DispatchEnd {
        let kind = self.attempts.failure.unwrap_or(match attempt.outcome {
            AttemptOutcome::Shed => RefusalKind::TargetShed,
            AttemptOutcome::ConnectFailed | AttemptOutcome::NotWritten => {
                RefusalKind::TargetUnreachable
            }
            _ if crashed => RefusalKind::TargetCrashed,
            _ => RefusalKind::TargetFailed,
        });
        self.refused(kind)
    }

    /// Returns whether the request may be sent, considering the crashes of
    /// targets in which it was in flight.
    fn passes_poison_check(&self) -> bool {
        let shared = &self.state.shared;
        let now = shared.clock.now();
        let fingerprint = &self.plan.fingerprint;
        match admit(&mut shared.poison(), fingerprint, &shared.host, now) {
            Admission::Admitted => true,
            Admission::AdmittedOnce => self.plan.idempotent,
            Admission::Deferred | Admission::Refused => false,
        }
    }

    /// Returns the number of targets that the request crashed, as reported by
    /// all daemons.
    fn crash_count(&self) -> u32 {
        let poison = self.state.shared.poison();
        let marks = poison
            .rows
            .get(&self.plan.fingerprint)
            .map_or(&[][..], |row| &row.marks);
        let open = marks.iter().filter(|mark| !mark.cleared).count();
        u32::try_from(open).unwrap_or(u32::MAX)
    }

    /// Returns whether the target crashed. The request is marked before the
    /// crash is confirmed, so that no daemon sends it to another target in the
    /// meantime; the mark is cleared if there was no crash.
    async fn confirm_crash(&self, target: &TargetName, address: SocketAddr) -> bool {
        let shared = &self.state.shared;
        let at = shared.clock.now();
        let mark = CrashMark {
            fingerprint: self.plan.fingerprint,
            target: target.clone(),
            reporter: shared.host.clone(),
            at,
            cleared: false,
        };
        mark_crash(&mut shared.poison(), mark.clone(), at);
        shared.report(TrafficReport::Poison(vec![mark]));
        tokio::time::sleep(CRASH_CHECK_DELAY).await;
        if !accepts_connection(address).await {
            return true;
        }
        // A crash that the request has caused at another target still counts.
        let fingerprint = &self.plan.fingerprint;
        let cleared = clear_target(&mut shared.poison(), fingerprint, target, &shared.host);
        self.report_cleared(cleared);
        false
    }

    /// Clears this daemon's crash marks of the request, which was answered, and reports
    /// that to the other daemons.
    fn clear_marks(&self) {
        let shared = &self.state.shared;
        let fingerprint = &self.plan.fingerprint;
        let cleared = clear(&mut shared.poison(), fingerprint, &shared.host);
        self.report_cleared(cleared);
    }

    fn report_cleared(&self, cleared: Vec<CrashMark>) {
        if !cleared.is_empty() {
            self.state.shared.report(TrafficReport::Poison(cleared));
        }
    }

    /// Claims a slot of a target to which the request was not sent yet.
    fn claim_untried_target(&self) -> Option<ClaimedSlot> {
        let now = self.state.shared.clock.now();
        let target = pick_target(
            &self.plan.published.table,
            self.plan.service,
            &self.tried,
            now,
            &mut *self.state.rng.borrow_mut(),
        )?;
        Some(ClaimedSlot {
            published: Arc::clone(&self.plan.published),
            target,
        })
    }

    /// Assigns free slots to the requests in the service's queue.
    fn process_queue(&self) {
        let now: TimeMs = self.state.shared.clock.now();
        let published = self.state.shared.published.load_full();
        let name = &self.plan.service_entry().name;
        let Some(service) = published.service_index(name) else {
            return;
        };
        let rng = &mut *self.state.rng.borrow_mut();
        self.admission_controller
            .process_queue(&published, service, now, rng);
    }
}

/// Returns the maximum number of idle connections that one thread keeps to a
/// target: the target's slots divided by the number of threads, rounded up.
fn idle_connections_max(state: &ThreadState, slots: u32) -> usize {
    let threads = state.shared.settings.limits.traffic_threads.0.max(1);
    slots.div_ceil(threads).max(1) as usize
}

/// Parses the number of requests in flight from the target's load header,
/// which has the form `<in flight>/<slots>`.
fn reported_load(received: &ReceivedAnswer) -> Option<u32> {
    let value = received.headers.get(headers::LOAD)?.to_str().ok()?;
    let (in_flight, _) = value.split_once('/')?;
    in_flight.parse().ok()
}

/// Returns whether the target accepts a new connection. A target whose
/// connection was lost and that does not accept another one has crashed.
async fn accepts_connection(address: SocketAddr) -> bool {
    match tokio::time::timeout(
        CRASH_PROBE_TIMEOUT,
        Connection::open(address, TRAFFIC_TCP_TIMEOUTS),
    )
    .await
    {
        Ok(Ok(connection)) => {
            connection.close();
            true
        }
        Ok(Err(_)) | Err(_) => false,
    }
}

/// Returns a body that relays an answer larger than the buffer size, part by
/// part, while a separate task reads it from the target.
pub(crate) fn relay_rest(first: Bytes, rest: Incoming, connection: Connection) -> AnswerBody {
    let (sender, parts) = mpsc::channel(RELAY_QUEUE_PARTS);
    let token = Rc::new(());
    let running = Rc::downgrade(&token);
    tokio::task::spawn_local(async move {
        relay_parts(first, rest, &sender).await;
        connection.close();
        drop(token);
    });
    AnswerBody::Relayed(Relay { parts, running })
}

async fn relay_parts(
    first: Bytes,
    mut rest: Incoming,
    parts: &mpsc::Sender<Result<Bytes, AnswerAborted>>,
) {
    if parts.send(Ok(first)).await.is_err() {
        return;
    }
    while let Some(part) = next_part(&mut rest).await {
        let aborted = part.is_err();
        if parts.send(part).await.is_err() || aborted {
            return;
        }
    }
}

async fn next_part(rest: &mut Incoming) -> Option<Result<Bytes, AnswerAborted>> {
    loop {
        let frame = match tokio::time::timeout(RELAY_IDLE_TIMEOUT, rest.frame()).await {
            Ok(None) => return None,
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) | Err(_) => return Some(Err(AnswerAborted)),
        };
        if let Ok(data) = frame.into_data() {
            return Some(Ok(data));
        }
    }
}

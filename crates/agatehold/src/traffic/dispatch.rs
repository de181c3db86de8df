//! Sends a request to targets until it has an answer or must be refused.

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

use crate::clock::duration;
use crate::gate::ClaimedSlot;
use crate::gate::Entry;
use crate::gate::ServiceGate;
use crate::gate::Turned;
use crate::shared::TrafficReport;

use super::ThreadState;
use super::answer::AnswerAborted;
use super::answer::AnswerBody;
use super::answer::Relay;
use super::attempt::Attempt;
use super::attempt::Outbound;
use super::attempt::Received;
use super::attempt::run_attempt;
use super::intake::Arrival;
use super::plan::Plan;
use super::pool::Connection;
use super::pool::TRAFFIC_LIVENESS;
use super::refusal::Refusal;
use super::serve::Caller;

/// The parts of a relayed body that wait for the caller.
const RELAY_PARTS: usize = 4;

/// The time without a byte after which a relayed answer is aborted.
const RELAY_IDLE: Duration = Duration::from_secs(10);

/// The time in which a target that lost a connection has to accept a new one
/// to show that it did not crash.
const CRASH_PROBE: Duration = Duration::from_millis(200);

/// The pause before a request that crashed a target is sent again, in which
/// the marks of other daemons arrive.
const AFTER_CRASH: Duration = Duration::from_millis(50);

/// How the dispatch of a request ended.
pub(crate) enum Ended {
    /// With the answer of a target.
    Answered(Received, TargetName),
    /// With a refusal.
    Refused(Refusal),
    /// The caller went away.
    CallerGone,
}

/// The end of a dispatch and the time that it spent at targets.
pub(crate) struct Dispatched {
    /// How it ended.
    pub(crate) ended: Ended,
    /// The time between sending to a target and its answer, over all attempts.
    pub(crate) at_targets: Duration,
}

/// One request on its way.
struct Dispatch<'a> {
    state: &'a Rc<ThreadState>,
    arrival: &'a Arrival,
    plan: &'a Plan,
    key: KeyState,
    gate: Arc<ServiceGate>,
    attempts: Attempts,
    tried: Vec<TargetIndex>,
    at_targets: Duration,
}

/// Runs a request whose key, if it has one, is claimed.
pub(crate) async fn run(
    state: &Rc<ThreadState>,
    arrival: &Arrival,
    plan: &Plan,
    key: KeyState,
    caller: &mut Caller,
) -> Dispatched {
    let gate = Arc::clone(&plan.published.gates[plan.service.position()]);
    let mut dispatch = Dispatch {
        state,
        arrival,
        plan,
        key,
        gate,
        attempts: Attempts::default(),
        tried: Vec::new(),
        at_targets: Duration::ZERO,
    };
    let ended = match dispatch.admit(caller).await {
        Ok(slot) => dispatch.send_until_answered(slot, caller).await,
        Err(ended) => ended,
    };
    Dispatched {
        ended,
        at_targets: dispatch.at_targets,
    }
}

impl Dispatch<'_> {
    fn refused(&self, kind: RefusalKind) -> Ended {
        Ended::Refused(Refusal::with_outcome(kind, refusal_outcome(kind, self.key)))
    }

    fn turned(&self, turned: Turned) -> Ended {
        let mut refusal =
            Refusal::with_outcome(turned.kind, refusal_outcome(turned.kind, self.key));
        refusal.retry = turned.retry;
        Ended::Refused(refusal)
    }

    /// Passes the tenant's bucket and waits for a slot.
    async fn admit(&mut self, caller: &mut Caller) -> Result<ClaimedSlot, Ended> {
        if !self.is_admitted_by_poison() {
            return Err(self.refused(RefusalKind::Poisoned));
        }
        let shared = &self.state.shared;
        let now = shared.clock.now();
        let tenant = &self.plan.tenant;
        if let Err(retry) = shared.buckets().take(tenant, &self.plan.tenant_row, now) {
            let kind = RefusalKind::RateLimited;
            return Err(self.turned(Turned { kind, retry }));
        }
        let offer = Offer {
            tenant: tenant.clone(),
            class: self.plan.class,
            deadline: self.plan.deadline,
        };
        self.gate.with_budget(|budget| budget.record_request(now));
        let entry = self.gate.enter(
            &self.plan.published,
            self.plan.service,
            offer,
            self.plan.idempotent,
            now,
            &mut *self.state.rng.borrow_mut(),
        );
        let (waiter, verdict) = match entry {
            Entry::Slot(slot) => return Ok(slot),
            Entry::Refused(turned) => return Err(self.turned(turned)),
            Entry::Waits(waiter, verdict) => (waiter, verdict),
        };
        let mut verdict = pin!(verdict);
        let verdict = tokio::select! {
            verdict = verdict.as_mut() => verdict,
            () = caller.gone() => {
                self.gate.cancel(waiter);
                // A slot that was handed over meanwhile has to be given back.
                verdict.as_mut().close();
                if let Ok(Ok(slot)) = verdict.try_recv() {
                    slot.close();
                    self.pump();
                }
                return Err(Ended::CallerGone);
            }
        };
        match verdict {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(turned)) => Err(self.turned(turned)),
            Err(_) => Err(self.refused(RefusalKind::QueueTimeout)),
        }
    }

    async fn send_until_answered(&mut self, slot: ClaimedSlot, caller: &mut Caller) -> Ended {
        let mut slot = slot;
        if self.state.shared.clock.now() >= self.plan.deadline {
            // The claim or the queue took the time, or the process was paused.
            slot.close();
            self.pump();
            return self.refused(RefusalKind::DeadlinePassed);
        }
        loop {
            let target = slot.entry().name.clone();
            self.tried.push(slot.target);
            let sent_at = Instant::now();
            let attempt = self.attempt(&slot, caller).await;
            let elapsed = sent_at.elapsed();
            self.at_targets += elapsed;
            let crashed = self.settle(slot, &attempt, elapsed).await;
            match self.next(&attempt, crashed) {
                NextStep::Answer => {
                    return match attempt.received {
                        Some(received) => Ended::Answered(received, target),
                        None => self.refused(RefusalKind::Internal),
                    };
                }
                NextStep::SendAgain if crashed => {
                    tokio::time::sleep(AFTER_CRASH).await;
                    if !self.is_admitted_by_poison() {
                        return self.refused(RefusalKind::Poisoned);
                    }
                }
                NextStep::SendAgain => {}
                NextStep::Refuse { kind, outcome } => {
                    return Ended::Refused(Refusal::with_outcome(kind, outcome));
                }
                NextStep::CallerGone => return Ended::CallerGone,
                NextStep::Wait | NextStep::Abort => return self.refused(RefusalKind::Internal),
            }
            let Some(next_slot) = self.pick_other() else {
                return self.refused_without_target(&attempt, crashed);
            };
            metrics::counter!("agatehold_retries_total",
                "service" => self.plan.service_entry().name.to_string())
            .increment(1);
            slot = next_slot;
        }
    }

    /// Sends once and reports the request as overdue while it lasts.
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
            connections_max: connections_max(self.state, entry.slots.0),
            answer_bytes: self.plan.answer_bytes,
        };
        let clock = self.state.shared.clock;
        let running = run_attempt(&self.state.pool, clock, entry.address, &outbound);
        // The answer to a claimed key is kept for the caller that sends it
        // again, so the request goes on without its caller.
        let follows_caller = self.key == KeyState::NoKey;
        let caller_gone = async {
            if follows_caller {
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

    /// Reports the attempt when it passes the slow bound, and again each time
    /// that its age has doubled, so that a hang is seen before it ends.
    async fn report_overdue(&self, slot: &ClaimedSlot, sent_at: Instant) {
        let bounds = &slot.published.slow_bounds;
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

    /// Gives the slot back and reports the attempt; returns whether the target
    /// crashed.
    async fn settle(&self, slot: ClaimedSlot, attempt: &Attempt, elapsed: Duration) -> bool {
        let entry = slot.entry();
        let now = self.state.shared.clock.now();
        let received = attempt.received.as_ref();
        if let Some(in_target) = received.and_then(reported_load) {
            entry.cell.report_load(in_target, now);
        }
        let crashed = match attempt.outcome {
            AttemptOutcome::ConnectionLost => self.check_crash(&entry.name, entry.address).await,
            AttemptOutcome::Answered => {
                self.clear_marks();
                false
            }
            _ => false,
        };
        self.report(&slot, attempt.outcome, elapsed, received);
        slot.close();
        self.pump();
        crashed
    }

    fn report(
        &self,
        slot: &ClaimedSlot,
        outcome: AttemptOutcome,
        elapsed: Duration,
        received: Option<&Received>,
    ) {
        let state_of_target = received
            .and_then(|received| received.headers.get(headers::STATE))
            .and_then(|value| value.to_str().ok())
            .unwrap_or("");
        if state_of_target == "leaving" {
            // The answer counts at once; the control thread keeps the mark.
            slot.entry().cell.set_leaving(true);
        }
        let report = OutcomeReport {
            service: self.plan.service_entry().name.clone(),
            target: slot.entry().name.clone(),
            outcome,
            elapsed_ms: DurationMs(elapsed.as_millis() as u64),
            at: self.state.shared.clock.now(),
            fingerprint: self.plan.fingerprint,
            leaving: state_of_target == "leaving",
            warming: state_of_target == "warming",
        };
        metrics::counter!("agatehold_attempts_total",
            "service" => report.service.to_string(), "outcome" => outcome.as_str())
        .increment(1);
        self.state.shared.report(TrafficReport::Attempt(report));
    }

    fn next(&mut self, attempt: &Attempt, crashed: bool) -> NextStep {
        let now = self.state.shared.clock.now();
        let facts = RequestFacts {
            idempotent: self.plan.idempotent,
            key: self.key,
            crashed,
            crashes: self.crashes(),
            passed_on: false,
            remaining_ms: self.plan.deadline.since(now),
        };
        let attempts = &mut self.attempts;
        self.gate
            .with_budget(|budget| next_step(attempt.outcome, &facts, attempts, budget, now))
    }

    /// Decides as if no retry were left.
    fn refused_without_target(&mut self, attempt: &Attempt, crashed: bool) -> Ended {
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

    /// Returns whether the crashes that the request was part of let it be
    /// sent.
    fn is_admitted_by_poison(&self) -> bool {
        let shared = &self.state.shared;
        let now = shared.clock.now();
        let fingerprint = &self.plan.fingerprint;
        match admit(&mut shared.poison(), fingerprint, &shared.host, now) {
            Admission::Admitted => true,
            Admission::AdmittedOnce => self.plan.idempotent,
            Admission::Deferred | Admission::Refused => false,
        }
    }

    /// Returns the number of targets that the request crashed, by all daemons.
    fn crashes(&self) -> u32 {
        let poison = self.state.shared.poison();
        let marks = poison
            .rows
            .get(&self.plan.fingerprint)
            .map_or(&[][..], |row| &row.marks);
        let open = marks.iter().filter(|mark| !mark.cleared).count();
        u32::try_from(open).unwrap_or(u32::MAX)
    }

    /// Marks the request before the crash is confirmed, so that it is not sent
    /// elsewhere meanwhile, and takes the mark back if there was no crash.
    async fn check_crash(&self, target: &TargetName, address: SocketAddr) -> bool {
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
        if !accepts_connection(address).await {
            return true;
        }
        self.clear_marks();
        false
    }

    /// Takes back the marks of a request that was answered after all.
    fn clear_marks(&self) {
        let shared = &self.state.shared;
        let fingerprint = &self.plan.fingerprint;
        let cleared = clear(&mut shared.poison(), fingerprint, &shared.host);
        if !cleared.is_empty() {
            shared.report(TrafficReport::Poison(cleared));
        }
    }

    fn pick_other(&self) -> Option<ClaimedSlot> {
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

    /// Hands the slot that became free to the next request in the queue.
    fn pump(&self) {
        let now: TimeMs = self.state.shared.clock.now();
        let published = self.state.shared.published.load_full();
        let name = &self.plan.service_entry().name;
        let Some(service) = published.service_index(name) else {
            return;
        };
        let rng = &mut *self.state.rng.borrow_mut();
        self.gate.pump(&published, service, now, rng);
    }
}

/// Returns the connections that one thread keeps to a target: as many as it
/// has slots, divided among the threads.
fn connections_max(state: &ThreadState, slots: u32) -> usize {
    let threads = state.shared.settings.limits.traffic_threads.0.max(1);
    slots.div_ceil(threads).max(1) as usize
}

/// Reads `<in flight>/<slots>`.
fn reported_load(received: &Received) -> Option<u32> {
    let value = received.headers.get(headers::LOAD)?.to_str().ok()?;
    let (in_flight, _) = value.split_once('/')?;
    in_flight.parse().ok()
}

/// A target that lost a connection and refuses a new one has crashed.
async fn accepts_connection(address: SocketAddr) -> bool {
    match tokio::time::timeout(CRASH_PROBE, Connection::open(address, TRAFFIC_LIVENESS)).await {
        Ok(Ok(connection)) => {
            connection.close();
            true
        }
        Ok(Err(_)) | Err(_) => false,
    }
}

/// Relays a body that is over the buffer size, part by part.
pub(crate) fn relay_rest(first: Bytes, rest: Incoming, connection: Connection) -> AnswerBody {
    let (sender, parts) = mpsc::channel(RELAY_PARTS);
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
        let frame = match tokio::time::timeout(RELAY_IDLE, rest.frame()).await {
            Ok(None) => return None,
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) | Err(_) => return Some(Err(AnswerAborted)),
        };
        if let Ok(data) = frame.into_data() {
            return Some(Ok(data));
        }
    }
}

//! The requests that wait for a slot of a service.

use std::collections::HashMap;

use tokio::sync::oneshot;

use agatehold_core::config::TrafficClass;
use agatehold_core::dispatch::Choice;
use agatehold_core::dispatch::PickRequest;
use agatehold_core::dispatch::pick_live_target;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TargetName;
use agatehold_core::ids::TenantName;
use agatehold_core::limits::Admission;
use agatehold_core::limits::AdmissionQueue;
use agatehold_core::limits::Dropped;
use agatehold_core::limits::Offer;
use agatehold_core::limits::QueueLimits;
use agatehold_core::limits::WaiterId;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

use super::traffic::TrafficState;

/// The requests that wait in one daemon for one service.
const PLACES: usize = 128;

/// The name under which all requests wait: the platform's callers don't name
/// their organisation.
const SHARED_TENANT: &str = "shared";

/// A refusal of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Turned {
    /// The reason.
    pub(super) kind: RefusalKind,
    /// The time in which the queue drains.
    pub(super) backlog_ms: DurationMs,
}

/// What a waiting request is told: a target with a claimed slot, or a refusal.
type Verdict = Result<TargetName, Turned>;

/// The queue of one service and those who wait in it.
pub(super) struct ServiceQueue {
    queue: AdmissionQueue,
    /// One sender for each waiter in the queue.
    waiting: HashMap<WaiterId, oneshot::Sender<Verdict>>,
}

/// What a request that asks for a slot gets.
pub(super) enum Entry {
    /// A target with a claimed slot.
    Target(TargetName),
    /// A place in the queue.
    Waits(WaiterId, oneshot::Receiver<Verdict>),
    /// A refusal.
    Refused(Turned),
}

/// What a request that asks for a slot brings.
pub(super) struct Ask<'a> {
    /// The service.
    pub(super) service: &'a ServiceName,
    /// The rank; 0 goes first.
    pub(super) priority: u8,
    /// Whether the request may run more than once.
    pub(super) idempotent: bool,
    /// When the answer has to be back.
    pub(super) deadline: TimeMs,
    /// How long the request may wait.
    pub(super) wait_ms: DurationMs,
}

impl ServiceQueue {
    fn new() -> Self {
        let limits = QueueLimits {
            places: PLACES,
            wait_ms: DurationMs(0),
        };
        Self {
            queue: AdmissionQueue::new(limits),
            waiting: HashMap::new(),
        }
    }

    /// Returns whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    fn turn_away(&mut self, dropped: Dropped, now: TimeMs) {
        let Some(verdict) = self.waiting.remove(&dropped.waiter) else {
            return;
        };
        // A caller that went away needs no refusal.
        let _ = verdict.send(Err(Turned {
            kind: dropped.kind,
            backlog_ms: self.queue.backlog(now),
        }));
    }
}

/// Picks a target and claims a slot of it.
pub(super) fn claim(
    state: &TrafficState,
    service: &ServiceName,
    tried: &[TargetName],
    idempotent: bool,
    accepts_full: bool,
) -> Choice {
    let now = state.shared.clock.now();
    let request = pick_request(state, service, tried, idempotent, accepts_full);
    let mut targets = state.targets.borrow_mut();
    let choice = pick_live_target(&targets, &request, now);
    if let Choice::Target(name) = &choice {
        targets.claim(name, now);
    }
    choice
}

/// Returns what is asked for a request.
pub(super) fn pick_request<'a>(
    state: &'a TrafficState,
    service: &'a ServiceName,
    tried: &'a [TargetName],
    idempotent: bool,
    accepts_full: bool,
) -> PickRequest<'a> {
    let now = state.shared.clock.now();
    let records = state.records.borrow();
    let record = records.get(service).copied().unwrap_or_default();
    let mut budgets = state.budgets.borrow_mut();
    let has_reserve = budgets
        .get_mut(service)
        .is_some_and(|budget| budget.has_reserve(now));
    PickRequest {
        service,
        failure_domain: &state.shared.settings.host.failure_domain,
        tried,
        may_try: record.may_try(idempotent, now),
        may_gamble: idempotent && tried.is_empty() && has_reserve,
        is_pressed: record.is_pressed(),
        share: state.target_share(service),
        accepts_full,
    }
}

/// Asks for a slot of any target of the service.
pub(super) fn enter(state: &TrafficState, ask: &Ask<'_>) -> Entry {
    let now = state.shared.clock.now();
    let mut queues = state.queues.borrow_mut();
    let row = queues
        .entry(ask.service.clone())
        .or_insert_with(ServiceQueue::new);
    let is_first = row.queue.is_empty();
    if is_first || ask.idempotent {
        match claim(state, ask.service, &[], ask.idempotent, false) {
            Choice::Target(name) if is_first || is_held(state, &name) => {
                return Entry::Target(name);
            }
            // The slot belongs to the request that waits longest.
            Choice::Target(name) => state.targets.borrow_mut().release(&name),
            Choice::NoTarget => {
                return Entry::Refused(Turned {
                    kind: RefusalKind::NoTarget,
                    backlog_ms: DurationMs(0),
                });
            }
            Choice::AllBusy => {}
        }
    }
    let Ok(tenant) = SHARED_TENANT.parse::<TenantName>() else {
        return Entry::Refused(Turned {
            kind: RefusalKind::Internal,
            backlog_ms: DurationMs(0),
        });
    };
    let offer = Offer {
        tenant,
        class: class_of(ask.priority),
        deadline: ask.deadline,
    };
    row.queue.set_limits(QueueLimits {
        places: PLACES,
        wait_ms: ask.wait_ms,
    });
    match row.queue.offer(offer, false, now) {
        Admission::Queued { waiter, displaced } => {
            let (verdict, verdict_seen) = oneshot::channel();
            row.waiting.insert(waiter, verdict);
            if let Some(dropped) = displaced {
                row.turn_away(dropped, now);
            }
            Entry::Waits(waiter, verdict_seen)
        }
        Admission::Refused { kind, .. } => Entry::Refused(Turned {
            kind,
            backlog_ms: row.queue.backlog(now),
        }),
        // The queue admits at once only where a slot is free.
        Admission::Admitted => Entry::Refused(Turned {
            kind: RefusalKind::Internal,
            backlog_ms: DurationMs(0),
        }),
    }
}

/// Returns whether a target is on hold, so that no request waits for its slots.
fn is_held(state: &TrafficState, name: &TargetName) -> bool {
    let targets = state.targets.borrow();
    let row = targets.rows.get(name);
    row.is_some_and(|row| row.suspicion.is_suspected())
}

const fn class_of(priority: u8) -> TrafficClass {
    match priority {
        0 => TrafficClass::Urgent,
        1 => TrafficClass::Normal,
        _ => TrafficClass::Batch,
    }
}

/// Takes a request whose caller went away out of the queue.
pub(super) fn cancel(state: &TrafficState, service: &ServiceName, waiter: WaiterId) {
    let mut queues = state.queues.borrow_mut();
    let Some(row) = queues.get_mut(service) else {
        return;
    };
    row.queue.cancel(waiter);
    row.waiting.remove(&waiter);
}

/// Records the time that a request took at its target.
pub(super) fn record_run(state: &TrafficState, service: &ServiceName, run_ms: DurationMs) {
    let mut queues = state.queues.borrow_mut();
    if let Some(row) = queues.get_mut(service) {
        row.queue.record_run(run_ms);
    }
}

/// Hands free slots to the requests that wait and turns away those that have
/// waited too long.
pub(super) fn pump(state: &TrafficState, service: &ServiceName) {
    let now = state.shared.clock.now();
    let mut queues = state.queues.borrow_mut();
    let Some(row) = queues.get_mut(service) else {
        return;
    };
    if row.queue.is_empty() {
        return;
    }
    for dropped in row.queue.expire(now) {
        row.turn_away(dropped, now);
    }
    while !row.queue.is_empty() {
        let Choice::Target(name) = claim(state, service, &[], false, false) else {
            return;
        };
        let Some(waiter) = row.queue.slot_free(now) else {
            state.targets.borrow_mut().release(&name);
            return;
        };
        let Some(verdict) = row.waiting.remove(&waiter) else {
            state.targets.borrow_mut().release(&name);
            continue;
        };
        if let Err(Ok(name)) = verdict.send(Ok(name)) {
            // The caller went away while the slot was handed over.
            state.targets.borrow_mut().release(&name);
        }
    }
}

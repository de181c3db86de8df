//! The queue of requests that wait for a slot of a service.

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
use agatehold_core::limits::DroppedWaiter;
use agatehold_core::limits::Offer;
use agatehold_core::limits::QueueLimits;
use agatehold_core::limits::RetryWindow;
use agatehold_core::limits::TenantSharing;
use agatehold_core::limits::WaiterId;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::target_registry::TargetIdentity;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

use super::traffic::TrafficState;

/// The capacity of the queue of one service in one daemon.
const QUEUE_CAPACITY: usize = 128;

/// Why the queue refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueueRefusal {
    /// The kind of the refusal.
    pub(super) kind: RefusalKind,
    /// The estimated time until the queue has drained.
    pub(super) backlog_ms: DurationMs,
    /// After which time the caller is told to return; drawn from the drain time if `None`.
    pub(super) return_ms: Option<DurationMs>,
}

impl QueueRefusal {
    /// Creates the refusal of a request by the state of the targets, not of the queue.
    const fn by_targets(kind: RefusalKind, backlog_ms: DurationMs) -> Self {
        Self {
            kind,
            backlog_ms,
            return_ms: None,
        }
    }
}

/// The result of waiting in the queue: a target with a claimed slot, or a refusal.
type QueueResult = Result<TargetIdentity, QueueRefusal>;

/// The queue of one service.
pub(super) struct ServiceQueue {
    queue: AdmissionQueue,
    /// How tenants share the slots: by work if the configuration has tenants.
    sharing: TenantSharing,
    /// The channel to each waiting request, and the size of its body.
    waiting: HashMap<WaiterId, (oneshot::Sender<QueueResult>, u64)>,
}

/// The result of requesting a slot.
pub(super) enum SlotOutcome {
    /// A slot of this target has been claimed.
    Target(TargetIdentity),
    /// The request waits in the queue; the receiver gets the result.
    Waiting(WaiterId, oneshot::Receiver<QueueResult>),
    /// The request is refused.
    Refused(QueueRefusal),
}

/// The parameters of a request that needs a slot.
pub(super) struct SlotRequest<'a> {
    /// The service.
    pub(super) service: &'a ServiceName,
    /// The tenant, if the request belongs to one.
    pub(super) tenant: Option<&'a TenantName>,
    /// The priority; 0 is the highest.
    pub(super) priority: u8,
    /// Whether the request may be executed more than once.
    pub(super) idempotent: bool,
    /// The deadline for the response to the caller.
    pub(super) deadline: TimeMs,
    /// How long the request may wait in the queue.
    pub(super) wait_ms: DurationMs,
    /// The size of the request's body.
    pub(super) body_bytes: u64,
    /// How long the request is expected to run.
    pub(super) expected_run_ms: DurationMs,
    /// Whether the caller has said how much time it has left. Otherwise `deadline` is the
    /// route's time limit.
    pub(super) has_caller_deadline: bool,
}

impl ServiceQueue {
    fn new() -> Self {
        let limits = QueueLimits {
            places: QUEUE_CAPACITY,
            wait_ms: DurationMs(0),
        };
        Self {
            queue: AdmissionQueue::new(limits),
            sharing: TenantSharing::ByCount,
            waiting: HashMap::new(),
        }
    }

    /// Lets tenants share by work if the configuration has tenants.
    fn set_sharing(&mut self, has_tenants: bool) {
        self.sharing = if has_tenants {
            TenantSharing::ByWork
        } else {
            TenantSharing::ByCount
        };
        self.queue.set_sharing(self.sharing);
    }

    /// Returns whether no request is waiting.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the size of the largest body of the waiting requests.
    fn largest_body_bytes(&self) -> u64 {
        let sizes = self.waiting.values().map(|(_, body_bytes)| *body_bytes);
        sizes.max().unwrap_or(0)
    }

    /// Refuses all waiting requests, since no target takes them.
    fn refuse_all(&mut self) {
        for waiter in self.queue.drain_all() {
            let refusal = QueueRefusal::by_targets(RefusalKind::NoTarget, DurationMs(0));
            self.refuse(waiter, refusal);
        }
    }

    /// Refuses a request that the queue has dropped.
    fn refuse_dropped(&mut self, dropped: DroppedWaiter, now: TimeMs) {
        let refusal = self.queue_refusal(dropped.kind, dropped.retry, now);
        self.refuse(dropped.waiter, refusal);
    }

    fn queue_refusal(&self, kind: RefusalKind, retry: RetryWindow, now: TimeMs) -> QueueRefusal {
        QueueRefusal {
            kind,
            backlog_ms: self.queue.backlog(now),
            return_ms: (self.sharing == TenantSharing::ByWork).then_some(retry.from_ms),
        }
    }

    fn refuse(&mut self, waiter: WaiterId, refusal: QueueRefusal) {
        let Some((result_sender, _)) = self.waiting.remove(&waiter) else {
            return;
        };
        // Sending fails only if the caller has disconnected.
        let _ = result_sender.send(Err(refusal));
    }
}

/// Returns the refusal of a request that can't wait until the first target takes requests
/// again.
fn pause_refusal(until: TimeMs, now: TimeMs) -> QueueRefusal {
    QueueRefusal::by_targets(RefusalKind::TargetsPaused, until.since(now))
}

/// Picks a target and claims one of its slots.
pub(super) fn claim(
    state: &TrafficState,
    service: &ServiceName,
    tried: &[TargetName],
    idempotent: bool,
    accepts_full: bool,
    body_bytes: u64,
) -> Choice {
    let choice = pick(state, service, tried, idempotent, accepts_full, body_bytes);
    if let Choice::Target(target) = &choice {
        claim_slot(state, target, body_bytes);
    }
    choice
}

/// Picks a target by the newest view.
fn pick(
    state: &TrafficState,
    service: &ServiceName,
    tried: &[TargetName],
    idempotent: bool,
    accepts_full: bool,
    body_bytes: u64,
) -> Choice {
    // The request may have waited since the tables were last synchronized.
    state.view();
    let now = state.shared.clock.now();
    let request = pick_request(state, service, tried, idempotent, accepts_full, body_bytes);
    pick_live_target(&state.targets.borrow(), &request, now)
}

fn claim_slot(state: &TrafficState, target: &TargetIdentity, body_bytes: u64) {
    let now = state.shared.clock.now();
    let mut targets = state.targets.borrow_mut();
    targets.claim(target, now);
    targets.add_body(target, body_bytes);
}

/// Builds the input for picking a target, from the service's statistics, its
/// retry budget and this daemon's rank.
pub(super) fn pick_request<'a>(
    state: &'a TrafficState,
    service: &'a ServiceName,
    tried: &'a [TargetName],
    idempotent: bool,
    accepts_full: bool,
    body_bytes: u64,
) -> PickRequest<'a> {
    let now = state.shared.clock.now();
    let service_stats = state.service_stats.borrow();
    let stats = service_stats.get(service).copied().unwrap_or_default();
    let mut budgets = state.budgets.borrow_mut();
    let has_reserve = budgets.of_service(service).has_reserve(now);
    PickRequest {
        service,
        failure_domain: &state.shared.settings.host.failure_domain,
        tried,
        may_try: stats.may_try(idempotent, now),
        may_risk_failure: idempotent && tried.is_empty() && has_reserve,
        daemon_rank: state.daemon_rank(service),
        accepts_full,
        body_bytes,
    }
}

/// Claims a slot of any target of the service, or puts the request into the queue.
///
/// While other requests wait, only an idempotent request may get a slot at once,
/// and only at a suspected target.
pub(super) fn claim_or_wait(state: &TrafficState, slot_request: &SlotRequest<'_>) -> SlotOutcome {
    let now = state.shared.clock.now();
    let has_tenants = state.view().has_tenants();
    let mut queues = state.queues.borrow_mut();
    let row = queues
        .entry(slot_request.service.clone())
        .or_insert_with(ServiceQueue::new);
    row.set_sharing(has_tenants);
    let is_queue_empty = row.queue.is_empty();
    if is_queue_empty || slot_request.idempotent {
        match pick(
            state,
            slot_request.service,
            &[],
            slot_request.idempotent,
            false,
            slot_request.body_bytes,
        ) {
            Choice::Target(target) if is_queue_empty || is_target_suspected(state, &target) => {
                claim_slot(state, &target, slot_request.body_bytes);
                return SlotOutcome::Target(target);
            }
            // The slot is left to the requests that already wait.
            Choice::Target(_) => {}
            Choice::NoTarget => {
                let refusal = QueueRefusal::by_targets(RefusalKind::NoTarget, DurationMs(0));
                return SlotOutcome::Refused(refusal);
            }
            Choice::AllPaused(until) => {
                let latest = slot_request.deadline.min(now + slot_request.wait_ms);
                if until >= latest {
                    return SlotOutcome::Refused(pause_refusal(until, now));
                }
            }
            Choice::AllBusy => {}
        }
    }
    let offer = Offer {
        tenant: queue_tenant(slot_request.tenant),
        class: traffic_class(slot_request.priority),
        deadline: slot_request.deadline,
        expected_run_ms: Some(slot_request.expected_run_ms),
        caller_deadline: slot_request
            .has_caller_deadline
            .then_some(slot_request.deadline),
    };
    row.queue.set_limits(QueueLimits {
        places: QUEUE_CAPACITY,
        wait_ms: slot_request.wait_ms,
    });
    match row.queue.offer(offer, false, now) {
        Admission::Queued { waiter, displaced } => {
            let (result_sender, result_receiver) = oneshot::channel();
            row.waiting
                .insert(waiter, (result_sender, slot_request.body_bytes));
            if is_queue_empty {
                state.queue_filled.notify_one();
            }
            if let Some(dropped) = displaced {
                row.refuse_dropped(dropped, now);
            }
            SlotOutcome::Waiting(waiter, result_receiver)
        }
        Admission::Refused { kind, retry } => {
            SlotOutcome::Refused(row.queue_refusal(kind, retry, now))
        }
        // Unreachable: the queue admits a request at once only if it is
        // offered together with a free slot.
        Admission::Admitted => SlotOutcome::Refused(QueueRefusal::by_targets(
            RefusalKind::Internal,
            DurationMs(0),
        )),
    }
}

/// Returns whether a target is suspected of failing, in which case queued requests
/// don't wait for its slots.
fn is_target_suspected(state: &TrafficState, target: &TargetIdentity) -> bool {
    let targets = state.targets.borrow();
    let row = targets.rows.get(&target.name);
    row.is_some_and(|row| row.failure_detector.is_suspected())
}

/// Returns the tenant under which a request waits; requests without a tenant share one.
fn queue_tenant(tenant: Option<&TenantName>) -> TenantName {
    tenant.map_or_else(|| TenantName::external(""), TenantName::clone)
}

const fn traffic_class(priority: u8) -> TrafficClass {
    match priority {
        0 => TrafficClass::Urgent,
        1 => TrafficClass::Normal,
        _ => TrafficClass::Batch,
    }
}

/// Removes a request whose caller has disconnected from the queue.
pub(super) fn cancel(state: &TrafficState, service: &ServiceName, waiter: WaiterId) {
    let mut queues = state.queues.borrow_mut();
    let Some(row) = queues.get_mut(service) else {
        return;
    };
    row.queue.cancel(waiter);
    row.waiting.remove(&waiter);
}

/// Records how long a request ran at its target, for estimating the drain time.
pub(super) fn record_run(state: &TrafficState, service: &ServiceName, run_ms: DurationMs) {
    let mut queues = state.queues.borrow_mut();
    if let Some(row) = queues.get_mut(service) {
        row.queue.record_run(run_ms);
    }
}

/// Charges a tenant for the time that a request took a slot, as far as it was not charged
/// when it got the slot.
pub(super) fn charge_run(
    state: &TrafficState,
    service: &ServiceName,
    tenant: Option<&TenantName>,
    priority: u8,
    charged_ms: DurationMs,
    run_ms: DurationMs,
) {
    let mut queues = state.queues.borrow_mut();
    if let Some(row) = queues.get_mut(service) {
        let class = traffic_class(priority);
        let tenant = queue_tenant(tenant);
        row.queue.charge_run(class, &tenant, charged_ms, run_ms);
    }
}

/// Assigns free slots to waiting requests and refuses those that have waited too
/// long.
pub(super) fn assign_free_slots(state: &TrafficState, service: &ServiceName) {
    let now = state.shared.clock.now();
    let mut queues = state.queues.borrow_mut();
    let Some(row) = queues.get_mut(service) else {
        return;
    };
    if row.queue.is_empty() {
        return;
    }
    for dropped in row.queue.expire(now) {
        row.refuse_dropped(dropped, now);
    }
    while !row.queue.is_empty() {
        // The queue tells which request is next only once a slot is given to it.
        let body_bytes = row.largest_body_bytes();
        let target = match pick(state, service, &[], false, false, body_bytes) {
            Choice::Target(target) => target,
            Choice::AllBusy => return,
            Choice::AllPaused(until) => {
                // Those that can't wait until then.
                for dropped in row.queue.expire(until) {
                    row.refuse(dropped.waiter, pause_refusal(until, now));
                }
                return;
            }
            Choice::NoTarget => {
                row.refuse_all();
                return;
            }
        };
        let Some(waiter) = row.queue.assign_free_slot(now) else {
            return;
        };
        let Some((result_sender, body_bytes)) = row.waiting.remove(&waiter) else {
            continue;
        };
        if result_sender.is_closed() {
            // The caller has disconnected in the meantime.
            continue;
        }
        claim_slot(state, &target, body_bytes);
        // The receiver still exists, so this can't fail.
        let _ = result_sender.send(Ok(target));
    }
}

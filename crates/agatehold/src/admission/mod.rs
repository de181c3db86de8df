//! Admission of requests to a service: the queue of requests that wait for a
//! slot of a target, and the retry budget. Each daemon has its own.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use rand::Rng;
use tokio::sync::oneshot;

use agatehold_core::limits::Admission;
use agatehold_core::limits::AdmissionQueue;
use agatehold_core::limits::DroppedWaiter;
use agatehold_core::limits::Offer;
use agatehold_core::limits::QueueLimits;
use agatehold_core::limits::RetryWindow;
use agatehold_core::limits::WaiterId;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::retry::RetryBudget;
use agatehold_core::routing::ServiceIndex;
use agatehold_core::routing::TargetEntry;
use agatehold_core::routing::TargetIndex;
use agatehold_core::routing::pick_target;
use agatehold_core::routing::pick_trial;
use agatehold_core::units::TimeMs;

use crate::shared::PublishedRouting;

/// A slot of a target that is claimed for one request.
///
/// It must be released with [`ClaimedSlot::release`].
pub(crate) struct ClaimedSlot {
    /// The published state in which `target` is an index.
    pub(crate) published: Arc<PublishedRouting>,
    /// The target.
    pub(crate) target: TargetIndex,
}

impl ClaimedSlot {
    /// Returns the target's entry.
    pub(crate) fn entry(&self) -> &TargetEntry {
        &self.published.table.targets[self.target.position()]
    }

    /// Releases the slot.
    pub(crate) fn release(self) {
        self.entry().cell.release();
    }
}

/// Why a request was refused a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SlotRefusal {
    /// The reason.
    pub(crate) kind: RefusalKind,
    /// When the caller may retry.
    pub(crate) retry: RetryWindow,
}

/// The result of requesting a slot.
pub(crate) enum SlotResult {
    /// A slot was claimed.
    Claimed(ClaimedSlot),
    /// The request is queued. The channel delivers the slot or the refusal.
    Queued(
        WaiterId,
        oneshot::Receiver<Result<ClaimedSlot, SlotRefusal>>,
    ),
    /// The request is refused.
    Refused(SlotRefusal),
}

struct AdmissionState {
    queue: AdmissionQueue,
    budget: RetryBudget,
    /// The channels on which the queued requests receive their results.
    result_senders: HashMap<WaiterId, oneshot::Sender<Result<ClaimedSlot, SlotRefusal>>>,
}

/// The queue and the retry budget of one service, shared by all threads.
pub(crate) struct AdmissionController {
    state: Mutex<AdmissionState>,
}

impl AdmissionController {
    /// Creates the state of a service with an empty queue.
    pub(crate) fn new(limits: QueueLimits, budget: RetryBudget) -> Self {
        Self {
            state: Mutex::new(AdmissionState {
                queue: AdmissionQueue::new(limits),
                budget,
                result_senders: HashMap::new(),
            }),
        }
    }

    /// Locks the state. A poisoned lock is still used: a panic while it was
    /// held loses at most a waiter, whose caller receives a refusal.
    fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the limits of the queue.
    pub(crate) fn set_limits(&self, limits: QueueLimits) {
        self.lock().queue.set_limits(limits);
    }

    /// Runs `decide` on the retry budget.
    pub(crate) fn with_budget<T>(&self, decide: impl FnOnce(&mut RetryBudget) -> T) -> T {
        decide(&mut self.lock().budget)
    }

    /// Claims a slot of any target of the service, or queues or refuses the
    /// request.
    ///
    /// An idempotent request may be sent to a target on trial: an avoided
    /// target that is tested with single requests.
    pub(crate) fn request_slot(
        &self,
        published: &Arc<PublishedRouting>,
        service: ServiceIndex,
        offer: Offer,
        idempotent: bool,
        now: TimeMs,
        rng: &mut impl Rng,
    ) -> SlotResult {
        let mut state = self.lock();
        let mut claimed = None;
        if idempotent {
            claimed = pick_trial(&published.table, service, &[], now);
        }
        if state.queue.is_empty() && claimed.is_none() {
            claimed = pick_target(&published.table, service, &[], now, rng);
        }
        if let (Some(target), false) = (claimed, state.queue.is_empty()) {
            // A trial bypasses the queue: queued requests do not wait for
            // slots of targets on trial.
            return SlotResult::Claimed(ClaimedSlot {
                published: Arc::clone(published),
                target,
            });
        }
        match state.queue.offer(offer, claimed.is_some(), now) {
            Admission::Admitted => {}
            Admission::Queued { waiter, displaced } => {
                let (result_sender, result_receiver) = oneshot::channel();
                state.result_senders.insert(waiter, result_sender);
                if let Some(dropped) = displaced {
                    state.refuse_waiter(dropped);
                }
                return SlotResult::Queued(waiter, result_receiver);
            }
            Admission::Refused { kind, retry } => {
                return SlotResult::Refused(SlotRefusal { kind, retry });
            }
        }
        match claimed {
            Some(target) => SlotResult::Claimed(ClaimedSlot {
                published: Arc::clone(published),
                target,
            }),
            None => SlotResult::Refused(SlotRefusal {
                kind: RefusalKind::NoTarget,
                retry: RetryWindow::after(Default::default()),
            }),
        }
    }

    /// Removes a request from the queue after its caller has disconnected.
    pub(crate) fn cancel(&self, waiter: WaiterId) {
        let mut state = self.lock();
        state.queue.cancel(waiter);
        state.result_senders.remove(&waiter);
    }

    /// Refuses the queued requests that have waited too long and assigns free
    /// slots to the others.
    pub(crate) fn process_queue(
        &self,
        published: &Arc<PublishedRouting>,
        service: ServiceIndex,
        now: TimeMs,
        rng: &mut impl Rng,
    ) {
        let mut state = self.lock();
        if state.queue.is_empty() {
            return;
        }
        for dropped in state.queue.expire(now) {
            state.refuse_waiter(dropped);
        }
        while !state.queue.is_empty() {
            let Some(target) = pick_target(&published.table, service, &[], now, rng) else {
                return;
            };
            let slot = ClaimedSlot {
                published: Arc::clone(published),
                target,
            };
            let Some(waiter) = state.queue.assign_free_slot(now) else {
                slot.release();
                return;
            };
            let Some(result_sender) = state.result_senders.remove(&waiter) else {
                slot.release();
                continue;
            };
            if let Err(Ok(slot)) = result_sender.send(Ok(slot)) {
                // The caller disconnected while the slot was assigned.
                slot.release();
            }
        }
    }

    /// Returns the number of queued requests.
    pub(crate) fn queue_length(&self) -> usize {
        self.lock().queue.len()
    }
}

impl AdmissionState {
    fn refuse_waiter(&mut self, dropped: DroppedWaiter) {
        let Some(result_sender) = self.result_senders.remove(&dropped.waiter) else {
            return;
        };
        // Sending fails only if the caller has disconnected.
        let _ = result_sender.send(Err(SlotRefusal {
            kind: dropped.kind,
            retry: dropped.retry,
        }));
    }
}

//! The gate of a service: its queue and its retry budget in this daemon.

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

use crate::shared::Published;

/// A slot of a target that was claimed for one request.
///
/// It is given back with [`ClaimedSlot::close`].
pub(crate) struct ClaimedSlot {
    /// The published state that the index belongs to.
    pub(crate) published: Arc<Published>,
    /// The target.
    pub(crate) target: TargetIndex,
}

impl ClaimedSlot {
    /// Returns the target's entry.
    pub(crate) fn entry(&self) -> &TargetEntry {
        &self.published.table.targets[self.target.position()]
    }

    /// Gives the slot back.
    pub(crate) fn close(self) {
        self.entry().cell.release();
    }
}

/// Why a request got no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Turned {
    /// The reason.
    pub(crate) kind: RefusalKind,
    /// When the caller may come back.
    pub(crate) retry: RetryWindow,
}

/// What a request that asked for a slot gets.
pub(crate) enum Entry {
    /// A slot.
    Slot(ClaimedSlot),
    /// A place in the queue, and the channel on which the verdict comes.
    Waits(WaiterId, oneshot::Receiver<Result<ClaimedSlot, Turned>>),
    /// A refusal.
    Refused(Turned),
}

struct GateState {
    queue: AdmissionQueue,
    budget: RetryBudget,
    /// One sender for each waiter in the queue.
    waiting: HashMap<WaiterId, oneshot::Sender<Result<ClaimedSlot, Turned>>>,
}

/// The queue and the retry budget of one service, shared by all threads.
pub(crate) struct ServiceGate {
    state: Mutex<GateState>,
}

impl ServiceGate {
    /// Creates an open gate.
    pub(crate) fn new(limits: QueueLimits, budget: RetryBudget) -> Self {
        Self {
            state: Mutex::new(GateState {
                queue: AdmissionQueue::new(limits),
                budget,
                waiting: HashMap::new(),
            }),
        }
    }

    /// A panic inside the lock leaves the queue consistent enough to go on:
    /// at worst a waiter is dropped, which its caller sees as a refusal.
    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the bounds of the queue.
    pub(crate) fn set_limits(&self, limits: QueueLimits) {
        self.lock().queue.set_limits(limits);
    }

    /// Runs `decide` on the retry budget.
    pub(crate) fn with_budget<T>(&self, decide: impl FnOnce(&mut RetryBudget) -> T) -> T {
        decide(&mut self.lock().budget)
    }

    /// Asks for a slot of any target of the service.
    ///
    /// An idempotent request may be given a target on trial.
    pub(crate) fn enter(
        &self,
        published: &Arc<Published>,
        service: ServiceIndex,
        offer: Offer,
        idempotent: bool,
        now: TimeMs,
        rng: &mut impl Rng,
    ) -> Entry {
        let mut state = self.lock();
        let mut claimed = None;
        if idempotent {
            claimed = pick_trial(&published.table, service, &[], now);
        }
        if state.queue.is_empty() && claimed.is_none() {
            claimed = pick_target(&published.table, service, &[], now, rng);
        }
        if let (Some(target), false) = (claimed, state.queue.is_empty()) {
            // A trial goes past the queue: the slots of the target on trial
            // are not what the queue waits for.
            return Entry::Slot(ClaimedSlot {
                published: Arc::clone(published),
                target,
            });
        }
        match state.queue.offer(offer, claimed.is_some(), now) {
            Admission::Admitted => {}
            Admission::Queued { waiter, displaced } => {
                let (verdict, verdict_seen) = oneshot::channel();
                state.waiting.insert(waiter, verdict);
                if let Some(dropped) = displaced {
                    state.turn_away(dropped);
                }
                return Entry::Waits(waiter, verdict_seen);
            }
            Admission::Refused { kind, retry } => {
                return Entry::Refused(Turned { kind, retry });
            }
        }
        match claimed {
            Some(target) => Entry::Slot(ClaimedSlot {
                published: Arc::clone(published),
                target,
            }),
            None => Entry::Refused(Turned {
                kind: RefusalKind::NoTarget,
                retry: RetryWindow::after(Default::default()),
            }),
        }
    }

    /// Takes a request whose caller went away out of the queue.
    pub(crate) fn cancel(&self, waiter: WaiterId) {
        let mut state = self.lock();
        state.queue.cancel(waiter);
        state.waiting.remove(&waiter);
    }

    /// Hands free slots to the requests that wait and drops those that have
    /// waited too long.
    pub(crate) fn pump(
        &self,
        published: &Arc<Published>,
        service: ServiceIndex,
        now: TimeMs,
        rng: &mut impl Rng,
    ) {
        let mut state = self.lock();
        if state.queue.is_empty() {
            return;
        }
        for dropped in state.queue.expire(now) {
            state.turn_away(dropped);
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
                slot.close();
                return;
            };
            let Some(verdict) = state.waiting.remove(&waiter) else {
                slot.close();
                continue;
            };
            if let Err(Ok(slot)) = verdict.send(Ok(slot)) {
                // The caller went away while the slot was handed over.
                slot.close();
            }
        }
    }

    /// Returns the number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.lock().queue.len()
    }
}

impl GateState {
    fn turn_away(&mut self, dropped: DroppedWaiter) {
        let Some(verdict) = self.waiting.remove(&dropped.waiter) else {
            return;
        };
        // A caller that went away needs no refusal.
        let _ = verdict.send(Err(Turned {
            kind: dropped.kind,
            retry: dropped.retry,
        }));
    }
}

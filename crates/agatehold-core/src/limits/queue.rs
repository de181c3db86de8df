//! The queue in which a daemon's requests wait for a slot of one service.

use crate::config::TrafficClass;
use crate::ids::TenantName;
use crate::refusal::RefusalKind;
use crate::table::Table;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::Admission;
use super::DroppedWaiter;
use super::Offer;
use super::QueueLimits;
use super::RetryWindow;
use super::TenantSharing;
use super::WaiterId;
use super::class_arrivals::ClassArrivals;
use super::class_queue::ClassQueue;
use super::class_queue::Place;
use super::drain::DrainRate;
use super::return_schedule::ReturnSchedule;

/// How many slots go to higher-priority classes before a waiting class gets
/// one.
///
/// One slot in 31 keeps batch requests from starving. With one in 21, urgent
/// requests got 94.5% of the capacity under overload, below the goal of 95%.
pub const MAX_MISSED_SLOTS: u32 = 30;

/// The weight of the newest sample in the exponential moving average of run
/// times.
const NEWEST_RUN_WEIGHT: f64 = 0.05;

/// The minimum time left before the deadline for a request to be worth sending,
/// as a multiple of the mean run time.
///
/// Under overload, with callers whose deadline was three mean run times, the
/// share of the capacity that went into requests answered in time was 54% to 70%
/// with a multiple of 0.5, 80% to 86% with 1 and 90% to 93% with 1.5. With 2,
/// requests were refused even at a load of 0.8 times the capacity.
const MIN_RUN_TIMES_LEFT: f64 = 1.5;

#[derive(Clone, Debug)]
pub(super) struct WaiterRow {
    pub(super) offer: Offer,
    /// When the request is dropped unless it gets a slot before.
    expires_at: TimeMs,
    /// Why the request is refused when it expires.
    expiry_refusal: RefusalKind,
    /// The expected run time.
    cost_ms: f64,
}

/// The requests that wait for a slot of one service in one daemon.
///
/// Classes are served by priority, except that one slot in
/// [`MAX_MISSED_SLOTS`] + 1 goes to a waiting class of lower priority. Within a
/// class, tenants share as [`TenantSharing`] says.
#[derive(Debug)]
pub struct AdmissionQueue {
    pub(super) limits: QueueLimits,
    sharing: TenantSharing,
    /// The waiting requests.
    pub(super) waiters: Table<WaiterId, WaiterRow>,
    /// One queue for each class, highest priority first.
    pub(super) class_queues: [ClassQueue; 3],
    next_id: WaiterId,
    /// Requests that expired and that `expire` has not returned yet.
    expired: Vec<DroppedWaiter>,
    /// A lower bound of the expiry times of all waiting requests.
    earliest_expiry: TimeMs,
    pub(super) drain: DrainRate,
    /// The moving average of run times; 0 before the first sample.
    mean_run_ms: f64,
    /// The moving average of the expected run times of the requests that got a slot; 0
    /// before the first one.
    mean_cost_ms: f64,
    pub(super) arrivals: ClassArrivals,
    pub(super) returns: ReturnSchedule,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            sharing: TenantSharing::ByCount,
            waiters: Table::new(),
            class_queues: std::array::from_fn(|_| ClassQueue::new(TenantSharing::ByCount)),
            next_id: WaiterId::default(),
            expired: Vec::new(),
            earliest_expiry: TimeMs(u64::MAX),
            drain: DrainRate::default(),
            mean_run_ms: 0.0,
            mean_cost_ms: 0.0,
            arrivals: ClassArrivals::default(),
            returns: ReturnSchedule::default(),
        }
    }

    /// Changes how tenants share; requests that already wait are put in the new order.
    pub fn set_sharing(&mut self, sharing: TenantSharing) {
        if self.sharing == sharing {
            return;
        }
        self.sharing = sharing;
        for queue in &mut self.class_queues {
            let slots_missed = queue.slots_missed;
            *queue = ClassQueue::new(sharing);
            queue.slots_missed = slots_missed;
        }
        for (waiter, row) in self.waiters.rows() {
            let place = row.place(*waiter);
            self.class_queues[row.offer.class as usize].push(&row.offer.tenant, place);
        }
    }

    /// Changes the limits; requests that already wait stay queued.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns the estimated time until a request that is queued last now would
    /// get a slot; zero before the first estimate.
    pub fn backlog(&self, now: TimeMs) -> DurationMs {
        let backlog = self.drain.time_for(self.waiters.len() + 1, now);
        backlog.unwrap_or(DurationMs(0))
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the number of waiting requests of a class.
    pub fn len_of(&self, class: TrafficClass) -> usize {
        self.class_queues[class as usize].len()
    }

    /// Records how long a request ran at its target.
    pub fn record_run(&mut self, run_ms: DurationMs) {
        self.mean_run_ms = moving_average(self.mean_run_ms, run_ms.0 as f64);
    }

    /// Charges a tenant for what a request ran beyond `charged_ms`, or takes back what it
    /// was charged too much; nothing if tenants share by count.
    ///
    /// `charged_ms` is the expected run time of a request that got its slot from the
    /// queue, and 0 for one that didn't wait.
    pub fn charge_run(
        &mut self,
        class: TrafficClass,
        tenant: &TenantName,
        charged_ms: DurationMs,
        run_ms: DurationMs,
    ) {
        let work_ms = run_ms.0 as f64 - charged_ms.0 as f64;
        self.class_queues[class as usize].charge(tenant, work_ms);
    }

    /// Admits, queues or refuses a request.
    ///
    /// The request is admitted at once if a slot is free and no other request
    /// waits.
    pub fn offer(&mut self, offer: Offer, has_free_slot: bool, now: TimeMs) -> Admission {
        if has_free_slot && self.is_empty() {
            return Admission::Admitted;
        }
        if self.sharing == TenantSharing::ByWork {
            return self.offer_by_work(offer, now);
        }
        let latest_start = offer.deadline - self.min_time_left(&offer);
        if now >= latest_start {
            return self.refuse(RefusalKind::DeadlinePassed, now);
        }
        let (expires_at, expiry_refusal) = self.expiry_of(&offer, now);
        let class = offer.class as usize;
        // A class may always fill its reserve, whatever its estimated wait.
        // Otherwise a long estimate could keep the class empty, and a class
        // without waiting requests doesn't get its share of the slots.
        let in_reserve = self.class_queues[class].len() < self.reserve();
        if !in_reserve && now + self.estimated_wait(&offer, now) > expires_at {
            return self.refuse(expiry_refusal, now);
        }
        let mut displaced = None;
        if self.waiters.len() >= self.limits.places {
            let Some(victim) = self.find_displaced(&offer) else {
                return self.refuse(RefusalKind::QueueFull, now);
            };
            self.remove(victim);
            displaced = Some(DroppedWaiter {
                waiter: victim,
                kind: RefusalKind::QueueFull,
                retry: self.retry_window(now),
            });
        }
        let waiter = self.enqueue(offer, expires_at, expiry_refusal, now);
        Admission::Queued { waiter, displaced }
    }

    /// Adds a request at the end of its tenant's queue.
    pub(super) fn enqueue(
        &mut self,
        offer: Offer,
        expires_at: TimeMs,
        expiry_refusal: RefusalKind,
        now: TimeMs,
    ) -> WaiterId {
        let (waiter, row) = self.new_row(offer, expires_at, expiry_refusal, now);
        let place = row.place(waiter);
        self.class_queues[row.offer.class as usize].push(&row.offer.tenant, place);
        self.waiters.insert(waiter, row);
        waiter
    }

    /// Requeues a request that got a slot but found no target, ahead of its
    /// tenant's other requests.
    ///
    /// `offered_at` is when the request was first offered; the wait limit is
    /// measured from then. The queue may exceed its limit by up to the number of
    /// slots.
    pub fn put_back(&mut self, offer: Offer, offered_at: TimeMs, now: TimeMs) -> WaiterId {
        let (expires_at, expiry_refusal) = self.expiry_of(&offer, offered_at);
        let (waiter, row) = self.new_row(offer, expires_at, expiry_refusal, now);
        let place = row.place(waiter);
        self.class_queues[row.offer.class as usize].put_back(&row.offer.tenant, place);
        self.waiters.insert(waiter, row);
        waiter
    }

    /// Removes and returns the request that gets the slot that became free.
    ///
    /// Expired requests get no slot; `expire` returns them.
    pub fn assign_free_slot(&mut self, now: TimeMs) -> Option<WaiterId> {
        self.drop_expired(now);
        self.drain.record_free_slot(now);
        self.arrivals.record_free_slot(self.mean_cost_ms);
        let class = self.next_class()?;
        let waiter = self.class_queues[class].pop()?;
        self.count_slot(class);
        if let Some(row) = self.waiters.remove(&waiter) {
            self.mean_cost_ms = moving_average(self.mean_cost_ms, row.cost_ms);
        }
        self.note_if_empty();
        Some(waiter)
    }

    /// Drops and returns the requests that waited too long or can't meet their
    /// deadline any more.
    pub fn expire(&mut self, now: TimeMs) -> Vec<DroppedWaiter> {
        self.drop_expired(now);
        std::mem::take(&mut self.expired)
    }

    fn drop_expired(&mut self, now: TimeMs) {
        if now < self.earliest_expiry {
            return;
        }
        let retry = self.retry_window(now);
        let mut newly_expired = Vec::new();
        let mut earliest = TimeMs(u64::MAX);
        for (waiter, row) in self.waiters.rows() {
            if now < row.expires_at {
                earliest = earliest.min(row.expires_at);
                continue;
            }
            newly_expired.push(DroppedWaiter {
                waiter: *waiter,
                kind: row.expiry_refusal,
                retry,
            });
        }
        self.earliest_expiry = earliest;
        for dropped in newly_expired {
            if self.sharing == TenantSharing::ByWork {
                let dropped = self.drop_waiter(dropped.waiter, dropped.kind, now);
                self.expired.extend(dropped);
                continue;
            }
            self.remove(dropped.waiter);
            self.expired.push(dropped);
        }
    }

    /// Returns when to call `expire` next.
    pub fn next_expiry(&self) -> Option<TimeMs> {
        if !self.expired.is_empty() {
            return Some(TimeMs::default());
        }
        self.waiters.rows().map(|(_, row)| row.expires_at).min()
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(&mut self, waiter: WaiterId) {
        self.remove(waiter);
    }

    /// Removes all requests and returns them in the order in which they were
    /// queued.
    pub fn drain_all(&mut self) -> Vec<WaiterId> {
        let waiters: Vec<WaiterId> = self.waiters.keys().copied().collect();
        for waiter in &waiters {
            self.remove(*waiter);
        }
        waiters
    }

    pub(super) fn remove(&mut self, waiter: WaiterId) {
        let Some(row) = self.waiters.remove(&waiter) else {
            return;
        };
        let place = row.place(waiter);
        self.class_queues[row.offer.class as usize].remove(&row.offer.tenant, place);
        self.note_if_empty();
    }

    fn note_if_empty(&mut self) {
        if self.is_empty() {
            self.drain.end_wait();
            self.arrivals = ClassArrivals::default();
        }
    }

    /// Creates the row of a request that begins to wait.
    fn new_row(
        &mut self,
        offer: Offer,
        expires_at: TimeMs,
        expiry_refusal: RefusalKind,
        now: TimeMs,
    ) -> (WaiterId, WaiterRow) {
        self.drain.begin_wait(now);
        self.earliest_expiry = self.earliest_expiry.min(expires_at);
        let waiter = self.next_id;
        self.next_id = WaiterId(waiter.0 + 1);
        let cost_ms = self.cost_ms(&offer);
        let row = WaiterRow {
            offer,
            expires_at,
            expiry_refusal,
            cost_ms,
        };
        (waiter, row)
    }

    /// Returns the expected run time of a request.
    pub(super) fn cost_ms(&self, offer: &Offer) -> f64 {
        let cost_ms = match offer.expected_run_ms {
            Some(run_ms) => run_ms.0 as f64,
            None => self.mean_run_ms,
        };
        cost_ms.max(1.0)
    }

    /// Returns the mean expected run time of the requests that got a slot, or `cost_ms`
    /// if none has.
    pub(super) fn mean_cost_or(&self, cost_ms: f64) -> f64 {
        if self.mean_cost_ms == 0.0 {
            return cost_ms;
        }
        self.mean_cost_ms
    }

    /// Returns when a request expires and the refusal that it gets then.
    pub(super) fn expiry_of(&self, offer: &Offer, offered_at: TimeMs) -> (TimeMs, RefusalKind) {
        let latest_start = offer.deadline - self.min_time_left(offer);
        let waits_until = offered_at + self.limits.wait_ms;
        if latest_start < waits_until {
            return (latest_start, RefusalKind::DeadlinePassed);
        }
        (waits_until, RefusalKind::QueueTimeout)
    }

    /// Returns how long before its deadline a request may be sent at the latest.
    fn min_time_left(&self, offer: &Offer) -> DurationMs {
        let run_ms = match offer.expected_run_ms {
            Some(run_ms) if self.sharing == TenantSharing::ByWork => run_ms.0 as f64,
            _ => self.mean_run_ms,
        };
        DurationMs((run_ms * MIN_RUN_TIMES_LEFT) as u64)
    }

    /// Returns the index of the class that gets the next slot.
    fn next_class(&self) -> Option<usize> {
        let mut first = None;
        for (index, queue) in self.class_queues.iter().enumerate() {
            if queue.is_empty() {
                continue;
            }
            if first.is_none() {
                first = Some(index);
                continue;
            }
            if queue.slots_missed >= MAX_MISSED_SLOTS {
                return Some(index);
            }
        }
        first
    }

    /// Counts a slot given to the class `served` as missed by the other classes
    /// that have requests waiting.
    fn count_slot(&mut self, served: usize) {
        for (index, queue) in self.class_queues.iter_mut().enumerate() {
            queue.record_slot();
            if index == served {
                queue.slots_missed = 0;
            } else if !queue.is_empty() {
                queue.slots_missed = queue.slots_missed.saturating_add(1);
            }
        }
    }

    fn refuse(&self, kind: RefusalKind, now: TimeMs) -> Admission {
        Admission::Refused {
            kind,
            retry: self.retry_window(now),
        }
    }

    fn retry_window(&self, now: TimeMs) -> RetryWindow {
        RetryWindow::after(self.backlog(now))
    }
}

impl WaiterRow {
    fn place(&self, waiter: WaiterId) -> Place {
        Place {
            waiter,
            expires_at: self.expires_at,
            cost_ms: self.cost_ms,
        }
    }
}

/// Returns a moving average with a new sample; 0 stands for no earlier sample.
fn moving_average(mean: f64, sample: f64) -> f64 {
    let mean = if mean == 0.0 { sample } else { mean };
    mean + (sample - mean) * NEWEST_RUN_WEIGHT
}

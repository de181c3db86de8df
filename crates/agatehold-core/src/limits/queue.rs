//! The queue in which a daemon's requests wait for a slot of one service.

use std::fmt;
use std::str::FromStr;

use crate::config::ServiceRow;
use crate::config::TenantRow;
use crate::config::TrafficClass;
use crate::ids::ParseIdError;
use crate::ids::TenantName;
use crate::refusal::RefusalKind;
use crate::table::Table;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::RetryWindow;
use super::class_queue::ClassQueue;
use super::drain::DrainRate;

/// How many slots go to higher-priority classes before a waiting class gets
/// one.
///
/// One slot in 31 keeps batch requests from starving. With one in 21, urgent
/// requests got 94.5% of the capacity under overload, below the goal of 95%.
pub const MAX_MISSED_SLOTS: u32 = 30;

/// Each class has 1/16 of the queue's places in reserve: other classes can't
/// displace its requests while it has no more than that.
const CLASS_RESERVE_DIVISOR: usize = 16;

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

/// The identifier of a waiting request, unique within its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

impl fmt::Display for WaiterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for WaiterId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseIdError::Number)
    }
}

/// The limits of an [`AdmissionQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// The maximum number of waiting requests.
    pub places: usize,
    /// The maximum time that a request waits.
    pub wait_ms: DurationMs,
}

impl QueueLimits {
    /// Returns the limits configured for a service.
    pub const fn of(service: &ServiceRow) -> Self {
        Self {
            places: service.queue_limit as usize,
            wait_ms: service.queue_wait_ms,
        }
    }
}

/// Returns the class of a tenant's requests to a service: the lower-priority
/// one of the classes of the two.
pub fn effective_class(service: &ServiceRow, tenant: &TenantRow) -> TrafficClass {
    service.class.max(tenant.class)
}

/// A request that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The tenant that the request belongs to.
    pub tenant: TenantName,
    /// The traffic class of the request.
    pub class: TrafficClass,
    /// The deadline for the answer.
    pub deadline: TimeMs,
}

/// The result of [`AdmissionQueue::offer`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may choose a target now.
    Admitted,
    /// The request waits.
    Queued {
        /// The identifier of the request in the queue.
        waiter: WaiterId,
        /// A request that this one displaced; it must be refused.
        displaced: Option<DroppedWaiter>,
    },
    /// The request is refused; it did not run.
    Refused {
        /// Why it is refused.
        kind: RefusalKind,
        /// When the caller may retry.
        retry: RetryWindow,
    },
}

/// A request that left the queue without a slot; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DroppedWaiter {
    /// The identifier of the request.
    pub waiter: WaiterId,
    /// Why it is refused.
    pub kind: RefusalKind,
    /// When the caller may retry.
    pub retry: RetryWindow,
}

#[derive(Clone, Debug)]
struct WaiterRow {
    offer: Offer,
    /// When the request is dropped unless it gets a slot before.
    expires_at: TimeMs,
    /// Why the request is refused when it expires.
    expiry_refusal: RefusalKind,
}

/// The requests that wait for a slot of one service in one daemon.
///
/// Classes are served by priority, except that one slot in
/// [`MAX_MISSED_SLOTS`] + 1 goes to a waiting class of lower priority. Within a
/// class, tenants are served round-robin.
#[derive(Debug)]
pub struct AdmissionQueue {
    limits: QueueLimits,
    /// The waiting requests.
    waiters: Table<WaiterId, WaiterRow>,
    /// One queue for each class, highest priority first.
    class_queues: [ClassQueue; 3],
    next_id: WaiterId,
    /// Requests that expired and that `expire` has not returned yet.
    expired: Vec<DroppedWaiter>,
    /// A lower bound of the expiry times of all waiting requests.
    earliest_expiry: TimeMs,
    drain: DrainRate,
    /// The moving average of run times; 0 before the first sample.
    mean_run_ms: f64,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            waiters: Table::new(),
            class_queues: Default::default(),
            next_id: WaiterId::default(),
            expired: Vec::new(),
            earliest_expiry: TimeMs(u64::MAX),
            drain: DrainRate::default(),
            mean_run_ms: 0.0,
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
        let sample = run_ms.0 as f64;
        if self.mean_run_ms == 0.0 {
            self.mean_run_ms = sample;
        }
        self.mean_run_ms += (sample - self.mean_run_ms) * NEWEST_RUN_WEIGHT;
    }

    /// Admits, queues or refuses a request.
    ///
    /// The request is admitted at once if a slot is free and no other request
    /// waits.
    pub fn offer(&mut self, offer: Offer, has_free_slot: bool, now: TimeMs) -> Admission {
        if has_free_slot && self.is_empty() {
            return Admission::Admitted;
        }
        let latest_start = offer.deadline - self.min_time_left();
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
        let waiter = self.next_waiter_id();
        self.drain.begin_wait(now);
        self.class_queues[class].push_back(&offer.tenant, waiter);
        self.insert_row(waiter, offer, expires_at, expiry_refusal);
        Admission::Queued { waiter, displaced }
    }

    /// Requeues a request that got a slot but found no target, ahead of its
    /// tenant's other requests.
    ///
    /// `offered_at` is when the request was first offered; the wait limit is
    /// measured from then. The queue may exceed its limit by up to the number of
    /// slots.
    pub fn put_back(&mut self, offer: Offer, offered_at: TimeMs, now: TimeMs) -> WaiterId {
        let (expires_at, expiry_refusal) = self.expiry_of(&offer, offered_at);
        let waiter = self.next_waiter_id();
        self.drain.begin_wait(now);
        self.class_queues[offer.class as usize].push_front(&offer.tenant, waiter);
        self.insert_row(waiter, offer, expires_at, expiry_refusal);
        waiter
    }

    /// Removes and returns the request that gets the slot that became free.
    ///
    /// Expired requests get no slot; `expire` returns them.
    pub fn assign_free_slot(&mut self, now: TimeMs) -> Option<WaiterId> {
        self.drop_expired(now);
        self.drain.record_free_slot(now);
        let class = self.next_class()?;
        let waiter = self.class_queues[class].pop()?;
        self.count_slot(class);
        self.waiters.remove(&waiter);
        if self.is_empty() {
            self.drain.end_wait();
        }
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

    fn remove(&mut self, waiter: WaiterId) {
        let Some(row) = self.waiters.remove(&waiter) else {
            return;
        };
        self.class_queues[row.offer.class as usize].remove(&row.offer.tenant, waiter);
        if self.is_empty() {
            self.drain.end_wait();
        }
    }

    fn insert_row(
        &mut self,
        waiter: WaiterId,
        offer: Offer,
        expires_at: TimeMs,
        expiry_refusal: RefusalKind,
    ) {
        self.earliest_expiry = self.earliest_expiry.min(expires_at);
        let row = WaiterRow {
            offer,
            expires_at,
            expiry_refusal,
        };
        self.waiters.insert(waiter, row);
    }

    fn next_waiter_id(&mut self) -> WaiterId {
        let waiter = self.next_id;
        self.next_id = WaiterId(waiter.0 + 1);
        waiter
    }

    /// Returns when a request expires and the refusal that it gets then.
    fn expiry_of(&self, offer: &Offer, offered_at: TimeMs) -> (TimeMs, RefusalKind) {
        let latest_start = offer.deadline - self.min_time_left();
        let waits_until = offered_at + self.limits.wait_ms;
        if latest_start < waits_until {
            return (latest_start, RefusalKind::DeadlinePassed);
        }
        (waits_until, RefusalKind::QueueTimeout)
    }

    /// Returns how long before its deadline a request may be sent at the latest.
    fn min_time_left(&self) -> DurationMs {
        DurationMs((self.mean_run_ms * MIN_RUN_TIMES_LEFT) as u64)
    }

    /// Returns the number of places reserved for each class.
    fn reserve(&self) -> usize {
        (self.limits.places / CLASS_RESERVE_DIVISOR).max(1)
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
            if index == served {
                queue.slots_missed = 0;
            } else if !queue.is_empty() {
                queue.slots_missed = queue.slots_missed.saturating_add(1);
            }
        }
    }

    fn estimated_wait(&self, offer: &Offer, now: TimeMs) -> DurationMs {
        let own = offer.class as usize;
        let mut ahead = self.class_queues[own].ahead_of(&offer.tenant);
        for queue in &self.class_queues[..own] {
            ahead += queue.len();
        }
        self.drain.time_for(ahead + 1, now).unwrap_or(DurationMs(0))
    }

    /// Returns the request that `offer` displaces from a full queue, if any.
    ///
    /// The choices, in order: a request of a lower-priority class that is above
    /// its reserve; one of the tenant with the most requests of the same class, if
    /// it has more than the tenant of `offer` would then have; and, if the class of
    /// `offer` is below its reserve, one of a higher-priority class that is above
    /// its reserve.
    fn find_displaced(&self, offer: &Offer) -> Option<WaiterId> {
        let own = offer.class as usize;
        let reserve = self.reserve();
        for queue in self.class_queues[own + 1..].iter().rev() {
            if queue.len() > reserve {
                return queue.newest_of_longest().map(|(waiter, _)| waiter);
            }
        }
        let own_queue = &self.class_queues[own];
        if let Some((waiter, places)) = own_queue.newest_of_longest()
            && places > own_queue.len_of(&offer.tenant) + 1
        {
            return Some(waiter);
        }
        if own_queue.len() >= reserve {
            return None;
        }
        for queue in self.class_queues[..own].iter().rev() {
            if queue.len() > reserve {
                return queue.newest_of_longest().map(|(waiter, _)| waiter);
            }
        }
        None
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

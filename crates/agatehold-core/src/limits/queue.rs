//! The admission queue of one service.

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
use super::drain::DrainRate;
use super::lane::Lane;

/// How many slots go to better classes before a waiting class has a turn.
///
/// One slot in 31 keeps batch requests moving. With one in 21 urgent requests
/// got 94.5% of the capacity under overload, below the aim of 95%.
pub const LANE_TURN_SLOTS: u32 = 30;

/// The share of the queue that other classes can't take from a class.
const LANE_RESERVE_DIVISOR: usize = 16;

/// The weight of the newest run time in the moving average.
const NEWEST_RUN_WEIGHT: f64 = 0.05;

/// How many mean run times a request needs to be worth sending.
///
/// With callers that wait for three mean run times, under overload, 54% to 70%
/// of the capacity was answered in time at 0.5, 80% to 86% at 1 and 90% to 93%
/// at 1.5. At 2 requests were refused that 0.8 times the capacity could run.
const RUN_TIMES_NEEDED: f64 = 1.5;

/// A request in an admission queue.
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

/// The bounds of an [`AdmissionQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// The number of requests that wait.
    pub places: usize,
    /// How long a request waits.
    pub wait_ms: DurationMs,
}

impl QueueLimits {
    /// Returns the bounds that a service's policy sets.
    pub const fn of(service: &ServiceRow) -> Self {
        Self {
            places: service.queue_limit as usize,
            wait_ms: service.queue_wait_ms,
        }
    }
}

/// Returns the class of a tenant's requests to a service: the later one.
pub fn effective_class(service: &ServiceRow, tenant: &TenantRow) -> TrafficClass {
    service.class.max(tenant.class)
}

/// A request that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The tenant.
    pub tenant: TenantName,
    /// The class.
    pub class: TrafficClass,
    /// When the answer has to be back.
    pub deadline: TimeMs,
}

/// The answer to an [`Offer`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may choose a target now.
    Admitted,
    /// The request waits.
    Queued {
        /// The request's name in the queue.
        waiter: WaiterId,
        /// A request that lost its place to this one and has to be refused.
        displaced: Option<Dropped>,
    },
    /// The request is refused; it did not run.
    Refused {
        /// The reason.
        kind: RefusalKind,
        /// When the caller may come back.
        retry: RetryWindow,
    },
}

/// A request that left the queue without a slot; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// The request.
    pub waiter: WaiterId,
    /// The reason.
    pub kind: RefusalKind,
    /// When the caller may come back.
    pub retry: RetryWindow,
}

#[derive(Clone, Debug)]
struct WaiterRow {
    offer: Offer,
    /// When the request is dropped.
    expires_at: TimeMs,
    /// The refusal if it is dropped then.
    expiry: RefusalKind,
}

/// The requests that wait for a slot of one service in one daemon.
///
/// Classes go in order, with one slot in [`LANE_TURN_SLOTS`] + 1 for a class
/// that better ones keep waiting. Within a class tenants take turns.
#[derive(Debug)]
pub struct AdmissionQueue {
    limits: QueueLimits,
    /// The waiting requests; at most the limit.
    waiters: Table<WaiterId, WaiterRow>,
    /// One lane for each class, in the order of the classes.
    lanes: [Lane; 3],
    next: WaiterId,
    /// Requests that left without a slot, until `expire` returns them.
    dropped: Vec<Dropped>,
    /// At most the expiry of each waiting request.
    earliest_expiry: TimeMs,
    drain: DrainRate,
    mean_run_ms: f64,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            waiters: Table::new(),
            lanes: Default::default(),
            next: WaiterId::default(),
            dropped: Vec::new(),
            earliest_expiry: TimeMs(u64::MAX),
            drain: DrainRate::default(),
            mean_run_ms: 0.0,
        }
    }

    /// Changes the bounds; requests that already wait keep their places.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns the time in which the requests that wait are expected to get
    /// their slots.
    pub fn backlog(&self, now: TimeMs) -> DurationMs {
        let backlog = self.drain.time_for(self.waiters.len() + 1, now);
        backlog.unwrap_or(DurationMs(0))
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the waiting requests of a class.
    pub fn len_of(&self, class: TrafficClass) -> usize {
        self.lanes[class as usize].len()
    }

    /// Records the time that a request took at its target.
    pub fn record_run(&mut self, run_ms: DurationMs) {
        let sample = run_ms.0 as f64;
        if self.mean_run_ms == 0.0 {
            self.mean_run_ms = sample;
        }
        self.mean_run_ms += (sample - self.mean_run_ms) * NEWEST_RUN_WEIGHT;
    }

    /// Takes in a request, while a slot is free or not.
    ///
    /// With a free slot and nobody waiting the request is admitted at once.
    pub fn offer(&mut self, offer: Offer, has_free_slot: bool, now: TimeMs) -> Admission {
        if has_free_slot && self.is_empty() {
            return Admission::Admitted;
        }
        let latest_start = offer.deadline - self.needed_run();
        if now >= latest_start {
            return self.refuse(RefusalKind::DeadlinePassed, now);
        }
        let (expires_at, expiry) = self.expiry_of(&offer, now);
        let lane = offer.class as usize;
        // A class may always fill its reserve; otherwise a long estimate would
        // keep the class empty, and an empty class has no turns.
        let in_reserve = self.lanes[lane].len() < self.reserve();
        if !in_reserve && now + self.estimated_wait(&offer, now) > expires_at {
            return self.refuse(expiry, now);
        }
        let mut displaced = None;
        if self.waiters.len() >= self.limits.places {
            let Some(victim) = self.find_displaced(&offer) else {
                return self.refuse(RefusalKind::QueueFull, now);
            };
            self.remove(victim);
            displaced = Some(Dropped {
                waiter: victim,
                kind: RefusalKind::QueueFull,
                retry: self.retry_window(now),
            });
        }
        let waiter = self.take_number();
        self.drain.begin_wait(now);
        self.lanes[lane].push_back(&offer.tenant, waiter);
        self.insert_row(waiter, offer, expires_at, expiry);
        Admission::Queued { waiter, displaced }
    }

    /// Puts back a request that had its turn and found no target, ahead of its
    /// tenant's other requests.
    ///
    /// `offered_at` is the time of its offer; the wait doesn't begin anew. The
    /// queue may exceed its limit by the number of slots this way.
    pub fn put_back(&mut self, offer: Offer, offered_at: TimeMs, now: TimeMs) -> WaiterId {
        let (expires_at, expiry) = self.expiry_of(&offer, offered_at);
        let waiter = self.take_number();
        self.drain.begin_wait(now);
        self.lanes[offer.class as usize].push_front(&offer.tenant, waiter);
        self.insert_row(waiter, offer, expires_at, expiry);
        waiter
    }

    /// Gives a free slot to the request whose turn it is.
    ///
    /// Requests that are due to be dropped get no slot; `expire` returns them.
    pub fn slot_free(&mut self, now: TimeMs) -> Option<WaiterId> {
        self.drop_due(now);
        self.drain.record_free_slot(now);
        let lane = self.next_lane()?;
        let waiter = self.lanes[lane].pop()?;
        self.count_turn(lane);
        self.waiters.remove(&waiter);
        if self.is_empty() {
            self.drain.end_wait();
        }
        Some(waiter)
    }

    /// Drops the requests whose wait is over or whose deadline can't be met.
    pub fn expire(&mut self, now: TimeMs) -> Vec<Dropped> {
        self.drop_due(now);
        std::mem::take(&mut self.dropped)
    }

    fn drop_due(&mut self, now: TimeMs) {
        if now < self.earliest_expiry {
            return;
        }
        let retry = self.retry_window(now);
        let mut due = Vec::new();
        let mut earliest = TimeMs(u64::MAX);
        for (waiter, row) in self.waiters.rows() {
            if now < row.expires_at {
                earliest = earliest.min(row.expires_at);
                continue;
            }
            due.push(Dropped {
                waiter: *waiter,
                kind: row.expiry,
                retry,
            });
        }
        self.earliest_expiry = earliest;
        for dropped in due {
            self.remove(dropped.waiter);
            self.dropped.push(dropped);
        }
    }

    /// Returns when the next request is due to be dropped.
    pub fn next_expiry(&self) -> Option<TimeMs> {
        if !self.dropped.is_empty() {
            return Some(TimeMs::default());
        }
        self.waiters.rows().map(|(_, row)| row.expires_at).min()
    }

    /// Removes a request whose caller went away.
    pub fn cancel(&mut self, waiter: WaiterId) {
        self.remove(waiter);
    }

    /// Removes all requests, in the order of their arrival.
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
        self.lanes[row.offer.class as usize].remove(&row.offer.tenant, waiter);
        if self.is_empty() {
            self.drain.end_wait();
        }
    }

    fn insert_row(
        &mut self,
        waiter: WaiterId,
        offer: Offer,
        expires_at: TimeMs,
        expiry: RefusalKind,
    ) {
        self.earliest_expiry = self.earliest_expiry.min(expires_at);
        let row = WaiterRow {
            offer,
            expires_at,
            expiry,
        };
        self.waiters.insert(waiter, row);
    }

    fn take_number(&mut self) -> WaiterId {
        let waiter = self.next;
        self.next = WaiterId(waiter.0 + 1);
        waiter
    }

    /// Returns when a request is dropped, and the refusal it gets then.
    fn expiry_of(&self, offer: &Offer, offered_at: TimeMs) -> (TimeMs, RefusalKind) {
        let latest_start = offer.deadline - self.needed_run();
        let waits_until = offered_at + self.limits.wait_ms;
        if latest_start < waits_until {
            return (latest_start, RefusalKind::DeadlinePassed);
        }
        (waits_until, RefusalKind::QueueTimeout)
    }

    fn needed_run(&self) -> DurationMs {
        DurationMs((self.mean_run_ms * RUN_TIMES_NEEDED) as u64)
    }

    fn reserve(&self) -> usize {
        (self.limits.places / LANE_RESERVE_DIVISOR).max(1)
    }

    /// Returns the lane that gets the next slot.
    fn next_lane(&self) -> Option<usize> {
        let mut first = None;
        for (index, lane) in self.lanes.iter().enumerate() {
            if lane.is_empty() {
                continue;
            }
            if first.is_none() {
                first = Some(index);
                continue;
            }
            if lane.passed_over >= LANE_TURN_SLOTS {
                return Some(index);
            }
        }
        first
    }

    fn count_turn(&mut self, served: usize) {
        for (index, lane) in self.lanes.iter_mut().enumerate() {
            if index == served {
                lane.passed_over = 0;
            } else if !lane.is_empty() {
                lane.passed_over = lane.passed_over.saturating_add(1);
            }
        }
    }

    fn estimated_wait(&self, offer: &Offer, now: TimeMs) -> DurationMs {
        let own = offer.class as usize;
        let mut ahead = self.lanes[own].ahead_of(&offer.tenant);
        for lane in &self.lanes[..own] {
            ahead += lane.len();
        }
        self.drain.time_for(ahead + 1, now).unwrap_or(DurationMs(0))
    }

    /// Returns the request that loses its place in a full queue to `offer`.
    ///
    /// First a request of a later class above its reserve, then one of the
    /// tenant that holds the most places of the same class, and for a class
    /// below its reserve one of a better class.
    fn find_displaced(&self, offer: &Offer) -> Option<WaiterId> {
        let own = offer.class as usize;
        let reserve = self.reserve();
        for lane in self.lanes[own + 1..].iter().rev() {
            if lane.len() > reserve {
                return lane.newest_of_longest().map(|(waiter, _)| waiter);
            }
        }
        let own_lane = &self.lanes[own];
        if let Some((waiter, places)) = own_lane.newest_of_longest()
            && places > own_lane.len_of(&offer.tenant) + 1
        {
            return Some(waiter);
        }
        if own_lane.len() >= reserve {
            return None;
        }
        for lane in self.lanes[..own].iter().rev() {
            if lane.len() > reserve {
                return lane.newest_of_longest().map(|(waiter, _)| waiter);
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

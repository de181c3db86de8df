//! Simulates one daemon with one service in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use rand::RngExt;
use rand_pcg::Pcg64;

use agatehold_core::config::TrafficClass;
use agatehold_core::ids::TenantName;
use agatehold_core::limits::Admission;
use agatehold_core::limits::AdmissionQueue;
use agatehold_core::limits::DroppedWaiter;
use agatehold_core::limits::Offer;
use agatehold_core::limits::QueueLimits;
use agatehold_core::limits::WaiterId;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

/// The length of one run in virtual time.
pub const RUN_MS: u64 = 60_000;

/// Requests that arrive before this time are not counted.
pub const WARM_UP_MS: u64 = 5_000;

/// The mean time that a target takes to run a request.
pub const MEAN_RUN_MS: f64 = 50.0;

/// The requests of one tenant, with exponentially distributed interarrival times.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The tenant that sends the requests.
    pub tenant: TenantName,
    /// The traffic class of the requests.
    pub class: TrafficClass,
    /// The mean number of requests per second.
    pub rate_per_s: f64,
    /// How long a caller waits for the answer.
    pub timeout_ms: DurationMs,
}

/// How the daemon admits requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// With the admission queue that agatehold uses.
    Admission(QueueLimits),
    /// With one unlimited FIFO queue, for comparison.
    Unlimited,
}

/// The results of one stream's requests; those of the warm-up are not counted.
#[derive(Clone, Debug, Default)]
pub struct StreamResult {
    /// The number of requests that arrived.
    pub offered: u32,
    /// The number of requests answered by their deadline.
    pub in_time: u32,
    /// The number of requests that ran and were answered after their deadline.
    pub late: u32,
    /// The number of requests refused on arrival.
    pub refused: u32,
    /// The number of requests dropped from the queue.
    pub dropped: u32,
    /// The queueing times of the requests that ran.
    pub waits_ms: Vec<u64>,
}

impl StreamResult {
    /// Returns the 99th percentile of the queueing times, or 0 without any.
    pub fn p99_wait_ms(&self) -> u64 {
        let mut waits = self.waits_ms.clone();
        waits.sort_unstable();
        let rank = (waits.len() * 99).div_ceil(100);
        waits.get(rank.saturating_sub(1)).copied().unwrap_or(0)
    }

    /// Adds the results of `other`.
    pub fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.dropped += other.dropped;
        self.waits_ms.extend(&other.waits_ms);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { stream: usize },
    Finish { request: usize, run_ms: u64 },
}

struct Request {
    stream: usize,
    arrived: TimeMs,
    deadline: TimeMs,
}

struct Simulation<'a> {
    streams: &'a [Stream],
    queue: AdmissionQueue,
    policy: Policy,
    rng: Pcg64,
    /// The events by time and sequence number.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
    free_slots: u32,
    requests: Vec<Request>,
    /// The requests in `queue`, as positions in `requests`.
    waiting: BTreeMap<WaiterId, usize>,
    results: Vec<StreamResult>,
}

/// Runs `streams` against a service with `slots` slots and returns the result of
/// each stream.
pub fn run(streams: &[Stream], slots: u32, policy: Policy, seed: u64) -> Vec<StreamResult> {
    let limits = match policy {
        Policy::Admission(limits) => limits,
        Policy::Unlimited => QueueLimits {
            places: usize::MAX,
            wait_ms: DurationMs(u64::MAX / 4),
        },
    };
    let mut simulation = Simulation {
        streams,
        queue: AdmissionQueue::new(limits),
        policy,
        rng: Pcg64::new(u128::from(seed), 1),
        events: BinaryHeap::new(),
        scheduled: 0,
        free_slots: slots,
        requests: Vec::new(),
        waiting: BTreeMap::new(),
        results: vec![StreamResult::default(); streams.len()],
    };
    for stream in 0..streams.len() {
        simulation.schedule_arrival(stream, 0);
    }
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        let now = TimeMs(at);
        for dropped in simulation.queue.expire(now) {
            simulation.count_dropped(dropped);
        }
        match event {
            Event::Arrive { stream } => simulation.arrive(stream, now),
            Event::Finish { request, run_ms } => simulation.finish(request, run_ms, now),
        }
    }
    simulation.results
}

impl Simulation<'_> {
    fn schedule(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, self.scheduled, event)));
        self.scheduled += 1;
    }

    fn schedule_arrival(&mut self, stream: usize, now: u64) {
        let mean_ms = 1_000.0 / self.streams[stream].rate_per_s;
        // Microseconds, rounded at random to milliseconds, keep the mean exact
        // also for rates above one request per millisecond.
        let interarrival_us = (exponential(&mut self.rng, mean_ms) * 1_000.0) as u64;
        let at = now
            + interarrival_us / 1_000
            + u64::from(self.rng.random_range(0..1_000) < interarrival_us % 1_000);
        if at < RUN_MS {
            self.schedule(at, Event::Arrive { stream });
        }
    }

    fn arrive(&mut self, stream: usize, now: TimeMs) {
        self.schedule_arrival(stream, now.0);
        let source = &self.streams[stream];
        let request = self.requests.len();
        let deadline = now + source.timeout_ms;
        self.requests.push(Request {
            stream,
            arrived: now,
            deadline,
        });
        if now.0 >= WARM_UP_MS {
            self.results[stream].offered += 1;
        }
        let offer = match self.policy {
            Policy::Admission(_) => Offer {
                tenant: source.tenant.clone(),
                class: source.class,
                deadline,
                expected_run_ms: None,
                caller_deadline: None,
            },
            Policy::Unlimited => Offer {
                tenant: self.streams[0].tenant.clone(),
                class: TrafficClass::Normal,
                deadline: TimeMs(u64::MAX / 2),
                expected_run_ms: None,
                caller_deadline: None,
            },
        };
        match self.queue.offer(offer, self.free_slots > 0, now) {
            Admission::Admitted => self.start(request, now),
            Admission::Queued { waiter, displaced } => {
                self.waiting.insert(waiter, request);
                if let Some(displaced) = displaced {
                    self.count_dropped(displaced);
                }
            }
            Admission::Refused { .. } if now.0 >= WARM_UP_MS => self.results[stream].refused += 1,
            Admission::Refused { .. } => {}
        }
    }

    fn start(&mut self, request: usize, now: TimeMs) {
        self.free_slots -= 1;
        let arrived = self.requests[request].arrived;
        let stream = self.requests[request].stream;
        if arrived.0 >= WARM_UP_MS {
            self.results[stream].waits_ms.push(now.since(arrived).0);
        }
        // Half of the run time is fixed, since every request has a minimum cost.
        let run_ms = MEAN_RUN_MS / 2.0 + exponential(&mut self.rng, MEAN_RUN_MS / 2.0);
        let run_ms = run_ms.round() as u64;
        self.schedule(now.0 + run_ms, Event::Finish { request, run_ms });
    }

    fn finish(&mut self, request: usize, run_ms: u64, now: TimeMs) {
        self.free_slots += 1;
        self.queue.record_run(DurationMs(run_ms));
        let done = &self.requests[request];
        let result = &mut self.results[done.stream];
        if done.arrived.0 >= WARM_UP_MS {
            if now <= done.deadline {
                result.in_time += 1;
            } else {
                result.late += 1;
            }
        }
        if let Some(waiter) = self.queue.assign_free_slot(now)
            && let Some(next) = self.waiting.remove(&waiter)
        {
            self.start(next, now);
        }
        for dropped in self.queue.expire(now) {
            self.count_dropped(dropped);
        }
    }

    fn count_dropped(&mut self, dropped: DroppedWaiter) {
        let Some(request) = self.waiting.remove(&dropped.waiter) else {
            return;
        };
        let request = &self.requests[request];
        if request.arrived.0 >= WARM_UP_MS {
            self.results[request.stream].dropped += 1;
        }
    }
}

/// Draws from the exponential distribution with mean `mean`.
pub fn exponential(rng: &mut Pcg64, mean: f64) -> f64 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    -mean * uniform.ln()
}

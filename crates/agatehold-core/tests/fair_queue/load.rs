//! Simulates one daemon with one service, whose tenants share by work, in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::ops::Range;

use rand::RngExt;
use rand_pcg::Pcg64;

use agatehold_core::config::TrafficClass;
use agatehold_core::limits::Admission;
use agatehold_core::limits::AdmissionQueue;
use agatehold_core::limits::Offer;
use agatehold_core::limits::QueueLimits;
use agatehold_core::limits::RetryWindow;
use agatehold_core::limits::TenantSharing;
use agatehold_core::limits::WaiterId;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

const CLASSES: [TrafficClass; 3] = [
    TrafficClass::Urgent,
    TrafficClass::Normal,
    TrafficClass::Batch,
];

/// What callers do when they are refused, up to three times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refused {
    GivesUp,
    RetriesAtOnce,
    /// Returns when it was told to, if that is within a third of the time it has left.
    ReturnsAsTold,
}

/// The requests of one tenant, with exponentially distributed interarrival times.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    pub(crate) class: usize,
    pub(crate) rate_per_s: f64,
    /// The factor on the rate in the time `Load::surge`.
    pub(crate) surge_factor: f64,
    pub(crate) cost_ms: u64,
    pub(crate) expected_ms: u64,
    pub(crate) refused: Refused,
}

#[derive(Clone, Debug)]
pub(crate) struct Load {
    /// The streams; each is a tenant.
    pub(crate) streams: Vec<Stream>,
    pub(crate) slots: u32,
    /// When streams send more, in ms.
    pub(crate) surge: Range<u64>,
    /// When only half of the slots take requests, in ms.
    pub(crate) half_of_slots: Range<u64>,
    pub(crate) timeout_ms: u64,
    pub(crate) end_ms: u64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct StreamResult {
    pub(crate) offered: u32,
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    /// Refusals on arrival.
    pub(crate) refusals: u32,
    /// Requests that gave up their place to others.
    pub(crate) displaced: u32,
    /// Requests that waited as long as they could.
    pub(crate) expired: u32,
    pub(crate) work_ms: u64,
    pub(crate) waits_ms: Vec<u64>,
    /// When requests arrived, those that came back included.
    pub(crate) arrivals: Vec<u64>,
}

impl StreamResult {
    pub(crate) fn served(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered.max(1))
    }

    pub(crate) fn p99_wait_ms(&self) -> u64 {
        let mut waits = self.waits_ms.clone();
        waits.sort_unstable();
        waits.get(waits.len() * 99 / 100).copied().unwrap_or(0)
    }
}

/// Returns the sum of some streams.
pub(crate) fn total<'a>(results: impl IntoIterator<Item = &'a StreamResult>) -> StreamResult {
    let mut sum = StreamResult::default();
    for result in results {
        sum.offered += result.offered;
        sum.in_time += result.in_time;
        sum.late += result.late;
        sum.refusals += result.refusals;
        sum.displaced += result.displaced;
        sum.expired += result.expired;
        sum.work_ms += result.work_ms;
        sum.waits_ms.extend(&result.waits_ms);
        sum.arrivals.extend(&result.arrivals);
    }
    sum
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    New(usize),
    Return(usize),
    Finish(usize),
    SlotsChange,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    stream: usize,
    offered_at: u64,
    deadline: u64,
    refusals: u32,
    /// The work that the tenant was charged for when the request got its slot.
    charged_ms: u64,
}

struct Simulation<'a> {
    load: &'a Load,
    queue: AdmissionQueue,
    rng: Pcg64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
    busy: u32,
    requests: Vec<Request>,
    waiting: BTreeMap<WaiterId, usize>,
    results: Vec<StreamResult>,
}

pub(crate) fn run(load: &Load, seed: u128) -> Vec<StreamResult> {
    let mut queue = AdmissionQueue::new(QueueLimits {
        places: 128,
        wait_ms: DurationMs(load.timeout_ms / 2),
    });
    queue.set_sharing(TenantSharing::ByWork);
    let mut simulation = Simulation {
        load,
        queue,
        rng: Pcg64::new(seed, 1),
        events: BinaryHeap::new(),
        scheduled: 0,
        busy: 0,
        requests: Vec::new(),
        waiting: BTreeMap::new(),
        results: vec![StreamResult::default(); load.streams.len()],
    };
    for stream in 0..load.streams.len() {
        simulation.schedule_new(stream, 0);
    }
    simulation.schedule(load.half_of_slots.end, Event::SlotsChange);
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        match event {
            Event::New(stream) => simulation.arrive_new(stream, now),
            Event::Return(request) => simulation.offer(request, now),
            Event::Finish(request) => simulation.finish(request, now),
            Event::SlotsChange => {}
        }
        simulation.assign(now);
    }
    assert!(
        simulation.waiting.is_empty() && simulation.queue.is_empty(),
        "requests left in the queue or lost from it"
    );
    simulation.results
}

impl Simulation<'_> {
    fn schedule(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, self.scheduled, event)));
        self.scheduled += 1;
    }

    fn schedule_new(&mut self, stream: usize, now: u64) {
        let source = &self.load.streams[stream];
        let factor = if self.load.surge.contains(&now) {
            source.surge_factor
        } else {
            1.0
        };
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let interval_ms = -uniform.ln() * 1_000.0 / (source.rate_per_s * factor);
        // Rounded at random, which keeps the mean.
        let rounding: f64 = self.rng.random_range(0.0..1.0);
        let at = now + (interval_ms + rounding) as u64;
        if at < self.load.end_ms {
            self.schedule(at, Event::New(stream));
        }
    }

    fn arrive_new(&mut self, stream: usize, now: u64) {
        self.schedule_new(stream, now);
        self.requests.push(Request {
            stream,
            offered_at: now,
            deadline: now + self.load.timeout_ms,
            refusals: 0,
            charged_ms: 0,
        });
        self.results[stream].offered += 1;
        self.offer(self.requests.len() - 1, now);
    }

    fn slots(&self, now: u64) -> u32 {
        if self.load.half_of_slots.contains(&now) {
            return self.load.slots / 2;
        }
        self.load.slots
    }

    fn offer(&mut self, request: usize, now: u64) {
        let row = self.requests[request];
        let source = &self.load.streams[row.stream];
        self.results[row.stream].arrivals.push(now);
        let offer = Offer {
            tenant: format!("tenant-{}", row.stream).parse().unwrap(),
            class: CLASSES[source.class],
            deadline: TimeMs(row.deadline),
            expected_run_ms: Some(DurationMs(source.expected_ms)),
            caller_deadline: Some(TimeMs(row.deadline)),
        };
        let has_free_slot = self.busy < self.slots(now);
        match self.queue.offer(offer, has_free_slot, TimeMs(now)) {
            Admission::Admitted => self.start(request, now),
            Admission::Queued { waiter, displaced } => {
                self.requests[request].charged_ms = source.expected_ms;
                self.waiting.insert(waiter, request);
                if let Some(dropped) = displaced {
                    let victim = self.requests[self.waiting[&dropped.waiter]];
                    self.results[victim.stream].displaced += 1;
                    self.drop_waiter(dropped.waiter, dropped.retry, now);
                }
            }
            Admission::Refused { retry, .. } => {
                self.results[row.stream].refusals += 1;
                self.refuse(request, retry, now);
            }
        }
    }

    fn drop_waiter(&mut self, waiter: WaiterId, retry: RetryWindow, now: u64) {
        let request = self.waiting.remove(&waiter).unwrap();
        self.refuse(request, retry, now);
    }

    fn refuse(&mut self, request: usize, retry: RetryWindow, now: u64) {
        let row = &mut self.requests[request];
        row.refusals += 1;
        row.charged_ms = 0;
        let left_ms = row.deadline.saturating_sub(now);
        let after_ms = match self.load.streams[row.stream].refused {
            Refused::RetriesAtOnce => 1,
            Refused::ReturnsAsTold if retry.from_ms.0 <= left_ms / 3 => retry.from_ms.0,
            Refused::ReturnsAsTold | Refused::GivesUp => return,
        };
        if row.refusals <= 3 && after_ms < left_ms {
            self.schedule(now + after_ms, Event::Return(request));
        }
    }

    fn start(&mut self, request: usize, now: u64) {
        self.busy += 1;
        let row = self.requests[request];
        let result = &mut self.results[row.stream];
        result.waits_ms.push(now - row.offered_at);
        let cost_ms = self.load.streams[row.stream].cost_ms;
        self.schedule(now + cost_ms, Event::Finish(request));
    }

    fn finish(&mut self, request: usize, now: u64) {
        self.busy -= 1;
        let row = self.requests[request];
        let source = &self.load.streams[row.stream];
        let run_ms = DurationMs(source.cost_ms);
        self.queue.record_run(run_ms);
        let tenant = format!("tenant-{}", row.stream).parse().unwrap();
        let charged_ms = DurationMs(row.charged_ms);
        self.queue
            .charge_run(CLASSES[source.class], &tenant, charged_ms, run_ms);
        let result = &mut self.results[row.stream];
        result.work_ms += source.cost_ms;
        if now <= row.deadline {
            result.in_time += 1;
        } else {
            result.late += 1;
        }
    }

    fn assign(&mut self, now: u64) {
        while !self.queue.is_empty() && self.busy < self.slots(now) {
            let Some(waiter) = self.queue.assign_free_slot(TimeMs(now)) else {
                break;
            };
            let request = self.waiting.remove(&waiter).unwrap();
            self.start(request, now);
        }
        for dropped in self.queue.expire(TimeMs(now)) {
            let expired = self.requests[self.waiting[&dropped.waiter]];
            self.results[expired.stream].expired += 1;
            self.drop_waiter(dropped.waiter, dropped.retry, now);
        }
    }
}

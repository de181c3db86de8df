//! Simulates several daemons that send requests to the same targets without
//! seeing each other's requests.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::error::Error;
use std::net::SocketAddr;

use rand::RngExt;
use rand_pcg::Pcg64;

use agatehold_core::config::ConfigTables;
use agatehold_core::config::ServiceRow;
use agatehold_core::config::TargetRow;
use agatehold_core::config::TargetState;
use agatehold_core::config::TrafficClass;
use agatehold_core::idempotency::KeyState;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TenantName;
use agatehold_core::limits::Admission;
use agatehold_core::limits::AdmissionQueue;
use agatehold_core::limits::Offer;
use agatehold_core::limits::WaiterId;
use agatehold_core::note::Head;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::retry::Attempts;
use agatehold_core::retry::NextStep;
use agatehold_core::retry::RequestFacts;
use agatehold_core::retry::RetryBudget;
use agatehold_core::retry::next_step;
use agatehold_core::routing::RoutingTable;
use agatehold_core::routing::ServiceIndex;
use agatehold_core::routing::TargetIndex;
use agatehold_core::routing::build;
use agatehold_core::routing::pick_target;
use agatehold_core::routing::write_home_slots;
use agatehold_core::table::Table;
use agatehold_core::units::DurationMs;
use agatehold_core::units::Percent;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TimeMs;

use crate::load::LIMITS;
use crate::load::LOADS;
use crate::simulation::MEAN_RUN_MS;
use crate::simulation::RUN_MS;
use crate::simulation::StreamResult;
use crate::simulation::WARM_UP_MS;
use crate::simulation::exponential;
use crate::table_text::markdown;
use crate::table_text::percent;

/// The seed of every run.
pub const SEED: u64 = 53;

/// The number of daemons; two in each of three failure domains.
const DAEMONS: usize = 6;

/// The number of targets of the service certificates.
const TARGETS: usize = 6;

/// The number of slots per target.
const SLOTS: SlotCount = SlotCount(4);

/// The network round trip between a daemon and a target.
const ROUND_TRIP_MS: u64 = 3;

/// The batch load as a multiple of the capacity.
const BATCH_LOAD: f64 = 0.5;

/// The number of tenants in each traffic class.
const TENANTS: usize = 10;

/// The result of one run.
#[derive(Clone, Debug, Default)]
pub struct FleetResult {
    /// The results of the urgent requests.
    pub urgent: StreamResult,
    /// The results of the batch requests.
    pub batch: StreamResult,
    /// The number of attempts at targets.
    pub attempts: u32,
    /// The number of attempts that targets shed.
    pub shed: u32,
}

/// How the daemons share the slots of the targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// Each daemon uses all slots that it believes to be free.
    All,
    /// Each daemon uses its home slots, as the service's entry daemons do.
    Home,
    /// Each daemon uses only the slots of one target, which no other daemon uses.
    Exclusive,
}

/// The measured ways to share slots, with their names in the report.
pub const SHARINGS: [(&str, Sharing); 3] = [
    ("all it believes free", Sharing::All),
    ("its home slots", Sharing::Home),
    ("those of its own target", Sharing::Exclusive),
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives from a caller.
    Arrive { class: TrafficClass },
    /// A target finishes a request, which frees a slot.
    Finish { target: usize },
    /// A target's answer reaches the daemon.
    Answer {
        request: usize,
        shed: bool,
        run_ms: u64,
    },
}

struct Request {
    daemon: usize,
    offer: Offer,
    arrived: TimeMs,
    attempts: Attempts,
    tried: Vec<TargetIndex>,
    target: Option<TargetIndex>,
}

struct Daemon {
    table: RoutingTable,
    queue: AdmissionQueue,
    budget: RetryBudget,
    in_flight: u32,
    /// The requests in `queue`, as positions in `Fleet::requests`.
    waiting: BTreeMap<WaiterId, usize>,
}

struct Fleet {
    sharing: Sharing,
    load: f64,
    rng: Pcg64,
    /// The events by time and sequence number.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
    daemons: Vec<Daemon>,
    /// The number of requests that run at each target.
    running: [u32; TARGETS],
    requests: Vec<Request>,
    result: FleetResult,
}

/// Runs urgent requests at `load` times the capacity and batch requests at
/// `BATCH_LOAD` times.
///
/// There are as many daemons as targets, so [`Sharing::Exclusive`] gives each
/// daemon one target.
pub fn measure(load: f64, sharing: Sharing) -> Result<FleetResult, Box<dyn Error>> {
    let mut fleet = Fleet {
        sharing,
        load,
        rng: Pcg64::new(u128::from(SEED), 6),
        events: BinaryHeap::new(),
        scheduled: 0,
        daemons: Vec::new(),
        running: [0; TARGETS],
        requests: Vec::new(),
        result: FleetResult::default(),
    };
    for rank in 0..DAEMONS {
        fleet.daemons.push(new_daemon(rank, sharing)?);
    }
    for class in [TrafficClass::Urgent, TrafficClass::Batch] {
        fleet.schedule(0, Event::Arrive { class });
    }
    while let Some(Reverse((at, _, event))) = fleet.events.pop() {
        let now = TimeMs(at);
        match event {
            Event::Arrive { class } => fleet.arrive(class, now)?,
            Event::Finish { target } => fleet.running[target] -= 1,
            Event::Answer {
                request,
                shed,
                run_ms,
            } => fleet.answer(request, shed, run_ms, now),
        }
    }
    Ok(fleet.result)
}

fn new_daemon(rank: usize, sharing: Sharing) -> Result<Daemon, Box<dyn Error>> {
    let service: ServiceName = "certificates".parse()?;
    let mut config = ConfigTables::default();
    config
        .services
        .insert(service.clone(), ServiceRow::default());
    for number in 0..TARGETS {
        let row = TargetRow {
            service: service.clone(),
            address: SocketAddr::from(([10, 0, 0, number as u8], 80)),
            failure_domain: "zone-1".parse()?,
            slots: SLOTS,
            max_connections: 400,
            state: TargetState::Serving,
        };
        config
            .targets
            .insert(format!("target-{number}").parse()?, row);
    }
    let table = build(Head::default(), &config, &mut Table::new());
    match sharing {
        Sharing::All => {}
        Sharing::Home => {
            write_home_slots(&table, ServiceIndex(0), Some(rank as u32), DAEMONS as u32);
        }
        Sharing::Exclusive => {
            for (position, target) in table.targets.iter().enumerate() {
                target.cell.set_leaving(position != rank);
                target.cell.set_home_slots(SLOTS);
            }
        }
    }
    Ok(Daemon {
        table,
        queue: AdmissionQueue::new(LIMITS),
        budget: RetryBudget::new(Percent::TEN, TimeMs(0)),
        in_flight: 0,
        waiting: BTreeMap::new(),
    })
}

impl Fleet {
    fn schedule(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, self.scheduled, event)));
        self.scheduled += 1;
    }

    fn arrive(&mut self, class: TrafficClass, now: TimeMs) -> Result<(), Box<dyn Error>> {
        let capacity_per_ms = f64::from(SLOTS.0) * TARGETS as f64 / MEAN_RUN_MS;
        let (share, timeout_ms) = match class {
            TrafficClass::Urgent => (self.load, DurationMs(2_000)),
            _ => (BATCH_LOAD, DurationMs(10_000)),
        };
        // Interarrival times are whole milliseconds, rounded at random so that
        // their mean stays exact.
        let interarrival_us =
            (exponential(&mut self.rng, 1_000.0 / (share * capacity_per_ms))) as u64;
        let round_up = u64::from(self.rng.random_range(0..1_000) < interarrival_us % 1_000);
        let next = now.0 + interarrival_us / 1_000 + round_up;
        if next < RUN_MS {
            self.schedule(next, Event::Arrive { class });
        }
        let number = self.rng.random_range(0..TENANTS);
        let tenant: TenantName = format!("{class}-{number}").parse()?;
        let daemon = self.rng.random_range(0..DAEMONS);
        let offer = Offer {
            tenant,
            class,
            deadline: now + timeout_ms,
            expected_run_ms: None,
            caller_deadline: None,
        };
        let request = self.requests.len();
        self.requests.push(Request {
            daemon,
            offer: offer.clone(),
            arrived: now,
            attempts: Attempts::default(),
            tried: Vec::new(),
            target: None,
        });
        if let Some(result) = self.result_of(request) {
            result.offered += 1;
        }
        self.drop_expired(daemon, now);
        self.daemons[daemon].budget.record_request(now);
        let has_free_slot = self.has_free_slot(daemon);
        match self.daemons[daemon].queue.offer(offer, has_free_slot, now) {
            Admission::Admitted => self.send(request, now),
            Admission::Queued { waiter, displaced } => {
                self.daemons[daemon].waiting.insert(waiter, request);
                if let Some(displaced) = displaced {
                    self.drop_waiter(daemon, displaced.waiter);
                }
            }
            Admission::Refused { .. } => {
                if let Some(result) = self.result_of(request) {
                    result.refused += 1;
                }
            }
        }
        Ok(())
    }

    fn has_free_slot(&self, daemon: usize) -> bool {
        let daemon = &self.daemons[daemon];
        match self.sharing {
            Sharing::All | Sharing::Home => daemon.in_flight < SLOTS.0 * TARGETS as u32,
            Sharing::Exclusive => daemon.in_flight < SLOTS.0,
        }
    }

    fn send(&mut self, request: usize, now: TimeMs) {
        let row = &mut self.requests[request];
        let daemon = &mut self.daemons[row.daemon];
        let service = ServiceIndex(0);
        let Some(index) = pick_target(&daemon.table, service, &row.tried, now, &mut self.rng)
        else {
            row.tried.clear();
            let waiter = daemon.queue.put_back(row.offer.clone(), row.arrived, now);
            daemon.waiting.insert(waiter, request);
            return;
        };
        row.tried.push(index);
        row.target = Some(index);
        daemon.in_flight += 1;
        self.result.attempts += 1;
        let target = index.position();
        if self.running[target] >= SLOTS.0 {
            self.result.shed += 1;
            let answer = Event::Answer {
                request,
                shed: true,
                run_ms: 0,
            };
            self.schedule(now.0 + ROUND_TRIP_MS, answer);
            return;
        }
        self.running[target] += 1;
        if row.arrived.0 >= WARM_UP_MS {
            let waited = now.since(row.arrived).0;
            match row.offer.class {
                TrafficClass::Urgent => self.result.urgent.waits_ms.push(waited),
                _ => self.result.batch.waits_ms.push(waited),
            }
        }
        let run_ms = MEAN_RUN_MS / 2.0 + exponential(&mut self.rng, MEAN_RUN_MS / 2.0);
        let run_ms = run_ms.round() as u64;
        self.schedule(now.0 + run_ms, Event::Finish { target });
        let answer = Event::Answer {
            request,
            shed: false,
            run_ms,
        };
        self.schedule(now.0 + run_ms + ROUND_TRIP_MS, answer);
    }

    fn answer(&mut self, request: usize, shed: bool, run_ms: u64, now: TimeMs) {
        let row = &mut self.requests[request];
        let index = row.daemon;
        let daemon = &mut self.daemons[index];
        let Some(target) = row.target.take() else {
            return;
        };
        let cell = &daemon.table.targets[target.position()].cell;
        cell.release();
        cell.report_load(self.running[target.position()], now);
        daemon.in_flight -= 1;
        if shed {
            self.after_shed(request, now);
        } else {
            daemon.queue.record_run(DurationMs(run_ms));
            let in_time = now <= row.offer.deadline;
            if let Some(result) = self.result_of(request) {
                result.in_time += u32::from(in_time);
                result.late += u32::from(!in_time);
            }
        }
        while self.has_free_slot(index) {
            let next = self.daemons[index].queue.assign_free_slot(now);
            let Some(waiter) = next else {
                break;
            };
            if let Some(next) = self.daemons[index].waiting.remove(&waiter) {
                let before = self.daemons[index].in_flight;
                self.send(next, now);
                if self.daemons[index].in_flight == before {
                    break;
                }
            }
        }
        self.drop_expired(index, now);
    }

    fn after_shed(&mut self, request: usize, now: TimeMs) {
        let row = &mut self.requests[request];
        let daemon = &mut self.daemons[row.daemon];
        let facts = RequestFacts {
            idempotent: false,
            key: KeyState::NeverRun,
            crashed: false,
            crashes: 0,
            passed_on: false,
            remaining_ms: row.offer.deadline.since(now),
        };
        let next = next_step(
            AttemptOutcome::Shed,
            &facts,
            &mut row.attempts,
            &mut daemon.budget,
            now,
        );
        if next == NextStep::SendAgain {
            // The request is queued ahead of its tenant's other requests.
            let waiter = daemon.queue.put_back(row.offer.clone(), row.arrived, now);
            daemon.waiting.insert(waiter, request);
        } else if let Some(result) = self.result_of(request) {
            result.dropped += 1;
        }
    }

    fn drop_expired(&mut self, daemon: usize, now: TimeMs) {
        for dropped in self.daemons[daemon].queue.expire(now) {
            self.drop_waiter(daemon, dropped.waiter);
        }
    }

    fn drop_waiter(&mut self, daemon: usize, waiter: WaiterId) {
        if let Some(request) = self.daemons[daemon].waiting.remove(&waiter)
            && let Some(result) = self.result_of(request)
        {
            result.dropped += 1;
        }
    }

    /// Returns the counts for a request that arrived after the warm-up.
    fn result_of(&mut self, request: usize) -> Option<&mut StreamResult> {
        let row = &self.requests[request];
        if row.arrived.0 < WARM_UP_MS {
            return None;
        }
        match row.offer.class {
            TrafficClass::Urgent => Some(&mut self.result.urgent),
            _ => Some(&mut self.result.batch),
        }
    }
}

/// Returns the urgent requests answered in time as a share of those that the
/// slots can run.
pub fn urgent_share(load: f64, result: &FleetResult) -> f64 {
    let runnable = f64::from(result.urgent.offered) * load.recip().min(1.0);
    f64::from(result.urgent.in_time) / runnable
}

/// Measures all loads and ways to share slots and returns the table.
pub fn report() -> Result<String, Box<dyn Error>> {
    let mut rows = Vec::new();
    for load in LOADS {
        for (name, sharing) in SHARINGS {
            let result = measure(load, sharing)?;
            let batch = &result.batch;
            rows.push(vec![
                format!("{load}x + {BATCH_LOAD}x"),
                name.to_owned(),
                percent(urgent_share(load, &result), 1.0),
                format!("{} ms", result.urgent.p99_wait_ms()),
                percent(f64::from(batch.in_time), f64::from(batch.offered)),
                percent(f64::from(result.shed), f64::from(result.attempts)),
                format!("{:.3}", f64::from(result.attempts) / result.requests_sent()),
            ]);
        }
    }
    let header = [
        "load",
        "slots a daemon uses",
        "urgent answered in time, of what fits",
        "urgent p99 wait",
        "batch answered in time",
        "attempts shed",
        "attempts to requests offered",
    ];
    Ok(format!(
        "Seed {SEED}, {DAEMONS} daemons before {TARGETS} targets with {SLOTS} slots, round trip {ROUND_TRIP_MS} ms, non-idempotent requests.\n\n"
    ) + &markdown(&header, &rows))
}

impl FleetResult {
    /// Estimates the number of requests of the whole run. The counts leave out
    /// the warm-up, so they are scaled to the length of the run.
    fn requests_sent(&self) -> f64 {
        let counted = f64::from(self.urgent.offered + self.batch.offered);
        counted * RUN_MS as f64 / (RUN_MS - WARM_UP_MS) as f64
    }
}

//! Simulates daemons, targets and requests in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use agatehold_core::config::TargetState;
use agatehold_core::dispatch::Choice;
use agatehold_core::dispatch::DaemonRank;
use agatehold_core::dispatch::EntryDaemon;
use agatehold_core::dispatch::LiveTargets;
use agatehold_core::dispatch::LoadReport;
use agatehold_core::dispatch::PickRequest;
use agatehold_core::dispatch::cost::CostFeatures;
use agatehold_core::dispatch::cost::CostTable;
use agatehold_core::dispatch::cost::RequestCost;
use agatehold_core::dispatch::cost::RequestTraits;
use agatehold_core::dispatch::cost::WorkId;
use agatehold_core::dispatch::cost::record_answered_cost;
use agatehold_core::dispatch::pick_live_target;
use agatehold_core::ids::FailureDomain;
use agatehold_core::ids::HostId;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TargetName;
use agatehold_core::target_registry::TargetIdentity;
use agatehold_core::target_registry::TargetRecord;
use agatehold_core::units::DurationMs;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TimeMs;

use super::trace::Trace;

/// The number of slots of each target.
const SLOTS: u32 = 4;

/// The time during which the daemons learn; requests that arrive in it are not counted.
const WARM_UP_MS: u64 = 10_000;

/// The response time from which a response counts as late.
const LATE_MS: u64 = 1_200;

/// The interval at which waiting requests look for a slot besides each answer, and at
/// which daemons tell each other of the targets that they use; as in the gateway.
const QUEUE_TICK_MS: u64 = 50;
const USE_REPORT_MS: u64 = 500;

/// When a request counts as overdue, as in the gateway.
const OVERDUE_FACTOR: f64 = 3.0;
const OVERDUE_MIN_MS: f64 = 300.0;

/// The weight of the newest sample in the average run time, as in the gateway.
const NEWEST_RUN_WEIGHT: f64 = 0.05;

/// The virtual time at which a run begins.
const START_MS: u64 = 3_600_000;

/// How a daemon chooses a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// By expected work.
    ExpectedWork,
    /// By the estimated number of requests.
    Count,
    /// Of two random targets with a free slot, the one with fewer requests.
    TwoRandomChoices,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 3] = [Self::ExpectedWork, Self::Count, Self::TwoRandomChoices];
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ExpectedWork => "expected work",
            Self::Count => "count",
            Self::TwoRandomChoices => "two random choices",
        })
    }
}

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// The requests and targets.
    pub trace: Trace,
    /// How daemons choose.
    pub policy: Policy,
    /// The number of entry daemons.
    pub daemons: usize,
    /// The number of targets.
    pub targets: usize,
    /// The share of the targets' capacity in use.
    pub load: f64,
    /// The simulated time, warm-up included.
    pub length_ms: u64,
}

/// What a run measured.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// The response times of the counted requests, in ascending order.
    response_ms: Vec<u64>,
    /// The number of them that found no free slot at their target.
    full: usize,
    /// The mean absolute logarithm of run time over prediction at the end, in the first
    /// daemon.
    pub log_error: f64,
}

impl Results {
    /// Adds the results of another run.
    pub fn append(&mut self, other: Self) {
        self.response_ms.extend(other.response_ms);
        self.response_ms.sort_unstable();
        self.full += other.full;
        self.log_error = other.log_error;
    }

    /// Returns the response time below which a share of the responses lies.
    pub fn quantile(&self, share: f64) -> u64 {
        let position = (self.response_ms.len() as f64 * share) as usize;
        self.response_ms.get(position).copied().unwrap_or(0)
    }

    /// Returns the number of late responses.
    pub fn late_count(&self) -> usize {
        self.response_ms.len() - self.response_ms.partition_point(|ms| *ms <= LATE_MS)
    }

    /// Returns the share of late responses.
    pub fn late_share(&self) -> f64 {
        self.late_count() as f64 / self.response_ms.len().max(1) as f64
    }

    /// Returns the share of requests that found no free slot at their target.
    pub fn full_share(&self) -> f64 {
        self.full as f64 / self.response_ms.len().max(1) as f64
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// The next request of a target may have ended, unless the target's requests have
    /// changed since `version`.
    TargetStep {
        target: usize,
        version: u64,
    },
    Overdue {
        request: usize,
    },
    QueueTick,
    UseReport,
}

/// A request of the trace.
#[derive(Clone, Copy, Debug)]
struct Request {
    daemon: usize,
    arrived_ms: u64,
    /// The run time at a target of usual speed.
    run_ms: f64,
    cost: RequestCost,
    sent_ms: u64,
    target: usize,
    work: Option<WorkId>,
    is_overdue: bool,
    is_ended: bool,
}

#[derive(Clone, Debug, Default)]
struct Target {
    /// The running requests and the run time that each has left.
    running: Vec<(usize, f64)>,
    waiting: VecDeque<usize>,
    /// Until when `running` has been brought up to date.
    updated_ms: u64,
    version: u64,
}

impl Target {
    /// Returns the speed of each running request.
    fn speed(&self, trace: Trace) -> f64 {
        let cores = trace.cores().unwrap_or(f64::INFINITY);
        (cores / self.running.len().max(1) as f64).min(1.0)
    }
}

struct Daemon {
    targets: LiveTargets,
    costs: CostTable,
    queue: VecDeque<usize>,
    average_run_ms: f64,
    rank: DaemonRank,
}

struct Fleet {
    setup: Setup,
    service: ServiceName,
    failure_domain: FailureDomain,
    identities: Vec<TargetIdentity>,
    number_of: HashMap<TargetName, usize>,
    daemons: Vec<Daemon>,
    targets: Vec<Target>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    rng: Pcg64,
    results: Results,
}

/// Runs one simulation.
pub fn simulate(setup: &Setup, seed: u64) -> Results {
    let mut fleet = Fleet::new(setup);
    // The trace has a generator of its own, so that it is the same for each policy.
    let mut trace_rng = Pcg64::seed_from_u64(seed);
    let per_ms = setup
        .trace
        .arrivals_per_ms(setup.targets, SLOTS, setup.load);
    let end_ms = START_MS + setup.length_ms;
    let mut next_arrival = START_MS as f64;
    fleet.events.push(Reverse((START_MS, Event::Arrival)));
    fleet.events.push(Reverse((START_MS, Event::QueueTick)));
    fleet.events.push(Reverse((START_MS, Event::UseReport)));
    while let Some(Reverse((now_ms, event))) = fleet.events.pop() {
        match event {
            Event::Arrival => {
                let daemon = trace_rng.random_range(0..setup.daemons);
                let (path, run_ms) = setup.trace.draw(&mut trace_rng);
                fleet.arrive(daemon, path, run_ms, now_ms);
                next_arrival -= (1.0 - trace_rng.random::<f64>()).ln() / per_ms;
                if (next_arrival as u64) < end_ms {
                    let next_ms = next_arrival as u64;
                    fleet.events.push(Reverse((next_ms, Event::Arrival)));
                }
            }
            Event::TargetStep { target, version } => {
                if fleet.targets[target].version == version {
                    fleet.step(target, now_ms);
                }
            }
            Event::Overdue { request } => fleet.mark_overdue(request),
            Event::QueueTick => {
                for daemon in 0..setup.daemons {
                    fleet.send_waiting(daemon, now_ms);
                }
                let has_waiting = fleet.daemons.iter().any(|daemon| !daemon.queue.is_empty());
                if now_ms < end_ms || has_waiting {
                    let next_ms = now_ms + QUEUE_TICK_MS;
                    fleet.events.push(Reverse((next_ms, Event::QueueTick)));
                }
            }
            Event::UseReport => {
                fleet.report_uses(now_ms);
                if now_ms < end_ms {
                    let next_ms = now_ms + USE_REPORT_MS;
                    fleet.events.push(Reverse((next_ms, Event::UseReport)));
                }
            }
        }
    }
    fleet.results.response_ms.sort_unstable();
    let work = fleet.daemons[0].targets.work_of(&fleet.service);
    fleet.results.log_error = work.map_or(0.0, |work| work.mean_log_error);
    fleet.results
}

impl Fleet {
    fn new(setup: &Setup) -> Self {
        let service: ServiceName = "service".parse().expect("a name");
        let failure_domain: FailureDomain = "domain".parse().expect("a name");
        let mut records = Vec::new();
        for number in 0..setup.targets {
            records.push(TargetRecord {
                identity: TargetIdentity {
                    name: format!("target-{number}").parse().expect("a name"),
                    started_unix_ms: 1,
                },
                service: service.clone(),
                address: format!("10.0.{number}.1:8080").parse().expect("an address"),
                failure_domain: failure_domain.clone(),
                slots: SlotCount(SLOTS),
                state: TargetState::Serving,
                warmup_left_ms: DurationMs(0),
            });
        }
        let hosts: Vec<HostId> = (0..setup.daemons)
            .map(|number| format!("host-{number}").parse().expect("a name"))
            .collect();
        let entries: Vec<EntryDaemon<'_>> = hosts
            .iter()
            .map(|host| EntryDaemon {
                host,
                failure_domain: &failure_domain,
            })
            .collect();
        let mut daemons = Vec::new();
        for (rank, host) in (0..).zip(&hosts) {
            let mut targets = LiveTargets::new(host);
            targets.sync(records.iter().map(|record| (record, TimeMs(START_MS))));
            targets.set_homes(&service, &entries);
            targets.set_uses_expected_work(setup.policy == Policy::ExpectedWork);
            daemons.push(Daemon {
                targets,
                costs: CostTable::new(),
                queue: VecDeque::new(),
                average_run_ms: 400.0,
                rank: DaemonRank {
                    rank,
                    daemons: setup.daemons as u32,
                },
            });
        }
        let identities: Vec<TargetIdentity> =
            records.into_iter().map(|record| record.identity).collect();
        let number_of = (0..)
            .zip(&identities)
            .map(|(number, identity)| (identity.name.clone(), number))
            .collect();
        Self {
            setup: *setup,
            service,
            failure_domain,
            number_of,
            identities,
            daemons,
            targets: vec![Target::default(); setup.targets],
            requests: Vec::new(),
            events: BinaryHeap::new(),
            rng: Pcg64::seed_from_u64(7),
            results: Results::default(),
        }
    }

    fn arrive(&mut self, daemon: usize, path: u32, run_ms: f64, now_ms: u64) {
        let number = self.requests.len();
        let text = format!("forms/{path}/{number}");
        let features = CostFeatures::of(&RequestTraits {
            route: "route",
            path: &text,
            query: None,
            body_bytes: 0,
            tenant: None,
        });
        let expected = self.daemons[daemon]
            .costs
            .expected(&features, TimeMs(now_ms));
        self.requests.push(Request {
            daemon,
            arrived_ms: now_ms,
            run_ms,
            cost: RequestCost { features, expected },
            sent_ms: 0,
            target: 0,
            work: None,
            is_overdue: false,
            is_ended: false,
        });
        self.daemons[daemon].queue.push_back(number);
        self.send_waiting(daemon, now_ms);
    }

    fn send_waiting(&mut self, daemon: usize, now_ms: u64) {
        while let Some(request) = self.daemons[daemon].queue.front().copied() {
            let Some(target) = self.choose(daemon, TimeMs(now_ms)) else {
                return;
            };
            self.daemons[daemon].queue.pop_front();
            self.send(request, target, now_ms);
        }
    }

    fn choose(&mut self, daemon: usize, now: TimeMs) -> Option<usize> {
        let own = &self.daemons[daemon];
        if self.setup.policy == Policy::TwoRandomChoices {
            let mut free = Vec::new();
            for (name, row) in own.targets.of_service(&self.service) {
                if row.has_free_slot(now) {
                    free.push((row.estimated_load(now), self.number_of[name]));
                }
            }
            if free.is_empty() {
                return None;
            }
            let first = free[self.rng.random_range(0..free.len())];
            let second = free[self.rng.random_range(0..free.len())];
            return Some(if first.0 <= second.0 {
                first.1
            } else {
                second.1
            });
        }
        let request = PickRequest {
            service: &self.service,
            failure_domain: &self.failure_domain,
            tried: &[],
            may_try: true,
            may_risk_failure: false,
            daemon_rank: Some(own.rank),
            accepts_full: false,
            body_bytes: 0,
        };
        match pick_live_target(&own.targets, &request, now) {
            Choice::Target(identity) => Some(self.number_of[&identity.name]),
            _ => None,
        }
    }

    fn send(&mut self, number: usize, target: usize, now_ms: u64) {
        let request = &mut self.requests[number];
        let daemon = &mut self.daemons[request.daemon];
        let identity = &self.identities[target];
        daemon.targets.claim(identity, TimeMs(now_ms));
        let expected = request.cost.expected;
        if let (Policy::ExpectedWork, Some(expected)) = (self.setup.policy, expected) {
            request.work = daemon
                .targets
                .begin_work(identity, expected, TimeMs(now_ms));
        }
        request.sent_ms = now_ms;
        request.target = target;
        let overdue_ms = (daemon.average_run_ms * OVERDUE_FACTOR).max(OVERDUE_MIN_MS);
        let overdue = Event::Overdue { request: number };
        self.events
            .push(Reverse((now_ms + overdue_ms as u64, overdue)));
        let is_full = self.targets[target].running.len() >= SLOTS as usize;
        if request.arrived_ms >= START_MS + WARM_UP_MS {
            self.results.full += usize::from(is_full);
        }
        self.targets[target].waiting.push_back(number);
        self.step(target, now_ms);
    }

    /// Brings a target up to date, starts what waits in it, and schedules its next step.
    fn step(&mut self, number: usize, now_ms: u64) {
        let target = &mut self.targets[number];
        let run_ms = (now_ms - target.updated_ms) as f64 * target.speed(self.setup.trace);
        target.updated_ms = now_ms;
        let mut ended = Vec::new();
        for (request, left_ms) in &mut target.running {
            *left_ms -= run_ms;
            if *left_ms <= 1e-6 {
                ended.push(*request);
            }
        }
        let report = LoadReport {
            running: target.running.len() as u32,
            waiting: target.waiting.len() as u32,
            slots: SLOTS,
        };
        target.running.retain(|(_, left_ms)| *left_ms > 1e-6);
        while target.running.len() < SLOTS as usize {
            let Some(request) = target.waiting.pop_front() else {
                break;
            };
            let slowness = self.setup.trace.slowness(number, now_ms - START_MS);
            let run_ms = (self.requests[request].run_ms * slowness).round().max(1.0);
            target.running.push((request, run_ms));
        }
        target.version += 1;
        let least_ms = target
            .running
            .iter()
            .map(|(_, left_ms)| *left_ms)
            .fold(f64::INFINITY, f64::min);
        if least_ms.is_finite() {
            let step_ms = (least_ms / target.speed(self.setup.trace)).ceil().max(1.0) as u64;
            let event = Event::TargetStep {
                target: number,
                version: target.version,
            };
            self.events.push(Reverse((now_ms + step_ms, event)));
        }
        for request in ended {
            self.end(request, report, now_ms);
        }
    }

    fn end(&mut self, number: usize, report: LoadReport, now_ms: u64) {
        let now = TimeMs(now_ms);
        let request = &mut self.requests[number];
        request.is_ended = true;
        let request = *request;
        let daemon = &mut self.daemons[request.daemon];
        let identity = &self.identities[request.target];
        let run_ms = DurationMs(now_ms - request.sent_ms);
        if let Some(row) = daemon.targets.rows.get_mut(&identity.name) {
            row.report_load(report, now);
        }
        daemon.average_run_ms += (run_ms.0 as f64 - daemon.average_run_ms) * NEWEST_RUN_WEIGHT;
        if self.setup.policy == Policy::ExpectedWork {
            let costs = &mut daemon.costs;
            let targets = &mut daemon.targets;
            record_answered_cost(costs, targets, identity, &request.cost, run_ms, now);
        }
        if let Some(work) = request.work {
            daemon.targets.end_work(identity, work);
        }
        if request.is_overdue {
            daemon.targets.add_overdue(identity, -1);
        }
        daemon.targets.release(identity);
        if request.arrived_ms >= START_MS + WARM_UP_MS {
            self.results.response_ms.push(now_ms - request.arrived_ms);
        }
        self.send_waiting(request.daemon, now_ms);
    }

    fn mark_overdue(&mut self, number: usize) {
        let request = &mut self.requests[number];
        if request.is_ended {
            return;
        }
        request.is_overdue = true;
        let identity = &self.identities[request.target];
        self.daemons[request.daemon]
            .targets
            .add_overdue(identity, 1);
    }

    fn report_uses(&mut self, now_ms: u64) {
        let now = TimeMs(now_ms);
        for daemon in 0..self.daemons.len() {
            let since = now - DurationMs(USE_REPORT_MS);
            let used = self.daemons[daemon]
                .targets
                .used_since(&self.service, since, now);
            for (other, peer) in self.daemons.iter_mut().enumerate() {
                if other != daemon {
                    peer.targets.record_peer_use(&used, now);
                }
            }
        }
    }
}

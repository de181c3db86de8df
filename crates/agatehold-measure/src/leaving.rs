//! Measures how many requests reach a target that says in its answers that it is
//! leaving, with and without daemons that tell each other ahead of the store.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use agatehold_core::config::TargetState;
use agatehold_core::dispatch::Choice;
use agatehold_core::dispatch::DaemonRank;
use agatehold_core::dispatch::EntryDaemon;
use agatehold_core::dispatch::LiveTargets;
use agatehold_core::dispatch::PickRequest;
use agatehold_core::dispatch::ServiceStats;
use agatehold_core::dispatch::pick_live_target;
use agatehold_core::ids::FailureDomain;
use agatehold_core::ids::HostId;
use agatehold_core::ids::ServiceName;
use agatehold_core::target_registry::TargetIdentity;
use agatehold_core::target_registry::TargetRecord;
use agatehold_core::units::DurationMs;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TimeMs;

use crate::simulation::parse_name;
use crate::table::markdown;
use crate::table::mean;
use crate::table::quantile;

/// The seed of every run.
pub const SEED: u64 = 804;

/// The number of trials per result of the report.
const TRIALS: u32 = 50;

const START: TimeMs = TimeMs(3_600_000);

/// When the target begins to say that it is leaving, and how long it goes on answering.
const LEAVES_AT_MS: u64 = 3_000;
const ANSWERS_FOR_MS: u64 = 10_000;

/// The time that a datagram between two daemons takes.
const DATAGRAM_MS: u64 = 2;

/// The number of failure domains.
const DOMAINS: usize = 3;

/// A service with its entry daemons.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// The name in the report.
    pub name: &'static str,
    /// The number of targets.
    pub targets: usize,
    /// The slots of each target.
    pub slots: u32,
    /// The number of entry daemons.
    pub daemons: u32,
    /// The requests for the service.
    pub requests_per_s: f64,
    /// How long a request runs.
    pub run_ms: u64,
}

/// The services of the report: two of today and two of a larger deployment.
pub const SERVICES: [Service; 4] = [
    Service {
        name: "8 targets, 3 daemons, 26/s",
        targets: 8,
        slots: 4,
        daemons: 3,
        requests_per_s: 26.0,
        run_ms: 410,
    },
    Service {
        name: "22 targets, 3 daemons, 89/s",
        targets: 22,
        slots: 4,
        daemons: 3,
        requests_per_s: 89.0,
        run_ms: 310,
    },
    Service {
        name: "117 targets, 6 daemons, 465/s",
        targets: 117,
        slots: 3,
        daemons: 6,
        requests_per_s: 465.0,
        run_ms: 240,
    },
    Service {
        name: "109 targets, 25 daemons, 450/s",
        targets: 109,
        slots: 3,
        daemons: 25,
        requests_per_s: 450.0,
        run_ms: 240,
    },
];

/// When the daemons hear of the leaving from the store, counted from the target's first
/// answer that says so; [`ANSWERS_FOR_MS`] if it never tells the store.
pub const STORE_DELAYS_MS: [u64; 3] = [200, 2_000, ANSWERS_FOR_MS];

/// How the daemons tell each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    /// They don't: each knows what it has read itself.
    Alone,
    /// The daemon that reads the target's word sends a datagram to each other one; this
    /// share of them is lost.
    Datagrams(f64),
}

/// The ways of the report.
pub const WAYS: [(&str, Way); 3] = [
    ("each daemon alone", Way::Alone),
    ("datagrams", Way::Datagrams(0.0)),
    ("datagrams, 5% lost", Way::Datagrams(0.05)),
];

/// The results of one trial.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trial {
    /// The requests sent to the target after a daemon had read its word, by any daemon.
    pub sent_after_first: u32,
    /// Those of them sent by a daemon that had read or heard the word itself.
    pub sent_knowing: u32,
    /// The datagrams sent.
    pub datagrams: u32,
}

struct Daemon {
    targets: LiveTargets,
    stats: ServiceStats,
    failure_domain: FailureDomain,
    knows: bool,
}

/// Returns the results of each trial.
pub fn measure(service: &Service, store_delay_ms: u64, way: Way, trials: u32) -> Vec<Trial> {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let trials = 0..trials;
    trials
        .map(|_| run_trial(service, store_delay_ms, way, &mut rng))
        .collect()
}

fn failure_domain(number: usize) -> FailureDomain {
    parse_name(&format!("domain-{}", number % DOMAINS))
}

fn records(service: &Service) -> Vec<TargetRecord> {
    let mut records = Vec::new();
    for number in 0..service.targets {
        records.push(TargetRecord {
            identity: TargetIdentity {
                name: parse_name(&format!("target-{number}")),
                started_unix_ms: 1,
            },
            service: parse_name("service"),
            address: std::net::SocketAddr::from(([10, 0, 0, 1], 8_000 + number as u16)),
            failure_domain: failure_domain(number),
            slots: SlotCount(service.slots),
            state: TargetState::Serving,
            warmup_left_ms: DurationMs(0),
        });
    }
    records
}

fn daemons(service: &Service, records: &[TargetRecord]) -> Vec<Daemon> {
    let hosts: Vec<HostId> = (0..service.daemons)
        .map(|rank| parse_name(&format!("entry-{rank}")))
        .collect();
    let domains: Vec<FailureDomain> = (0..hosts.len()).map(failure_domain).collect();
    let entries: Vec<EntryDaemon<'_>> = hosts
        .iter()
        .zip(&domains)
        .map(|(host, failure_domain)| EntryDaemon {
            host,
            failure_domain,
        })
        .collect();
    let service_name: ServiceName = parse_name("service");
    let mut daemons = Vec::new();
    for (host, failure_domain) in hosts.iter().zip(&domains) {
        let mut targets = LiveTargets::new(host);
        targets.sync(records.iter().map(|record| (record, START)));
        targets.set_homes(&service_name, &entries);
        daemons.push(Daemon {
            targets,
            stats: ServiceStats::default(),
            failure_domain: failure_domain.clone(),
            knows: false,
        });
    }
    daemons
}

fn run_trial(service: &Service, store_delay_ms: u64, way: Way, rng: &mut Pcg64) -> Trial {
    let records = records(service);
    let mut daemons = daemons(service, &records);
    let service_name: ServiceName = parse_name("service");
    let leaving = records[rng.random_range(0..records.len())].identity.clone();
    let mut ends: BTreeMap<u64, Vec<(usize, TargetIdentity)>> = BTreeMap::new();
    let mut heard_at: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    let mut first_read_at: Option<u64> = None;
    let mut trial = Trial::default();
    for at_ms in 0..LEAVES_AT_MS + ANSWERS_FOR_MS {
        let now = START + DurationMs(at_ms);
        for rank in heard_at.remove(&at_ms).unwrap_or_default() {
            daemons[rank].targets.record_leaving(&leaving, now);
            daemons[rank].knows = true;
        }
        for (rank, target) in ends.remove(&at_ms).unwrap_or_default() {
            daemons[rank].targets.release(&target);
            daemons[rank].stats.record_end(true, now);
            send_use_report(&mut daemons, rank, &service_name, now);
            if target != leaving || at_ms < LEAVES_AT_MS || daemons[rank].knows {
                continue;
            }
            daemons[rank].targets.record_leaving(&leaving, now);
            daemons[rank].knows = true;
            if first_read_at.is_none() {
                first_read_at = Some(at_ms);
                let all = (0..daemons.len()).collect();
                heard_at.insert(at_ms + store_delay_ms, all);
            }
            let Way::Datagrams(loss) = way else {
                continue;
            };
            for other in (0..daemons.len()).filter(|other| *other != rank) {
                trial.datagrams += 1;
                if !rng.random_bool(loss) {
                    heard_at.entry(at_ms + DATAGRAM_MS).or_default().push(other);
                }
            }
        }
        if !rng.random_bool(service.requests_per_s / 1_000.0) {
            continue;
        }
        let rank = rng.random_range(0..daemons.len());
        let daemon = &mut daemons[rank];
        daemon.stats.record_arrival(true, now);
        let request = PickRequest {
            service: &service_name,
            failure_domain: &daemon.failure_domain,
            tried: &[],
            may_try: true,
            may_risk_failure: false,
            daemon_rank: Some(DaemonRank {
                rank: rank as u32,
                daemons: service.daemons,
            }),
            accepts_full: false,
            body_bytes: 0,
        };
        let Choice::Target(target) = pick_live_target(&daemon.targets, &request, now) else {
            continue;
        };
        daemon.targets.claim(&target, now);
        if target == leaving && first_read_at.is_some() {
            trial.sent_after_first += 1;
            trial.sent_knowing += u32::from(daemon.knows);
        }
        let ends_at = at_ms + service.run_ms;
        ends.entry(ends_at).or_default().push((rank, target));
    }
    trial
}

/// Tells the other daemons which targets a daemon has used, if a report is due.
fn send_use_report(
    daemons: &mut [Daemon],
    reporter: usize,
    service_name: &ServiceName,
    now: TimeMs,
) {
    let own = &mut daemons[reporter];
    let Some(report) = own.stats.take_report(now) else {
        return;
    };
    let used = own.targets.used_since(service_name, report.since, now);
    for (rank, daemon) in daemons.iter_mut().enumerate() {
        if rank != reporter {
            daemon.targets.record_peer_use(&used, now);
        }
    }
}

/// Returns the report.
pub fn report() -> String {
    let mut rows = Vec::new();
    for service in &SERVICES {
        for store_delay_ms in STORE_DELAYS_MS {
            for (way_name, way) in WAYS {
                let results = measure(service, store_delay_ms, way, TRIALS);
                let mut sent: Vec<f64> = results
                    .iter()
                    .map(|trial| f64::from(trial.sent_after_first))
                    .collect();
                let datagrams: Vec<f64> = results
                    .iter()
                    .map(|trial| f64::from(trial.datagrams))
                    .collect();
                let knowing: u32 = results.iter().map(|trial| trial.sent_knowing).sum();
                rows.push(vec![
                    service.name.to_owned(),
                    match store_delay_ms {
                        ANSWERS_FOR_MS => "never".to_owned(),
                        _ => format!("{store_delay_ms} ms"),
                    },
                    way_name.to_owned(),
                    format!("{:.2}", mean(&sent)),
                    format!("{:.0}", quantile(&mut sent, 0.99)),
                    knowing.to_string(),
                    format!("{:.1}", mean(&datagrams)),
                ]);
            }
        }
    }
    let headers = [
        "service",
        "store tells after",
        "told by",
        "requests after the first word",
        "p99",
        "sent by a daemon that knew",
        "datagrams",
    ];
    markdown(&headers, &rows)
}

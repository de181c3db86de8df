//! Simulates a calm service of a large fleet: many entry daemons share many targets, of
//! which a third fails at any time. The pattern: a daemon sees a small part of each
//! target's work, and what the target last reported is old when the next request goes
//! there.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use agatehold_core::config::TargetState;
use agatehold_core::dispatch::Choice;
use agatehold_core::dispatch::DaemonRank;
use agatehold_core::dispatch::EntryDaemon;
use agatehold_core::dispatch::LiveTargets;
use agatehold_core::dispatch::LoadReport;
use agatehold_core::dispatch::PickRequest;
use agatehold_core::dispatch::choose_homes;
use agatehold_core::dispatch::pick_live_target;
use agatehold_core::ids::FailureDomain;
use agatehold_core::ids::HostId;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TargetName;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::target_registry::TargetIdentity;
use agatehold_core::target_registry::TargetRecord;
use agatehold_core::units::DurationMs;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TimeMs;

/// A simulated deployment.
#[derive(Clone, Copy, Debug)]
struct Deployment {
    /// The number of entry daemons of the service.
    daemons: usize,
    /// The number of targets, with four slots each.
    targets: usize,
    /// The number of failure domains.
    domains: usize,
}

const SLOTS: u32 = 4;

/// The share of the slots that the requests keep busy.
const BUSY_SHARE: f64 = 0.3;

/// The mean run time, and how long a failure takes.
const RUN_MS: f64 = 500.0;
const FAILURE_RUN_MS: u64 = 3;

/// A target is healthy or failing for this long before its state is drawn again.
const STATE_SPAN_MS: u64 = 9_000;
const FAILING_SHARE: f64 = 0.3;
const FAILING_RATE: f64 = 0.75;

/// The time for which the fleet is simulated, and the part that is not counted, since
/// the daemons use each target for the first time.
const LENGTH_MS: u64 = 20_000;
const WARM_UP_MS: u64 = 5_000;

/// The time until a report between daemons arrives.
const REPORT_MS: u64 = 2;

/// The interval of the reports of used targets.
const USE_REPORT_MS: u64 = 400;

const START_MS: u64 = 3_600_000;

/// What a simulation counted.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    arrivals: u64,
    /// Arrivals at a target without a free slot.
    full: u64,
    /// Requests that failed.
    failed: u64,
    /// Requests that found all targets full.
    refused: u64,
    /// Arrivals in another failure domain than the daemon's.
    crossing: u64,
    /// Arrivals at the busiest target, over the mean.
    busiest_over_mean: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival {
        daemon: usize,
    },
    End {
        daemon: usize,
        target: usize,
        failed: bool,
    },
    Report {
        daemon: usize,
        target: usize,
        failed: bool,
    },
    UseReport {
        daemon: usize,
    },
}

fn service() -> ServiceName {
    "closures".parse().expect("a name")
}

fn domain(number: usize) -> FailureDomain {
    format!("domain-{number}").parse().expect("a name")
}

const fn outcome_of(failed: bool) -> AttemptOutcome {
    if failed {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Answered
    }
}

fn simulate(deployment: &Deployment, seed: u64) -> Counts {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let service = service();
    let mut records = Vec::new();
    for number in 0..deployment.targets {
        records.push(TargetRecord {
            identity: TargetIdentity {
                name: format!("target-{number}").parse().expect("a name"),
                started_unix_ms: 1,
            },
            service: service.clone(),
            address: format!("10.{}.{}.1:8080", number / 200, number % 200)
                .parse()
                .expect("an address"),
            failure_domain: domain(number % deployment.domains),
            slots: SlotCount(SLOTS),
            state: TargetState::Serving,
            warmup_left_ms: DurationMs(0),
        });
    }
    let number_of: HashMap<TargetName, usize> = records
        .iter()
        .enumerate()
        .map(|(number, record)| (record.identity.name.clone(), number))
        .collect();
    let hosts: Vec<HostId> = (0..deployment.daemons)
        .map(|number| format!("host-{number:03}").parse().expect("a name"))
        .collect();
    let domains: Vec<FailureDomain> = (0..deployment.daemons)
        .map(|number| domain(number % deployment.domains))
        .collect();
    let entries: Vec<EntryDaemon<'_>> = hosts
        .iter()
        .zip(&domains)
        .map(|(host, failure_domain)| EntryDaemon {
            host,
            failure_domain,
        })
        .collect();
    let mut tables: Vec<LiveTargets> = hosts.iter().map(LiveTargets::new).collect();
    for table in &mut tables {
        table.sync(records.iter().map(|record| (record, TimeMs(START_MS))));
        table.set_homes(&service, &entries);
    }
    let busy = deployment.targets as f64 * f64::from(SLOTS) * BUSY_SHARE;
    let per_ms = busy / RUN_MS / deployment.daemons as f64;
    // Callers are not spread evenly over the failure domains.
    let weight = |daemon: usize| match daemon % deployment.domains {
        0 => 1.25,
        1 => 0.8,
        _ => 1.0,
    };
    let mut failing = vec![false; deployment.targets];
    let mut running = vec![0_u32; deployment.targets];
    let mut used = vec![0_u64; deployment.targets];
    let mut counts = Counts::default();
    let mut queue: BinaryHeap<Reverse<(u64, Event)>> = BinaryHeap::new();
    for daemon in 0..deployment.daemons {
        queue.push(Reverse((START_MS, Event::Arrival { daemon })));
        let first_ms = START_MS + rng.random_range(0..USE_REPORT_MS);
        queue.push(Reverse((first_ms, Event::UseReport { daemon })));
    }
    let phases: Vec<u64> = (0..deployment.targets)
        .map(|_| rng.random_range(0..STATE_SPAN_MS))
        .collect();
    let mut spans = vec![u64::MAX; deployment.targets];
    while let Some(Reverse((now_ms, event))) = queue.pop() {
        if now_ms > START_MS + LENGTH_MS {
            break;
        }
        let now = TimeMs(now_ms);
        let is_counted = now_ms > START_MS + WARM_UP_MS;
        match event {
            Event::Arrival { daemon } => {
                let pause_ms = -(1.0 - rng.random::<f64>()).ln() / (per_ms * weight(daemon));
                let next_ms = now_ms + (pause_ms.round() as u64).max(1);
                queue.push(Reverse((next_ms, Event::Arrival { daemon })));
                let own_domain = domain(daemon % deployment.domains);
                let request = PickRequest {
                    service: &service,
                    failure_domain: &own_domain,
                    tried: &[],
                    may_try: true,
                    may_risk_failure: false,
                    daemon_rank: Some(DaemonRank {
                        rank: daemon as u32,
                        daemons: deployment.daemons as u32,
                    }),
                    accepts_full: false,
                    body_bytes: 0,
                };
                let Choice::Target(identity) = pick_live_target(&tables[daemon], &request, now)
                else {
                    counts.refused += u64::from(is_counted);
                    continue;
                };
                let target = number_of[&identity.name];
                tables[daemon].claim(&identity, now);
                let span = (now_ms + phases[target]) / STATE_SPAN_MS;
                if spans[target] != span {
                    spans[target] = span;
                    failing[target] = rng.random_bool(FAILING_SHARE);
                }
                if is_counted {
                    counts.arrivals += 1;
                    used[target] += 1;
                    counts.crossing += u64::from(records[target].failure_domain != own_domain);
                }
                let failed = failing[target] && rng.random_bool(FAILING_RATE);
                if failed {
                    let end = Event::End {
                        daemon,
                        target,
                        failed,
                    };
                    queue.push(Reverse((now_ms + FAILURE_RUN_MS, end)));
                    counts.failed += u64::from(is_counted);
                    continue;
                }
                if running[target] >= SLOTS {
                    counts.full += u64::from(is_counted);
                }
                running[target] += 1;
                let run_ms = (-(1.0 - rng.random::<f64>()).ln() * RUN_MS).round() as u64 + 1;
                let end = Event::End {
                    daemon,
                    target,
                    failed,
                };
                queue.push(Reverse((now_ms + run_ms, end)));
            }
            Event::End {
                daemon,
                target,
                failed,
            } => {
                let identity = &records[target].identity;
                let jitter = rng.random();
                let outcome = outcome_of(failed);
                let report = LoadReport {
                    running: running[target],
                    waiting: 0,
                    slots: SLOTS,
                };
                running[target] -= u32::from(!failed);
                if let Some(row) = tables[daemon].rows.get_mut(&identity.name) {
                    row.report_load(report, now);
                    row.failure_detector
                        .record(outcome, DurationMs(3), jitter, now);
                    if row.failure_detector.nats() > 0.0 {
                        for peer in 0..deployment.daemons {
                            if peer != daemon {
                                let report = Event::Report {
                                    daemon: peer,
                                    target,
                                    failed,
                                };
                                queue.push(Reverse((now_ms + REPORT_MS, report)));
                            }
                        }
                    }
                }
                tables[daemon].release(identity);
            }
            Event::UseReport { daemon } => {
                queue.push(Reverse((now_ms + USE_REPORT_MS, event)));
                let used =
                    tables[daemon].used_since(&service, now - DurationMs(USE_REPORT_MS), now);
                let rank = DaemonRank {
                    rank: daemon as u32,
                    daemons: deployment.daemons as u32,
                };
                for (peer, table) in tables.iter_mut().enumerate() {
                    if rank.reports_to(peer as u32) && rng.random_bool(0.97) {
                        table.record_peer_use(&used, now);
                    }
                }
            }
            Event::Report {
                daemon,
                target,
                failed,
            } => {
                let jitter = rng.random();
                let outcome = outcome_of(failed);
                let identity = &records[target].identity;
                if let Some(row) = tables[daemon].rows.get_mut(&identity.name) {
                    row.failure_detector
                        .record(outcome, DurationMs(3), jitter, now);
                }
            }
        }
    }
    let busiest = used.iter().copied().max().unwrap_or(0) as f64;
    counts.busiest_over_mean = busiest * deployment.targets as f64 / counts.arrivals as f64;
    counts
}

/// The aim for a calm day is that fewer than one answer in 100 is late; a request that
/// finds no free slot at its target may be.
const FULL_SHARE_MAX: f64 = 0.01;

/// How much more often a request fails in a large fleet than in a small one, at most.
/// The states of the targets are drawn, so that equal rules differ by a tenth or so.
const FAILED_GROWTH_MAX: f64 = 1.25;

/// Simulates a deployment with so many seeds that each counts about as many requests.
fn simulate_seeds(deployment: &Deployment) -> Counts {
    let seeds = if deployment.targets <= 100 { 3 } else { 1 };
    let mut sum = Counts::default();
    for seed in 1..=seeds {
        let counts = simulate(deployment, seed);
        sum.arrivals += counts.arrivals;
        sum.full += counts.full;
        sum.failed += counts.failed;
        sum.refused += counts.refused;
        sum.crossing += counts.crossing;
        sum.busiest_over_mean = sum.busiest_over_mean.max(counts.busiest_over_mean);
    }
    sum
}

/// Guards against requests that meet in a full target while others are idle, and
/// against failures that grow with the number of entry daemons: when a target begins to
/// fail, only its home should learn it by losing a request.
#[test]
fn balance_and_failures_do_not_depend_on_the_number_of_daemons() {
    let small = Deployment {
        daemons: 3,
        targets: 100,
        domains: 3,
    };
    let base = simulate_seeds(&small);
    let base_failed = base.failed as f64 / base.arrivals as f64;
    for (daemons, targets, domains) in [(5, 100, 3), (17, 287, 5), (40, 400, 7)] {
        let deployment = Deployment {
            daemons,
            targets,
            domains,
        };
        let counts = simulate_seeds(&deployment);
        let share = |count: u64| count as f64 / counts.arrivals as f64;
        let text = format!(
            "{deployment:?}: full {:.4}, failed {:.4} (small {base_failed:.4}), crossing {:.3}, busiest {:.2}",
            share(counts.full),
            share(counts.failed),
            share(counts.crossing),
            counts.busiest_over_mean,
        );
        println!("{text}");
        assert!(share(counts.full) <= FULL_SHARE_MAX, "{text}");
        assert!(
            share(counts.failed) <= base_failed * FAILED_GROWTH_MAX,
            "{text}"
        );
        assert_eq!(counts.refused, 0, "{text}");
    }
}

/// Guards against moving many targets to other daemons when one comes or goes, which
/// makes each of them start without knowing their load.
#[test]
fn few_homes_change_when_a_daemon_leaves() {
    for (daemons, targets, domains) in [(6_usize, 100_usize, 3_usize), (17, 480, 5), (60, 600, 7)] {
        let hosts: Vec<HostId> = (0..daemons)
            .map(|number| format!("host-{number:03}").parse().expect("a name"))
            .collect();
        let places: Vec<FailureDomain> = (0..domains).map(domain).collect();
        let entries: Vec<EntryDaemon<'_>> = hosts
            .iter()
            .enumerate()
            .map(|(number, host)| EntryDaemon {
                host,
                failure_domain: &places[number % domains],
            })
            .collect();
        let names: Vec<TargetName> = (0..targets)
            .map(|number| format!("target-{number}").parse().expect("a name"))
            .collect();
        let registered: Vec<(&TargetName, &FailureDomain)> = names
            .iter()
            .enumerate()
            .map(|(number, name)| (name, &places[number % domains]))
            .collect();
        let before = choose_homes(&entries, &registered);
        let without = &entries[1..];
        let after = choose_homes(without, &registered);
        let mut counts = vec![0_usize; daemons];
        let mut moved = 0;
        for (position, home) in before.iter().enumerate() {
            counts[*home as usize] += 1;
            let host = entries[*home as usize].host;
            moved += usize::from(without[after[position] as usize].host != host);
        }
        let share = targets.div_ceil(daemons);
        assert!(counts.iter().all(|count| *count <= share * 2), "{counts:?}");
        // The homes of the daemon that left must move, and at most as many others
        // make room for them.
        let limit = 2 * counts[0] + daemons / domains;
        assert!(moved <= limit, "{moved} of {targets} moved, {limit} may");
    }
}

/// Guards against reports whose number grows with the square of the entry daemons.
#[test]
fn a_daemon_reports_to_those_that_keep_its_targets_in_use() {
    for daemons in [1, 3, 17, 300, 880] {
        for rank in [0, daemons / 2, daemons - 1] {
            let daemon_rank = DaemonRank { rank, daemons };
            let recipients: Vec<u32> = (0..daemons)
                .filter(|other| daemon_rank.reports_to(*other))
                .collect();
            assert_eq!(recipients.len() as u32, (daemons - 1).min(16));
            assert!(!recipients.contains(&rank));
        }
    }
}

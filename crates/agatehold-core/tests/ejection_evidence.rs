//! Tests on virtual time that the daemons in front of a service collect the evidence
//! that an ejection needs.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use agatehold_core::config::ConfigTables;
use agatehold_core::config::DetectionPolicy;
use agatehold_core::config::ServiceRow;
use agatehold_core::config::TargetRow;
use agatehold_core::config::TargetState;
use agatehold_core::ejection::PermitTables;
use agatehold_core::health::HealthTables;
use agatehold_core::health::PeerEvidence;
use agatehold_core::health::evaluate_targets;
use agatehold_core::health::merge_peer_evidence;
use agatehold_core::health::record_outcomes;
use agatehold_core::health::refresh_baselines;
use agatehold_core::health::reportable_evidence;
use agatehold_core::health::write_verdicts;
use agatehold_core::ids::Digest;
use agatehold_core::ids::HostId;
use agatehold_core::ids::TargetName;
use agatehold_core::note::Head;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::outcome::OutcomeReport;
use agatehold_core::routing::RoutingTable;
use agatehold_core::routing::ServiceIndex;
use agatehold_core::routing::TargetCell;
use agatehold_core::routing::TargetIndex;
use agatehold_core::routing::build;
use agatehold_core::routing::pick_target;
use agatehold_core::routing::pick_trial;
use agatehold_core::routing::write_home_slots;
use agatehold_core::table::Table;
use agatehold_core::units::DurationMs;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TimeMs;

const SERVICE: ServiceIndex = ServiceIndex(0);
const DAEMONS: usize = 6;
const TARGETS: usize = 6;
const SLOTS: SlotCount = SlotCount(4);

/// The slots of the targets of the smallest sites.
const FEW_SLOTS: SlotCount = SlotCount(3);
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// The interval between two requests, 200 each second, given to the daemons in turn.
const INTERVAL_MS: u64 = 5;

/// The run time of a request in milliseconds, drawn evenly.
const RUN_MS: std::ops::RangeInclusive<u64> = 15..=25;

/// The interval of the control tick.
const TICK_MS: u64 = 100;

/// The interval at which each daemon hears the evidence of all others.
const EXCHANGE_MS: u64 = 1_000;

const SEEDS: std::ops::Range<u64> = 0..20;

/// When the first target starts to fail every request.
const FAILS_AT_MS: u64 = 22_000;

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

struct Daemon {
    host: HostId,
    table: RoutingTable,
    cells: Table<TargetName, Arc<TargetCell>>,
    health: HealthTables,
    reports: Vec<OutcomeReport>,
    /// When this daemon last sent a request to each target.
    used_at: [u64; TARGETS],
}

struct Run {
    ends_at: u64,
    sent_at: u64,
    daemon: usize,
    target: TargetIndex,
}

/// Six daemons in front of the six targets of one service.
struct Fleet {
    config: ConfigTables,
    daemons: Vec<Daemon>,
    running: Vec<Run>,
    busy: [u32; TARGETS],
    rng: Pcg64Mcg,
    /// The longest time in which a daemon left a target unused at which it has a
    /// slot, until the first target failed.
    longest_unused_ms: u64,
}

impl Fleet {
    fn new(seed: u64, slots: SlotCount) -> Self {
        let mut config = ConfigTables::default();
        let service = ServiceRow {
            detection: DetectionPolicy::detection_first(),
            ..ServiceRow::default()
        };
        config.services.insert(name("dispatch"), service);
        for number in 0..TARGETS {
            let row = TargetRow {
                service: name("dispatch"),
                address: SocketAddr::from(([127, 0, 0, 1], 80)),
                failure_domain: name(DOMAINS[number % 3]),
                slots,
                max_connections: 400,
                state: TargetState::Serving,
            };
            config
                .targets
                .insert(name(&format!("target-{number}")), row);
        }
        let mut daemons = Vec::new();
        for rank in 0..DAEMONS {
            let mut cells = Table::new();
            let table = build(Head::default(), &config, &mut cells);
            write_home_slots(&table, SERVICE, Some(rank as u32), DAEMONS as u32);
            daemons.push(Daemon {
                host: name(&format!("{}-{rank}", DOMAINS[rank % 3])),
                table,
                cells,
                health: HealthTables::default(),
                reports: Vec::new(),
                used_at: [0; TARGETS],
            });
        }
        Self {
            config,
            daemons,
            running: Vec::new(),
            busy: [0; TARGETS],
            rng: Pcg64Mcg::seed_from_u64(seed),
            longest_unused_ms: 0,
        }
    }

    /// Ends the runs that are over, and reports them to their daemons.
    fn end_runs(&mut self, now: u64) {
        for run in std::mem::take(&mut self.running) {
            if run.ends_at > now {
                self.running.push(run);
                continue;
            }
            let position = run.target.position();
            self.busy[position] -= 1;
            let daemon = &mut self.daemons[run.daemon];
            let entry = &daemon.table.targets[position];
            entry.cell.report_load(self.busy[position], TimeMs(now));
            entry.cell.release();
            let is_failing = position == 0 && run.sent_at >= FAILS_AT_MS;
            daemon.reports.push(OutcomeReport {
                service: name("dispatch"),
                target: entry.name.clone(),
                outcome: match is_failing {
                    true => AttemptOutcome::Failed,
                    false => AttemptOutcome::Answered,
                },
                elapsed_ms: DurationMs(run.ends_at - run.sent_at),
                at: TimeMs(now),
                fingerprint: Digest::default(),
                leaving: false,
                warming: false,
            });
        }
    }

    fn send(&mut self, now: u64) {
        let number = (now / INTERVAL_MS) as usize % DAEMONS;
        let daemon = &mut self.daemons[number];
        let target = pick_trial(&daemon.table, SERVICE, &[], TimeMs(now))
            .or_else(|| pick_target(&daemon.table, SERVICE, &[], TimeMs(now), &mut self.rng));
        let Some(target) = target else {
            return;
        };
        daemon.used_at[target.position()] = now;
        self.busy[target.position()] += 1;
        self.running.push(Run {
            ends_at: now + self.rng.random_range(RUN_MS),
            sent_at: now,
            daemon: number,
            target,
        });
    }

    fn note_unused(&mut self, now: u64) {
        for daemon in &self.daemons {
            for (position, target) in daemon.table.targets.iter().enumerate() {
                if target.cell.home_slots() > SlotCount(0) {
                    let unused_ms = now - daemon.used_at[position];
                    self.longest_unused_ms = self.longest_unused_ms.max(unused_ms);
                }
            }
        }
    }

    fn exchange_evidence(&mut self, now: u64) {
        let mut rows: Vec<PeerEvidence> = Vec::new();
        for daemon in &self.daemons {
            rows.extend(reportable_evidence(
                &daemon.health,
                &self.config,
                &daemon.host,
                TimeMs(now),
            ));
        }
        for daemon in &mut self.daemons {
            let others: Vec<_> = rows
                .iter()
                .filter(|row| row.reporter != daemon.host)
                .cloned()
                .collect();
            merge_peer_evidence(&mut daemon.health, &others, TimeMs(now));
        }
    }

    /// Runs the control tick of each daemon; returns whether one of them proposes to
    /// eject a target.
    fn tick(&mut self, now: u64) -> bool {
        let mut is_proposed = false;
        for daemon in &mut self.daemons {
            let reports = std::mem::take(&mut daemon.reports);
            record_outcomes(&mut daemon.health, &self.config, &reports, |_| false);
            refresh_baselines(&mut daemon.health, &self.config);
            let domain_of = |host: &HostId| host.as_str().get(..1).map(name);
            let evaluation = evaluate_targets(
                &mut daemon.health,
                &self.config,
                &PermitTables::default(),
                &daemon.host,
                TimeMs(now),
                domain_of,
            );
            write_verdicts(&evaluation, &daemon.cells);
            is_proposed |= evaluation
                .verdicts
                .rows()
                .any(|(_, verdict)| verdict.permit_proposal.is_some());
        }
        is_proposed
    }

    /// Runs the fleet until a daemon proposes to eject the failing target; returns how
    /// long after its first failure, or `None` if that takes more than a minute.
    fn run(&mut self) -> Option<DurationMs> {
        for now in 1..FAILS_AT_MS + 60_000 {
            self.end_runs(now);
            if now % INTERVAL_MS == 0 {
                self.send(now);
            }
            if now % EXCHANGE_MS == 0 {
                self.exchange_evidence(now);
            }
            if now < FAILS_AT_MS {
                self.note_unused(now);
            }
            if now % TICK_MS == 0 && self.tick(now) && now > FAILS_AT_MS {
                return Some(DurationMs(now - FAILS_AT_MS));
            }
        }
        None
    }
}

/// Guards against a daemon that passes over a target because of the last load that it
/// heard of, however long ago. Nothing it sends then shows whether the target fails.
/// A load report counts for 2 s; the next requests then go to the target.
#[test]
fn every_daemon_uses_each_of_its_targets() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed, SLOTS);
        fleet.run();
        let unused_ms = fleet.longest_unused_ms;
        println!("seed {seed}: unused for {unused_ms} ms");
        assert!(unused_ms <= 2_500, "seed {seed}: unused for {unused_ms} ms");
    }
}

/// Guards against a target that fails every request and is not ejected, because the
/// daemons see its failures so far apart that the first ones have expired.
#[test]
fn a_failing_target_is_proposed_for_ejection() {
    for seed in SEEDS {
        let proposed_ms = Fleet::new(seed, SLOTS).run();
        println!("seed {seed}: proposed after {proposed_ms:?}");
        assert!(
            proposed_ms.is_some_and(|after| after <= DurationMs(5_000)),
            "seed {seed}: proposed after {proposed_ms:?}"
        );
    }
}

/// Guards against a target that too few daemons use for an ejection: a target with
/// three slots is used by three daemons.
#[test]
fn a_failing_target_with_three_slots_is_proposed_for_ejection() {
    for seed in SEEDS {
        let proposed_ms = Fleet::new(seed, FEW_SLOTS).run();
        assert!(
            proposed_ms.is_some_and(|after| after <= DurationMs(5_000)),
            "seed {seed}: proposed after {proposed_ms:?}"
        );
    }
}

//! Tests that every daemon learns in time that a target is leaving, or no longer
//! is, so that leaving targets get no new work.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use agatehold_core::config::ServiceRow;
use agatehold_core::config::TargetRow;
use agatehold_core::config::TargetState;
use agatehold_core::control;
use agatehold_core::control::Command;
use agatehold_core::control::ControlTables;
use agatehold_core::ids::HostId;
use agatehold_core::ids::Incarnation;
use agatehold_core::ids::TargetName;
use agatehold_core::membership;
use agatehold_core::membership::HostPhase;
use agatehold_core::membership::ListedHost;
use agatehold_core::membership::OwnRow;
use agatehold_core::poison::PoisonTable;
use agatehold_core::table::Table;
use agatehold_core::units::DurationMs;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TimeMs;

const START: TimeMs = TimeMs(1_000_000);

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + u16::try_from(number).unwrap_or(0)))
}

fn host(number: usize) -> HostId {
    format!("host-{number}").parse().expect("a valid name")
}

fn target() -> TargetName {
    "certificates-0".parse().expect("a valid name")
}

/// Returns the control tables of daemon `number` in a fleet of `count` daemons
/// in one failure domain.
fn tables(number: usize, count: usize) -> ControlTables {
    let own = OwnRow {
        id: host(number),
        failure_domain: "domain-1".parse().expect("a valid name"),
        peer_address: address(number),
        caller_address: address(1_000 + number),
        incarnation: Incarnation(1),
        heartbeat: Default::default(),
        phase: HostPhase::Serving,
    };
    let mut hosts = Vec::new();
    for other in (0..count).filter(|other| *other != number) {
        hosts.push(ListedHost {
            id: host(other),
            failure_domain: "domain-1".parse().expect("a valid name"),
            peer_address: address(other),
            caller_address: Some(address(1_000 + other)),
            leaving: false,
        });
    }
    let mut tables = ControlTables::new(membership::start(own, &hosts, START));
    tables.replication.start.done = true;
    let service = "certificates".parse().expect("a valid name");
    let row = TargetRow {
        service,
        address: address(2_000),
        failure_domain: "domain-1".parse().expect("a valid name"),
        slots: SlotCount(4),
        max_connections: 400,
        state: TargetState::Serving,
    };
    let config = &mut tables.replication.log.config;
    config
        .services
        .insert(row.service.clone(), ServiceRow::default());
    config.targets.insert(target(), row);
    tables.cells.insert(target(), Arc::default());
    tables
}

/// Runs ticks of all daemons and delivers their digests within the same tick.
fn run_fleet(fleet: &mut [ControlTables], from: TimeMs, ticks: u64, rng: &mut Pcg64Mcg) {
    for tick in 0..ticks {
        let now = from + DurationMs(100).times(tick);
        for sender in 0..fleet.len() {
            let commands = control::tick(&mut fleet[sender], &PoisonTable::default(), now, rng);
            for command in commands {
                let Command::Exchange(to, digest) = command else {
                    continue;
                };
                let receiver = (0..fleet.len()).find(|number| host(*number) == to);
                let Some(receiver) = receiver else {
                    continue;
                };
                control::merge_digest(&mut fleet[receiver], &digest, None, now);
                let own = host(sender);
                let answer = control::build_digest(&mut fleet[receiver], &own, now);
                let round_trip = Some(DurationMs(0));
                control::merge_digest(&mut fleet[sender], &answer, round_trip, now);
            }
        }
    }
}

fn leaving_count(fleet: &[ControlTables]) -> usize {
    fleet
        .iter()
        .filter(|tables| {
            tables
                .cells
                .get(&target())
                .is_some_and(|cell| cell.is_leaving())
        })
        .count()
}

/// Guards against daemons sending work to a leaving target because only two
/// daemons of a failure domain read the host list often. Gossip must tell the
/// other 46 before they read the list themselves.
#[test]
fn one_reader_of_the_host_list_tells_the_fleet_within_3_s() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet: Vec<ControlTables> = (0..48).map(|number| tables(number, 48)).collect();
    run_fleet(&mut fleet, START, 100, &mut rng);
    assert_eq!(leaving_count(&fleet), 0);

    let listed = Table::from_iter([(target(), true)]);
    let now = START + DurationMs(10_000);
    control::merge_hosts(&mut fleet[17], &[], listed, now, now);
    run_fleet(&mut fleet, now, 10, &mut rng);
    // Gossip had 1 s. The other 2 of the 3 s are for the host list to be read,
    // which watchers do every 2 s.
    assert_eq!(leaving_count(&fleet), 48);
}

/// Guards against a target that still counts as leaving after it has restarted:
/// it would get no requests, and its capacity would be lost permanently.
#[test]
fn a_target_no_longer_listed_as_leaving_gets_work_again() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut fleet: Vec<ControlTables> = (0..12).map(|number| tables(number, 12)).collect();
    let listed = Table::from_iter([(target(), true)]);
    control::merge_hosts(&mut fleet[3], &[], listed, START, START);
    run_fleet(&mut fleet, START, 20, &mut rng);
    assert_eq!(leaving_count(&fleet), 12);

    let now = START + DurationMs(2_000);
    let listed = Table::from_iter([(target(), false)]);
    control::merge_hosts(&mut fleet[3], &[], listed, now, now);
    run_fleet(&mut fleet, now, 320, &mut rng);
    assert_eq!(leaving_count(&fleet), 0);
}

//! Tests that a daemon whose process was paused does not take itself for a member of the
//! fleet that is in contact, before it has heard from others again.

use std::net::SocketAddr;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use agatehold_core::control;
use agatehold_core::control::Command;
use agatehold_core::control::ControlTables;
use agatehold_core::ids::HostId;
use agatehold_core::ids::Incarnation;
use agatehold_core::membership;
use agatehold_core::membership::HostPhase;
use agatehold_core::membership::ListedHost;
use agatehold_core::membership::OwnRow;
use agatehold_core::membership::PeerDigest;
use agatehold_core::note::Head;
use agatehold_core::poison::PoisonTable;
use agatehold_core::replication;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

const START: TimeMs = TimeMs(1_000_000);

/// The number of daemons. The platform is away from the start on, so that they serve by
/// their contact to each other only.
const DAEMONS: usize = 5;

/// The number of the daemon that is paused.
const PAUSED: usize = 0;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + u16::try_from(number).unwrap_or(0)))
}

fn host(number: usize) -> HostId {
    format!("host-{number}").parse().expect("a valid name")
}

fn tables(number: usize) -> ControlTables {
    let own = OwnRow {
        id: host(number),
        failure_domain: "domain-1".parse().expect("a valid name"),
        peer_address: address(number),
        caller_address: address(1_000 + number),
        incarnation: Incarnation(1),
        heartbeat: Default::default(),
        phase: HostPhase::Serving,
    };
    let others = (0..DAEMONS).filter(|other| *other != number);
    let hosts: Vec<_> = others
        .map(|other| ListedHost {
            id: host(other),
            failure_domain: "domain-1".parse().expect("a valid name"),
            peer_address: address(other),
            caller_address: Some(address(1_000 + other)),
            leaving: false,
        })
        .collect();
    let mut tables = ControlTables::new(membership::start(own, &hosts, START));
    tables.replication.start.done = true;
    let wait_ms = DurationMs(0);
    replication::platform_head(
        &mut tables.replication,
        Head::default(),
        START,
        wait_ms,
        START,
    );
    tables
}

/// Runs the fleet for a number of ticks of 100 ms. Messages to the daemon that is paused
/// wait; returns them.
fn run_fleet(
    fleet: &mut [ControlTables],
    from: TimeMs,
    ticks: u64,
    is_paused: bool,
    rng: &mut Pcg64Mcg,
) -> Vec<PeerDigest> {
    let mut waiting = Vec::new();
    for tick in 0..ticks {
        let now = from + DurationMs(100).times(tick);
        for sender in 0..fleet.len() {
            if is_paused && sender == PAUSED {
                continue;
            }
            let commands = control::tick(&mut fleet[sender], &PoisonTable::default(), now, rng);
            for command in commands {
                let Command::Exchange(to, digest) = command else {
                    continue;
                };
                if is_paused && to == host(PAUSED) {
                    waiting.push(*digest);
                    membership::record_unreachable(&mut fleet[sender].membership, &to, now, now);
                    continue;
                }
                let Some(receiver) = (0..fleet.len()).find(|number| host(*number) == to) else {
                    continue;
                };
                control::merge_digest(&mut fleet[receiver], &digest, None, now);
                let answer = control::build_digest(&mut fleet[receiver], &host(sender), now);
                control::merge_digest(&mut fleet[sender], &answer, Some(DurationMs(0)), now);
            }
        }
    }
    waiting
}

fn phases(fleet: &[ControlTables]) -> Vec<HostPhase> {
    let phases = fleet.iter().map(|tables| tables.membership.own.phase);
    phases.collect()
}

/// Messages of the other daemons have waited in the sockets of one that was paused for an
/// hour. Guards against taking them for contact, by which it would serve a configuration
/// that may be out of force; it serves again once it has heard from the others.
#[test]
fn messages_that_waited_during_a_pause_are_no_contact() {
    let mut fleet: Vec<_> = (0..DAEMONS).map(tables).collect();
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    run_fleet(&mut fleet, START, 200, false, &mut rng);
    assert_eq!(phases(&fleet), [HostPhase::Serving; DAEMONS]);
    let paused_at = START + DurationMs(20_000);
    let waiting = run_fleet(&mut fleet, paused_at, 36_000, true, &mut rng);
    assert!(waiting.len() > 20, "{}", waiting.len());

    let resumed_at = paused_at + DurationMs(3_600_000);
    assert!(
        fleet[PAUSED].replication.serving_until < resumed_at,
        "requests are refused before the first tick"
    );
    let (early, late) = waiting.split_at(waiting.len() / 2);
    for digest in early {
        control::merge_digest(&mut fleet[PAUSED], digest, None, resumed_at);
    }
    let poison = PoisonTable::default();
    control::tick(&mut fleet[PAUSED], &poison, resumed_at, &mut rng);
    let later = resumed_at + DurationMs(100);
    for digest in late {
        control::merge_digest(&mut fleet[PAUSED], digest, None, later);
    }
    control::tick(&mut fleet[PAUSED], &poison, later, &mut rng);
    assert_eq!(fleet[PAUSED].membership.own.phase, HostPhase::Isolated);
    assert!(fleet[PAUSED].replication.serving_until < resumed_at);

    let next = later + DurationMs(100);
    run_fleet(&mut fleet, next, 100, false, &mut rng);
    assert_eq!(phases(&fleet), [HostPhase::Serving; DAEMONS]);
}

/// Guards against isolating a daemon, and with it the fleet, after a pause that is shorter
/// than the time for which it may serve without news.
#[test]
fn a_short_pause_changes_nothing() {
    let mut fleet: Vec<_> = (0..DAEMONS).map(tables).collect();
    let mut rng = Pcg64Mcg::seed_from_u64(12);
    run_fleet(&mut fleet, START, 200, false, &mut rng);
    let paused_at = START + DurationMs(20_000);
    run_fleet(&mut fleet, paused_at, 80, true, &mut rng);
    let resumed_at = paused_at + DurationMs(8_000);
    run_fleet(&mut fleet, resumed_at, 1, false, &mut rng);
    assert_eq!(phases(&fleet), [HostPhase::Serving; DAEMONS]);
    run_fleet(
        &mut fleet,
        resumed_at + DurationMs(100),
        100,
        false,
        &mut rng,
    );
    assert_eq!(phases(&fleet), [HostPhase::Serving; DAEMONS]);
}

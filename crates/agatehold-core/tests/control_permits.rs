//! Tests what a daemon does with permit records that it can't read, and with permits that
//! ran out while it was paused.

use std::collections::BTreeSet;
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
use agatehold_core::control::PermitVersion;
use agatehold_core::ejection::PermitEntry;
use agatehold_core::ejection::PermitNumber;
use agatehold_core::ejection::PermitRecord;
use agatehold_core::ejection::PermitState;
use agatehold_core::ids::Incarnation;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TargetName;
use agatehold_core::membership;
use agatehold_core::membership::HostPhase;
use agatehold_core::membership::OwnRow;
use agatehold_core::poison::PoisonTable;
use agatehold_core::routing::TargetCell;
use agatehold_core::table::Table;
use agatehold_core::units::DurationMs;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TargetCount;
use agatehold_core::units::TimeMs;

const START: TimeMs = TimeMs(1_000_000);

fn service() -> ServiceName {
    "certificates".parse().expect("a valid name")
}

fn target(number: usize) -> TargetName {
    format!("certificates-{number}")
        .parse()
        .expect("a valid name")
}

/// Returns the control tables of a daemon with a service of three targets and a floor of
/// two.
fn tables() -> ControlTables {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let own = OwnRow {
        id: "host-1".parse().expect("a valid name"),
        failure_domain: "domain-1".parse().expect("a valid name"),
        peer_address: address,
        caller_address: address,
        incarnation: Incarnation(1),
        heartbeat: Default::default(),
        phase: HostPhase::Serving,
    };
    let mut tables = ControlTables::new(membership::start(own, &[], START));
    tables.replication.start.done = true;
    let row = ServiceRow {
        floor: TargetCount(2),
        ..ServiceRow::default()
    };
    let config = &mut tables.replication.log.config;
    config.services.insert(service(), row);
    for number in 0..3 {
        let row = TargetRow {
            service: service(),
            address,
            failure_domain: "domain-1".parse().expect("a valid name"),
            slots: SlotCount(4),
            max_connections: 400,
            state: TargetState::Serving,
        };
        config.targets.insert(target(number), row);
        tables.cells.insert(target(number), Arc::default());
    }
    tables
}

fn record(number: u64) -> PermitRecord {
    let mut entries = Table::new();
    let entry = PermitEntry {
        state: PermitState::Ejected,
        added: PermitNumber(1),
        since: PermitNumber(1),
        hold_ms: DurationMs(600_000),
    };
    entries.insert(target(0), entry);
    PermitRecord {
        number: PermitNumber(number),
        entries,
    }
}

/// Reads the host list and the permit record, both at `now`.
fn read_all(tables: &mut ControlTables, version: u64, now: TimeMs) {
    let listed = (0..3).map(|number| (target(number), false)).collect();
    control::merge_hosts(tables, &[], listed, now, now);
    let answer = Some((PermitVersion(version), record(version)));
    control::merge_permit(tables, &service(), answer, now, now);
}

fn tick(tables: &mut ControlTables, now: TimeMs) -> Vec<Command> {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    control::tick(tables, &PoisonTable::default(), now, &mut rng)
}

fn excluded(tables: &ControlTables, now: TimeMs) -> BTreeSet<TargetName> {
    let is_excluded = |cell: &TargetCell| cell.is_excluded(now);
    let rows = tables.cells.rows();
    rows.filter(|(_, cell)| is_excluded(cell))
        .map(|(name, _)| name.clone())
        .collect()
}

/// The record has a newer version that this daemon can't read. Guards against confirming
/// the older one that it holds, and against overwriting the newer one.
#[test]
fn a_record_that_can_not_be_read_ends_the_exclusions() {
    let mut tables = tables();
    read_all(&mut tables, 1, START);
    tick(&mut tables, START);
    assert_eq!(excluded(&tables, START), BTreeSet::from([target(0)]));
    let mut now = START;
    for _ in 0..400 {
        now = now + DurationMs(100);
        let listed = (0..3).map(|number| (target(number), false)).collect();
        control::merge_hosts(&mut tables, &[], listed, now, now);
        control::merge_permit_list(&mut tables, &[(service(), PermitVersion(2))], now, now);
        control::merge_permit(&mut tables, &service(), None, now, now);
        for command in tick(&mut tables, now) {
            assert!(!matches!(command, Command::WritePermit(_)), "{command:?}");
        }
        let is_confirmed = now.since(START) < DurationMs(15_000);
        assert_eq!(excluded(&tables, now).len(), usize::from(is_confirmed));
    }
}

/// The process is paused for longer than its permits last; the answer to a read that it
/// sent before arrives when it goes on. Guards against excluding targets by that answer:
/// the other daemons have returned the target meanwhile, and exclude another one. Both the
/// permits and the host list have to be read anew.
#[test]
fn a_read_from_before_a_pause_confirms_no_permit() {
    let sent_at = START + DurationMs(1_000);
    let resumed_at = START + DurationMs(60_000);
    for (permits_at, hosts_at, is_excluded) in [
        (sent_at, sent_at, false),
        (sent_at, resumed_at, false),
        (resumed_at, sent_at, false),
        (resumed_at, resumed_at, true),
    ] {
        let mut tables = tables();
        read_all(&mut tables, 1, START);
        tick(&mut tables, START);
        assert_eq!(excluded(&tables, START), BTreeSet::from([target(0)]));
        assert_eq!(excluded(&tables, resumed_at), BTreeSet::new());
        let listed = [(service(), PermitVersion(1))];
        control::merge_permit_list(&mut tables, &listed, permits_at, resumed_at);
        let hosts = (0..3).map(|number| (target(number), false)).collect();
        control::merge_hosts(&mut tables, &[], hosts, hosts_at, resumed_at);
        tick(&mut tables, resumed_at);
        let count = excluded(&tables, resumed_at).len();
        assert_eq!(count, usize::from(is_excluded), "{permits_at} {hosts_at}");
    }
}

/// A daemon decides to remove an entry, and its process is paused before the write is sent.
/// Guards against sending it when the process goes on: the record may still have the
/// expected version, but the decision rests on what was known before.
#[test]
fn a_write_that_was_decided_before_a_pause_is_outdated() {
    let mut tables = tables();
    read_all(&mut tables, 1, START);
    let mut returning = record(2);
    let entry = returning.entries.get_mut(&target(0)).expect("an entry");
    entry.state = PermitState::Returning;
    entry.since = PermitNumber(2);
    let answer = Some((PermitVersion(2), returning));
    control::merge_permit(&mut tables, &service(), answer, START, START);
    let mut writes = Vec::new();
    for tenth in 1..300 {
        let now = START + DurationMs(100).times(tenth);
        for command in tick(&mut tables, now) {
            if let Command::WritePermit(write) = command {
                writes.push((now, write));
            }
        }
    }
    let (decided_at, write) = writes.first().expect("a write");
    assert!(!write.is_outdated(*decided_at));
    assert!(!write.is_outdated(*decided_at + DurationMs(1_000)));
    assert!(write.is_outdated(*decided_at + DurationMs(60_000)));
}

//! Tests how the slots of a service are assigned to its entry daemons.

use std::net::SocketAddr;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use agatehold_core::config::ConfigTables;
use agatehold_core::config::ServiceRow;
use agatehold_core::config::TargetRow;
use agatehold_core::config::TargetState;
use agatehold_core::note::Head;
use agatehold_core::routing::Preference;
use agatehold_core::routing::RoutingTable;
use agatehold_core::routing::ServiceIndex;
use agatehold_core::routing::build;
use agatehold_core::routing::pick_target;
use agatehold_core::routing::pick_trial;
use agatehold_core::routing::write_home_slots;
use agatehold_core::table::Table;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TimeMs;

const SERVICE: ServiceIndex = ServiceIndex(0);

/// Returns a routing table with one service and a target for each of `slots`.
fn routing_table(slots: &[u32]) -> RoutingTable {
    let service: agatehold_core::ids::ServiceName = "dispatch".parse().expect("a valid name");
    let mut config = ConfigTables::default();
    config
        .services
        .insert(service.clone(), ServiceRow::default());
    for (number, slots) in slots.iter().enumerate() {
        let row = TargetRow {
            service: service.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 80)),
            failure_domain: "domain-1".parse().expect("a valid name"),
            slots: SlotCount(*slots),
            max_connections: 350,
            state: TargetState::Serving,
        };
        let name = format!("target-{number:03}");
        config
            .targets
            .insert(name.parse().expect("a valid name"), row);
    }
    build(Head::default(), &config, &mut Table::new())
}

/// Claims slots until none is left and returns how many were claimed.
fn claim_all(table: &RoutingTable) -> u32 {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut claimed = 0;
    while pick_target(table, SERVICE, &[], TimeMs(1), &mut rng).is_some() {
        claimed += 1;
    }
    claimed
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(61),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against slots that are assigned to two daemons, which overloads the
    /// target, and slots that are assigned to none, which are lost.
    #[test]
    fn every_slot_is_assigned_to_exactly_one_daemon(
        slots in prop::collection::vec(1_u32..9, 1..40),
        entries in 1_u32..50,
    ) {
        let mut assigned = vec![0; slots.len()];
        let mut shares = Vec::new();
        for rank in 0..entries {
            let table = routing_table(&slots);
            write_home_slots(&table, SERVICE, Some(rank), entries);
            let mut share = 0;
            for (position, target) in table.targets.iter().enumerate() {
                assigned[position] += target.cell.home_slots().0;
                share += target.cell.home_slots().0;
            }
            shares.push(share);
        }
        prop_assert_eq!(&assigned, &slots);
        let smallest = shares.iter().min().copied().unwrap_or(0);
        let largest = shares.iter().max().copied().unwrap_or(0);
        prop_assert!(largest - smallest <= 1, "{:?}", shares);
    }
}

/// Guards against a daemon that uses more than its share: it takes slots of other
/// daemons, whose requests are then shed.
#[test]
fn a_daemon_stays_within_its_share() {
    let table = routing_table(&[4; 6]);
    write_home_slots(&table, SERVICE, Some(2), 6);
    assert_eq!(claim_all(&table), 4);
}

/// Home slots at an avoided target have to be replaced by slots at other targets.
/// Otherwise one failing target reduces the capacity of the daemon.
#[test]
fn home_slots_at_an_avoided_target_are_replaced() {
    let table = routing_table(&[4; 6]);
    write_home_slots(&table, SERVICE, Some(0), 3);
    let avoided = &table.targets[0].cell;
    avoided.set_preference(Preference::Avoided);
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    for _ in 0..8 {
        let index = pick_target(&table, SERVICE, &[], TimeMs(1), &mut rng);
        assert!(index.is_some_and(|index| index.position() != 0));
    }
}

/// Callers with outdated addresses reach daemons that are no longer entry daemons of the
/// service. These still have to serve them.
#[test]
fn a_daemon_without_home_slots_uses_free_ones() {
    let table = routing_table(&[4; 6]);
    write_home_slots(&table, SERVICE, None, 6);
    assert_eq!(claim_all(&table), 24);
}

/// The list of entry daemons and a daemon's position in it are of the same moment, so that
/// neither case occurs. Guards against a panic of the control thread, or billions of slots,
/// should that change: a position beyond the end gets nothing.
#[test]
fn a_position_beyond_the_entry_daemons_has_no_home_slots() {
    for (rank, entries) in [(0, 0), (1, 0), (6, 6), (30, 6), (u32::MAX, 6)] {
        let table = routing_table(&[4; 6]);
        write_home_slots(&table, SERVICE, Some(rank), entries);
        for target in &table.targets {
            assert_eq!(target.cell.home_slots(), SlotCount(0), "{rank} {entries}");
        }
    }
}

/// Guards against sums of slots beyond the range of a counter: a release note may state
/// any number of slots for a target.
#[test]
fn slots_beyond_the_range_of_a_counter_are_assigned_once() {
    let slots = [u32::MAX, 7, u32::MAX, 3];
    let mut assigned = [0_u64; 4];
    for rank in 0..3 {
        let table = routing_table(&slots);
        write_home_slots(&table, SERVICE, Some(rank), 3);
        for (position, target) in table.targets.iter().enumerate() {
            assigned[position] += u64::from(target.cell.home_slots().0);
        }
    }
    assert_eq!(assigned, slots.map(u64::from));
    let table = routing_table(&slots);
    write_home_slots(&table, SERVICE, Some(0), 1);
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    assert!(pick_target(&table, SERVICE, &[], TimeMs(1), &mut rng).is_some());
}

/// Guards against trials side by side: a target that answers slowly gets one with each
/// tick before the first has shown anything. A trial that finds no slot must not use up
/// the permission either.
#[test]
fn a_target_gets_one_trial_at_a_time() {
    let table = routing_table(&[2; 2]);
    let cell = &table.targets[0].cell;
    cell.set_preference(Preference::Avoided);
    cell.set_trial(true);
    let trial = || pick_trial(&table, SERVICE, &[], TimeMs(1)).map(|index| index.position());
    assert_eq!(trial(), Some(0));
    cell.set_trial(true);
    assert_eq!(trial(), None);
    cell.release();
    assert_eq!(trial(), Some(0));
    assert_eq!(trial(), None);
}

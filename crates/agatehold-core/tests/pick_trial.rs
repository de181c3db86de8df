//! Tests the choice of targets for trials, and that a choice uses no permission that ran
//! out while the process was paused.

use std::net::SocketAddr;

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
use agatehold_core::table::Table;
use agatehold_core::units::DurationMs;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TimeMs;

const SERVICE: ServiceIndex = ServiceIndex(0);
const NOW: TimeMs = TimeMs(1_000_000);

/// Returns a routing table with one service and `count` targets of one slot each.
fn routing_table(count: usize) -> RoutingTable {
    let service: agatehold_core::ids::ServiceName = "dispatch".parse().expect("a valid name");
    let mut config = ConfigTables::default();
    config
        .services
        .insert(service.clone(), ServiceRow::default());
    for number in 0..count {
        let row = TargetRow {
            service: service.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 80)),
            failure_domain: "domain-1".parse().expect("a valid name"),
            slots: SlotCount(1),
            max_connections: 350,
            state: TargetState::Serving,
        };
        let name = format!("target-{number}");
        config
            .targets
            .insert(name.parse().expect("a valid name"), row);
    }
    build(Head::default(), &config, &mut Table::new())
}

/// Guards against a trial that is used up by a target without a free slot: the target
/// then has none until the control thread permits the next.
#[test]
fn a_target_without_a_free_slot_keeps_its_trial() {
    let table = routing_table(1);
    let cell = &table.targets[0].cell;
    cell.set_preference(Preference::Avoided);
    cell.set_trial(true);
    assert!(cell.try_claim(SlotCount(1)));
    assert_eq!(pick_trial(&table, SERVICE, &[], NOW), None);
    cell.release();
    assert!(pick_trial(&table, SERVICE, &[], NOW).is_some());
}

/// Guards against a slot that is claimed for a trial and never released, and against two
/// trials by one permission.
#[test]
fn a_trial_takes_one_slot_and_a_refused_one_takes_none() {
    let table = routing_table(1);
    let cell = &table.targets[0].cell;
    cell.set_preference(Preference::Avoided);
    assert_eq!(pick_trial(&table, SERVICE, &[], NOW), None);
    assert_eq!(cell.in_flight(), 0);
    cell.set_trial(true);
    assert!(pick_trial(&table, SERVICE, &[], NOW).is_some());
    assert_eq!(cell.in_flight(), 1);
    cell.release();
    assert_eq!(pick_trial(&table, SERVICE, &[], NOW), None);
    assert_eq!(cell.in_flight(), 0);
}

/// A process is paused for longer than its exclusions last, and a traffic thread chooses a
/// target before the control thread runs. Guards against excluding targets by permits that
/// ran out, which together with the exclusions of other daemons may go below the floor.
#[test]
fn an_exclusion_that_ran_out_during_a_pause_is_not_used() {
    let table = routing_table(2);
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let until = NOW + DurationMs(15_000);
    for target in &table.targets {
        target.cell.set_excluded_until(Some(until));
    }
    assert_eq!(pick_target(&table, SERVICE, &[], NOW, &mut rng), None);
    let resumed_at = NOW + DurationMs(3_600_000);
    for _ in 0..2 {
        assert!(pick_target(&table, SERVICE, &[], resumed_at, &mut rng).is_some());
    }
}

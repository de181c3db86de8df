//! Tests that every daemon applies an accepted note within 9 s.

mod support;

use proptest::prelude::*;

use agatehold_core::note::Head;
use agatehold_core::units::DurationMs;
use agatehold_measure_fleet::configs;
use agatehold_measure_fleet::fleet;
use agatehold_measure_fleet::fleet::Fleet;
use agatehold_measure_fleet::fleet::FleetPlan;

use support::settings;

/// The time within which an accepted note must reach every daemon.
const SPREAD_LIMIT_MS: DurationMs = DurationMs(9_000);

fn fleet_of_48(seed: u64, loss: f64) -> Fleet {
    fleet::warmed_up_fleet(FleetPlan {
        daemons: 48,
        domains: 3,
        loss,
        seed,
    })
}

/// Returns the running hosts whose head is not `head`.
fn hosts_without(fleet: &Fleet, head: Head) -> Vec<String> {
    let mut hosts = Vec::new();
    for (id, row) in fleet.daemons.rows() {
        if row.running && row.replication.log.head != head {
            hosts.push(id.to_string());
        }
    }
    hosts
}

/// Releases a note and returns the running hosts that lack it after the time limit.
fn release_and_wait(fleet: &mut Fleet) -> Vec<String> {
    let record = fleet::release_note(fleet, "tenant 900", configs::tenant_note(900));
    let end = fleet.now + SPREAD_LIMIT_MS;
    fleet::advance(fleet, end);
    hosts_without(fleet, record.header.head())
}

proptest! {
    #![proptest_config(settings(6))]

    /// Lost messages must not keep a daemon on an old note.
    #[test]
    fn spreads_with_message_loss(seed in any::<u64>(), loss in 0.0..0.2) {
        let mut fleet = fleet_of_48(seed, loss);
        prop_assert_eq!(release_and_wait(&mut fleet), Vec::<String>::new());
    }

    /// Hosts killed just before a release, including watchers of the platform,
    /// must not prevent the note from reaching the others.
    #[test]
    fn spreads_after_a_third_of_the_hosts_died(seed in any::<u64>(), first in 0_u32..3) {
        let mut fleet = fleet_of_48(seed, 0.02);
        for number in (first..48).step_by(3) {
            fleet::kill(&mut fleet, &configs::host(number));
        }
        prop_assert_eq!(release_and_wait(&mut fleet), Vec::<String>::new());
    }

    /// One-way partitions between hosts must not prevent the note from reaching
    /// every host.
    #[test]
    fn spreads_under_one_way_partitions(seed in any::<u64>(), pairs in prop::collection::vec((0_u32..48, 0_u32..48), 200..400)) {
        let mut fleet = fleet_of_48(seed, 0.02);
        for (from, to) in pairs {
            fleet.faults.cut_links.insert((configs::host(from), configs::host(to)));
        }
        prop_assert_eq!(release_and_wait(&mut fleet), Vec::<String>::new());
    }

    /// A note accepted just before the platform became unavailable must still
    /// spread from the three daemons that the operator tool pushed it to.
    #[test]
    fn spreads_without_the_platform(seed in any::<u64>(), first in 0_u32..15, loss in 0.0..0.1) {
        let mut fleet = fleet_of_48(seed, loss);
        fleet.platform.up = false;
        let record = fleet::release_note(&mut fleet, "tenant 901", configs::tenant_note(901));
        // Hosts 3n, 3n + 1 and 3n + 2 are in different failure domains.
        for number in 3 * first..3 * first + 3 {
            fleet::push_note(&mut fleet, &configs::host(number), &record);
        }
        let end = fleet.now + SPREAD_LIMIT_MS;
        fleet::advance(&mut fleet, end);
        prop_assert_eq!(hosts_without(&fleet, record.header.head()), Vec::<String>::new());
    }
}

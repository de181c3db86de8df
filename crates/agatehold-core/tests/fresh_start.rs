//! Tests which first configuration a daemon without any starts to serve with.

mod support;

use proptest::prelude::*;

use agatehold_core::ids::HostId;
use agatehold_core::membership::HostPhase;
use agatehold_core::units::DurationMs;
use agatehold_measure_fleet::configs;
use agatehold_measure_fleet::fleet;
use agatehold_measure_fleet::fleet::Fleet;
use agatehold_measure_fleet::fleet::FleetPlan;

use support::settings;

fn fleet_of_48(seed: u64) -> Fleet {
    fleet::warmed_up_fleet(FleetPlan {
        daemons: 48,
        domains: 3,
        loss: 0.0,
        seed,
    })
}

fn wait(fleet: &mut Fleet, ms: u64) {
    let end = fleet.now + DurationMs(ms);
    fleet::advance(fleet, end);
}

fn serving(fleet: &Fleet) -> usize {
    let rows = fleet.daemons.rows();
    rows.filter(|(_, row)| row.membership.own.phase == HostPhase::Serving)
        .count()
}

/// Cuts `hosts` off from the platform and from all hosts except `exempt`.
fn cut_off(fleet: &mut Fleet, hosts: &[HostId], exempt: &HostId) {
    let all: Vec<HostId> = fleet.daemons.keys().cloned().collect();
    for host in hosts {
        fleet.faults.platform_cut_hosts.insert(host.clone());
        for other in &all {
            if other != exempt && other != host {
                fleet.faults.cut_links.insert((host.clone(), other.clone()));
                fleet.faults.cut_links.insert((other.clone(), host.clone()));
            }
        }
    }
}

proptest! {
    #![proptest_config(settings(6))]

    /// A daemon without a configuration must find the newest note even if the
    /// platform is down or restored to an older state. If it asked only
    /// outdated peers, it would serve a replaced configuration.
    #[test]
    fn finds_the_newest_note_among_outdated_hosts(seed in any::<u64>(), count in 1_usize..22, restored in any::<bool>()) {
        let mut fleet = fleet_of_48(seed);
        let starting = configs::host(47);
        let outdated: Vec<HostId> = fleet.daemons.keys().take(count).cloned().collect();
        cut_off(&mut fleet, &outdated, &starting);
        // The daemon under test is down while the note is released.
        fleet::kill(&mut fleet, &starting);
        let record = fleet::release_note(&mut fleet, "tenant 900", configs::tenant_note(900));
        wait(&mut fleet, 9_000);
        if restored {
            // It must not trust a platform that lost the note either.
            fleet.platform.records.truncate(1);
            fleet.faults.platform_cut_hosts = fleet.daemons.keys().cloned().collect();
            fleet.faults.platform_cut_hosts.remove(&starting);
        } else {
            fleet.platform.up = false;
        }
        fleet::restart(&mut fleet, &starting);
        for _ in 0..100 {
            wait(&mut fleet, 100);
            let row = fleet.daemons.get(&starting).unwrap();
            if row.replication.start.done {
                prop_assert_eq!(row.replication.log.head, record.header.head());
            }
        }
        prop_assert!(fleet.daemons.get(&starting).unwrap().replication.start.done);
    }

    /// A daemon must not start on the answers of half of the fleet or less,
    /// since those hosts may lack a note that the others hold.
    #[test]
    fn does_not_start_on_a_minority(seed in any::<u64>()) {
        let mut fleet = fleet_of_48(seed);
        fleet.platform.up = false;
        for number in 0..24 {
            fleet.faults.partitioned_hosts.insert(configs::host(number));
        }
        fleet::restart(&mut fleet, &configs::host(3));
        wait(&mut fleet, 30_000);
        let row = fleet.daemons.get(&configs::host(3)).unwrap();
        prop_assert_eq!(row.membership.own.phase, HostPhase::Starting);
    }

    /// While most hosts have no configuration, the remaining ones may be
    /// outdated, so that no daemon may start from them.
    #[test]
    fn does_not_start_while_most_hosts_lack_a_configuration(seed in any::<u64>()) {
        let mut fleet = fleet_of_48(seed);
        fleet.platform.up = false;
        for number in 0..26 {
            fleet::restart(&mut fleet, &configs::host(number));
        }
        wait(&mut fleet, 20_000);
        prop_assert_eq!(serving(&fleet), 22);
    }

    /// If no host holds a configuration, none may serve an empty one; all must
    /// wait for the platform.
    #[test]
    fn waits_for_the_platform_when_no_host_has_a_configuration(seed in any::<u64>()) {
        let mut fleet = fleet_of_48(seed);
        fleet.platform.up = false;
        for number in 0..48 {
            fleet::restart(&mut fleet, &configs::host(number));
        }
        wait(&mut fleet, 20_000);
        prop_assert_eq!(serving(&fleet), 0);
        fleet.platform.up = true;
        wait(&mut fleet, 10_000);
        prop_assert_eq!(serving(&fleet), 48);
    }
}

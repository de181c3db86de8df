//! Tests suspicion, refutation and isolation in simulated fleets, most of them
//! of 48 daemons.

mod support;

use proptest::prelude::*;

use agatehold_core::ids::HostId;
use agatehold_core::membership::HostPhase;
use agatehold_core::membership::Standing;
use agatehold_core::units::DurationMs;
use agatehold_measure_fleet::configs;
use agatehold_measure_fleet::fleet;
use agatehold_measure_fleet::fleet::Fleet;
use agatehold_measure_fleet::fleet::FleetPlan;

use support::settings;

fn fleet_of_48(seed: u64, loss: f64) -> Fleet {
    fleet::warmed_up_fleet(FleetPlan {
        daemons: 48,
        domains: 3,
        loss,
        seed,
    })
}

fn wait(fleet: &mut Fleet, ms: u64) {
    let end = fleet.now + DurationMs(ms);
    fleet::advance(fleet, end);
}

/// Returns each pair of a running daemon and a running host that the daemon
/// considers gone.
fn falsely_gone(fleet: &Fleet) -> Vec<(HostId, HostId)> {
    let mut pairs = Vec::new();
    for (id, row) in fleet.daemons.rows() {
        for (peer, seen) in row.membership.peers.rows() {
            let runs = fleet.daemons.get(peer).is_some_and(|peer| peer.running);
            if row.running && runs && matches!(seen.standing, Standing::Gone { .. }) {
                pairs.push((id.clone(), peer.clone()));
            }
        }
    }
    pairs
}

/// Returns the number of other running daemons that may send callers to `host`.
fn offered_by(fleet: &Fleet, host: &HostId) -> usize {
    let rows = fleet.daemons.rows();
    rows.filter(|(id, row)| row.running && *id != host)
        .filter(|(_, row)| {
            let seen = row.membership.peers.get(host);
            seen.is_some_and(|seen| seen.is_available())
        })
        .count()
}

fn phase(fleet: &Fleet, number: u32) -> Option<HostPhase> {
    let row = fleet.daemons.get(&configs::host(number))?;
    Some(row.membership.own.phase)
}

fn isolated(fleet: &Fleet) -> Vec<u32> {
    let numbers = 0..48;
    numbers
        .filter(|number| phase(fleet, *number) == Some(HostPhase::Isolated))
        .collect()
}

proptest! {
    #![proptest_config(settings(10))]

    /// Lost messages and one-way partitions must not remove a healthy host.
    #[test]
    fn removes_no_healthy_host(seed in any::<u64>(), loss in 0.0..0.04, cuts in prop::collection::vec((0_u32..48, 0_u32..48), 0..100)) {
        let mut fleet = fleet_of_48(seed, loss);
        for (from, to) in cuts {
            fleet.faults.cut_links.insert((configs::host(from), configs::host(to)));
        }
        for _ in 0..200 {
            wait(&mut fleet, 100);
            prop_assert_eq!(falsely_gone(&fleet), Vec::new());
        }
    }

    /// A host that two others can't reach must be able to refute their
    /// accusations through a third host.
    #[test]
    fn refutes_through_others(seed in any::<u64>(), victim in 0_u32..48) {
        let mut fleet = fleet_of_48(seed, 0.0);
        let host = configs::host(victim);
        let row = fleet.daemons.get(&host).unwrap();
        let ring: Vec<HostId> = row.membership.ring.iter().map(|(_, id)| id.clone()).collect();
        let place = ring.iter().position(|id| *id == host).unwrap();
        // The two hosts before it in the ring have it as a neighbour, at the
        // offsets 1 and 2.
        for offset in [1, 2] {
            let accuser = ring[(place + 48 - offset) % 48].clone();
            fleet.faults.cut_links.insert((accuser.clone(), host.clone()));
            fleet.faults.cut_links.insert((host.clone(), accuser));
        }
        for _ in 0..200 {
            wait(&mut fleet, 100);
            prop_assert_eq!(falsely_gone(&fleet), Vec::new());
        }
    }

    /// Every daemon must stop giving callers the address of a killed host
    /// within 6 s, the limit stated in the design documentation.
    #[test]
    fn drops_a_killed_host(seed in any::<u64>(), victim in 0_u32..48) {
        let mut fleet = fleet_of_48(seed, 0.0);
        let host = configs::host(victim);
        fleet::kill(&mut fleet, &host);
        wait(&mut fleet, 6_000);
        prop_assert_eq!(offered_by(&fleet, &host), 0);
        wait(&mut fleet, 20_000);
        prop_assert_eq!(falsely_gone(&fleet), Vec::new());
    }

    /// A daemon that is cut off from all hosts and the platform must stop
    /// serving after 9 s; the others must continue.
    #[test]
    fn isolates_a_daemon_that_is_cut_off(seed in any::<u64>(), victim in 0_u32..48) {
        let mut fleet = fleet_of_48(seed, 0.0);
        fleet.faults.partitioned_hosts.insert(configs::host(victim));
        fleet.faults.platform_cut_hosts.insert(configs::host(victim));
        wait(&mut fleet, 9_200);
        prop_assert_eq!(isolated(&fleet), vec![victim]);
    }

    /// The minority side of a partition must stop serving, whether the majority
    /// reaches the platform or not, and must serve again after the partition.
    #[test]
    fn isolates_a_minority(seed in any::<u64>(), platform_up in any::<bool>(), size in 2_u32..20) {
        let mut fleet = fleet_of_48(seed, 0.0);
        fleet.platform.up = platform_up;
        for number in 0..size {
            fleet.faults.partitioned_hosts.insert(configs::host(number));
            fleet.faults.platform_cut_hosts.insert(configs::host(number));
        }
        wait(&mut fleet, 15_000);
        prop_assert_eq!(isolated(&fleet), (0..size).collect::<Vec<_>>());
        fleet.faults.partitioned_hosts.clear();
        fleet.faults.platform_cut_hosts.clear();
        wait(&mut fleet, 40_000);
        prop_assert_eq!(isolated(&fleet), Vec::<u32>::new());
        prop_assert_eq!(falsely_gone(&fleet), Vec::new());
    }

    /// The loss of the platform alone must not isolate any daemon.
    #[test]
    fn serves_without_the_platform(seed in any::<u64>(), loss in 0.0..0.03) {
        let mut fleet = fleet_of_48(seed, loss);
        fleet.platform.up = false;
        for _ in 0..30 {
            wait(&mut fleet, 1_000);
            prop_assert_eq!(isolated(&fleet), Vec::<u32>::new());
        }
    }

    /// If a host restarts immediately, all daemons must know its new incarnation
    /// and not the one before the restart.
    #[test]
    fn recognises_a_restarted_host(seed in any::<u64>(), victim in 0_u32..48) {
        let mut fleet = fleet_of_48(seed, 0.0);
        let host = configs::host(victim);
        fleet::kill(&mut fleet, &host);
        wait(&mut fleet, 200);
        fleet::restart(&mut fleet, &host);
        wait(&mut fleet, 12_000);
        prop_assert_eq!(phase(&fleet, victim), Some(HostPhase::Serving));
        let incarnation = fleet.daemons.get(&host).unwrap().membership.own.incarnation;
        for (id, row) in fleet.daemons.rows() {
            let Some(seen) = row.membership.peers.get(&host) else {
                prop_assert_eq!(id, &host);
                continue;
            };
            prop_assert_eq!(seen.incarnation, incarnation);
            prop_assert!(seen.is_available());
        }
    }
}

/// In a large fleet, a daemon that is cut off sees too few accusations to
/// conclude that it lost the majority. It must notice that no host sends
/// messages to it.
#[test]
fn isolates_a_daemon_cut_off_from_a_large_fleet() {
    let plan = FleetPlan {
        daemons: 200,
        domains: 7,
        loss: 0.0,
        seed: 11,
    };
    let mut fleet = fleet::warmed_up_fleet(plan);
    fleet.platform.up = false;
    fleet.faults.partitioned_hosts.insert(configs::host(7));
    wait(&mut fleet, 13_000);
    let phases = fleet.daemons.rows();
    let isolated: Vec<&HostId> = phases
        .filter(|(_, row)| row.membership.own.phase == HostPhase::Isolated)
        .map(|(id, _)| id)
        .collect();
    assert_eq!(isolated, vec![&configs::host(7)]);
}

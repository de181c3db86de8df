//! Measures how evenly callers are spread over the daemons.

use agatehold_core::addresses;
use agatehold_core::config::ConfigTables;
use agatehold_core::ids::HostId;
use agatehold_core::membership::Standing;
use agatehold_core::note;
use agatehold_core::table::Table;
use agatehold_core::units::TimeMs;

use crate::configs;
use crate::fleet;

use super::network;

/// Returns the ratio of the busiest daemon's share of all slots to the mean share,
/// and the maximum number of services that one daemon is an entry daemon of.
///
/// With `lost_each`, every `lost_each`-th daemon is gone; the mean is taken over
/// the remaining ones.
///
/// # Panics
///
/// Panics if the generated configuration is not valid.
pub fn share_ratio(daemons: u32, lost_each: Option<usize>) -> (f64, u32) {
    let size = network::config_size(daemons);
    let note = configs::base_note(&size);
    let config = match note::apply(&ConfigTables::default(), &note) {
        Ok(config) => config,
        Err(errors) => panic!("{}", errors[0]),
    };
    let small = configs::base_note(&configs::ConfigSize::certiverde());
    let fleet = fleet::converged_fleet(network::fleet_plan(daemons, 0.0, 3), &small);
    let Some(row) = fleet.daemons.get(&configs::host(0)) else {
        return (0.0, 0);
    };
    let mut membership = row.membership.clone();
    let mut alive = daemons;
    if let Some(each) = lost_each {
        for (_, row) in membership.peers.rows_mut().skip(each - 1).step_by(each) {
            row.standing = Standing::Gone { since: TimeMs(0) };
            alive -= 1;
        }
    }
    let entries = addresses::choose_entries(&config, &membership);
    let mut shares: Table<HostId, (f64, u32)> = Table::new();
    let mut total = 0.0;
    for (service, row) in entries.rows() {
        let targets = config.targets.rows();
        let slots: u32 = targets
            .filter(|(_, target)| target.service == *service)
            .map(|(_, target)| target.slots.0)
            .sum();
        let count = u32::try_from(row.hosts.len()).unwrap_or(u32::MAX);
        for entry in &row.hosts {
            let (share, services) = shares.get_or_insert(entry.host.clone(), || (0.0, 0));
            *share += f64::from(slots) / f64::from(count);
            *services += 1;
        }
        total += f64::from(slots);
    }
    let busiest = shares.rows().map(|(_, row)| row.0).fold(0.0, f64::max);
    let max_services = shares.rows().map(|(_, row)| row.1).max().unwrap_or(0);
    (busiest * f64::from(alive) / total, max_services)
}

/// Prints the ratio of the busiest daemon's share to the mean share, before and
/// after losses of daemons.
pub fn entry_shares() {
    println!("| daemons | lost | busiest / mean | most services at one daemon |");
    println!("| ---: | ---: | ---: | ---: |");
    for daemons in [12, 36, 48, 220, 880] {
        for (lost, each) in [
            ("none", None),
            ("one in 16", Some(16)),
            ("one in 3", Some(3)),
        ] {
            let (ratio, max_services) = share_ratio(daemons, each);
            println!("| {daemons} | {lost} | {ratio:.3} | {max_services} |");
        }
    }
}

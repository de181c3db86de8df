//! Chooses the entry daemons of each service.

use std::net::SocketAddr;

use crate::config::ConfigTables;
use crate::config::TargetState;
use crate::ids::FailureDomain;
use crate::ids::HostId;
use crate::ids::ServiceName;
use crate::membership::HostPhase;
use crate::membership::Membership;
use crate::table::Table;

use super::rendezvous_score;

/// The minimum number of entry daemons of a service in a failure domain, so
/// that the loss of one daemon leaves another in the same domain.
const ENTRIES_PER_DOMAIN_MIN: usize = 2;

/// The average number of services for which a daemon is an entry. With 1, the
/// load of a lost daemon can't be shared evenly within its domain; with more
/// than 2, each daemon sees less of the targets' load and the fleet needs more
/// connections.
const ENTRIES_PER_DAEMON: f64 = 2.0;

/// The maximum ratio of a daemon's share of the slots to the mean share of all
/// daemons. A daemon is skipped if one more entry would raise its share above
/// the limit.
const SHARE_LIMIT: f64 = 1.1;

/// An entry daemon of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryHost {
    /// The host.
    pub host: HostId,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// The address at which it accepts callers.
    pub address: SocketAddr,
}

/// The entries of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryRow {
    /// The entries, alternating between failure domains as long as each domain
    /// has entries left.
    pub hosts: Vec<EntryHost>,
}

/// A daemon that may be chosen as an entry.
struct Candidate {
    entry: EntryHost,
    /// The slots assigned to the daemon so far.
    share: f64,
}

/// Chooses the entries of every service.
///
/// In each failure domain the daemons with the highest rendezvous scores are
/// chosen; their number is proportional to the service's slots. A daemon that
/// would exceed its share of all slots is skipped (consistent hashing with
/// bounded loads, Mirrokni and others 2018). Daemons with the same
/// configuration and membership choose the same entries.
pub fn choose_entries(
    config: &ConfigTables,
    membership: &Membership,
) -> Table<ServiceName, EntryRow> {
    let slots = slots_by_service(config);
    let total: f64 = slots.rows().map(|(_, count)| *count).sum();
    let mut domains = candidates(membership);
    let daemons: usize = domains.rows().map(|(_, hosts)| hosts.len()).sum();
    let largest_domain = domains
        .rows()
        .map(|(_, hosts)| hosts.len())
        .max()
        .unwrap_or(0);
    let mut entries = Table::new();
    if daemons == 0 || total <= 0.0 {
        return entries;
    }
    let limit = SHARE_LIMIT * total / to_f64(daemons);
    let mut order: Vec<(&ServiceName, f64)> = slots.rows().map(|(k, v)| (k, *v)).collect();
    // The largest services come first, while the daemons still have room for
    // them.
    order.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(b.0)));
    for (service, slots) in order {
        let share = ENTRIES_PER_DAEMON * slots / total;
        let mut counts = Vec::new();
        for (domain, hosts) in domains.rows() {
            let wanted = (share * to_f64(hosts.len())).ceil();
            counts.push((domain.clone(), entry_count(wanted, hosts.len())));
        }
        let entry_total: usize = counts.iter().map(|(_, count)| count).sum();
        let slots_per_entry = slots / to_f64(entry_total);
        let mut chosen = Vec::new();
        for (domain, count) in counts {
            if let Some(hosts) = domains.get_mut(&domain) {
                // The few daemons left in a domain that lost most of them
                // would be overloaded if they had to take every service.
                let entries_min = if hosts.len() * 2 >= largest_domain {
                    ENTRIES_PER_DOMAIN_MIN
                } else {
                    0
                };
                chosen.push(choose_domain_entries(
                    service,
                    hosts,
                    count,
                    entries_min,
                    slots_per_entry,
                    limit,
                ));
            }
        }
        entries.insert(service.clone(), interleave(chosen));
    }
    entries
}

#[expect(clippy::cast_precision_loss, reason = "counts of hosts are small")]
fn to_f64(count: usize) -> f64 {
    count as f64
}

fn entry_count(wanted: f64, hosts: usize) -> usize {
    let mut count = ENTRIES_PER_DOMAIN_MIN.min(hosts);
    while count < hosts && to_f64(count) < wanted {
        count += 1;
    }
    count
}

fn slots_by_service(config: &ConfigTables) -> Table<ServiceName, f64> {
    let mut slots: Table<ServiceName, f64> = Table::new();
    for (name, _) in config.services.rows() {
        slots.insert(name.clone(), 0.0);
    }
    for (_, target) in config.targets.rows() {
        if target.state != TargetState::Serving {
            continue;
        }
        *slots.get_or_insert(target.service.clone(), || 0.0) += f64::from(target.slots.0);
    }
    slots
}

fn candidates(membership: &Membership) -> Table<FailureDomain, Vec<Candidate>> {
    let mut domains: Table<FailureDomain, Vec<Candidate>> = Table::new();
    let own = &membership.own;
    if own.phase == HostPhase::Serving {
        let entry = EntryHost {
            host: own.id.clone(),
            failure_domain: own.failure_domain.clone(),
            address: own.caller_address,
        };
        let hosts = domains.get_or_insert(own.failure_domain.clone(), Vec::new);
        hosts.push(Candidate { entry, share: 0.0 });
    }
    for (id, row) in membership.peers.rows() {
        let Some(address) = row.caller_address else {
            continue;
        };
        if !row.is_available() {
            continue;
        }
        let entry = EntryHost {
            host: id.clone(),
            failure_domain: row.failure_domain.clone(),
            address,
        };
        let hosts = domains.get_or_insert(row.failure_domain.clone(), Vec::new);
        hosts.push(Candidate { entry, share: 0.0 });
    }
    domains
}

fn choose_domain_entries(
    service: &ServiceName,
    hosts: &mut [Candidate],
    count: usize,
    entries_min: usize,
    slots_per_entry: f64,
    limit: f64,
) -> Vec<EntryHost> {
    hosts.sort_by_cached_key(|host| {
        let id = &host.entry.host;
        let score = rendezvous_score(&["entry", service.as_str()], id.as_str());
        (std::cmp::Reverse(score), id.clone())
    });
    let mut taken = Vec::new();
    let mut full = Vec::new();
    for host in hosts.iter_mut() {
        if taken.len() == count {
            break;
        }
        if host.share + slots_per_entry > limit {
            full.push(host);
            continue;
        }
        host.share += slots_per_entry;
        taken.push(host.entry.clone());
    }
    // If too few daemons have room, the least loaded ones exceed their limit
    // until the domain has its minimum number of entries.
    full.sort_by(|a, b| a.share.total_cmp(&b.share));
    for host in full {
        if taken.len() >= entries_min {
            break;
        }
        host.share += slots_per_entry;
        taken.push(host.entry.clone());
    }
    taken
}

/// Takes one entry of each domain in turn.
fn interleave(chosen: Vec<Vec<EntryHost>>) -> EntryRow {
    let longest = chosen.iter().map(Vec::len).max().unwrap_or(0);
    let mut hosts = Vec::new();
    for place in 0..longest {
        for domain in &chosen {
            if let Some(entry) = domain.get(place) {
                hosts.push(entry.clone());
            }
        }
    }
    EntryRow { hosts }
}

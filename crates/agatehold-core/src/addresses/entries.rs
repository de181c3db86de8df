//! The daemons through which each service is entered.

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

/// The fewest entries of a service in a failure domain, so that losing one
/// daemon leaves another in the same domain.
const ENTRIES_PER_DOMAIN_MIN: usize = 2;

/// How many entries daemons hold on average. With one, a domain that loses a
/// daemon can't share its load evenly; more take away from each daemon's view
/// of the targets and add connections.
const ENTRIES_PER_DAEMON: f64 = 2.0;

/// How far a daemon's share may exceed the mean of its failure domain before
/// an entry goes to the next daemon by rank.
const SHARE_LIMIT: f64 = 1.1;

/// A daemon that a service is entered through.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryHost {
    /// The host.
    pub host: HostId,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// Where it takes callers.
    pub address: SocketAddr,
}

/// The entries of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryRow {
    /// The entries, neighbouring ones in different failure domains where the
    /// domains are of equal size.
    pub hosts: Vec<EntryHost>,
}

/// A daemon that may become an entry.
struct Candidate {
    entry: EntryHost,
    share: f64,
}

/// Chooses the entries of every service.
///
/// Within each failure domain the daemons with the highest rendezvous scores
/// are taken, in number proportional to the service's slots. A daemon whose
/// share of all slots is full is passed over (consistent hashing with bounded
/// loads, Mirrokni and others 2018). Daemons that agree on the configuration
/// and the membership agree on the entries.
pub fn choose_entries(
    config: &ConfigTables,
    membership: &Membership,
) -> Table<ServiceName, EntryRow> {
    let slots = slots_by_service(config);
    let total: f64 = slots.rows().map(|(_, count)| *count).sum();
    let mut domains = candidates(membership);
    let daemons: usize = domains.rows().map(|(_, hosts)| hosts.len()).sum();
    let largest = domains
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
    // Services with the largest piece for each entry come first, while there
    // is room for them.
    order.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(b.0)));
    for (service, slots) in order {
        let share = ENTRIES_PER_DAEMON * slots / total;
        let mut counts = Vec::new();
        for (domain, hosts) in domains.rows() {
            let wanted = (share * to_f64(hosts.len())).ceil();
            counts.push((domain.clone(), entry_count(wanted, hosts.len())));
        }
        let all: usize = counts.iter().map(|(_, count)| count).sum();
        let piece = slots / to_f64(all);
        let mut chosen = Vec::new();
        for (domain, count) in counts {
            if let Some(hosts) = domains.get_mut(&domain) {
                // A domain that lost most of its daemons would be overloaded
                // if the few that are left had to take every service.
                let fewest = if hosts.len() * 2 >= largest {
                    ENTRIES_PER_DOMAIN_MIN
                } else {
                    0
                };
                chosen.push(take_entries(service, hosts, count, fewest, piece, limit));
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

fn take_entries(
    service: &ServiceName,
    hosts: &mut [Candidate],
    count: usize,
    fewest: usize,
    piece: f64,
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
        if host.share + piece > limit {
            full.push(host);
            continue;
        }
        host.share += piece;
        taken.push(host.entry.clone());
    }
    // Where too few daemons have room, the least loaded ones take more, up to
    // the fewest entries that the domain must have.
    full.sort_by(|a, b| a.share.total_cmp(&b.share));
    for host in full {
        if taken.len() >= fewest {
            break;
        }
        host.share += piece;
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

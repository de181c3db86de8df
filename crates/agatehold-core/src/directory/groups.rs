//! Groups host names that share services, so that the requests of a service
//! pass through few daemons.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::catalog::Catalog;
use crate::ids::ServiceName;

use super::entry_count;

/// The most entry daemons of a group. Each daemon of a larger group would see
/// so little of any service that a set for each host name is better.
const GROUP_ENTRIES_MAX: u32 = 24;

/// How many daemons callers are given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryPolicy {
    /// The least number of entry daemons of a group.
    pub least: u32,
    /// The slots of the group's targets for each of its entry daemons.
    pub slots_per_entry: u32,
}

/// Host names whose callers are given the same daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryGroup {
    /// The host names, in lower case; at least one.
    pub hosts: BTreeSet<Box<str>>,
    /// The services that the routes of these hosts go to.
    pub services: BTreeSet<ServiceName>,
    /// What the entry daemons are chosen by; the same while the group keeps its
    /// first service.
    pub subject: Box<str>,
    /// The number of entry daemons.
    pub count: u32,
}

/// Groups the host names of a configuration; `slots_of` returns the slots of a
/// service's targets.
///
/// Host names that share a service are in one group, as long as it needs no
/// more than [`GROUP_ENTRIES_MAX`] daemons.
pub fn entry_groups(
    catalog: &Catalog,
    policy: &EntryPolicy,
    slots_of: impl Fn(&ServiceName) -> u32,
) -> Vec<EntryGroup> {
    let mut by_host: BTreeMap<Box<str>, BTreeSet<ServiceName>> = BTreeMap::new();
    for route in &catalog.routes {
        let services = by_host.entry(route.host.clone()).or_default();
        for part in &route.services {
            services.insert(part.service.clone());
        }
    }
    let mut groups = Vec::new();
    for joined in join_by_service(&by_host) {
        let group = new_group(joined, &by_host, policy, &slots_of);
        if group.count <= GROUP_ENTRIES_MAX {
            groups.push(group);
            continue;
        }
        for host in group.hosts {
            let alone = BTreeSet::from([host.clone()]);
            let mut group = new_group(alone, &by_host, policy, &slots_of);
            group.subject = host;
            groups.push(group);
        }
    }
    groups
}

/// Joins the hosts that share a service, directly or by others.
fn join_by_service(by_host: &BTreeMap<Box<str>, BTreeSet<ServiceName>>) -> Vec<BTreeSet<Box<str>>> {
    let mut joined: Vec<(BTreeSet<Box<str>>, BTreeSet<ServiceName>)> = Vec::new();
    for (host, services) in by_host {
        let mut hosts = BTreeSet::from([host.clone()]);
        let mut reached = services.clone();
        let mut apart = Vec::with_capacity(joined.len());
        for (other_hosts, other_services) in joined {
            if other_services.is_disjoint(&reached) {
                apart.push((other_hosts, other_services));
                continue;
            }
            hosts.extend(other_hosts);
            reached.extend(other_services);
        }
        apart.push((hosts, reached));
        joined = apart;
    }
    joined.into_iter().map(|(hosts, _)| hosts).collect()
}

fn new_group(
    hosts: BTreeSet<Box<str>>,
    by_host: &BTreeMap<Box<str>, BTreeSet<ServiceName>>,
    policy: &EntryPolicy,
    slots_of: &impl Fn(&ServiceName) -> u32,
) -> EntryGroup {
    let mut services = BTreeSet::new();
    for host in &hosts {
        if let Some(reached) = by_host.get(host) {
            services.extend(reached.iter().cloned());
        }
    }
    let slots = services.iter().map(slots_of).sum();
    let subject = services.first().map_or("", ServiceName::as_str).into();
    EntryGroup {
        count: entry_count(policy.least, slots, policy.slots_per_entry),
        hosts,
        services,
        subject,
    }
}

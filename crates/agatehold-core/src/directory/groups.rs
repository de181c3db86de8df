//! Groups host names whose routes lead to the same services, so that each
//! service is served by few entry daemons.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::catalog::Catalog;
use crate::ids::ServiceName;

use super::EntryDemand;

/// The maximum number of target slots of a group with several host names. A
/// larger group would need so many entry daemons that each would see too little
/// traffic of any one service; it is split into one group for each host name.
const GROUP_SLOTS_MAX: u32 = 3_000;

/// How many entry daemons a group gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryPolicy {
    /// The minimum number of entry daemons of a group.
    pub least: u32,
    /// The number of target slots that one core of entry daemons can serve.
    pub slots_per_core: u32,
}

/// Host names whose callers get the same entry daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryGroup {
    /// The host names, in lower case; at least one.
    pub hosts: BTreeSet<Box<str>>,
    /// The services to which the routes of these host names lead.
    pub services: BTreeSet<ServiceName>,
    /// The hash key for choosing the entry daemons: the name of the group's
    /// first service, or the host name if the group was split.
    pub subject: Box<str>,
    /// The total number of slots of the services' targets.
    pub slots: u32,
    /// How many entry daemons the group needs.
    pub demand: EntryDemand,
}

/// Groups the host names of a configuration. `slots_of` returns the total slots
/// of a service's targets.
///
/// Host names that share a service are in one group, unless its targets have
/// more than [`GROUP_SLOTS_MAX`] slots.
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
        if group.slots <= GROUP_SLOTS_MAX || group.hosts.len() == 1 {
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

/// Returns the connected sets of host names: two host names belong to one set
/// if they share a service, directly or through other host names.
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
    let slots = services.iter().map(slots_of).fold(0, u32::saturating_add);
    let millicores = u64::from(slots) * 1_000 / u64::from(policy.slots_per_core.max(1));
    let subject = services.first().map_or("", ServiceName::as_str).into();
    EntryGroup {
        slots,
        demand: EntryDemand {
            least: policy.least as usize,
            capacity_millicores: u32::try_from(millicores).unwrap_or(u32::MAX),
        },
        hosts,
        services,
        subject,
    }
}

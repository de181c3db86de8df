//! Assigns each target of a service to one entry daemon, its home, so that one
//! daemon sees most of the work of a target and knows its free slots.

use std::collections::BTreeMap;

use crate::addresses::rendezvous_score;
use crate::ids::FailureDomain;
use crate::ids::HostId;
use crate::ids::TargetName;

/// An entry daemon of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryDaemon<'a> {
    /// Its host.
    pub host: &'a HostId,
    /// The failure domain of its host.
    pub failure_domain: &'a FailureDomain,
}

/// Returns the position in `entries` of each target's home, in the order of
/// `targets`; 0 for all if there are no entries.
///
/// A target's home is in its own failure domain if that has an entry daemon. The
/// targets of a failure domain are divided evenly: each goes to the daemon with
/// the highest rendezvous score that has not got its share yet (consistent
/// hashing with bounded loads, Mirrokni, Thorup and Zadimoghaddam 2018). All
/// daemons that know the same entries and targets make the same choice, and few
/// homes change when one of them comes or goes.
pub fn choose_homes(
    entries: &[EntryDaemon<'_>],
    targets: &[(&TargetName, &FailureDomain)],
) -> Vec<u32> {
    let mut near: BTreeMap<&FailureDomain, Vec<usize>> = BTreeMap::new();
    for (position, entry) in entries.iter().enumerate() {
        near.entry(entry.failure_domain).or_default().push(position);
    }
    let everywhere: Vec<usize> = (0..entries.len()).collect();
    let mut host_hashes = Vec::with_capacity(entries.len());
    for entry in entries {
        host_hashes.push(rendezvous_score(&["host"], entry.host.as_str()));
    }
    // The targets of a failure domain without entry daemons share one group.
    let mut groups: BTreeMap<Option<&FailureDomain>, Vec<usize>> = BTreeMap::new();
    for (position, (_, domain)) in targets.iter().enumerate() {
        let group = near.contains_key(domain).then_some(*domain);
        groups.entry(group).or_default().push(position);
    }
    let mut homes = vec![0; targets.len()];
    for (group, mut members) in groups {
        let candidates = match group {
            Some(domain) => &near[domain],
            None => &everywhere,
        };
        if candidates.is_empty() {
            continue;
        }
        let share = members.len().div_ceil(candidates.len());
        let mut counts = vec![0; entries.len()];
        members.sort_by_cached_key(|position| {
            rendezvous_score(&["home"], targets[*position].0.as_str())
        });
        for position in members {
            let target_hash = rendezvous_score(&["target"], targets[position].0.as_str());
            let open = candidates.iter().filter(|entry| counts[**entry] < share);
            let score = |entry: &&usize| mix(host_hashes[**entry] ^ target_hash);
            let Some(home) = open.max_by_key(score) else {
                continue;
            };
            counts[*home] += 1;
            homes[position] = u32::try_from(*home).unwrap_or(u32::MAX);
        }
    }
    homes
}

/// Mixes the bits of a combined hash (the finalizer of MurmurHash3), which is cheaper
/// than to hash each pair of names.
const fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

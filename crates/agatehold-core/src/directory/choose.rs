//! Chooses the daemons that callers of a service are given.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::addresses::rendezvous_score;
use crate::ids::FailureDomain;
use crate::ids::HostId;

use super::MemberRecord;

/// Returns the entry daemons of a subject: the best `count` by rendezvous
/// hashing weighted by capacity, in different failure domains as far as there
/// are enough of them.
///
/// Few daemons carry a service, so that each sees much of its traffic: it
/// knows the load of the targets and learns of a bad one early. All daemons
/// that know the same members choose alike.
pub fn entry_daemons<'a>(
    members: impl Iterator<Item = (&'a HostId, &'a MemberRecord)>,
    subject: &str,
    count: usize,
) -> Vec<(&'a HostId, &'a MemberRecord)> {
    let mut candidates = Vec::new();
    for (host, member) in members {
        if member.leaving {
            continue;
        }
        let score = weighted_score(subject, host, member.capacity_millicores);
        candidates.push((score, host, member));
    }
    candidates.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
    let mut taken: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
    let mut ranked = Vec::with_capacity(candidates.len());
    for (place, (_, host, member)) in candidates.into_iter().enumerate() {
        let before = taken.entry(&member.failure_domain).or_default();
        ranked.push((*before, place, host, member));
        *before += 1;
    }
    // The best of each domain, then the second best of each, and so on.
    ranked.sort_by_key(|(before, place, _, _)| (*before, *place));
    let mut chosen = Vec::new();
    for (_, _, host, member) in ranked.into_iter().take(count) {
        chosen.push((host, member));
    }
    chosen
}

/// Returns how many entry daemons a service has: `least`, and more where its
/// targets have more than `slots_per_entry` slots for each.
pub fn entry_count(least: u32, slots: u32, slots_per_entry: u32) -> u32 {
    least.max(slots.div_ceil(slots_per_entry.max(1)))
}

/// The power of its capacity by which a host is weighed. Entry daemons are few
/// and carry equal shares, so that a weak one is worse than its part of the
/// fleet's capacity.
const CAPACITY_EXPONENT: i32 = 2;

/// Weighted rendezvous hashing (Schindelhauer and Schomaker 2005): a host is
/// chosen in proportion to its weight.
fn weighted_score(subject: &str, host: &HostId, capacity_millicores: u32) -> f64 {
    let hash = rendezvous_score(&[subject], host.as_str());
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    f64::from(capacity_millicores.max(1)).powi(CAPACITY_EXPONENT) / -uniform.ln()
}

/// Returns the addresses for a caller in `failure_domain`, those of its own
/// domain first.
///
/// Callers pick one of the addresses at random, so that the answer holds those
/// of the own domain only, as long as there are `enough` of them.
pub fn entry_addresses(
    entries: &[(&HostId, &MemberRecord)],
    failure_domain: Option<&FailureDomain>,
    enough: usize,
) -> Vec<SocketAddr> {
    let mut near = Vec::new();
    let mut far = Vec::new();
    for (_, member) in entries {
        if Some(&member.failure_domain) == failure_domain {
            near.push(member.callers);
        } else {
            far.push(member.callers);
        }
    }
    if near.len() >= enough {
        return near;
    }
    near.extend(far);
    near
}

//! Chooses the daemons that callers of a service are given.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::addresses::rendezvous_fraction;
use crate::ids::FailureDomain;
use crate::ids::HostId;

use super::MemberRecord;

/// The share of the strongest host's capacity from which a host counts as
/// strong. A daemon carries the same share of the callers as any other entry
/// daemon, so that weak hosts are taken only after the strong ones.
const STRONG_SHARE: f64 = 0.5;

/// How many entry daemons are wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryDemand {
    /// The least number.
    pub least: usize,
    /// The capacity that they have together, as far as there are enough.
    pub capacity_millicores: u32,
}

/// Returns the entry daemons of a subject by rendezvous hashing, strong hosts
/// first, and in different failure domains as far as there are enough of them.
///
/// Few daemons carry a service, so that each sees much of its traffic: it
/// knows the load of the targets and learns of a bad one early. All daemons
/// that know the same members choose alike.
pub fn entry_daemons<'a>(
    members: impl Iterator<Item = (&'a HostId, &'a MemberRecord)>,
    subject: &str,
    demand: EntryDemand,
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
    let strongest = candidates
        .iter()
        .map(|(_, _, member)| member.capacity_millicores)
        .max()
        .unwrap_or(0);
    let strong = f64::from(strongest) * STRONG_SHARE;
    let mut taken: BTreeMap<(bool, &FailureDomain), usize> = BTreeMap::new();
    let mut ranked = Vec::with_capacity(candidates.len());
    for (place, (_, host, member)) in candidates.into_iter().enumerate() {
        let is_weak = f64::from(member.capacity_millicores) < strong;
        let before = taken.entry((is_weak, &member.failure_domain)).or_default();
        ranked.push((is_weak, *before, place, host, member));
        *before += 1;
    }
    // The best of each domain, then the second best of each, and so on.
    ranked.sort_by_key(|(is_weak, before, place, _, _)| (*is_weak, *before, *place));
    let mut chosen = Vec::new();
    let mut capacity_millicores = 0_u32;
    for (_, _, _, host, member) in ranked {
        if chosen.len() >= demand.least && capacity_millicores >= demand.capacity_millicores {
            break;
        }
        capacity_millicores = capacity_millicores.saturating_add(member.capacity_millicores);
        chosen.push((host, member));
    }
    chosen
}

/// Weighted rendezvous hashing (Schindelhauer and Schomaker 2005): a host is
/// chosen in proportion to its weight.
fn weighted_score(subject: &str, host: &HostId, capacity_millicores: u32) -> f64 {
    let uniform = rendezvous_fraction(&[subject], host.as_str());
    f64::from(capacity_millicores.max(1)) / -uniform.ln()
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

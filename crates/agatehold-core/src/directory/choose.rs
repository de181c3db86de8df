//! Chooses the entry daemons of a group of services and the addresses given to
//! a caller.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::addresses::rendezvous_fraction;
use crate::ids::FailureDomain;
use crate::ids::HostId;

use super::MemberRecord;

/// A host counts as strong from this share of the strongest host's capacity.
/// Every entry daemon gets the same share of the callers whatever its capacity,
/// so that weak hosts are chosen only after the strong ones.
const STRONG_SHARE: f64 = 0.5;

/// The share of the needed capacity from which the strong hosts do without weak ones. A
/// weak host has a slow link too: at 10 Mbit/s a few large responses at once delay all
/// others and the datagrams between daemons.
const STRONG_SUFFICIENT_SHARE: f64 = 0.5;

/// How many entry daemons are needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryDemand {
    /// The minimum number of daemons.
    pub least: usize,
    /// The wanted total capacity of the daemons; not reached if the whole fleet has less,
    /// or if the strong hosts have half of it and only weak ones are left.
    pub capacity_millicores: u32,
}

/// Returns the entry daemons for the hash key `subject` by rendezvous hashing:
/// strong hosts first, spread over the failure domains as evenly as possible.
///
/// A service has few entry daemons, so that each of them handles much of its
/// traffic, knows the load of the targets and detects a bad one early. All
/// daemons that know the same members make the same choice.
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
    for (rank, (_, host, member)) in candidates.into_iter().enumerate() {
        let is_weak = f64::from(member.capacity_millicores) < strong;
        let domain_rank = taken.entry((is_weak, &member.failure_domain)).or_default();
        ranked.push((is_weak, *domain_rank, rank, host, member));
        *domain_rank += 1;
    }
    // The best of each domain, then the second best of each, and so on.
    ranked.sort_by_key(|(is_weak, domain_rank, rank, _, _)| (*is_weak, *domain_rank, *rank));
    let mut chosen = Vec::new();
    let mut capacity_millicores = 0_u32;
    for (is_weak, _, _, host, member) in ranked {
        let needed = f64::from(demand.capacity_millicores);
        let needed = if is_weak {
            needed * STRONG_SUFFICIENT_SHARE
        } else {
            needed
        };
        if chosen.len() >= demand.least && f64::from(capacity_millicores) >= needed {
            break;
        }
        capacity_millicores = capacity_millicores.saturating_add(member.capacity_millicores);
        chosen.push((host, member));
    }
    chosen
}

/// Returns the weighted rendezvous score of a host (Schindelhauer and Schomaker
/// 2005); a host ranks first with a probability in proportion to its capacity.
fn weighted_score(subject: &str, host: &HostId, capacity_millicores: u32) -> f64 {
    let uniform = rendezvous_fraction(&[subject], host.as_str());
    f64::from(capacity_millicores.max(1)) / -uniform.ln()
}

/// Returns the addresses for a caller in `failure_domain`, those in the same
/// failure domain first.
///
/// Callers pick one of the addresses at random. To keep them in their own
/// failure domain, other domains are left out if the own one has at least
/// `enough` addresses.
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

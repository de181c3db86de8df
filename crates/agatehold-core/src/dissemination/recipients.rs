//! Decides which daemons tell which others what is new.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::addresses::rendezvous_score;
use crate::directory::MemberRecord;
use crate::ids::FailureDomain;
use crate::ids::HostId;

/// The number of watching daemons in its own failure domain that send heartbeats
/// to a daemon. With a loss of 5%, one round in 8,000 loses all three.
const SENDERS_PER_MEMBER: usize = 3;

/// The number of watching daemons in its own failure domain from which a domain
/// needs no heartbeats from others.
const SUFFICIENT_NEAR_SENDERS: usize = 2;

/// The number of watching daemons that send heartbeats to a whole failure domain
/// that has too few of its own.
const FAR_SENDERS: usize = 2;

/// The number of daemons that are asked in one round by a daemon that hears
/// nothing new. With a third of the fleet out of touch, one round in 27 asks
/// only such daemons.
const PULL_SOURCES: usize = 3;

/// The minimum number of daemons that watch the store.
const WATCHERS_MIN: usize = 3;

/// Returns the entry daemons that watch the store: one in each failure domain that
/// has any, and at least [`WATCHERS_MIN`]. The calls to the store that a change
/// causes therefore don't grow with the fleet.
///
/// Entry daemons serve most requests and are killed no more often than others. The
/// strongest of them are chosen: all daemons of a failure domain fetch each change from
/// those that watch, and a host with a slow link answers few of them in time.
pub fn watching_daemons<'a>(
    entries: &[(&'a HostId, &'a MemberRecord)],
) -> Vec<(&'a HostId, &'a FailureDomain)> {
    let mut ranked = entries.to_vec();
    ranked.sort_by_cached_key(|(host, member)| {
        let score = rendezvous_score(&["watch"], host.as_str());
        (Reverse(member.capacity_millicores), score, *host)
    });
    let ranked = ranked.into_iter();
    let mut domains = BTreeSet::new();
    let (mut watching, rest): (Vec<_>, Vec<_>) = ranked
        .map(|(host, member)| (host, &member.failure_domain))
        .partition(|(_, domain)| domains.insert(*domain));
    let missing = WATCHERS_MIN.saturating_sub(watching.len());
    watching.extend(rest.into_iter().take(missing));
    watching.sort();
    watching
}

/// Returns the daemons to which the daemon `own` sends heartbeats. `watching` are the
/// daemons that watch the store.
///
/// Each daemon gets the heartbeats of at most [`SENDERS_PER_MEMBER`] watching
/// daemons in its failure domain, and of [`FAR_SENDERS`] others if its domain has
/// fewer than [`SUFFICIENT_NEAR_SENDERS`]. What a daemon receives therefore does
/// not grow with the fleet.
pub fn heartbeat_recipients<'a>(
    own: &HostId,
    members: impl Iterator<Item = (&'a HostId, &'a MemberRecord)>,
    watching: &[(&HostId, &FailureDomain)],
) -> Vec<&'a HostId> {
    let mut by_domain: BTreeMap<&FailureDomain, Vec<&HostId>> = BTreeMap::new();
    for (watcher, domain) in watching {
        by_domain.entry(domain).or_default().push(watcher);
    }
    let mut is_far_sender: BTreeMap<&FailureDomain, bool> = BTreeMap::new();
    let mut recipients = Vec::new();
    for (host, member) in members {
        if host == own {
            continue;
        }
        let domain = &member.failure_domain;
        let near = by_domain.get(domain).map_or(&[][..], |near| near);
        let near_count = near.iter().filter(|watcher| **watcher != host).count();
        let is_sender = if near.contains(&own) {
            is_among_top(own, host.as_str(), near, SENDERS_PER_MEMBER)
        } else if near_count < SUFFICIENT_NEAR_SENDERS {
            *is_far_sender.entry(domain).or_insert_with(|| {
                let mut far = Vec::new();
                for (watcher, watcher_domain) in watching {
                    if *watcher_domain != domain {
                        far.push(*watcher);
                    }
                }
                far.contains(&own) && is_among_top(own, domain.as_str(), &far, FAR_SENDERS)
            })
        } else {
            false
        };
        if is_sender {
            recipients.push(host);
        }
    }
    recipients
}

/// Returns whether `own`, one of `hosts`, is among the `count` of them with the highest
/// rendezvous scores for `subject`, not counting the host `subject` itself.
fn is_among_top(own: &HostId, subject: &str, hosts: &[&HostId], count: usize) -> bool {
    let own_score = rendezvous_score(&[subject], own.as_str());
    let mut higher = 0;
    for host in hosts {
        if host.as_str() == subject || *host == own {
            continue;
        }
        let score = rendezvous_score(&[subject], host.as_str());
        higher += usize::from((score, *host) > (own_score, own));
    }
    higher < count
}

/// Returns the daemons that `own` asks for newer contents in round `round`, while
/// it hears no heartbeat and can't read the store. Each round asks others, in a
/// pseudo-random order.
pub fn pull_sources<'a>(
    own: &HostId,
    members: impl Iterator<Item = &'a HostId>,
    round: u64,
) -> Vec<&'a HostId> {
    let round = round.to_string();
    let mut candidates: Vec<(u64, &HostId)> = Vec::new();
    for host in members {
        if host == own {
            continue;
        }
        let score = rendezvous_score(&[own.as_str(), &round], host.as_str());
        candidates.push((score, host));
    }
    candidates.sort_unstable_by(|a, b| b.cmp(a));
    candidates.truncate(PULL_SOURCES);
    candidates.into_iter().map(|(_, host)| host).collect()
}

//! Merges the platform's host list, which lags behind the actual fleet.

use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::Heartbeat;
use super::HostPhase;
use super::ListedHost;
use super::Membership;
use super::PeerChange;
use super::PeerRow;
use super::Standing;
use super::merge::sends_quota;
use super::neighbours;

/// The interval at which a watcher of the platform reads the host list.
const WATCHER_PERIOD: DurationMs = DurationMs(2_000);

/// The assumed maximum lag of the host list; three times the lag that the
/// platform states.
const LIST_LAG: DurationMs = DurationMs(30_000);

/// Returns the interval at which a daemon reads the host list.
///
/// All daemons that are not watchers together read it about once a second,
/// regardless of the size of the fleet (less often below 30 hosts).
pub fn host_list_period(membership: &Membership, is_watcher: bool) -> DurationMs {
    if is_watcher {
        return WATCHER_PERIOD;
    }
    let hosts = u64::try_from(membership.peers.len() + 1).unwrap_or(u64::MAX);
    DurationMs(1_000).times(hosts.max(30))
}

/// Merges the hosts that run daemons according to the platform's host list.
///
/// Adds unknown hosts and marks hosts as listed or leaving. Never removes a
/// host, since the list lags: hosts are removed on a later tick, once failure
/// detection has marked them as gone.
pub fn merge_host_list(
    membership: &mut Membership,
    list: &[ListedHost],
    now: TimeMs,
) -> Vec<PeerChange> {
    let mut changes = Vec::new();
    membership.host_list_at = Some(now);
    for (id, row) in membership.peers.rows_mut() {
        let entry = list.iter().find(|host| host.id == *id);
        row.listed = entry.is_some();
        row.listed_leaving = entry.is_some_and(|host| host.leaving);
    }
    for host in list {
        add_listed(membership, host, &mut changes);
    }
    changes
}

/// Adds a host known only from a list; its state is unknown until it answers.
pub(super) fn add_listed(
    membership: &mut Membership,
    host: &ListedHost,
    changes: &mut Vec<PeerChange>,
) {
    let own = &membership.own;
    if host.id == own.id || host.peer_address == own.peer_address {
        return;
    }
    if membership.peers.contains(&host.id) {
        return;
    }
    let mut old: Option<HostId> = None;
    for (id, row) in membership.peers.rows() {
        if row.peer_address != host.peer_address {
            continue;
        }
        if row.incarnation > Incarnation(0) {
            // The list may be outdated. A new host on this address is added
            // once its own messages arrive.
            return;
        }
        old = Some(id.clone());
    }
    if let Some(old) = old {
        membership.peers.remove(&old);
        changes.push(PeerChange::Replaced {
            old,
            new: host.id.clone(),
        });
    }
    let row = PeerRow {
        failure_domain: host.failure_domain.clone(),
        peer_address: host.peer_address,
        caller_address: host.caller_address,
        incarnation: Incarnation(0),
        heartbeat: Heartbeat(0),
        phase: HostPhase::Starting,
        standing: Standing::Alive,
        head: Default::default(),
        last_heard: None,
        last_contact: None,
        own_failure: None,
        listed: true,
        listed_leaving: host.leaving,
        sends_left: sends_quota(membership),
        ring_position: neighbours::ring_position(&host.id),
    };
    membership.peers.insert(host.id.clone(), row);
    membership.ring_changed = true;
    changes.push(PeerChange::Joined(host.id.clone()));
}

/// Removes hosts that are gone and missing from a recent host list.
///
/// Without a host list no host is removed: a minority that removed the others
/// during a long partition would consider itself the whole fleet.
pub(super) fn remove_unlisted_gone(
    membership: &mut Membership,
    now: TimeMs,
    changes: &mut Vec<PeerChange>,
) {
    let Some(listed_at) = membership.host_list_at else {
        return;
    };
    if now.since(listed_at) > DurationMs(1_000) {
        return;
    }
    membership.peers.retain(|id, row| {
        let Standing::Gone { since } = row.standing else {
            return true;
        };
        if row.listed || listed_at.since(since) < LIST_LAG {
            return true;
        }
        changes.push(PeerChange::Forgotten(id.clone()));
        false
    });
}

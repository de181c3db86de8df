//! Failure detection: hosts that no longer answer become accused, suspected and
//! finally gone.

use crate::ids::HostId;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::Membership;
use super::PeerChange;
use super::PeerRow;
use super::Standing;
use super::merge::sends_quota;
use super::neighbours;

/// A host becomes suspected if two hosts fail to reach it within this time.
pub(super) const ACCUSATION_WINDOW: DurationMs = DurationMs(3_000);

/// The time that a suspected host has to refute the suspicion, at daemons that
/// failed to reach it themselves.
const REFUTATION_TIME: DurationMs = DurationMs(5_000);

/// The time that a suspected host has to refute the suspicion, at the other
/// daemons. A refutation reaches the whole fleet within this time.
const UNOBSERVED_REFUTATION_TIME: DurationMs = DurationMs(12_000);

/// The maximum number of hosts that an accuser asks to probe the accused host.
const INDIRECT_PROBERS_MAX: usize = 3;

/// Records that an exchange with `host`, begun at `asked_at`, failed.
///
/// If the host was alive, the exchange is retried once, since a lost message is
/// more common than a lost host. Up to three hosts that have `host` as a
/// neighbour get the accusation immediately; they probe it too, which refutes or
/// confirms the accusation.
pub fn record_unreachable(
    membership: &mut Membership,
    host: &HostId,
    asked_at: TimeMs,
    now: TimeMs,
) -> Vec<PeerChange> {
    let mut changes = Vec::new();
    let quota = sends_quota(membership);
    let own = membership.own.id.clone();
    let Some(row) = membership.peers.get_mut(host) else {
        return changes;
    };
    if row.last_heard.is_some_and(|heard| heard > asked_at) {
        // The host has sent a heartbeat since, so that only the path failed.
        return changes;
    }
    row.own_failure = Some(now);
    let was_alive = row.standing == Standing::Alive;
    let accusation = Standing::Accused {
        by: own.clone(),
        since: asked_at,
    };
    if !merge_standing(row, accusation) {
        return changes;
    }
    row.sends_left = if was_alive { quota / 4 } else { quota };
    changes.push(PeerChange::Standing(host.clone(), row.standing.clone()));
    if was_alive {
        neighbours::queue_urgent_first(membership, host);
    }
    let mut probers = neighbours::inbound_neighbours(membership, host);
    probers.retain(|prober| *prober != own && is_alive(membership, prober));
    for prober in probers.iter().take(INDIRECT_PROBERS_MAX) {
        neighbours::queue_urgent_first(membership, prober);
    }
    changes
}

fn is_alive(membership: &Membership, host: &HostId) -> bool {
    membership
        .peers
        .get(host)
        .is_some_and(|row| row.standing == Standing::Alive)
}

/// Merges an observation that is not refuted into the standing of a row.
///
/// Returns whether the standing changed, so that peers must be informed.
pub(super) fn merge_standing(row: &mut PeerRow, update: Standing) -> bool {
    let merged = match (&row.standing, &update) {
        (Standing::Accused { by: a, since: old }, Standing::Accused { by: b, since: new }) => {
            let difference_ms = old.since(*new).0.max(new.since(*old).0);
            if a == b {
                // Ages lose precision with each hop, so that a time up to 1 s
                // later still means the same accusation.
                if *new <= *old + DurationMs(1_000) {
                    return false;
                }
                update
            } else if difference_ms <= ACCUSATION_WINDOW.0 {
                Standing::Suspected {
                    by: [a.clone(), b.clone()],
                    since: (*old).max(*new),
                }
            } else if new > old {
                update
            } else {
                return false;
            }
        }
        (old, new) if new.rank() > old.rank() => update,
        _ => return false,
    };
    row.standing = merged;
    true
}

/// Marks suspected hosts as gone that did not refute the suspicion in time.
pub(super) fn expire_suspicions(
    membership: &mut Membership,
    now: TimeMs,
    changes: &mut Vec<PeerChange>,
) {
    let quota = sends_quota(membership);
    let mut any_gone = false;
    for (id, row) in membership.peers.rows_mut() {
        let Standing::Suspected { since, .. } = row.standing else {
            continue;
        };
        let observed = row
            .own_failure
            .is_some_and(|failed| failed + ACCUSATION_WINDOW >= since);
        let limit = if observed {
            REFUTATION_TIME
        } else {
            UNOBSERVED_REFUTATION_TIME
        };
        if now.since(since) < limit {
            continue;
        }
        row.standing = Standing::Gone { since };
        any_gone = true;
        row.sends_left = quota;
        changes.push(PeerChange::Standing(id.clone(), row.standing.clone()));
    }
    membership.ring_changed |= any_gone;
}

//! How a host that no longer answers is removed.

use crate::ids::HostId;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::Membership;
use super::PeerChange;
use super::PeerRow;
use super::Standing;
use super::merge::sends_quota;
use super::neighbours;

/// Two hosts must fail to reach a host within this time to suspect it.
pub(super) const ACCUSATION_WINDOW: DurationMs = DurationMs(3_000);

/// The time that a suspected host has to refute.
const REFUTATION_TIME: DurationMs = DurationMs(5_000);

/// The time after which a host that made no observation of its own removes a
/// suspected host. News of a refutation reach the whole fleet in this time.
const HEARSAY_TIME: DurationMs = DurationMs(12_000);

/// The hosts that an accuser asks to try the accused host too.
const HELPERS: usize = 3;

/// Notes that an exchange with `host`, begun at `asked_at`, failed.
///
/// The exchange is tried once more, since a lost message is more common than
/// a lost host. Two hosts that have `host` as a neighbour are told at once;
/// they try it too, which refutes the accusation or confirms it.
pub fn unreachable(
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
        // The host was heard of since, so that the failure is the path's.
        return changes;
    }
    row.own_failure = Some(now);
    let was_alive = row.standing == Standing::Alive;
    let accusation = Standing::Accused {
        by: own.clone(),
        since: asked_at,
    };
    if !adopt(row, accusation) {
        return changes;
    }
    row.sends_left = if was_alive { quota / 4 } else { quota };
    changes.push(PeerChange::Standing(host.clone(), row.standing.clone()));
    if was_alive {
        neighbours::push_to(membership, host);
    }
    let mut helpers = neighbours::watchers_of(membership, host);
    helpers.retain(|helper| *helper != own && may_answer(membership, helper));
    for helper in helpers.iter().take(HELPERS) {
        neighbours::push_to(membership, helper);
    }
    changes
}

fn may_answer(membership: &Membership, host: &HostId) -> bool {
    membership
        .peers
        .get(host)
        .is_some_and(|row| row.standing == Standing::Alive)
}

/// Joins what the row says with another observation that is not refuted.
///
/// Returns whether the standing is now another one, of which peers should
/// hear.
pub(super) fn adopt(row: &mut PeerRow, news: Standing) -> bool {
    let joined = match (&row.standing, &news) {
        (Standing::Accused { by: a, since: old }, Standing::Accused { by: b, since: new }) => {
            let apart = old.since(*new).0.max(new.since(*old).0);
            if a == b {
                // Ages grow inexact with each hop, so that a slightly later
                // time is the same accusation.
                if *new <= *old + DurationMs(1_000) {
                    return false;
                }
                news
            } else if apart <= ACCUSATION_WINDOW.0 {
                Standing::Suspected {
                    by: [a.clone(), b.clone()],
                    since: (*old).max(*new),
                }
            } else if new > old {
                news
            } else {
                return false;
            }
        }
        (old, new) if new.rank() > old.rank() => news,
        _ => return false,
    };
    row.standing = joined;
    true
}

/// Removes suspected hosts that did not refute in time.
pub(super) fn expire(membership: &mut Membership, now: TimeMs, changes: &mut Vec<PeerChange>) {
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
            HEARSAY_TIME
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

//! What heartbeats tell a daemon about the age of its contents, and about the daemons that
//! have newer ones.

use std::cmp::Reverse;

use crate::ids::HostId;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::HeartbeatTable;
use super::ReceivedHeartbeat;
use super::Revisions;

/// The interval at which a daemon that watches the store sends heartbeats.
pub const HEARTBEAT_INTERVAL_MS: DurationMs = DurationMs(600);

/// The interval at which a daemon that watches the store checks that the store still
/// answers it.
pub const STORE_CHECK_INTERVAL_MS: DurationMs = DurationMs(600);

/// The heartbeat timeout after which a daemon reads the store itself; two lost
/// heartbeats. Even then, including the read that follows, a change is known
/// within two seconds.
pub const HEARTBEAT_TIMEOUT_MS: DurationMs = DurationMs(1_300);

/// The maximum age of the store's last answer to a daemon whose heartbeats
/// count as recent. A sender that the store has begun to turn away can miss a change
/// right after that answer, so the age and the read that follows stay below two
/// seconds. A served sender reaches [`STORE_CHECK_INTERVAL_MS`] plus
/// [`HEARTBEAT_INTERVAL_MS`].
pub const STORE_ANSWER_AGE_MAX_MS: DurationMs = DurationMs(1_500);

/// The maximum number of daemons that are asked in one fetch.
const FETCH_SOURCES_MAX: usize = 3;

/// Returns whether a recent heartbeat arrived from any daemon that reaches the
/// store.
pub fn has_recent_heartbeat(heartbeats: &HeartbeatTable, now: TimeMs) -> bool {
    recent_until(heartbeats).is_some_and(|until| now <= until)
}

/// Returns until when the known heartbeats count as recent; `None` if there are none.
fn recent_until(heartbeats: &HeartbeatTable) -> Option<TimeMs> {
    heartbeats
        .rows_of_newest_era()
        .map(ReceivedHeartbeat::recent_until)
        .max()
}

/// Returns when the contents of a daemon may be too old if no further heartbeat arrives, so
/// that it must read the store then, whatever other daemons announce.
///
/// `own` are the revisions up to which the daemon's contents are complete. They are known to
/// be current as of a heartbeat that reports no newer ones, for as long as that heartbeat
/// counts as recent, and for [`HEARTBEAT_TIMEOUT_MS`] from the last read of the store, which
/// began at `read_at`. Heartbeats that report newer contents confirm nothing: their senders
/// may be unknown, gone or slow, and the contents can't be fetched from them then.
pub fn read_due_at(heartbeats: &HeartbeatTable, own: &Revisions, read_at: TimeMs) -> TimeMs {
    let read_until = read_at + HEARTBEAT_TIMEOUT_MS;
    heartbeats.confirmed_until(own).max(read_until) + DurationMs(1)
}

/// Returns whether the store counts as unavailable to the whole fleet.
/// `is_lost` says whether it does not answer this daemon.
///
/// The store may reject one host and serve the others. Contents from daemons
/// that reach the store are then valid, including removed rows.
pub fn is_store_unavailable(heartbeats: &HeartbeatTable, is_lost: bool, now: TimeMs) -> bool {
    is_lost && !has_recent_heartbeat(heartbeats, now)
}

/// Returns the daemons from which newer contents than `own` can be fetched, those with the
/// newest revisions first.
///
/// Only daemons with a recent heartbeat for which `has_address` is true are sources. Those
/// that are equally new are ordered by a hash that differs between receivers.
pub fn fetch_sources(
    heartbeats: &HeartbeatTable,
    own: &Revisions,
    has_address: &dyn Fn(&HostId) -> bool,
    now: TimeMs,
) -> Vec<HostId> {
    let mut ahead: Vec<(&HostId, Revisions)> = Vec::new();
    for (host, heartbeat) in heartbeats.recent_rows(now) {
        if heartbeat.revisions.is_ahead_of(own) && has_address(host) {
            ahead.push((host, heartbeat.revisions));
        }
    }
    ahead.sort_by_cached_key(|(host, revisions)| {
        Reverse((revisions.by_urgency(), heartbeats.source_rank(host)))
    });
    ahead.truncate(FETCH_SOURCES_MAX);
    ahead.into_iter().map(|(host, _)| host.clone()).collect()
}

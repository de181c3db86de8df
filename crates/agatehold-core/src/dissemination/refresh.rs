//! Decides from where a daemon gets newer contents of the store.

use std::cmp::Reverse;

use crate::ids::HostId;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::HeartbeatTable;
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

/// What a daemon does to get newer contents of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refresh {
    /// Nothing: no newer contents are known.
    Nothing,
    /// Fetch from these daemons, those with the newest revisions first.
    Fetch(Vec<HostId>),
    /// Read the store itself.
    ReadStore,
}

/// Returns whether a recent heartbeat arrived from any daemon that reaches the
/// store.
pub fn has_recent_heartbeat(heartbeats: &HeartbeatTable, now: TimeMs) -> bool {
    recent_until(heartbeats).is_some_and(|until| now <= until)
}

/// Returns until when the known heartbeats count as recent; `None` if there are none.
fn recent_until(heartbeats: &HeartbeatTable) -> Option<TimeMs> {
    let rows = heartbeats.rows.rows();
    // A sender that knows only an older era may be served by an old replica of the store.
    let current =
        rows.filter(|(_, heartbeat)| heartbeat.revisions.era() >= heartbeats.newest_era());
    current
        .map(|(_, heartbeat)| {
            let heard_until = heartbeat.heard_at + HEARTBEAT_TIMEOUT_MS;
            heard_until.min(heartbeat.store_answered_at + STORE_ANSWER_AGE_MAX_MS)
        })
        .max()
}

/// Returns when [`next_refresh`] decides to read the store if no further heartbeat
/// arrives, so that the read does not wait for the next tick.
pub fn read_due_at(heartbeats: &HeartbeatTable, own_answer_at: TimeMs) -> TimeMs {
    let own_until = own_answer_at + HEARTBEAT_TIMEOUT_MS;
    let until = recent_until(heartbeats).map_or(own_until, |recent| recent.max(own_until));
    until + DurationMs(1)
}

/// Returns whether the store counts as unavailable to the whole fleet.
/// `is_lost` says whether it does not answer this daemon.
///
/// The store may reject one host and serve the others. Contents from daemons
/// that reach the store are then valid, including removed rows.
pub fn is_store_unavailable(heartbeats: &HeartbeatTable, is_lost: bool, now: TimeMs) -> bool {
    is_lost && !has_recent_heartbeat(heartbeats, now)
}

/// Decides how a daemon gets newer contents of the store.
///
/// `own` are the revisions up to which the daemon's contents are complete;
/// `own_answer_at` is when the store last answered this daemon with contents.
/// A daemon fetches from the daemons with the newest revisions if a recent
/// heartbeat reports newer ones; daemons that are equally new are ordered by a
/// hash that differs between receivers. It reads the store if no recent heartbeat
/// came from a daemon that reaches the store and its own last answer from the
/// store is older than [`HEARTBEAT_TIMEOUT_MS`].
pub fn next_refresh(
    heartbeats: &HeartbeatTable,
    own: &Revisions,
    own_answer_at: TimeMs,
    now: TimeMs,
) -> Refresh {
    let mut ahead: Vec<(&HostId, Revisions)> = Vec::new();
    for (host, heartbeat) in heartbeats.rows.rows() {
        if now.since(heartbeat.heard_at) > HEARTBEAT_TIMEOUT_MS
            || !heartbeat.revisions.is_ahead_of(own)
        {
            continue;
        }
        ahead.push((host, heartbeat.revisions));
    }
    if !ahead.is_empty() {
        ahead.sort_by_cached_key(|(host, revisions)| {
            Reverse((revisions.by_urgency(), heartbeats.source_rank(host)))
        });
        ahead.truncate(FETCH_SOURCES_MAX);
        return Refresh::Fetch(ahead.into_iter().map(|(host, _)| host.clone()).collect());
    }
    if !has_recent_heartbeat(heartbeats, now) && now.since(own_answer_at) > HEARTBEAT_TIMEOUT_MS {
        return Refresh::ReadStore;
    }
    Refresh::Nothing
}

//! Decides from where a daemon gets newer contents of the store.

use std::cmp::Reverse;

use crate::ids::HostId;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::BeatTable;
use super::Revisions;

/// The heartbeat timeout after which a daemon reads the store itself; two lost
/// heartbeats. Even then, including the read that follows, a change is known
/// within two seconds.
pub const SILENCE_MS: DurationMs = DurationMs(1_300);

/// The maximum age of the store's last answer to a daemon whose heartbeats
/// count as recent.
pub const STORE_FRESH_MS: DurationMs = DurationMs(2_500);

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
pub fn is_told(beats: &BeatTable, now: TimeMs) -> bool {
    beats.rows.rows().any(|(_, beat)| {
        now.since(beat.heard_at) <= SILENCE_MS
            && now.since(beat.store_answered_at) <= STORE_FRESH_MS
    })
}

/// Returns whether the store counts as unavailable to the whole fleet.
/// `is_lost` says whether it does not answer this daemon.
///
/// The store may reject one host and serve the others. Contents from daemons
/// that reach the store are then valid, including removed rows.
pub fn is_store_away(beats: &BeatTable, is_lost: bool, now: TimeMs) -> bool {
    is_lost && !is_told(beats, now)
}

/// Decides how a daemon gets newer contents of the store.
///
/// `own_answer_at` is when the store last answered this daemon with contents.
/// A daemon fetches from the daemons with the newest revisions if a recent
/// heartbeat reports newer ones. It reads the store if no recent heartbeat
/// came from a daemon that reaches the store.
pub fn next_refresh(
    beats: &BeatTable,
    own: &Revisions,
    own_answer_at: TimeMs,
    now: TimeMs,
) -> Refresh {
    let mut ahead: Vec<(&HostId, Revisions)> = Vec::new();
    for (host, beat) in beats.rows.rows() {
        if now.since(beat.heard_at) > SILENCE_MS || !beat.revisions.is_ahead_of(own) {
            continue;
        }
        ahead.push((host, beat.revisions));
    }
    if !ahead.is_empty() {
        ahead.sort_by_key(|(_, revisions)| Reverse(revisions.sum()));
        ahead.truncate(FETCH_SOURCES_MAX);
        return Refresh::Fetch(ahead.into_iter().map(|(host, _)| host.clone()).collect());
    }
    if !is_told(beats, now) && now.since(own_answer_at) > SILENCE_MS {
        return Refresh::ReadStore;
    }
    Refresh::Nothing
}

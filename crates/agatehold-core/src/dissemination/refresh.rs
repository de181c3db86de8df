//! Where a daemon gets what it does not know yet.

use std::cmp::Reverse;

use crate::ids::HostId;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::BeatTable;
use super::Revisions;

/// How long nobody may have told a daemon of the store before it reads the
/// store itself: two beats lost. With the fetch that follows, a change is
/// known within two seconds even then.
pub const SILENCE_MS: DurationMs = DurationMs(1_300);

/// How old the last answer of the store may be at a daemon whose beats count.
pub const STORE_FRESH_MS: DurationMs = DurationMs(2_500);

/// The most daemons that are asked for one fetch.
const FETCH_SOURCES_MAX: usize = 3;

/// What a daemon does to know the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refresh {
    /// It knows what is to be known.
    Nothing,
    /// It fetches what is new from other daemons, those that know most first.
    Fetch(Vec<HostId>),
    /// It reads the store itself.
    ReadStore,
}

/// Returns whether any daemon that reaches the store tells this one of it.
pub fn is_told(beats: &BeatTable, now: TimeMs) -> bool {
    beats.rows.rows().any(|(_, beat)| {
        now.since(beat.heard_at) <= SILENCE_MS
            && now.since(beat.store_answered_at) <= STORE_FRESH_MS
    })
}

/// Returns whether the store is away, as far as this daemon can tell;
/// `is_lost` if it does not answer this daemon.
///
/// A store that turns one host away serves the others. What they tell of it
/// holds, removals included.
pub fn is_store_away(beats: &BeatTable, is_lost: bool, now: TimeMs) -> bool {
    is_lost && !is_told(beats, now)
}

/// Decides where a daemon gets what it does not know.
///
/// `own_answer_at` is when the store last answered this daemon about the
/// contents themselves. A daemon that is told of later contents fetches them
/// from whoever knows most. One that is told nothing by daemons that reach the
/// store reads it itself.
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

//! What daemons tell each other again and again.

use crate::ids::HostId;
use crate::table::Table;
use crate::units::DurationMs;
use crate::units::TimeMs;

/// Up to which revisions of the store a daemon knows its contents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Revisions {
    /// The revision of the operators' configuration.
    pub configuration: u64,
    /// The revision of the last change to the registered targets.
    pub targets: u64,
    /// The revision of the last change to the registered daemons.
    pub members: u64,
}

impl Revisions {
    /// Returns a number that is higher the more is known.
    pub(super) const fn sum(&self) -> u64 {
        self.configuration + self.targets + self.members
    }

    /// Returns whether `self` knows anything that `other` does not.
    pub const fn is_ahead_of(&self, other: &Self) -> bool {
        self.configuration > other.configuration
            || self.targets > other.targets
            || self.members > other.members
    }
}

/// A message by which a daemon tells how far it knows the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Beat {
    /// The daemon's host.
    pub host: HostId,
    /// What it knows.
    pub revisions: Revisions,
    /// How long ago the store last answered it.
    pub store_age_ms: DurationMs,
}

/// The last beat of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeardBeat {
    /// What the daemon knew.
    pub revisions: Revisions,
    /// When the store had last answered it, by the clock of this process.
    pub store_answered_at: TimeMs,
    /// When the beat came.
    pub heard_at: TimeMs,
}

/// The last beats by host.
#[derive(Clone, Debug, Default)]
pub struct BeatTable {
    /// The beats.
    pub rows: Table<HostId, HeardBeat>,
}

impl BeatTable {
    /// Records a beat.
    pub fn record(&mut self, beat: &Beat, now: TimeMs) {
        let heard = HeardBeat {
            revisions: beat.revisions,
            store_answered_at: now - beat.store_age_ms,
            heard_at: now,
        };
        self.rows.insert(beat.host.clone(), heard);
    }
}

//! As of when a daemon that watches the store knows its contents to be current.

use crate::units::TimeMs;

/// The groups of keys on which the handling of requests depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchedGroup {
    /// The operators' configuration.
    Configuration,
    /// The registered targets.
    Targets,
}

/// When the store last showed a daemon that each group of its contents is current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Confirmations {
    configuration: TimeMs,
    targets: TimeMs,
}

impl Confirmations {
    /// Records that the store has answered a listing or a watch of a group.
    pub fn record_answer(&mut self, group: WatchedGroup, now: TimeMs) {
        match group {
            WatchedGroup::Configuration => self.configuration = now,
            WatchedGroup::Targets => self.targets = now,
        }
    }

    /// Records that the store has answered another call. A change would have ended a watch
    /// that waits, so that there is none; a watch that pauses may have missed one.
    pub fn record_other_answer(&mut self, group: WatchedGroup, is_waiting: bool, now: TimeMs) {
        if is_waiting {
            self.record_answer(group, now);
        }
    }

    /// Returns the time as of which all contents are current.
    pub fn oldest(self) -> TimeMs {
        self.configuration.min(self.targets)
    }
}

//! What targets say of themselves in their answers to this daemon.

use std::cmp::Reverse;

use crate::table::Table;
use crate::target_registry::TargetIdentity;
use crate::units::DurationMs;
use crate::units::TimeMs;

/// How long a statement is kept after the target's registration was last seen. An
/// entry that lapsed while the store was away is back within seconds of its return, and
/// a leaving target exits within less than a minute.
const KEPT_MS: DurationMs = DurationMs(600_000);

/// What one target process has said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Statement {
    /// Whether it is leaving; never revoked, since a process that leaves ends.
    pub(super) is_leaving: bool,
    /// Until when it wants no requests from this daemon; never decreases.
    pub(super) paused_until: TimeMs,
    /// When the target's registration was last seen.
    registered_at: TimeMs,
}

/// The statements of all targets, by identity: a process that starts again under the
/// same name has said nothing yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Statements {
    rows: Table<TargetIdentity, Statement>,
}

impl Statements {
    /// Returns what a target has said, if anything.
    pub(super) fn get(&self, identity: &TargetIdentity) -> Option<&Statement> {
        self.rows.get(identity)
    }

    /// Returns the number of targets that have said anything.
    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns the targets that are leaving, at most `most`, those whose registration was
    /// seen last first.
    pub(super) fn leaving(&self, most: usize) -> Vec<&TargetIdentity> {
        let rows = self.rows.rows().filter(|(_, row)| row.is_leaving);
        let mut leaving: Vec<(&TargetIdentity, &Statement)> = rows.collect();
        leaving.sort_by_key(|(_, row)| Reverse(row.registered_at));
        leaving.truncate(most);
        leaving.into_iter().map(|(identity, _)| identity).collect()
    }

    /// Records that a target is leaving. Returns whether that is new.
    pub(super) fn record_leaving(&mut self, identity: &TargetIdentity, now: TimeMs) -> bool {
        let row = self.row(identity, now);
        !std::mem::replace(&mut row.is_leaving, true)
    }

    /// Records that a target wants no requests until `until`. A shorter pause does not end
    /// a longer one. Returns the end of the pause.
    pub(super) fn record_pause(
        &mut self,
        identity: &TargetIdentity,
        until: TimeMs,
        now: TimeMs,
    ) -> TimeMs {
        let row = self.row(identity, now);
        row.paused_until = row.paused_until.max(until);
        row.paused_until
    }

    /// Drops the statements of targets that have not been registered for a long time.
    /// `is_registered` tells whether a target is registered now.
    pub(super) fn expire(&mut self, is_registered: impl Fn(&TargetIdentity) -> bool, now: TimeMs) {
        self.rows.retain(|identity, row| {
            if is_registered(identity) {
                row.registered_at = now;
            }
            now.since(row.registered_at) <= KEPT_MS
        });
    }

    fn row(&mut self, identity: &TargetIdentity, now: TimeMs) -> &mut Statement {
        self.rows.get_or_insert(identity.clone(), || Statement {
            registered_at: now,
            ..Statement::default()
        })
    }
}

//! The next version of a permit record.

use crate::ids::TargetName;
use crate::units::DurationMs;
use crate::units::TargetCount;
use crate::units::TimeMs;

use super::HeldRecord;
use super::LiveView;
use super::PermitEntry;
use super::PermitRecord;
use super::PermitState;

/// How long a `returning` entry is seen before it is removed, on the clock of
/// the daemon that removes it.
///
/// It is longer than an exclusion lasts (15 s), by a third for clocks that run
/// at different speeds.
const RETURN_WAIT_MS: DurationMs = DurationMs(20_000);

/// A change that a daemon wishes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitChange {
    /// Eject a target.
    Eject {
        /// The target.
        target: TargetName,
        /// How long it stays ejected at least.
        hold_ms: DurationMs,
    },
    /// Let an ejected target return.
    Return {
        /// The target.
        target: TargetName,
    },
}

/// Returns the record with `change` made, or `None` if it may not be made.
///
/// The record never gets more entries than `view` has targets above `floor`,
/// where an entry in either state counts, whether its target is live or not.
/// A daemon ejects only after it has followed the record for as long as an
/// exclusion may last, so that a record which the platform has lost has no
/// effect any more.
pub fn next_record(
    held: &HeldRecord,
    change: &PermitChange,
    view: &LiveView,
    floor: TargetCount,
    now: TimeMs,
) -> Option<PermitRecord> {
    let mut next = held.record.clone();
    next.number = held.record.number.next();
    let number = next.number;
    match change {
        PermitChange::Eject { target, hold_ms } => {
            if !view.targets.contains(target) || now.since(held.followed_since) < RETURN_WAIT_MS {
                return None;
            }
            let added = match held.record.entries.get(target) {
                Some(entry) if entry.state == PermitState::Ejected => return None,
                Some(entry) => entry.added,
                None => number,
            };
            let entry = PermitEntry {
                state: PermitState::Ejected,
                added,
                since: number,
                hold_ms: *hold_ms,
            };
            next.entries.insert(target.clone(), entry);
            if next.entries.len() > spare_targets(view, floor) {
                return None;
            }
        }
        PermitChange::Return { target } => {
            let entry = next.entries.get_mut(target)?;
            if entry.state == PermitState::Returning {
                return None;
            }
            entry.state = PermitState::Returning;
            entry.since = number;
        }
    }
    Some(next)
}

/// Returns the record without the entries that have returned, or `None` if
/// there are none.
pub fn returned_record(held: &HeldRecord, now: TimeMs) -> Option<PermitRecord> {
    let mut next = held.record.clone();
    next.entries.retain(|target, entry| {
        let waited = held
            .seen
            .get(target)
            .filter(|seen| seen.0 == entry.since)
            .is_some_and(|seen| now.since(seen.1) > RETURN_WAIT_MS);
        entry.state == PermitState::Ejected || !waited
    });
    if next.entries.len() == held.record.entries.len() {
        return None;
    }
    next.number = held.record.number.next();
    Some(next)
}

/// Returns the record to write when the platform returned `read`, a version
/// older than the held one, because it was restored from a backup.
///
/// Entries that only the platform has may be in use by daemons that lag, so
/// they return like any other.
pub fn restored_record(held: &HeldRecord, read: &PermitRecord) -> Option<PermitRecord> {
    if read.number >= held.record.number {
        return None;
    }
    let mut next = held.record.clone();
    next.number = held.record.number.next();
    let number = next.number;
    for (target, entry) in read.entries.rows() {
        next.entries.get_or_insert(target.clone(), || PermitEntry {
            state: PermitState::Returning,
            since: number,
            ..*entry
        });
    }
    Some(next)
}

/// Returns the number of targets that may be excluded.
pub(super) fn spare_targets(view: &LiveView, floor: TargetCount) -> usize {
    let floor = usize::try_from(floor.0).unwrap_or(usize::MAX);
    view.targets.len().saturating_sub(floor)
}

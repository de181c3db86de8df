//! Builds the next version of a permit record.

use crate::ids::TargetName;
use crate::units::DurationMs;
use crate::units::TargetCount;
use crate::units::TimeMs;

use super::HeldRecord;
use super::LiveView;
use super::PermitEntry;
use super::PermitRecord;
use super::PermitState;

/// How long a daemon must have seen an entry as `returning`, on its own clock,
/// before it removes the entry; also how long it must have followed a record
/// before it ejects.
///
/// One third longer than an exclusion lasts (15 s), to allow for clocks that
/// run at different speeds.
const RETURN_WAIT_MS: DurationMs = DurationMs(20_000);

/// A change to a permit record that a daemon wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitChange {
    /// Eject a target.
    Eject {
        /// The target.
        target: TargetName,
        /// The minimum time that it stays ejected.
        hold_ms: DurationMs,
    },
    /// Return an ejected target to service.
    Return {
        /// The target.
        target: TargetName,
    },
}

/// Returns the record with `change` applied, or `None` if it is not allowed.
///
/// An ejection never gives the record more entries than `view` has targets more
/// than `floor` demands. An entry counts in either state, whether its target is
/// live or not. A daemon ejects only after it has followed the record for longer
/// than an exclusion lasts: by then, all exclusions based on a record that the
/// platform has lost have ended.
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
            if next.entries.len() > max_exclusions(view, floor) {
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

/// Returns the record without the entries that have been `returning` for long
/// enough, or `None` if there are none.
pub fn remove_returned_entries(held: &HeldRecord, now: TimeMs) -> Option<PermitRecord> {
    let mut next = held.record.clone();
    next.entries.retain(|target, entry| {
        let has_returned = held
            .seen
            .get(target)
            .filter(|seen| seen.0 == entry.since)
            .is_some_and(|seen| now.since(seen.1) > RETURN_WAIT_MS);
        entry.state == PermitState::Ejected || !has_returned
    });
    if next.entries.len() == held.record.entries.len() {
        return None;
    }
    next.number = held.record.number.next();
    Some(next)
}

/// Returns the record to write back if the platform returned `read`, a version
/// older than the held one, because it was restored from a backup.
///
/// Daemons that lag behind may still exclude targets whose entries are only in
/// `read`, so those entries are kept as `returning` and removed later.
pub fn merge_restored_record(held: &HeldRecord, read: &PermitRecord) -> Option<PermitRecord> {
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

/// Returns how many targets may be excluded without going below `floor`.
pub(super) fn max_exclusions(view: &LiveView, floor: TargetCount) -> usize {
    let floor = usize::try_from(floor.0).unwrap_or(usize::MAX);
    view.targets.len().saturating_sub(floor)
}

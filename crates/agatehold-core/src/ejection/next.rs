//! The next version of a permit record.

use std::collections::BTreeSet;

use crate::ids::TargetName;
use crate::units::DurationMs;
use crate::units::TargetCount;
use crate::units::TimeMs;

use super::HeldRecord;
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
/// `live` holds the targets that the daemon counts as capacity: in force,
/// live, warm, not leaving and not withdrawn, ejected ones included. The
/// record never gets more entries than `live` less `floor`, where an entry in
/// either state counts.
pub fn next_record(
    record: &PermitRecord,
    change: &PermitChange,
    live: &BTreeSet<TargetName>,
    floor: TargetCount,
) -> Option<PermitRecord> {
    let number = record.number.next();
    let mut next = record.clone();
    next.number = number;
    match change {
        PermitChange::Eject { target, hold_ms } => {
            if !live.contains(target) {
                return None;
            }
            let added = match record.entries.get(target) {
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
            if next.entries.len() > spare_targets(live.len(), floor) {
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

/// Returns the number of targets that may be excluded.
pub(super) fn spare_targets(live: usize, floor: TargetCount) -> usize {
    live.saturating_sub(usize::try_from(floor.0).unwrap_or(usize::MAX))
}

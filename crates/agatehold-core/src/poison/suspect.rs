//! Holds a request back while it is not known whether it has crashed a target.

use crate::ids::Digest;
use crate::ids::HostId;
use crate::ids::TargetName;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::CrashMark;
use super::PoisonTable;
use super::Suspicion;
use super::admit::evict_rows;
use super::admit::is_same_time;
use super::mark_crash;

/// How long a suspicion counts that is neither confirmed nor withdrawn, because its
/// reporter can't reach the target or has exited, or because a message was lost. A target
/// that does not come back is removed from the registry within this time.
pub(super) const SUSPICION_LIFETIME_MS: DurationMs = DurationMs(10_000);

/// The maximum number of suspicions per fingerprint. Two are enough to hold the request
/// back; the others keep late copies of withdrawn ones from counting.
const MAX_SUSPICIONS: usize = 8;

/// How much later a copy of a suspicion may seem to be than the suspicion itself. Copies
/// are sent at once over different ways, and a check takes longer than this, so that what
/// a daemon reports after a withdrawal is another loss.
const COPY_DELAY_MAX_MS: DurationMs = DurationMs(200);

/// Records that a target closed the connection on which it ran a request.
///
/// Call this as soon as the connection is lost, so that no daemon sends the request to
/// further targets before the target is checked. [`confirm`] and [`withdraw`] end the
/// suspicion.
pub fn suspect(table: &mut PoisonTable, fingerprint: &Digest, suspicion: Suspicion, now: TimeMs) {
    let row = table.rows.get_or_insert(*fingerprint, Default::default);
    let is_known = row.suspicions.iter().any(|held| {
        let is_copy =
            held.reporter == suspicion.reporter && suspicion.at <= held.at + COPY_DELAY_MAX_MS;
        held.target == suspicion.target
            && is_same_time(held.at, suspicion.at)
            && (!held.withdrawn || is_copy)
    });
    let is_marked = row.marks.iter().any(|mark| {
        !mark.cleared && mark.target == suspicion.target && is_same_time(mark.at, suspicion.at)
    });
    if !is_known && !is_marked {
        if row.suspicions.len() >= MAX_SUSPICIONS {
            row.suspicions.remove(0);
        }
        row.suspicions.push(suspicion);
        row.resent_at = None;
    }
    evict_rows(table, now);
}

/// Turns the suspicion of a crash into a crash mark; returns false, and records nothing,
/// if the suspicion was withdrawn because the request has been answered since.
pub fn confirm(table: &mut PoisonTable, mark: &CrashMark, now: TimeMs) -> bool {
    let row = table.rows.get_or_insert(mark.fingerprint, Default::default);
    let is_meant = |held: &Suspicion| held.target == mark.target && is_same_time(held.at, mark.at);
    let meant = row.suspicions.iter().filter(|held| is_meant(held));
    let is_open = meant.clone().any(|held| !held.withdrawn);
    let is_withdrawn = meant.clone().any(|held| held.reporter == mark.reporter);
    if !is_open && is_withdrawn {
        return false;
    }
    row.suspicions
        .retain(|held| held.withdrawn || !is_meant(held));
    mark_crash(table, mark.clone(), now);
    true
}

/// Withdraws the suspicion of a daemon that a request has crashed a target, which was
/// lost about `at`: the target has not crashed. Returns whether there was one.
pub fn withdraw(
    table: &mut PoisonTable,
    fingerprint: &Digest,
    target: &TargetName,
    reporter: &HostId,
    at: TimeMs,
) -> bool {
    let Some(row) = table.rows.get_mut(fingerprint) else {
        return false;
    };
    let mut is_found = false;
    for held in &mut row.suspicions {
        if held.target == *target && held.reporter == *reporter && is_same_time(held.at, at) {
            is_found |= !std::mem::replace(&mut held.withdrawn, true);
        }
    }
    if is_found {
        row.resent_at = None;
    }
    is_found
}

/// Returns the suspicions that count against a request.
pub(super) fn open_suspicions(
    suspicions: &[Suspicion],
    now: TimeMs,
) -> impl Iterator<Item = &Suspicion> {
    let suspicions = suspicions.iter();
    suspicions.filter(move |suspicion| {
        !suspicion.withdrawn && now.since(suspicion.at) <= SUSPICION_LIFETIME_MS
    })
}

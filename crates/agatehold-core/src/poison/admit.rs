//! Admits requests by the crashes they were part of.

use crate::ids::Digest;
use crate::ids::HostId;
use crate::ids::TargetName;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::CrashMark;
use super::PoisonTable;

/// How long a crash counts.
const MARK_LIFETIME_MS: DurationMs = DurationMs(600_000);

/// The most fingerprints kept. At 2,000 rows of about 300 bytes the table
/// stays under 1 MB; the row with the oldest mark gives way.
const MAX_ROWS: usize = 2_000;

/// The most marks kept of one fingerprint; two suffice to refuse it.
const MAX_MARKS: usize = 4;

/// Crashes of one target within this time are one crash, whichever daemons
/// report it.
const SAME_CRASH_MS: DurationMs = DurationMs(2_000);

/// How long a daemon waits after a crash before it sends the request again, so
/// that marks of crashes at the same time arrive first. Pushed marks take 1 to
/// 3 ms; without the wait, a request sent to three daemons at once crashes six
/// targets instead of three.
const TRIAL_DELAY_MS: DurationMs = DurationMs(50);

/// How long a daemon waits for the outcome of a further attempt.
const TRIAL_LIFETIME_MS: DurationMs = DurationMs(30_000);

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent.
    Admitted,
    /// The request may be sent once more, to a target that it did not crash,
    /// if it is idempotent.
    AdmittedOnTrial,
    /// The request crashed a target, and the daemon that saw it sends it again
    /// first, after a short wait.
    Deferred,
    /// The request crashed two targets.
    Refused,
}

/// Decides whether a request may be sent.
///
/// After the first crash only the daemon that reported it sends the request
/// again, one at a time: were each daemon to allow one further target, a
/// request resent to all of them would crash one target for each.
pub fn admit(
    table: &mut PoisonTable,
    fingerprint: &Digest,
    own: &HostId,
    now: TimeMs,
) -> Admission {
    let Some(row) = table.rows.get_mut(fingerprint) else {
        return Admission::Admitted;
    };
    row.marks
        .retain(|mark| now.since(mark.at) <= MARK_LIFETIME_MS);
    let mut open = row.marks.iter().filter(|mark| !mark.cleared);
    let (Some(mark), second) = (open.next(), open.next()) else {
        return Admission::Admitted;
    };
    if second.is_some() {
        return Admission::Refused;
    }
    let on_trial = row
        .trial_since
        .is_some_and(|since| now.since(since) <= TRIAL_LIFETIME_MS);
    let too_early = now.since(mark.at) < TRIAL_DELAY_MS;
    if mark.reporter != *own || on_trial || too_early {
        return Admission::Deferred;
    }
    row.trial_since = Some(now);
    Admission::AdmittedOnTrial
}

/// Marks the request of a connection that was lost in a crash.
///
/// Called when the connection is lost, before the crash is confirmed, so that
/// the request is not sent on meanwhile; `clear` undoes it.
pub fn mark_crash(table: &mut PoisonTable, mark: CrashMark, now: TimeMs) {
    let row = table.rows.get_or_insert(mark.fingerprint, Default::default);
    if mark.cleared {
        for held in &mut row.marks {
            if held.reporter == mark.reporter && is_same_crash(held, &mark) {
                held.cleared = true;
            }
        }
    }
    let known = row.marks.iter().any(|held| is_same_crash(held, &mark));
    if row.marks.len() >= MAX_MARKS
        && let Some(cleared) = row.marks.iter().position(|held| held.cleared)
    {
        row.marks.remove(cleared);
    }
    if !known && row.marks.len() < MAX_MARKS && now.since(mark.at) <= MARK_LIFETIME_MS {
        row.marks.push(mark);
        row.marks.sort_by_key(|held| held.at);
        row.trial_since = None;
    }
    bound_rows(table, now);
}

fn is_same_crash(held: &CrashMark, mark: &CrashMark) -> bool {
    let apart = held.at.since(mark.at).max(mark.at.since(held.at));
    held.target == mark.target && apart <= SAME_CRASH_MS
}

fn bound_rows(table: &mut PoisonTable, now: TimeMs) {
    table.rows.retain(|_, row| {
        row.marks
            .retain(|mark| now.since(mark.at) <= MARK_LIFETIME_MS);
        !row.marks.is_empty()
    });
    while table.rows.len() > MAX_ROWS {
        let oldest = table
            .rows
            .rows()
            .min_by_key(|(_, row)| row.marks.last().map(|mark| mark.at))
            .map(|(fingerprint, _)| *fingerprint);
        let Some(oldest) = oldest else {
            return;
        };
        table.rows.remove(&oldest);
    }
}

/// Merges the marks of a peer.
pub fn merge_marks(table: &mut PoisonTable, marks: &[CrashMark], now: TimeMs) {
    for mark in marks {
        mark_crash(table, mark.clone(), now);
    }
}

/// Clears the marks of this daemon on a request that was answered since, or
/// whose connection was lost without a crash; returns those to push to peers.
pub fn clear(table: &mut PoisonTable, fingerprint: &Digest, own: &HostId) -> Vec<CrashMark> {
    let mut cleared = Vec::new();
    let Some(row) = table.rows.get_mut(fingerprint) else {
        return cleared;
    };
    row.trial_since = None;
    for mark in &mut row.marks {
        if mark.reporter == *own && !mark.cleared {
            mark.cleared = true;
            cleared.push(mark.clone());
        }
    }
    cleared
}

/// Returns whether a lost connection is blamed on the request: it was part of
/// a crash of another target.
pub fn is_blamed(table: &PoisonTable, fingerprint: &Digest, target: &TargetName) -> bool {
    let Some(row) = table.rows.get(fingerprint) else {
        return false;
    };
    row.marks
        .iter()
        .any(|mark| !mark.cleared && mark.target != *target)
}

//! Decides whether a request may be sent, based on the target crashes in which it
//! was involved.

use crate::ids::Digest;
use crate::ids::HostId;
use crate::ids::TargetName;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::CrashMark;
use super::PoisonRow;
use super::PoisonTable;
use super::suspect::SUSPICION_LIFETIME_MS;
use super::suspect::open_suspicions;

/// How long a crash counts against a request.
const MARK_LIFETIME_MS: DurationMs = DurationMs(600_000);

/// The maximum number of fingerprints. With 2,000 rows of about 300 bytes the
/// table stays under 1 MB. Above the limit the row whose latest mark is the
/// oldest is dropped.
const MAX_ROWS: usize = 2_000;

/// The maximum number of marks per fingerprint; two that are not cleared are
/// enough to refuse the request.
const MAX_MARKS: usize = 4;

/// The number of confirmed crashes of a request from which on it is refused.
pub const CRASHES_MAX: usize = 2;

/// Crashes of one target within this time count as the same crash, even if
/// different daemons report them.
const SAME_CRASH_MS: DurationMs = DurationMs(2_000);

/// How much later a copy of a mark may seem to be than the mark itself: the age that is
/// sent with it does not count the time on the network, and an exchange that takes longer
/// than this has failed.
const COPY_DELAY_MAX_MS: DurationMs = DurationMs(500);

/// How long a daemon waits after a crash before it resends the request, so that
/// marks of simultaneous crashes, which take 1 to 3 ms to arrive from peers,
/// arrive first. Without the wait, a request sent to three daemons at once
/// crashes six targets instead of three.
pub const RESEND_DELAY_MS: DurationMs = DurationMs(50);

/// How long the daemons that did not report a crash leave the request to the one that
/// did. It resends an idempotent request at once and reports the outcome; after that it
/// may have exited, or wait for a caller that goes elsewhere. Gossip, which repairs lost
/// marks, takes up to 6 s.
const DEFERRAL_MAX_MS: DurationMs = DurationMs(10_000);

/// The time after a lost connection at which it is usually known whether the target has
/// crashed: a check waits 50 ms and watches a new connection for 150 ms.
const CHECK_MS: DurationMs = DurationMs(250);

/// After which time the caller of a request that has crashed one target may return: another
/// copy of the request is under way, or only another daemon may resend it, which no caller
/// can choose.
const DEFERRED_RETURN_MS: DurationMs = DurationMs(1_000);

/// How long a daemon waits for the outcome of a resent request before it may
/// resend it once more.
const RESEND_TIMEOUT_MS: DurationMs = DurationMs(30_000);

/// The result of [`admit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent.
    Admitted,
    /// The request crashed one target. If it is idempotent it may be resent
    /// once, to a different target.
    AdmittedOnce,
    /// The request may not be sent for now. It crashed one target, and at first only the
    /// daemon that reported the crash resends it, after a short wait; or it is not known
    /// yet whether it crashed more than one.
    Deferred,
    /// The request crashed at least two targets and must not be sent.
    Refused,
}

/// Decides whether a request may be sent.
///
/// After the first crash only the daemon that reported it resends the request for
/// [`DEFERRAL_MAX_MS`], one attempt at a time. If every daemon allowed one more target
/// at once, a caller that resent the request to all daemons could crash one target
/// through each.
pub fn admit(
    table: &mut PoisonTable,
    fingerprint: &Digest,
    own: &HostId,
    now: TimeMs,
) -> Admission {
    let Some(row) = table.rows.get_mut(fingerprint) else {
        return Admission::Admitted;
    };
    expire(row, now);
    let marks = active_marks(&row.marks, now).map(|mark| (&mark.reporter, mark.at));
    let crashes = marks.clone().count();
    if crashes >= CRASHES_MAX {
        return Admission::Refused;
    }
    let suspicions = open_suspicions(&row.suspicions, now);
    let suspicions = suspicions.map(|suspicion| (&suspicion.reporter, suspicion.at));
    let mut reports = marks.chain(suspicions);
    let (Some((reporter, lost_at)), second) = (reports.next(), reports.next()) else {
        return Admission::Admitted;
    };
    if second.is_some() {
        return Admission::Deferred;
    }
    let age_ms = now.since(lost_at);
    let wait_ms = if *reporter == *own {
        RESEND_DELAY_MS
    } else {
        DEFERRAL_MAX_MS
    };
    if is_resend_in_flight(row, now) || age_ms < wait_ms {
        return Admission::Deferred;
    }
    row.resent_at = Some(now);
    Admission::AdmittedOnce
}

/// Returns whether this daemon waits for the outcome of a resent request.
pub(super) fn is_resend_in_flight(row: &PoisonRow, now: TimeMs) -> bool {
    row.resent_at
        .is_some_and(|since| now.since(since) <= RESEND_TIMEOUT_MS)
}

/// Ends the wait for the outcome of a request that was [`Admission::AdmittedOnce`] or is a
/// trial ([`super::begin_trial`]), once it has ended. Until then the daemon holds other
/// copies of the request back, for up to [`RESEND_TIMEOUT_MS`].
pub fn end_resend(table: &mut PoisonTable, fingerprint: &Digest) {
    if let Some(row) = table.rows.get_mut(fingerprint) {
        row.resent_at = None;
    }
}

/// Returns after which time the caller of a deferred request may return.
pub fn deferral(table: &PoisonTable, fingerprint: &Digest, now: TimeMs) -> DurationMs {
    let row = table.rows.get(fingerprint);
    let suspicions = row.map_or(&[][..], |row| &row.suspicions);
    let lost_at = open_suspicions(suspicions, now).map(|suspicion| suspicion.at);
    match lost_at.max() {
        Some(lost_at) if now.since(lost_at) < CHECK_MS => {
            CHECK_MS.saturating_sub(now.since(lost_at))
        }
        _ => DEFERRED_RETURN_MS,
    }
}

/// Records a crash mark for a request whose connection to a target was lost.
///
/// A daemon without [`super::suspect`] calls this as soon as the connection is lost,
/// before the crash is confirmed, so that the request is not resent meanwhile. [`clear`]
/// and [`clear_target`] revoke the mark, and a cleared mark of a peer revokes the one that
/// the peer sent before.
pub fn mark_crash(table: &mut PoisonTable, mark: CrashMark, now: TimeMs) {
    let row = table.rows.get_or_insert(mark.fingerprint, Default::default);
    if mark.cleared {
        for held in &mut row.marks {
            if held.reporter == mark.reporter && is_same_crash(held, &mark) {
                held.cleared = true;
            }
        }
    }
    let known = row.marks.iter().any(|held| is_known_crash(held, &mark));
    if !known && now.since(mark.at) <= MARK_LIFETIME_MS {
        insert_mark(row, mark);
    }
    evict_rows(table, now);
}

/// Drops the marks and the suspicions of a row that have expired.
fn expire(row: &mut PoisonRow, now: TimeMs) {
    row.marks
        .retain(|mark| now.since(mark.at) <= MARK_LIFETIME_MS);
    row.suspicions
        .retain(|suspicion| now.since(suspicion.at) <= SUSPICION_LIFETIME_MS);
}

/// Adds a mark to a row, in place of a cleared one if the row is full. A full row without
/// cleared marks stays as it is, since its request is refused already.
fn insert_mark(row: &mut PoisonRow, mark: CrashMark) {
    if row.marks.len() >= MAX_MARKS {
        let Some(cleared) = row.marks.iter().position(|held| held.cleared) else {
            return;
        };
        row.marks.remove(cleared);
    }
    if !mark.cleared {
        row.resent_at = None;
    }
    row.marks.push(mark);
    row.marks.sort_by_key(|held| held.at);
}

/// Returns whether `held` already says what `mark` says.
///
/// A cleared mark stands for what happened until then. A mark that is later by more than
/// a copy's delay is another crash, which the request may have caused.
pub(crate) fn is_known_crash(held: &CrashMark, mark: &CrashMark) -> bool {
    let is_later = mark.at > held.at + COPY_DELAY_MAX_MS;
    is_same_crash(held, mark) && !(held.cleared && is_later)
}

fn is_same_crash(held: &CrashMark, mark: &CrashMark) -> bool {
    held.target == mark.target && is_same_time(held.at, mark.at)
}

/// Returns whether two reports on one target that are from these times are about the same
/// crash.
pub(super) fn is_same_time(one: TimeMs, other: TimeMs) -> bool {
    one.since(other).max(other.since(one)) <= SAME_CRASH_MS
}

/// Drops expired marks and suspicions, rows without any, and the oldest rows above the
/// limit.
pub(super) fn evict_rows(table: &mut PoisonTable, now: TimeMs) {
    table.rows.retain(|_, row| {
        expire(row, now);
        !row.marks.is_empty() || !row.suspicions.is_empty()
    });
    while table.rows.len() > MAX_ROWS {
        let oldest = table
            .rows
            .rows()
            .min_by_key(|(_, row)| {
                let marked_at = row.marks.last().map(|mark| mark.at);
                marked_at.max(row.suspicions.last().map(|suspicion| suspicion.at))
            })
            .map(|(fingerprint, _)| *fingerprint);
        let Some(oldest) = oldest else {
            return;
        };
        table.rows.remove(&oldest);
    }
}

/// Clears this daemon's own mark of a crash that turned out to be none. Returns the cleared
/// mark, which has to be pushed to peers.
pub fn clear_target(
    table: &mut PoisonTable,
    fingerprint: &Digest,
    target: &TargetName,
    own: &HostId,
) -> Vec<CrashMark> {
    clear_marks(table, fingerprint, |mark| {
        mark.reporter == *own && mark.target == *target
    })
}

/// Clears this daemon's own marks on a request that has since been answered. Returns the
/// cleared marks, which have to be pushed to peers.
pub fn clear(table: &mut PoisonTable, fingerprint: &Digest, own: &HostId) -> Vec<CrashMark> {
    clear_marks(table, fingerprint, |mark| mark.reporter == *own)
}

/// Revokes the marks and the suspicions of all daemons on a request that a target has
/// answered, since a poison request crashes every target that runs it. Returns whether
/// there were any; the peers then have to be told.
pub fn revoke_marks(table: &mut PoisonTable, fingerprint: &Digest) -> bool {
    let mut is_changed = !clear_marks(table, fingerprint, |_| true).is_empty();
    let row = table.rows.get_mut(fingerprint);
    for suspicion in row.into_iter().flat_map(|row| &mut row.suspicions) {
        is_changed |= !std::mem::replace(&mut suspicion.withdrawn, true);
    }
    is_changed
}

/// Clears those marks on a request for which `is_revoked` returns true, and returns them.
fn clear_marks(
    table: &mut PoisonTable,
    fingerprint: &Digest,
    is_revoked: impl Fn(&CrashMark) -> bool,
) -> Vec<CrashMark> {
    let mut cleared = Vec::new();
    let Some(row) = table.rows.get_mut(fingerprint) else {
        return cleared;
    };
    row.resent_at = None;
    for mark in &mut row.marks {
        if !mark.cleared && is_revoked(mark) {
            mark.cleared = true;
            cleared.push(mark.clone());
        }
    }
    cleared
}

/// Returns whether a request is refused, because it has crashed two targets.
pub fn is_refused(table: &PoisonTable, fingerprint: &Digest, now: TimeMs) -> bool {
    let row = table.rows.get(fingerprint);
    row.is_some_and(|row| active_marks(&row.marks, now).count() >= CRASHES_MAX)
}

/// Returns the number of crashes in which a request was involved, including those that
/// are not confirmed yet.
pub fn crash_count(table: &PoisonTable, fingerprint: &Digest, now: TimeMs) -> usize {
    let Some(row) = table.rows.get(fingerprint) else {
        return 0;
    };
    active_marks(&row.marks, now).count() + open_suspicions(&row.suspicions, now).count()
}

/// Returns the marks that count against a request.
pub(super) fn active_marks(
    marks: &[CrashMark],
    now: TimeMs,
) -> impl Iterator<Item = &CrashMark> + Clone {
    let marks = marks.iter();
    marks.filter(move |mark| !mark.cleared && now.since(mark.at) <= MARK_LIFETIME_MS)
}

/// Returns the requests that are refused, at most `most`, those whose last crash is the
/// newest first.
pub fn refused_requests(table: &PoisonTable, most: usize, now: TimeMs) -> Vec<Digest> {
    let mut refused = Vec::new();
    for (fingerprint, row) in table.rows.rows() {
        if is_refused(table, fingerprint, now) {
            let crashed_at = active_marks(&row.marks, now).map(|mark| mark.at);
            refused.push((crashed_at.max(), *fingerprint));
        }
    }
    refused.sort_by(|a, b| b.cmp(a));
    refused.truncate(most);
    refused
        .into_iter()
        .map(|(_, fingerprint)| fingerprint)
        .collect()
}

/// Returns whether the request, rather than `target`, counts as the cause of a
/// lost connection to `target`, because it was involved in a crash of another
/// target.
pub fn is_blamed(table: &PoisonTable, fingerprint: &Digest, target: &TargetName) -> bool {
    let Some(row) = table.rows.get(fingerprint) else {
        return false;
    };
    row.marks
        .iter()
        .any(|mark| !mark.cleared && mark.target != *target)
}

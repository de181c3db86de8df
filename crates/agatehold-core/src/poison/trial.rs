//! Lets a refused request be tried again, so that one which was in flight at crashes that
//! it did not cause is not refused until its marks expire.

use crate::ids::Digest;
use crate::ids::HostId;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::CRASHES_MAX;
use super::CrashMark;
use super::PoisonTable;
use super::admit::active_marks;
use super::admit::is_resend_in_flight;
use super::suspect::open_suspicions;

/// How long after its last crash a request with two crashes, and with three, is tried
/// again. The first is longer than the few seconds for which targets that crash together
/// are down. A request with more crashes is not tried: each trial of a poison request
/// crashes another target.
const TRIAL_DELAYS_MS: [DurationMs; 2] = [DurationMs(10_000), DurationMs(60_000)];

/// Returns whether a refused request is sent once as a trial, and notes that it is.
///
/// Of the daemons that have reported crashes of the request, the one with the least host id
/// tries it, one copy at a time. Copies that come to all daemons at once crash one target.
pub fn begin_trial(
    table: &mut PoisonTable,
    fingerprint: &Digest,
    own: &HostId,
    now: TimeMs,
) -> bool {
    let Some(row) = table.rows.get_mut(fingerprint) else {
        return false;
    };
    let marks: Vec<&CrashMark> = active_marks(&row.marks, now).collect();
    let Some(delay_ms) = marks
        .len()
        .checked_sub(CRASHES_MAX)
        .and_then(|further| TRIAL_DELAYS_MS.get(further))
    else {
        return false;
    };
    let crashed_at = marks.iter().map(|mark| mark.at).max();
    let is_due = crashed_at.is_some_and(|crashed_at| now.since(crashed_at) >= *delay_ms);
    let is_own_turn = marks.iter().map(|mark| &mark.reporter).min() == Some(own);
    // The last trial may have crashed its target, which is being checked.
    let is_suspected = open_suspicions(&row.suspicions, now).next().is_some();
    if !is_due || !is_own_turn || is_suspected || is_resend_in_flight(row, now) {
        return false;
    }
    row.resent_at = Some(now);
    true
}

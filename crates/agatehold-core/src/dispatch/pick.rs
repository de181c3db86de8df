//! Chooses the registered target for a request.

use crate::addresses::rendezvous_score;
use crate::ids::FailureDomain;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::target_registry::TargetIdentity;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::LiveTarget;
use super::LiveTargets;
use super::cost::ServiceWork;
use super::failure_detector::Eligibility;
use super::failure_detector::HoldDurations;
use super::failure_detector::LONG_HOLDS;
use super::failure_detector::SHORT_HOLDS;

/// The cost of a target whose home is another daemon, as a share of its slots. This
/// daemon doesn't know how many of its slots are free, so that it uses the target
/// only if its own ones are nearly full.
const AWAY_COST: f64 = 0.8;

/// The cost of a target in another failure domain, as a share of its slots. A
/// target in the daemon's own failure domain is preferred until its load is
/// higher by this much, since traffic between failure domains costs bandwidth.
const CROSS_DOMAIN_COST: f64 = 0.15;

/// The cost of a target that is still warming up after its start, as a share of
/// its slots. Such a target runs requests at about half its speed.
const WARMING_COST: f64 = 0.4;

/// The cost of each overdue request, as a share of the target's slots. Two of
/// them make a target cost as much as a full one.
const OVERDUE_COST: f64 = 0.6;

/// The share of a service's targets up to which suspected targets get long
/// holds. At users' sites a third of the targets fail at the same time, and a
/// few more are on hold for a single failure. With a third of the slots in use,
/// the remaining targets can carry the load.
const LONG_HOLD_SHARE_MAX: f64 = 0.45;

/// The order of a target that is to come after all others of equal cost.
const ORDER_MAX: f64 = 1e-2;

/// The time without a request after which the home of a target sends it one. A
/// floor counts targets without a request for two seconds.
const UNUSED_AFTER_MS: DurationMs = DurationMs(1_200);

/// The time without a request after which the next daemon sends one to a target
/// whose home is another daemon. It is longer than [`UNUSED_AFTER_MS`] by the time
/// that reports between daemons take.
const AWAY_UNUSED_AFTER_MS: DurationMs = DurationMs(1_450);

/// The number of daemons after the home of a target that keep it in use. Only they
/// have to know when it was used.
pub(super) const FALLBACK_DAEMONS_MAX: u32 = 16;

/// The time by which each further daemon waits longer than the one before it.
const UNUSED_STEP_MS: DurationMs = DurationMs(60);

/// The upper limit of the time without a request, so that the last daemon uses a
/// target before the two seconds of a floor have passed.
const UNUSED_MAX_MS: DurationMs = DurationMs(1_800);

/// The time that the first daemon after a target's home waits longer, after a hold,
/// before it tries the target. It covers a failed trial of the home and its report.
const TRIAL_AWAY_DELAY_MS: DurationMs = DurationMs(300);

/// The time by which each further daemon waits longer than the one before it. It
/// covers a successful trial and its report: if the daemons tried at the same time,
/// the requests of many of them would meet in one target.
const TRIAL_STEP_MS: DurationMs = DurationMs(600);

/// The upper limit of the wait before a trial.
const TRIAL_DELAY_MAX_MS: DurationMs = DurationMs(3_000);

/// The load, as a share of a target's slots, up to which the target is tried after a
/// hold. Other daemons may have sent it requests before they learned of the failure.
const TRIAL_LOAD_MAX: f64 = 0.5;

/// The place of this daemon in the order in which the entry daemons of a
/// service keep a target in use.
///
/// Each target has one daemon as its home, which sends it most of its requests
/// (see [`super::choose_homes`]). If all daemons sent requests to keep it in use, a
/// target that starts to fail would fail a request of each. The other daemons
/// come later in the order, since the home may have no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonRank {
    /// The position of the daemon among the entry daemons; less than `daemons`.
    pub rank: u32,
    /// The number of entry daemons.
    pub daemons: u32,
}

impl DaemonRank {
    /// Returns the number of daemons that come before this one in the order for
    /// a target; 0 if this daemon is its home.
    pub fn daemons_before(&self, target: &LiveTarget) -> u32 {
        let daemons = u64::from(self.daemons.max(1));
        let first = target.home % daemons;
        let before = (u64::from(self.rank) + daemons - first) % daemons;
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Returns whether this daemon tells the daemon at position `other` which targets
    /// it has used: it is among those that come after this one in the order for the
    /// targets of which this one is the home. What a daemon sends therefore does not
    /// grow with their number.
    pub fn reports_to(&self, other: u32) -> bool {
        let daemons = self.daemons.max(1);
        let distance = (other % daemons + daemons - self.rank % daemons) % daemons;
        (1..=FALLBACK_DAEMONS_MAX).contains(&distance)
    }
}

/// Returns the home of a target until homes are chosen for its service.
pub(super) fn default_home(name: &TargetName) -> u64 {
    rendezvous_score(&["share"], name.as_str())
}

/// Returns whether a target has been without a request for so long that this daemon
/// has to send it one.
///
/// Targets are kept in use at all times: requests may be lost at any moment, for
/// example when daemons stop, and a floor is then measured over the time before the
/// loss.
fn is_use_due(row: &LiveTarget, daemon_rank: DaemonRank, now: TimeMs) -> bool {
    let after_ms = match daemon_rank.daemons_before(row) {
        0 => UNUSED_AFTER_MS,
        daemons_before if daemons_before > FALLBACK_DAEMONS_MAX => return false,
        daemons_before => {
            let later = UNUSED_STEP_MS.times(u64::from(daemons_before - 1));
            (AWAY_UNUSED_AFTER_MS + later).min(UNUSED_MAX_MS)
        }
    };
    row.counts.in_flight == 0 && now.since(row.used_at) > after_ms
}

/// The parameters of [`pick_live_target`].
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The failure domain of this daemon.
    pub failure_domain: &'a FailureDomain,
    /// Targets at which the request was already tried; they are skipped.
    pub tried: &'a [TargetName],
    /// Whether the request may try a target as soon as its hold has ended.
    pub may_try: bool,
    /// Whether the request may be sent to a suspected target that fails fast if
    /// all other targets are full.
    pub may_risk_failure: bool,
    /// This daemon's place among the entry daemons; `None` if it is not an
    /// entry daemon of the service.
    pub daemon_rank: Option<DaemonRank>,
    /// Whether a target without a free slot may be chosen; the request then
    /// waits in the target.
    pub accepts_full: bool,
    /// The size of the request's body. A target is chosen only if it has room for the
    /// body beside those that are under way to it.
    pub body_bytes: u64,
}

/// The result of [`pick_live_target`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The request is sent to this target.
    Target(TargetIdentity),
    /// All targets are full; the request has to wait.
    AllBusy,
    /// All targets that could take the request have asked for a pause; the first of them
    /// takes requests again at this time.
    AllPaused(TimeMs),
    /// The service has no target that takes new work.
    NoTarget,
}

/// Chooses the target with the lowest cost among those with a free slot.
///
/// The cost is the load per slot, or the expected work per slot if the table is set to
/// use it (see [`LiveTarget::expected_load`]), plus the costs of another home, of another
/// failure domain, of warming up and of overdue requests. Of targets with equal
/// cost, the one that has not been chosen for longest is chosen. Most requests to a
/// target come from its home, which therefore knows its load, and is the only one to
/// lose a request when the target begins to fail.
///
/// A target that has asked this daemon for a pause is never chosen before its end,
/// neither as a trial nor to keep it in use.
///
/// A target on hold is chosen only if the service has no other target, or if
/// `may_risk_failure` is set and all other targets are full. A target that has
/// been without requests is preferred before the two seconds of a floor have
/// passed. A target that this daemon has never used is preferred if this daemon is
/// its home, and otherwise once the home and the daemons before this one have left
/// it unused.
pub fn pick_live_target(targets: &LiveTargets, request: &PickRequest<'_>, now: TimeMs) -> Choice {
    let holds = hold_durations(targets, request.service, now);
    let work = targets.work_of(request.service);
    let mut best: Option<(f64, &TargetIdentity)> = None;
    let mut last_resort: Option<(f64, &TargetIdentity)> = None;
    let mut fast_failing: Option<(f64, &TargetIdentity)> = None;
    let mut has_candidate = false;
    let mut first_pause_ends_at: Option<TimeMs> = None;
    for (name, row) in targets.of_service(request.service) {
        if row.leaving || request.tried.contains(name) {
            continue;
        }
        if row.is_paused(now) {
            let ends_at = first_pause_ends_at.unwrap_or(row.paused_until);
            first_pause_ends_at = Some(ends_at.min(row.paused_until));
            continue;
        }
        let is_free = (request.accepts_full || row.has_free_slot(now))
            && row.counts.has_room_for(request.body_bytes);
        let is_due = request
            .daemon_rank
            .is_some_and(|daemon_rank| is_use_due(row, daemon_rank, now));
        let cost = cost(row, request, work, is_due, now);
        let delay_ms = trial_delay(row, request.daemon_rank);
        let is_candidate = match row.failure_detector.eligibility(&holds, delay_ms, now) {
            _ if row.failure_detector.is_unreachable(now) => false,
            Eligibility::Trusted => true,
            Eligibility::LateTrial => may_be_tried(row, request.daemon_rank, now),
            Eligibility::Trial => request.may_try && may_be_tried(row, request.daemon_rank, now),
            Eligibility::Avoided => false,
        };
        if !is_candidate {
            let is_fast_failing = request.may_risk_failure
                && !row.failure_detector.is_unreachable(now)
                && row.failure_detector.fails_fast();
            if is_free && is_fast_failing && fast_failing.is_none_or(|(least, _)| cost < least) {
                fast_failing = Some((cost, &row.record.identity));
            }
            if is_free && last_resort.is_none_or(|(least, _)| cost < least) {
                last_resort = Some((cost, &row.record.identity));
            }
            continue;
        }
        has_candidate = true;
        if is_free && best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, &row.record.identity));
        }
    }
    match (best, last_resort) {
        (Some((_, identity)), _) => Choice::Target(identity.clone()),
        (None, _) if has_candidate => match fast_failing {
            Some((_, identity)) => Choice::Target(identity.clone()),
            None => Choice::AllBusy,
        },
        (None, Some((_, identity))) => Choice::Target(identity.clone()),
        (None, None) if targets.takes_work(request.service, request.tried, now) => Choice::AllBusy,
        (None, None) => first_pause_ends_at.map_or(Choice::NoTarget, Choice::AllPaused),
    }
}

/// Returns the targets of a service that are neither leaving, pausing nor unreachable.
fn reachable_targets<'a>(
    targets: &'a LiveTargets,
    service: &'a ServiceName,
    now: TimeMs,
) -> impl Iterator<Item = &'a LiveTarget> {
    let rows = targets.of_service(service).map(|(_, row)| row);
    rows.filter(move |row| {
        !row.leaving && !row.is_paused(now) && !row.failure_detector.is_unreachable(now)
    })
}

/// Returns how long the targets of a service are on hold, which depends on the
/// share of them that is suspected.
fn hold_durations(targets: &LiveTargets, service: &ServiceName, now: TimeMs) -> HoldDurations {
    let mut count = 0;
    let mut held = 0;
    for row in reachable_targets(targets, service, now) {
        count += 1;
        held += u32::from(row.failure_detector.is_suspected());
    }
    if f64::from(held) <= f64::from(count) * LONG_HOLD_SHARE_MAX {
        LONG_HOLDS
    } else {
        SHORT_HOLDS
    }
}

/// Returns whether this daemon may try a target after its hold: the target has few
/// requests, and its home, if that is another daemon, seems to leave it unused.
fn may_be_tried(row: &LiveTarget, daemon_rank: Option<DaemonRank>, now: TimeMs) -> bool {
    let is_left = daemon_rank.is_none_or(|daemon_rank| {
        daemon_rank.daemons_before(row) == 0 || is_use_due(row, daemon_rank, now)
    });
    is_left && row.estimated_load(now) <= f64::from(row.record.slots.0) * TRIAL_LOAD_MAX
}

/// Returns how long this daemon waits after a hold before it tries a target; 0 at
/// the target's home.
fn trial_delay(row: &LiveTarget, daemon_rank: Option<DaemonRank>) -> DurationMs {
    let Some(daemon_rank) = daemon_rank else {
        return TRIAL_DELAY_MAX_MS;
    };
    match u64::from(daemon_rank.daemons_before(row)) {
        0 => DurationMs(0),
        daemons_before => {
            let delay_ms = TRIAL_AWAY_DELAY_MS + TRIAL_STEP_MS.times(daemons_before - 1);
            delay_ms.min(TRIAL_DELAY_MAX_MS)
        }
    }
}

/// Returns the cost of a target (see [`pick_live_target`]). The cost of a target
/// that has to be used now, whatever its load, is well below 0.
fn cost(
    row: &LiveTarget,
    request: &PickRequest<'_>,
    work: Option<&ServiceWork>,
    is_due: bool,
    now: TimeMs,
) -> f64 {
    // Orders targets of equal cost: the one that has not been chosen for longest.
    let mut order = 1e-9 * (row.chosen_number as f64 + row.tie_break);
    let is_home = request
        .daemon_rank
        .is_some_and(|daemon_rank| daemon_rank.daemons_before(row) == 0);
    let is_suspected = row.failure_detector.is_suspected();
    if is_due && !is_suspected && row.chosen_number > 0 {
        // Trials and new targets must not take the requests that keep trusted
        // targets in use.
        return order - 3.0;
    }
    let is_new = row.chosen_number == 0;
    if is_suspected || (is_new && (is_due || is_home)) {
        // A trial takes place even if other targets are idle. The tie-break
        // differs between daemons, so that daemons that start together don't all
        // choose the same target first.
        return row.tie_break - 2.0;
    }
    let slots = f64::from(row.record.slots.0);
    let mut cost = match work {
        None => row.estimated_load(now) / slots,
        Some(work) => row.expected_load(work, now),
    };
    if !is_home {
        cost += AWAY_COST;
        if is_new {
            // The home uses it first; those that have been used come before it.
            order = ORDER_MAX;
        }
    }
    if row.record.failure_domain != *request.failure_domain {
        cost += CROSS_DOMAIN_COST;
    }
    if now < row.warm_at {
        cost += WARMING_COST;
    }
    cost += OVERDUE_COST * f64::from(row.counts.overdue);
    cost + order
}

//! Chooses the target for a request of a whole configuration.

use crate::addresses::rendezvous_score;
use crate::ids::FailureDomain;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::LiveTarget;
use super::LiveTargets;
use super::health::Holds;
use super::health::LONG_HOLDS;
use super::health::SHORT_HOLDS;
use super::health::Standing;

/// The share of a target's slots up to which its load does not matter: requests
/// rarely wait for a slot below it.
const EASY_LOAD: f64 = 0.65;

/// The cost of a target in another failure domain, as a share of its slots: a
/// near target is used up to this much more, since bytes that cross cost
/// bandwidth.
const FAR_COST: f64 = 0.15;

/// The cost of a target that is still slow after its start, as a share of its
/// slots: it runs requests at about half its speed.
const WARMING_COST: f64 = 0.4;

/// The cost of each request that takes much longer than usual, as a share of the
/// target's slots: two of them make a target as unwanted as a full one.
const OVERDUE_COST: f64 = 0.6;

/// The share of a service's targets that may be on hold for long. A third of
/// them fails at a time at the users' sites, and some are on hold for a single
/// failure; with a third of the slots in use, the others carry the rest.
const HELD_SHARE_MAX: f64 = 0.45;

/// The time without a request after which a target counts as unused; a floor
/// counts those that had none for two seconds.
const UNUSED_MS: DurationMs = DurationMs(1_200);

/// The time after which a daemon uses a target that does not fall to it, for each
/// entry daemon of the service: if the one that it falls to has no requests, the
/// others together use it about once a second.
const OWN_USE_EACH_MS: DurationMs = DurationMs(1_000);

/// The time without a request after which a target counts as unused under
/// pressure for a daemon that it does not fall to: later by the time that reports
/// take.
const UNUSED_BY_OTHERS_MS: DurationMs = DurationMs(1_450);

/// The time by which each further daemon waits longer, as for a trial.
const UNUSED_STEP_MS: DurationMs = DurationMs(60);

/// The longest wait of a daemon: the last one uses a target before the floor's two
/// seconds are over.
const UNUSED_MAX_MS: DurationMs = DurationMs(1_800);

/// The time by which each further daemon tries a target on hold later: most of a
/// failed trial's answer and the news of it.
const TRIAL_STEP_MS: DurationMs = DurationMs(60);

/// The longest such time.
const TRIAL_DELAY_MAX_MS: DurationMs = DurationMs(300);

/// The order in which several daemons keep targets in use.
///
/// Each target falls to one daemon. Were all of them to use it, a failure that
/// begins would be met as many times. The others follow, since the daemon may have
/// no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetShare {
    /// The place of the daemon; less than `daemons`.
    pub rank: u32,
    /// The number of daemons.
    pub daemons: u32,
}

impl TargetShare {
    /// Returns the number of daemons whose turn with a target comes before that
    /// of this one; 0 if the target falls to it.
    pub fn turns_before(&self, name: &TargetName) -> u32 {
        self.turns_from(share_score(name))
    }

    /// The same for a target's [`share_score`].
    fn turns_from(&self, score: u64) -> u32 {
        let daemons = u64::from(self.daemons.max(1));
        let first = score % daemons;
        let turns = (u64::from(self.rank) + daemons - first) % daemons;
        u32::try_from(turns).unwrap_or(u32::MAX)
    }
}

/// Returns the number that says which daemon a target falls to.
pub(super) fn share_score(name: &TargetName) -> u64 {
    rendezvous_score(&["share"], name.as_str())
}

/// How urgent it is that a daemon uses a target that has no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Need {
    /// The target has requests, or other daemons use it first.
    None,
    /// The daemon that the target falls to may have left it unused.
    Others,
    /// It is this daemon's turn.
    Own,
}

/// Returns how urgent it is that this daemon uses a target, whether the service is
/// under pressure or not.
///
/// Requests may be lost at any moment, as when daemons end, and a floor then looks
/// back at the time before: it can't be kept by what is done once they are lost.
fn need_of(row: &LiveTarget, share: TargetShare, is_pressed: bool, now: TimeMs) -> Need {
    let turns = share.turns_from(row.share_score);
    let is_new = row.chosen_number == 0;
    if is_pressed || is_new || turns == 0 {
        return if is_unused(row, turns, now) {
            Need::Own
        } else {
            Need::None
        };
    }
    // Nobody tells of uses without pressure. The times differ between daemons, so
    // that their uses don't fall together.
    let each_ms = OWN_USE_EACH_MS.0 as f64 * f64::from(share.daemons) * (0.5 + row.tie_break);
    if row.in_flight == 0 && now.since(row.claimed_at).0 as f64 > each_ms {
        Need::Others
    } else {
        Need::None
    }
}

/// Returns whether a target has been without a request for so long that a daemon
/// with `turns` others before it uses it, where the daemons tell each other which
/// targets they use.
fn is_unused(row: &LiveTarget, turns: u32, now: TimeMs) -> bool {
    let after_ms = match turns {
        0 => UNUSED_MS,
        turns => {
            let later = UNUSED_STEP_MS.times(u64::from(turns - 1));
            (UNUSED_BY_OTHERS_MS + later).min(UNUSED_MAX_MS)
        }
    };
    row.in_flight == 0 && now.since(row.chosen_at) > after_ms
}

/// What is asked of [`pick_live_target`].
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The failure domain of this daemon.
    pub failure_domain: &'a FailureDomain,
    /// Targets that the request was sent to already.
    pub tried: &'a [TargetName],
    /// Whether the request may try a target after a hold while others have
    /// room.
    pub may_try: bool,
    /// Whether the request may go to a target that is likely to fail it at
    /// once, where all others are full.
    pub may_gamble: bool,
    /// Whether so many requests of the service are not served that the entry
    /// daemons tell each other which targets they use.
    pub is_pressed: bool,
    /// This daemon's place among the entry daemons; `None` if it is no entry
    /// daemon of the service.
    pub share: Option<TargetShare>,
    /// Whether a target without a free slot will do, where the request waits
    /// in the target.
    pub accepts_full: bool,
}

/// What [`pick_live_target`] found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// A target with a free slot.
    Target(TargetName),
    /// All targets are full; the request has to wait.
    AllBusy,
    /// The service has no target that takes new work.
    NoTarget,
}

/// Chooses the target with the least cost among those with a free slot.
///
/// The cost is the load by slots beyond what keeps waiting short, and more for
/// far and warming targets and for those that are overdue with requests. Below
/// that load, the target that was chosen last is taken: a failure that begins
/// is met by few targets, and each of them shows it at once. A target on hold is
/// chosen only where the service has no other, or for a request that loses
/// nothing by it where all others are full. A target without requests goes first
/// before two seconds have passed. One that nobody has used yet goes first once, at
/// the daemon that it falls to; at the others once that daemon has left it unused.
pub fn pick_live_target(targets: &LiveTargets, request: &PickRequest<'_>, now: TimeMs) -> Choice {
    let holds = holds_of(targets, request.service, now);
    let mut best: Option<(f64, &TargetName)> = None;
    let mut last_resort: Option<(f64, &TargetName)> = None;
    let mut gamble: Option<(f64, &TargetName)> = None;
    let mut has_candidate = false;
    for (name, row) in targets.of_service(request.service) {
        if row.leaving || request.tried.contains(name) {
            continue;
        }
        let is_free = request.accepts_full || row.has_free_slot(now);
        let need = request.share.map_or(Need::None, |share| {
            need_of(row, share, request.is_pressed, now)
        });
        let cost = cost(row, request, need, now);
        let delay_ms = trial_delay(row, request.share);
        let is_candidate = match row.suspicion.standing(&holds, delay_ms, now) {
            _ if row.suspicion.is_unreachable(now) => false,
            Standing::Trusted | Standing::LateTrial => true,
            Standing::Trial => request.may_try,
            Standing::Avoided => false,
        };
        if !is_candidate {
            let is_gamble = request.may_gamble
                && !row.suspicion.is_unreachable(now)
                && row.suspicion.fails_fast();
            if is_free && is_gamble && gamble.is_none_or(|(least, _)| cost < least) {
                gamble = Some((cost, name));
            }
            if is_free && last_resort.is_none_or(|(least, _)| cost < least) {
                last_resort = Some((cost, name));
            }
            continue;
        }
        has_candidate = true;
        if is_free && best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, name));
        }
    }
    match (best, last_resort) {
        (Some((_, name)), _) => Choice::Target(name.clone()),
        (None, _) if has_candidate => match gamble {
            Some((_, name)) => Choice::Target(name.clone()),
            None => Choice::AllBusy,
        },
        (None, Some((_, name))) => Choice::Target(name.clone()),
        (None, None) if targets.takes_work(request.service, request.tried) => Choice::AllBusy,
        (None, None) => Choice::NoTarget,
    }
}

/// Returns the targets of a service that a request could be sent to.
fn usable<'a>(
    targets: &'a LiveTargets,
    service: &'a ServiceName,
    now: TimeMs,
) -> impl Iterator<Item = &'a LiveTarget> {
    let rows = targets.of_service(service).map(|(_, row)| row);
    rows.filter(move |row| !row.leaving && !row.suspicion.is_unreachable(now))
}

/// Returns how long the targets of a service are on hold.
fn holds_of(targets: &LiveTargets, service: &ServiceName, now: TimeMs) -> Holds {
    let mut count = 0;
    let mut held = 0;
    for row in usable(targets, service, now) {
        count += 1;
        held += u32::from(row.suspicion.is_suspected());
    }
    if f64::from(held) <= f64::from(count) * HELD_SHARE_MAX {
        LONG_HOLDS
    } else {
        SHORT_HOLDS
    }
}

/// Returns how much later than the daemon that a target falls to this one tries it
/// after a hold.
fn trial_delay(row: &LiveTarget, share: Option<TargetShare>) -> DurationMs {
    let Some(share) = share else {
        return TRIAL_DELAY_MAX_MS;
    };
    let turns = u64::from(share.turns_from(row.share_score));
    TRIAL_STEP_MS.times(turns).min(TRIAL_DELAY_MAX_MS)
}

fn cost(row: &LiveTarget, request: &PickRequest<'_>, need: Need, now: TimeMs) -> f64 {
    // Of equal targets, the one chosen last goes first; of those that are unused, the
    // one chosen first.
    let order = 1e-9 * (row.chosen_number as f64 + row.tie_break);
    let is_suspected = row.suspicion.is_suspected();
    if need == Need::Own && !is_suspected && row.chosen_number > 0 {
        // Trials and targets that join must not take the requests that keep sound
        // ones in use.
        return order - 3.0;
    }
    if is_suspected || goes_first_as_new(row, request, need) {
        // A trial takes place even where other targets are idle. The tie-break
        // differs between daemons, so that those that start together don't all
        // begin with one target.
        return row.tie_break - 2.0;
    }
    if need > Need::None {
        return order - 0.5;
    }
    let slots = f64::from(row.record.slots.0);
    let load = row.estimated_load(now) / slots;
    let mut cost = (load - EASY_LOAD).max(0.0);
    if row.record.failure_domain != *request.failure_domain {
        cost += FAR_COST;
    }
    if now < row.warm_at {
        cost += WARMING_COST;
    }
    cost += OVERDUE_COST * f64::from(row.overdue);
    cost - order
}

/// Returns whether nobody has used a target yet and it is this daemon's turn.
fn goes_first_as_new(row: &LiveTarget, request: &PickRequest<'_>, need: Need) -> bool {
    let falls_here = |share: TargetShare| share.turns_from(row.share_score) == 0;
    row.chosen_number == 0 && (need > Need::None || request.share.is_some_and(falls_here))
}

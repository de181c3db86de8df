//! Chooses the target for a request of a whole configuration.

use crate::ids::FailureDomain;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::units::TimeMs;

use super::LiveTarget;
use super::LiveTargets;
use super::health::Standing;

/// The cost of a target in another failure domain, in slots' worth of load: a
/// near target is used up to this much more, since bytes that cross cost
/// bandwidth.
const FAR_COST: f64 = 0.3;

/// The cost of a target that is still slow after its start.
const WARMING_COST: f64 = 0.4;

/// The cost of each request that takes much longer than usual.
const OVERDUE_COST: f64 = 0.6;

/// The share of a service's targets that may be on hold while many of its
/// requests are not served.
const HELD_SHARE_MAX: f64 = 0.25;

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
    /// Whether many requests of the service are not served.
    pub is_pressed: bool,
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
/// The cost is the load by slots, which is doubled for targets that are
/// overdue with requests, and more for far and warming ones. A target on hold
/// is chosen only when no other has a free slot, so that it takes no capacity
/// away. Of equal targets, the one that was not chosen for longest is taken.
pub fn pick_live_target(targets: &LiveTargets, request: &PickRequest<'_>, now: TimeMs) -> Choice {
    let is_pressed = request.is_pressed && holds_too_many(targets, request.service, now);
    let mut best: Option<(bool, f64, u64, &TargetName)> = None;
    let mut takes_work = false;
    for name in targets.of_service(request.service) {
        let Some(row) = targets.rows.get(name) else {
            continue;
        };
        if row.leaving || request.tried.contains(name) {
            continue;
        }
        takes_work = true;
        if !request.accepts_full && !row.has_free_slot(now) {
            continue;
        }
        let last = is_last_choice(row, request, is_pressed, now);
        let cost = cost(row, request, last, now);
        let is_better = match best {
            None => true,
            Some((best_last, best_cost, best_number, _)) => {
                (last, cost, row.chosen_number) < (best_last, best_cost, best_number)
            }
        };
        if is_better {
            best = Some((last, cost, row.chosen_number, name));
        }
    }
    match best {
        Some((_, _, _, name)) => Choice::Target(name.clone()),
        None if takes_work => Choice::AllBusy,
        None => Choice::NoTarget,
    }
}

/// Returns whether more targets are on hold than a service may do without.
fn holds_too_many(targets: &LiveTargets, service: &ServiceName, now: TimeMs) -> bool {
    let mut usable = 0;
    let mut held = 0;
    for name in targets.of_service(service) {
        let Some(row) = targets.rows.get(name) else {
            continue;
        };
        if row.leaving || row.suspicion.is_unreachable(now) {
            continue;
        }
        usable += 1;
        held += u32::from(row.suspicion.is_suspected());
    }
    f64::from(held) > f64::from(usable) * HELD_SHARE_MAX
}

fn is_last_choice(
    row: &LiveTarget,
    request: &PickRequest<'_>,
    is_pressed: bool,
    now: TimeMs,
) -> bool {
    if row.suspicion.is_unreachable(now) {
        return true;
    }
    match row.suspicion.standing(is_pressed, now) {
        Standing::Trusted => false,
        Standing::Trial => !request.may_try,
        Standing::Avoided => true,
    }
}

fn cost(row: &LiveTarget, request: &PickRequest<'_>, is_last_choice: bool, now: TimeMs) -> f64 {
    if row.suspicion.is_suspected() && !is_last_choice {
        // A trial takes place even where other targets are idle.
        return -1.0;
    }
    let slots = f64::from(row.record.slots.0);
    let mut cost = row.estimated_load(now);
    if row.record.failure_domain != *request.failure_domain {
        cost += FAR_COST;
    }
    if now < row.warm_at {
        cost += WARMING_COST * slots;
    }
    cost += OVERDUE_COST * f64::from(row.overdue) * slots;
    cost / slots
}

impl LiveTargets {
    /// Counts a request as sent to a target.
    pub fn claim(&mut self, name: &TargetName) {
        self.choices += 1;
        let number = self.choices;
        let Some(row) = self.rows.get_mut(name) else {
            return;
        };
        row.in_flight += 1;
        row.chosen_number = number;
        row.suspicion.note_choice();
    }

    /// Counts a request as ended at a target.
    pub fn release(&mut self, name: &TargetName) {
        let Some(row) = self.rows.get_mut(name) else {
            return;
        };
        row.in_flight = row.in_flight.saturating_sub(1);
    }
}

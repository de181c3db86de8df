//! Chooses the target for a request.

use rand::Rng;
use rand::RngExt;

use crate::units::TimeMs;

use super::Preference;
use super::RoutingTable;
use super::ServiceIndex;
use super::TargetEntry;
use super::TargetIndex;

/// Chooses a target with a free slot and claims the slot.
///
/// Of the targets that take new work, those of the best preference that has a
/// free slot are considered: first those with a free home slot of this daemon,
/// then, as far as its [`Borrowing`] lets it, those with any free slot. The one
/// with the least estimated load is taken, and of equal ones that which was not
/// chosen for longest. Two random choices by the same load, and round robin,
/// meet a full target more often (`docs/MEASUREMENTS.md`). A ramping target
/// joins the preferred ones with the probability of its share. Targets in
/// `tried` are passed over.
/// Returns `None` when no target has a free slot.
pub fn pick_target(
    table: &RoutingTable,
    service: ServiceIndex,
    tried: &[TargetIndex],
    now: TimeMs,
    rng: &mut impl Rng,
) -> Option<TargetIndex> {
    let entry = table.services.get(service.position())?;
    let may_borrow = Borrowing::of(table, service, now).is_allowed();
    for preference in [
        Preference::Preferred,
        Preference::Ramping,
        Preference::Avoided,
    ] {
        let mut own: Vec<TargetIndex> = Vec::with_capacity(entry.targets.len());
        let mut others: Vec<TargetIndex> = Vec::with_capacity(entry.targets.len());
        for index in &entry.targets {
            let target = &table.targets[index.position()];
            if tried.contains(index) || !takes_new_work(target, now) {
                continue;
            }
            if !joins(target, preference, rng) {
                continue;
            }
            let in_flight = target.cell.in_flight();
            if in_flight < target.cell.home_slots().0 {
                own.push(*index);
            } else if may_borrow && in_flight < target.slots.0 {
                others.push(*index);
            }
        }
        for mut candidates in [own, others] {
            if let Some(index) = claim_least_loaded(table, &mut candidates, now, rng) {
                return Some(index);
            }
        }
    }
    None
}

/// How many slots a daemon uses beyond its home slots.
///
/// A daemon replaces home slots at targets that are avoided or take no new
/// work by as many slots elsewhere, so that its requests in flight stay within
/// its share. One that borrowed freely would take the home slots of others,
/// whose requests the targets would shed (`docs/MEASUREMENTS-LOAD.md`).
#[derive(Clone, Copy, Debug, Default)]
struct Borrowing {
    /// The home slots.
    home: u32,
    /// Of these, the ones at targets that are not avoided.
    usable: u32,
    /// Requests in flight beyond the home slots of their targets.
    borrowed: u32,
}

impl Borrowing {
    fn of(table: &RoutingTable, service: ServiceIndex, now: TimeMs) -> Self {
        let mut borrowing = Self::default();
        let Some(entry) = table.services.get(service.position()) else {
            return borrowing;
        };
        for index in &entry.targets {
            let target = &table.targets[index.position()];
            let home = target.cell.home_slots().0;
            borrowing.home += home;
            if takes_new_work(target, now) && target.cell.preference() != Preference::Avoided {
                borrowing.usable += home;
            }
            borrowing.borrowed += target.cell.in_flight().saturating_sub(home);
        }
        borrowing
    }

    /// A daemon that the service is not entered through has no home slots and
    /// serves callers with old addresses as it can.
    const fn is_allowed(self) -> bool {
        self.home == 0 || self.borrowed < self.home - self.usable
    }
}

/// Chooses an avoided target that an idempotent request may try.
///
/// Claims a slot of it. Each grant of the control thread lets one request
/// through; `None` is the usual answer.
pub fn pick_trial(
    table: &RoutingTable,
    service: ServiceIndex,
    tried: &[TargetIndex],
    now: TimeMs,
) -> Option<TargetIndex> {
    let entry = table.services.get(service.position())?;
    for index in &entry.targets {
        let target = &table.targets[index.position()];
        if tried.contains(index) || !takes_new_work(target, now) {
            continue;
        }
        if target.cell.take_trial() && target.cell.try_claim(target.slots) {
            return Some(*index);
        }
    }
    None
}

/// Returns whether the target is a candidate among those of `preference`.
fn joins(target: &TargetEntry, preference: Preference, rng: &mut impl Rng) -> bool {
    let own = target.cell.preference();
    if own == Preference::Ramping && preference == Preference::Preferred {
        return rng.random_bool(target.cell.ramp_share().fraction());
    }
    own == preference
}

fn takes_new_work(target: &TargetEntry, now: TimeMs) -> bool {
    !target.withdrawn && !target.cell.is_leaving() && !target.cell.is_excluded(now)
}

/// Claims a slot of the least loaded candidate, or of the next one if another
/// thread took its last slot.
fn claim_least_loaded(
    table: &RoutingTable,
    candidates: &mut Vec<TargetIndex>,
    now: TimeMs,
    rng: &mut impl Rng,
) -> Option<TargetIndex> {
    while !candidates.is_empty() {
        // The random start decides between targets that are equal throughout.
        let start = rng.random_range(0..candidates.len());
        let mut chosen = (f64::INFINITY, TimeMs(u64::MAX), start);
        for offset in 0..candidates.len() {
            let position = (start + offset) % candidates.len();
            let target = &table.targets[candidates[position].position()];
            let load = target.cell.estimated_load(now) / f64::from(target.slots.0);
            let rank = (load, target.cell.chosen_at(), position);
            if (rank.0, rank.1) < (chosen.0, chosen.1) {
                chosen = rank;
            }
        }
        let index = candidates.swap_remove(chosen.2);
        let target = &table.targets[index.position()];
        if target.cell.try_claim(target.slots) {
            target.cell.note_choice(now);
            return Some(index);
        }
    }
    None
}

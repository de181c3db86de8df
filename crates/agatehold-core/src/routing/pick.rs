//! Chooses the target for a request from the routing table.

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
/// The targets that take new work are considered by [`Preference`], best first,
/// until one has a free slot. Within a preference, targets with a free home slot
/// of this daemon come first, then, if [`Borrowing`] allows it, those with any
/// free slot. Among these the target with the lowest estimated load per slot is
/// chosen, and among equal ones the one that has not been chosen for longest.
/// Choosing the less loaded of two random targets, or round robin, meets a full
/// target more often (`docs/MEASUREMENTS.md`). A ramping target is considered
/// along with the preferred ones with a probability equal to its ramp share.
/// Targets in `tried` are skipped.
///
/// Returns `None` if no target has a free slot.
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
        let mut at_home: Vec<TargetIndex> = Vec::with_capacity(entry.targets.len());
        let mut elsewhere: Vec<TargetIndex> = Vec::with_capacity(entry.targets.len());
        for index in &entry.targets {
            let target = &table.targets[index.position()];
            if tried.contains(index) || !takes_new_work(target, now) {
                continue;
            }
            if !is_candidate(target, preference, rng) {
                continue;
            }
            let in_flight = target.cell.in_flight();
            if in_flight < target.cell.home_slots().0 {
                at_home.push(*index);
            } else if may_borrow && in_flight < target.slots.0 {
                elsewhere.push(*index);
            }
        }
        for mut candidates in [at_home, elsewhere] {
            if let Some(index) = claim_least_loaded(table, &mut candidates, now, rng) {
                return Some(index);
            }
        }
    }
    None
}

/// The counts that limit how many slots a daemon uses beyond its home slots.
///
/// A daemon replaces home slots at targets that are avoided or take no new work
/// by as many slots at other targets, so that its requests in flight stay within
/// its share. Without this limit it would use the home slots of other daemons,
/// and targets would shed their requests (`docs/MEASUREMENTS-LOAD.md`).
#[derive(Clone, Copy, Debug, Default)]
struct Borrowing {
    /// The number of home slots.
    home: u32,
    /// The number of home slots at targets that take new work and are not
    /// avoided.
    usable: u32,
    /// The number of requests in flight beyond the home slots of their targets.
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
            borrowing.home = borrowing.home.saturating_add(home);
            if takes_new_work(target, now) && target.cell.preference() != Preference::Avoided {
                borrowing.usable = borrowing.usable.saturating_add(home);
            }
            let borrowed = target.cell.in_flight().saturating_sub(home);
            borrowing.borrowed = borrowing.borrowed.saturating_add(borrowed);
        }
        borrowing
    }

    /// Returns whether a slot beyond the home slots may be used.
    ///
    /// A daemon that is not an entry daemon of the service has no home slots. It
    /// may use any free slot to serve callers with outdated addresses.
    const fn is_allowed(self) -> bool {
        self.home == 0 || self.borrowed < self.home - self.usable
    }
}

/// Chooses an avoided target for a trial by an idempotent request and claims a
/// slot of it.
///
/// Each `TargetCell::set_trial` by the control thread permits one trial. Usually
/// none is permitted, and the function returns `None`. A target at which this daemon
/// has a request in flight gets no trial: with one each tick, a target that takes
/// several ticks for an answer would get several before the first shows anything.
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
        if target.cell.in_flight() > 0 {
            continue;
        }
        // The slot is claimed first: a permission that is taken for a target without
        // a free slot is lost.
        if !target.cell.has_trial() || !target.cell.try_claim(target.slots) {
            continue;
        }
        if target.cell.take_trial() {
            return Some(*index);
        }
        // Another thread took the permission after it was seen.
        target.cell.release();
    }
    None
}

/// Returns whether the target is considered along with those with `preference`. A
/// ramping target may be considered along with the preferred ones; this is drawn
/// at random.
fn is_candidate(target: &TargetEntry, preference: Preference, rng: &mut impl Rng) -> bool {
    let own = target.cell.preference();
    if own == Preference::Ramping && preference == Preference::Preferred {
        return rng.random_bool(target.cell.ramp_share().fraction());
    }
    own == preference
}

/// Returns whether the target is not leaving and not excluded by an ejection.
fn takes_new_work(target: &TargetEntry, now: TimeMs) -> bool {
    !target.withdrawn && !target.cell.is_leaving() && !target.cell.is_excluded(now)
}

/// Claims a slot of the least loaded candidate, or of the next one if another
/// thread has taken its last slot.
fn claim_least_loaded(
    table: &RoutingTable,
    candidates: &mut Vec<TargetIndex>,
    now: TimeMs,
    rng: &mut impl Rng,
) -> Option<TargetIndex> {
    while !candidates.is_empty() {
        // The random start position decides between targets that are equal
        // otherwise.
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
            target.cell.record_choice(now);
            return Some(index);
        }
    }
    None
}

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
/// Of the targets that take new work, two are drawn at random from the best
/// preference that has a free slot and the less loaded one is taken (power of
/// two choices, Mitzenmacher 2001). A ramping target joins the preferred ones
/// with the probability of its share. Targets in `tried` are passed over.
/// Returns `None` when no target has a free slot.
pub fn pick_target(
    table: &RoutingTable,
    service: ServiceIndex,
    tried: &[TargetIndex],
    now: TimeMs,
    rng: &mut impl Rng,
) -> Option<TargetIndex> {
    let entry = table.services.get(service.position())?;
    for preference in [
        Preference::Preferred,
        Preference::Ramping,
        Preference::Avoided,
    ] {
        let mut candidates: Vec<TargetIndex> = Vec::with_capacity(entry.targets.len());
        for index in &entry.targets {
            let target = &table.targets[index.position()];
            if tried.contains(index) || !takes_new_work(target, now) {
                continue;
            }
            if !joins(target, preference, rng) {
                continue;
            }
            if target.cell.in_flight() >= target.slots.0 {
                continue;
            }
            candidates.push(*index);
        }
        if let Some(index) = claim_less_loaded(table, &mut candidates, now, rng) {
            return Some(index);
        }
    }
    None
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

/// Claims a slot of the less loaded of two random candidates, until one of
/// them still has a free slot or none is left.
fn claim_less_loaded(
    table: &RoutingTable,
    candidates: &mut Vec<TargetIndex>,
    now: TimeMs,
    rng: &mut impl Rng,
) -> Option<TargetIndex> {
    while !candidates.is_empty() {
        let first = rng.random_range(0..candidates.len());
        let second = rng.random_range(0..candidates.len());
        let load = |position: usize| {
            let target = &table.targets[candidates[position].position()];
            target.cell.estimated_load(now) / f64::from(target.slots.0)
        };
        let chosen = if load(first) <= load(second) {
            first
        } else {
            second
        };
        let index = candidates.swap_remove(chosen);
        let target = &table.targets[index.position()];
        if target.cell.try_claim(target.slots) {
            return Some(index);
        }
    }
    None
}

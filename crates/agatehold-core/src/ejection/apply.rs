//! Applies the held records to the cells that traffic threads read.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::config::ConfigTables;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::routing::TargetCell;
use crate::table::Table;
use crate::units::DurationMs;
use crate::units::TargetCount;
use crate::units::TimeMs;

use super::HeldRecord;
use super::PermitState;
use super::PermitTables;
use super::next::spare_targets;

/// How long an exclusion lasts after the start of the confirming read.
const EXCLUSION_MS: DurationMs = DurationMs(15_000);

/// Returns the targets that a daemon excludes under `held`.
///
/// Only as many entries count as `live` exceeds `floor`, the oldest first, so
/// that the newest ejections are taken back when targets leave or crash. Every
/// daemon has to take back the same targets: a choice by the daemon's own
/// evidence lets two daemons keep different targets excluded, and together
/// they exclude more than the floor allows. The order of addition also agrees
/// between daemons that hold different versions of the record.
pub fn excluded_targets(
    held: &HeldRecord,
    live: &BTreeSet<TargetName>,
    floor: TargetCount,
) -> Vec<TargetName> {
    let mut entries: Vec<_> = held.record.entries.rows().collect();
    entries.sort_by_key(|(target, entry)| (entry.added, (*target).clone()));
    entries
        .into_iter()
        .take(spare_targets(live.len(), floor))
        .filter(|(_, entry)| entry.state == PermitState::Ejected)
        .map(|(target, _)| target.clone())
        .collect()
}

/// Writes the exclusions of all services to the cells.
///
/// `live_of` returns the targets of a service that the daemon counts as
/// capacity, ejected ones included.
pub fn write_exclusions(
    permits: &PermitTables,
    config: &ConfigTables,
    cells: &Table<TargetName, Arc<TargetCell>>,
    now: TimeMs,
    live_of: impl Fn(&ServiceName) -> BTreeSet<TargetName>,
) {
    let mut excluded: Table<TargetName, TimeMs> = Table::new();
    for (name, service) in config.services.rows() {
        let Some(held) = permits.records.get(name) else {
            continue;
        };
        let until = held.confirmed_at + EXCLUSION_MS;
        if held.record.entries.is_empty() || until <= now {
            continue;
        }
        for target in excluded_targets(held, &live_of(name), service.floor) {
            excluded.insert(target, until);
        }
    }
    for (name, cell) in cells.rows() {
        cell.set_excluded_until(excluded.get(name).copied());
    }
}

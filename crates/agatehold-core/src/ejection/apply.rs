//! Applies the held records to the cells that traffic threads read.

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
use super::LiveView;
use super::PermitState;
use super::PermitTables;
use super::next::spare_targets;

/// How long an exclusion lasts after the start of the confirming read, and
/// after the read of the host list that it rests on.
const EXCLUSION_MS: DurationMs = DurationMs(15_000);

/// Returns the targets that a daemon excludes under `held`.
///
/// Only as many entries count as `view` has targets above `floor`, the oldest
/// first, so that the newest ejections are taken back when targets leave or
/// crash. Every daemon has to take back the same targets: a choice by its own
/// evidence lets two daemons keep different targets excluded, and together
/// they exclude more than the floor allows. The order of addition also agrees
/// between daemons that hold different versions of the record. An entry counts
/// whether or not its target is in `view`, since daemons disagree about that.
pub fn excluded_targets(held: &HeldRecord, view: &LiveView, floor: TargetCount) -> Vec<TargetName> {
    let mut entries: Vec<_> = held.record.entries.rows().collect();
    entries.sort_by_key(|(target, entry)| (entry.added, (*target).clone()));
    entries
        .into_iter()
        .take(spare_targets(view, floor))
        .filter(|(_, entry)| entry.state == PermitState::Ejected)
        .map(|(target, _)| target.clone())
        .collect()
}

/// Writes the exclusions of all services to the cells.
///
/// `view_of` returns the targets of a service that the daemon counts as
/// capacity; without a view nothing is excluded.
pub fn write_exclusions(
    permits: &PermitTables,
    config: &ConfigTables,
    cells: &Table<TargetName, Arc<TargetCell>>,
    now: TimeMs,
    view_of: impl Fn(&ServiceName) -> Option<LiveView>,
) {
    let mut excluded: Table<TargetName, TimeMs> = Table::new();
    for (name, held) in permits.records.rows() {
        let Some(service) = config.services.get(name) else {
            continue;
        };
        if held.record.entries.is_empty() {
            continue;
        }
        let Some(view) = view_of(name) else {
            continue;
        };
        let until = held.confirmed_at.min(view.as_of) + EXCLUSION_MS;
        if until <= now {
            continue;
        }
        for target in excluded_targets(held, &view, service.floor) {
            excluded.insert(target, until);
        }
    }
    for (name, cell) in cells.rows() {
        cell.set_excluded_until(excluded.get(name).copied());
    }
}

//! Writes the exclusions that follow from permit records to the target cells,
//! where the traffic threads read them.

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
use super::next::max_exclusions;

/// How long an exclusion lasts after the read that confirmed the permit record
/// began, or after the read of the host list that it is based on began, whichever
/// was earlier.
const EXCLUSION_MS: DurationMs = DurationMs(15_000);

/// Returns the targets that a daemon excludes according to `held`.
///
/// Only the oldest entries apply, as many as `view` has targets more than `floor`
/// demands, so the newest ejections are revoked first when targets leave or
/// crash. Every daemon must revoke the same ones: if each chose according to its
/// own evidence, two daemons could keep different targets excluded and together
/// exclude more than the floor allows. The order in which entries were added is
/// the same even for daemons that hold different versions of the record. An entry
/// counts towards the limit whether or not its target is in `view`, since daemons
/// may disagree about that.
pub fn excluded_targets(held: &HeldRecord, view: &LiveView, floor: TargetCount) -> Vec<TargetName> {
    let mut entries: Vec<_> = held.record.entries.rows().collect();
    entries.sort_by_key(|(target, entry)| (entry.added, (*target).clone()));
    entries
        .into_iter()
        .take(max_exclusions(view, floor))
        .filter(|(_, entry)| entry.state == PermitState::Ejected)
        .map(|(target, _)| target.clone())
        .collect()
}

/// Writes the exclusions of all services to the target cells.
///
/// `view_of` returns the targets of a service that count as capacity; for a
/// service without a view nothing is excluded.
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

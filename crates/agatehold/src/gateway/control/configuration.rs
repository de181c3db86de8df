//! Which of the configurations that the store and other daemons offer is in force.

use std::sync::Arc;

use agatehold_core::catalog::is_newer;
use agatehold_core::dissemination::KeyChange;
use agatehold_platform::EntryFault;
use agatehold_platform::LenientConfiguration;
use agatehold_platform::decode_configuration_leniently;

use crate::gateway::store_tasks::KeyGroup;
use crate::telemetry::FieldText;

use super::tables::ControlTables;

/// The number of invalid entries of a configuration that are logged one by one.
const LOGGED_FAULTS_MAX: usize = 16;

/// Takes a configuration over if it is newer than the one in force. Returns whether it
/// was.
pub(super) fn apply_configuration(tables: &mut ControlTables, item: &KeyChange) -> bool {
    let Some(value) = &item.value else {
        log::warn!("event=configuration_removed revision={}", item.revision);
        return false;
    };
    let LenientConfiguration { catalog, faults } = match decode_configuration_leniently(value) {
        Ok(accepted) => accepted,
        Err(error) => {
            metrics::counter!("agatehold_entries_skipped_total", "subject" => "configuration")
                .increment(1);
            log::warn!(
                "event=configuration_skipped revision={} error={}",
                item.revision,
                FieldText(&error.without_value())
            );
            return false;
        }
    };
    if !is_newer(tables.catalog.as_ref(), &catalog) {
        log::debug!("event=configuration_old version={}", catalog.version);
        return false;
    }
    log::info!(
        "event=configuration version={} revision={} routes={} services={}",
        catalog.version,
        item.revision,
        catalog.routes.len(),
        catalog.services.len()
    );
    log_entry_faults(&faults);
    tables.catalog = Some(Arc::new(catalog));
    tables.catalog_value = Some(Arc::clone(value));
    true
}

fn log_entry_faults(faults: &[EntryFault]) {
    metrics::counter!("agatehold_entries_skipped_total", "subject" => "configuration_entries")
        .increment(faults.len() as u64);
    for fault in faults.iter().take(LOGGED_FAULTS_MAX) {
        log::warn!(
            "event=configuration_entry_invalid list={} position={} error={}",
            fault.list,
            fault.position,
            FieldText(&fault.error)
        );
    }
}

/// Replaces a configuration of a new era by the one in force if that is newer: the store
/// came back from a copy of the time before it. Daemons that fetch from this one thus get
/// the newer one until the operator has written it again.
pub(super) fn keep_newer_configuration(
    tables: &ControlTables,
    key_group: KeyGroup,
    changes: &mut [KeyChange],
) {
    let (Some(held), Some(held_value)) = (&tables.catalog, &tables.catalog_value) else {
        return;
    };
    let known_era = tables.contents().configuration.changed_at().era();
    for change in changes {
        if key_group != KeyGroup::Configuration || change.revision.era() <= known_era {
            continue;
        }
        let Some(value) = &change.value else {
            continue;
        };
        let Ok(accepted) = decode_configuration_leniently(value) else {
            continue;
        };
        let listed = accepted.catalog;
        if listed.version < held.version {
            log::info!(
                "event=configuration_kept version={} listed={} revision={}",
                held.version,
                listed.version,
                change.revision
            );
            change.value = Some(Arc::clone(held_value));
        }
    }
}

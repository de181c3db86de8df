//! Which of the configurations that the store and other daemons offer is in force.

use std::sync::Arc;

use agatehold_core::catalog::is_newer;
use agatehold_core::dissemination::KeyChange;
use agatehold_platform::decode_configuration;

use crate::gateway::store_tasks::KeyGroup;
use crate::telemetry::FieldText;

use super::tables::ControlTables;

/// Takes a configuration over if it is newer than the one in force. Returns whether it
/// was.
pub(super) fn apply_configuration(tables: &mut ControlTables, item: &KeyChange) -> bool {
    let Some(value) = &item.value else {
        log::warn!("event=configuration_removed revision={}", item.revision);
        return false;
    };
    let catalog = match decode_configuration(value) {
        Ok(catalog) => catalog,
        Err(error) => {
            metrics::counter!("agatehold_entries_skipped_total", "subject" => "configuration")
                .increment(1);
            log::warn!(
                "event=configuration_skipped revision={} error={}",
                item.revision,
                FieldText(&error.to_string())
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
    tables.catalog = Some(Arc::new(catalog));
    tables.catalog_value = Some(Arc::clone(value));
    true
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
        let Ok(listed) = decode_configuration(value) else {
            continue;
        };
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

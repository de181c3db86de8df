//! The `note check` command.

use std::path::Path;
use std::path::PathBuf;

use serde_json::json;

use agatehold_core::config::ConfigTables;
use agatehold_core::note::Note;
use agatehold_settings::process::OperatorSettings;

use crate::chain::read_chain;
use crate::chain::read_head;
use crate::client::PlatformClient;
use crate::fault::ToolFault;
use crate::output;

use super::apply_note;
use super::load_note;

/// Checks a note against the configuration that results from the notes in
/// `against`.
pub(super) fn offline(file: &Path, against: &[PathBuf], json: bool) -> Result<u8, ToolFault> {
    let mut config = ConfigTables::default();
    for path in against {
        let (parsed, _) = load_note(path)?;
        config = apply_note(&config, &parsed)?;
    }
    let (parsed, _) = load_note(file)?;
    let next = apply_note(&config, &parsed)?;
    print(&parsed.note, &next, json)
}

/// Checks a note against the platform's configuration.
pub(super) fn online(
    settings: &OperatorSettings,
    file: &Path,
    json: bool,
) -> Result<u8, ToolFault> {
    let (parsed, _) = load_note(file)?;
    let client = PlatformClient::new(&settings.platform);
    let (_, record) = read_head(&client).map_err(ToolFault::Platform)?;
    let number = record.head.number;
    let view = read_chain(&client, &record, number, number).map_err(ToolFault::Platform)?;
    let next = apply_note(&view.config, &parsed)?;
    print(&parsed.note, &next, json)
}

fn print(note: &Note, next: &ConfigTables, json: bool) -> Result<u8, ToolFault> {
    let changes = note.changes.len();
    let (services, targets) = (next.services.len(), next.targets.len());
    let (routes, tenants) = (next.routes.len(), next.tenants.len());
    if json {
        output::json(&json!({
            "valid": true, "changes": changes, "services": services,
            "targets": targets, "routes": routes, "tenants": tenants,
        }))?;
        return Ok(0);
    }
    output::line(&format!(
        "the note is valid: {changes} changes lead to {services} services, {targets} targets, \
         {routes} routes and {tenants} tenants"
    ))?;
    Ok(0)
}

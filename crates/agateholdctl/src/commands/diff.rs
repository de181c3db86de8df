//! The `note diff` command.

use std::path::Path;

use serde_json::json;

use agatehold_core::config::ConfigTables;
use agatehold_core::ids::NoteNumber;
use agatehold_core::note;
use agatehold_core::note::HeadRecord;
use agatehold_settings::note::write_note;

use crate::args::ConfigSource;
use crate::chain::read_chain;
use crate::chain::read_head;
use crate::chain::read_notes;
use crate::client::PlatformClient;
use crate::fault::ToolFault;
use crate::output;

use super::apply_note;
use super::load_note;
use super::load_settings;

/// Shows the changes that lead from one configuration to another.
pub(super) fn run(
    settings: &Path,
    from: &ConfigSource,
    to: &ConfigSource,
    json: bool,
) -> Result<u8, ToolFault> {
    let old = load_config(settings, from)?;
    let new = load_config(settings, to)?;
    let difference = note::difference(&old, &new);
    if json {
        let entities = difference
            .changes
            .iter()
            .map(|change| change.entity().to_string());
        let entities: Vec<String> = entities.collect();
        output::json(&json!({"entities": entities, "note": write_note(&difference, None)}))?;
        return Ok(0);
    }
    if difference.changes.is_empty() {
        output::line("no difference")?;
        return Ok(0);
    }
    output::line(write_note(&difference, None).trim_end())?;
    Ok(0)
}

fn load_config(settings: &Path, config_source: &ConfigSource) -> Result<ConfigTables, ToolFault> {
    match config_source {
        ConfigSource::File(path) => {
            let (parsed, _) = load_note(path)?;
            apply_note(&ConfigTables::default(), &parsed)
        }
        ConfigSource::Number(NoteNumber(0)) => Ok(ConfigTables::default()),
        ConfigSource::Number(number) => {
            let client = PlatformClient::new(&load_settings(settings)?.platform);
            let record = record_of(&client, *number)?;
            let view = read_chain(&client, &record, *number, *number);
            Ok(view.map_err(ToolFault::Platform)?.config)
        }
    }
}

/// Follows the chain from the head to note `number` and returns its head record.
fn record_of(client: &PlatformClient, number: NoteNumber) -> Result<HeadRecord, ToolFault> {
    let (_, record) = read_head(client).map_err(ToolFault::Platform)?;
    let head = record.head.number;
    if number > head {
        let detail = format!("note {number} does not exist; the newest note is {head}");
        return Err(ToolFault::Platform(detail));
    }
    let stop = NoteNumber(number.0 - 1);
    let notes = read_notes(client, &record, stop).map_err(ToolFault::Platform)?;
    Ok(notes.last().map_or(record, |oldest| oldest.header.record()))
}

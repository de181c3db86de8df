//! The commands of the tool.

mod check;
mod check_config;
mod diff;
mod explain;
mod fleet;
mod history;
mod release;
mod rollout;
mod status;

use std::path::Path;

use agatehold_core::config::ConfigTables;
use agatehold_core::note;
use agatehold_settings::note::ParsedNote;
use agatehold_settings::note::parse_note;
use agatehold_settings::process::OperatorSettings;
use agatehold_settings::process::parse_operator;

use crate::args::Command;
use crate::args::Invocation;
use crate::fault::ToolFault;
use crate::output;

/// Runs a command and returns the exit code.
pub(crate) fn run(invocation: &Invocation) -> Result<u8, ToolFault> {
    let json = invocation.json;
    match &invocation.command {
        Command::CheckSettings => {
            load_settings(&invocation.settings)?;
            output::line("the settings are valid")?;
            Ok(0)
        }
        Command::NoteCheck { file, against } if !against.is_empty() => {
            check::offline(file, against, json)
        }
        Command::Hosts | Command::Targets | Command::Ejections => {
            let settings = load_settings(&invocation.settings)?;
            fleet::show(&settings, invocation.at, &invocation.command, json)
        }
        Command::NoteCheck { file, .. } => {
            check::online(&load_settings(&invocation.settings)?, file, json)
        }
        Command::NoteRelease {
            file,
            force,
            wait_ms,
        } => {
            let settings = load_settings(&invocation.settings)?;
            release::run(&settings, file, *force, *wait_ms, json)
        }
        Command::NoteStatus(query) => {
            status::run(&load_settings(&invocation.settings)?, *query, json)
        }
        Command::NoteHistory(limit) => {
            history::run(&load_settings(&invocation.settings)?, *limit, json)
        }
        Command::NoteDiff(from, to) => diff::run(&invocation.settings, from, to, json),
        Command::CheckConfig { file, against } => check_config::run(file, against.as_deref(), json),
        Command::Explain { id, files } => explain::run(id, files, json),
        Command::Drain(daemon) => fleet::drain(&load_settings(&invocation.settings)?, daemon, json),
    }
}

fn load_settings(path: &Path) -> Result<OperatorSettings, ToolFault> {
    let text = read_file(path)?;
    parse_operator(&path.to_string_lossy(), &text).map_err(ToolFault::Invalid)
}

fn read_file(path: &Path) -> Result<String, ToolFault> {
    std::fs::read_to_string(path)
        .map_err(|error| ToolFault::File(path.display().to_string(), error))
}

/// Reads and parses a note file; returns the note and its text.
fn load_note(path: &Path) -> Result<(ParsedNote, String), ToolFault> {
    let text = read_file(path)?;
    let parsed = parse_note(&path.to_string_lossy(), &text).map_err(ToolFault::Invalid)?;
    Ok((parsed, text))
}

/// Applies a note to a configuration; errors name the line of the note file.
fn apply_note(config: &ConfigTables, parsed: &ParsedNote) -> Result<ConfigTables, ToolFault> {
    note::apply(config, &parsed.note).map_err(|errors| {
        let located = errors.iter().map(|error| parsed.lines.locate(error));
        ToolFault::Invalid(located.collect())
    })
}

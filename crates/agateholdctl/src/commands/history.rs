//! The `note history` command.

use serde_json::json;

use agatehold_core::ids::NoteNumber;
use agatehold_core::note::StoredNote;
use agatehold_settings::note::parse_note;
use agatehold_settings::process::OperatorSettings;

use crate::chain::read_head;
use crate::chain::read_notes;
use crate::client::PlatformClient;
use crate::fault::ToolFault;
use crate::output;

/// Shows the newest `limit` notes, newest first.
pub(super) fn run(settings: &OperatorSettings, limit: u64, json: bool) -> Result<u8, ToolFault> {
    let client = PlatformClient::new(&settings.platform);
    let (_, record) = read_head(&client).map_err(ToolFault::Platform)?;
    let stop = NoteNumber(record.head.number.0.saturating_sub(limit));
    let notes = read_notes(&client, &record, stop).map_err(ToolFault::Platform)?;
    if json {
        let values: Vec<serde_json::Value> = notes
            .iter()
            .map(|note| {
                let (comment, changes) = summary(note);
                json!({
                    "number": note.header.number.0, "id": note.header.id.to_string(),
                    "author": note.header.author, "comment": comment, "changes": changes,
                })
            })
            .collect();
        output::json(&json!({"notes": values}))?;
        return Ok(0);
    }
    let mut rows = Vec::new();
    for note in &notes {
        let (comment, changes) = summary(note);
        rows.push(vec![
            note.header.number.to_string(),
            note.header.id.to_string(),
            changes.to_string(),
            note.header.author.to_string(),
            comment,
        ]);
    }
    output::table(&["NUMBER", "ID", "CHANGES", "AUTHOR", "COMMENT"], &rows)?;
    Ok(0)
}

/// Returns the comment and the number of changes of a note.
fn summary(note: &StoredNote) -> (String, usize) {
    match parse_note("", &note.text) {
        Ok(parsed) => (parsed.note.comment.to_string(), parsed.note.changes.len()),
        Err(_) => ("(unreadable)".to_owned(), 0),
    }
}

//! The `note status` command.

use serde_json::json;

use agatehold_core::ids::NoteId;
use agatehold_core::ids::NoteNumber;
use agatehold_core::note::NoteHeader;
use agatehold_core::note::StoredNote;
use agatehold_settings::process::OperatorSettings;

use crate::args::NoteQuery;
use crate::chain::read_head;
use crate::chain::read_notes;
use crate::client::AdminClient;
use crate::client::PlatformClient;
use crate::fault::ToolFault;
use crate::output;

use super::rollout;

/// The number of newest notes that are searched for a note given by its id alone.
const MAX_SEARCHED_NOTES: u64 = 64;

/// Shows whether a note is released and how many daemons have it in force.
pub(super) fn run(
    settings: &OperatorSettings,
    query: NoteQuery,
    json: bool,
) -> Result<u8, ToolFault> {
    let client = PlatformClient::new(&settings.platform);
    let (_, record) = read_head(&client).map_err(ToolFault::StatusUnknown)?;
    let head = record.head.number;
    let stop = match query {
        NoteQuery::Numbered(number, _) | NoteQuery::Number(number) => {
            if number > head || number == NoteNumber(0) {
                return report_unused_number(head, number, json);
            }
            NoteNumber(number.0 - 1)
        }
        NoteQuery::Id(_) => NoteNumber(head.0.saturating_sub(MAX_SEARCHED_NOTES)),
    };
    let notes = read_notes(&client, &record, stop).map_err(ToolFault::StatusUnknown)?;
    let found = match query {
        NoteQuery::Numbered(_, id) => oldest_header(&notes).filter(|header| header.id == id),
        NoteQuery::Number(_) => oldest_header(&notes),
        NoteQuery::Id(id) => header_by_id(&notes, id),
    };
    let Some(header) = found else {
        return report_not_released(query, oldest_header(&notes), json);
    };
    let admin = AdminClient::new(settings.fleet.token.clone());
    let progress = rollout::poll_once(&admin, settings, header.head());
    if json {
        output::json(&json!({
            "outcome": "released", "number": header.number.0, "id": header.id.to_string(),
            "author": header.author, "rollout": rollout::to_json(&progress),
        }))?;
        return Ok(0);
    }
    let (number, id, author) = (header.number, header.id, &header.author);
    output::line(&format!("released as note {number} ({id}) by {author}"))?;
    output::line(&rollout::describe(&progress))?;
    Ok(0)
}

fn oldest_header(notes: &[StoredNote]) -> Option<&NoteHeader> {
    notes.last().map(|note| &note.header)
}

fn header_by_id(notes: &[StoredNote], id: NoteId) -> Option<&NoteHeader> {
    let mut headers = notes.iter().map(|note| &note.header);
    headers.find(|header| header.id == id)
}

/// Reports a note number that is not in use yet. A delayed write may still use
/// it, so the outcome is unknown.
fn report_unused_number(head: NoteNumber, number: NoteNumber, json: bool) -> Result<u8, ToolFault> {
    let detail = format!(
        "not released so far: the newest note is {head}, and a delayed write may still become \
         note {number}"
    );
    print_outcome("unknown", &detail, json)?;
    Ok(5)
}

fn report_not_released(
    query: NoteQuery,
    winner: Option<&NoteHeader>,
    json: bool,
) -> Result<u8, ToolFault> {
    let detail = match (query, winner) {
        (NoteQuery::Numbered(number, _), Some(winner)) => {
            let (id, author) = (winner.id, &winner.author);
            format!("not released: note {number} is {id} by {author}")
        }
        _ => format!("not among the newest {MAX_SEARCHED_NOTES} notes"),
    };
    print_outcome("not-released", &detail, json)?;
    Ok(1)
}

fn print_outcome(outcome: &str, detail: &str, json: bool) -> Result<(), ToolFault> {
    if json {
        return output::json(&json!({"outcome": outcome, "detail": detail}));
    }
    output::line(detail)
}

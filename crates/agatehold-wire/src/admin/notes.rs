//! The JSON of notes that are pushed to a daemon.

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use agatehold_core::ids::NoteNumber;
use agatehold_core::note::StoredNote;

use crate::json::HeadJson;
use crate::json::NoteJson;

quick_error! {
    /// Why bytes are not a note or a head.
    #[derive(Debug)]
    pub enum AdminCodecError {
        /// The bytes are not the expected JSON.
        Json(error: serde_json::Error) {
            from()
            source(error)
            display("malformed JSON: {}", error)
        }
        /// The text of a note is not the one that its header names.
        BodyMismatch(number: NoteNumber) {
            display("the text of note {} does not have the hash in its header", number)
        }
    }
}

/// The body of `POST /v1/notes`.
#[derive(Serialize, Deserialize)]
struct NotesJson {
    notes: Vec<NoteJson>,
}

/// What a daemon did with the notes offered to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NoteVerdict {
    /// The last note is in force now.
    Taken,
    /// The last note or a descendant was in force already.
    Held,
    /// The notes don't lead from the note in force to a newer one.
    Refused,
}

/// Answer of `POST /v1/notes`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NotesAnswer {
    /// What the daemon did.
    pub verdict: NoteVerdict,
    /// Why the daemon refused.
    pub reason: Option<Box<str>>,
    /// The note in force after the call, if there is one.
    pub head: Option<HeadJson>,
}

/// Encodes the body of `POST /v1/notes`.
pub fn encode_notes(notes: &[StoredNote]) -> Result<Vec<u8>, AdminCodecError> {
    let notes = notes.iter().map(NoteJson::from).collect();
    Ok(serde_json::to_vec(&NotesJson { notes })?)
}

/// Decodes the body of `POST /v1/notes`.
pub fn decode_notes(bytes: &[u8]) -> Result<Vec<StoredNote>, AdminCodecError> {
    let json: NotesJson = serde_json::from_slice(bytes)?;
    json.notes.into_iter().map(checked_note).collect()
}

fn checked_note(json: NoteJson) -> Result<StoredNote, AdminCodecError> {
    let number = NoteNumber(json.number);
    json.into_checked()
        .ok_or(AdminCodecError::BodyMismatch(number))
}

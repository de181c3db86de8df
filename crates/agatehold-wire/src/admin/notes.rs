//! JSON bodies of `POST /v1/notes`, which pushes release notes to a daemon.

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use agatehold_core::ids::NoteNumber;
use agatehold_core::note::StoredNote;

use crate::json::HeadJson;
use crate::json::NoteJson;

quick_error! {
    /// An error while encoding or decoding the body of `POST /v1/notes`.
    #[derive(Debug)]
    pub enum AdminCodecError {
        /// The body is not valid JSON or lacks expected fields.
        Json(error: serde_json::Error) {
            from()
            source(error)
            display("malformed JSON: {}", error)
        }
        /// The hash of a note's text differs from the hash in its header.
        BodyMismatch(number: NoteNumber) {
            display("the text of note {} does not match the hash in its header", number)
        }
    }
}

/// The request body of `POST /v1/notes`.
#[derive(Serialize, Deserialize)]
struct NotesJson {
    notes: Vec<NoteJson>,
}

/// What a daemon did with the notes that were pushed to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NoteVerdict {
    /// The last note was applied by this call and is in force.
    Taken,
    /// The last note, or a later note of the same chain, was already in force.
    Held,
    /// The last note is not in force after the call;
    /// [`NotesAnswer::reason`] says why.
    Refused,
}

/// The response body of `POST /v1/notes`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NotesAnswer {
    /// What the daemon did.
    pub verdict: NoteVerdict,
    /// Why notes were rejected, for example because they do not form a chain from
    /// the note in force to a newer one.
    pub reason: Option<Box<str>>,
    /// The note in force after the call, if there is one.
    pub head: Option<HeadJson>,
}

/// Encodes the request body of `POST /v1/notes`.
pub fn encode_notes(notes: &[StoredNote]) -> Result<Vec<u8>, AdminCodecError> {
    let notes = notes.iter().map(NoteJson::from).collect();
    Ok(serde_json::to_vec(&NotesJson { notes })?)
}

/// Decodes the request body of `POST /v1/notes` and checks the hash of each
/// note's text.
pub fn decode_notes(bytes: &[u8]) -> Result<Vec<StoredNote>, AdminCodecError> {
    let json: NotesJson = serde_json::from_slice(bytes)?;
    json.notes.into_iter().map(checked_note).collect()
}

fn checked_note(json: NoteJson) -> Result<StoredNote, AdminCodecError> {
    let number = NoteNumber(json.number);
    json.into_checked()
        .ok_or(AdminCodecError::BodyMismatch(number))
}

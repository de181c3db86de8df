//! The JSON of the head and of notes that are pushed to a daemon.

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use agatehold_core::ids::Digest;
use agatehold_core::ids::NoteId;
use agatehold_core::ids::NoteNumber;
use agatehold_core::note::Head;
use agatehold_core::note::HeadRecord;
use agatehold_core::note::NoteHeader;
use agatehold_core::note::StoredNote;
use agatehold_core::note::body_digest;

use super::text;

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

/// The head as JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadJson {
    /// The number of the newest note.
    pub number: u64,
    /// The hash of its header.
    #[serde(with = "text")]
    pub hash: Digest,
    /// Its id.
    #[serde(with = "text")]
    pub id: NoteId,
    /// The hash of the configuration after it.
    #[serde(with = "text")]
    pub config: Digest,
}

impl From<HeadRecord> for HeadJson {
    fn from(record: HeadRecord) -> Self {
        Self {
            number: record.head.number.0,
            hash: record.head.hash,
            id: record.id,
            config: record.config,
        }
    }
}

impl From<HeadJson> for HeadRecord {
    fn from(json: HeadJson) -> Self {
        Self {
            head: Head {
                number: NoteNumber(json.number),
                hash: json.hash,
            },
            id: json.id,
            config: json.config,
        }
    }
}

/// A note as JSON.
#[derive(Serialize, Deserialize)]
struct NoteJson {
    number: u64,
    #[serde(with = "text")]
    id: NoteId,
    #[serde(with = "text")]
    prev: Digest,
    #[serde(with = "text")]
    body: Digest,
    #[serde(with = "text")]
    config: Digest,
    author: Box<str>,
    text: Box<str>,
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
    let notes = notes.iter().map(note_json).collect();
    Ok(serde_json::to_vec(&NotesJson { notes })?)
}

/// Decodes the body of `POST /v1/notes`.
pub fn decode_notes(bytes: &[u8]) -> Result<Vec<StoredNote>, AdminCodecError> {
    let json: NotesJson = serde_json::from_slice(bytes)?;
    json.notes.into_iter().map(checked_note).collect()
}

fn note_json(note: &StoredNote) -> NoteJson {
    let header = &note.header;
    NoteJson {
        number: header.number.0,
        id: header.id,
        prev: header.prev,
        body: header.body,
        config: header.config,
        author: header.author.clone(),
        text: note.text.clone(),
    }
}

fn checked_note(json: NoteJson) -> Result<StoredNote, AdminCodecError> {
    let number = NoteNumber(json.number);
    if body_digest(&json.text) != json.body {
        return Err(AdminCodecError::BodyMismatch(number));
    }
    Ok(StoredNote {
        header: NoteHeader {
            number,
            id: json.id,
            prev: json.prev,
            body: json.body,
            config: json.config,
            author: json.author,
        },
        text: json.text,
    })
}

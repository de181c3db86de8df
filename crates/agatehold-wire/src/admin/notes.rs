//! The JSON of notes and of the head, and the platform keys that hold them.

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

/// The platform key of the head.
pub const HEAD_KEY: &str = "notes/head";

/// The prefix of the platform keys of notes.
const BODY_PREFIX: &str = "notes/body/";

/// The prefix of the platform keys of snapshots.
const SNAPSHOT_PREFIX: &str = "notes/snapshot/";

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

/// A stored note as JSON.
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

/// Encodes the value of the head's key.
pub fn encode_head(record: HeadRecord) -> Result<Vec<u8>, AdminCodecError> {
    Ok(serde_json::to_vec(&HeadJson::from(record))?)
}

/// Decodes the value of the head's key.
pub fn decode_head(bytes: &[u8]) -> Result<HeadRecord, AdminCodecError> {
    let json: HeadJson = serde_json::from_slice(bytes)?;
    Ok(json.into())
}

/// Encodes the value of a note's key.
pub fn encode_note(note: &StoredNote) -> Result<Vec<u8>, AdminCodecError> {
    Ok(serde_json::to_vec(&note_json(note))?)
}

/// Decodes the value of a note's key; its text has the hash in its header.
pub fn decode_note(bytes: &[u8]) -> Result<StoredNote, AdminCodecError> {
    checked_note(serde_json::from_slice(bytes)?)
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

/// Returns the platform key of a note.
pub fn body_key(number: NoteNumber, id: NoteId) -> String {
    format!("{BODY_PREFIX}{number}-{id}")
}

/// Returns the prefix of the platform keys of every note that was written to
/// become note `number`.
pub fn body_prefix(number: NoteNumber) -> String {
    format!("{BODY_PREFIX}{number}-")
}

/// Returns the number and id of a note from its platform key, or from the
/// key's last part.
pub fn split_body_key(key: &str) -> Option<(NoteNumber, NoteId)> {
    let name = key.strip_prefix(BODY_PREFIX).unwrap_or(key);
    let (number, id) = name.split_once('-')?;
    Some((number.parse().ok()?, id.parse().ok()?))
}

/// Returns the platform key of a chunk of a snapshot, counted from 0.
pub fn snapshot_key(number: NoteNumber, chunk: usize) -> String {
    format!("{SNAPSHOT_PREFIX}{number}/{chunk}")
}

/// Returns the prefix of the platform keys of a snapshot's chunks.
pub fn snapshot_prefix(number: NoteNumber) -> String {
    format!("{SNAPSHOT_PREFIX}{number}/")
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

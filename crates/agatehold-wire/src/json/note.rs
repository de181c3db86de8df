//! JSON encoding of release notes and of the head, which identifies the newest
//! note.

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

/// The JSON form of a [`HeadRecord`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadJson {
    /// The number of the newest note.
    pub number: u64,
    /// The hash of the note's header.
    #[serde(with = "text")]
    pub hash: Digest,
    /// The note's id.
    #[serde(with = "text")]
    pub id: NoteId,
    /// The hash of the whole configuration after the note.
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

/// The JSON form of a [`StoredNote`].
#[derive(Serialize, Deserialize)]
pub(crate) struct NoteJson {
    pub(crate) number: u64,
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

impl From<&StoredNote> for NoteJson {
    fn from(note: &StoredNote) -> Self {
        let header = &note.header;
        Self {
            number: header.number.0,
            id: header.id,
            prev: header.prev,
            body: header.body,
            config: header.config,
            author: header.author.clone(),
            text: note.text.clone(),
        }
    }
}

impl NoteJson {
    /// Returns the note, or `None` if its text does not match the hash in its
    /// header.
    pub(crate) fn into_checked(self) -> Option<StoredNote> {
        if body_digest(&self.text) != self.body {
            return None;
        }
        Some(StoredNote {
            header: NoteHeader {
                number: NoteNumber(self.number),
                id: self.id,
                prev: self.prev,
                body: self.body,
                config: self.config,
                author: self.author,
            },
            text: self.text,
        })
    }
}

//! Notes and the head as the platform keeps them.

use crate::ids::Digest;
use crate::ids::NoteId;
use crate::ids::NoteNumber;

use super::Head;
use super::NoteHeader;

/// The number of notes from one snapshot to the next (section 4 of the design
/// page).
const SNAPSHOT_INTERVAL: u64 = 32;

/// The newest note and what a reader needs to find and check it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct HeadRecord {
    /// The number and hash of the note.
    pub head: Head,
    /// The id of the note, which names its body.
    pub id: NoteId,
    /// The hash of the whole configuration after the note.
    pub config: Digest,
}

/// A note as it is stored and passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredNote {
    /// The part that the chain binds.
    pub header: NoteHeader,
    /// The note as the operator wrote it; its hash is `header.body`.
    pub text: Box<str>,
}

impl NoteHeader {
    /// Returns the record of a chain that ends with this note.
    pub fn record(&self) -> HeadRecord {
        HeadRecord {
            head: self.head(),
            id: self.id,
            config: self.config,
        }
    }
}

/// Returns the hash of a note's text.
pub fn body_digest(text: &str) -> Digest {
    Digest::of_parts(&[text.as_bytes()])
}

/// Returns the id of the note with `text` by `author`.
///
/// The same text, author and base give the same id on every run, so that a
/// repeated release finds the note of the first. Where the text names no base,
/// neither does the id: the head may have moved between two runs.
pub fn note_id(text: &str, author: &str, base: Option<NoteNumber>) -> NoteId {
    let base = base.map(|number| number.0.to_be_bytes());
    let base = base.as_ref().map_or(&[][..], |bytes| &bytes[..]);
    let digest = Digest::of_parts(&[text.as_bytes(), author.as_bytes(), base]);
    let mut id = NoteId::default();
    let length = id.0.len();
    id.0.copy_from_slice(&digest.0[..length]);
    id
}

/// Returns the number of the newest snapshot due at `number`, 0 for none.
pub const fn snapshot_due(number: NoteNumber) -> NoteNumber {
    NoteNumber(number.0 - number.0 % SNAPSHOT_INTERVAL)
}

/// Returns the number of the snapshot before the one at `number`.
pub const fn snapshot_before(number: NoteNumber) -> NoteNumber {
    snapshot_due(NoteNumber(number.0.saturating_sub(1)))
}

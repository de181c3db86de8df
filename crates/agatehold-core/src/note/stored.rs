//! Release notes and the chain's head as the platform stores them.

use crate::ids::Digest;
use crate::ids::NoteId;
use crate::ids::NoteNumber;

use super::Head;
use super::NoteHeader;

/// The number of notes from one snapshot to the next (section 4 of the design
/// document).
const SNAPSHOT_INTERVAL: u64 = 32;

/// The newest note, with the data that a reader needs to locate and verify it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct HeadRecord {
    /// The number and hash of the note.
    pub head: Head,
    /// The note's id, which is part of the key of its body.
    pub id: NoteId,
    /// The hash of the whole configuration after the note.
    pub config: Digest,
}

/// A note as it is stored on the platform and sent between daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredNote {
    /// The part that the chain's hashes cover.
    pub header: NoteHeader,
    /// The note as the operator wrote it; its hash is `header.body`.
    pub text: Box<str>,
}

impl NoteHeader {
    /// Returns the head record of a chain that ends with this note.
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
/// The id is derived from the text, the author and the base, so that a repeated
/// release finds the note that the first run released. `base` is the one that
/// the text states; the id does not depend on a base that is taken from the
/// head, which may change between two runs.
pub fn note_id(text: &str, author: &str, base: Option<NoteNumber>) -> NoteId {
    let base = base.map(|number| number.0.to_be_bytes());
    let base = base.as_ref().map_or(&[][..], |bytes| &bytes[..]);
    let digest = Digest::of_parts(&[text.as_bytes(), author.as_bytes(), base]);
    let mut id = NoteId::default();
    let length = id.0.len();
    id.0.copy_from_slice(&digest.0[..length]);
    id
}

/// Returns the number of the newest snapshot at or below `number`, 0 if none is
/// due yet.
pub const fn latest_snapshot_number(number: NoteNumber) -> NoteNumber {
    NoteNumber(number.0 - number.0 % SNAPSHOT_INTERVAL)
}

/// Returns the number of the newest snapshot below `number`, 0 if there is none.
pub const fn previous_snapshot_number(number: NoteNumber) -> NoteNumber {
    latest_snapshot_number(NoteNumber(number.0.saturating_sub(1)))
}

//! The hash chain that links each release note to the one before it.

use std::fmt;

use quick_error::quick_error;

use crate::ids::Digest;
use crate::ids::NoteId;
use crate::ids::NoteNumber;

/// The number and hash of the newest note of a chain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Head {
    /// The number of the note; 0 before the first note.
    pub number: NoteNumber,
    /// The hash of the note's header; zero before the first note.
    pub hash: Digest,
}

impl fmt::Display for Head {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.number, self.hash)
    }
}

/// The part of a note that the chain's hashes cover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoteHeader {
    /// One more than the number of the previous note.
    pub number: NoteNumber,
    /// The identifier that the operator's tool derives before the release, see
    /// [`super::note_id`].
    pub id: NoteId,
    /// The hash of the previous note's header.
    pub prev: Digest,
    /// The hash of the note's text.
    pub body: Digest,
    /// The hash of the whole configuration after the note.
    pub config: Digest,
    /// Who released the note.
    pub author: Box<str>,
}

impl NoteHeader {
    /// Returns the hash of this header, which the next note's `prev` refers to.
    pub fn hash(&self) -> Digest {
        Digest::of_parts(&[
            &self.number.0.to_be_bytes(),
            &self.id.0,
            &self.prev.0,
            &self.body.0,
            &self.config.0,
            self.author.as_bytes(),
        ])
    }

    /// Returns the head of a chain that ends with this note.
    pub fn head(&self) -> Head {
        Head {
            number: self.number,
            hash: self.hash(),
        }
    }
}

quick_error! {
    /// Why a chain of notes is rejected.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ChainError {
        /// The chain ends at or below the note in force.
        NotNewer(current: NoteNumber, offered: NoteNumber) {
            display("note {} is not newer than note {} in force", offered, current)
        }
        /// The sequence of note numbers has a gap.
        Gap(after: NoteNumber) {
            display("the note after note {} is missing", after)
        }
        /// A note's `prev` is not the hash of the note before it.
        Fork(number: NoteNumber) {
            display("note {} does not contain the hash of the note before it", number)
        }
    }
}

/// Verifies that `headers`, in order, extend the chain from `current` to a newer
/// note, and returns the new head.
///
/// Headers up to the number of `current` are skipped. Only a descendant of the
/// configuration in force may replace it. This rejects the older chain of a
/// peer that lags behind or of a platform that was restored to an older state.
pub fn verify_descendant(current: Head, headers: &[NoteHeader]) -> Result<Head, ChainError> {
    let mut head = current;
    for header in headers {
        if header.number <= current.number {
            continue;
        }
        if header.number != head.number.next() {
            return Err(ChainError::Gap(head.number));
        }
        if header.prev != head.hash {
            return Err(ChainError::Fork(header.number));
        }
        head = header.head();
    }
    if head.number <= current.number {
        let offered = headers.last().map_or(NoteNumber(0), |last| last.number);
        return Err(ChainError::NotNewer(current.number, offered));
    }
    Ok(head)
}

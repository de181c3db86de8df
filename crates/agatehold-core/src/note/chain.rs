//! The hash chain of release notes.

use std::fmt;

use quick_error::quick_error;

use crate::ids::Digest;
use crate::ids::NoteId;
use crate::ids::NoteNumber;

/// The newest note of a chain.
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

/// The part of a note that the chain binds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoteHeader {
    /// One more than the number of the previous note.
    pub number: NoteNumber,
    /// The identifier that the operator's tool chose before the release.
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
    /// Returns the hash that names this note in the chain.
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
    /// Why a chain of notes is not taken.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ChainFault {
        /// The chain ends at or below the note in force.
        NotNewer(held: NoteNumber, offered: NoteNumber) {
            display("note {} is not newer than note {} in force", offered, held)
        }
        /// A number is missing between two notes.
        Gap(after: NoteNumber) {
            display("the note after note {} is missing", after)
        }
        /// A note does not follow the one before it.
        Fork(number: NoteNumber) {
            display("note {} does not follow the note before it", number)
        }
    }
}

/// Checks that `headers`, in order, lead from `held` to a newer note.
///
/// Returns the new head. Only a descendant of the configuration in force
/// may replace it; a lagging peer or a restored platform has none to offer.
pub fn verify_descendant(held: Head, headers: &[NoteHeader]) -> Result<Head, ChainFault> {
    let mut head = held;
    for header in headers {
        if header.number <= held.number {
            continue;
        }
        if header.number != head.number.next() {
            return Err(ChainFault::Gap(head.number));
        }
        if header.prev != head.hash {
            return Err(ChainFault::Fork(header.number));
        }
        head = header.head();
    }
    if head.number <= held.number {
        let offered = headers.last().map_or(NoteNumber(0), |last| last.number);
        return Err(ChainFault::NotNewer(held.number, offered));
    }
    Ok(head)
}

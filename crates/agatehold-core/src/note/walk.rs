//! Follows the chain from the head back to older notes.
//!
//! The walk only says what to read; the caller reads it from the platform.

use crate::ids::Digest;
use crate::ids::NoteId;
use crate::ids::NoteNumber;

use super::HeadRecord;
use super::StoredNote;

/// The next step of a walk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WalkStep {
    /// Read the body with this note number and id.
    ReadBody(NoteNumber, NoteId),
    /// List the ids of the bodies that were written under this note number.
    ListBodies(NoteNumber),
    /// All notes have been read.
    Done,
    /// No body of this note number has the hash that the chain requires.
    Broken(NoteNumber),
}

/// The state of a walk along the chain, from the head to older notes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainWalk {
    /// The note to read next.
    number: NoteNumber,
    /// The hash of that note's header.
    hash: Digest,
    /// The ids of the bodies that may belong to the note; `None` until they are
    /// listed.
    candidates: Option<Vec<NoteId>>,
    /// The walk reads the notes above this number.
    stop: NoteNumber,
    /// The notes read so far, newest first.
    notes: Vec<StoredNote>,
}

impl ChainWalk {
    /// Starts a walk at `record` that reads the notes above the number `stop`.
    pub fn new(record: &HeadRecord, stop: NoteNumber) -> Self {
        Self {
            number: record.head.number,
            hash: record.head.hash,
            candidates: Some(vec![record.id]),
            stop,
            notes: Vec::new(),
        }
    }

    /// Moves the end of the walk down to `stop`, unless it is already lower.
    pub fn extend(&mut self, stop: NoteNumber) {
        self.stop = self.stop.min(stop);
    }

    /// Returns the next step.
    pub fn step(&self) -> WalkStep {
        if self.number <= self.stop {
            return WalkStep::Done;
        }
        match &self.candidates {
            None => WalkStep::ListBodies(self.number),
            Some(ids) => match ids.last() {
                Some(id) => WalkStep::ReadBody(self.number, *id),
                None => WalkStep::Broken(self.number),
            },
        }
    }

    /// Records the result of [`WalkStep::ListBodies`].
    pub fn on_bodies_listed(&mut self, ids: Vec<NoteId>) {
        self.candidates = Some(ids);
    }

    /// Records the result of [`WalkStep::ReadBody`], `None` if the body does not
    /// exist.
    ///
    /// Several releases may write bodies under the same number, and only one of
    /// them becomes part of the chain. The bodies of the others have a different
    /// hash and are skipped.
    pub fn on_body_read(&mut self, found: Option<StoredNote>) {
        if let Some(note) = found
            && note.header.hash() == self.hash
        {
            self.number = NoteNumber(self.number.0.saturating_sub(1));
            self.hash = note.header.prev;
            self.candidates = None;
            self.notes.push(note);
            return;
        }
        if let Some(ids) = &mut self.candidates {
            ids.pop();
        }
    }

    /// Returns the notes read so far, newest first.
    pub fn notes(&self) -> &[StoredNote] {
        &self.notes
    }
}

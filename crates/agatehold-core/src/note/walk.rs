//! Decides which notes to read to follow the chain back from the head.

use crate::ids::Digest;
use crate::ids::NoteId;
use crate::ids::NoteNumber;

use super::HeadRecord;
use super::StoredNote;

/// What the walk does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WalkStep {
    /// Read one body.
    ReadBody(NoteNumber, NoteId),
    /// List the ids of the bodies written to become this note.
    ListBodies(NoteNumber),
    /// The notes are complete.
    Done,
    /// No body has the hash that the chain asks for.
    Broken(NoteNumber),
}

/// A walk along the chain from the head to older notes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainWalk {
    /// The note to read next.
    number: NoteNumber,
    /// The hash of its header.
    hash: Digest,
    /// The bodies that may be the note, `None` before they are listed.
    candidates: Option<Vec<NoteId>>,
    /// The number before the oldest note to read.
    stop: NoteNumber,
    /// The notes read so far, newest first.
    notes: Vec<StoredNote>,
}

impl ChainWalk {
    /// Starts at `record` and reads the notes after `stop`.
    pub fn new(record: &HeadRecord, stop: NoteNumber) -> Self {
        Self {
            number: record.head.number,
            hash: record.head.hash,
            candidates: Some(vec![record.id]),
            stop,
            notes: Vec::new(),
        }
    }

    /// Moves the end of the walk to older notes.
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

    /// Takes the ids that were listed.
    pub fn listed(&mut self, ids: Vec<NoteId>) {
        self.candidates = Some(ids);
    }

    /// Takes the body that was read, `None` where it does not exist.
    ///
    /// Bodies of notes that lost the race for their number have other hashes
    /// and are passed over.
    pub fn body(&mut self, found: Option<StoredNote>) {
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

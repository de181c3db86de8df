//! The log of notes that a daemon holds, and the checks that a new note or
//! snapshot must pass before it is applied.

use std::collections::VecDeque;

use quick_error::quick_error;

use crate::config::ConfigTables;
use crate::config::config_digest;
use crate::ids::NoteNumber;
use crate::note::ChainError;
use crate::note::Head;
use crate::note::Note;
use crate::note::NoteHeader;
use crate::note::StoredNote;
use crate::note::apply;
use crate::note::body_digest;
use crate::note::verify_descendant;

/// The maximum number of headers that a daemon keeps: about one day of notes
/// at the design size of 4,100 notes a day.
pub const HEADERS_MAX: usize = 4_096;

/// The maximum number of bodies that a daemon keeps; the oldest are dropped
/// first.
pub const BODIES_MAX: usize = 128;

/// The maximum total size of the bodies that a daemon keeps.
pub const BODIES_MAX_BYTES: usize = 4 << 20;

/// The whole configuration after one note, as text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The header of the last note that the text includes.
    pub header: NoteHeader,
    /// The configuration, written as a single note that adds every entity.
    pub text: Box<str>,
}

quick_error! {
    /// Why a note or a snapshot was rejected.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
    pub enum NoteFault {
        /// The number is not higher than that of the current note.
        NotNewer {
            display("the note is not newer than the current note")
        }
        /// A note between the current note and this one is missing.
        Gap {
            display("a note between the current note and this one is missing")
        }
        /// The note does not descend from the current note.
        Fork {
            display("the note does not descend from the current note")
        }
        /// The hash of the text differs from the one in the header.
        BodyHash {
            display("the text of the note does not match the hash in its header")
        }
        /// The text can't be parsed.
        Unreadable {
            display("the text of the note can't be parsed")
        }
        /// The changes can't be applied to the configuration.
        Inapplicable {
            display("the changes of the note can't be applied to the configuration")
        }
        /// The hash of the resulting configuration differs from the one in the
        /// header.
        ConfigHash {
            display("the resulting configuration does not match the hash in the note's header")
        }
    }
}

impl NoteFault {
    /// Returns the name of the fault, for counters.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotNewer => "not-newer",
            Self::Gap => "gap",
            Self::Fork => "fork",
            Self::BodyHash => "body-hash",
            Self::Unreadable => "unreadable",
            Self::Inapplicable => "inapplicable",
            Self::ConfigHash => "config-hash",
        }
    }
}

impl From<ChainError> for NoteFault {
    fn from(fault: ChainError) -> Self {
        match fault {
            ChainError::NotNewer(_, _) => Self::NotNewer,
            ChainError::Gap(_) => Self::Gap,
            ChainError::Fork(_) => Self::Fork,
        }
    }
}

/// The current configuration and the newest notes that led to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NoteLog {
    /// The head of the current configuration.
    pub head: Head,
    /// The current configuration.
    pub config: ConfigTables,
    /// The newest headers in order, at most [`HEADERS_MAX`]. The last one
    /// belongs to `head`; empty until the first note is applied.
    headers: VecDeque<NoteHeader>,
    /// The newest bodies in order; the last one belongs to the last header.
    bodies: VecDeque<Box<str>>,
    body_bytes: usize,
    /// The newest snapshot that was rendered or received, for peers that are
    /// too far behind for the kept bodies.
    snapshot: Option<Snapshot>,
}

impl NoteLog {
    /// Returns the header of the note `number`, if it is kept.
    pub fn header(&self, number: NoteNumber) -> Option<&NoteHeader> {
        let first = self.headers.front()?.number;
        let offset = number.0.checked_sub(first.0)?;
        self.headers.get(usize::try_from(offset).ok()?)
    }

    /// Returns the body of the note `number`, if it is kept.
    pub fn body(&self, number: NoteNumber) -> Option<&str> {
        let kept = u64::try_from(self.bodies.len()).ok()?;
        let first = self.head.number.0 - kept + 1;
        let offset = number.0.checked_sub(first)?;
        let body = self.bodies.get(usize::try_from(offset).ok()?)?;
        Some(body)
    }

    /// Returns the newest snapshot, if one is kept.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Returns whether `head` is the current head or one of its ancestors.
    /// An ancestor older than the kept headers is not recognised.
    pub fn is_ancestor(&self, head: Head) -> bool {
        if head == self.head {
            return true;
        }
        let next = head.number.next();
        self.header(next)
            .is_some_and(|header| header.prev == head.hash)
    }

    /// Returns the number of kept headers, the number of kept bodies and the
    /// total size of those bodies in bytes.
    pub fn kept(&self) -> (usize, usize, usize) {
        (self.headers.len(), self.bodies.len(), self.body_bytes)
    }

    fn push(&mut self, header: NoteHeader, body: Option<&str>) {
        self.head = header.head();
        self.headers.push_back(header);
        if self.headers.len() > HEADERS_MAX {
            self.headers.pop_front();
        }
        let Some(body) = body else {
            self.bodies.clear();
            self.body_bytes = 0;
            return;
        };
        self.bodies.push_back(body.into());
        self.body_bytes += body.len();
        while self.bodies.len() > BODIES_MAX || self.body_bytes > BODIES_MAX_BYTES {
            let Some(dropped) = self.bodies.pop_front() else {
                break;
            };
            self.body_bytes -= dropped.len();
        }
    }
}

/// Applies `records` in order and stops at the first invalid one.
///
/// Returns the number of applied notes and the fault that ended the loop.
/// Records that are already part of the chain are skipped.
pub fn accept(
    log: &mut NoteLog,
    records: &[StoredNote],
    parse: impl Fn(&str) -> Option<Note>,
) -> (usize, Option<NoteFault>) {
    let mut accepted = 0;
    for record in records {
        if log.is_ancestor(record.header.head()) {
            continue;
        }
        if let Err(fault) = accept_one(log, record, &parse) {
            return (accepted, Some(fault));
        }
        accepted += 1;
    }
    (accepted, None)
}

fn accept_one(
    log: &mut NoteLog,
    record: &StoredNote,
    parse: impl Fn(&str) -> Option<Note>,
) -> Result<(), NoteFault> {
    verify_descendant(log.head, std::slice::from_ref(&record.header))?;
    if body_digest(&record.text) != record.header.body {
        return Err(NoteFault::BodyHash);
    }
    let note = parse(&record.text).ok_or(NoteFault::Unreadable)?;
    let next = apply(&log.config, &note).map_err(|_| NoteFault::Inapplicable)?;
    if config_digest(&next) != record.header.config {
        return Err(NoteFault::ConfigHash);
    }
    log.config = next;
    log.push(record.header.clone(), Some(&record.text));
    Ok(())
}

/// Applies a snapshot.
///
/// `headers` lead from the current note to the snapshot. A daemon without a
/// configuration has no current note, so that the chain is not checked;
/// [`super::StartupState`] decides which head it may start from.
pub fn accept_snapshot(
    log: &mut NoteLog,
    headers: &[NoteHeader],
    snapshot: &Snapshot,
    parse: impl Fn(&str) -> Option<Note>,
) -> Result<(), NoteFault> {
    if snapshot.header.number <= log.head.number {
        return Err(NoteFault::NotNewer);
    }
    let is_first = log.head == Head::default();
    if !is_first {
        let mut chain: Vec<NoteHeader> = Vec::new();
        for header in headers {
            if header.number < snapshot.header.number {
                chain.push(header.clone());
            }
        }
        chain.push(snapshot.header.clone());
        verify_descendant(log.head, &chain)?;
    }
    let note = parse(&snapshot.text).ok_or(NoteFault::Unreadable)?;
    let next = apply(&ConfigTables::default(), &note).map_err(|_| NoteFault::Inapplicable)?;
    if config_digest(&next) != snapshot.header.config {
        return Err(NoteFault::ConfigHash);
    }
    if is_first {
        log.headers.clear();
    }
    for header in headers {
        if header.number > log.head.number && header.number < snapshot.header.number && !is_first {
            log.push(header.clone(), None);
        }
    }
    log.push(snapshot.header.clone(), None);
    log.config = next;
    log.snapshot = Some(snapshot.clone());
    Ok(())
}

/// The maximum total size of the notes in one answer, unless a single note is
/// larger. A chunk of a snapshot takes at most half of it.
pub const ANSWER_MAX_BYTES: usize = 512 << 10;

/// A request for the notes that a daemon is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotesRequest {
    /// The newest note that the requester holds.
    pub after: NoteNumber,
    /// The note number of the snapshot that the requester is reading, and the
    /// index of the next chunk; `None` if it reads none.
    pub chunk: Option<(NoteNumber, u32)>,
}

/// One chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotChunk {
    /// The header of the last note that the snapshot includes.
    pub header: NoteHeader,
    /// The index of this chunk, from 0.
    pub index: u32,
    /// The number of chunks.
    pub count: u32,
    /// The text of this chunk.
    pub text: Box<str>,
}

/// The answer to a [`NotesRequest`]; its size is limited as described at
/// [`ANSWER_MAX_BYTES`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NotesAnswer {
    /// The notes after [`NotesRequest::after`], in order.
    pub records: Vec<StoredNote>,
    /// Headers without bodies that lead to the snapshot.
    pub headers: Vec<NoteHeader>,
    /// One chunk of a snapshot, if the requester is too far behind for the
    /// kept bodies.
    pub chunk: Option<SnapshotChunk>,
}

/// The size assumed for a header in an answer, with a margin for the author's
/// name.
const HEADER_BYTES: usize = 256;

/// The maximum number of headers sent with the last chunk of a snapshot.
const ANSWER_HEADERS_MAX: u64 = 1_024;

/// Answers a request for notes.
///
/// `render` writes the current configuration as the text of a snapshot. It is
/// called only if the kept bodies don't reach back to the requester's note and
/// no usable snapshot is kept. A kept snapshot is usable if the requester
/// already reads it, if it is current, or if the kept bodies continue it.
pub fn answer_request(
    log: &mut NoteLog,
    request: NotesRequest,
    render: impl FnOnce(&ConfigTables) -> Box<str>,
) -> NotesAnswer {
    let mut answer = NotesAnswer::default();
    if request.after >= log.head.number {
        return answer;
    }
    let has_next_body = log.body(request.after.next()).is_some();
    if !has_next_body {
        refresh_snapshot(log, request, render);
        return answer_chunk(log, request);
    }
    let mut bytes = 0;
    let mut number = request.after.next();
    while let (Some(header), Some(body)) = (log.header(number), log.body(number)) {
        bytes += body.len() + HEADER_BYTES;
        if bytes > ANSWER_MAX_BYTES && !answer.records.is_empty() {
            break;
        }
        answer.records.push(StoredNote {
            header: header.clone(),
            text: body.into(),
        });
        number = number.next();
    }
    answer
}

fn refresh_snapshot(
    log: &mut NoteLog,
    request: NotesRequest,
    render: impl FnOnce(&ConfigTables) -> Box<str>,
) {
    if let Some(held) = &log.snapshot {
        let is_being_read = request
            .chunk
            .is_some_and(|(number, _)| number == held.header.number);
        let current = held.header.number == log.head.number;
        if is_being_read || current || log.body(held.header.number.next()).is_some() {
            return;
        }
    }
    let Some(header) = log.header(log.head.number) else {
        return;
    };
    log.snapshot = Some(Snapshot {
        header: header.clone(),
        text: render(&log.config),
    });
}

fn answer_chunk(log: &NoteLog, request: NotesRequest) -> NotesAnswer {
    let mut answer = NotesAnswer::default();
    let Some(snapshot) = &log.snapshot else {
        return answer;
    };
    let index = match request.chunk {
        Some((number, index)) if number == snapshot.header.number => index,
        _ => 0,
    };
    let chunks = split_chunks(&snapshot.text);
    let Some(text) = usize::try_from(index).ok().and_then(|at| chunks.get(at)) else {
        return answer;
    };
    answer.chunk = Some(SnapshotChunk {
        header: snapshot.header.clone(),
        index,
        count: u32::try_from(chunks.len()).unwrap_or(u32::MAX),
        text: (*text).into(),
    });
    if request.after == NoteNumber(0) || usize::try_from(index + 1) != Ok(chunks.len()) {
        return answer;
    }
    // The headers are sent with the last chunk unless they are too many for
    // one answer; then only the platform can bring the requester up to date.
    let gap = snapshot.header.number.0 - request.after.0;
    if gap > ANSWER_HEADERS_MAX {
        return answer;
    }
    let mut number = request.after.next();
    while number < snapshot.header.number {
        let Some(header) = log.header(number) else {
            break;
        };
        answer.headers.push(header.clone());
        number = number.next();
    }
    answer
}

/// Splits a snapshot's text into chunks of at most half of
/// [`ANSWER_MAX_BYTES`], which leaves room for the headers sent with the last
/// chunk.
pub fn split_chunks(text: &str) -> Vec<&str> {
    let limit = ANSWER_MAX_BYTES / 2;
    let mut chunks = Vec::new();
    let mut rest = text;
    while rest.len() > limit {
        let mut end = limit;
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (chunk, after) = rest.split_at(end);
        chunks.push(chunk);
        rest = after;
    }
    chunks.push(rest);
    chunks
}

//! Decides the steps by which a note is released.
//!
//! `advance` takes the platform's last answer and returns the next call. The
//! caller makes the calls; a call whose answer is lost is reported as such.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use crate::config::ConfigTables;
use crate::config::config_digest;
use crate::ids::NoteId;
use crate::ids::NoteNumber;
use crate::ids::ParseIdError;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::ApplyError;
use super::EntityRef;
use super::Head;
use super::HeadRecord;
use super::Note;
use super::NoteHeader;
use super::StoredNote;
use super::apply;
use super::body_digest;
use super::note_id;
use super::touched_entities;

/// The number of notes before the head in which a repeated release looks for
/// the note of the first: two snapshot intervals, which a reader reads anyway
/// where the newest snapshot is incomplete.
const SEARCH_NOTES: u64 = 64;

/// The number of notes that a base may be behind the head; each of them is
/// read to compare the entities.
const BASE_LAG_MAX_NOTES: u64 = 1_024;

/// The delay before the first call that follows a lost answer.
const RETRY_FIRST_MS: DurationMs = DurationMs(100);

/// The longest delay before a call that follows a lost answer.
const RETRY_MAX_MS: DurationMs = DurationMs(2_000);

/// The version of the head's key; 0 while the key does not exist.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeadVersion(pub u64);

impl fmt::Display for HeadVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for HeadVersion {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseIdError::Number)
    }
}

/// A note of the chain and the entities that it touches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainNote {
    /// The note's header.
    pub header: NoteHeader,
    /// The entities that the note touches.
    pub entities: BTreeSet<EntityRef>,
}

/// A call that the release needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReleaseCall {
    /// Read the head and its version.
    ReadHead,
    /// Read the configuration at `record` and the notes before it.
    ReadChain {
        /// The head to read from.
        record: HeadRecord,
        /// Every note after this one is needed.
        needed: NoteNumber,
        /// The notes after this one are wanted, as far as they are kept.
        wanted: NoteNumber,
    },
    /// Create the note's body unless its key exists.
    CreateBody(StoredNote),
    /// Read the note's body.
    ReadBody(NoteNumber, NoteId),
    /// Replace the head if it still has `expected`.
    SwapHead {
        /// The version to replace.
        expected: HeadVersion,
        /// The new head.
        record: HeadRecord,
    },
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum ReleaseAnswer {
    /// The head, with the default record where the key does not exist.
    Head(HeadVersion, HeadRecord),
    /// The configuration, and the notes that were asked for, oldest first.
    Chain(ConfigTables, Vec<ChainNote>),
    /// The body is written.
    BodyCreated,
    /// The body's key exists already.
    BodyExists,
    /// The body, `None` where the key does not exist.
    Body(Option<StoredNote>),
    /// The head is replaced.
    HeadSwapped,
    /// The head has another version.
    HeadMoved,
    /// No answer arrived; a write may have taken effect, or may yet.
    Lost,
    /// The call did not reach the platform; a write took no effect.
    NotSent,
}

/// What the release does next.
#[derive(Clone, Debug, PartialEq)]
pub enum ReleaseStep {
    /// Make the call after a delay.
    Call(DurationMs, ReleaseCall),
    /// The release has ended.
    End(ReleaseEnd),
}

/// How a release ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ReleaseEnd {
    /// The note is part of the chain.
    Accepted {
        /// The note's header.
        header: NoteHeader,
        /// Whether an earlier run released the note.
        repeated: bool,
    },
    /// Another note touches the same entities; this note is not released.
    Conflict {
        /// The other note.
        winner: NoteHeader,
        /// The entities that both notes touch.
        overlap: Vec<EntityRef>,
    },
    /// An earlier run released the note, and a later one touches the same
    /// entities.
    Superseded {
        /// The number under which the note was released.
        number: NoteNumber,
        /// The later note.
        winner: NoteHeader,
        /// The entities that both notes touch.
        overlap: Vec<EntityRef>,
    },
    /// The note can't take effect on the configuration at the head.
    Invalid {
        /// The newest note of that configuration.
        head: NoteNumber,
        /// Every reason.
        errors: Vec<ApplyError>,
    },
    /// The base lies above the head or too far below it.
    BaseOutOfRange {
        /// The base in the note.
        base: NoteNumber,
        /// The newest note.
        head: NoteNumber,
    },
    /// The platform's chain lacks the note that daemons have in force.
    ///
    /// A platform that was restored to an older state is brought up to date by
    /// the daemons; a note on top of the older state would be a fork, which
    /// every daemon refuses for good.
    Diverged {
        /// The newest note that a daemon has in force.
        held: NoteNumber,
        /// The platform's newest note.
        head: NoteNumber,
    },
    /// The key of the body holds something else.
    BodyTaken(NoteNumber, NoteId),
    /// The platform did not answer in time; the note is not released.
    Unavailable,
    /// The time was over before the head was written; the note is not
    /// released.
    TimedOut,
    /// The note may be released or not, and a write may yet take effect.
    Unknown(NoteNumber, NoteId),
}

impl ReleaseEnd {
    /// Returns the exit code of the tool (section 2 of the design page).
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Accepted { .. } => 0,
            Self::Unavailable | Self::Diverged { .. } => 1,
            Self::Invalid { .. } | Self::BaseOutOfRange { .. } => 3,
            Self::Conflict { .. } | Self::Superseded { .. } | Self::BodyTaken(_, _) => 4,
            Self::Unknown(_, _) => 5,
            Self::TimedOut => 6,
        }
    }
}

/// A head write whose answer was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PendingSwap {
    /// The version that the write replaces; once it has passed, the write can
    /// no longer take effect.
    expected: HeadVersion,
    /// The head under that version. A restored platform may give the version
    /// to another head.
    replaced: HeadRecord,
    /// The note that the write makes the head.
    stored: StoredNote,
}

/// The release of one note.
#[derive(Clone, Debug, PartialEq)]
pub struct Release {
    note: Note,
    text: Box<str>,
    id: NoteId,
    /// The newest note that the author knew: from the note, or the head that
    /// this run read first.
    base: Option<NoteNumber>,
    /// The newest note that a daemon has in force.
    held: Head,
    deadline: TimeMs,
    /// The head as last read.
    version: HeadVersion,
    record: HeadRecord,
    /// The note as it is written for that head.
    stored: Option<StoredNote>,
    pending: Option<PendingSwap>,
    /// Whether this run has sent a head write.
    swap_sent: bool,
    delay: DurationMs,
    /// The call that was made last.
    last: ReleaseCall,
}

impl Release {
    /// Prepares the release of `note`, written as `text`; no call is made
    /// after `deadline`.
    ///
    /// `note.author` is the author that the header names, and `held` the
    /// newest note that a daemon reports.
    pub fn new(
        note: Note,
        text: &str,
        base: Option<NoteNumber>,
        held: Head,
        deadline: TimeMs,
    ) -> Self {
        let id = note_id(text, &note.author, base);
        Self {
            note,
            text: text.into(),
            id,
            base,
            held,
            deadline,
            version: HeadVersion(0),
            record: HeadRecord::default(),
            stored: None,
            pending: None,
            swap_sent: false,
            delay: RETRY_FIRST_MS,
            last: ReleaseCall::ReadHead,
        }
    }

    /// Returns the note's id.
    pub const fn id(&self) -> NoteId {
        self.id
    }

    /// Returns the author that the note's header names.
    pub fn author(&self) -> &str {
        &self.note.author
    }

    /// Returns the first step.
    pub fn start(&self) -> ReleaseStep {
        ReleaseStep::Call(DurationMs(0), self.last.clone())
    }
}

/// Returns the step that follows `answer`.
pub fn advance(release: &mut Release, answer: ReleaseAnswer, now: TimeMs) -> ReleaseStep {
    let step = match answer {
        ReleaseAnswer::Head(version, record) if record.head.number < release.held.number => {
            return on_restored(release, version, record, now);
        }
        ReleaseAnswer::Head(version, record) => on_head(release, version, record),
        ReleaseAnswer::Chain(config, notes) => on_chain(release, &config, &notes),
        ReleaseAnswer::BodyCreated => swap_head(release),
        ReleaseAnswer::BodyExists => call(ReleaseCall::ReadBody(
            release.record.head.number.next(),
            release.id,
        )),
        ReleaseAnswer::Body(found) => on_body(release, found),
        ReleaseAnswer::HeadSwapped => on_swapped(release),
        ReleaseAnswer::HeadMoved => call(ReleaseCall::ReadHead),
        ReleaseAnswer::Lost => return on_lost(release, now),
        ReleaseAnswer::NotSent => {
            return retry(release, release.last.clone(), now, ReleaseEnd::Unavailable);
        }
    };
    release.delay = RETRY_FIRST_MS;
    match step {
        ReleaseStep::Call(_, _) if now >= release.deadline => {
            give_up(release, ReleaseEnd::TimedOut)
        }
        ReleaseStep::Call(delay, call) => {
            release.last = call.clone();
            ReleaseStep::Call(delay, call)
        }
        ReleaseStep::End(end) => ReleaseStep::End(end),
    }
}

fn call(call: ReleaseCall) -> ReleaseStep {
    ReleaseStep::Call(DurationMs(0), call)
}

/// Waits for the daemons to bring a restored platform up to date.
fn on_restored(
    release: &mut Release,
    version: HeadVersion,
    record: HeadRecord,
    now: TimeMs,
) -> ReleaseStep {
    release.version = version;
    release.record = record;
    let end = ReleaseEnd::Diverged {
        held: release.held.number,
        head: record.head.number,
    };
    retry(release, ReleaseCall::ReadHead, now, end)
}

fn on_head(release: &mut Release, version: HeadVersion, record: HeadRecord) -> ReleaseStep {
    release.version = version;
    release.record = record;
    if let Some(pending) = &release.pending
        && pending.expected == version
        && pending.replaced == record
    {
        return call(ReleaseCall::SwapHead {
            expected: pending.expected,
            record: pending.stored.header.record(),
        });
    }
    let head = record.head.number;
    let base = *release.base.get_or_insert(head);
    if base > head || head.0 - base.0 > BASE_LAG_MAX_NOTES {
        // A head below the base of this run comes from a restored platform,
        // and the lost write may have been undone with it.
        if let Some(pending) = &release.pending {
            let number = pending.stored.header.number;
            return ReleaseStep::End(ReleaseEnd::Unknown(number, release.id));
        }
        return ReleaseStep::End(ReleaseEnd::BaseOutOfRange { base, head });
    }
    let needed = NoteNumber(base.0.min(release.held.number.0.saturating_sub(1)));
    call(ReleaseCall::ReadChain {
        record,
        needed,
        wanted: NoteNumber(needed.0.min(head.0.saturating_sub(SEARCH_NOTES))),
    })
}

fn on_chain(release: &mut Release, config: &ConfigTables, notes: &[ChainNote]) -> ReleaseStep {
    let ours = touched_entities(&release.note);
    if let Some(own) = notes.iter().find(|note| note.header.id == release.id) {
        return ReleaseStep::End(found(release, own, notes, &ours));
    }
    if release.held.number > NoteNumber(0) && !contains(notes, release.held) {
        let end = ReleaseEnd::Diverged {
            held: release.held.number,
            head: release.record.head.number,
        };
        return give_up(release, end);
    }
    // The head moved on without the note, so a lost write can't take effect.
    release.pending = None;
    let base = release.base.unwrap_or(release.record.head.number);
    let newer = notes.iter().filter(|note| note.header.number > base);
    if let Some((winner, overlap)) = first_overlap(newer, &ours) {
        return ReleaseStep::End(ReleaseEnd::Conflict { winner, overlap });
    }
    let next = match apply(config, &release.note) {
        Ok(next) => next,
        Err(errors) => {
            let head = release.record.head.number;
            return ReleaseStep::End(ReleaseEnd::Invalid { head, errors });
        }
    };
    let stored = StoredNote {
        header: NoteHeader {
            number: release.record.head.number.next(),
            id: release.id,
            prev: release.record.head.hash,
            body: body_digest(&release.text),
            config: config_digest(&next),
            author: release.note.author.clone(),
        },
        text: release.text.clone(),
    };
    release.stored = Some(stored.clone());
    call(ReleaseCall::CreateBody(stored))
}

fn contains(notes: &[ChainNote], held: Head) -> bool {
    notes.iter().any(|note| note.header.head() == held)
}

/// Returns how a release ends whose note is in the chain.
fn found(
    release: &Release,
    own: &ChainNote,
    notes: &[ChainNote],
    ours: &BTreeSet<EntityRef>,
) -> ReleaseEnd {
    let number = own.header.number;
    if !release.swap_sent {
        let later = notes.iter().filter(|note| note.header.number > number);
        if let Some((winner, overlap)) = first_overlap(later, ours) {
            return ReleaseEnd::Superseded {
                number,
                winner,
                overlap,
            };
        }
    }
    ReleaseEnd::Accepted {
        header: own.header.clone(),
        repeated: !release.swap_sent,
    }
}

fn first_overlap<'a>(
    notes: impl Iterator<Item = &'a ChainNote>,
    ours: &BTreeSet<EntityRef>,
) -> Option<(NoteHeader, Vec<EntityRef>)> {
    for note in notes {
        let shared: Vec<EntityRef> = note.entities.intersection(ours).cloned().collect();
        if !shared.is_empty() {
            return Some((note.header.clone(), shared));
        }
    }
    None
}

fn on_body(release: &mut Release, found: Option<StoredNote>) -> ReleaseStep {
    match (found, &release.stored) {
        (Some(found), Some(stored)) if found == *stored => swap_head(release),
        (Some(found), _) => {
            ReleaseStep::End(ReleaseEnd::BodyTaken(found.header.number, found.header.id))
        }
        (None, _) => call(ReleaseCall::ReadHead),
    }
}

fn swap_head(release: &mut Release) -> ReleaseStep {
    let Some(stored) = &release.stored else {
        return call(ReleaseCall::ReadHead);
    };
    release.swap_sent = true;
    call(ReleaseCall::SwapHead {
        expected: release.version,
        record: stored.header.record(),
    })
}

fn on_swapped(release: &Release) -> ReleaseStep {
    let Some(stored) = &release.stored else {
        return call(ReleaseCall::ReadHead);
    };
    ReleaseStep::End(ReleaseEnd::Accepted {
        header: stored.header.clone(),
        repeated: false,
    })
}

fn on_lost(release: &mut Release, now: TimeMs) -> ReleaseStep {
    let next = match &release.last {
        ReleaseCall::SwapHead { expected, .. } => {
            if let Some(stored) = &release.stored {
                release.pending = Some(PendingSwap {
                    expected: *expected,
                    replaced: release.record,
                    stored: stored.clone(),
                });
            }
            ReleaseCall::ReadHead
        }
        other => other.clone(),
    };
    retry(release, next, now, ReleaseEnd::Unavailable)
}

/// Makes `next` after a delay that doubles with each failure in a row, or ends
/// the release as `end` where the time is over.
fn retry(release: &mut Release, next: ReleaseCall, now: TimeMs, end: ReleaseEnd) -> ReleaseStep {
    if now + release.delay >= release.deadline {
        return give_up(release, end);
    }
    let delay = release.delay;
    release.delay = delay.times(2).min(RETRY_MAX_MS);
    release.last = next.clone();
    ReleaseStep::Call(delay, next)
}

/// Ends the release as `end`, or as unknown while a lost write may count.
fn give_up(release: &Release, end: ReleaseEnd) -> ReleaseStep {
    if let Some(pending) = &release.pending {
        let number = pending.stored.header.number;
        return ReleaseStep::End(ReleaseEnd::Unknown(number, release.id));
    }
    ReleaseStep::End(end)
}

//! The state machine that releases a note.
//!
//! `advance` takes the answer to the last call to the platform and returns the
//! next call. The caller makes the calls; if no answer arrives, it reports
//! [`ReleaseAnswer::Lost`].

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

/// The number of newest notes in which a repeated release searches for the note
/// that an earlier run released. This is two snapshot intervals, which have to be
/// read anyway if the newest snapshot is incomplete.
const REPEAT_SEARCH_NOTES: u64 = 64;

/// The maximum number of notes between the base and the head; each of them is
/// read to compare the entities that it changes.
const BASE_LAG_MAX_NOTES: u64 = 1_024;

/// The delay before the first retry.
const RETRY_DELAY_FIRST_MS: DurationMs = DurationMs(100);

/// The longest delay before a retry.
const RETRY_DELAY_MAX_MS: DurationMs = DurationMs(2_000);

/// The version of the head's key on the platform; 0 while the key does not exist.
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

/// A note of the chain and the entities that it changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainNote {
    /// The note's header.
    pub header: NoteHeader,
    /// The entities that the note changes.
    pub entities: BTreeSet<EntityRef>,
}

/// A call to the platform that the release needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReleaseCall {
    /// Read the head and its version.
    ReadHead,
    /// Read the configuration at `record` and the notes that lead to it.
    ReadChain {
        /// The head to start from.
        record: HeadRecord,
        /// All notes after this one are required.
        needed: NoteNumber,
        /// The notes after this one are read as far as the platform still has them.
        wanted: NoteNumber,
    },
    /// Create the note's body unless its key exists.
    CreateBody(StoredNote),
    /// Read the note's body.
    ReadBody(NoteNumber, NoteId),
    /// Replace the head if its version is still `expected` (compare-and-swap).
    SwapHead {
        /// The version that the head must have.
        expected: HeadVersion,
        /// The new head.
        record: HeadRecord,
    },
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum ReleaseAnswer {
    /// The head and its version; the default record if the key does not exist.
    Head(HeadVersion, HeadRecord),
    /// The configuration and the requested notes, oldest first.
    Chain(ConfigTables, Vec<ChainNote>),
    /// The body has been written.
    BodyCreated,
    /// The body's key already exists.
    BodyExists,
    /// The body; `None` if the key does not exist.
    Body(Option<StoredNote>),
    /// The head has been replaced.
    HeadSwapped,
    /// The head has a version other than the expected one; nothing was written.
    HeadMoved,
    /// No answer arrived; a write may have taken effect or may still do so.
    Lost,
    /// The call did not reach the platform; a write had no effect.
    NotSent,
}

/// The next step of a release.
#[derive(Clone, Debug, PartialEq)]
pub enum ReleaseStep {
    /// Make the call after the delay.
    Call(DurationMs, ReleaseCall),
    /// The release has ended.
    End(ReleaseOutcome),
}

/// The outcome of a release.
#[derive(Clone, Debug, PartialEq)]
pub enum ReleaseOutcome {
    /// The note is part of the chain.
    Accepted {
        /// The note's header.
        header: NoteHeader,
        /// Whether the note was released by an earlier run of the same command.
        repeated: bool,
    },
    /// A note that was released after the base changes the same entities; this
    /// note is not released.
    Conflict {
        /// The other note.
        winner: NoteHeader,
        /// The entities that both notes change.
        overlap: Vec<EntityRef>,
    },
    /// An earlier run released the note, and a later note changes the same
    /// entities.
    Superseded {
        /// The number under which the note was released.
        number: NoteNumber,
        /// The later note.
        winner: NoteHeader,
        /// The entities that both notes change.
        overlap: Vec<EntityRef>,
    },
    /// The note can't be applied to the configuration at the head.
    Invalid {
        /// The newest note of that configuration.
        head: NoteNumber,
        /// All reasons.
        errors: Vec<ApplyError>,
    },
    /// The base is above the head or too far below it.
    BaseOutOfRange {
        /// The base that the note states.
        base: NoteNumber,
        /// The newest note.
        head: NoteNumber,
    },
    /// The platform's chain does not contain the note that a daemon has in force.
    ///
    /// This happens when the platform was restored to an older state, until the
    /// daemons have written the missing notes back. A note on top of the older
    /// state would fork the chain, and every daemon would reject it permanently.
    Diverged {
        /// The newest note that a daemon has in force.
        daemon_note: NoteNumber,
        /// The platform's newest note.
        head: NoteNumber,
    },
    /// The key of the body already holds a different note.
    BodyConflict(NoteNumber, NoteId),
    /// The platform did not answer before the deadline; the note is not released.
    Unavailable,
    /// The deadline passed before the head was written; the note is not
    /// released.
    TimedOut,
    /// It is unknown whether the note is released: the answer to a write was
    /// lost, and the write may still take effect.
    Unknown(NoteNumber, NoteId),
}

impl ReleaseOutcome {
    /// Returns the exit code of agateholdctl (section 2 of the design document).
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Accepted { .. } => 0,
            Self::Unavailable | Self::Diverged { .. } => 1,
            Self::Invalid { .. } | Self::BaseOutOfRange { .. } => 3,
            Self::Conflict { .. } | Self::Superseded { .. } | Self::BodyConflict(_, _) => 4,
            Self::Unknown(_, _) => 5,
            Self::TimedOut => 6,
        }
    }
}

/// A head write whose answer was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PendingSwap {
    /// The head's version that the write expects. The write can't take effect
    /// any more once the head has a newer version.
    expected: HeadVersion,
    /// The head that had this version. After a restore, the platform may assign
    /// the same version to a different head.
    replaced: HeadRecord,
    /// The note that becomes the head by the write.
    stored: StoredNote,
}

/// The state of the release of one note.
#[derive(Clone, Debug, PartialEq)]
pub struct Release {
    note: Note,
    text: Box<str>,
    id: NoteId,
    /// The newest note that the author knew: the base that the note states, or
    /// else the first head that this run read.
    base: Option<NoteNumber>,
    /// The newest note that a daemon has in force.
    daemon_head: Head,
    deadline: TimeMs,
    /// The version of the head at the last read.
    version: HeadVersion,
    /// The head at the last read.
    record: HeadRecord,
    /// The note as the successor of that head.
    stored: Option<StoredNote>,
    pending_swap: Option<PendingSwap>,
    /// Whether this run has sent a write of the head.
    swap_sent: bool,
    /// The delay before the next retry; doubles with each failure in a row.
    retry_delay: DurationMs,
    last_call: ReleaseCall,
}

impl Release {
    /// Prepares the release of `note`, whose text is `text`; no call is made after
    /// `deadline`.
    ///
    /// `note.author` becomes the author in the header. `base` is the one that the
    /// text states, if any. `daemon_head` is the newest note that a daemon has in
    /// force.
    pub fn new(
        note: Note,
        text: &str,
        base: Option<NoteNumber>,
        daemon_head: Head,
        deadline: TimeMs,
    ) -> Self {
        let id = note_id(text, &note.author, base);
        Self {
            note,
            text: text.into(),
            id,
            base,
            daemon_head,
            deadline,
            version: HeadVersion(0),
            record: HeadRecord::default(),
            stored: None,
            pending_swap: None,
            swap_sent: false,
            retry_delay: RETRY_DELAY_FIRST_MS,
            last_call: ReleaseCall::ReadHead,
        }
    }

    /// Returns the note's id.
    pub const fn id(&self) -> NoteId {
        self.id
    }

    /// Returns the author in the note's header.
    pub fn author(&self) -> &str {
        &self.note.author
    }

    /// Returns the first step.
    pub fn start(&self) -> ReleaseStep {
        ReleaseStep::Call(DurationMs(0), self.last_call.clone())
    }
}

/// Updates the release with `answer` and returns the next step.
pub fn advance(release: &mut Release, answer: ReleaseAnswer, now: TimeMs) -> ReleaseStep {
    let step = match answer {
        ReleaseAnswer::Head(version, record) if record.head.number < release.daemon_head.number => {
            return on_stale_head(release, version, record, now);
        }
        ReleaseAnswer::Head(version, record) => on_head(release, version, record),
        ReleaseAnswer::Chain(config, notes) => on_chain(release, &config, &notes),
        ReleaseAnswer::BodyCreated => swap_head(release),
        ReleaseAnswer::BodyExists => call_now(ReleaseCall::ReadBody(
            release.record.head.number.next(),
            release.id,
        )),
        ReleaseAnswer::Body(found) => on_body(release, found),
        ReleaseAnswer::HeadSwapped => on_head_swapped(release),
        ReleaseAnswer::HeadMoved => call_now(ReleaseCall::ReadHead),
        ReleaseAnswer::Lost => return on_answer_lost(release, now),
        ReleaseAnswer::NotSent => {
            return retry(
                release,
                release.last_call.clone(),
                now,
                ReleaseOutcome::Unavailable,
            );
        }
    };
    release.retry_delay = RETRY_DELAY_FIRST_MS;
    match step {
        ReleaseStep::Call(_, _) if now >= release.deadline => {
            give_up(release, ReleaseOutcome::TimedOut)
        }
        ReleaseStep::Call(delay, call) => {
            release.last_call = call.clone();
            ReleaseStep::Call(delay, call)
        }
        ReleaseStep::End(end) => ReleaseStep::End(end),
    }
}

fn call_now(call: ReleaseCall) -> ReleaseStep {
    ReleaseStep::Call(DurationMs(0), call)
}

/// Reads the head again later: the platform's head is older than the one that a
/// daemon has in force, and the daemons write the missing notes back.
fn on_stale_head(
    release: &mut Release,
    version: HeadVersion,
    record: HeadRecord,
    now: TimeMs,
) -> ReleaseStep {
    release.version = version;
    release.record = record;
    let end = ReleaseOutcome::Diverged {
        daemon_note: release.daemon_head.number,
        head: record.head.number,
    };
    retry(release, ReleaseCall::ReadHead, now, end)
}

fn on_head(release: &mut Release, version: HeadVersion, record: HeadRecord) -> ReleaseStep {
    release.version = version;
    release.record = record;
    if let Some(pending) = &release.pending_swap
        && version <= pending.expected
    {
        if version == pending.expected && pending.replaced == record {
            return call_now(ReleaseCall::SwapHead {
                expected: pending.expected,
                record: pending.stored.header.record(),
            });
        }
        // The platform was restored to an older state, and its versions went back. The
        // pending write may still meet the version that it expects, now or later, and
        // replace whichever head has it.
        let number = pending.stored.header.number;
        return ReleaseStep::End(ReleaseOutcome::Unknown(number, release.id));
    }
    let head = record.head.number;
    let base = *release.base.get_or_insert(head);
    if base > head || head.0 - base.0 > BASE_LAG_MAX_NOTES {
        // If the head is below the base of this run, the platform was restored
        // to an older state, which may have undone the write with the lost answer.
        if let Some(pending) = &release.pending_swap {
            let number = pending.stored.header.number;
            return ReleaseStep::End(ReleaseOutcome::Unknown(number, release.id));
        }
        return ReleaseStep::End(ReleaseOutcome::BaseOutOfRange { base, head });
    }
    let needed = NoteNumber(base.0.min(release.daemon_head.number.0.saturating_sub(1)));
    call_now(ReleaseCall::ReadChain {
        record,
        needed,
        wanted: NoteNumber(needed.0.min(head.0.saturating_sub(REPEAT_SEARCH_NOTES))),
    })
}

fn on_chain(release: &mut Release, config: &ConfigTables, notes: &[ChainNote]) -> ReleaseStep {
    let own_entities = touched_entities(&release.note);
    if let Some(own_note) = notes.iter().find(|note| note.header.id == release.id) {
        return ReleaseStep::End(outcome_in_chain(release, own_note, notes, &own_entities));
    }
    if release.daemon_head.number > NoteNumber(0) && !chain_contains(notes, release.daemon_head) {
        let end = ReleaseOutcome::Diverged {
            daemon_note: release.daemon_head.number,
            head: release.record.head.number,
        };
        return give_up(release, end);
    }
    // The head has a later version than a pending write of this note expects, so that
    // the write fails.
    release.pending_swap = None;
    let base = release.base.unwrap_or(release.record.head.number);
    let newer = notes.iter().filter(|note| note.header.number > base);
    if let Some((winner, overlap)) = first_overlap(newer, &own_entities) {
        return ReleaseStep::End(ReleaseOutcome::Conflict { winner, overlap });
    }
    let next = match apply(config, &release.note) {
        Ok(next) => next,
        Err(errors) => {
            let head = release.record.head.number;
            return ReleaseStep::End(ReleaseOutcome::Invalid { head, errors });
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
    call_now(ReleaseCall::CreateBody(stored))
}

fn chain_contains(notes: &[ChainNote], head: Head) -> bool {
    notes.iter().any(|note| note.header.head() == head)
}

/// Returns the outcome of a release whose note is already in the chain.
fn outcome_in_chain(
    release: &Release,
    own_note: &ChainNote,
    notes: &[ChainNote],
    own_entities: &BTreeSet<EntityRef>,
) -> ReleaseOutcome {
    let number = own_note.header.number;
    if !release.swap_sent {
        let later = notes.iter().filter(|note| note.header.number > number);
        if let Some((winner, overlap)) = first_overlap(later, own_entities) {
            return ReleaseOutcome::Superseded {
                number,
                winner,
                overlap,
            };
        }
    }
    ReleaseOutcome::Accepted {
        header: own_note.header.clone(),
        repeated: !release.swap_sent,
    }
}

fn first_overlap<'a>(
    notes: impl Iterator<Item = &'a ChainNote>,
    own_entities: &BTreeSet<EntityRef>,
) -> Option<(NoteHeader, Vec<EntityRef>)> {
    for note in notes {
        let shared: Vec<EntityRef> = note.entities.intersection(own_entities).cloned().collect();
        if !shared.is_empty() {
            return Some((note.header.clone(), shared));
        }
    }
    None
}

fn on_body(release: &mut Release, found: Option<StoredNote>) -> ReleaseStep {
    match (found, &release.stored) {
        (Some(found), Some(stored)) if found == *stored => swap_head(release),
        (Some(found), _) => ReleaseStep::End(ReleaseOutcome::BodyConflict(
            found.header.number,
            found.header.id,
        )),
        (None, _) => call_now(ReleaseCall::ReadHead),
    }
}

fn swap_head(release: &mut Release) -> ReleaseStep {
    let Some(stored) = &release.stored else {
        return call_now(ReleaseCall::ReadHead);
    };
    release.swap_sent = true;
    call_now(ReleaseCall::SwapHead {
        expected: release.version,
        record: stored.header.record(),
    })
}

fn on_head_swapped(release: &Release) -> ReleaseStep {
    let Some(stored) = &release.stored else {
        return call_now(ReleaseCall::ReadHead);
    };
    ReleaseStep::End(ReleaseOutcome::Accepted {
        header: stored.header.clone(),
        repeated: false,
    })
}

fn on_answer_lost(release: &mut Release, now: TimeMs) -> ReleaseStep {
    let next = match &release.last_call {
        ReleaseCall::SwapHead { expected, .. } => {
            if let Some(stored) = &release.stored {
                release.pending_swap = Some(PendingSwap {
                    expected: *expected,
                    replaced: release.record,
                    stored: stored.clone(),
                });
            }
            ReleaseCall::ReadHead
        }
        other => other.clone(),
    };
    retry(release, next, now, ReleaseOutcome::Unavailable)
}

/// Makes the call `next` after a delay that doubles with each failure in a row,
/// or ends the release with `end` if this would be after the deadline.
fn retry(
    release: &mut Release,
    next: ReleaseCall,
    now: TimeMs,
    end: ReleaseOutcome,
) -> ReleaseStep {
    if now + release.retry_delay >= release.deadline {
        return give_up(release, end);
    }
    let delay = release.retry_delay;
    release.retry_delay = delay.times(2).min(RETRY_DELAY_MAX_MS);
    release.last_call = next.clone();
    ReleaseStep::Call(delay, next)
}

/// Ends the release with `end`, or with [`ReleaseOutcome::Unknown`] if a write whose
/// answer was lost may still take effect.
fn give_up(release: &Release, end: ReleaseOutcome) -> ReleaseStep {
    if let Some(pending) = &release.pending_swap {
        let number = pending.stored.header.number;
        return ReleaseStep::End(ReleaseOutcome::Unknown(number, release.id));
    }
    ReleaseStep::End(end)
}

//! The state of the note log's systems, and their commands.

use crate::ids::HostId;
use crate::ids::NoteNumber;
use crate::note::Head;
use crate::note::NoteHeader;
use crate::table::Table;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::NoteFault;
use super::NoteLog;
use super::NotesRequest;
use super::Snapshot;
use super::StartRow;
use crate::note::StoredNote;

/// Where notes come from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NoteSource {
    /// The platform.
    Platform,
    /// Another daemon.
    Peer(HostId),
    /// The operators' tool, which pushes an accepted note.
    Tool,
}

/// The latest time at which a head was proved to be the platform's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadProof {
    /// The head.
    pub head: Head,
    /// When it was the platform's, by the local clock; never too late.
    pub at: TimeMs,
}

/// A source that claims to hold a newer head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AheadRow {
    /// The head that it claims.
    pub head: Head,
    /// When it was last asked for the notes.
    pub asked_at: Option<TimeMs>,
}

/// A request for notes that is not answered yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingRequest {
    /// Whom the request went to.
    pub source: NoteSource,
    /// When it was sent.
    pub sent_at: TimeMs,
}

/// A snapshot of which some chunks have arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartialSnapshot {
    /// Who sends it.
    pub source: NoteSource,
    /// The header of the snapshot.
    pub header: NoteHeader,
    /// The text so far.
    pub text: String,
    /// The chunks so far.
    pub chunks: u32,
}

/// What this daemon knows of the platform's head key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformRow {
    /// The head that the platform told last.
    pub head: Option<Head>,
    /// When a read or watch was last started.
    pub asked_at: Option<TimeMs>,
    /// Whether that read or watch is still without an answer.
    pub waiting: bool,
    /// When the platform last answered.
    pub answered_at: Option<TimeMs>,
    /// When the state was last written back to a restored platform.
    pub written_back_at: Option<TimeMs>,
}

/// The note log of a daemon and the state of its systems.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Spread {
    /// The notes and the configuration in force.
    pub log: NoteLog,
    /// The newest proof that a head is the platform's.
    pub proof: Option<HeadProof>,
    /// Sources that claim a newer head.
    pub ahead: Table<NoteSource, AheadRow>,
    /// The request for notes that is under way.
    pub request: Option<PendingRequest>,
    /// The snapshot that is being read in chunks.
    pub partial: Option<PartialSnapshot>,
    /// How far the daemon is in finding its first configuration.
    pub start: StartRow,
    /// The platform's head key.
    pub platform: PlatformRow,
    /// The head that the routing table was last published for.
    pub published: Option<Head>,
    /// Offers that were refused, by reason.
    pub refused: Table<NoteFault, u64>,
    /// When more than half of the known hosts were last in contact.
    pub majority_at: Option<TimeMs>,
}

impl Spread {
    /// Returns when the head in force was last proved to be the platform's.
    pub fn confirmed_at(&self) -> Option<TimeMs> {
        let proof = self.proof?;
        (proof.head == self.log.head).then_some(proof.at)
    }

    /// Counts a refused offer.
    pub(super) fn count_refusal(&mut self, fault: NoteFault) {
        *self.refused.get_or_insert(fault, || 0) += 1;
    }
}

/// What the systems of the note log ask the rest of the daemon to do.
#[derive(Clone, Debug, PartialEq)]
pub enum SpreadCommand {
    /// Read the platform's head now.
    ReadHead,
    /// Wait on the platform for a head other than the one known.
    WatchHead {
        /// How long the platform should wait.
        wait_ms: DurationMs,
    },
    /// Read from the platform the notes after this one, with the newest
    /// snapshot where that is shorter.
    ReadNotes {
        /// The newest note held.
        after: NoteNumber,
    },
    /// Ask a peer for notes.
    AskPeer {
        /// The peer.
        host: HostId,
        /// What to ask for.
        request: NotesRequest,
    },
    /// Publish the configuration in force.
    PublishConfig {
        /// Its head.
        head: Head,
    },
    /// Write the bodies, the snapshot and then the head to a platform that
    /// was restored to an older state.
    WriteBack(Box<WriteBack>),
}

/// What a platform that was restored to an older state lacks.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteBack {
    /// The platform's head, which must still stand when it is replaced.
    pub expected: Head,
    /// The notes after it whose text is kept.
    pub records: Vec<StoredNote>,
    /// The configuration, where the text of some note is not kept.
    pub snapshot: Option<Snapshot>,
    /// The head to write.
    pub head: Head,
}

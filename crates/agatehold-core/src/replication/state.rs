//! The state of note replication, and the commands that it issues.

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
use super::StartupState;
use crate::note::StoredNote;

/// Where notes come from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NoteSource {
    /// The platform.
    Platform,
    /// Another daemon.
    Peer(HostId),
    /// The operator tool, which pushes an accepted note.
    Tool,
}

/// A head and the latest time at which it is known to be the platform's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadConfirmation {
    /// The head.
    pub head: Head,
    /// The latest time, by the local clock, at which the platform is known to
    /// have had this head. The estimate may be too early, but never too late.
    pub at: TimeMs,
}

/// The head of a source that claims to hold a newer one than this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewerHeadRow {
    /// The claimed head.
    pub head: Head,
    /// When the source was last asked for the notes.
    pub asked_at: Option<TimeMs>,
}

/// An unanswered request for notes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingRequest {
    /// The source that the request was sent to.
    pub source: NoteSource,
    /// When it was sent.
    pub sent_at: TimeMs,
}

/// A snapshot of which some chunks have arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartialSnapshot {
    /// The source of the chunks.
    pub source: NoteSource,
    /// The header of the snapshot.
    pub header: NoteHeader,
    /// The text received so far.
    pub text: String,
    /// The number of chunks received so far.
    pub chunks: u32,
}

/// What this daemon knows about the platform's head key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformHeadState {
    /// The head in the platform's last answer.
    pub head: Option<Head>,
    /// When a read or watch was last started.
    pub asked_at: Option<TimeMs>,
    /// Whether that read or watch is still unanswered.
    pub waiting: bool,
    /// When the platform last answered.
    pub answered_at: Option<TimeMs>,
    /// When a write-back to a restored platform was last due; see
    /// [`ReplicationCommand::WriteBack`].
    pub written_back_at: Option<TimeMs>,
}

/// The state of note replication of one daemon.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NoteReplication {
    /// The notes and the current configuration.
    pub log: NoteLog,
    /// The newest head that is confirmed to be the platform's.
    pub confirmation: Option<HeadConfirmation>,
    /// The sources that claim a newer head.
    pub newer_heads: Table<NoteSource, NewerHeadRow>,
    /// The unanswered request for notes, if any.
    pub request: Option<PendingRequest>,
    /// The snapshot that is being received in chunks.
    pub partial: Option<PartialSnapshot>,
    /// The search for the first configuration.
    pub start: StartupState,
    /// The state of the platform's head key.
    pub platform: PlatformHeadState,
    /// The head for which [`ReplicationCommand::PublishConfig`] was last issued.
    pub published: Option<Head>,
    /// The number of rejected offers by reason.
    pub refused: Table<NoteFault, u64>,
    /// When this daemon was last in contact with more than half of the known
    /// hosts.
    pub majority_at: Option<TimeMs>,
    /// Until when this daemon may serve requests by its head, as of the last run.
    /// Whoever serves them checks it for each request: the process may be paused
    /// between a run and the request.
    pub serving_until: TimeMs,
    /// When [`super::run`] last ran.
    pub ran_at: Option<TimeMs>,
}

impl NoteReplication {
    /// Returns when the current head was last confirmed to be the platform's.
    pub fn confirmed_at(&self) -> Option<TimeMs> {
        let confirmation = self.confirmation?;
        (confirmation.head == self.log.head).then_some(confirmation.at)
    }

    /// Counts a rejected offer.
    pub(super) fn count_refusal(&mut self, fault: NoteFault) {
        *self.refused.get_or_insert(fault, || 0) += 1;
    }
}

/// A command from note replication to the rest of the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicationCommand {
    /// Read the platform's head now.
    ReadHead,
    /// Watch the platform's head for a change from the known one.
    WatchHead {
        /// How long the platform should wait.
        wait_ms: DurationMs,
    },
    /// Read the notes after this one from the platform, with the newest
    /// snapshot if that is shorter.
    ReadNotes {
        /// The newest note that this daemon holds.
        after: NoteNumber,
    },
    /// Ask a peer for notes.
    AskPeer {
        /// The peer.
        host: HostId,
        /// The request.
        request: NotesRequest,
    },
    /// Publish the current configuration.
    PublishConfig {
        /// The head of that configuration.
        head: Head,
    },
    /// Write the bodies, then the snapshot and last the head to a platform
    /// that was restored to an older state.
    WriteBack(Box<WriteBack>),
}

/// The data missing from a platform that was restored to an older state.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteBack {
    /// The platform's head; it is replaced only if it is still this one.
    pub expected: Head,
    /// The notes after `expected` whose text is kept.
    pub records: Vec<StoredNote>,
    /// The kept snapshot, if the text of some note after `expected` is no
    /// longer kept.
    pub snapshot: Option<Snapshot>,
    /// The head to write.
    pub head: Head,
}

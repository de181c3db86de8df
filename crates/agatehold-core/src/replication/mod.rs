//! Replication of release notes: every daemon gets every note in order, from
//! its peers or from the platform, and never returns to an older one.
//!
//! [`run`] is called on each tick. Digests, platform answers and notes are
//! merged as they arrive by [`merge_head`], [`platform_head`] and
//! [`merge_notes`].

mod heads;
mod log;
mod run;
mod start;
mod state;
mod watch;

pub use heads::Acceptance;
pub use heads::forget_host;
pub use heads::merge_head;
pub use heads::merge_notes;
pub use heads::platform_failed;
pub use heads::platform_head;
pub use heads::request_failed;
pub use log::ANSWER_MAX_BYTES;
pub use log::BODIES_MAX;
pub use log::BODIES_MAX_BYTES;
pub use log::HEADERS_MAX;
pub use log::NoteFault;
pub use log::NoteLog;
pub use log::NotesAnswer;
pub use log::NotesRequest;
pub use log::Snapshot;
pub use log::SnapshotChunk;
pub use log::accept;
pub use log::accept_snapshot;
pub use log::answer_request;
pub use log::split_chunks;
pub use run::ISOLATION_TIME;
pub use run::run;
pub use start::StartupState;
pub use state::HeadConfirmation;
pub use state::NewerHeadRow;
pub use state::NoteReplication;
pub use state::NoteSource;
pub use state::PartialSnapshot;
pub use state::PendingRequest;
pub use state::PlatformHeadState;
pub use state::ReplicationCommand;
pub use state::WriteBack;
pub use watch::WATCH_WAIT;
pub use watch::watcher_rank;

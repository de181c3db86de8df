//! Reads the chain of notes from the platform, and writes snapshots.

mod read;
mod snapshot;

pub(crate) use read::ChainView;
pub(crate) use read::read_body;
pub(crate) use read::read_chain;
pub(crate) use read::read_head;
pub(crate) use read::read_notes;
pub(crate) use snapshot::ensure_snapshot;

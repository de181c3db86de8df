//! The JSON of the admin address and of stored notes.

mod answers;
mod notes;
mod text;

pub use answers::DrainAnswer;
pub use answers::EjectionEntry;
pub use answers::EjectionState;
pub use answers::EjectionsAnswer;
pub use answers::HostEntry;
pub use answers::HostState;
pub use answers::HostsAnswer;
pub use answers::PlatformState;
pub use answers::ServiceCapacity;
pub use answers::StatusAnswer;
pub use answers::TargetEntry;
pub use answers::TargetRank;
pub use answers::TargetsAnswer;
pub use notes::AdminCodecError;
pub use notes::HEAD_KEY;
pub use notes::HeadJson;
pub use notes::NoteVerdict;
pub use notes::NotesAnswer;
pub use notes::body_key;
pub use notes::body_prefix;
pub use notes::decode_head;
pub use notes::decode_note;
pub use notes::decode_notes;
pub use notes::encode_head;
pub use notes::encode_note;
pub use notes::encode_notes;
pub use notes::snapshot_key;
pub use notes::snapshot_prefix;
pub use notes::split_body_key;

//! JSON bodies of the admin API.

mod answers;
mod notes;

pub use crate::json::HeadJson;
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
pub use notes::NoteVerdict;
pub use notes::NotesAnswer;
pub use notes::decode_notes;
pub use notes::encode_notes;

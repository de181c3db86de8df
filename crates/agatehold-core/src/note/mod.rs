//! Release notes: the configuration changes they list, their hash chain, and how they are
//! applied and released.

mod apply;
mod chain;
mod change;
mod difference;
pub mod release;
pub mod rollout;
mod stored;
mod walk;

pub use apply::ApplyError;
pub use apply::apply;
pub use apply::replay;
pub use chain::ChainError;
pub use chain::Head;
pub use chain::NoteHeader;
pub use chain::verify_descendant;
pub use change::EntityRef;
pub use change::Note;
pub use change::NoteChange;
pub use change::PutAction;
pub use change::RoutePatch;
pub use change::ServicePatch;
pub use change::TargetPatch;
pub use change::TenantPatch;
pub use change::overlap;
pub use change::touched_entities;
pub use difference::difference;
pub use stored::HeadRecord;
pub use stored::StoredNote;
pub use stored::body_digest;
pub use stored::latest_snapshot_number;
pub use stored::note_id;
pub use stored::previous_snapshot_number;
pub use walk::ChainWalk;
pub use walk::WalkStep;

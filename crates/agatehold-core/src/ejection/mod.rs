//! Ejection permits: who may be excluded, by whom and for how long.

mod apply;
mod next;
mod rows;

pub use apply::excluded_targets;
pub use apply::write_exclusions;
pub use next::PermitChange;
pub use next::next_record;
pub use next::restored_record;
pub use next::returned_record;
pub use rows::HeldRecord;
pub use rows::LiveView;
pub use rows::PermitEntry;
pub use rows::PermitNumber;
pub use rows::PermitRecord;
pub use rows::PermitState;
pub use rows::PermitTables;
pub use rows::confirm_record;

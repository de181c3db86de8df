//! Ejection permits: which targets the daemons may exclude, and for how long.
//!
//! The platform stores one permit record for each service. All daemons that
//! exclude targets follow it, so that together they leave every service at least
//! the number of targets that its floor demands.

mod apply;
mod next;
mod rows;

pub use apply::excluded_targets;
pub use apply::write_exclusions;
pub use next::PermitChange;
pub use next::merge_restored_record;
pub use next::next_record;
pub use next::remove_returned_entries;
pub use rows::HeldRecord;
pub use rows::LiveView;
pub use rows::PermitEntry;
pub use rows::PermitNumber;
pub use rows::PermitRecord;
pub use rows::PermitState;
pub use rows::PermitTables;
pub use rows::confirm_record;

//! The immutable routing table that traffic threads read, and the choice of a
//! target from it.

mod build;
mod cell;
mod home_slots;
mod matching;
mod pick;

pub use build::RouteEntry;
pub use build::RoutingTable;
pub use build::ServiceEntry;
pub use build::ServiceIndex;
pub use build::TargetEntry;
pub use build::TargetIndex;
pub use build::build;
pub use cell::Preference;
pub use cell::TargetCell;
pub use home_slots::write_home_slots;
pub use matching::is_idempotent;
pub use matching::match_route;
pub use pick::pick_target;
pub use pick::pick_trial;

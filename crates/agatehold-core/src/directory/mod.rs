//! The daemons registered with the platform, and the choice of the entry
//! daemons whose addresses callers get.

mod choose;
mod groups;
mod rows;

pub use choose::EntryDemand;
pub use choose::entry_addresses;
pub use choose::entry_daemons;
pub use groups::EntryGroup;
pub use groups::EntryPolicy;
pub use groups::entry_groups;
pub use rows::MemberRecord;

//! The daemons of a fleet that registered with the platform, and which of
//! them callers are given.

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

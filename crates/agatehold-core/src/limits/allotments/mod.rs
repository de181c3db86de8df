//! Allotments of tenants over the whole fleet: a distributed token bucket.
//!
//! Each holder of a tenant has a part of the tenant's rate and burst. The parts add up to
//! the allotment. Tokens move from one daemon to another by grants. A granted token lapses
//! [`GRANT_LIFETIME_MS`] after it was asked for, so that what daemons hold beyond their
//! parts is at most what the tenant's rate adds in that time.

mod asking;
mod entries;
mod peers;
mod retry_schedule;
mod rows;
mod table;

pub use entries::AllotmentEntry;
pub use entries::CHANGE_KNOWN_AFTER_MS;
pub use entries::DROP_PART_AFTER_MS;
pub use entries::part_holders;
pub use peers::ASK_ITEMS_MAX;
pub use peers::Ask;
pub use peers::AskNumber;
pub use peers::Grant;
pub use peers::GrantItem;
pub use rows::GRANT_LIFETIME_MS;
pub use rows::TakenToken;
pub use table::AllotmentTable;
pub use table::PartChange;

//! The state of the control thread and its periodic update.
//!
//! Messages are merged into [`ControlTables`] as they arrive. [`tick`] updates
//! the tables in a fixed order and returns the [`Command`]s that the rest of the
//! daemon has to perform.

mod command;
mod exchange;
mod leaving;
mod permits;
mod state;
mod stop;
mod tick;

pub use command::Command;
pub use command::StateChange;
pub use exchange::build_digest;
pub use exchange::merge_digest;
pub use exchange::merge_hosts;
pub use exchange::record_own_marks;
pub use permits::PermitVersion;
pub use permits::PermitWrite;
pub use permits::merge_permit;
pub use permits::merge_permit_list;
pub use permits::merge_permit_write;
pub use permits::record_permit_list_failure;
pub use state::ControlTables;
pub use state::PermitCalls;
pub use stop::StopState;
pub use stop::StopStep;
pub use stop::StopTimes;
pub use stop::TrafficCounts;
pub use stop::begin_stop;
pub use stop::next_stop_step;
pub use tick::CLAIM_LEASE_TTL_MS;
pub use tick::may_use_claim_lease;
pub use tick::record_reports;
pub use tick::tick;

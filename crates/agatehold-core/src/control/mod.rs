//! The tables of the control thread and the order in which systems run.
//!
//! Messages are merged into the tables when they arrive; [`tick`] runs the
//! systems over the tables and returns what the rest of the daemon has to do.

mod command;
mod exchange;
mod leaving;
mod permits;
mod state;
mod stop;
mod tick;

pub use command::Command;
pub use command::StateChange;
pub use exchange::answer_digest;
pub use exchange::merge_digest;
pub use exchange::merge_hosts;
pub use permits::PermitVersion;
pub use permits::PermitWrite;
pub use permits::list_failed;
pub use permits::merge_permit;
pub use permits::merge_permit_list;
pub use permits::write_ended;
pub use state::ControlTables;
pub use state::PermitWork;
pub use stop::StopRow;
pub use stop::StopStep;
pub use stop::StopTimes;
pub use stop::TrafficCounts;
pub use stop::begin_stop;
pub use stop::next_stop_step;
pub use tick::CLAIM_LEASE_TTL_MS;
pub use tick::record_reports;
pub use tick::tick;

//! Simulates a fleet of daemons in virtual time.

mod drive;
mod rows;
mod setup;

pub use drive::advance;
pub use drive::push_note;
pub use drive::release;
pub use rows::DaemonRow;
pub use rows::Faults;
pub use rows::Fleet;
pub use rows::FleetPlan;
pub use rows::PlatformCalls;
pub use rows::PlatformDouble;
pub use setup::kill;
pub use setup::listed;
pub use setup::restart;
pub use setup::steady;
pub use setup::warm;

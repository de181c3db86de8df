//! Simulates a fleet of daemons in virtual time.

mod events;
mod setup;
mod state;

pub use events::advance;
pub use events::push_note;
pub use events::release_note;
pub use setup::converged_fleet;
pub use setup::host_list_entry;
pub use setup::kill;
pub use setup::restart;
pub use setup::warmed_up_fleet;
pub use state::DaemonRow;
pub use state::Faults;
pub use state::Fleet;
pub use state::FleetPlan;
pub use state::PlatformCalls;
pub use state::SimulatedPlatform;

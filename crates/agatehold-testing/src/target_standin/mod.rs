//! A stand-in for targets: slots, warm-up, load reports, draining, and faults
//! that tests inject at run time. One process hosts many targets.

mod control;
mod faults;
mod relay;
mod start;
mod systems;
mod tables;
mod traffic;

pub use faults::CutDirection;
pub use faults::CutEnd;
pub use faults::CutPlan;
pub use faults::Delay;
pub use faults::Drain;
pub use faults::Faults;
pub use faults::Silence;
pub use start::RunningTargets;
pub use start::TargetOptions;
pub use start::start;

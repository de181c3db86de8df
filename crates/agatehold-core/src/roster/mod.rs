//! The targets that registered themselves with the platform.

mod lapse;
mod rows;

pub use lapse::LAPSE_RETURN_MS;
pub use lapse::Lapsing;
pub use lapse::LapsingRow;
pub use rows::TargetIdentity;
pub use rows::TargetRecord;

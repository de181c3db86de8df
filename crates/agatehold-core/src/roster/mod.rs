//! The records of targets registered with the platform, and the table that
//! mirrors a key prefix of the platform's store.

mod lapse;
mod rows;

pub use lapse::LAPSE_RETURN_MS;
pub use lapse::Lapsing;
pub use lapse::LapsingRow;
pub use rows::TargetIdentity;
pub use rows::TargetRecord;

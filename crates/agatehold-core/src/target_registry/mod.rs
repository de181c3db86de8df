//! The records of targets registered with the platform, and the table that
//! mirrors a key prefix of the platform's store.

mod rows;
mod store_mirror;

pub use rows::ProcessMark;
pub use rows::RegistrationMark;
pub use rows::TargetIdentity;
pub use rows::TargetRecord;
pub use store_mirror::EndedRegistration;
pub use store_mirror::MISSING_ROW_GRACE_MS;
pub use store_mirror::MirroredRow;
pub use store_mirror::StoreMirror;

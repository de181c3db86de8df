//! Tenants of a versioned configuration: who may send requests, with which keys and
//! how many.

mod authorize;
mod rows;

pub use authorize::Access;
pub use authorize::authorize;
pub use rows::Allotment;
pub use rows::KeyDigest;
pub use rows::TenantRow;
pub use rows::TenantTable;

//! Many daemons' tables in one process, driven on virtual time.
//!
//! The daemons' systems are the real ones of `agatehold-core`; messages are
//! plain structs in a queue. Nothing here is shipped.

pub mod configs;
pub mod fleet;
pub mod measure;

//! Simulates a fleet of daemons in one process in virtual time.
//!
//! The simulated daemons run the membership and replication code of
//! `agatehold-core`; messages are structs in an event queue. Only measurements and
//! tests use this crate.

pub mod configs;
pub mod fleet;
pub mod measure;

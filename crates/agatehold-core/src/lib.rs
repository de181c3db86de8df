//! The decision logic of the agatehold proxy fleet, free of I/O.
//!
//! State is kept in [`table::Table`]s; "systems" are free functions that read
//! and update them. Nothing in this crate opens a socket, reads a clock, starts
//! a thread or encodes a message: callers pass in the time and the random
//! number generator.

pub mod addresses;
pub mod catalog;
pub mod config;
pub mod control;
pub mod directory;
pub mod dispatch;
pub mod dissemination;
pub mod ejection;
pub mod health;
pub mod idempotency;
pub mod ids;
pub mod limits;
pub mod membership;
pub mod note;
pub mod outcome;
pub mod poison;
pub mod refusal;
pub mod replication;
pub mod retry;
pub mod routing;
pub mod table;
pub mod target_registry;
pub mod tenants;
pub mod units;

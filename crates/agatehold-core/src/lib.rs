//! Decisions of the agatehold proxy fleet.
//!
//! Entities live in tables, systems are free functions that run over them.
//! Nothing here opens a socket, reads a clock, starts a thread or encodes a
//! message: time and randomness are arguments.

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
pub mod retry;
pub mod roster;
pub mod routing;
pub mod spread;
pub mod table;
pub mod units;

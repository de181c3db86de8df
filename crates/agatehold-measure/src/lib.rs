//! Measures the failure detection and load balancing of `agatehold-core` with
//! simulated requests.
//!
//! Time is virtual and all seeds are fixed, so results are the same on every run
//! and every machine.

pub mod balance;
pub mod detection;
pub mod expected_cost;
pub mod false_ejection;
pub mod flapping;
pub mod leaving;
pub mod poison;
pub mod simulation;
pub mod table;

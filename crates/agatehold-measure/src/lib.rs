//! Measurements of the decisions in `agatehold-core` over scripted streams.
//!
//! Time is virtual and every seed is fixed, so that a figure is the same on
//! each run and each machine.

pub mod balance;
pub mod detection;
pub mod false_ejection;
pub mod flapping;
pub mod poison;
pub mod stream;
pub mod table;

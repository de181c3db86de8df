//! Measurements of the limits, the retries and the idempotency keys.
//!
//! Streams of requests are scripted, time is virtual and seeds are fixed, so
//! that each figure except the memory sizes is the same on every run.

pub mod fleet;
pub mod keys;
pub mod load;
pub mod memory;
pub mod retries;
pub mod simulation;
pub mod table_text;
pub mod tenants;

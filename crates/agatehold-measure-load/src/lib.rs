//! Measures admission control, retries and idempotency keys with simulated
//! requests.
//!
//! Time is virtual and all seeds are fixed, so all results except memory sizes
//! are the same on every run.

pub mod fleet;
pub mod keys;
pub mod load;
pub mod memory;
pub mod retries;
pub mod simulation;
pub mod table_text;
pub mod tenants;

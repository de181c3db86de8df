//! A stand-in for the platform: a key-value store with versions,
//! compare-and-swap, leases and watches, and a host list that is published with
//! a delay.

mod control;
mod protocol;
mod start;
mod systems;
mod tables;

pub use start::PlatformOptions;
pub use start::RunningPlatform;
pub use start::start;

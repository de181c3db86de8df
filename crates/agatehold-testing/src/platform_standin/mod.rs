//! A stand-in of the platform: a key-value service with versions,
//! compare-and-swap, leases, watches and a host list that lags.

mod control;
mod protocol;
mod start;
mod systems;
mod tables;

pub use start::PlatformOptions;
pub use start::RunningPlatform;
pub use start::start;

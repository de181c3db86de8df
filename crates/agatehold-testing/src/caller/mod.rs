//! A stand-in for a caller. It requests the addresses of daemons and caches
//! them for their TTL, sends requests to these addresses, and records each
//! attempt.

mod options;
mod start;
mod summary;
mod systems;
mod tables;
mod traffic;

pub use options::CallerOptions;
pub use options::KeyMode;
pub use options::Load;
pub use options::RequestShape;
pub use start::RunningCaller;
pub use start::start;
pub use summary::Summary;
pub use summary::summarise;

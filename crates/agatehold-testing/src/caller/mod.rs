//! A caller: asks a daemon for addresses, keeps them for their time, sends
//! requests and records each attempt.

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

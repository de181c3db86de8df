//! Test support: stand-ins for the platform, the targets and the callers of
//! agatehold, fleets of daemon processes, and checks of recorded requests.
//! Not shipped.
//!
//! Each stand-in keeps its state in tables that a single thread owns, the state
//! thread. A second thread, the traffic thread, does the network I/O and sends
//! events to the state thread over a channel.

pub mod caller;
pub mod common;
pub mod fleet;
pub mod history;
pub mod platform_standin;
pub mod response_body;
pub mod target_standin;

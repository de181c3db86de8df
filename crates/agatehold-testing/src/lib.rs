//! Test doubles for the systems around agatehold. Not shipped.
//!
//! Each double keeps its state in tables owned by one thread; another thread
//! carries the traffic and asks it over a channel.

pub mod answer;
pub mod caller;
pub mod common;
pub mod fleet;
pub mod history;
pub mod platform_standin;
pub mod target_standin;

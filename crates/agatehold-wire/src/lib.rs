//! Codecs of the messages that agatehold exchanges, free of sockets.

pub mod admin;
pub mod platform;

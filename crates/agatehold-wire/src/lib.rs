//! Message codecs of agatehold, free of sockets.

pub mod platform;

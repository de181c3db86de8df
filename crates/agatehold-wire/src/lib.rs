//! Message codecs of agatehold.

pub mod admin;

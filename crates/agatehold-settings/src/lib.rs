//! INI settings and release notes of agatehold.
//!
//! A document is checked whole: every function that parses returns all errors
//! at once, each with its place and what was expected there.

pub mod document;
pub mod fault;
pub mod note;
pub mod process;
pub mod secret;

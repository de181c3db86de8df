//! Parsing of the INI settings files of agatehold, and parsing and writing of release
//! notes.
//!
//! Every parser checks the whole document and returns all errors at once, each with
//! its file, line, section and key, and with what was expected there.

pub mod document;
pub mod error;
pub mod note;
pub mod process;
pub mod secret;

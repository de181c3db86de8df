//! Parsing and writing of release notes as INI text.

mod lines;
mod parse;
mod write;

pub use lines::EntityLines;
pub use lines::NoteLines;
pub use parse::ParsedNote;
pub use parse::parse_note;
pub use write::snapshot_note;
pub use write::write_note;

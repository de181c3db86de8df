//! A parsed INI document: sections and entries with their line numbers.

mod parse;
mod reader;

pub use parse::parse_document;
pub(crate) use reader::SectionReader;
pub(crate) use reader::value_error;

/// A key with its value.
#[derive(Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key, trimmed.
    pub key: Box<str>,
    /// The value, trimmed.
    pub value: Box<str>,
    /// The line, counted from 1.
    pub line: u32,
}

/// A section and its entries.
#[derive(Clone, PartialEq, Eq)]
pub struct Section {
    /// The text between the brackets, trimmed, with single spaces between words.
    pub name: Box<str>,
    /// The line, counted from 1.
    pub line: u32,
    /// The entries in order; no key appears twice.
    pub entries: Vec<Entry>,
}

/// A parsed file.
///
/// Does not implement `Debug`, since its values may be secrets.
#[derive(Clone, PartialEq, Eq)]
pub struct Document {
    /// The name of the file, for error messages.
    pub file: Box<str>,
    /// The sections in order; no name appears twice.
    pub sections: Vec<Section>,
}

impl Document {
    /// Returns the section with the name `name`.
    pub fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|section| &*section.name == name)
    }
}

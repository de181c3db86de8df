//! An INI document as sections and entries with their lines.

mod parse;
mod reader;

pub use parse::parse_document;
pub(crate) use reader::SectionReader;
pub(crate) use reader::value_error;

/// A key and its value.
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
    /// The text between the brackets, trimmed, its words one space apart.
    pub name: Box<str>,
    /// The line, counted from 1.
    pub line: u32,
    /// The entries in order; no key appears twice.
    pub entries: Vec<Entry>,
}

/// A parsed file.
///
/// It has no `Debug`, since its values may be secrets.
#[derive(Clone, PartialEq, Eq)]
pub struct Document {
    /// The name of the file, for errors.
    pub file: Box<str>,
    /// The sections in order; no name appears twice.
    pub sections: Vec<Section>,
}

impl Document {
    /// Returns the section called `name`.
    pub fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|section| &*section.name == name)
    }
}

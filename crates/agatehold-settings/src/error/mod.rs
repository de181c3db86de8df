//! Errors of settings files and release notes.

use std::fmt;

use quick_error::quick_error;

use agatehold_core::note::ApplyError;

/// The maximum number of characters of a value that an error message shows.
const VALUE_SHOWN_CHARS: usize = 80;

quick_error! {
    /// The kind of an error in a document.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum SettingsErrorKind {
        /// The line is neither a section, a property, a comment nor blank.
        Syntax {
            display("expected [section], key = value, or a comment that begins with ;")
        }
        /// A key appears before the first section.
        NoSection {
            display("expected a [section] before the first key")
        }
        /// The section is not one of the expected sections.
        UnknownSection(expected: Box<str>) {
            display("unknown section, expected {}", expected)
        }
        /// The section appears a second time.
        DuplicateSection(first: u32) {
            display("duplicate section, first defined in line {}", first)
        }
        /// The key is not one of the expected keys.
        UnknownKey(expected: Box<str>) {
            display("unknown key, expected {}", expected)
        }
        /// The key appears a second time.
        DuplicateKey(first: u32) {
            display("duplicate key, first defined in line {}", first)
        }
        /// A required key is missing.
        MissingKey {
            display("the key is missing")
        }
        /// The value is invalid; the text says what was expected.
        Value(expected: Box<str>) {
            display("{}", expected)
        }
        /// The note can't be applied to the configuration.
        Apply(error: ApplyError) {
            display("{}", error)
        }
    }
}

/// An error in a document, with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The name of the file.
    pub file: Box<str>,
    /// The line, counted from 1; 0 if the error has no line.
    pub line: u32,
    /// The name of the section; empty before the first section.
    pub section: Box<str>,
    /// The key, if the error concerns one.
    pub key: Option<Box<str>>,
    /// The value, if the error concerns one that may be shown; `None` for secrets.
    pub value: Option<Box<str>>,
    /// What is wrong and what was expected.
    pub kind: SettingsErrorKind,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        f.write_str(":")?;
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if let Some(key) = &self.key {
            write!(f, " {key}")?;
        }
        if let Some(value) = &self.value {
            let shown: String = value.chars().take(VALUE_SHOWN_CHARS).collect();
            write!(f, " = {shown}")?;
            if shown.len() < value.len() {
                f.write_str("...")?;
            }
        }
        if !self.section.is_empty() {
            f.write_str(":")?;
        }
        write!(f, " {}", self.kind)
    }
}

impl std::error::Error for SettingsError {}

/// Sorts errors by line; those without a line come last.
pub(crate) fn sort_errors(errors: &mut [SettingsError]) {
    errors.sort_by_key(|error| (error.line == 0, error.line));
}

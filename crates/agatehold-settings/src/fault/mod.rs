//! Errors of settings files and release notes.

use std::fmt;

use quick_error::quick_error;

use agatehold_core::note::ApplyError;

/// The characters of a value that an error shows.
const VALUE_SHOWN_CHARS: usize = 80;

quick_error! {
    /// What is wrong at a place in a document.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Fault {
        /// The line is neither a section, a property, a comment nor blank.
        Syntax {
            display("expected [section], key = value, or a comment that begins with ;")
        }
        /// A property stands before the first section.
        NoSection {
            display("expected a [section] before the first key")
        }
        /// The section is not one of those expected.
        UnknownSection(expected: Box<str>) {
            display("unknown section, expected {}", expected)
        }
        /// The section appears a second time.
        DuplicateSection(first: u32) {
            display("the section is in line {} already, expected it once", first)
        }
        /// The key is not one of those expected.
        UnknownKey(expected: Box<str>) {
            display("unknown key, expected {}", expected)
        }
        /// The key appears a second time.
        DuplicateKey(first: u32) {
            display("the key is in line {} already, expected it once", first)
        }
        /// The key is not there.
        MissingKey {
            display("the key is missing")
        }
        /// The value can't be used; the text says what was expected.
        Value(expected: Box<str>) {
            display("{}", expected)
        }
        /// The note can't take effect on the configuration.
        Apply(error: ApplyError) {
            display("{}", error)
        }
    }
}

/// An error in a document, with its place.
///
/// `value` is absent for keys that hold secrets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The name of the file.
    pub file: Box<str>,
    /// The line, counted from 1; 0 where the error has no line.
    pub line: u32,
    /// The name of the section; empty before the first section.
    pub section: Box<str>,
    /// The key, if the error concerns one.
    pub key: Option<Box<str>>,
    /// The value, if the error concerns one that may be shown.
    pub value: Option<Box<str>>,
    /// What is wrong and what was expected.
    pub fault: Fault,
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
        write!(f, " {}", self.fault)
    }
}

impl std::error::Error for SettingsError {}

/// Orders errors from the top of the document; those without a line follow.
pub(crate) fn sort_errors(errors: &mut [SettingsError]) {
    errors.sort_by_key(|error| (error.line == 0, error.line));
}

//! Takes typed values out of a section and reports what is left over.

use std::fmt;

use crate::fault::Fault;
use crate::fault::SettingsError;
use crate::secret::Secret;

use super::Document;
use super::Entry;
use super::Section;

/// Reads one section key by key.
pub(crate) struct SectionReader<'a> {
    file: &'a str,
    name: &'a str,
    /// Absent where the document lacks the section.
    section: Option<&'a Section>,
    /// The keys asked for so far.
    known: Vec<&'static str>,
    errors: &'a mut Vec<SettingsError>,
}

impl<'a> SectionReader<'a> {
    /// Opens the section `name`; where it is missing, each key is missing.
    pub(crate) fn open(
        document: &'a Document,
        name: &'a str,
        errors: &'a mut Vec<SettingsError>,
    ) -> Self {
        Self {
            file: &document.file,
            name,
            section: document.section(name),
            known: Vec::new(),
            errors,
        }
    }

    /// Opens `section`.
    pub(crate) fn over(
        file: &'a str,
        section: &'a Section,
        errors: &'a mut Vec<SettingsError>,
    ) -> Self {
        Self {
            file,
            name: &section.name,
            section: Some(section),
            known: Vec::new(),
            errors,
        }
    }

    /// Returns the value of `key` through `parse`, `None` where it is absent
    /// or invalid.
    pub(crate) fn optional<T, E: fmt::Display>(
        &mut self,
        key: &'static str,
        parse: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        let entry = self.entry(key)?;
        match parse(&entry.value) {
            Ok(value) => Some(value),
            Err(expected) => {
                self.errors
                    .push(value_error(self.file, self.name, entry, expected));
                None
            }
        }
    }

    /// As `optional`, with `default` where the key is absent or invalid.
    pub(crate) fn optional_or<T, E: fmt::Display>(
        &mut self,
        key: &'static str,
        parse: impl FnOnce(&str) -> Result<T, E>,
        default: T,
    ) -> T {
        self.optional(key, parse).unwrap_or(default)
    }

    /// As `optional`, and reports an absent key.
    pub(crate) fn required<T, E: fmt::Display>(
        &mut self,
        key: &'static str,
        parse: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        if self.entry(key).is_none() {
            self.missing(key);
            return None;
        }
        self.optional(key, parse)
    }

    /// Returns whether the section has `key`.
    pub(crate) fn has(&mut self, key: &'static str) -> bool {
        self.entry(key).is_some()
    }

    /// Returns the secret under `key`; an error does not show it.
    pub(crate) fn secret(&mut self, key: &'static str) -> Option<Secret> {
        let Some(entry) = self.entry(key) else {
            self.missing(key);
            return None;
        };
        match entry.value.parse() {
            Ok(secret) => Some(secret),
            Err(error) => {
                self.errors.push(SettingsError {
                    value: None,
                    ..value_error(self.file, self.name, entry, error)
                });
                None
            }
        }
    }

    /// Reports every key that nobody asked for, other than those with the
    /// prefix `family`.
    pub(crate) fn close(self, family: Option<&str>) {
        let Some(section) = self.section else {
            return;
        };
        let mut expected = self.known.join(", ");
        if let Some(family) = family {
            expected = format!("{expected}, {family}NAME");
        }
        for entry in &section.entries {
            if self.known.contains(&&*entry.key) {
                continue;
            }
            if family.is_some_and(|family| entry.key.starts_with(family)) {
                continue;
            }
            let fault = Fault::UnknownKey(expected.as_str().into());
            self.errors.push(SettingsError {
                file: self.file.into(),
                line: entry.line,
                section: self.name.into(),
                key: Some(entry.key.clone()),
                value: None,
                fault,
            });
        }
    }

    fn entry(&mut self, key: &'static str) -> Option<&'a Entry> {
        if !self.known.contains(&key) {
            self.known.push(key);
        }
        let section = self.section?;
        section.entries.iter().find(|entry| &*entry.key == key)
    }

    fn missing(&mut self, key: &'static str) {
        self.errors.push(SettingsError {
            file: self.file.into(),
            line: self.section.map_or(0, |section| section.line),
            section: self.name.into(),
            key: Some(key.into()),
            value: None,
            fault: Fault::MissingKey,
        });
    }
}

/// Returns the error for an entry whose value can't be used.
pub(crate) fn value_error(
    file: &str,
    section: &str,
    entry: &Entry,
    expected: impl fmt::Display,
) -> SettingsError {
    SettingsError {
        file: file.into(),
        line: entry.line,
        section: section.into(),
        key: Some(entry.key.clone()),
        value: Some(entry.value.clone()),
        fault: Fault::Value(expected.to_string().into()),
    }
}

//! Reads typed values from a section and reports unknown keys.

use std::fmt;

use crate::error::SettingsError;
use crate::error::SettingsErrorKind;
use crate::secret::Secret;

use super::Document;
use super::Entry;
use super::Section;

/// Reads the values of one section by key and records an error for each key that is
/// missing, invalid or unknown.
pub(crate) struct SectionReader<'a> {
    file: &'a str,
    name: &'a str,
    /// `None` if the document does not have the section.
    section: Option<&'a Section>,
    /// The keys that were requested so far; all others are reported as unknown.
    requested_keys: Vec<&'static str>,
    errors: &'a mut Vec<SettingsError>,
}

impl<'a> SectionReader<'a> {
    /// Opens the section `name`. If the document does not have it, every required key
    /// is reported as missing.
    pub(crate) fn open(
        document: &'a Document,
        name: &'a str,
        errors: &'a mut Vec<SettingsError>,
    ) -> Self {
        Self {
            file: &document.file,
            name,
            section: document.section(name),
            requested_keys: Vec::new(),
            errors,
        }
    }

    /// Opens `section` of `file`.
    pub(crate) fn from_section(
        file: &'a str,
        section: &'a Section,
        errors: &'a mut Vec<SettingsError>,
    ) -> Self {
        Self {
            file,
            name: &section.name,
            section: Some(section),
            requested_keys: Vec::new(),
            errors,
        }
    }

    /// Returns the value of `key` as parsed by `parse`, or `None` if the key is absent
    /// or its value invalid; an invalid value is reported.
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

    /// Like [`Self::optional`], but returns `default` if the key is absent or its value
    /// invalid.
    pub(crate) fn optional_or<T, E: fmt::Display>(
        &mut self,
        key: &'static str,
        parse: impl FnOnce(&str) -> Result<T, E>,
        default: T,
    ) -> T {
        self.optional(key, parse).unwrap_or(default)
    }

    /// Like [`Self::optional`], but also reports an absent key.
    pub(crate) fn required<T, E: fmt::Display>(
        &mut self,
        key: &'static str,
        parse: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        if self.entry(key).is_none() {
            self.report_missing(key);
            return None;
        }
        self.optional(key, parse)
    }

    /// Returns whether the section has `key`.
    pub(crate) fn has(&mut self, key: &'static str) -> bool {
        self.entry(key).is_some()
    }

    /// Returns the secret under the required key `key`; errors do not show its value.
    pub(crate) fn secret(&mut self, key: &'static str) -> Option<Secret> {
        let Some(entry) = self.entry(key) else {
            self.report_missing(key);
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

    /// Reports every key that was not requested, except keys that begin with
    /// `allowed_prefix`.
    pub(crate) fn report_unknown_keys(self, allowed_prefix: Option<&str>) {
        let Some(section) = self.section else {
            return;
        };
        let mut expected = self.requested_keys.join(", ");
        if let Some(prefix) = allowed_prefix {
            expected = format!("{expected}, {prefix}NAME");
        }
        for entry in &section.entries {
            if self.requested_keys.contains(&&*entry.key) {
                continue;
            }
            if allowed_prefix.is_some_and(|prefix| entry.key.starts_with(prefix)) {
                continue;
            }
            let kind = SettingsErrorKind::UnknownKey(expected.as_str().into());
            self.errors.push(SettingsError {
                file: self.file.into(),
                line: entry.line,
                section: self.name.into(),
                key: Some(entry.key.clone()),
                value: None,
                kind,
            });
        }
    }

    fn entry(&mut self, key: &'static str) -> Option<&'a Entry> {
        if !self.requested_keys.contains(&key) {
            self.requested_keys.push(key);
        }
        let section = self.section?;
        section.entries.iter().find(|entry| &*entry.key == key)
    }

    fn report_missing(&mut self, key: &'static str) {
        self.errors.push(SettingsError {
            file: self.file.into(),
            line: self.section.map_or(0, |section| section.line),
            section: self.name.into(),
            key: Some(key.into()),
            value: None,
            kind: SettingsErrorKind::MissingKey,
        });
    }
}

/// Returns the error for an entry whose value is invalid.
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
        kind: SettingsErrorKind::Value(expected.to_string().into()),
    }
}

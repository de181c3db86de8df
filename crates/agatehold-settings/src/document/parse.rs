//! Parsing of INI text into a document.

use std::collections::BTreeMap;

use ini_core::Item;
use ini_core::Parser;

use crate::error::SettingsError;
use crate::error::SettingsErrorKind;

use super::Document;
use super::Entry;
use super::Section;

/// Parses `text`, the content of `file`.
///
/// Adds an error to `errors` for every malformed line, every key before the first
/// section, and every section or key that appears twice, and returns the rest. No
/// error shows a value or the text of a malformed line, which may be a misplaced
/// secret.
pub fn parse_document(file: &str, text: &str, errors: &mut Vec<SettingsError>) -> Document {
    let mut document = Document {
        file: file.into(),
        sections: Vec::new(),
    };
    let mut first_lines: BTreeMap<Box<str>, u32> = BTreeMap::new();
    let mut in_duplicate_section = false;
    let mut parser = Parser::new(text).auto_trim(true);
    loop {
        let line = parser.line().saturating_add(1);
        let Some(item) = parser.next() else {
            return document;
        };
        match item {
            Item::Blank | Item::Comment(_) | Item::SectionEnd => {}
            Item::Error(_) => errors.push(error_in(&document, line, SettingsErrorKind::Syntax)),
            Item::Section(name) => {
                let words: Vec<&str> = name.split_whitespace().collect();
                let name: Box<str> = words.join(" ").into();
                in_duplicate_section = false;
                if let Some(first) = first_lines.get(&name) {
                    in_duplicate_section = true;
                    errors.push(SettingsError {
                        section: name,
                        ..error_in(&document, line, SettingsErrorKind::DuplicateSection(*first))
                    });
                    continue;
                }
                first_lines.insert(name.clone(), line);
                document.sections.push(Section {
                    name,
                    line,
                    entries: Vec::new(),
                });
            }
            Item::Property(_, _) if in_duplicate_section => {}
            Item::Property(key, Some(value)) if is_valid_key(key) => {
                add_entry(&mut document, key, value, line, errors);
            }
            Item::Property(_, _) => {
                errors.push(error_in(&document, line, SettingsErrorKind::Syntax))
            }
        }
    }
}

fn is_valid_key(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"_-.".contains(&b))
}

fn add_entry(
    document: &mut Document,
    key: &str,
    value: &str,
    line: u32,
    errors: &mut Vec<SettingsError>,
) {
    let Some(section) = document.sections.last_mut() else {
        errors.push(error_in(document, line, SettingsErrorKind::NoSection));
        return;
    };
    let first = section.entries.iter().find(|entry| &*entry.key == key);
    if let Some(first) = first {
        let kind = SettingsErrorKind::DuplicateKey(first.line);
        errors.push(SettingsError {
            key: Some(key.into()),
            ..error_in(document, line, kind)
        });
        return;
    }
    section.entries.push(Entry {
        key: key.into(),
        value: value.into(),
        line,
    });
}

fn error_in(document: &Document, line: u32, kind: SettingsErrorKind) -> SettingsError {
    let section = document.sections.last();
    SettingsError {
        file: document.file.clone(),
        line,
        section: section.map_or("".into(), |section| section.name.clone()),
        key: None,
        value: None,
        kind,
    }
}

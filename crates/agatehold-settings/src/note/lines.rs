//! The line numbers of a note's entities, which locate errors in its text.

use agatehold_core::note::ApplyError;
use agatehold_core::note::EntityRef;
use agatehold_core::table::Table;

use crate::document::Section;
use crate::error::SettingsError;
use crate::error::SettingsErrorKind;

/// The line numbers of one entity in the text of a note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntityLines {
    /// The line of the section header.
    pub line: u32,
    /// Each key with its value and its line.
    pub keys: Vec<(Box<str>, Box<str>, u32)>,
}

/// The line numbers of all entities in the text of a note.
#[derive(Clone, Debug, PartialEq)]
pub struct NoteLines {
    /// The name of the file.
    pub file: Box<str>,
    /// The line numbers by entity.
    pub entities: Table<EntityRef, EntityLines>,
}

impl NoteLines {
    /// Records the lines of `section`, which holds `entity`.
    pub(crate) fn add(&mut self, entity: EntityRef, section: &Section) {
        let mut keys = Vec::new();
        for entry in &section.entries {
            keys.push((entry.key.clone(), entry.value.clone(), entry.line));
        }
        let line = section.line;
        self.entities.insert(entity, EntityLines { line, keys });
    }

    /// Returns `error` with the file and line of its entity and key.
    ///
    /// The line is 0 for an entity that is not in the note, such as a service whose
    /// last target the note withdraws.
    pub fn locate(&self, error: &ApplyError) -> SettingsError {
        let mut located = SettingsError {
            file: self.file.clone(),
            line: 0,
            section: error.entity().to_string().into(),
            key: error.key().map(Box::from),
            value: None,
            kind: SettingsErrorKind::Apply(error.clone()),
        };
        let Some(lines) = self.entities.get(error.entity()) else {
            return located;
        };
        located.line = lines.line;
        for (key, value, line) in &lines.keys {
            if located.key.as_deref() != Some(&**key) {
                continue;
            }
            located.line = *line;
            located.value = Some(value.clone());
        }
        located
    }
}

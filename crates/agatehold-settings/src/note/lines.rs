//! Where the entities of a note stand in its text.

use agatehold_core::note::ApplyError;
use agatehold_core::note::EntityRef;
use agatehold_core::table::Table;

use crate::document::Section;
use crate::fault::Fault;
use crate::fault::SettingsError;

/// Where one entity stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntityLines {
    /// The line of the section.
    pub line: u32,
    /// The keys, their values and their lines.
    pub keys: Vec<(Box<str>, Box<str>, u32)>,
}

/// Where the entities of a note stand.
#[derive(Clone, Debug, PartialEq)]
pub struct NoteLines {
    /// The name of the file.
    pub file: Box<str>,
    /// The entities' places.
    pub entities: Table<EntityRef, EntityLines>,
}

impl NoteLines {
    /// Records where `entity` stands.
    pub(crate) fn add(&mut self, entity: EntityRef, section: &Section) {
        let mut keys = Vec::new();
        for entry in &section.entries {
            keys.push((entry.key.clone(), entry.value.clone(), entry.line));
        }
        let line = section.line;
        self.entities.insert(entity, EntityLines { line, keys });
    }

    /// Returns `error` with the place of its entity and key.
    ///
    /// An entity that the note does not touch, such as a service that loses
    /// its last target, has no line.
    pub fn locate(&self, error: &ApplyError) -> SettingsError {
        let mut located = SettingsError {
            file: self.file.clone(),
            line: 0,
            section: error.entity().to_string().into(),
            key: error.key().map(Box::from),
            value: None,
            fault: Fault::Apply(error.clone()),
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

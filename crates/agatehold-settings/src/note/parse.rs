//! Parsing of release notes.

use std::fmt;
use std::str::FromStr;

use agatehold_core::config::DetectionPolicy;
use agatehold_core::ids::NoteNumber;
use agatehold_core::ids::TenantName;
use agatehold_core::note::EntityRef;
use agatehold_core::note::Note;
use agatehold_core::note::NoteChange;
use agatehold_core::note::PutAction;
use agatehold_core::note::RoutePatch;
use agatehold_core::note::ServicePatch;
use agatehold_core::note::TargetPatch;
use agatehold_core::note::TenantPatch;
use agatehold_core::table::Table;
use agatehold_core::units::Probability;

use crate::document::Document;
use crate::document::Section;
use crate::document::SectionReader;
use crate::document::parse_document;
use crate::error::SettingsError;
use crate::error::SettingsErrorKind;
use crate::error::sort_errors;
use crate::process::parse_author;

use super::NoteLines;

/// The section names that a note may contain, for error messages.
const SECTIONS: &str = "note, service NAME, target NAME, route NAME or tenant NAME";

/// The value that stands for an empty list or an absent restriction.
pub(super) const ANY: &str = "any";

/// A parsed release note, with the line numbers of its entities.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedNote {
    /// The note; its author is empty if the text names none.
    pub note: Note,
    /// The newest note that the author knew when writing this one, if the text names
    /// it.
    pub base: Option<NoteNumber>,
    /// The line numbers of the entities, to locate errors of applying the note.
    pub lines: NoteLines,
}

/// The action of a section on its entity.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Action {
    Put(PutAction),
    Withdraw,
}

impl FromStr for Action {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "add" => Ok(Self::Put(PutAction::Add)),
            "change" => Ok(Self::Put(PutAction::Change)),
            "withdraw" => Ok(Self::Withdraw),
            _ => Err("expected add, change or withdraw"),
        }
    }
}

/// Parses a note from the text of `file`, or returns every error in it.
pub fn parse_note(file: &str, text: &str) -> Result<ParsedNote, Vec<SettingsError>> {
    let mut errors = Vec::new();
    let document = parse_document(file, text, &mut errors);
    let mut parsed = read_note_section(&document, &mut errors);
    for section in &document.sections {
        if &*section.name == "note" {
            continue;
        }
        let Some(change) = read_change(file, section, &mut errors) else {
            continue;
        };
        parsed.lines.add(change.entity(), section);
        parsed.note.changes.push(change);
    }
    if errors.is_empty() {
        return Ok(parsed);
    }
    sort_errors(&mut errors);
    Err(errors)
}

fn read_note_section(document: &Document, errors: &mut Vec<SettingsError>) -> ParsedNote {
    let mut reader = SectionReader::open(document, "note", errors);
    let author = reader.optional("author", parse_author);
    let comment = reader.optional("comment", parse_text);
    let base = reader.optional("base", str::parse);
    reader.report_unknown_keys(None);
    ParsedNote {
        note: Note {
            author: author.unwrap_or_default(),
            comment: comment.unwrap_or_default(),
            changes: Vec::new(),
        },
        base,
        lines: NoteLines {
            file: document.file.clone(),
            entities: Table::new(),
        },
    }
}

fn read_change(
    file: &str,
    section: &Section,
    errors: &mut Vec<SettingsError>,
) -> Option<NoteChange> {
    let entity = match parse_entity(&section.name) {
        Ok(entity) => entity,
        Err(expected) => {
            errors.push(SettingsError {
                file: file.into(),
                line: section.line,
                section: section.name.clone(),
                key: None,
                value: None,
                kind: SettingsErrorKind::UnknownSection(expected),
            });
            return None;
        }
    };
    let errors_before = errors.len();
    let mut reader = SectionReader::from_section(file, section, errors);
    let action = reader.optional("action", str::parse);
    let action = action.unwrap_or(Action::Put(PutAction::Add));
    let change = match action {
        Action::Withdraw => withdraw_change(entity),
        Action::Put(action) => read_put(&mut reader, entity, action),
    };
    reader.report_unknown_keys(None);
    if errors.len() > errors_before {
        return None;
    }
    Some(change)
}

fn parse_entity(section: &str) -> Result<EntityRef, Box<str>> {
    let Some((kind, name)) = section.split_once(' ') else {
        return Err(SECTIONS.into());
    };
    let invalid_name = |error: agatehold_core::ids::ParseIdError| -> Box<str> {
        format!("{kind} NAME; for the name: {error}").into()
    };
    match kind {
        "service" => name.parse().map(EntityRef::Service).map_err(invalid_name),
        "target" => name.parse().map(EntityRef::Target).map_err(invalid_name),
        "route" => name.parse().map(EntityRef::Route).map_err(invalid_name),
        "tenant" => name.parse().map(EntityRef::Tenant).map_err(invalid_name),
        _ => Err(SECTIONS.into()),
    }
}

fn withdraw_change(entity: EntityRef) -> NoteChange {
    match entity {
        EntityRef::Service(name) => NoteChange::WithdrawService(name),
        EntityRef::Target(name) => NoteChange::WithdrawTarget(name),
        EntityRef::Route(name) => NoteChange::WithdrawRoute(name),
        EntityRef::Tenant(name) => NoteChange::WithdrawTenant(name),
    }
}

fn read_put(reader: &mut SectionReader<'_>, entity: EntityRef, action: PutAction) -> NoteChange {
    match entity {
        EntityRef::Service(name) => NoteChange::PutService(name, action, read_service(reader)),
        EntityRef::Target(name) => NoteChange::PutTarget(name, action, read_target(reader)),
        EntityRef::Route(name) => NoteChange::PutRoute(name, action, read_route(reader)),
        EntityRef::Tenant(name) => NoteChange::PutTenant(name, action, read_tenant(reader)),
    }
}

fn read_service(reader: &mut SectionReader<'_>) -> ServicePatch {
    ServicePatch {
        floor: reader.optional("floor", str::parse),
        class: reader.optional("class", str::parse),
        detection: read_detection(reader),
        queue_limit: reader.optional("queue_limit", parse_count),
        queue_wait_ms: reader.optional("queue_wait_ms", str::parse),
        timeout_ms: reader.optional("timeout_ms", str::parse),
        retry_budget: reader.optional("retry_budget_percent", str::parse),
        when_isolated: reader.optional("when_isolated", str::parse),
    }
}

/// Reads the detection policy: either a profile or both error rates.
fn read_detection(reader: &mut SectionReader<'_>) -> Option<DetectionPolicy> {
    let profile: Option<DetectionPolicy> = reader.optional("profile", str::parse);
    let parse_rate = |text: &str| -> Result<Probability, String> {
        if profile.is_some() {
            return Err("expected either profile, or max_false_ejection and max_missed".to_owned());
        }
        text.parse::<Probability>()
            .map_err(|error| error.to_string())
    };
    let false_ejection_given = reader.has("max_false_ejection");
    let missed_given = reader.has("max_missed");
    if !false_ejection_given && !missed_given {
        return profile;
    }
    let max_false_ejection = reader.required("max_false_ejection", parse_rate);
    let max_missed = reader.required("max_missed", parse_rate);
    Some(DetectionPolicy {
        max_false_ejection: max_false_ejection?,
        max_missed: max_missed?,
    })
}

fn read_target(reader: &mut SectionReader<'_>) -> TargetPatch {
    TargetPatch {
        service: reader.optional("service", str::parse),
        address: reader.optional("address", |text| {
            text.parse().map_err(|_| "expected IP:port")
        }),
        failure_domain: reader.optional("failure_domain", str::parse),
        slots: reader.optional("slots", str::parse),
        max_connections: reader.optional("max_connections", parse_count),
        state: reader.optional("state", str::parse),
    }
}

fn read_route(reader: &mut SectionReader<'_>) -> RoutePatch {
    RoutePatch {
        service: reader.optional("service", str::parse),
        path_prefix: reader.optional("path_prefix", parse_text),
        host: reader.optional("host", parse_host),
        methods: reader.optional("methods", |text| parse_list(text, parse_method)),
        idempotence: reader.optional("idempotent", str::parse),
        require_key: reader.optional("require_key", parse_yes_no),
        tenants: reader.optional("tenants", |text| {
            parse_list(text, |name| {
                name.parse::<TenantName>()
                    .map_err(|error| error.to_string())
            })
        }),
    }
}

fn read_tenant(reader: &mut SectionReader<'_>) -> TenantPatch {
    TenantPatch {
        class: reader.optional("class", str::parse),
        rate_per_s: reader.optional("rate_per_s", str::parse),
        burst: reader.optional("burst", parse_count),
    }
}

fn parse_text(text: &str) -> Result<Box<str>, fmt::Error> {
    Ok(text.into())
}

fn parse_count(text: &str) -> Result<u32, &'static str> {
    match text.parse() {
        Ok(count) if count > 0 => Ok(count),
        _ => Err("expected a whole number of at least 1"),
    }
}

fn parse_yes_no(text: &str) -> Result<bool, &'static str> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err("expected yes or no"),
    }
}

/// Parses a host name; `any` gives an empty name, which stands for any host.
fn parse_host(text: &str) -> Result<Box<str>, &'static str> {
    if text == ANY {
        return Ok("".into());
    }
    let valid = text
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-._:[]".contains(&b));
    if text.is_empty() || !valid {
        return Err("expected any or a host name in lower case");
    }
    Ok(text.into())
}

fn parse_method(text: &str) -> Result<Box<str>, String> {
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_uppercase() || b == b'-') {
        return Err("expected any or methods in upper case".to_owned());
    }
    Ok(text.into())
}

/// Parses `any`, which gives an empty list, or values separated by commas without
/// duplicates.
fn parse_list<T: PartialEq>(
    text: &str,
    parse: impl Fn(&str) -> Result<T, String>,
) -> Result<Vec<T>, String> {
    let mut values = Vec::new();
    if text == ANY {
        return Ok(values);
    }
    for part in text.split(',') {
        let part = part.trim();
        let value = parse(part)?;
        if values.contains(&value) {
            return Err(format!("expected each value once, but {part} is repeated"));
        }
        values.push(value);
    }
    Ok(values)
}

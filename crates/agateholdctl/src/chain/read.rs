//! Reads the head, notes and configuration.

use agatehold_core::config::ConfigTables;
use agatehold_core::config::config_digest;
use agatehold_core::ids::NoteNumber;
use agatehold_core::note;
use agatehold_core::note::ChainWalk;
use agatehold_core::note::HeadRecord;
use agatehold_core::note::Note;
use agatehold_core::note::StoredNote;
use agatehold_core::note::WalkStep;
use agatehold_core::note::latest_snapshot_number;
use agatehold_core::note::previous_snapshot_number;
use agatehold_core::note::release::HeadVersion;
use agatehold_settings::note::parse_note;
use agatehold_wire::platform::PlatformAnswer;
use agatehold_wire::platform::PlatformRequest;
use agatehold_wire::platform::decode_head;
use agatehold_wire::platform::decode_note;
use agatehold_wire::platform::head_key;
use agatehold_wire::platform::note_key;
use agatehold_wire::platform::note_prefix;
use agatehold_wire::platform::parse_note_key;

use crate::client::PlatformClient;

use super::snapshot::listed_snapshots;
use super::snapshot::read_snapshot;

/// A note of the chain.
#[derive(Clone, Debug)]
pub(crate) struct ReadNote {
    /// The stored form of the note.
    pub(crate) stored: StoredNote,
    /// The parsed note.
    pub(crate) note: Note,
}

/// The configuration at a head and the notes before it.
#[derive(Clone, Debug)]
pub(crate) struct ChainView {
    /// The configuration.
    pub(crate) config: ConfigTables,
    /// Consecutive notes up to the head, oldest first.
    pub(crate) notes: Vec<ReadNote>,
}

/// Reads the head; a missing head has version 0.
pub(crate) fn read_head(client: &PlatformClient) -> Result<(HeadVersion, HeadRecord), String> {
    match client.read(&PlatformRequest::Get { key: head_key() })? {
        PlatformAnswer::Missing => Ok((HeadVersion(0), HeadRecord::default())),
        PlatformAnswer::Value { version, value } => {
            let record = decode_head(&value).map_err(|fault| fault.to_string())?;
            let record = HeadRecord {
                head: record.head,
                id: record.id,
                config: record.config,
            };
            Ok((HeadVersion(version.0), record))
        }
        other => Err(format!("unexpected answer to a read: {other:?}")),
    }
}

/// Reads the configuration at `record` and the notes before it.
///
/// Reading fails unless all notes after `needed` are available. Older notes, down
/// to the one after `wanted`, are included as far as the platform still has them.
///
/// The configuration comes from the newest complete snapshot and the notes
/// after it. Its digest is compared with `record`, so that an incomplete or
/// altered snapshot is never used.
pub(crate) fn read_chain(
    client: &PlatformClient,
    record: &HeadRecord,
    needed: NoteNumber,
    wanted: NoteNumber,
) -> Result<ChainView, String> {
    let mut walk = ChainWalk::new(record, needed);
    follow(client, &mut walk)?;
    let (start, mut config) = read_start_config(client, record, &mut walk)?;
    walk.extend(wanted);
    // Older notes are optional; the platform may no longer have them.
    let _ = follow(client, &mut walk);
    let mut notes = Vec::new();
    for stored in walk.notes().iter().rev() {
        let note = parse_stored(stored)?;
        if stored.header.number > start {
            note::replay(&mut config, &note).map_err(|errors| {
                format!("note {} can't be applied: {errors:?}", stored.header.number)
            })?;
        }
        notes.push(ReadNote {
            stored: stored.clone(),
            note,
        });
    }
    if record.head.number > NoteNumber(0) && config_digest(&config) != record.config {
        let number = record.head.number;
        return Err(format!(
            "the configuration computed for note {number} does not match its recorded hash"
        ));
    }
    Ok(ChainView { config, notes })
}

/// Reads the notes from `record` back to the one after `stop`, newest first.
pub(crate) fn read_notes(
    client: &PlatformClient,
    record: &HeadRecord,
    stop: NoteNumber,
) -> Result<Vec<StoredNote>, String> {
    let mut walk = ChainWalk::new(record, stop);
    follow(client, &mut walk)?;
    Ok(walk.notes().to_vec())
}

/// Parses the text of a stored note.
fn parse_stored(stored: &StoredNote) -> Result<Note, String> {
    let file = format!("note {}", stored.header.number);
    let parsed = parse_note(&file, &stored.text);
    parsed.map(|parsed| parsed.note).map_err(|errors| {
        let first = errors.first().map(|error| error.to_string());
        first.unwrap_or(file)
    })
}

/// Makes the platform calls that the walk requests, until it is done.
fn follow(client: &PlatformClient, walk: &mut ChainWalk) -> Result<(), String> {
    loop {
        match walk.step() {
            WalkStep::Done => return Ok(()),
            WalkStep::Broken(number) => {
                return Err(format!("the platform has no body of note {number}"));
            }
            WalkStep::ReadBody(number, id) => {
                let key = note_key(number, id);
                walk.on_body_read(read_body(client, &PlatformRequest::Get { key })?);
            }
            WalkStep::ListBodies(number) => {
                let prefix = note_prefix(number);
                let answer = client.read(&PlatformRequest::ListKeys { prefix })?;
                let PlatformAnswer::Keys(keys) = answer else {
                    return Err(format!("unexpected answer to a listing: {answer:?}"));
                };
                let ids = keys.iter().filter_map(|(key, _)| parse_note_key(key));
                walk.on_bodies_listed(ids.map(|(_, id)| id).collect());
            }
        }
    }
}

/// Reads the body of a note; `None` if it does not exist.
pub(crate) fn read_body(
    client: &PlatformClient,
    request: &PlatformRequest,
) -> Result<Option<StoredNote>, String> {
    match client.read(request)? {
        PlatformAnswer::Missing => Ok(None),
        PlatformAnswer::Value { value, .. } => {
            let record = decode_note(&value).map_err(|fault| fault.to_string())?;
            Ok(Some(StoredNote {
                header: record.header,
                text: record.text,
            }))
        }
        other => Err(format!("unexpected answer to a read: {other:?}")),
    }
}

/// Returns the number and configuration of the newest usable snapshot, and
/// extends the walk back to it. Without a snapshot, this is number 0 and an empty
/// configuration.
fn read_start_config(
    client: &PlatformClient,
    record: &HeadRecord,
    walk: &mut ChainWalk,
) -> Result<(NoteNumber, ConfigTables), String> {
    let mut number = latest_snapshot_number(record.head.number);
    loop {
        walk.extend(NoteNumber(number.0.saturating_sub(1)));
        if let Err(detail) = follow(client, walk) {
            return find_listed_snapshot(client, record, walk).ok_or(detail);
        }
        if number == NoteNumber(0) {
            return Ok((number, ConfigTables::default()));
        }
        if let Some(config) = checked_snapshot(client, record, walk, number) {
            return Ok((number, config));
        }
        number = previous_snapshot_number(number);
    }
}

/// Looks for a usable snapshot under any number, because a daemon that brings a
/// restored platform up to date writes one for its current head.
fn find_listed_snapshot(
    client: &PlatformClient,
    record: &HeadRecord,
    walk: &ChainWalk,
) -> Option<(NoteNumber, ConfigTables)> {
    for number in listed_snapshots(client).ok()?.into_iter().rev() {
        if let Some(config) = checked_snapshot(client, record, walk, number) {
            return Some((number, config));
        }
    }
    None
}

/// Reads a snapshot; `None` if it is missing or does not match the configuration
/// hash of its note.
fn checked_snapshot(
    client: &PlatformClient,
    record: &HeadRecord,
    walk: &ChainWalk,
    number: NoteNumber,
) -> Option<ConfigTables> {
    let notes = walk.notes().iter();
    let header = notes
        .map(|note| &note.header)
        .find(|header| header.number == number);
    let wanted = match header {
        Some(header) => header.config,
        None if number == record.head.number => record.config,
        None => return None,
    };
    let config = read_snapshot(client, number)?;
    (config_digest(&config) == wanted).then_some(config)
}

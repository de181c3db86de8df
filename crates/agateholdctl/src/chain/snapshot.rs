//! Reads and writes snapshots.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use agatehold_core::config::ConfigTables;
use agatehold_core::ids::NoteNumber;
use agatehold_core::note;
use agatehold_core::note::HeadRecord;
use agatehold_core::note::latest_snapshot_number;
use agatehold_core::replication::split_chunks;
use agatehold_settings::note::parse_note;
use agatehold_settings::note::snapshot_note;
use agatehold_settings::note::write_note;
use agatehold_wire::platform::KeyPrefix;
use agatehold_wire::platform::PlatformAnswer;
use agatehold_wire::platform::PlatformCodecError;
use agatehold_wire::platform::PlatformKey;
use agatehold_wire::platform::PlatformRequest;
use agatehold_wire::platform::snapshot_key;
use agatehold_wire::platform::snapshot_prefix;

use crate::client::CallOutcome;
use crate::client::PlatformClient;

use super::read::read_chain;
use super::read::read_notes;

/// The author stored in snapshots. Daemons use the same author when they bring a
/// restored platform up to date, so that all writers of a snapshot write identical
/// chunks.
const SNAPSHOT_AUTHOR: &str = "agatehold";

/// The prefix of the keys of all snapshots.
const SNAPSHOTS_PREFIX: &str = "notes/snapshot/";

/// Writes the newest snapshot due at or before `record`, unless it exists.
/// Returns its number if it was written.
///
/// Chunks are written from last to first, so that the first chunk only exists once
/// the snapshot is complete.
pub(crate) fn ensure_snapshot(
    client: &PlatformClient,
    record: &HeadRecord,
) -> Result<Option<NoteNumber>, String> {
    let due = latest_snapshot_number(record.head.number);
    if due == NoteNumber(0) || chunk_keys(client, due)?.contains_key(&0) {
        return Ok(None);
    }
    let notes = read_notes(client, record, NoteNumber(due.0 - 1))?;
    let Some(oldest) = notes.last() else {
        return Ok(None);
    };
    let view = read_chain(client, &oldest.header.record(), due, due)?;
    let snapshot = snapshot_note(&view.config, SNAPSHOT_AUTHOR, due);
    let text = write_note(&snapshot, None);
    for (index, chunk) in split_chunks(&text).into_iter().enumerate().rev() {
        let index = u32::try_from(index).map_err(|error| error.to_string())?;
        let request = PlatformRequest::Create {
            key: snapshot_key(due, index),
            value: chunk.as_bytes().to_vec(),
            lease: None,
        };
        match client.call(&request) {
            CallOutcome::Answered(_) => {}
            CallOutcome::Lost(detail) | CallOutcome::NotSent(detail) => return Err(detail),
        }
    }
    Ok(Some(due))
}

/// Reads the snapshot of note `number`; `None` if it can't be read, is missing or
/// is malformed.
pub(super) fn read_snapshot(client: &PlatformClient, number: NoteNumber) -> Option<ConfigTables> {
    let keys = chunk_keys(client, number).ok()?;
    let mut text = String::new();
    for (expected, (index, key)) in (0..).zip(keys) {
        if index != expected {
            return None;
        }
        let answer = client.read(&PlatformRequest::Get { key }).ok()?;
        let PlatformAnswer::Value { value, .. } = answer else {
            return None;
        };
        text.push_str(&String::from_utf8(value).ok()?);
    }
    if text.is_empty() {
        return None;
    }
    let parsed = parse_note("snapshot", &text).ok()?;
    note::apply(&ConfigTables::default(), &parsed.note).ok()
}

/// Returns the numbers of the notes for which the platform has snapshot chunks.
pub(super) fn listed_snapshots(client: &PlatformClient) -> Result<BTreeSet<NoteNumber>, String> {
    let prefix = SNAPSHOTS_PREFIX
        .parse()
        .map_err(|fault: PlatformCodecError| fault.to_string())?;
    let mut numbers = BTreeSet::new();
    for key in keys_under(client, prefix)? {
        let Some(rest) = key.as_str().strip_prefix(SNAPSHOTS_PREFIX) else {
            continue;
        };
        if let Some((number, _)) = rest.split_once('/')
            && let Ok(number) = number.parse()
        {
            numbers.insert(number);
        }
    }
    Ok(numbers)
}

fn chunk_keys(
    client: &PlatformClient,
    number: NoteNumber,
) -> Result<BTreeMap<u32, PlatformKey>, String> {
    let prefix = snapshot_prefix(number);
    let mut chunks = BTreeMap::new();
    for key in keys_under(client, prefix.clone())? {
        let rest = key.as_str().strip_prefix(prefix.as_str());
        if let Some(Ok(index)) = rest.map(str::parse) {
            chunks.insert(index, key);
        }
    }
    Ok(chunks)
}

fn keys_under(client: &PlatformClient, prefix: KeyPrefix) -> Result<Vec<PlatformKey>, String> {
    match client.read(&PlatformRequest::ListKeys { prefix })? {
        PlatformAnswer::Keys(keys) => Ok(keys.into_iter().map(|(key, _)| key).collect()),
        other => Err(format!("unexpected answer to a listing: {other:?}")),
    }
}

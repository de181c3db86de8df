//! Reads and writes release notes in the platform.

use agatehold_core::ids::Digest;
use agatehold_core::ids::NoteNumber;
use agatehold_core::note::HeadRecord;
use agatehold_core::note::NoteHeader;
use agatehold_core::spread::NoteRecord;
use agatehold_core::spread::NotesAnswer;
use agatehold_core::spread::Snapshot;
use agatehold_core::spread::SnapshotChunk;
use agatehold_core::spread::WriteBack;
use agatehold_core::spread::split_chunks;
use agatehold_wire::platform::PlatformAnswer;
use agatehold_wire::platform::PlatformKey;
use agatehold_wire::platform::PlatformRequest;
use agatehold_wire::platform::decode_head;
use agatehold_wire::platform::decode_note;
use agatehold_wire::platform::encode_head;
use agatehold_wire::platform::encode_note;
use agatehold_wire::platform::head_key;
use agatehold_wire::platform::note_key;
use agatehold_wire::platform::note_prefix;
use agatehold_wire::platform::snapshot_key;
use agatehold_wire::platform::snapshot_prefix;

use super::call::PlatformCaller;

/// Snapshots are written with every note whose number this divides.
const SNAPSHOT_PERIOD: u64 = 32;

/// The notes that are read one by one; a daemon that is further behind asks
/// again after these have taken effect.
const NOTES_MAX: u64 = 256;

/// Reads the notes after `after`, with a snapshot for a daemon that has none.
pub(super) fn read_notes(caller: &PlatformCaller, after: NoteNumber) -> Option<NotesAnswer> {
    let head = read_head_record(caller)?;
    let mut answer = NotesAnswer::default();
    let mut from = after;
    let snapshot_at = NoteNumber(head.head.number.0 / SNAPSHOT_PERIOD * SNAPSHOT_PERIOD);
    let mut wanted = head.head.hash;
    let mut number = head.head.number;
    let use_snapshot = after == NoteNumber(0) && snapshot_at > NoteNumber(0);
    if use_snapshot {
        from = snapshot_at;
    }
    if number.0.saturating_sub(from.0) > NOTES_MAX {
        return None;
    }
    // The chain is read backwards, since only the hash in a header tells the
    // accepted note from others that were written under the same number.
    while number > from {
        let record = read_note(caller, number, wanted)?;
        wanted = record.header.prev;
        answer.records.push(record);
        number = NoteNumber(number.0 - 1);
    }
    answer.records.reverse();
    if use_snapshot {
        let header = read_note(caller, snapshot_at, wanted)?.header;
        answer.chunk = Some(read_snapshot(caller, header)?);
    }
    Some(answer)
}

fn read_head_record(caller: &PlatformCaller) -> Option<HeadRecord> {
    match caller.call(&PlatformRequest::Get { key: head_key() })? {
        PlatformAnswer::Value { value, .. } => decode_head(&value).ok(),
        _ => None,
    }
}

/// Reads the note whose header has the hash `wanted`.
fn read_note(caller: &PlatformCaller, number: NoteNumber, wanted: Digest) -> Option<NoteRecord> {
    let request = PlatformRequest::ListKeys {
        prefix: note_prefix(number),
    };
    let PlatformAnswer::Keys(keys) = caller.call(&request)? else {
        return None;
    };
    for (key, _) in keys {
        let PlatformAnswer::Value { value, .. } = caller.call(&PlatformRequest::Get { key })?
        else {
            continue;
        };
        let Ok(note) = decode_note(&value) else {
            continue;
        };
        if note.header.hash() == wanted {
            return Some(NoteRecord {
                header: note.header,
                body: note.text,
            });
        }
    }
    None
}

fn read_snapshot(caller: &PlatformCaller, header: NoteHeader) -> Option<SnapshotChunk> {
    let request = PlatformRequest::ListKeys {
        prefix: snapshot_prefix(header.number),
    };
    let PlatformAnswer::Keys(keys) = caller.call(&request)? else {
        return None;
    };
    let mut text = String::new();
    for chunk in 0..keys.len() {
        let chunk = u32::try_from(chunk).ok()?;
        let key = snapshot_key(header.number, chunk);
        let PlatformAnswer::Value { value, .. } = caller.call(&PlatformRequest::Get { key })?
        else {
            return None;
        };
        text.push_str(std::str::from_utf8(&value).ok()?);
    }
    Some(SnapshotChunk {
        header,
        index: 0,
        count: 1,
        text: text.into(),
    })
}

/// Writes what a platform lacks that was restored to an older state. The head
/// comes last and only replaces the one that was read.
pub(super) fn write_back(caller: &PlatformCaller, write_back: &WriteBack) -> Option<()> {
    let answer = caller.call(&PlatformRequest::Get { key: head_key() })?;
    let (version, found) = super::decode_head_answer(answer)?;
    if found != write_back.expected {
        return None;
    }
    for record in &write_back.records {
        write_note(caller, record)?;
    }
    if let Some(snapshot) = &write_back.snapshot {
        write_snapshot(caller, snapshot)?;
    }
    let last = write_back.records.last()?;
    let value = encode_head(&HeadRecord {
        head: write_back.head,
        id: last.header.id,
        config: last.header.config,
    })
    .ok()?;
    let key = head_key();
    let request = match version.0 {
        0 => PlatformRequest::Create {
            key,
            value,
            lease: None,
        },
        _ => PlatformRequest::CompareAndSwap {
            key,
            version,
            value,
            lease: None,
        },
    };
    caller.call(&request)?;
    Some(())
}

fn write_note(caller: &PlatformCaller, record: &NoteRecord) -> Option<()> {
    let note = agatehold_core::note::StoredNote {
        header: record.header.clone(),
        text: record.body.clone(),
    };
    let key = note_key(note.header.number, note.header.id);
    create(caller, key, encode_note(&note).ok()?)
}

fn write_snapshot(caller: &PlatformCaller, snapshot: &Snapshot) -> Option<()> {
    for (chunk, text) in split_chunks(&snapshot.text).into_iter().enumerate() {
        let key = snapshot_key(snapshot.header.number, u32::try_from(chunk).ok()?);
        create(caller, key, text.as_bytes().to_vec())?;
    }
    Some(())
}

/// Writes an immutable value; one that exists already is the same.
fn create(caller: &PlatformCaller, key: PlatformKey, value: Vec<u8>) -> Option<()> {
    let request = PlatformRequest::Create {
        key,
        value,
        lease: None,
    };
    match caller.call(&request)? {
        PlatformAnswer::Stored { .. } | PlatformAnswer::Conflict { .. } => Some(()),
        _ => None,
    }
}

//! Reads and writes release notes in the platform.

use agatehold_core::config::ConfigTables;
use agatehold_core::config::config_digest;
use agatehold_core::ids::NoteNumber;
use agatehold_core::note::ChainWalk;
use agatehold_core::note::HeadRecord;
use agatehold_core::note::NoteHeader;
use agatehold_core::note::StoredNote;
use agatehold_core::note::WalkStep;
use agatehold_core::note::apply;
use agatehold_core::note::latest_snapshot_number;
use agatehold_core::note::previous_snapshot_number;
use agatehold_core::replication::NotesAnswer;
use agatehold_core::replication::Snapshot;
use agatehold_core::replication::SnapshotChunk;
use agatehold_core::replication::WriteBack;
use agatehold_core::replication::split_chunks;
use agatehold_settings::note::parse_note;
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
use agatehold_wire::platform::parse_note_key;
use agatehold_wire::platform::snapshot_key;
use agatehold_wire::platform::snapshot_prefix;

use super::call::PlatformClient;

/// The maximum number of notes that a daemon with a configuration reads to
/// catch up. A daemon that is further behind fetches a snapshot from its peers.
const CATCH_UP_NOTES_MAX: u64 = 1_024;

/// Reads the notes after `after`. For a daemon without a configuration, the
/// answer starts with the newest usable snapshot, if there is one.
pub(super) fn read_notes(client: &PlatformClient, after: NoteNumber) -> Option<NotesAnswer> {
    let record = read_head_record(client)?;
    let head = record.head.number;
    let mut walk = ChainWalk::new(&record, head);
    if after > NoteNumber(0) {
        if head.0.saturating_sub(after.0) > CATCH_UP_NOTES_MAX {
            return None;
        }
        walk.extend(after);
        complete_walk(client, &mut walk)?;
        return Some(build_notes_answer(&walk, None));
    }
    // A snapshot may be missing or incomplete, since its writer may have failed
    // after the note was accepted. The previous snapshot is used then.
    let mut snapshot_number = latest_snapshot_number(head);
    while snapshot_number > NoteNumber(0) {
        walk.extend(NoteNumber(snapshot_number.0 - 1));
        complete_walk(client, &mut walk)?;
        let header = walk.notes().last()?.header.clone();
        if let Some(chunk) = read_snapshot(client, header) {
            return Some(build_notes_answer(&walk, Some(chunk)));
        }
        snapshot_number = previous_snapshot_number(snapshot_number);
    }
    walk.extend(NoteNumber(0));
    complete_walk(client, &mut walk)?;
    Some(build_notes_answer(&walk, None))
}

/// Builds the answer from the notes that were read. Notes that are included in
/// the snapshot are left out.
fn build_notes_answer(walk: &ChainWalk, chunk: Option<SnapshotChunk>) -> NotesAnswer {
    let included_up_to = chunk
        .as_ref()
        .map_or(NoteNumber(0), |chunk| chunk.header.number);
    let mut answer = NotesAnswer {
        chunk,
        ..NotesAnswer::default()
    };
    for note in walk.notes().iter().rev() {
        if note.header.number > included_up_to {
            answer.records.push(note.clone());
        }
    }
    answer
}

fn read_head_record(client: &PlatformClient) -> Option<HeadRecord> {
    match client.call(&PlatformRequest::Get { key: head_key() })? {
        PlatformAnswer::Value { value, .. } => decode_head(&value).ok(),
        _ => None,
    }
}

/// Reads notes until the walk along the chain is complete; `None` if a call
/// fails or the chain is broken.
fn complete_walk(client: &PlatformClient, walk: &mut ChainWalk) -> Option<()> {
    loop {
        match walk.step() {
            WalkStep::Done => return Some(()),
            WalkStep::Broken(_) => return None,
            WalkStep::ReadBody(number, id) => {
                let key = note_key(number, id);
                let found = match client.call(&PlatformRequest::Get { key })? {
                    PlatformAnswer::Value { value, .. } => decode_note(&value).ok(),
                    _ => None,
                };
                walk.on_body_read(found);
            }
            WalkStep::ListBodies(number) => {
                let prefix = note_prefix(number);
                let PlatformAnswer::Keys(keys) =
                    client.call(&PlatformRequest::ListKeys { prefix })?
                else {
                    return None;
                };
                let ids = keys.iter().filter_map(|(key, _)| parse_note_key(key));
                walk.on_bodies_listed(ids.map(|(_, id)| id).collect());
            }
        }
    }
}

/// Reads the snapshot of a note; `None` if it is missing, incomplete or does
/// not have the configuration digest in the note's header.
fn read_snapshot(client: &PlatformClient, header: NoteHeader) -> Option<SnapshotChunk> {
    let request = PlatformRequest::ListKeys {
        prefix: snapshot_prefix(header.number),
    };
    let PlatformAnswer::Keys(keys) = client.call(&request)? else {
        return None;
    };
    let mut text = String::new();
    for chunk in 0..keys.len() {
        let chunk = u32::try_from(chunk).ok()?;
        let key = snapshot_key(header.number, chunk);
        let PlatformAnswer::Value { value, .. } = client.call(&PlatformRequest::Get { key })?
        else {
            return None;
        };
        text.push_str(std::str::from_utf8(&value).ok()?);
    }
    let note = parse_note("snapshot", &text).ok()?.note;
    let config = apply(&ConfigTables::default(), &note).ok()?;
    if config_digest(&config) != header.config {
        return None;
    }
    Some(SnapshotChunk {
        header,
        index: 0,
        count: 1,
        text: text.into(),
    })
}

/// Writes the notes and the snapshot that the platform lacks after it was
/// restored to an older state. The head is written last, and only if it has not
/// changed since it was read.
pub(super) fn write_back(client: &PlatformClient, write_back: &WriteBack) -> Option<()> {
    let answer = client.call(&PlatformRequest::Get { key: head_key() })?;
    let (version, current_head) = super::decode_head_answer(answer)?;
    if current_head != write_back.expected {
        return None;
    }
    for record in &write_back.records {
        write_note(client, record)?;
    }
    if let Some(snapshot) = &write_back.snapshot {
        write_snapshot(client, snapshot)?;
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
    match client.call(&request)? {
        PlatformAnswer::Stored { .. } => Some(()),
        // Another daemon or an operator has changed the head since it was read.
        _ => None,
    }
}

fn write_note(client: &PlatformClient, note: &StoredNote) -> Option<()> {
    let key = note_key(note.header.number, note.header.id);
    create_if_missing(client, key, encode_note(note).ok()?)
}

fn write_snapshot(client: &PlatformClient, snapshot: &Snapshot) -> Option<()> {
    // The chunks are written in reverse order, so that the first chunk exists
    // only if all others do.
    for (chunk, text) in split_chunks(&snapshot.text).into_iter().enumerate().rev() {
        let key = snapshot_key(snapshot.header.number, u32::try_from(chunk).ok()?);
        create_if_missing(client, key, text.as_bytes().to_vec())?;
    }
    Some(())
}

/// Writes an immutable value. A value that exists already is taken to be the
/// same one.
fn create_if_missing(client: &PlatformClient, key: PlatformKey, value: Vec<u8>) -> Option<()> {
    let request = PlatformRequest::Create {
        key,
        value,
        lease: None,
    };
    match client.call(&request)? {
        PlatformAnswer::Stored { .. } | PlatformAnswer::Conflict { .. } => Some(()),
        _ => None,
    }
}

//! The platform's records of notes, of the head and of claims, as JSON, and their
//! keys.
//!
//! A claim records which daemon process runs the requests with an idempotency key.

use serde::Deserialize;
use serde::Serialize;

use agatehold_core::idempotency::ClaimNonce;
use agatehold_core::idempotency::ClaimRecord;
use agatehold_core::idempotency::KeyOwner;
use agatehold_core::ids::Digest;
use agatehold_core::ids::HostId;
use agatehold_core::ids::Incarnation;
use agatehold_core::ids::NoteId;
use agatehold_core::ids::NoteNumber;
use agatehold_core::ids::TenantName;
use agatehold_core::note::HeadRecord;
use agatehold_core::note::StoredNote;

use crate::json::HeadJson;
use crate::json::NoteJson;
use crate::json::text;

use super::KeyPrefix;
use super::PlatformCodecError;
use super::PlatformKey;

#[derive(Serialize, Deserialize)]
struct ClaimJson {
    #[serde(with = "text")]
    owner: HostId,
    #[serde(with = "text")]
    incarnation: Incarnation,
    nonce: u64,
}

/// Returns the key of the head, which identifies the newest note.
pub fn head_key() -> PlatformKey {
    PlatformKey::new_unchecked("notes/head".to_owned())
}

/// Returns the key of a note.
pub fn note_key(number: NoteNumber, id: NoteId) -> PlatformKey {
    PlatformKey::new_unchecked(format!("notes/body/{number}-{id}"))
}

/// Returns the prefix of the keys of all notes written under `number`, including
/// those that never became the head.
pub fn note_prefix(number: NoteNumber) -> KeyPrefix {
    KeyPrefix::new_unchecked(format!("notes/body/{number}-"))
}

/// Parses the number and id from the key of a note; returns `None` for another key.
pub fn parse_note_key(key: &PlatformKey) -> Option<(NoteNumber, NoteId)> {
    let rest = key.as_str().strip_prefix("notes/body/")?;
    let (number, id) = rest.split_once('-')?;
    Some((number.parse().ok()?, id.parse().ok()?))
}

/// Returns the key of one chunk of the snapshot at `number`.
pub fn snapshot_key(number: NoteNumber, chunk: u32) -> PlatformKey {
    PlatformKey::new_unchecked(format!("notes/snapshot/{number}/{chunk}"))
}

/// Returns the prefix of the keys of all chunks of the snapshot at `number`.
pub fn snapshot_prefix(number: NoteNumber) -> KeyPrefix {
    KeyPrefix::new_unchecked(format!("notes/snapshot/{number}/"))
}

/// Returns the key of the claim record for an idempotency key of a tenant.
pub fn claim_key(tenant: &TenantName, idempotency_key: &str) -> PlatformKey {
    let parts = [tenant.as_str().as_bytes(), idempotency_key.as_bytes()];
    PlatformKey::new_unchecked(format!("claims/{}", Digest::of_parts(&parts)))
}

/// Decodes the value of `notes/head`.
pub fn decode_head(bytes: &[u8]) -> Result<HeadRecord, PlatformCodecError> {
    let json: HeadJson = from_json(bytes, "the head of the notes")?;
    Ok(json.into())
}

/// Encodes the value of `notes/head`.
pub fn encode_head(record: &HeadRecord) -> Result<Vec<u8>, PlatformCodecError> {
    to_json(&HeadJson::from(*record))
}

/// Decodes a note and checks that its text matches the hash in its header.
pub fn decode_note(bytes: &[u8]) -> Result<StoredNote, PlatformCodecError> {
    let json: NoteJson = from_json(bytes, "a note")?;
    json.into_checked().ok_or_else(|| {
        let detail = "the text does not match the hash in the header";
        PlatformCodecError::Body("a note", detail.into())
    })
}

/// Encodes a note.
pub fn encode_note(note: &StoredNote) -> Result<Vec<u8>, PlatformCodecError> {
    to_json(&NoteJson::from(note))
}

/// Decodes a claim record.
pub fn decode_claim(bytes: &[u8]) -> Result<ClaimRecord, PlatformCodecError> {
    let json: ClaimJson = from_json(bytes, "a claim")?;
    Ok(ClaimRecord {
        owner: KeyOwner {
            host: json.owner,
            incarnation: json.incarnation,
        },
        nonce: ClaimNonce(json.nonce),
    })
}

/// Encodes a claim record.
pub fn encode_claim(record: &ClaimRecord) -> Result<Vec<u8>, PlatformCodecError> {
    to_json(&ClaimJson {
        owner: record.owner.host.clone(),
        incarnation: record.owner.incarnation,
        nonce: record.nonce.0,
    })
}

pub(super) fn from_json<'a, T: Deserialize<'a>>(
    bytes: &'a [u8],
    expected: &'static str,
) -> Result<T, PlatformCodecError> {
    serde_json::from_slice(bytes)
        .map_err(|error| PlatformCodecError::Body(expected, error.to_string().into()))
}

pub(super) fn to_json<T: Serialize>(value: &T) -> Result<Vec<u8>, PlatformCodecError> {
    serde_json::to_vec(value).map_err(|error| PlatformCodecError::Encode(error.to_string().into()))
}

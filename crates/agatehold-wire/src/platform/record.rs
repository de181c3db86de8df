//! The records of notes and claims, in JSON.

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
use agatehold_core::note::Head;
use agatehold_core::note::NoteHeader;

use super::KeyPrefix;
use super::PlatformFault;
use super::PlatformKey;
use super::text;

/// The value of `notes/head`: the newest note.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadRecord {
    /// The number and header hash of the note.
    pub head: Head,
    /// The identifier of the note.
    pub id: NoteId,
    /// The hash of the whole configuration after the note.
    pub config: Digest,
}

/// The value of `notes/body/<number>-<id>`: one note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoteRecord {
    /// The header that the chain binds.
    pub header: NoteHeader,
    /// The note as an INI text; `header.body` is its hash.
    pub text: Box<str>,
}

#[derive(Serialize, Deserialize)]
struct ClaimJson {
    #[serde(with = "text")]
    owner: HostId,
    #[serde(with = "text")]
    incarnation: Incarnation,
    nonce: u64,
}

#[derive(Serialize, Deserialize)]
struct HeadJson {
    number: u64,
    #[serde(with = "text")]
    hash: Digest,
    #[serde(with = "text")]
    id: NoteId,
    #[serde(with = "text")]
    config: Digest,
}

#[derive(Serialize, Deserialize)]
struct NoteJson {
    number: u64,
    #[serde(with = "text")]
    id: NoteId,
    #[serde(with = "text")]
    prev: Digest,
    #[serde(with = "text")]
    body: Digest,
    #[serde(with = "text")]
    config: Digest,
    author: Box<str>,
    text: Box<str>,
}

/// Returns the key of the newest note.
pub fn head_key() -> PlatformKey {
    PlatformKey::known("notes/head".to_owned())
}

/// Returns the key of a note.
pub fn note_key(number: NoteNumber, id: NoteId) -> PlatformKey {
    PlatformKey::known(format!("notes/body/{number}-{id}"))
}

/// Returns the prefix of all notes that were written under `number`, accepted
/// or not.
pub fn note_prefix(number: NoteNumber) -> KeyPrefix {
    KeyPrefix::known(format!("notes/body/{number}-"))
}

/// Reads the number and identifier from the key of a note.
pub fn parse_note_key(key: &PlatformKey) -> Option<(NoteNumber, NoteId)> {
    let rest = key.as_str().strip_prefix("notes/body/")?;
    let (number, id) = rest.split_once('-')?;
    Some((number.parse().ok()?, id.parse().ok()?))
}

/// Returns the key of one chunk of the snapshot at `number`.
pub fn snapshot_key(number: NoteNumber, chunk: u32) -> PlatformKey {
    PlatformKey::known(format!("notes/snapshot/{number}/{chunk}"))
}

/// Returns the prefix of the chunks of the snapshot at `number`.
pub fn snapshot_prefix(number: NoteNumber) -> KeyPrefix {
    KeyPrefix::known(format!("notes/snapshot/{number}/"))
}

/// Returns the key of the claim for an idempotency key of a tenant.
pub fn claim_key(tenant: &TenantName, idempotency_key: &str) -> PlatformKey {
    let parts = [tenant.as_str().as_bytes(), idempotency_key.as_bytes()];
    PlatformKey::known(format!("claims/{}", Digest::of_parts(&parts)))
}

/// Returns the hash of a note's text, as it stands in the header.
pub fn note_body_hash(text: &str) -> Digest {
    Digest::of_parts(&[text.as_bytes()])
}

/// Reads the value of `notes/head`.
pub fn decode_head(bytes: &[u8]) -> Result<HeadRecord, PlatformFault> {
    let json: HeadJson = from_json(bytes, "the head of the notes")?;
    Ok(HeadRecord {
        head: Head {
            number: NoteNumber(json.number),
            hash: json.hash,
        },
        id: json.id,
        config: json.config,
    })
}

/// Writes the value of `notes/head`.
pub fn encode_head(record: &HeadRecord) -> Result<Vec<u8>, PlatformFault> {
    to_json(&HeadJson {
        number: record.head.number.0,
        hash: record.head.hash,
        id: record.id,
        config: record.config,
    })
}

/// Reads a note, and checks that its text has the hash in its header.
pub fn decode_note(bytes: &[u8]) -> Result<NoteRecord, PlatformFault> {
    let json: NoteJson = from_json(bytes, "a note")?;
    if note_body_hash(&json.text) != json.body {
        let detail = "the text does not have the hash in the header";
        return Err(PlatformFault::Body("a note", detail.into()));
    }
    Ok(NoteRecord {
        header: NoteHeader {
            number: NoteNumber(json.number),
            id: json.id,
            prev: json.prev,
            body: json.body,
            config: json.config,
            author: json.author,
        },
        text: json.text,
    })
}

/// Writes a note.
pub fn encode_note(record: &NoteRecord) -> Result<Vec<u8>, PlatformFault> {
    let header = &record.header;
    to_json(&NoteJson {
        number: header.number.0,
        id: header.id,
        prev: header.prev,
        body: header.body,
        config: header.config,
        author: header.author.clone(),
        text: record.text.clone(),
    })
}

/// Reads a claim.
pub fn decode_claim(bytes: &[u8]) -> Result<ClaimRecord, PlatformFault> {
    let json: ClaimJson = from_json(bytes, "a claim")?;
    Ok(ClaimRecord {
        owner: KeyOwner {
            host: json.owner,
            incarnation: json.incarnation,
        },
        nonce: ClaimNonce(json.nonce),
    })
}

/// Writes a claim.
pub fn encode_claim(record: &ClaimRecord) -> Result<Vec<u8>, PlatformFault> {
    to_json(&ClaimJson {
        owner: record.owner.host.clone(),
        incarnation: record.owner.incarnation,
        nonce: record.nonce.0,
    })
}

pub(super) fn from_json<'a, T: Deserialize<'a>>(
    bytes: &'a [u8],
    expected: &'static str,
) -> Result<T, PlatformFault> {
    serde_json::from_slice(bytes)
        .map_err(|error| PlatformFault::Body(expected, error.to_string().into()))
}

pub(super) fn to_json<T: Serialize>(value: &T) -> Result<Vec<u8>, PlatformFault> {
    serde_json::to_vec(value).map_err(|error| PlatformFault::Encode(error.to_string().into()))
}

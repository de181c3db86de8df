//! The platform's record of a service's ejection permits, as JSON.

use serde::Deserialize;
use serde::Serialize;

use agatehold_core::ejection::PermitEntry;
use agatehold_core::ejection::PermitNumber;
use agatehold_core::ejection::PermitRecord;
use agatehold_core::ejection::PermitState;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TargetName;
use agatehold_core::table::Table;
use agatehold_core::units::DurationMs;

use crate::json::text;

use super::KeyPrefix;
use super::PlatformCodecError;
use super::PlatformKey;
use super::record::from_json;
use super::record::to_json;

/// The prefix of the keys of permit records.
const PERMITS_PREFIX: &str = "permits/";

#[derive(Serialize, Deserialize)]
struct RecordJson {
    number: u64,
    entries: Vec<EntryJson>,
}

#[derive(Serialize, Deserialize)]
struct EntryJson {
    #[serde(with = "text")]
    target: TargetName,
    #[serde(with = "text")]
    state: PermitState,
    added: u64,
    since: u64,
    hold_ms: u64,
}

/// Returns the key of a service's permit record.
pub fn permits_key(service: &ServiceName) -> PlatformKey {
    PlatformKey::new_unchecked(format!("{PERMITS_PREFIX}{service}"))
}

/// Returns the prefix of the keys of all permit records.
pub fn permits_prefix() -> KeyPrefix {
    KeyPrefix::new_unchecked(PERMITS_PREFIX.to_owned())
}

/// Parses the service from the key of a permit record; returns `None` for another
/// key.
pub fn parse_permits_key(key: &PlatformKey) -> Option<ServiceName> {
    key.as_str().strip_prefix(PERMITS_PREFIX)?.parse().ok()
}

/// Decodes a permit record from JSON.
pub fn decode_permits(bytes: &[u8]) -> Result<PermitRecord, PlatformCodecError> {
    let json: RecordJson = from_json(bytes, "a permit record")?;
    let mut entries = Table::new();
    for entry in json.entries {
        let row = PermitEntry {
            state: entry.state,
            added: PermitNumber(entry.added),
            since: PermitNumber(entry.since),
            hold_ms: DurationMs(entry.hold_ms),
        };
        entries.insert(entry.target, row);
    }
    Ok(PermitRecord {
        number: PermitNumber(json.number),
        entries,
    })
}

/// Encodes a permit record as JSON.
pub fn encode_permits(record: &PermitRecord) -> Result<Vec<u8>, PlatformCodecError> {
    let mut entries = Vec::with_capacity(record.entries.len());
    for (target, entry) in record.entries.rows() {
        entries.push(EntryJson {
            target: target.clone(),
            state: entry.state,
            added: entry.added.0,
            since: entry.since.0,
            hold_ms: entry.hold_ms.0,
        });
    }
    to_json(&RecordJson {
        number: record.number.0,
        entries,
    })
}

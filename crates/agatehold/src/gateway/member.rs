//! Registration records of daemons in the platform's store: keys and JSON
//! encoding.

use serde::Deserialize;
use serde::Serialize;

use agatehold_core::directory::MemberRecord;
use agatehold_core::ids::FailureDomain;
use agatehold_core::ids::HostId;
use agatehold_core::ids::Incarnation;

/// The prefix of the keys under which daemons register themselves.
pub(crate) const MEMBERS_PREFIX: &str = "agatehold/members/";

#[derive(Serialize, Deserialize)]
struct MemberJson {
    failure_domain: String,
    callers: String,
    news: String,
    evidence: String,
    incarnation: String,
    leaving: bool,
    capacity_millicores: u32,
}

/// Returns the store key of the daemon on `host`.
pub(crate) fn member_key(host: &HostId) -> String {
    format!("{MEMBERS_PREFIX}{host}")
}

/// Returns the host that a store key belongs to; `None` if it is not the key of
/// a daemon.
pub(crate) fn member_host(key: &str) -> Option<HostId> {
    Some(HostId::external(key.strip_prefix(MEMBERS_PREFIX)?))
}

/// Encodes a daemon's record as JSON.
pub(crate) fn encode_member(member: &MemberRecord) -> Vec<u8> {
    let json = MemberJson {
        failure_domain: member.failure_domain.to_string(),
        callers: member.callers.to_string(),
        news: member.news.to_string(),
        evidence: member.evidence.to_string(),
        incarnation: member.incarnation.to_string(),
        leaving: member.leaving,
        capacity_millicores: member.capacity_millicores,
    };
    // Strings, numbers and booleans always serialize to JSON.
    serde_json::to_vec(&json).unwrap_or_default()
}

/// Decodes a daemon's record; `None` if it is malformed.
pub(crate) fn decode_member(bytes: &[u8]) -> Option<MemberRecord> {
    let json: MemberJson = serde_json::from_slice(bytes).ok()?;
    Some(MemberRecord {
        failure_domain: FailureDomain::external(&json.failure_domain),
        callers: json.callers.parse().ok()?,
        news: json.news.parse().ok()?,
        evidence: json.evidence.parse().ok()?,
        incarnation: json.incarnation.parse::<Incarnation>().unwrap_or_default(),
        leaving: json.leaving,
        capacity_millicores: json.capacity_millicores,
    })
}

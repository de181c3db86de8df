//! Claims that daemons record in the platform for keys without a prefix.
//!
//! Such a key names no owner. The daemon whose create of the claim record
//! succeeds becomes the owner.

use std::fmt;
use std::str::FromStr;

use crate::ids::Digest;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ParseIdError;
use crate::ids::TenantName;
use crate::refusal::RefusalKind;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::IdempotencyKey;

/// How long the platform keeps a claim record: 7 days.
pub const CLAIM_RETENTION_MS: DurationMs = DurationMs(7 * 24 * 60 * 60 * 1_000);

/// The maximum number of platform calls that one arrival makes for its claim.
///
/// This is enough for a create whose answer is lost, a read that finds no record,
/// a second create whose answer is lost, and a second read.
pub const CLAIM_CALLS_MAX: u32 = 4;

/// The daemon process that runs the requests of a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyOwner {
    /// The daemon's host.
    pub host: HostId,
    /// The incarnation of the daemon process on that host.
    pub incarnation: Incarnation,
}

impl KeyOwner {
    /// Returns whether this process may still run, given the latest known incarnation of
    /// its host.
    ///
    /// A daemon that has just started knows other hosts from its settings before it hears
    /// from them. A request may be forwarded to a later incarnation than the known one,
    /// since the receiver checks the key against its own.
    pub fn may_run(&self, known: Incarnation) -> bool {
        known <= self.incarnation
    }
}

/// A number that distinguishes the claims of one daemon process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimNonce(pub u64);

impl fmt::Display for ClaimNonce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for ClaimNonce {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseIdError::Number)
    }
}

/// The platform's record of the claim for one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRecord {
    /// The process that runs the key's requests.
    pub owner: KeyOwner,
    /// The number of the claim, unique within the owner.
    pub nonce: ClaimNonce,
}

/// The result of a platform call that creates or reads a claim record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// This call created the record.
    Created,
    /// The record already exists; the answer to a create or a read.
    Exists(ClaimRecord),
    /// A read found no record.
    Absent,
    /// The call was sent, but its answer is missing or could not be decoded. A
    /// create may have taken effect already or may still take effect.
    Lost,
    /// The call was not sent.
    Unavailable,
}

/// What a daemon does after a platform call about a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// This arrival holds the claim: record that, then send the request.
    Run,
    /// Forward the request to the process that owns the key.
    Forward(KeyOwner),
    /// Read the record to learn whether the create took effect.
    ReadBack,
    /// Create the record again, with the same nonce.
    CreateAgain,
    /// Refuse the request. After [`RefusalKind::ClaimUnavailable`] the caller of
    /// [`next_claim_step`] releases the claim, since a create without an answer
    /// may still take effect. After any other refusal, and before forwarding, it
    /// drops the claim from the key table.
    Refuse(RefusalKind),
}

/// Returns the name under which the platform stores the claim record for `key`
/// of `tenant`.
pub fn claim_record_name(key: &IdempotencyKey, tenant: &TenantName) -> String {
    let digest = Digest::of_parts(&[tenant.as_str().as_bytes(), key.to_string().as_bytes()]);
    format!("claims/{digest}")
}

/// Decides the next step after the platform's `answer` about the claim `own`.
///
/// `calls` is the number of platform calls made for this arrival so far,
/// including the one that was just answered.
pub fn next_claim_step(
    answer: &ClaimAnswer,
    own: &ClaimRecord,
    calls: u32,
    now: TimeMs,
    deadline: TimeMs,
) -> ClaimStep {
    let out_of_calls_or_time = calls >= CLAIM_CALLS_MAX || now >= deadline;
    match answer {
        ClaimAnswer::Created => ClaimStep::Run,
        ClaimAnswer::Exists(record) if record == own => ClaimStep::Run,
        ClaimAnswer::Exists(record) if record.owner == own.owner => {
            // This process created the record for an earlier claim and has
            // since dropped its row, so it no longer knows whether the request of
            // that claim ran.
            ClaimStep::Refuse(RefusalKind::KeyExpired)
        }
        ClaimAnswer::Exists(record) if record.owner.host == own.owner.host => {
            ClaimStep::Refuse(RefusalKind::OwnerGone)
        }
        ClaimAnswer::Exists(record) => ClaimStep::Forward(record.owner.clone()),
        ClaimAnswer::Unavailable => ClaimStep::Refuse(RefusalKind::ClaimUnavailable),
        _ if out_of_calls_or_time => ClaimStep::Refuse(RefusalKind::ClaimUnavailable),
        ClaimAnswer::Lost => ClaimStep::ReadBack,
        ClaimAnswer::Absent => ClaimStep::CreateAgain,
    }
}

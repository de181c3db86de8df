//! Claims in the platform for keys that callers made.

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

/// How long the platform keeps a claim.
pub const CLAIM_RETENTION_MS: DurationMs = DurationMs(7 * 24 * 60 * 60 * 1_000);

/// How many platform calls one arrival makes for its claim.
///
/// A create, a read back after a lost answer, a second create where the read
/// found nothing, and the read back of that one.
pub const CLAIM_CALLS_MAX: u32 = 4;

/// The daemon process that runs the requests of a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyOwner {
    /// The daemon's host.
    pub host: HostId,
    /// The daemon process on the host.
    pub incarnation: Incarnation,
}

/// A number that tells apart the claims of one daemon process.
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

/// What a platform call about a claim brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The record was created by this call.
    Created,
    /// The record exists, as the answer to a create or a read.
    Exists(ClaimRecord),
    /// A read found no record.
    Absent,
    /// The call was sent and its answer is missing or was not understood; a
    /// create may have taken effect or may still do so.
    Lost,
    /// The call was certainly not sent.
    Unavailable,
}

/// What a daemon does after a platform call about a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// The claim is this arrival's own: record that, and send the request.
    Run,
    /// Forward the request to the process that owns the key.
    Forward(KeyOwner),
    /// Read the record.
    ReadBack,
    /// Create the record again, with the same nonce.
    CreateAgain,
    /// Refuse the request. After [`RefusalKind::ClaimUnavailable`] the claim
    /// is released, since a lost create may still take effect; after any other
    /// refusal, and before forwarding, it is forgotten.
    Refuse(RefusalKind),
}

/// Returns the platform key of the claim for `key` of `tenant`.
pub fn claim_record_name(key: &IdempotencyKey, tenant: &TenantName) -> String {
    let digest = Digest::of_parts(&[tenant.as_str().as_bytes(), key.to_string().as_bytes()]);
    format!("claims/{digest}")
}

/// Decides what follows from the platform's answer to the claim `own`.
///
/// `calls` counts the platform calls made for this arrival, this one included.
pub fn next_claim_step(
    answer: &ClaimAnswer,
    own: &ClaimRecord,
    calls: u32,
    now: TimeMs,
    deadline: TimeMs,
) -> ClaimStep {
    let spent = calls >= CLAIM_CALLS_MAX || now >= deadline;
    match answer {
        ClaimAnswer::Created => ClaimStep::Run,
        ClaimAnswer::Exists(record) if record == own => ClaimStep::Run,
        ClaimAnswer::Exists(record) if record.owner == own.owner => {
            // An earlier claim of this process whose row was dropped.
            ClaimStep::Refuse(RefusalKind::KeyExpired)
        }
        ClaimAnswer::Exists(record) if record.owner.host == own.owner.host => {
            ClaimStep::Refuse(RefusalKind::OwnerGone)
        }
        ClaimAnswer::Exists(record) => ClaimStep::Forward(record.owner.clone()),
        ClaimAnswer::Unavailable => ClaimStep::Refuse(RefusalKind::ClaimUnavailable),
        _ if spent => ClaimStep::Refuse(RefusalKind::ClaimUnavailable),
        ClaimAnswer::Lost => ClaimStep::ReadBack,
        ClaimAnswer::Absent => ClaimStep::CreateAgain,
    }
}

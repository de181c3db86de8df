//! The gossip message of an exchange between two daemons.

use std::net::SocketAddr;

use crate::ejection::PermitRecord;
use crate::ids::Digest;
use crate::ids::FailureDomain;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::NoteNumber;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::note::Head;
use crate::units::DurationMs;

use super::Heartbeat;
use super::HostPhase;

/// The maximum number of rows about other hosts in a digest.
pub const DIGEST_ROWS_MAX: usize = 8;

/// The maximum number of rows in a digest to a starting host, which knows few
/// others yet.
pub const JOIN_ROWS_MAX: usize = 64;

/// One message of an exchange; the answer has the same form.
///
/// Times are sent as ages, since the clocks of hosts are not synchronised.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerDigest {
    /// The sender's own row.
    pub sender: RowUpdate,
    /// The sender's count of regular exchanges.
    pub turn: u64,
    /// At most [`DIGEST_ROWS_MAX`] rows, recently changed ones first, or
    /// [`JOIN_ROWS_MAX`] rows if the receiver is starting.
    pub rows: Vec<RowUpdate>,
    /// The sender's head.
    pub head: HeadUpdate,
    /// Current permits, one record for each service that has any.
    pub permits: Vec<PermitUpdate>,
    /// The sender's evidence against targets, sent if it is near or above the
    /// alarm threshold.
    pub evidence: Vec<EvidenceUpdate>,
    /// Fingerprints of poisoned requests.
    pub poisoned: Vec<PoisonUpdate>,
    /// Targets that are leaving.
    pub leaving: Vec<LeavingUpdate>,
}

/// A row of the peer table as sent in a digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowUpdate {
    /// The host.
    pub host: HostId,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// The address at which the host accepts exchanges.
    pub peer_address: SocketAddr,
    /// The address at which the host accepts callers, if known.
    pub caller_address: Option<SocketAddr>,
    /// The incarnation of the host that the row describes; 0 if the host was
    /// never heard from.
    pub incarnation: Incarnation,
    /// The highest known heartbeat of that incarnation.
    pub heartbeat: Heartbeat,
    /// The phase that the host reported.
    pub phase: HostPhase,
    /// The newest note that the host is known to hold.
    pub head: NoteNumber,
    /// How long ago the host sent the heartbeat, if it was ever heard from.
    pub heard_age: Option<DurationMs>,
    /// The host's standing in the sender's view.
    pub standing: StandingUpdate,
}

/// A standing as sent in a digest, with its age.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StandingUpdate {
    /// See [`super::Standing::Alive`].
    Alive,
    /// See [`super::Standing::Accused`].
    Accused(HostId, DurationMs),
    /// See [`super::Standing::Suspected`].
    Suspected([HostId; 2], DurationMs),
    /// See [`super::Standing::Gone`].
    Gone(DurationMs),
}

/// A daemon's head as sent in a digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeadUpdate {
    /// The head of the sender's current configuration.
    pub head: Head,
    /// How long ago this head was confirmed to be the platform's, if ever.
    pub confirmed_age: Option<DurationMs>,
}

/// The permit record of one service as sent in a digest.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitUpdate {
    /// The service.
    pub service: ServiceName,
    /// The record.
    pub record: PermitRecord,
    /// How long ago the read that confirmed the record began.
    pub age: DurationMs,
}

/// Evidence against one target by one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct EvidenceUpdate {
    /// The target.
    pub target: TargetName,
    /// The daemon that made the observations.
    pub observer: HostId,
    /// The log likelihood ratio of failing against healthy; finite.
    pub log_likelihood_ratio: f64,
    /// How long ago the observer computed it.
    pub age: DurationMs,
}

/// A crash of a target while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoisonUpdate {
    /// The fingerprint of the request.
    pub fingerprint: Digest,
    /// The target that crashed.
    pub target: TargetName,
    /// The daemon that sent the request.
    pub reporter: HostId,
    /// Whether the reporter has withdrawn the report.
    pub cleared: bool,
    /// How long ago the crash was seen.
    pub age: DurationMs,
}

/// A target that is leaving according to the host list or its own answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingUpdate {
    /// The target.
    pub target: TargetName,
    /// How long ago the host list or an answer last reported it as leaving.
    pub age: DurationMs,
}

//! What two daemons tell each other in an exchange.

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

/// The most rows of other hosts that a digest carries.
pub const DIGEST_ROWS_MAX: usize = 8;

/// The most rows in a digest to a host that starts and knows few others.
pub const JOIN_ROWS_MAX: usize = 64;

/// One message of an exchange; the answer has the same form.
///
/// Times travel as ages, since clocks of hosts are not compared.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerDigest {
    /// The sender's own row.
    pub sender: RowNews,
    /// The sender's turn of regular exchanges.
    pub turn: u64,
    /// At most [`DIGEST_ROWS_MAX`] rows that changed recently, or
    /// [`JOIN_ROWS_MAX`] rows for a host that starts.
    pub rows: Vec<RowNews>,
    /// The sender's head.
    pub head: HeadNews,
    /// Permits in force, one for each service that has any.
    pub permits: Vec<PermitNews>,
    /// Evidence for exceptional targets.
    pub evidence: Vec<EvidenceNews>,
    /// Fingerprints of poisoned requests.
    pub poisoned: Vec<PoisonNews>,
    /// Targets that are leaving.
    pub leaving: Vec<LeavingNews>,
}

/// A host's row as a digest carries it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowNews {
    /// The host.
    pub host: HostId,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// Where the host takes exchanges.
    pub peer_address: SocketAddr,
    /// Where the host takes callers, if known.
    pub caller_address: Option<SocketAddr>,
    /// The start of the host that the row is about; 0 if it was never heard.
    pub incarnation: Incarnation,
    /// The highest heartbeat of that start.
    pub heartbeat: Heartbeat,
    /// What the host says about itself.
    pub phase: HostPhase,
    /// The newest note that the host is known to hold.
    pub head: NoteNumber,
    /// How long ago the host sent the heartbeat, if it was ever heard.
    pub heard_age: Option<DurationMs>,
    /// What the sender holds of the host.
    pub standing: StandingNews,
}

/// A standing as a digest carries it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StandingNews {
    /// See [`super::Standing::Alive`].
    Alive,
    /// See [`super::Standing::Accused`].
    Accused(HostId, DurationMs),
    /// See [`super::Standing::Suspected`].
    Suspected([HostId; 2], DurationMs),
    /// See [`super::Standing::Gone`].
    Gone(DurationMs),
}

/// The head that a daemon holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeadNews {
    /// The head of the configuration in force.
    pub head: Head,
    /// How long ago this head was proved to be the platform's, if ever.
    pub confirmed_age: Option<DurationMs>,
}

/// The permit record of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitNews {
    /// The service.
    pub service: ServiceName,
    /// The record.
    pub record: PermitRecord,
    /// How long before now the read that confirmed the record began.
    pub age: DurationMs,
}

/// Evidence against one target by one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct EvidenceNews {
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
pub struct PoisonNews {
    /// The fingerprint of the request.
    pub fingerprint: Digest,
    /// The target that crashed.
    pub target: TargetName,
    /// The daemon that sent the request.
    pub reporter: HostId,
    /// Whether the reporter has taken the mark back.
    pub cleared: bool,
    /// How long ago the crash was seen.
    pub age: DurationMs,
}

/// A target that is leaving by the host list or by its own answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingNews {
    /// The target.
    pub target: TargetName,
    /// How long ago the list or an answer last said so.
    pub age: DurationMs,
}

//! What a target says of itself.

use std::net::SocketAddr;

use crate::config::TargetState;
use crate::ids::FailureDomain;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::units::DurationMs;
use crate::units::SlotCount;

/// One start of a target.
///
/// A target may start again under its name and knows nothing of before.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetIdentity {
    /// The target's name.
    pub name: TargetName,
    /// When it started, in Unix milliseconds; 0 if it does not say.
    pub started_unix_ms: u64,
}

/// A target as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// Which target, and which of its starts.
    pub identity: TargetIdentity,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// The failure domain of its host.
    pub failure_domain: FailureDomain,
    /// The requests that it runs at once; at least 1.
    pub slots: SlotCount,
    /// Whether it takes new work.
    pub state: TargetState,
    /// How much longer it is slow after its start.
    pub warmup_left_ms: DurationMs,
}

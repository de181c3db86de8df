//! The registration record of a target.

use std::net::SocketAddr;

use crate::config::TargetState;
use crate::ids::FailureDomain;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::units::DurationMs;
use crate::units::SlotCount;

/// A target process: a target's name and start time.
///
/// A restarted target keeps its name but has lost all state of the former
/// process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetIdentity {
    /// The target's name.
    pub name: TargetName,
    /// The start time in Unix milliseconds; 0 if the target does not report it.
    pub started_unix_ms: u64,
}

/// A short mark of a target's process, for messages in which the start time takes too many
/// bytes. Two processes of one target have the same mark in one of 65,536 cases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessMark(pub u16);

impl TargetIdentity {
    /// Returns the mark of the process.
    pub const fn mark(&self) -> ProcessMark {
        // The low bits of the start time.
        ProcessMark(self.started_unix_ms as u16)
    }
}

/// A target's registration record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// The target's name and start time.
    pub identity: TargetIdentity,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    /// The failure domain of its host.
    pub failure_domain: FailureDomain,
    /// The number of requests that it runs concurrently; at least 1.
    pub slots: SlotCount,
    /// Whether it accepts new requests.
    pub state: TargetState,
    /// The remaining warm-up time, during which it is slow.
    pub warmup_left_ms: DurationMs,
}

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

/// What tells two registrations under one key apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegistrationMark {
    /// The start time of the process in Unix milliseconds; 0 if it does not report it.
    pub started_unix_ms: u64,
    /// A number that the process raises each time that it registers; 0 if it does not
    /// report it.
    pub sequence: u64,
    /// Whether the process is leaving.
    pub is_leaving: bool,
}

impl RegistrationMark {
    /// Returns whether `other`, which a copy of the store lists, is an older registration
    /// of the same process, or the same one from before it began to leave.
    pub const fn outdates(&self, other: &Self) -> bool {
        if self.started_unix_ms != other.started_unix_ms {
            return false;
        }
        let is_same = other.sequence == self.sequence;
        other.sequence < self.sequence || (is_same && self.is_leaving && !other.is_leaving)
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

//! What a daemon says of itself.

use std::net::SocketAddr;

use crate::ids::FailureDomain;
use crate::ids::Incarnation;

/// A daemon as it registered itself, under the name of its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// The failure domain of its host.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other daemons send their beats and fetch contents of the store.
    pub news: SocketAddr,
    /// Where other daemons send evidence about targets.
    pub evidence: SocketAddr,
    /// This start of the daemon.
    pub incarnation: Incarnation,
    /// Whether the daemon is about to stop.
    pub leaving: bool,
    /// The share of the fleet's work that its host can carry, in thousandths
    /// of a processor core.
    pub capacity_millicores: u32,
}

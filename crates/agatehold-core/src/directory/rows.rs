//! The registration record of a daemon.

use std::net::SocketAddr;

use crate::ids::FailureDomain;
use crate::ids::Incarnation;

/// A daemon's registration record; its key is the name of its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// The failure domain of its host.
    pub failure_domain: FailureDomain,
    /// The address to which callers connect.
    pub callers: SocketAddr,
    /// The address to which other daemons send heartbeats and from which they
    /// fetch contents of the store.
    pub news: SocketAddr,
    /// The address to which other daemons send evidence about targets.
    pub evidence: SocketAddr,
    /// The incarnation of the daemon's process.
    pub incarnation: Incarnation,
    /// Whether the daemon is about to stop.
    pub leaving: bool,
    /// The capacity that its host has for the fleet's work, in thousandths of
    /// a processor core.
    pub capacity_millicores: u32,
}

//! The actions that the control thread asks the rest of the daemon to perform.

use std::fmt;

use crate::ids::HostId;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::membership::HostPhase;
use crate::membership::PeerChange;
use crate::membership::PeerDigest;
use crate::note::Head;
use crate::replication::ReplicationCommand;
use crate::routing::Preference;

use super::PermitWrite;

/// An action for the rest of the daemon to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a gossip digest to a host and merge the digest in its answer.
    Exchange(HostId, Box<PeerDigest>),
    /// Perform an action of the replication of release notes.
    NoteReplication(ReplicationCommand),
    /// Read the platform's host list.
    ListHosts,
    /// List the permit records in the platform with their versions.
    ListPermits,
    /// Read the permit record of a service.
    ReadPermit(ServiceName),
    /// Write the permit record of a service by compare-and-swap.
    WritePermit(Box<PermitWrite>),
    /// Create the platform lease to which this daemon's claim records are bound.
    /// The platform deletes the records when the lease expires.
    CreateClaimLease,
    /// Publish the entry hosts of the services and the addresses of the hosts.
    PublishEntries,
    /// Publish this daemon's phase.
    PublishPhase(HostPhase),
    /// Publish the latencies above which answers count as slow.
    PublishSlowBounds,
    /// Log a change of state.
    Log(StateChange),
}

/// A change of state that is logged.
#[derive(Clone, Debug, PartialEq)]
pub enum StateChange {
    /// This daemon's phase changed.
    Phase(HostPhase),
    /// A release note took effect.
    Note(Head),
    /// What this daemon knows about another host changed.
    Peer(PeerChange),
    /// The preference of a target changed.
    Target(TargetName, Preference),
    /// A target began to leave (true) or is no longer leaving (false).
    Leaving(TargetName, bool),
    /// This daemon began (true) or ceased (false) to suspect that its own network
    /// path is faulty.
    OwnPath(bool),
    /// The permit record of a service changed; holds the number of its entries.
    Permits(ServiceName, usize),
}

impl fmt::Display for StateChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Phase(phase) => write!(f, "phase changed: phase={phase}"),
            Self::Note(head) => {
                write!(
                    f,
                    "note in force: number={} hash={}",
                    head.number, head.hash
                )
            }
            Self::Peer(change) => write_peer_change(f, change),
            Self::Target(target, preference) => {
                let word = match preference {
                    Preference::Preferred => "preferred",
                    Preference::Ramping => "ramping",
                    Preference::Avoided => "avoided",
                };
                write!(
                    f,
                    "target preference changed: target={target} preference={word}"
                )
            }
            Self::Leaving(target, leaving) => {
                write!(
                    f,
                    "target leaving changed: target={target} leaving={leaving}"
                )
            }
            Self::OwnPath(true) => f.write_str("own network path suspected; ejections suspended"),
            Self::OwnPath(false) => f.write_str("own network path no longer suspected"),
            Self::Permits(service, count) => {
                write!(
                    f,
                    "ejection permits changed: service={service} count={count}"
                )
            }
        }
    }
}

fn write_peer_change(f: &mut fmt::Formatter<'_>, change: &PeerChange) -> fmt::Result {
    match change {
        PeerChange::Joined(host) => write!(f, "host joined: host={host}"),
        PeerChange::Restarted(host) => write!(f, "host restarted: host={host}"),
        PeerChange::Replaced { old, new } => write!(f, "host replaced: old={old} new={new}"),
        PeerChange::Phase(host, phase) => {
            write!(f, "host phase changed: host={host} phase={phase}")
        }
        PeerChange::Standing(host, standing) => {
            write!(
                f,
                "host standing changed: host={host} standing={}",
                standing.name()
            )
        }
        PeerChange::Forgotten(host) => write!(f, "host removed: host={host}"),
        PeerChange::OwnIncarnationRaised(incarnation) => write!(
            f,
            "another process uses this host id; own incarnation raised: incarnation={incarnation}"
        ),
    }
}

//! What the control systems ask the rest of the daemon to do.

use std::fmt;

use crate::ids::HostId;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::membership::HostPhase;
use crate::membership::PeerChange;
use crate::membership::PeerDigest;
use crate::note::Head;
use crate::routing::Preference;
use crate::spread::SpreadCommand;

use super::PermitWrite;

/// One thing for the rest of the daemon to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a digest to a host and merge its answer.
    Exchange(HostId, Box<PeerDigest>),
    /// A command of the note log.
    Spread(SpreadCommand),
    /// Read the platform's host list.
    ListHosts,
    /// List the permit records in the platform with their versions.
    ListPermits,
    /// Read the permit record of a service.
    ReadPermit(ServiceName),
    /// Write the permit record of a service by compare-and-swap.
    WritePermit(Box<PermitWrite>),
    /// Create the lease with which the platform ends this daemon's claims.
    CreateClaimLease,
    /// Publish the entries of the services and the addresses of the hosts.
    PublishEntries,
    /// Publish the phase of this daemon.
    PublishPhase(HostPhase),
    /// Publish when an answer counts as slow.
    PublishSlowBounds,
    /// Log a change of state.
    Log(StateChange),
}

/// A change of state that is worth a log line.
#[derive(Clone, Debug, PartialEq)]
pub enum StateChange {
    /// This daemon's phase.
    Phase(HostPhase),
    /// A release note took effect.
    Note(Head),
    /// Another host.
    Peer(PeerChange),
    /// The order of choice of a target.
    Target(TargetName, Preference),
    /// A target says that it is leaving, or no longer does.
    Leaving(TargetName, bool),
    /// This daemon suspects its own network path, or no longer does.
    OwnPath(bool),
    /// The permits of a service.
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

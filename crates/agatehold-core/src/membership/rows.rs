//! The rows of the peer table.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::ids::FailureDomain;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::NoteNumber;
use crate::ids::ParseIdError;
use crate::table::Table;
use crate::units::TimeMs;

/// A counter that a host raises once a second and to refute a suspicion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Heartbeat(pub u64);

impl fmt::Display for Heartbeat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Heartbeat {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseIdError::Number)
    }
}

/// What a host says about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HostPhase {
    /// It has no configuration yet and refuses requests.
    Starting,
    /// It serves requests.
    Serving,
    /// It can't confirm its configuration.
    Isolated,
    /// It drains and takes no new callers.
    Leaving,
}

impl fmt::Display for HostPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Isolated => "isolated",
            Self::Leaving => "leaving",
        })
    }
}

/// What the fleet holds of a host, with the local time of the observation.
///
/// Every standing but `Alive` is refuted by a heartbeat that the host sent
/// after that time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// Nobody accuses it.
    #[default]
    Alive,
    /// One host failed to reach it.
    Accused {
        /// The host that failed to reach it.
        by: HostId,
        /// When the exchange began that failed.
        since: TimeMs,
    },
    /// Two hosts failed to reach it within the accusation window.
    Suspected {
        /// The hosts that failed to reach it.
        by: [HostId; 2],
        /// When the later of the failed exchanges began.
        since: TimeMs,
    },
    /// It did not refute the suspicion in time.
    Gone {
        /// When the later of the failed exchanges began.
        since: TimeMs,
    },
}

impl Standing {
    /// Returns the name of the standing, for status pages and logs.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Accused { .. } => "accused",
            Self::Suspected { .. } => "suspected",
            Self::Gone { .. } => "gone",
        }
    }

    /// Returns the time of the observation, `None` for `Alive`.
    pub const fn since(&self) -> Option<TimeMs> {
        match self {
            Self::Alive => None,
            Self::Accused { since, .. } | Self::Suspected { since, .. } | Self::Gone { since } => {
                Some(*since)
            }
        }
    }

    /// Returns how far the standing is from `Alive`.
    pub(super) const fn rank(&self) -> u8 {
        match self {
            Self::Alive => 0,
            Self::Accused { .. } => 1,
            Self::Suspected { .. } => 2,
            Self::Gone { .. } => 3,
        }
    }
}

/// Another host of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRow {
    /// The failure domain of the host.
    pub failure_domain: FailureDomain,
    /// Where the host takes exchanges.
    pub peer_address: SocketAddr,
    /// Where the host takes callers, unknown until settings or the host tell.
    pub caller_address: Option<SocketAddr>,
    /// The newest start of the host that is known; 0 before it was heard of.
    pub incarnation: Incarnation,
    /// The highest heartbeat of that start.
    pub heartbeat: Heartbeat,
    /// What the host said last about itself.
    pub phase: HostPhase,
    /// What the fleet holds of it.
    pub standing: Standing,
    /// The newest note that the host is known to hold.
    pub head: NoteNumber,
    /// When the host sent the newest heartbeat, by the local clock.
    pub last_heard: Option<TimeMs>,
    /// When the last message came straight from the host.
    pub last_contact: Option<TimeMs>,
    /// When this daemon last failed to reach the host.
    pub own_failure: Option<TimeMs>,
    /// Whether the settings or the platform's host list name the host.
    pub listed: bool,
    /// Whether the platform's host list marks the host as leaving.
    pub listed_leaving: bool,
    /// How many more digests carry the row.
    pub sends_left: u8,
    /// The host's place in the ring of neighbours; see [`super::ring_position`].
    pub ring_position: u64,
}

impl PeerRow {
    /// Returns whether callers may be sent to the host.
    pub fn is_available(&self) -> bool {
        self.phase == HostPhase::Serving
            && !self.listed_leaving
            && self.caller_address.is_some()
            && matches!(self.standing, Standing::Alive | Standing::Accused { .. })
    }
}

/// This daemon's own row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnRow {
    /// The host's name.
    pub id: HostId,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// Where the daemon takes exchanges.
    pub peer_address: SocketAddr,
    /// Where the daemon takes callers.
    pub caller_address: SocketAddr,
    /// This start of the daemon.
    pub incarnation: Incarnation,
    /// Raised once a second and above every suspicion.
    pub heartbeat: Heartbeat,
    /// What the daemon says about itself.
    pub phase: HostPhase,
}

/// A host that the settings or the platform's host list name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// The host's name.
    pub id: HostId,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// Where the host takes exchanges.
    pub peer_address: SocketAddr,
    /// Where the host takes callers, if the list tells.
    pub caller_address: Option<SocketAddr>,
    /// Whether the list marks the host as leaving.
    pub leaving: bool,
}

/// Whom to exchange digests with, and when.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExchangePlan {
    /// When the next regular exchange is due.
    pub next_at: TimeMs,
    /// Counts regular exchanges; selects the next neighbour.
    pub turn: u64,
    /// The highest turn that another daemon told.
    pub fleet_turn: u64,
    /// Counts the exchanges of a daemon that starts.
    pub start_turn: u64,
    /// Counts exchanges for news; selects the next neighbour for them.
    pub push_turn: u64,
    /// Hosts to exchange with soon, beside the regular one.
    pub urgent: Vec<HostId>,
    /// How many urgent exchanges may begin now.
    pub urgent_credit: u64,
    /// When the credit was last raised.
    pub credit_at: TimeMs,
    /// Pairs of a host and another one of which it holds something refuted.
    pub corrections: Vec<(HostId, HostId)>,
    /// The last row that a digest carried for repair, not as news.
    pub repaired: Option<HostId>,
}

/// The membership of the fleet as this daemon knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Membership {
    /// This daemon.
    pub own: OwnRow,
    /// The other hosts by name.
    pub peers: Table<HostId, PeerRow>,
    /// The hosts that are not gone, with this one, by ring position.
    pub ring: Vec<(u64, HostId)>,
    /// Whether the ring no longer fits the table; [`super::run`] rebuilds it.
    pub ring_changed: bool,
    /// Whom to exchange with, and when.
    pub plan: ExchangePlan,
    /// When the last message came from any host.
    pub last_contact: Option<TimeMs>,
    /// When the platform's host list was last merged.
    pub host_list_at: Option<TimeMs>,
}

/// A change of the peer table, for the log and for readers of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// A host was not known before.
    Joined(HostId),
    /// A host started anew.
    Restarted(HostId),
    /// A host took over the address of another one, whose row is removed.
    Replaced {
        /// The host that is removed.
        old: HostId,
        /// The host that has the address now.
        new: HostId,
    },
    /// A host says something else about itself.
    Phase(HostId, HostPhase),
    /// The fleet holds something else of a host.
    Standing(HostId, Standing),
    /// A host that is gone and no longer listed is removed.
    Forgotten(HostId),
    /// Another process uses this daemon's name, with a later start.
    OwnIncarnationRaised(Incarnation),
}

//! The peer table and the types of its rows.

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

/// A counter that a host increments with every digest it sends.
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

/// The phase that a host reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HostPhase {
    /// It has no configuration yet and refuses requests.
    Starting,
    /// It serves requests.
    Serving,
    /// It can't confirm its configuration and has no contact with a majority.
    Isolated,
    /// It is draining and accepts no new callers.
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

/// The state of a host in failure detection, with the time of the observation
/// by the local clock.
///
/// Every standing except `Alive` is refuted by a heartbeat that the host sent
/// after the observation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// No host reports it as unreachable.
    #[default]
    Alive,
    /// One host failed to reach it.
    Accused {
        /// The host that failed to reach it.
        by: HostId,
        /// When the failed exchange began.
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

    /// Returns the severity of the standing; 0 is `Alive`.
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
    /// The address at which the host accepts exchanges.
    pub peer_address: SocketAddr,
    /// The address at which the host accepts callers; `None` until a list or
    /// the host itself provides it.
    pub caller_address: Option<SocketAddr>,
    /// The newest known incarnation of the host; 0 if it is known only from a
    /// list.
    pub incarnation: Incarnation,
    /// The highest known heartbeat of that incarnation.
    pub heartbeat: Heartbeat,
    /// The phase that the host last reported.
    pub phase: HostPhase,
    /// The host's state in failure detection.
    pub standing: Standing,
    /// The newest note that the host is known to hold.
    pub head: NoteNumber,
    /// When the host sent the newest heartbeat, by the local clock.
    pub last_heard: Option<TimeMs>,
    /// When the last message arrived directly from the host.
    pub last_contact: Option<TimeMs>,
    /// When this daemon last failed to reach the host.
    pub own_failure: Option<TimeMs>,
    /// Whether the settings or the platform's host list name the host.
    pub listed: bool,
    /// Whether the platform's host list marks the host as leaving.
    pub listed_leaving: bool,
    /// How many more digests carry the row.
    pub sends_left: u8,
    /// The host's position in the ring; see [`super::ring_position`].
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
    /// The address at which the daemon accepts exchanges.
    pub peer_address: SocketAddr,
    /// The address at which the daemon accepts callers.
    pub caller_address: SocketAddr,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// Incremented with every digest, and raised to the highest value that a
    /// peer reports for this incarnation.
    pub heartbeat: Heartbeat,
    /// The phase that the daemon reports.
    pub phase: HostPhase,
}

/// A host named by the settings or the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// The host's name.
    pub id: HostId,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// The address at which the host accepts exchanges.
    pub peer_address: SocketAddr,
    /// The address at which the host accepts callers, if the list contains it.
    pub caller_address: Option<SocketAddr>,
    /// Whether the list marks the host as leaving.
    pub leaving: bool,
}

/// The schedule of exchanges with other hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExchangePlan {
    /// When the next regular exchange is due.
    pub next_at: TimeMs,
    /// Counts regular exchanges; selects the next neighbour.
    pub turn: u64,
    /// The highest turn reported by another daemon.
    pub fleet_turn: u64,
    /// Counts the exchanges while this daemon is starting.
    pub start_turn: u64,
    /// Counts urgent exchanges with neighbours in turn; selects the next one.
    pub push_turn: u64,
    /// The queue of urgent exchanges, in addition to the regular ones.
    pub urgent: Vec<HostId>,
    /// The tokens for urgent exchanges; each takes one.
    pub urgent_credit: u64,
    /// The time up to which tokens were refilled.
    pub credit_at: TimeMs,
    /// Queued corrections, as pairs of hosts: the first one sent an outdated row
    /// about the second one.
    pub corrections: Vec<(HostId, HostId)>,
    /// The last host whose row was selected in turn for repair.
    pub repaired: Option<HostId>,
}

/// This daemon's view of the fleet's membership.
#[derive(Clone, Debug, PartialEq)]
pub struct Membership {
    /// This daemon.
    pub own: OwnRow,
    /// The other hosts by name.
    pub peers: Table<HostId, PeerRow>,
    /// The hosts that are not gone, including this one, by ring position.
    pub ring: Vec<(u64, HostId)>,
    /// Whether the ring no longer matches the table; [`super::run`] rebuilds it.
    pub ring_changed: bool,
    /// The schedule of exchanges.
    pub plan: ExchangePlan,
    /// When the last message arrived from any host.
    pub last_contact: Option<TimeMs>,
    /// Messages that arrived before this time are no contact, see
    /// [`super::forget_contact`].
    pub contact_from: TimeMs,
    /// When the platform's host list was last merged.
    pub host_list_at: Option<TimeMs>,
}

/// A change of the peer table, for the log and for readers of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// An unknown host was added.
    Joined(HostId),
    /// A host was restarted and has a higher incarnation.
    Restarted(HostId),
    /// A host took over the address of another one, whose row is removed.
    Replaced {
        /// The host that is removed.
        old: HostId,
        /// The host that has the address now.
        new: HostId,
    },
    /// A host reported a new phase.
    Phase(HostId, HostPhase),
    /// The standing of a host changed.
    Standing(HostId, Standing),
    /// A host that is gone and no longer listed was removed.
    Forgotten(HostId),
    /// This daemon raised its incarnation, because a peer reported a higher
    /// one or another process uses its host name.
    OwnIncarnationRaised(Incarnation),
}

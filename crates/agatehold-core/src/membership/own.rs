//! This daemon's own state and its contact with the fleet.

use rand::Rng;
use rand::RngExt;

use crate::ids::Incarnation;
use crate::table::Table;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::ExchangePlan;
use super::HostPhase;
use super::ListedHost;
use super::Membership;
use super::OwnRow;
use super::Standing;
use super::host_list;
use super::neighbours;

/// How far back messages count as contact; the time until isolation.
const CONTACT_WINDOW: DurationMs = DurationMs(9_000);

/// Returns the incarnation of a daemon that starts at `unix_ms`.
///
/// The high 48 bits are the start time and the low 16 bits are random.
pub fn new_incarnation(unix_ms: u64, rng: &mut impl Rng) -> Incarnation {
    let random: u16 = rng.random();
    Incarnation((unix_ms << 16) | u64::from(random))
}

/// Creates the membership of a daemon that starts and knows `hosts` from its
/// settings.
pub fn start(own: OwnRow, hosts: &[ListedHost], now: TimeMs) -> Membership {
    let mut membership = Membership {
        own,
        peers: Table::new(),
        ring: Vec::new(),
        ring_changed: true,
        plan: ExchangePlan {
            next_at: now,
            ..ExchangePlan::default()
        },
        last_contact: None,
        host_list_at: None,
    };
    let mut changes = Vec::new();
    for host in hosts {
        host_list::add_listed(&mut membership, host, &mut changes);
    }
    neighbours::rebuild_ring(&mut membership);
    membership
}

/// Changes what this daemon says about itself, and tells neighbours at once.
///
/// A daemon that is leaving stays leaving.
pub fn set_phase(membership: &mut Membership, phase: HostPhase, rng: &mut impl Rng) {
    let old = membership.own.phase;
    if old == phase || old == HostPhase::Leaving {
        return;
    }
    membership.own.phase = phase;
    neighbours::push_urgently(membership, 3, rng);
}

/// How much of the fleet a daemon is in contact with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contact {
    /// Hosts in contact, with this one.
    pub reached: usize,
    /// Hosts known, with this one.
    pub known: usize,
    /// Hosts that sent a message to this one lately.
    pub heard: usize,
    /// Hosts next to this one in the ring.
    pub ring_size: usize,
}

impl Contact {
    /// Returns whether nobody accuses more than half of the known hosts.
    pub fn is_majority(&self) -> bool {
        self.reached * 2 > self.known
    }

    /// Returns whether this host got messages within the isolation time from
    /// at least a third as many hosts as are next to it in the ring.
    ///
    /// Accusations reach a daemon only through others, so that one that is
    /// cut off alone sees few of them.
    pub fn hears_enough(&self) -> bool {
        self.heard * 3 >= self.ring_size
    }
}

/// Returns how much of the fleet this daemon is in contact with.
pub fn contact(membership: &Membership, now: TimeMs) -> Contact {
    let mut reached = 1;
    for (_, row) in membership.peers.rows() {
        let serving = row.phase != HostPhase::Isolated && row.last_heard.is_some();
        if serving && row.standing == Standing::Alive {
            reached += 1;
        }
    }
    let mut ring = neighbours::neighbours(membership);
    let period = DurationMs(1_500).times(u64::try_from(ring.len()).unwrap_or(0));
    let window = CONTACT_WINDOW.max(period);
    for host in neighbours::watchers_of(membership, &membership.own.id) {
        if !ring.contains(&host) {
            ring.push(host);
        }
    }
    // Any host counts as heard: after many were lost, most hosts of the new
    // ring had no turn to send yet.
    let mut heard = 0;
    for (_, row) in membership.peers.rows() {
        if row.last_contact.is_some_and(|at| now.since(at) <= window) {
            heard += 1;
        }
    }
    Contact {
        reached,
        known: membership.peers.len() + 1,
        heard,
        ring_size: ring.len(),
    }
}

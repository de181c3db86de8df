//! This daemon's own row and its contact with the fleet.

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

/// The minimum window in which a received message counts as contact; equal to
/// the isolation time.
const CONTACT_WINDOW: DurationMs = DurationMs(9_000);

/// The time in which a daemon that was paused reads the messages that have waited in its
/// sockets. There are at most a few from each neighbour, since an exchange ends without
/// an answer after 0.5 s and its connection is then closed.
const QUEUED_MESSAGES_READ: DurationMs = DurationMs(1_000);

/// Returns the incarnation of a daemon that starts at `unix_ms`.
///
/// The high 48 bits are the start time and the low 16 bits are random.
pub fn new_incarnation(unix_ms: u64, rng: &mut impl Rng) -> Incarnation {
    let random: u16 = rng.random();
    Incarnation((unix_ms << 16) | u64::from(random))
}

/// Creates the membership of a starting daemon, with the `hosts` from its
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
        contact_from: TimeMs::default(),
        host_list_at: None,
    };
    let mut changes = Vec::new();
    for host in hosts {
        host_list::add_listed(&mut membership, host, &mut changes);
    }
    neighbours::rebuild_ring(&mut membership);
    membership
}

/// Sets this daemon's phase and queues urgent exchanges with three neighbours.
///
/// The phase of a leaving daemon never changes again.
pub fn set_phase(membership: &mut Membership, phase: HostPhase, rng: &mut impl Rng) {
    let old = membership.own.phase;
    if old == phase || old == HostPhase::Leaving {
        return;
    }
    membership.own.phase = phase;
    neighbours::queue_urgent_exchanges(membership, 3, rng);
}

/// Forgets the contact to other hosts, because the process was paused until `now`.
///
/// Messages that arrived during the pause are read now, and their age is unknown. They
/// are no sign of contact, and neither is what arrives until they are read.
pub fn forget_contact(membership: &mut Membership, now: TimeMs) {
    membership.contact_from = now + QUEUED_MESSAGES_READ;
}

/// How much of the fleet a daemon is in contact with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contact {
    /// The number of reached hosts: this one, and every other one that was heard
    /// from, is not isolated and has the standing [`Standing::Alive`].
    pub reached: usize,
    /// The number of known hosts, including this one.
    pub known: usize,
    /// The number of hosts that recently sent a message to this one.
    pub heard: usize,
    /// The number of hosts that are neighbours of this one in the ring, in
    /// either direction.
    pub ring_size: usize,
}

impl Contact {
    /// Returns whether more than half of the known hosts are reached.
    pub fn is_majority(&self) -> bool {
        self.reached * 2 > self.known
    }

    /// Returns whether the number of hosts that recently sent a message to
    /// this one is at least a third of the number of its neighbours.
    ///
    /// [`Self::is_majority`] does not detect that this daemon alone is cut off:
    /// accusations by other hosts no longer reach it, so that most hosts still
    /// seem to be alive.
    pub fn hears_enough(&self) -> bool {
        self.heard * 3 >= self.ring_size
    }
}

/// Returns how much of the fleet this daemon is in contact with.
pub fn contact(membership: &Membership, now: TimeMs) -> Contact {
    let mut reached = 1;
    for (_, row) in membership.peers.rows() {
        let is_active = row.phase != HostPhase::Isolated && row.last_heard.is_some();
        if is_active && row.standing == Standing::Alive {
            reached += 1;
        }
    }
    let mut ring = neighbours::neighbours(membership);
    // Regular exchanges go to one neighbour a second, in turn, so that a host
    // hears from each inbound neighbour about once every `ring.len()` seconds.
    let period = DurationMs(1_500).times(u64::try_from(ring.len()).unwrap_or(0));
    let window = CONTACT_WINDOW.max(period);
    for host in neighbours::inbound_neighbours(membership, &membership.own.id) {
        if !ring.contains(&host) {
            ring.push(host);
        }
    }
    // Messages of any host count, not only of neighbours: after many hosts
    // were lost, most new neighbours have not had a turn to send yet.
    let mut heard = 0;
    for (_, row) in membership.peers.rows() {
        let is_recent = |at| at >= membership.contact_from && now.since(at) <= window;
        if row.last_contact.is_some_and(is_recent) {
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

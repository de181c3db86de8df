//! Selects the hosts that a daemon exchanges digests with.

use rand::Rng;
use rand::RngExt;

use crate::ids::Digest;
use crate::ids::HostId;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::HostPhase;
use super::Membership;
use super::PeerChange;
use super::Standing;
use super::host_list;
use super::suspicion;

/// The time between two regular exchanges.
const EXCHANGE_PERIOD: DurationMs = DurationMs(1_000);

/// The time between two exchanges while a daemon is starting and needs the
/// rows and heads of the others; one for each tick of the control loop.
const START_PERIOD: DurationMs = DurationMs(100);

/// Every eighth regular exchange goes to a host that is gone, so that the two
/// sides of a partition find each other again when it ends.
const GONE_HOST_EVERY: u64 = 8;

/// The refill interval of the token bucket for urgent exchanges. Many
/// simultaneous suspicions, as in a partition, must not exceed the bandwidth
/// of a daemon.
const URGENT_PERIOD: DurationMs = DurationMs(250);

/// The capacity of the token bucket for urgent exchanges.
const URGENT_BURST: u64 = 8;

/// The maximum number of queued urgent exchanges. If the queue is full, changes
/// are passed on by the regular exchanges.
const URGENT_MAX: usize = 32;

/// Returns the position of a host in the ring, from the hash of its name.
pub fn ring_position(host: &HostId) -> u64 {
    let hash = Digest::of_parts(&[host.as_str().as_bytes()]).0;
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(first)
}

/// Rebuilds the ring from the peer table, without the hosts that are gone.
pub(super) fn rebuild_ring(membership: &mut Membership) {
    let own = membership.own.id.clone();
    membership.ring.clear();
    membership.ring.push((ring_position(&own), own));
    for (id, row) in membership.peers.rows() {
        if !matches!(row.standing, Standing::Gone { .. }) {
            membership.ring.push((row.ring_position, id.clone()));
        }
    }
    membership.ring.sort_unstable();
    membership.ring_changed = false;
}

/// Returns the hosts at the offsets 1, 2, 4, ... from `host` in the ring.
/// `step` turns the index of `host` and an offset into an index in the ring.
fn at_offsets(
    membership: &Membership,
    host: &HostId,
    step: impl Fn(usize, usize) -> usize,
) -> Vec<HostId> {
    let ring = &membership.ring;
    let key = (ring_position(host), host.clone());
    let (place, present) = match ring.binary_search(&key) {
        Ok(place) => (place, true),
        Err(place) => (place, false),
    };
    let others = ring.len() - usize::from(present);
    let mut chosen = Vec::new();
    let mut offset = 1;
    while offset <= others {
        let at = step(place, offset) % ring.len();
        chosen.push(ring[at].1.clone());
        offset *= 2;
    }
    chosen
}

/// Returns the neighbours of this daemon: the hosts at the offsets 1, 2, 4, ...
/// after it in the ring.
pub fn neighbours(membership: &Membership) -> Vec<HostId> {
    at_offsets(membership, &membership.own.id, |place, offset| {
        place + offset
    })
}

/// Returns the hosts that have `host` as a neighbour, closest first.
pub(super) fn inbound_neighbours(membership: &Membership, host: &HostId) -> Vec<HostId> {
    let count = membership.ring.len();
    at_offsets(membership, host, |place, offset| place + count - offset)
}

/// Adds an exchange with `host` to the front of the urgent queue.
pub(super) fn queue_urgent_first(membership: &mut Membership, host: &HostId) {
    let waiting = &mut membership.plan.urgent;
    if *host == membership.own.id || waiting.contains(host) {
        return;
    }
    waiting.truncate(URGENT_MAX - 1);
    waiting.insert(0, host.clone());
}

/// Adds an exchange with `host` to the end of the urgent queue.
fn queue_urgent_last(membership: &mut Membership, host: &HostId) {
    let waiting = &mut membership.plan.urgent;
    if waiting.len() < URGENT_MAX && !waiting.contains(host) {
        waiting.push(host.clone());
    }
}

/// Queues urgent exchanges with `count` random neighbours, for changes that
/// must not wait for the regular exchange.
pub fn queue_urgent_exchanges(membership: &mut Membership, count: usize, rng: &mut impl Rng) {
    let mut chosen = neighbours(membership);
    for _ in 0..count {
        if chosen.is_empty() {
            return;
        }
        let host = chosen.swap_remove(rng.random_range(0..chosen.len()));
        queue_urgent_first(membership, &host);
    }
}

/// Queues an urgent exchange with the next neighbour in turn.
pub(super) fn queue_next_neighbour(membership: &mut Membership) {
    let turn = membership.plan.push_turn;
    membership.plan.push_turn = turn.wrapping_add(1);
    if let Some(host) = next_neighbour(membership, turn) {
        queue_urgent_last(membership, &host);
    }
}

/// Runs failure detection and exchange scheduling for one tick.
///
/// Returns the hosts to exchange digests with now, and the changes of the peer
/// table. The caller builds each message with [`super::digest`].
pub fn run(
    membership: &mut Membership,
    now: TimeMs,
    rng: &mut impl Rng,
) -> (Vec<HostId>, Vec<PeerChange>) {
    let mut changes = Vec::new();
    suspicion::expire_suspicions(membership, now, &mut changes);
    host_list::remove_unlisted_gone(membership, now, &mut changes);
    if membership.ring_changed {
        rebuild_ring(membership);
    }

    let mut partners = take_urgent(membership, now);
    partners.retain(|host| membership.peers.contains(host));
    if now < membership.plan.next_at {
        return (partners, changes);
    }
    let starting = membership.own.phase == HostPhase::Starting;
    let period = if starting {
        START_PERIOD
    } else {
        EXCHANGE_PERIOD
    };
    membership.plan.next_at = now + period;
    let partner = if starting {
        let asked = membership.plan.start_turn;
        membership.plan.start_turn = asked.wrapping_add(1);
        starting_partner(membership, asked)
    } else {
        regular_partner(membership, rng)
    };
    if let Some(host) = partner
        && !partners.contains(&host)
    {
        partners.push(host);
    }
    (partners, changes)
}

/// Refills the token bucket and takes as many urgent exchanges from the front
/// of the queue as there are tokens.
fn take_urgent(membership: &mut Membership, now: TimeMs) -> Vec<HostId> {
    let plan = &mut membership.plan;
    let earned = now.since(plan.credit_at).0 / URGENT_PERIOD.0;
    plan.credit_at = plan.credit_at + URGENT_PERIOD.times(earned);
    plan.urgent_credit = plan.urgent_credit.saturating_add(earned).min(URGENT_BURST);
    let mut taken = Vec::new();
    while plan.urgent_credit > 0 && !plan.urgent.is_empty() {
        taken.push(plan.urgent.remove(0));
        plan.urgent_credit -= 1;
    }
    taken
}

fn regular_partner(membership: &mut Membership, rng: &mut impl Rng) -> Option<HostId> {
    let turn = next_turn(membership);
    if turn % GONE_HOST_EVERY == GONE_HOST_EVERY - 1
        && let Some(host) = gone_host(membership, rng)
    {
        return Some(host);
    }
    next_neighbour(membership, turn)
}

/// Advances to the next turn, or to the fleet's turn if that is higher.
///
/// Daemons on the same turn use the same offset in the ring, so that each host
/// is contacted once in every turn. With independent turns, several daemons
/// would contact a host at once and then none for a while, and its loss would
/// be noticed later.
fn next_turn(membership: &mut Membership) -> u64 {
    let plan = &mut membership.plan;
    let turn = plan.turn.saturating_add(1).max(plan.fleet_turn);
    plan.turn = turn;
    turn
}

fn next_neighbour(membership: &Membership, turn: u64) -> Option<HostId> {
    let mut chosen = neighbours(membership);
    if chosen.is_empty() {
        return None;
    }
    let count = u64::try_from(chosen.len()).unwrap_or(1);
    let place = usize::try_from(turn % count).unwrap_or(0);
    Some(chosen.swap_remove(place))
}

fn gone_host(membership: &Membership, rng: &mut impl Rng) -> Option<HostId> {
    let mut gone = Vec::new();
    for (id, row) in membership.peers.rows() {
        if matches!(row.standing, Standing::Gone { .. }) {
            gone.push(id);
        }
    }
    if gone.is_empty() {
        return None;
    }
    Some(gone[rng.random_range(0..gone.len())].clone())
}

/// Returns the host to contact on this turn of the start; the turns go through
/// all known hosts in ring order, beginning after this daemon.
fn starting_partner(membership: &Membership, turn: u64) -> Option<HostId> {
    let mut ring: Vec<(u64, &HostId)> = Vec::with_capacity(membership.peers.len());
    for (id, row) in membership.peers.rows() {
        ring.push((row.ring_position, id));
    }
    if ring.is_empty() {
        return None;
    }
    ring.sort_unstable();
    let own = ring_position(&membership.own.id);
    let first = ring.partition_point(|(position, _)| *position < own);
    let count = u64::try_from(ring.len()).unwrap_or(1);
    let place = usize::try_from(turn % count).unwrap_or(0);
    Some(ring[(first + place) % ring.len()].1.clone())
}

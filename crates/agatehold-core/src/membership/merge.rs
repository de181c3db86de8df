//! Builds digests and merges received ones into the peer table.

use crate::ids::HostId;
use crate::note::Head;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::DIGEST_ROWS_MAX;
use super::HeadUpdate;
use super::HostPhase;
use super::JOIN_ROWS_MAX;
use super::Membership;
use super::OwnRow;
use super::PeerChange;
use super::PeerDigest;
use super::PeerRow;
use super::RowUpdate;
use super::Standing;
use super::StandingUpdate;
use super::neighbours;
use super::suspicion;

/// The maximum number of hosts to which a daemon sends its heartbeat
/// immediately to refute that it is accused, suspected or gone.
const REFUTATION_RECIPIENTS_MAX: usize = 4;

/// Every fourth message also carries one row taken in turn from the table. A
/// host that missed every update of a row gets it this way within minutes.
const REPAIR_EVERY: u64 = 4;

/// The maximum number of corrections waiting for an exchange.
const CORRECTIONS_MAX: usize = 32;

/// Returns the number of digests that carry a changed row: 3 log2 n, so that
/// the change reaches every host with high probability if each receiver passes
/// it on.
pub(super) fn sends_quota(membership: &Membership) -> u8 {
    let hosts = membership.peers.len() + 1;
    let log2 = usize::BITS - hosts.leading_zeros();
    u8::try_from(3 * log2).unwrap_or(u8::MAX)
}

/// Builds the digest for `to` and increments this daemon's heartbeat.
///
/// The fields for permits, evidence, poisoned requests and leaving targets are
/// left empty; the modules that own this data fill them in.
pub fn digest(
    membership: &mut Membership,
    to: &HostId,
    head: Head,
    confirmed_at: Option<TimeMs>,
    now: TimeMs,
) -> PeerDigest {
    membership.own.heartbeat.0 += 1;
    PeerDigest {
        sender: own_update(&membership.own, head),
        turn: membership.plan.turn,
        rows: pick_rows(membership, to, now),
        head: HeadUpdate {
            head,
            confirmed_age: confirmed_at.map(|at| now.since(at)),
        },
        permits: Vec::new(),
        evidence: Vec::new(),
        poisoned: Vec::new(),
        leaving: Vec::new(),
    }
}

fn own_update(own: &OwnRow, head: Head) -> RowUpdate {
    RowUpdate {
        host: own.id.clone(),
        failure_domain: own.failure_domain.clone(),
        peer_address: own.peer_address,
        caller_address: Some(own.caller_address),
        incarnation: own.incarnation,
        heartbeat: own.heartbeat,
        phase: own.phase,
        head: head.number,
        heard_age: Some(DurationMs(0)),
        standing: StandingUpdate::Alive,
    }
}

fn row_update(id: &HostId, row: &PeerRow, now: TimeMs) -> RowUpdate {
    RowUpdate {
        host: id.clone(),
        failure_domain: row.failure_domain.clone(),
        peer_address: row.peer_address,
        caller_address: row.caller_address,
        incarnation: row.incarnation,
        heartbeat: row.heartbeat,
        phase: row.phase,
        head: row.head,
        heard_age: row.last_heard.map(|at| now.since(at)),
        standing: standing_update(&row.standing, now),
    }
}

fn standing_update(standing: &Standing, now: TimeMs) -> StandingUpdate {
    match standing {
        Standing::Alive => StandingUpdate::Alive,
        Standing::Accused { by, since } => StandingUpdate::Accused(by.clone(), now.since(*since)),
        Standing::Suspected { by, since } => {
            StandingUpdate::Suspected(by.clone(), now.since(*since))
        }
        Standing::Gone { since } => StandingUpdate::Gone(now.since(*since)),
    }
}

fn standing_at(update: &StandingUpdate, now: TimeMs) -> Standing {
    match update {
        StandingUpdate::Alive => Standing::Alive,
        StandingUpdate::Accused(by, age) => Standing::Accused {
            by: by.clone(),
            since: now - *age,
        },
        StandingUpdate::Suspected(by, age) => Standing::Suspected {
            by: by.clone(),
            since: now - *age,
        },
        StandingUpdate::Gone(age) => Standing::Gone { since: now - *age },
    }
}

/// Selects the rows of a digest to `to`, in this order: rows of which the
/// receiver sent an outdated version, the receiver's own row if it is not alive
/// in this daemon's view, changed rows (those with the most sends left first),
/// and rows taken in turn to repair lost updates.
fn pick_rows(membership: &mut Membership, to: &HostId, now: TimeMs) -> Vec<RowUpdate> {
    let mut rows = take_corrections(membership, to, now);
    let mut starting = false;
    if let Some(row) = membership.peers.get(to) {
        starting = row.phase == HostPhase::Starting;
        if row.standing != Standing::Alive {
            rows.push(row_update(to, row, now));
        }
    }
    let mut changed: Vec<(u8, HostId)> = Vec::new();
    for (id, row) in membership.peers.rows() {
        if row.sends_left > 0 && id != to {
            changed.push((row.sends_left, id.clone()));
        }
    }
    changed.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
    for (_, id) in &changed {
        if rows.len() >= DIGEST_ROWS_MAX {
            break;
        }
        let Some(row) = membership.peers.get_mut(id) else {
            continue;
        };
        row.sends_left -= 1;
        if rows.iter().any(|update| update.host == *id) {
            continue;
        }
        rows.push(row_update(id, row, now));
    }
    let limit = if starting {
        JOIN_ROWS_MAX
    } else {
        let repair = membership.own.heartbeat.0.is_multiple_of(REPAIR_EVERY);
        DIGEST_ROWS_MAX.min(rows.len() + usize::from(repair))
    };
    push_repairs(membership, to, limit, now, &mut rows);
    rows
}

fn take_corrections(membership: &mut Membership, to: &HostId, now: TimeMs) -> Vec<RowUpdate> {
    let mut rows = Vec::new();
    let corrections = std::mem::take(&mut membership.plan.corrections);
    for (host, about) in corrections {
        if host != *to {
            membership.plan.corrections.push((host, about));
            continue;
        }
        if rows.len() == DIGEST_ROWS_MAX {
            continue;
        }
        if let Some(row) = membership.peers.get(&about) {
            rows.push(row_update(&about, row, now));
        }
    }
    // This message replaces an urgent exchange with the same host.
    membership.plan.urgent.retain(|host| host != to);
    rows
}

/// Queues a correction for `host`, which sent an outdated row about `about`.
fn add_correction(membership: &mut Membership, host: &HostId, about: &HostId) {
    let plan = &mut membership.plan;
    let known = plan
        .corrections
        .iter()
        .any(|(h, a)| h == host && a == about);
    if known || plan.corrections.len() >= CORRECTIONS_MAX {
        return;
    }
    plan.corrections.push((host.clone(), about.clone()));
    neighbours::queue_urgent_first(membership, host);
}

fn push_repairs(
    membership: &mut Membership,
    to: &HostId,
    limit: usize,
    now: TimeMs,
    rows: &mut Vec<RowUpdate>,
) {
    let wanted = limit.saturating_sub(rows.len());
    let last = membership.plan.repaired.clone();
    let later = membership
        .peers
        .rows()
        .filter(|(id, _)| last.as_ref().is_none_or(|last| *id > last));
    let earlier = membership
        .peers
        .rows()
        .filter(|(id, _)| last.as_ref().is_some_and(|last| *id <= last));
    let mut repaired = None;
    for (id, row) in later.chain(earlier).take(wanted) {
        repaired = Some(id.clone());
        if id == to || row.last_heard.is_none() || rows.iter().any(|update| update.host == *id) {
            continue;
        }
        rows.push(row_update(id, row, now));
    }
    if repaired.is_some() {
        membership.plan.repaired = repaired;
    }
}

/// Merges a digest received directly from its sender.
///
/// Only the rows are merged here; heads, permits, evidence, poisoned requests
/// and leaving targets are merged by the modules that own them.
pub fn merge(membership: &mut Membership, digest: &PeerDigest, now: TimeMs) -> Vec<PeerChange> {
    let mut changes = Vec::new();
    membership.last_contact = Some(now);
    let plan = &mut membership.plan;
    plan.fleet_turn = plan.fleet_turn.max(digest.turn);
    merge_row(membership, &digest.sender, true, now, &mut changes);
    for update in &digest.rows {
        if update.host == digest.sender.host {
            continue;
        }
        merge_row(membership, update, false, now, &mut changes);
        if is_outdated(membership, update, now) {
            add_correction(membership, &digest.sender.host, &update.host);
        }
    }
    changes
}

/// Returns whether this daemon knows a later incarnation of the host, or a
/// heartbeat that refutes the received standing.
fn is_outdated(membership: &Membership, update: &RowUpdate, now: TimeMs) -> bool {
    let Some(row) = membership.peers.get(&update.host) else {
        return false;
    };
    row.incarnation > update.incarnation
        || (row.incarnation == update.incarnation
            && is_refuted(&standing_at(&update.standing, now), row.last_heard))
}

fn merge_row(
    membership: &mut Membership,
    update: &RowUpdate,
    direct: bool,
    now: TimeMs,
    changes: &mut Vec<PeerChange>,
) {
    if update.host == membership.own.id {
        merge_own(membership, update, direct, changes);
        return;
    }
    if !resolve_address_conflict(membership, update, changes) {
        return;
    }
    let quota = sends_quota(membership);
    let Some(row) = membership.peers.get_mut(&update.host) else {
        let mut row = new_row(update, now);
        row.sends_left = quota;
        row.last_contact = direct.then_some(now);
        membership.peers.insert(update.host.clone(), row);
        membership.ring_changed = true;
        changes.push(PeerChange::Joined(update.host.clone()));
        return;
    };
    if direct && update.incarnation >= row.incarnation {
        row.last_contact = Some(now);
    }
    if update.incarnation < row.incarnation {
        return;
    }
    if update.incarnation > row.incarnation {
        let mut next = new_row(update, now);
        next.listed = row.listed;
        next.last_contact = row.last_contact;
        next.sends_left = quota;
        *row = next;
        membership.ring_changed = true;
        changes.push(PeerChange::Restarted(update.host.clone()));
        return;
    }
    let before = row.standing.clone();
    let changed = merge_same_incarnation(row, update, direct, now, changes);
    let after = row.standing.clone();
    if changed {
        // A single accusation matters only to the host's neighbours, which get
        // it first. Sending it to the whole fleet after every lost message
        // would exceed the bandwidth.
        let minor = after != before && before.rank().max(after.rank()) <= 1;
        row.sends_left = row.sends_left.max(if minor { quota / 4 } else { quota });
    }
    if after != before {
        membership.ring_changed |= before.rank().max(after.rank()) == 3;
        queue_reaction(membership, &update.host, &before, &after, direct, now);
    }
}

/// Merges a received row of the same incarnation. Returns whether the row
/// changed in a way that must be passed on to peers.
fn merge_same_incarnation(
    row: &mut PeerRow,
    update: &RowUpdate,
    direct: bool,
    now: TimeMs,
    changes: &mut Vec<PeerChange>,
) -> bool {
    let mut changed = false;
    row.head = row.head.max(update.head);
    if update.heartbeat > row.heartbeat {
        row.heartbeat = update.heartbeat;
        if let Some(age) = update.heard_age {
            row.last_heard = row.last_heard.max(Some(now - age));
        }
        if row.phase != update.phase {
            row.phase = update.phase;
            changes.push(PeerChange::Phase(update.host.clone(), update.phase));
            changed = true;
        }
        if update.caller_address.is_some() && row.caller_address != update.caller_address {
            row.caller_address = update.caller_address;
            changed = true;
        }
        if row.peer_address != update.peer_address {
            row.peer_address = update.peer_address;
            changed = true;
        }
    }
    if direct {
        row.last_heard = Some(now);
    }
    let before = row.standing.clone();
    if is_refuted(&row.standing, row.last_heard) {
        row.standing = Standing::Alive;
    }
    let reported = standing_at(&update.standing, now);
    if !is_refuted(&reported, row.last_heard) {
        suspicion::merge_standing(row, reported);
    }
    if row.standing != before {
        changes.push(PeerChange::Standing(
            update.host.clone(),
            row.standing.clone(),
        ));
        changed = true;
    }
    changed
}

/// Returns whether the host sent a heartbeat after the observation.
fn is_refuted(standing: &Standing, last_heard: Option<TimeMs>) -> bool {
    match (standing.since(), last_heard) {
        (Some(since), Some(heard)) => heard > since,
        _ => false,
    }
}

/// Queues the exchanges that a changed standing requires immediately.
fn queue_reaction(
    membership: &mut Membership,
    host: &HostId,
    before: &Standing,
    after: &Standing,
    direct: bool,
    now: TimeMs,
) {
    match (before, after) {
        // The accuser must get the refutation before its timeout expires.
        (Standing::Accused { by, .. }, Standing::Alive) if direct => {
            let accuser = by.clone();
            neighbours::queue_urgent_first(membership, &accuser);
        }
        (Standing::Suspected { by, .. }, Standing::Alive) if direct => {
            for accuser in by {
                neighbours::queue_urgent_first(membership, accuser);
            }
        }
        (_, Standing::Accused { .. } | Standing::Suspected { .. }) => {
            if matches!(after, Standing::Suspected { .. }) {
                // All daemons must stop sending callers to the host; with
                // regular exchanges alone this would take seconds longer.
                neighbours::queue_next_neighbour(membership);
                neighbours::queue_next_neighbour(membership);
            }
            let recently_tried = membership.peers.get(host).is_some_and(|row| {
                row.own_failure
                    .is_some_and(|at| now.since(at) < suspicion::ACCUSATION_WINDOW)
            });
            if !recently_tried && neighbours::neighbours(membership).contains(host) {
                neighbours::queue_urgent_first(membership, host);
            }
        }
        _ => {}
    }
}

/// Merges a row that another host sent about this daemon.
fn merge_own(
    membership: &mut Membership,
    update: &RowUpdate,
    direct: bool,
    changes: &mut Vec<PeerChange>,
) {
    let own = &mut membership.own;
    let name_conflict = direct && update.incarnation != own.incarnation;
    if update.incarnation > own.incarnation || name_conflict {
        // The clock was set back before this start, or another process uses
        // the same host name. Peers keep the row with the highest incarnation,
        // so that this daemon has to use a higher one.
        let higher = update.incarnation.max(own.incarnation);
        own.incarnation.0 = higher.0.saturating_add(1 << 16);
        changes.push(PeerChange::OwnIncarnationRaised(own.incarnation));
        return;
    }
    if update.incarnation < own.incarnation {
        return;
    }
    own.heartbeat = own.heartbeat.max(update.heartbeat);
    // The hosts that consider this one accused, suspected or gone must get its
    // heartbeat immediately.
    let recipients = match &update.standing {
        StandingUpdate::Alive => return,
        StandingUpdate::Accused(by, _) => vec![by.clone()],
        StandingUpdate::Suspected(by, _) => by.to_vec(),
        StandingUpdate::Gone(_) => {
            let own = membership.own.id.clone();
            neighbours::inbound_neighbours(membership, &own)
        }
    };
    for host in recipients.iter().take(REFUTATION_RECIPIENTS_MAX) {
        neighbours::queue_urgent_first(membership, host);
    }
}

/// Resolves a conflict over a peer address in favour of the host with the
/// highest incarnation. Returns whether the received row may be merged.
fn resolve_address_conflict(
    membership: &mut Membership,
    update: &RowUpdate,
    changes: &mut Vec<PeerChange>,
) -> bool {
    if let Some(row) = membership.peers.get(&update.host)
        && row.peer_address == update.peer_address
    {
        return true;
    }
    if update.peer_address == membership.own.peer_address {
        return false;
    }
    let mut old = None;
    for (id, row) in membership.peers.rows() {
        if *id == update.host || row.peer_address != update.peer_address {
            continue;
        }
        if row.incarnation > update.incarnation {
            return false;
        }
        old = Some(id.clone());
    }
    if let Some(old) = old {
        membership.peers.remove(&old);
        membership.ring_changed = true;
        changes.push(PeerChange::Replaced {
            old,
            new: update.host.clone(),
        });
    }
    true
}

fn new_row(update: &RowUpdate, now: TimeMs) -> PeerRow {
    let last_heard = update.heard_age.map(|age| now - age);
    let reported = standing_at(&update.standing, now);
    let standing = if is_refuted(&reported, last_heard) {
        Standing::Alive
    } else {
        reported
    };
    PeerRow {
        failure_domain: update.failure_domain.clone(),
        peer_address: update.peer_address,
        caller_address: update.caller_address,
        incarnation: update.incarnation,
        heartbeat: update.heartbeat,
        phase: update.phase,
        standing,
        head: update.head,
        last_heard,
        last_contact: None,
        own_failure: None,
        listed: false,
        listed_leaving: false,
        sends_left: 0,
        ring_position: neighbours::ring_position(&update.host),
    }
}

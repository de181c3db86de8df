//! Builds and merges digests.

use crate::ids::HostId;
use crate::note::Head;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::DIGEST_ROWS_MAX;
use super::HeadNews;
use super::HostPhase;
use super::JOIN_ROWS_MAX;
use super::Membership;
use super::OwnRow;
use super::PeerChange;
use super::PeerDigest;
use super::PeerRow;
use super::RowNews;
use super::Standing;
use super::StandingNews;
use super::neighbours;
use super::suspicion;

/// The hosts that a suspected daemon sends its heartbeat to at once.
const REFUTATION_HEARERS: usize = 4;

/// Every fourth message carries a row in turn. A row that every news of it
/// missed is repaired by any peer within minutes.
const REPAIR_EACH: u64 = 4;

/// The most corrections that wait for an exchange.
const CORRECTIONS_MAX: usize = 32;

/// How many digests carry a changed row: enough that the news reach every
/// host with high probability when each tells it on (3 log2 n).
pub(super) fn sends_quota(membership: &Membership) -> u8 {
    let hosts = membership.peers.len() + 1;
    let bits = usize::BITS - hosts.leading_zeros();
    u8::try_from(3 * bits).unwrap_or(u8::MAX)
}

/// Builds the digest for `to` and raises the own heartbeat.
///
/// The slots for permits, evidence and poisoned requests are left empty for
/// the systems that own them.
pub fn digest(
    membership: &mut Membership,
    to: &HostId,
    head: Head,
    confirmed_at: Option<TimeMs>,
    now: TimeMs,
) -> PeerDigest {
    membership.own.heartbeat.0 += 1;
    PeerDigest {
        sender: own_news(&membership.own, head),
        turn: membership.plan.turn,
        rows: pick_rows(membership, to, now),
        head: HeadNews {
            head,
            confirmed_age: confirmed_at.map(|at| now.since(at)),
        },
        permits: Vec::new(),
        evidence: Vec::new(),
        poisoned: Vec::new(),
        leaving: Vec::new(),
    }
}

fn own_news(own: &OwnRow, head: Head) -> RowNews {
    RowNews {
        host: own.id.clone(),
        failure_domain: own.failure_domain.clone(),
        peer_address: own.peer_address,
        caller_address: Some(own.caller_address),
        incarnation: own.incarnation,
        heartbeat: own.heartbeat,
        phase: own.phase,
        head: head.number,
        heard_age: Some(DurationMs(0)),
        standing: StandingNews::Alive,
    }
}

fn row_news(id: &HostId, row: &PeerRow, now: TimeMs) -> RowNews {
    RowNews {
        host: id.clone(),
        failure_domain: row.failure_domain.clone(),
        peer_address: row.peer_address,
        caller_address: row.caller_address,
        incarnation: row.incarnation,
        heartbeat: row.heartbeat,
        phase: row.phase,
        head: row.head,
        heard_age: row.last_heard.map(|at| now.since(at)),
        standing: standing_news(&row.standing, now),
    }
}

fn standing_news(standing: &Standing, now: TimeMs) -> StandingNews {
    match standing {
        Standing::Alive => StandingNews::Alive,
        Standing::Accused { by, since } => StandingNews::Accused(by.clone(), now.since(*since)),
        Standing::Suspected { by, since } => StandingNews::Suspected(by.clone(), now.since(*since)),
        Standing::Gone { since } => StandingNews::Gone(now.since(*since)),
    }
}

fn standing_at(news: &StandingNews, now: TimeMs) -> Standing {
    match news {
        StandingNews::Alive => Standing::Alive,
        StandingNews::Accused(by, age) => Standing::Accused {
            by: by.clone(),
            since: now - *age,
        },
        StandingNews::Suspected(by, age) => Standing::Suspected {
            by: by.clone(),
            since: now - *age,
        },
        StandingNews::Gone(age) => Standing::Gone { since: now - *age },
    }
}

/// Takes the rows of which the receiver holds something refuted, its own row
/// if it has something to refute, the rows that were sent least often, and
/// rows in turn to repair what got lost.
fn pick_rows(membership: &mut Membership, to: &HostId, now: TimeMs) -> Vec<RowNews> {
    let mut rows = take_corrections(membership, to, now);
    let mut starting = false;
    if let Some(row) = membership.peers.get(to) {
        starting = row.phase == HostPhase::Starting;
        if row.standing != Standing::Alive {
            rows.push(row_news(to, row, now));
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
        if rows.iter().any(|news| news.host == *id) {
            continue;
        }
        rows.push(row_news(id, row, now));
    }
    let limit = if starting {
        JOIN_ROWS_MAX
    } else {
        let repair = membership.own.heartbeat.0.is_multiple_of(REPAIR_EACH);
        DIGEST_ROWS_MAX.min(rows.len() + usize::from(repair))
    };
    push_repairs(membership, to, limit, now, &mut rows);
    rows
}

fn take_corrections(membership: &mut Membership, to: &HostId, now: TimeMs) -> Vec<RowNews> {
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
            rows.push(row_news(&about, row, now));
        }
    }
    // This message does what an urgent one to the same host would.
    membership.plan.urgent.retain(|host| host != to);
    rows
}

/// Notes that `host` holds something of `about` that is refuted.
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
    neighbours::push_to(membership, host);
}

fn push_repairs(
    membership: &mut Membership,
    to: &HostId,
    limit: usize,
    now: TimeMs,
    rows: &mut Vec<RowNews>,
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
        if id == to || row.last_heard.is_none() || rows.iter().any(|news| news.host == *id) {
            continue;
        }
        rows.push(row_news(id, row, now));
    }
    if repaired.is_some() {
        membership.plan.repaired = repaired;
    }
}

/// Merges a digest that came straight from its sender.
///
/// Heads, permits, evidence and poisoned requests are merged by the systems
/// that own them.
pub fn merge(membership: &mut Membership, digest: &PeerDigest, now: TimeMs) -> Vec<PeerChange> {
    let mut changes = Vec::new();
    membership.last_contact = Some(now);
    let plan = &mut membership.plan;
    plan.fleet_turn = plan.fleet_turn.max(digest.turn);
    merge_row(membership, &digest.sender, true, now, &mut changes);
    for news in &digest.rows {
        if news.host == digest.sender.host {
            continue;
        }
        merge_row(membership, news, false, now, &mut changes);
        if is_corrected(membership, news, now) {
            add_correction(membership, &digest.sender.host, &news.host);
        }
    }
    changes
}

/// Returns whether this daemon knows a heartbeat that refutes the news.
fn is_corrected(membership: &Membership, news: &RowNews, now: TimeMs) -> bool {
    let Some(row) = membership.peers.get(&news.host) else {
        return false;
    };
    row.incarnation > news.incarnation
        || (row.incarnation == news.incarnation
            && is_refuted(&standing_at(&news.standing, now), row.last_heard))
}

fn merge_row(
    membership: &mut Membership,
    news: &RowNews,
    direct: bool,
    now: TimeMs,
    changes: &mut Vec<PeerChange>,
) {
    if news.host == membership.own.id {
        merge_own(membership, news, direct, changes);
        return;
    }
    if !resolve_address(membership, news, changes) {
        return;
    }
    let quota = sends_quota(membership);
    let Some(row) = membership.peers.get_mut(&news.host) else {
        let mut row = new_row(news, now);
        row.sends_left = quota;
        row.last_contact = direct.then_some(now);
        membership.peers.insert(news.host.clone(), row);
        membership.ring_changed = true;
        changes.push(PeerChange::Joined(news.host.clone()));
        return;
    };
    if direct && news.incarnation >= row.incarnation {
        row.last_contact = Some(now);
    }
    if news.incarnation < row.incarnation {
        return;
    }
    if news.incarnation > row.incarnation {
        let mut next = new_row(news, now);
        next.listed = row.listed;
        next.last_contact = row.last_contact;
        next.sends_left = quota;
        *row = next;
        membership.ring_changed = true;
        changes.push(PeerChange::Restarted(news.host.clone()));
        return;
    }
    let was = row.standing.clone();
    let changed = merge_same_start(row, news, direct, now, changes);
    let is = row.standing.clone();
    if changed {
        // One accusation concerns the neighbours of the host, who get it
        // first; flooding each lost message would exceed the bandwidth.
        let minor = is != was && was.rank().max(is.rank()) <= 1;
        row.sends_left = row.sends_left.max(if minor { quota / 4 } else { quota });
    }
    if is != was {
        membership.ring_changed |= was.rank().max(is.rank()) == 3;
        react(membership, &news.host, &was, &is, direct, now);
    }
}

/// Merges news of the same start of a host; returns whether peers should
/// hear of the result.
fn merge_same_start(
    row: &mut PeerRow,
    news: &RowNews,
    direct: bool,
    now: TimeMs,
    changes: &mut Vec<PeerChange>,
) -> bool {
    let mut changed = false;
    row.head = row.head.max(news.head);
    if news.heartbeat > row.heartbeat {
        row.heartbeat = news.heartbeat;
        if let Some(age) = news.heard_age {
            row.last_heard = row.last_heard.max(Some(now - age));
        }
        if row.phase != news.phase {
            row.phase = news.phase;
            changes.push(PeerChange::Phase(news.host.clone(), news.phase));
            changed = true;
        }
        if news.caller_address.is_some() && row.caller_address != news.caller_address {
            row.caller_address = news.caller_address;
            changed = true;
        }
        if row.peer_address != news.peer_address {
            row.peer_address = news.peer_address;
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
    let told = standing_at(&news.standing, now);
    if !is_refuted(&told, row.last_heard) {
        suspicion::adopt(row, told);
    }
    if row.standing != before {
        changes.push(PeerChange::Standing(
            news.host.clone(),
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

/// Sends what must not wait for a regular exchange.
fn react(
    membership: &mut Membership,
    host: &HostId,
    was: &Standing,
    is: &Standing,
    direct: bool,
    now: TimeMs,
) {
    match (was, is) {
        // The accuser should hear of the refutation before its time ends.
        (Standing::Accused { by, .. }, Standing::Alive) if direct => {
            let accuser = by.clone();
            neighbours::push_to(membership, &accuser);
        }
        (Standing::Suspected { by, .. }, Standing::Alive) if direct => {
            for accuser in by {
                neighbours::push_to(membership, accuser);
            }
        }
        (_, Standing::Accused { .. } | Standing::Suspected { .. }) => {
            if matches!(is, Standing::Suspected { .. }) {
                // Callers must stop using the host; waiting for the regular
                // exchanges takes seconds longer.
                neighbours::push_next(membership);
                neighbours::push_next(membership);
            }
            let tried = membership.peers.get(host).is_some_and(|row| {
                row.own_failure
                    .is_some_and(|at| now.since(at) < suspicion::ACCUSATION_WINDOW)
            });
            if !tried && neighbours::neighbours(membership).contains(host) {
                neighbours::push_to(membership, host);
            }
        }
        _ => {}
    }
}

/// Merges what another host tells of this daemon.
fn merge_own(
    membership: &mut Membership,
    news: &RowNews,
    direct: bool,
    changes: &mut Vec<PeerChange>,
) {
    let own = &mut membership.own;
    let same_name = direct && news.incarnation != own.incarnation;
    if news.incarnation > own.incarnation || same_name {
        // The clock went back before this start, or another process has the
        // same name; the row with the highest incarnation is the one in use.
        let higher = news.incarnation.max(own.incarnation);
        own.incarnation.0 = higher.0.saturating_add(1 << 16);
        changes.push(PeerChange::OwnIncarnationRaised(own.incarnation));
        return;
    }
    if news.incarnation < own.incarnation {
        return;
    }
    own.heartbeat = own.heartbeat.max(news.heartbeat);
    // The hosts that may remove this one should hear its heartbeat at once.
    let hearers = match &news.standing {
        StandingNews::Alive => return,
        StandingNews::Accused(by, _) => vec![by.clone()],
        StandingNews::Suspected(by, _) => by.to_vec(),
        StandingNews::Gone(_) => {
            let own = membership.own.id.clone();
            neighbours::watchers_of(membership, &own)
        }
    };
    for host in hearers.iter().take(REFUTATION_HEARERS) {
        neighbours::push_to(membership, host);
    }
}

/// Settles who has an address: the host with the latest start. Returns
/// whether the news are to be merged.
fn resolve_address(
    membership: &mut Membership,
    news: &RowNews,
    changes: &mut Vec<PeerChange>,
) -> bool {
    if let Some(row) = membership.peers.get(&news.host)
        && row.peer_address == news.peer_address
    {
        return true;
    }
    if news.peer_address == membership.own.peer_address {
        return false;
    }
    let mut old = None;
    for (id, row) in membership.peers.rows() {
        if *id == news.host || row.peer_address != news.peer_address {
            continue;
        }
        if row.incarnation > news.incarnation {
            return false;
        }
        old = Some(id.clone());
    }
    if let Some(old) = old {
        membership.peers.remove(&old);
        membership.ring_changed = true;
        changes.push(PeerChange::Replaced {
            old,
            new: news.host.clone(),
        });
    }
    true
}

fn new_row(news: &RowNews, now: TimeMs) -> PeerRow {
    let last_heard = news.heard_age.map(|age| now - age);
    let told = standing_at(&news.standing, now);
    let standing = if is_refuted(&told, last_heard) {
        Standing::Alive
    } else {
        told
    };
    PeerRow {
        failure_domain: news.failure_domain.clone(),
        peer_address: news.peer_address,
        caller_address: news.caller_address,
        incarnation: news.incarnation,
        heartbeat: news.heartbeat,
        phase: news.phase,
        standing,
        head: news.head,
        last_heard,
        last_contact: None,
        own_failure: None,
        listed: false,
        listed_leaving: false,
        sends_left: 0,
        ring_position: neighbours::ring_position(&news.host),
    }
}

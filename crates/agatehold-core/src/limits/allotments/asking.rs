//! Decides which daemons are asked for tokens of a tenant, and for how many.

use crate::ids::FailureDomain;
use crate::ids::HostId;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::entries::Parts;
use super::entries::score;
use super::peers::EMPTY_PAUSE_MS;
use super::peers::Peer;
use super::peers::TOKENS_MIN;
use super::rows::EPSILON;
use super::rows::Row;

/// For how long the tokens of a tenant must last before others are asked.
pub(super) const AHEAD_MS: DurationMs = DurationMs(100);

/// The requests per second below which nothing is asked ahead: less than one request
/// would come before the grant lapses.
pub(super) const AHEAD_RATE_MIN: f64 = 5.0;

/// The maximum number of daemons asked at once for a tenant.
const PEERS_PER_ROUND_MAX: usize = 32;

/// The number of empty answers in a row after which only few daemons are asked: the tenant
/// is over its limit, and asking costs more than it brings.
const EMPTY_ANSWERS_MAX: u32 = 6;

/// The number of daemons asked at once then.
const PEERS_PER_DRY_ROUND: usize = 3;

/// The number of holders up to which they are sorted for each round.
const SORTED_PEERS_MAX: usize = 64;

/// The share of what a holder is expected to have that it is asked for as a fraction. It
/// grants nothing to one who asks for more than it has.
const FRACTION_SHARE: f64 = 0.97;

/// Brings the row's list of other holders in line with the entry daemons.
pub(super) fn sync_peers(row: &mut Row, parts: &Parts, own_domain: &FailureDomain) {
    if row.peers_generation == Some(parts.generation) {
        return;
    }
    row.peers_generation = Some(parts.generation);
    let mut known = std::mem::take(&mut row.peers);
    for (entry, holder_score) in parts.current.holders(row.tenant_hash, &row.allotment) {
        if entry.host == parts.own {
            continue;
        }
        if let Some(position) = known.iter().position(|peer| peer.host == entry.host) {
            row.peers.push(known.swap_remove(position));
            continue;
        }
        // The order differs between daemons, so that they don't all ask the same first.
        let order = score(holder_score, parts.own_hash);
        let is_far = entry.failure_domain != *own_domain;
        row.peers
            .push(Peer::new(entry.host.clone(), (is_far, order)));
    }
    row.peers.sort_by_key(|peer| peer.order);
    row.next_peer = 0;
}

/// Returns the tokens to ask for, so that the requests that wait and those expected soon
/// are covered.
fn missing_tokens(row: &Row, now: TimeMs) -> f64 {
    let per_s = row.demand.per_s(now);
    let ahead = if per_s >= AHEAD_RATE_MIN {
        per_s * AHEAD_MS.0 as f64 / 1_000.0
    } else {
        0.0
    };
    let pending: f64 = row.peers.iter().map(|peer| peer.pending(now)).sum();
    f64::from(row.waiting) + ahead - row.available() - pending
}

/// Chooses the daemons to ask for tokens of a tenant now, and the tokens to ask each for.
pub(super) fn choose_peers(row: &mut Row, parts: &Parts, now: TimeMs) -> Vec<(HostId, f64)> {
    let mut chosen = Vec::new();
    let mut missing = missing_tokens(row, now);
    if missing <= EPSILON || row.peers.is_empty() {
        return chosen;
    }
    let mut first = 0;
    let mut peers_max = PEERS_PER_ROUND_MAX;
    if row.empty_answers >= EMPTY_ANSWERS_MAX {
        if now < row.ask_after {
            return chosen;
        }
        row.ask_after = now + EMPTY_PAUSE_MS;
        // Each round begins where the last one ended, so that every holder has its turn.
        first = row.next_peer;
        peers_max = PEERS_PER_DRY_ROUND;
    }
    let part = HolderPart::of(row, parts);
    sort_peers(row, &part, now);
    let count = row.peers.len();
    for offset in 0..count {
        if missing <= EPSILON || chosen.len() >= peers_max {
            break;
        }
        let position = (first + offset) % count;
        let peer = &mut row.peers[position];
        peer.check_answer(now);
        if !peer.may_ask(now) {
            continue;
        }
        // What does not make up a whole token mostly lapses.
        let expected = peer.expected(part.rate_per_s, part.burst, now);
        if expected + EPSILON < missing.min(1.0) {
            continue;
        }
        let tokens = peer.ask(missing, expected.max(1.0), now);
        missing -= expected;
        chosen.push((peer.host.clone(), tokens));
        row.next_peer = (position + 1) % count;
    }
    if chosen.is_empty() && row.waiting > 0 {
        collect_fractions(row, &part, now, &mut chosen);
    }
    chosen
}

/// Puts the holders that are expected to have the most first: a holder whose part is full
/// gains nothing more. A daemon without a part prefers its own failure domain.
fn sort_peers(row: &mut Row, part: &HolderPart, now: TimeMs) {
    if row.peers.len() > SORTED_PEERS_MAX || row.empty_answers >= EMPTY_ANSWERS_MAX {
        return;
    }
    let has_part = row.part > 0.0;
    let key = |peer: &Peer| {
        let expected = peer.expected(part.rate_per_s, part.burst, now);
        let (is_far, order) = peer.order;
        // In tenths of a token: smaller differences are not known.
        (
            !has_part && is_far,
            std::cmp::Reverse((expected * 10.0) as u64),
            order,
        )
    };
    row.peers.sort_by_key(key);
}

/// The part of an allotment that each holder has.
struct HolderPart {
    rate_per_s: f64,
    burst: f64,
}

impl HolderPart {
    fn of(row: &Row, parts: &Parts) -> Self {
        let holders = parts.current.holder_count(&row.allotment).max(1) as f64;
        Self {
            rate_per_s: row.allotment.rate_per_s / holders,
            burst: row.allotment.burst.max(1.0) / holders,
        }
    }
}

/// Asks for fractions of a token, if together they make up the one that a request waits
/// for. A fraction alone would lapse unused.
fn collect_fractions(
    row: &mut Row,
    part: &HolderPart,
    now: TimeMs,
    chosen: &mut Vec<(HostId, f64)>,
) {
    if row.peers.iter().any(|peer| peer.is_pending(now)) {
        return;
    }
    let mut missing = 1.0 - row.available().fract();
    let expected = |peer: &Peer| peer.expected(part.rate_per_s, part.burst, now) * FRACTION_SHARE;
    let can_ask = |peer: &Peer| peer.may_ask(now) && expected(peer) >= TOKENS_MIN;
    let askable = row.peers.iter().filter(|peer| can_ask(peer));
    if askable.map(expected).sum::<f64>() < missing {
        return;
    }
    for peer in &mut row.peers {
        if missing <= EPSILON {
            break;
        }
        if !can_ask(peer) {
            continue;
        }
        let tokens = expected(peer).min(missing);
        missing -= tokens;
        peer.ask(tokens, tokens, now);
        chosen.push((peer.host.clone(), tokens));
    }
}

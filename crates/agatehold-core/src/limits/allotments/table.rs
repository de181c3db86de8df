//! The buckets of all tenants in one daemon.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use crate::addresses::rendezvous_score;
use crate::ids::FailureDomain;
use crate::ids::HostId;
use crate::ids::TenantName;
use crate::tenants::Allotment;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::asking::AHEAD_MS;
use super::asking::AHEAD_RATE_MIN;
use super::asking::choose_peers;
use super::asking::sync_peers;
use super::entries::AllotmentEntry;
use super::entries::Parts;
use super::peers::ASK_ITEMS_MAX;
use super::peers::Ask;
use super::peers::AskNumber;
use super::peers::Grant;
use super::peers::GrantItem;
use super::peers::Peer;
use super::peers::REPEAT_AFTER_MS;
use super::retry_schedule::RetrySchedule;
use super::rows::EPSILON;
use super::rows::EventRate;
use super::rows::GRANT_LIFETIME_MS;
use super::rows::Row;
use super::rows::TakenToken;

/// The minimum time between two asks for the same tenant that no request waits for, so
/// that several tenants share a datagram.
const AHEAD_INTERVAL_MS: DurationMs = DurationMs(20);

/// The number of shards of the table; idle rows are dropped one shard at a time, since a
/// pass over all 63,000 rows would delay requests.
const SHARDS: usize = 64;

/// The interval at which the shards are swept, one after the other.
const SWEEP_INTERVAL_MS: DurationMs = DurationMs(100);

/// A change of this daemon's parts, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartChange {
    /// The number of entry daemons.
    pub entries: usize,
    /// The number of entry daemons by which parts are worked out; larger for a while after
    /// some have gone.
    pub divisor: usize,
    /// Whether this daemon has parts.
    pub has_part: bool,
}

/// An ask whose grant would still be applied.
#[derive(Debug)]
struct OpenAsk {
    ask: Ask,
    asked_at: TimeMs,
    is_repeated: bool,
}

/// The buckets of the tenants that sent requests lately.
///
/// A tenant without a row has the tokens that its part has gained since the process first
/// had one, so that a row is dropped once its bucket is full.
#[derive(Debug)]
pub struct AllotmentTable {
    parts: Parts,
    own_domain: FailureDomain,
    shards: Vec<HashMap<TenantName, Row>>,
    next_sweep: usize,
    swept_at: TimeMs,
    /// The tenants whose tokens run low.
    low: HashSet<TenantName>,
    /// When others were last asked without a request that waits.
    asked_ahead_at: TimeMs,
    last_number: u64,
    /// The asks whose grants would still be applied, in the order of their numbers.
    open_asks: VecDeque<OpenAsk>,
    /// The grants of the last [`GRANT_LIFETIME_MS`], by the process that asked and the
    /// number of its ask, so that a repeated ask gets the same answer.
    given: HashMap<(u64, AskNumber), Grant>,
    given_at: VecDeque<((u64, AskNumber), TimeMs)>,
    told: Option<PartChange>,
}

impl AllotmentTable {
    /// Creates the table of a process that starts, without parts.
    pub fn new(own: HostId, own_domain: FailureDomain, window_ms: DurationMs, now: TimeMs) -> Self {
        Self {
            parts: Parts::new(own, window_ms, now),
            own_domain,
            shards: (0..SHARDS).map(|_| HashMap::new()).collect(),
            next_sweep: 0,
            swept_at: now,
            low: HashSet::new(),
            asked_ahead_at: TimeMs(0),
            last_number: 0,
            open_asks: VecDeque::new(),
            given: HashMap::new(),
            given_at: VecDeque::new(),
            told: None,
        }
    }

    /// Sets the entry daemons among which allotments are divided. A smaller part applies
    /// at once, a larger one a window and [`super::CHANGE_KNOWN_AFTER_MS`] later.
    pub fn set_parts(&mut self, entries: Vec<AllotmentEntry>, now: TimeMs) {
        self.parts.set(entries, now);
    }

    /// Records that the store or another daemon has answered. Without this for
    /// [`super::DROP_PART_AFTER_MS`] the daemon drops its parts.
    pub fn record_answer(&mut self, now: TimeMs) {
        self.parts.record_answer(now);
    }

    /// Forgets all tokens and drops the parts, because the host was suspended and others
    /// may have taken them over.
    pub fn forget_tokens(&mut self, now: TimeMs) {
        self.parts.drop_parts(now);
        for shard in &mut self.shards {
            for row in shard.values_mut() {
                row.tokens = 0.0;
                row.granted.clear();
            }
        }
        self.open_asks.clear();
    }

    /// Returns what has changed in this daemon's parts since the last call.
    pub fn take_part_change(&mut self, now: TimeMs) -> Option<PartChange> {
        self.parts.expire(now);
        let (entries, divisor, has_part) = self.parts.summary(now);
        let newest = PartChange {
            entries,
            divisor,
            has_part,
        };
        if self.told == Some(newest) {
            return None;
        }
        self.told = Some(newest);
        Some(newest)
    }

    /// Takes a token for a request that has arrived; `None` if there is none.
    pub fn take(
        &mut self,
        tenant: &TenantName,
        allotment: &Allotment,
        now: TimeMs,
    ) -> Option<TakenToken> {
        self.sweep(now);
        let row = self.row(tenant, allotment, now);
        row.demand.record(now);
        let taken = row.take();
        let per_s = row.demand.per_s(now);
        if taken.is_some() {
            row.admitted.record(now);
        }
        let is_low =
            per_s >= AHEAD_RATE_MIN && row.available() < per_s * AHEAD_MS.0 as f64 / 1_000.0;
        if is_low && !self.low.contains(tenant) {
            self.low.insert(tenant.clone());
        }
        taken
    }

    /// Records that a request without a token begins to wait for grants.
    pub fn start_waiting(&mut self, tenant: &TenantName, allotment: &Allotment, now: TimeMs) {
        self.row(tenant, allotment, now).waiting += 1;
        self.low.insert(tenant.clone());
    }

    /// Takes a token for a request that waits.
    pub fn take_waiting(
        &mut self,
        tenant: &TenantName,
        allotment: &Allotment,
        now: TimeMs,
    ) -> Option<TakenToken> {
        let row = self.row(tenant, allotment, now);
        let taken = row.take();
        if taken.is_some() {
            row.admitted.record(now);
        }
        taken
    }

    /// Records that a request no longer waits, with or without a token.
    pub fn end_waiting(&mut self, tenant: &TenantName) {
        if let Some(row) = self.shards[shard_of(tenant)].get_mut(tenant) {
            row.waiting = row.waiting.saturating_sub(1);
        }
    }

    /// Returns whether a request that waits may get a token within `wait_ms`: an answer is
    /// due, or the own part gains enough.
    pub fn may_get_token(&self, tenant: &TenantName, wait_ms: DurationMs, now: TimeMs) -> bool {
        let Some(row) = self.shards[shard_of(tenant)].get(tenant) else {
            return false;
        };
        let gained = row.own_rate_per_s() * wait_ms.0 as f64 / 1_000.0;
        row.available() + gained >= f64::from(row.waiting.max(1)) - EPSILON
            || row.peers.iter().any(|peer| peer.is_pending(now))
    }

    /// Puts a token back whose request has not reached a target.
    pub fn give_back(&mut self, tenant: &TenantName, taken: TakenToken, now: TimeMs) {
        let Some(row) = self.shards[shard_of(tenant)].get_mut(tenant) else {
            return;
        };
        row.refill(now);
        row.give_back(taken, now);
    }

    /// Returns what to ask other daemons for.
    pub fn needs(&mut self, now: TimeMs) -> Vec<Ask> {
        let is_ahead_due = now.since(self.asked_ahead_at) >= AHEAD_INTERVAL_MS;
        let mut by_peer: BTreeMap<HostId, Vec<(TenantName, f64)>> = BTreeMap::new();
        let mut low = std::mem::take(&mut self.low);
        let mut has_asked_ahead = false;
        low.retain(|tenant| {
            let Some(row) = self.shards[shard_of(tenant)].get_mut(tenant) else {
                return false;
            };
            if row.waiting == 0 && !is_ahead_due {
                return true;
            }
            has_asked_ahead |= row.waiting == 0;
            row.refill(now);
            sync_peers(row, &self.parts, &self.own_domain);
            for (host, tokens) in choose_peers(row, &self.parts, now) {
                let items = by_peer.entry(host).or_default();
                items.push((tenant.clone(), tokens));
            }
            row.waiting > 0
        });
        self.low = low;
        if has_asked_ahead {
            self.asked_ahead_at = now;
        }
        self.drop_lapsed_asks(now);
        let mut asks = self.unanswered(now);
        for (to, items) in by_peer {
            for items in items.chunks(ASK_ITEMS_MAX) {
                asks.push(self.open_ask(to.clone(), items.to_vec(), now));
            }
        }
        asks
    }

    /// Returns empty asks that find out whether other daemons answer, if the store has not
    /// answered for a while.
    pub fn probes(&mut self, now: TimeMs) -> Vec<Ask> {
        let hosts = self.parts.next_probed(now);
        self.drop_lapsed_asks(now);
        let mut asks = Vec::with_capacity(hosts.len());
        for to in hosts {
            asks.push(self.open_ask(to, Vec::new(), now));
        }
        asks
    }

    /// Answers an ask of another daemon. What is granted is deducted before the answer is
    /// sent, and what this daemon expects to need itself is kept. A repeated ask of the same
    /// process gets the same answer.
    pub fn grant(
        &mut self,
        process: u64,
        number: AskNumber,
        items: &[(TenantName, f64)],
        allotment_of: impl Fn(&TenantName) -> Option<Allotment>,
        now: TimeMs,
    ) -> Grant {
        while let Some((key, at)) = self.given_at.front() {
            if now.since(*at) < GRANT_LIFETIME_MS {
                break;
            }
            self.given.remove(key);
            self.given_at.pop_front();
        }
        if let Some(grant) = self.given.get(&(process, number)) {
            return grant.clone();
        }
        let mut granted = Vec::with_capacity(items.len());
        for (tenant, asked) in items {
            let (mut tokens, mut left) = (0.0, 0.0);
            if let Some(allotment) = allotment_of(tenant) {
                let row = self.row(tenant, &allotment, now);
                let expected = row.demand.per_s(now) * AHEAD_MS.0 as f64 / 1_000.0;
                let kept = expected + f64::from(row.waiting);
                // Granted tokens are not passed on: they would outlive their time.
                let spare = (row.tokens - kept).max(0.0);
                tokens = grantable(*asked, spare);
                row.tokens -= tokens;
                left = spare - tokens;
                row.asked.record(now);
                if row.is_contended(now) {
                    // Others would collect fractions that one of them can't complete.
                    left = left.floor();
                }
            }
            granted.push(GrantItem {
                tenant: tenant.clone(),
                tokens,
                left,
            });
        }
        let grant = Grant {
            from: self.parts.own.clone(),
            number,
            items: granted,
        };
        self.given.insert((process, number), grant.clone());
        self.given_at.push_back(((process, number), now));
        grant
    }

    /// Applies the answer to an ask; returns the number of tokens received. An answer that
    /// is repeated, late, or of another daemon than the one asked changes nothing.
    pub fn apply_grant(&mut self, grant: &Grant, now: TimeMs) -> f64 {
        self.drop_lapsed_asks(now);
        let found = self
            .open_asks
            .binary_search_by_key(&grant.number, |open| open.ask.number);
        let Ok(position) = found else {
            return 0.0;
        };
        if self.open_asks[position].ask.to != grant.from {
            return 0.0;
        }
        let Some(open) = self.open_asks.remove(position) else {
            return 0.0;
        };
        self.parts.record_answer(now);
        let lapses_at = open.asked_at + GRANT_LIFETIME_MS;
        let mut received = 0.0;
        for item in &grant.items {
            let Some(row) = self.shards[shard_of(&item.tenant)].get_mut(&item.tenant) else {
                continue;
            };
            let is_from = |peer: &&mut Peer| peer.host == grant.from;
            if let Some(peer) = row.peers.iter_mut().find(is_from) {
                peer.record_answer(item.tokens, item.left, now);
            }
            if item.tokens <= 0.0 {
                row.empty_answers = row.empty_answers.saturating_add(1);
                continue;
            }
            row.empty_answers = 0;
            received += item.tokens;
            let place = row.granted.partition_point(|(_, at)| *at <= lapses_at);
            row.granted.insert(place, (item.tokens, lapses_at));
        }
        received
    }

    /// Returns when a refused request should come back. Each refusal takes the next free
    /// time at the rate at which this daemon admits requests of the tenant.
    pub fn retry_after(
        &mut self,
        tenant: &TenantName,
        allotment: &Allotment,
        now: TimeMs,
    ) -> DurationMs {
        let row = self.row(tenant, allotment, now);
        let local_per_s = row.admitted.per_s(now).max(row.own_rate_per_s());
        // A daemon that has admitted nothing lately knows no better rate than an even
        // part of the tenant's.
        let least_per_s = allotment.rate_per_s / 32.0;
        let rate_per_s = local_per_s.clamp(least_per_s, allotment.rate_per_s);
        let missing = (1.0 - row.available()).max(0.0);
        let first_ms = missing * 1_000.0 / rate_per_s;
        row.schedule.next(first_ms, rate_per_s, now)
    }

    /// Returns the number of tenants in the table.
    pub fn len(&self) -> usize {
        self.shards.iter().map(HashMap::len).sum()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops the rows of the next shard that are idle and full, if a sweep is due.
    pub fn sweep(&mut self, now: TimeMs) {
        if now.since(self.swept_at) < SWEEP_INTERVAL_MS {
            return;
        }
        self.swept_at = now;
        self.parts.expire(now);
        self.shards[self.next_sweep].retain(|_, row| {
            row.refill(now);
            !row.is_idle(now)
        });
        self.next_sweep = (self.next_sweep + 1) % SHARDS;
    }

    /// Returns the asks that are to be repeated, since they or their answers may be lost.
    fn unanswered(&mut self, now: TimeMs) -> Vec<Ask> {
        let mut asks = Vec::new();
        for open in &mut self.open_asks {
            if now.since(open.asked_at) < REPEAT_AFTER_MS {
                break;
            }
            if !open.is_repeated && !open.ask.items.is_empty() {
                open.is_repeated = true;
                asks.push(open.ask.clone());
            }
        }
        asks
    }

    /// Numbers an ask, so that its grant will be applied.
    fn open_ask(&mut self, to: HostId, items: Vec<(TenantName, f64)>, now: TimeMs) -> Ask {
        self.last_number += 1;
        let number = AskNumber(self.last_number);
        let ask = Ask { to, number, items };
        self.open_asks.push_back(OpenAsk {
            ask: ask.clone(),
            asked_at: now,
            is_repeated: false,
        });
        ask
    }

    fn drop_lapsed_asks(&mut self, now: TimeMs) {
        while let Some(open) = self.open_asks.front() {
            if now.since(open.asked_at) < GRANT_LIFETIME_MS {
                break;
            }
            self.open_asks.pop_front();
        }
    }

    /// Returns the up-to-date row of a tenant, which is made if there is none.
    fn row(&mut self, tenant: &TenantName, allotment: &Allotment, now: TimeMs) -> &mut Row {
        self.parts.expire(now);
        let parts = &self.parts;
        let row = self.shards[shard_of(tenant)]
            .entry(tenant.clone())
            .or_insert_with(|| new_row(tenant, allotment, parts, now));
        if row.generation != parts.generation || row.allotment != *allotment {
            let part = parts.part(row.tenant_hash, allotment, now);
            row.set_part(part, *allotment, now);
            row.generation = parts.generation;
            row.peers_generation = None;
        } else {
            row.refill(now);
        }
        row
    }
}

/// Creates the row of a tenant that has sent nothing lately. Its bucket has filled since
/// the process first had a part: what its previous process spent is not known.
fn new_row(tenant: &TenantName, allotment: &Allotment, parts: &Parts, now: TimeMs) -> Row {
    let tenant_hash = rendezvous_score(&["allotment"], tenant.as_str());
    Row {
        tenant_hash,
        allotment: *allotment,
        part: parts.part(tenant_hash, allotment, now),
        generation: parts.generation,
        tokens: 0.0,
        at: parts.filled_from.unwrap_or(now),
        granted: VecDeque::new(),
        demand: EventRate::of_requests(),
        asked: EventRate::of_asks(),
        admitted: EventRate::of_requests(),
        waiting: 0,
        peers: Vec::new(),
        peers_generation: None,
        next_peer: 0,
        empty_answers: 0,
        ask_after: TimeMs(0),
        schedule: RetrySchedule::default(),
    }
}

/// Returns how much of `spare` is granted. Less than what was asked for is granted in whole
/// tokens only: a fraction would mostly lapse at the other daemon.
fn grantable(asked: f64, spare: f64) -> f64 {
    if asked <= spare + EPSILON {
        return asked.min(spare).max(0.0);
    }
    (spare + EPSILON).floor().min(spare)
}

/// Returns the shard of a tenant.
fn shard_of(tenant: &TenantName) -> usize {
    rendezvous_score(&["shard"], tenant.as_str()) as usize % SHARDS
}

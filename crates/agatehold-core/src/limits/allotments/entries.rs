//! Decides which entry daemons hold parts of a tenant's allotment, and when a part changes.

use std::collections::VecDeque;

use crate::addresses::rendezvous_score;
use crate::ids::FailureDomain;
use crate::ids::HostId;
use crate::tenants::Allotment;
use crate::units::DurationMs;
use crate::units::TimeMs;

/// How long a larger part has to wait beyond a window: a lease (5 s), and the time in which
/// daemons learn of a change (3 s). What others have spent of the part has left the window
/// by then.
pub const CHANGE_KNOWN_AFTER_MS: DurationMs = DurationMs(8_000);

/// How long a daemon that nobody answers keeps its part. The others take it over at the
/// earliest when its lease and the wait for a larger part have passed.
pub const DROP_PART_AFTER_MS: DurationMs = DurationMs(10_000);

/// How long the holders of before keep their parts after entry daemons were added: about
/// the time until most daemons know of it.
const HANDOVER_MS: DurationMs = DurationMs(1_500);

/// How long an added entry daemon waits for its part: until the holders of before know of
/// it and have given it up.
const ADDED_AFTER_MS: DurationMs = DurationMs(3_000);

/// How long after the last answer others are asked for one, and how many at a time.
const PROBE_AFTER_MS: DurationMs = DurationMs(2_000);
const PROBES: usize = 3;

/// How long after its start a process takes its part at once. A fleet that starts agrees
/// on the holders within this time; later another host may have lost the part.
const START_MS: DurationMs = DurationMs(5_000);

/// The minimum number of holders of a tenant, so that it does not depend on one host.
const HOLDERS_MIN: usize = 2;

/// The part of the burst below which a tenant gets fewer holders. Of a part that is much
/// smaller than one token, every request would have to ask many daemons.
const HOLDER_TOKENS_MIN: f64 = 4.0;

/// The minimum number of daemons that hold parts.
const PART_HOLDERS_MIN: usize = 6;

/// One daemon in so many holds parts.
const MEMBERS_PER_PART_HOLDER: usize = 16;

/// Returns how many daemons of a fleet hold parts of allotments.
///
/// The number changes only when the fleet doubles or halves: after each change some parts
/// are not used for seconds.
pub fn part_holders(members: usize) -> usize {
    let holders = members.next_power_of_two() / MEMBERS_PER_PART_HOLDER;
    holders.max(PART_HOLDERS_MIN)
}

/// An entry daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllotmentEntry {
    /// Its host.
    pub host: HostId,
    /// The failure domain of its host.
    pub failure_domain: FailureDomain,
}

/// The entry daemons at one time, with the hash of each host.
#[derive(Clone, Debug, Default)]
pub(super) struct EntrySet {
    rows: Vec<(AllotmentEntry, u64)>,
}

impl EntrySet {
    fn new(entries: Vec<AllotmentEntry>) -> Self {
        let mut rows = Vec::with_capacity(entries.len());
        for entry in entries {
            let hash = host_hash(&entry.host);
            rows.push((entry, hash));
        }
        Self { rows }
    }

    /// Returns whether all entry daemons of this set are in `other` too.
    fn is_part_of(&self, other: &Self) -> bool {
        let mut rows = self.rows.iter();
        rows.all(|(entry, hash)| {
            let mut others = other.rows.iter();
            others.any(|(known, known_hash)| known_hash == hash && known.host == entry.host)
        })
    }

    fn is_same(&self, entries: &[AllotmentEntry]) -> bool {
        self.rows.iter().map(|(entry, _)| entry).eq(entries)
    }

    /// Returns the number of holders of an allotment.
    pub(super) fn holder_count(&self, allotment: &Allotment) -> usize {
        // The cast saturates: more holders than daemons are not needed.
        let wanted = (allotment.burst / HOLDER_TOKENS_MIN) as usize;
        wanted.max(HOLDERS_MIN).min(self.rows.len())
    }

    /// Returns the part of the allotment that the daemon on `own` holds.
    fn part(&self, own: &HostId, tenant_hash: u64, allotment: &Allotment) -> f64 {
        let Some((_, own_hash)) = self.rows.iter().find(|(entry, _)| entry.host == *own) else {
            return 0.0;
        };
        let holders = self.holder_count(allotment);
        let own_score = score(tenant_hash, *own_hash);
        let hashes = self.rows.iter().map(|(_, hash)| *hash);
        let before = hashes.filter(|hash| score(tenant_hash, *hash) > own_score);
        if holders < self.rows.len() && before.count() >= holders {
            return 0.0;
        }
        1.0 / holders as f64
    }

    /// Returns the holders of an allotment.
    pub(super) fn holders(
        &self,
        tenant_hash: u64,
        allotment: &Allotment,
    ) -> Vec<(&AllotmentEntry, u64)> {
        let mut found = Vec::with_capacity(self.rows.len());
        for (entry, hash) in &self.rows {
            found.push((entry, score(tenant_hash, *hash)));
        }
        let holders = self.holder_count(allotment);
        if holders < found.len() {
            found.select_nth_unstable_by_key(holders, |(_, score)| std::cmp::Reverse(*score));
            found.truncate(holders);
        }
        found
    }
}

fn host_hash(host: &HostId) -> u64 {
    rendezvous_score(&["allotment-holder"], host.as_str())
}

/// Returns the rendezvous score of a holder: the finaliser of SplitMix64 over both hashes.
pub(super) fn score(tenant_hash: u64, host_hash: u64) -> u64 {
    let mut hash = tenant_hash ^ host_hash;
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// A set of entry daemons that was in force before.
#[derive(Clone, Debug)]
struct ReplacedSet {
    entries: EntrySet,
    /// Whether the set that replaced it has only more entry daemons.
    only_added: bool,
    replaced_at: TimeMs,
}

/// The entry daemons of now and of the time for which a larger part has to wait.
///
/// A part is the smallest one that any of these sets gives, so that a smaller part applies
/// at once and a larger one later. If entry daemons were only added, the holders of before
/// keep their parts for [`HANDOVER_MS`] and the added ones wait for [`ADDED_AFTER_MS`]:
/// nobody has to be waited for that may be gone, and the tenants are not left with half of
/// their allotments for the longer wait.
#[derive(Clone, Debug)]
pub(super) struct Parts {
    pub(super) own: HostId,
    pub(super) own_hash: u64,
    pub(super) current: EntrySet,
    /// The sets that were in force before; the oldest first.
    replaced: VecDeque<ReplacedSet>,
    /// The number of sets that limit the parts now, and whether the newest of them still
    /// gives the parts.
    limits: (usize, bool),
    /// How long a larger part has to wait.
    larger_after_ms: DurationMs,
    started_at: TimeMs,
    /// When this process last became a holder; its buckets were empty then.
    pub(super) filled_from: Option<TimeMs>,
    /// The position of the entry daemon that is probed next.
    next_probed: usize,
    /// When the store or another daemon last answered.
    answered_at: TimeMs,
    /// The end of the time without parts after nobody has answered.
    dropped_until: Option<TimeMs>,
    /// Increases whenever parts may have changed.
    pub(super) generation: u64,
}

impl Parts {
    pub(super) fn new(own: HostId, window_ms: DurationMs, now: TimeMs) -> Self {
        Self {
            own_hash: host_hash(&own),
            own,
            current: EntrySet::default(),
            replaced: VecDeque::new(),
            limits: (0, false),
            larger_after_ms: window_ms + CHANGE_KNOWN_AFTER_MS,
            started_at: now,
            filled_from: None,
            next_probed: 0,
            answered_at: now,
            dropped_until: None,
            generation: 0,
        }
    }

    /// Sets the entry daemons.
    pub(super) fn set(&mut self, entries: Vec<AllotmentEntry>, now: TimeMs) {
        self.expire(now);
        if self.current.is_same(&entries) {
            return;
        }
        let own_hash = self.own_hash;
        let is_own =
            |(entry, hash): &(AllotmentEntry, u64)| *hash == own_hash && entry.host == self.own;
        let was_holder = self.current.rows.iter().any(is_own);
        let is_holder = entries.iter().any(|entry| entry.host == self.own);
        let before = std::mem::replace(&mut self.current, EntrySet::new(entries));
        self.replaced.push_back(ReplacedSet {
            only_added: !before.rows.is_empty() && before.is_part_of(&self.current),
            entries: before,
            replaced_at: now,
        });
        self.generation += 1;
        if is_holder && !was_holder {
            let is_first = self.filled_from.replace(now).is_none();
            if is_first && now.since(self.started_at) <= START_MS {
                // The previous process on this host had the part.
                self.replaced.clear();
            }
        }
    }

    /// Records that the store or another daemon has answered.
    pub(super) fn record_answer(&mut self, now: TimeMs) {
        self.expire(now);
        self.answered_at = now;
    }

    /// Returns the entry daemons that are asked next whether they answer; none while the
    /// store answers.
    pub(super) fn next_probed(&mut self, now: TimeMs) -> Vec<HostId> {
        let mut hosts = Vec::new();
        if now.since(self.answered_at) < PROBE_AFTER_MS {
            return hosts;
        }
        for _ in 0..self.current.rows.len().min(PROBES) {
            let position = self.next_probed % self.current.rows.len();
            self.next_probed = position + 1;
            let (entry, _) = &self.current.rows[position];
            if entry.host != self.own {
                hosts.push(entry.host.clone());
            }
        }
        hosts
    }

    /// Drops the parts until others have given back what they took over.
    pub(super) fn drop_parts(&mut self, now: TimeMs) {
        if self.dropped_until.is_none_or(|until| until <= now) {
            self.generation += 1;
        }
        self.dropped_until = Some(now + self.larger_after_ms);
    }

    /// Applies what depends on the time: forgets old sets, and drops the parts if nobody
    /// has answered.
    pub(super) fn expire(&mut self, now: TimeMs) {
        while let Some(oldest) = self.replaced.front() {
            if now.since(oldest.replaced_at) < self.larger_after_ms {
                break;
            }
            self.replaced.pop_front();
            self.generation += 1;
        }
        let limits = (self.limiting(now).count(), self.handed_over(now).is_some());
        if std::mem::replace(&mut self.limits, limits) != limits {
            self.generation += 1;
        }
        if self.dropped_until.is_some_and(|until| now >= until) {
            self.dropped_until = None;
            self.generation += 1;
        }
        if now.since(self.answered_at) >= DROP_PART_AFTER_MS {
            self.drop_parts(now);
        }
    }

    /// Returns the part of the allotment that this daemon holds, from 0 to 1.
    pub(super) fn part(&self, tenant_hash: u64, allotment: &Allotment, now: TimeMs) -> f64 {
        if self.dropped_until.is_some() {
            return 0.0;
        }
        let newest = self.handed_over(now).unwrap_or(&self.current);
        let mut part = newest.part(&self.own, tenant_hash, allotment);
        for entries in self.limiting(now) {
            part = part.min(entries.part(&self.own, tenant_hash, allotment));
        }
        part
    }

    /// Returns the sets that limit the parts.
    fn limiting(&self, now: TimeMs) -> impl Iterator<Item = &EntrySet> {
        let rows = self.replaced.iter();
        let limiting = rows.filter(move |set| {
            let limits_ms = match set.only_added {
                true => ADDED_AFTER_MS,
                false => self.larger_after_ms,
            };
            now.since(set.replaced_at) < limits_ms
        });
        limiting.map(|set| &set.entries)
    }

    /// Returns the set that still gives the parts, if entry daemons have just been added.
    fn handed_over(&self, now: TimeMs) -> Option<&EntrySet> {
        let newest = self.replaced.back()?;
        let is_recent = now.since(newest.replaced_at) < HANDOVER_MS;
        (newest.only_added && is_recent).then_some(&newest.entries)
    }

    /// Returns the numbers that a log line on parts tells: the entry daemons, those by
    /// which the parts are worked out, and whether this daemon has parts.
    pub(super) fn summary(&self, now: TimeMs) -> (usize, usize, bool) {
        let is_entry = |set: &EntrySet| set.rows.iter().any(|(entry, _)| entry.host == self.own);
        let sets = self.limiting(now);
        let mut divisor = self.current.rows.len();
        let mut has_part = self.dropped_until.is_none() && is_entry(&self.current);
        for set in sets {
            divisor = divisor.max(set.rows.len());
            has_part &= is_entry(set);
        }
        (self.current.rows.len(), divisor, has_part)
    }
}

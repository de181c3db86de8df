//! A local mirror of a key prefix of the platform's store that keeps its rows
//! during outages of the store.

use std::collections::VecDeque;

use crate::table::Table;
use crate::units::DurationMs;
use crate::units::StoreEra;
use crate::units::StoreRevision;
use crate::units::TimeMs;

use super::RegistrationMark;

/// How long a missing row is kept after the store has become available again.
///
/// Keys whose leases expired during the outage are written again within about
/// two seconds of its end if their owners are still running.
pub const MISSING_ROW_GRACE_MS: DurationMs = DurationMs(2_200);

/// The number of removals that a mirror remembers for daemons that the store turns away.
const REMOVALS_MAX: usize = 512;

/// The number of ended registrations that a mirror remembers. A copy of the store from
/// which it is restored is some seconds old, and so are the registrations in it that have
/// ended since.
const ENDED_MAX: usize = 1_024;

/// A registration that has ended: its row was removed, or written by another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRegistration<K> {
    /// The key.
    pub key: K,
    /// The registration as last known.
    pub mark: RegistrationMark,
    /// The era of the store in which it ended.
    pub era: StoreEra,
}

/// A mirrored row and its state in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MirroredRow<R> {
    /// The content.
    pub content: R,
    /// The store's revision of the content.
    pub revision: StoreRevision,
    /// The registration in the content; `None` if the rows are no registrations.
    pub mark: Option<RegistrationMark>,
    /// The era of the content. It is older than that of `revision` if the store came back
    /// from a copy with an older registration, which does not replace the known one.
    pub content_era: StoreEra,
    /// When the content arrived.
    pub seen_at: TimeMs,
    /// The revision at which the store removed the row; `None` if the store has it. Such a
    /// row is kept until the store has been available again
    /// for [`MISSING_ROW_GRACE_MS`], or until another daemon has removed it.
    pub missing_since: Option<StoreRevision>,
}

/// A table that mirrors the keys below one prefix of the store.
#[derive(Clone, Debug)]
pub struct StoreMirror<K, R> {
    /// The rows by key.
    pub rows: Table<K, MirroredRow<R>>,
    /// Whether the store is unavailable.
    is_unavailable: bool,
    /// The end of the grace period after an outage, during which missing rows
    /// are kept.
    grace_ends_at: TimeMs,
    /// The rows that were removed, with the revision at which the store removed each, the
    /// latest last. Holds no key of `rows`.
    removals: VecDeque<(K, StoreRevision)>,
    /// The registrations that have ended, the latest last.
    ended: VecDeque<EndedRegistration<K>>,
    /// The newest era of any revision that was applied.
    era: StoreEra,
}

impl<K: Ord + Clone, R: PartialEq> StoreMirror<K, R> {
    /// Creates an empty table.
    pub const fn new() -> Self {
        Self {
            rows: Table::new(),
            is_unavailable: false,
            grace_ends_at: TimeMs(0),
            removals: VecDeque::new(),
            ended: VecDeque::new(),
            era: StoreEra(0),
        }
    }

    /// Starts the grace period if a revision is the first of a new era. The copy that the
    /// store came back from lacks what was written after it, and the owners write it
    /// again.
    fn enter_era(&mut self, era: StoreEra, now: TimeMs) {
        if era <= self.era {
            return;
        }
        self.era = era;
        if !self.rows.is_empty() {
            self.grace_ends_at = self.grace_ends_at.max(now + MISSING_ROW_GRACE_MS);
        }
    }

    /// Marks the store as unavailable.
    pub fn store_lost(&mut self) {
        self.is_unavailable = true;
    }

    /// Marks the store as available again, which starts the grace period.
    /// Does nothing if it was available.
    pub fn store_returned(&mut self, now: TimeMs) {
        if !self.is_unavailable {
            return;
        }
        self.is_unavailable = false;
        self.grace_ends_at = now + MISSING_ROW_GRACE_MS;
    }

    /// Inserts or updates a row. Returns whether anything changed.
    ///
    /// A revision that is not higher than the stored one leaves the content as
    /// it is, since a watch may repeat what a listing already contained.
    pub fn put(&mut self, key: K, content: R, revision: StoreRevision, now: TimeMs) -> bool {
        self.put_registration(key, content, None, revision, now)
    }

    /// Inserts or updates a row that is a registration, like [`Self::put`].
    ///
    /// A store that came back from an older copy may list a registration that has ended,
    /// or that is older than the known one. Such a registration leaves what is known as it
    /// is, until the owner registers again.
    pub fn put_registration(
        &mut self,
        key: K,
        content: R,
        mark: Option<RegistrationMark>,
        revision: StoreRevision,
        now: TimeMs,
    ) -> bool {
        self.enter_era(revision.era(), now);
        let is_ended = mark.is_some_and(|mark| self.has_ended(&key, mark, revision.era()));
        let Some(held) = self.rows.get_mut(&key) else {
            if !is_ended {
                self.insert(key, content, mark, revision, now);
            }
            return !is_ended;
        };
        if revision < held.revision {
            return false;
        }
        let was_missing = held.missing_since.take().is_some();
        if revision == held.revision {
            return was_missing;
        }
        held.revision = revision;
        let is_of_copy = held.content_era < revision.era()
            && held
                .mark
                .zip(mark)
                .is_some_and(|(held, new)| held.outdates(&new));
        if is_ended || is_of_copy {
            return was_missing;
        }
        if held.content == content {
            held.mark = mark;
            held.content_era = revision.era();
            return was_missing;
        }
        let replaced = held.mark;
        if let (Some(replaced), Some(mark)) = (replaced, mark)
            && replaced.started_unix_ms != mark.started_unix_ms
        {
            self.record_ended(key.clone(), replaced, revision.era());
        }
        self.insert(key, content, mark, revision, now);
        true
    }

    /// Returns whether a registration had ended in an era before `era`.
    fn has_ended(&self, key: &K, mark: RegistrationMark, era: StoreEra) -> bool {
        self.ended.iter().any(|ended| {
            ended.era < era
                && ended.key == *key
                && ended.mark.started_unix_ms == mark.started_unix_ms
                && ended.mark.sequence >= mark.sequence
        })
    }

    fn record_ended(&mut self, key: K, mark: RegistrationMark, era: StoreEra) {
        let is_same = |ended: &EndedRegistration<K>| {
            ended.key == key && ended.mark.started_unix_ms == mark.started_unix_ms
        };
        self.ended.retain(|ended| !is_same(ended));
        if self.ended.len() >= ENDED_MAX {
            self.ended.pop_front();
        }
        self.ended.push_back(EndedRegistration { key, mark, era });
    }

    fn insert(
        &mut self,
        key: K,
        content: R,
        mark: Option<RegistrationMark>,
        revision: StoreRevision,
        now: TimeMs,
    ) {
        let row = MirroredRow {
            content,
            revision,
            mark,
            content_era: revision.era(),
            seen_at: now,
            missing_since: None,
        };
        self.removals.retain(|(removed, _)| *removed != key);
        self.rows.insert(key, row);
    }

    /// Removes a row that the store removed. Returns whether it was removed.
    ///
    /// During an outage and the grace period after it, the row is only marked
    /// as missing.
    pub fn delete(&mut self, key: &K, revision: StoreRevision, now: TimeMs) -> bool {
        self.enter_era(revision.era(), now);
        let keep_missing = self.is_unavailable || now < self.grace_ends_at;
        let Some(row) = self.rows.get_mut(key) else {
            return false;
        };
        if revision < row.revision {
            return false;
        }
        if keep_missing {
            row.missing_since = Some(revision);
            return false;
        }
        self.remove(key, revision);
        true
    }

    /// Removes a row that another daemon has removed, if the store no longer has it.
    /// Returns whether it was removed.
    ///
    /// The other daemon removed it while the store was steady, or waited for its owner to
    /// write it again, so that an outage is no reason to keep it.
    pub fn confirm_removal(&mut self, key: &K, revision: StoreRevision) -> bool {
        let row = self.rows.get(key);
        let is_missing =
            row.is_some_and(|row| row.missing_since.is_some() && row.revision <= revision);
        if is_missing {
            self.remove(key, revision);
        }
        is_missing
    }

    /// Returns the rows that were removed and are still absent, with the revision at which
    /// the store removed each.
    pub fn removals(&self) -> impl Iterator<Item = (&K, StoreRevision)> {
        self.removals.iter().map(|(key, revision)| (key, *revision))
    }

    /// Returns the registrations that ended in an era before the newest one. The copy that
    /// the store came back from may list them.
    pub fn ended_before_era(&self) -> impl Iterator<Item = &EndedRegistration<K>> {
        self.ended.iter().filter(|ended| ended.era < self.era)
    }

    /// Removes a registration that another daemon knows to have ended, if the row comes
    /// from a copy of the store. Returns whether it was removed.
    pub fn confirm_ended(&mut self, ended: &EndedRegistration<K>) -> bool {
        let is_known = self.ended.iter().any(|known| {
            known.key == ended.key
                && known.mark.started_unix_ms == ended.mark.started_unix_ms
                && known.mark.sequence >= ended.mark.sequence
        });
        if is_known {
            return false;
        }
        self.record_ended(ended.key.clone(), ended.mark, ended.era);
        let revision = self.rows.get(&ended.key).and_then(|row| {
            let mark = row.mark?;
            let is_ended = row.content_era > ended.era
                && mark.started_unix_ms == ended.mark.started_unix_ms
                && mark.sequence <= ended.mark.sequence;
            is_ended.then_some(row.revision)
        });
        let Some(revision) = revision else {
            return false;
        };
        self.remove(&ended.key, revision);
        // It ended in the older era, so that it does not return in this one.
        self.record_ended(ended.key.clone(), ended.mark, ended.era);
        true
    }

    fn remove(&mut self, key: &K, revision: StoreRevision) {
        let removed = self.rows.remove(key);
        if let Some(mark) = removed.and_then(|row| row.mark) {
            self.record_ended(key.clone(), mark, revision.era());
        }
        if self.removals.len() >= REMOVALS_MAX {
            self.removals.pop_front();
        }
        self.removals.push_back((key.clone(), revision));
    }

    /// Removes the rows that are still missing at the end of the grace period.
    /// Returns whether any row was removed.
    pub fn sweep(&mut self, now: TimeMs) -> bool {
        if self.is_unavailable || now < self.grace_ends_at {
            return false;
        }
        let mut missing = Vec::new();
        for (key, row) in self.rows.rows() {
            if let Some(revision) = row.missing_since {
                missing.push((key.clone(), revision));
            }
        }
        for (key, revision) in &missing {
            self.remove(key, *revision);
        }
        !missing.is_empty()
    }

    /// Returns whether a row is kept that the store no longer has.
    pub fn is_any_missing(&self) -> bool {
        let mut rows = self.rows.rows();
        rows.any(|(_, row)| row.missing_since.is_some())
    }

    /// Returns when [`Self::sweep`] may next remove rows, `None` if no row is
    /// missing or the store is unavailable.
    pub fn next_sweep(&self) -> Option<TimeMs> {
        if self.is_unavailable || !self.is_any_missing() {
            return None;
        }
        Some(self.grace_ends_at)
    }
}

impl<K: Ord + Clone, R: PartialEq> Default for StoreMirror<K, R> {
    fn default() -> Self {
        Self::new()
    }
}

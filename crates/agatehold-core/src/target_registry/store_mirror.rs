//! A local mirror of a key prefix of the platform's store that keeps its rows
//! during outages of the store.

use std::collections::VecDeque;

use crate::table::Table;
use crate::units::DurationMs;
use crate::units::TimeMs;

/// How long a missing row is kept after the store has become available again.
///
/// Keys whose leases expired during the outage are written again within about
/// two seconds of its end if their owners are still running.
pub const MISSING_ROW_GRACE_MS: DurationMs = DurationMs(2_200);

/// The number of removals that a mirror remembers for daemons that the store turns away.
const REMOVALS_MAX: usize = 512;

/// A mirrored row and its state in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MirroredRow<R> {
    /// The content.
    pub content: R,
    /// The store's revision of the content.
    pub revision: u64,
    /// When the content arrived.
    pub seen_at: TimeMs,
    /// The revision at which the store removed the row; `None` if the store has it. Such a
    /// row is kept until the store has been available again
    /// for [`MISSING_ROW_GRACE_MS`], or until another daemon has removed it.
    pub missing_since: Option<u64>,
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
    removals: VecDeque<(K, u64)>,
}

impl<K: Ord + Clone, R: PartialEq> StoreMirror<K, R> {
    /// Creates an empty table.
    pub const fn new() -> Self {
        Self {
            rows: Table::new(),
            is_unavailable: false,
            grace_ends_at: TimeMs(0),
            removals: VecDeque::new(),
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
    pub fn put(&mut self, key: K, content: R, revision: u64, now: TimeMs) -> bool {
        if let Some(held) = self.rows.get_mut(&key) {
            if revision < held.revision {
                return false;
            }
            let was_missing = held.missing_since.take().is_some();
            if revision == held.revision {
                return was_missing;
            }
            held.revision = revision;
            if held.content == content {
                return was_missing;
            }
        }
        let row = MirroredRow {
            content,
            revision,
            seen_at: now,
            missing_since: None,
        };
        self.removals.retain(|(removed, _)| *removed != key);
        self.rows.insert(key, row);
        true
    }

    /// Removes a row that the store removed. Returns whether it was removed.
    ///
    /// During an outage and the grace period after it, the row is only marked
    /// as missing.
    pub fn delete(&mut self, key: &K, revision: u64, now: TimeMs) -> bool {
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
    pub fn confirm_removal(&mut self, key: &K, revision: u64) -> bool {
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
    pub fn removals(&self) -> impl Iterator<Item = (&K, u64)> {
        self.removals.iter().map(|(key, revision)| (key, *revision))
    }

    fn remove(&mut self, key: &K, revision: u64) {
        self.rows.remove(key);
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

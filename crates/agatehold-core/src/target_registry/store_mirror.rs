//! A local mirror of a key prefix of the platform's store that keeps its rows
//! during outages of the store.

use crate::table::Table;
use crate::units::DurationMs;
use crate::units::TimeMs;

/// How long a missing row is kept after the store has become available again.
///
/// Keys whose leases expired during the outage are written again within about
/// two seconds of its end if their owners are still running.
pub const MISSING_ROW_GRACE_MS: DurationMs = DurationMs(2_200);

/// A mirrored row and its state in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MirroredRow<R> {
    /// The content.
    pub content: R,
    /// The store's revision of the content.
    pub revision: u64,
    /// When the content arrived.
    pub seen_at: TimeMs,
    /// Whether the store no longer has the row. Such a row is kept until the
    /// store has been available again for [`MISSING_ROW_GRACE_MS`].
    pub missing: bool,
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
}

impl<K: Ord + Clone, R: PartialEq> StoreMirror<K, R> {
    /// Creates an empty table.
    pub const fn new() -> Self {
        Self {
            rows: Table::new(),
            is_unavailable: false,
            grace_ends_at: TimeMs(0),
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
            let was_missing = std::mem::replace(&mut held.missing, false);
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
            missing: false,
        };
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
            row.missing = true;
            return false;
        }
        self.rows.remove(key);
        true
    }

    /// Removes the rows that are still missing at the end of the grace period.
    /// Returns whether any row was removed.
    pub fn sweep(&mut self, now: TimeMs) -> bool {
        if self.is_unavailable || now < self.grace_ends_at {
            return false;
        }
        let before = self.rows.len();
        self.rows.retain(|_, row| !row.missing);
        self.rows.len() != before
    }

    /// Returns when [`Self::sweep`] may next remove rows, `None` if no row is
    /// missing or the store is unavailable.
    pub fn next_sweep(&self) -> Option<TimeMs> {
        if self.is_unavailable || !self.rows.rows().any(|(_, row)| row.missing) {
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

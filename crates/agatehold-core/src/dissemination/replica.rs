//! A daemon's replica of one group of keys of the store, from which other
//! daemons are served what changed since a revision that they know.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::table::Table;
use crate::units::StoreRevision;

/// The number of deletions that a replica remembers. A daemon that is further
/// behind gets all keys.
const DELETIONS_MAX: usize = 2_048;

/// The value of a key and the store's revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaRow {
    /// The store's revision of the last change.
    pub revision: StoreRevision,
    /// The value; shared, since replicas are copied for each published view.
    pub value: Arc<[u8]>,
}

/// A key that was written or deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyChange {
    /// The key.
    pub key: Box<str>,
    /// The store's revision of the change.
    pub revision: StoreRevision,
    /// The new value; `None` if the key was deleted.
    pub value: Option<Arc<[u8]>>,
}

/// What one daemon sends another about a group of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaUpdate {
    /// The revision up to which the receiver is complete after the update.
    pub revision: StoreRevision,
    /// Whether `changes` and `kept` together hold every key of the group, so that
    /// others no longer exist.
    pub is_listing: bool,
    /// The keys that changed, or all keys.
    pub changes: Vec<KeyChange>,
    /// In a listing, the keys that the receiver knows and that are unchanged.
    pub kept: Vec<Box<str>>,
}

/// The keys of one group, as known to one daemon.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replica {
    /// The store's revision of the last known change.
    changed_at: StoreRevision,
    /// The store's revision up to which every change is contained; at least
    /// `changed_at`.
    complete_to: StoreRevision,
    /// The rows by key.
    rows: Table<Box<str>, ReplicaRow>,
    /// The deleted keys with the revision at which each was deleted, in
    /// ascending order.
    deletions: VecDeque<(Box<str>, StoreRevision)>,
    /// The revision since which `deletions` is complete.
    deletions_since: StoreRevision,
}

impl Replica {
    /// Returns the store's revision of the last known change, which other daemons
    /// are told; zero if nothing is known.
    pub const fn changed_at(&self) -> StoreRevision {
        self.changed_at
    }

    /// Returns the store's revision up to which every change is contained; zero if
    /// nothing is known.
    pub const fn complete_to(&self) -> StoreRevision {
        self.complete_to
    }

    /// Returns the rows by key.
    pub const fn rows(&self) -> &Table<Box<str>, ReplicaRow> {
        &self.rows
    }

    /// Applies changes of keys; returns those that were new.
    ///
    /// A change at or before `complete_to` is contained already. If its key is not
    /// known, the key was deleted later.
    pub fn apply_changes(&mut self, changes: &[KeyChange]) -> Vec<KeyChange> {
        let complete_to = self.complete_to;
        let mut applied = Vec::new();
        for change in changes {
            let is_outdated = match self.rows.get(&change.key) {
                Some(row) => row.revision >= change.revision,
                // Two keys may have been changed at the same revision.
                None => change.revision < complete_to,
            };
            // A row that came with a later page of a listing completes the replica to
            // its revision only with the change itself.
            if !is_outdated || change.revision > complete_to {
                self.changed_at = self.changed_at.max(change.revision);
                self.complete_to = self.complete_to.max(change.revision);
            }
            if is_outdated {
                continue;
            }
            match &change.value {
                Some(value) => self.insert(&change.key, change.revision, value),
                None => self.delete(&change.key, change.revision),
            }
            applied.push(change.clone());
        }
        applied
    }

    /// Replaces the replica by a listing, as of a revision of the store. Returns what
    /// has changed; keys that are not listed are deletions.
    ///
    /// A listing that is older than what is known is ignored. One without any
    /// difference is no change, so that it causes no fetches by other daemons.
    pub fn apply_listing(
        &mut self,
        listed: &[KeyChange],
        revision: StoreRevision,
    ) -> Vec<KeyChange> {
        self.replace(listed, &[], revision)
    }

    /// Replaces the replica by `listed` and those of its own rows that are in
    /// `kept`; returns what has changed.
    fn replace(
        &mut self,
        listed: &[KeyChange],
        kept: &[Box<str>],
        revision: StoreRevision,
    ) -> Vec<KeyChange> {
        let mut applied = Vec::new();
        if revision < self.complete_to {
            return applied;
        }
        let mut absent: Table<Box<str>, ()> = Table::new();
        for (key, row) in self.rows.rows() {
            // The pages of a listing may be older than a change that is known.
            if row.revision <= revision {
                absent.insert(key.clone(), ());
            }
        }
        for key in kept {
            absent.remove(key);
        }
        let mut newest = self.changed_at;
        for item in listed {
            let Some(value) = &item.value else {
                continue;
            };
            absent.remove(&item.key);
            let held = self.rows.get(&item.key).map(|row| row.revision);
            let is_outdated = match held {
                Some(held) => held >= item.revision,
                // The replica contained the row, and a later page of a listing of the
                // same age showed that the key was deleted since.
                None => revision == self.complete_to && item.revision <= revision,
            };
            // A row of a later page may be newer than `revision`, to which others get
            // complete by fetching from here. It counts once the revision is reached.
            if !is_outdated || held == Some(item.revision) {
                newest = newest.max(item.revision.min(revision));
            }
            if is_outdated {
                continue;
            }
            self.insert(&item.key, item.revision, value);
            applied.push(item.clone());
        }
        // A listing does not tell when a key was deleted, nor which keys existed only
        // since the last one. A daemon that knew nothing can't tell whether a key
        // was deleted at all.
        let may_hide_deletions = self.complete_to == StoreRevision::ZERO || !absent.is_empty();
        self.deletions_since = revision;
        self.deletions.clear();
        for key in absent.keys() {
            self.rows.remove(key);
            applied.push(KeyChange {
                key: key.clone(),
                revision,
                value: None,
            });
        }
        self.changed_at = if may_hide_deletions { revision } else { newest };
        self.complete_to = revision;
        applied
    }

    /// Applies an update from another daemon; returns what has changed.
    pub fn apply_update(&mut self, update: &ReplicaUpdate) -> Vec<KeyChange> {
        if update.is_listing {
            return self.replace(&update.changes, &update.kept, update.revision);
        }
        let complete_to = self.complete_to.max(update.revision);
        let applied = self.apply_changes(&update.changes);
        // The source's rows of later pages don't make it complete to their revisions.
        self.complete_to = complete_to;
        self.changed_at = self.changed_at.min(complete_to);
        applied
    }

    /// Returns what a daemon lacks that knows the group up to `known`; `None` if it
    /// lacks nothing.
    pub fn update_since(&self, known: StoreRevision) -> Option<ReplicaUpdate> {
        if self.changed_at <= known {
            return None;
        }
        let is_listing = known < self.deletions_since;
        let mut changes = Vec::new();
        let mut kept = Vec::new();
        for (key, row) in self.rows.rows() {
            if row.revision <= known {
                if is_listing {
                    kept.push(key.clone());
                }
                continue;
            }
            changes.push(KeyChange {
                key: key.clone(),
                revision: row.revision,
                value: Some(Arc::clone(&row.value)),
            });
        }
        for (key, revision) in &self.deletions {
            if is_listing || *revision <= known || self.rows.contains(key) {
                continue;
            }
            changes.push(KeyChange {
                key: key.clone(),
                revision: *revision,
                value: None,
            });
        }
        Some(ReplicaUpdate {
            revision: self.complete_to,
            is_listing,
            changes,
            kept,
        })
    }

    fn insert(&mut self, key: &str, revision: StoreRevision, value: &Arc<[u8]>) {
        let row = ReplicaRow {
            revision,
            value: Arc::clone(value),
        };
        self.rows.insert(key.into(), row);
    }

    /// Removes a key and remembers its deletion.
    fn delete(&mut self, key: &str, revision: StoreRevision) {
        self.rows.remove(&key.into());
        self.deletions.push_back((key.into(), revision));
        if self.deletions.len() <= DELETIONS_MAX {
            return;
        }
        if let Some((_, forgotten)) = self.deletions.pop_front() {
            self.deletions_since = self.deletions_since.max(forgotten);
        }
    }
}

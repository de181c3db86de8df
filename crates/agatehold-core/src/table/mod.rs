//! An ordered map from keys to rows, the container for all state.

use std::collections::BTreeMap;
use std::collections::btree_map;

/// A table of rows by key.
///
/// Iteration is in key order, so that decisions made while iterating are the
/// same in every run and on every host.
#[derive(Clone, Debug, PartialEq)]
pub struct Table<K, R> {
    rows: BTreeMap<K, R>,
}

impl<K: Ord, R> Table<K, R> {
    /// Creates an empty table.
    pub const fn new() -> Self {
        Self {
            rows: BTreeMap::new(),
        }
    }

    /// Returns a reference to the row under `key`.
    pub fn get(&self, key: &K) -> Option<&R> {
        self.rows.get(key)
    }

    /// Returns a mutable reference to the row under `key`.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut R> {
        self.rows.get_mut(key)
    }

    /// Returns whether the table has a row under `key`.
    pub fn contains(&self, key: &K) -> bool {
        self.rows.contains_key(key)
    }

    /// Stores `row` under `key` and returns the row that it replaced, if any.
    pub fn insert(&mut self, key: K, row: R) -> Option<R> {
        self.rows.insert(key, row)
    }

    /// Returns the row under `key`, inserting `make()` first if there is none.
    pub fn get_or_insert(&mut self, key: K, make: impl FnOnce() -> R) -> &mut R {
        self.rows.entry(key).or_insert_with(make)
    }

    /// Removes and returns the row under `key`.
    pub fn remove(&mut self, key: &K) -> Option<R> {
        self.rows.remove(key)
    }

    /// Keeps the rows for which `keep` returns true.
    pub fn retain(&mut self, keep: impl FnMut(&K, &mut R) -> bool) {
        self.rows.retain(keep);
    }

    /// Iterates over the keys and rows in key order.
    pub fn rows(&self) -> btree_map::Iter<'_, K, R> {
        self.rows.iter()
    }

    /// Iterates over the keys and mutable rows in key order.
    pub fn rows_mut(&mut self) -> btree_map::IterMut<'_, K, R> {
        self.rows.iter_mut()
    }

    /// Iterates over the keys in order.
    pub fn keys(&self) -> btree_map::Keys<'_, K, R> {
        self.rows.keys()
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

impl<K: Ord, R> Default for Table<K, R> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: Ord, R> FromIterator<(K, R)> for Table<K, R> {
    fn from_iter<I: IntoIterator<Item = (K, R)>>(rows: I) -> Self {
        Self {
            rows: rows.into_iter().collect(),
        }
    }
}

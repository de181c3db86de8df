//! The table of tenants and their keys.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use crate::ids::Digest;
use crate::ids::ParseIdError;
use crate::ids::TenantName;

/// The SHA-256 hash of an API key.
///
/// Keys are looked up by their hash, so that the time of a look-up depends neither on
/// the number of keys nor on how much of a guessed key is right, and no key can appear
/// in a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(Digest);

impl KeyDigest {
    /// Hashes a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Digest::of_parts(&[key]))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for KeyDigest {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// How many requests a tenant may send, over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allotment {
    /// Requests per second; above 0.
    pub rate_per_s: f64,
    /// Requests in addition to the rate, after a time with fewer requests.
    pub burst: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantRow {
    /// The tenant's name.
    pub name: TenantName,
    /// The text that the operators chose for the name, if `name` is a shortened one.
    pub stated_name: Option<Box<str>>,
    /// Takes precedence over the priority of the route; 0 is the highest.
    pub priority: Option<u8>,
    /// The limit on the tenant's requests; `None` if there is no limit.
    pub allotment: Option<Allotment>,
}

impl TenantRow {
    /// Returns the name that targets are told.
    pub fn told_name(&self) -> &str {
        self.stated_name
            .as_deref()
            .unwrap_or_else(|| self.name.as_str())
    }
}

/// The tenants of a configuration, with an index by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantTable {
    /// The tenants in the order of the configuration.
    rows: Vec<TenantRow>,
    /// The position in `rows` of the tenant that holds a key.
    by_key: HashMap<KeyDigest, usize>,
    /// The position in `rows` of the tenant with a name.
    by_name: HashMap<TenantName, usize>,
}

impl TenantTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a tenant with its keys. A key that another tenant holds already stays with
    /// that tenant.
    pub fn insert(&mut self, row: TenantRow, keys: impl Iterator<Item = KeyDigest>) {
        for key in keys {
            self.by_key.entry(key).or_insert(self.rows.len());
        }
        self.by_name
            .entry(row.name.clone())
            .or_insert(self.rows.len());
        self.rows.push(row);
    }

    /// Returns the tenant that holds a key.
    pub fn by_key(&self, key: &KeyDigest) -> Option<&TenantRow> {
        self.rows.get(*self.by_key.get(key)?)
    }

    /// Returns the tenant with a name.
    pub fn by_name(&self, name: &TenantName) -> Option<&TenantRow> {
        self.rows.get(*self.by_name.get(name)?)
    }

    /// Returns the tenants in the order of the configuration.
    pub fn rows(&self) -> &[TenantRow] {
        &self.rows
    }

    /// Returns the number of tenants.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no tenants.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

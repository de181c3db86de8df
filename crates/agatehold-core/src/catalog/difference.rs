//! Compares two configurations entry by entry.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;

use crate::tenants::KeyDigest;

use super::Catalog;
use super::check::StatedTenant;

/// What happened to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// Only the newer configuration has it.
    Added,
    /// Only the older configuration has it.
    Removed,
    /// Both have it, with different fields.
    Changed,
}

impl fmt::Display for EntryChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Added => "added",
            Self::Removed => "removed",
            Self::Changed => "changed",
        })
    }
}

/// A field with different values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldDifference {
    /// The field's name.
    pub field: &'static str,
    /// The older value.
    pub before: Box<str>,
    /// The newer value.
    pub after: Box<str>,
}

/// An entry that differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryDifference {
    /// What happened to it.
    pub change: EntryChange,
    /// Its list, such as `routes`.
    pub list: &'static str,
    /// Its name; empty for the configuration as a whole.
    pub name: Box<str>,
    /// The fields that differ, if it has changed.
    pub fields: Vec<FieldDifference>,
    /// The number of keys that only the newer configuration has.
    pub keys_added: usize,
    /// The number of keys that only the older configuration has.
    pub keys_removed: usize,
}

/// The fields of an entry in a fixed order, as text.
type Fields = Vec<(&'static str, String)>;

/// The entries of a list by name and by position among the entries of that name.
type Entries<'a> = BTreeMap<(String, usize), (Fields, &'a [KeyDigest])>;

/// Returns the entries that differ between an older and a newer configuration.
pub fn compare_catalogs(
    before: (&Catalog, &[StatedTenant]),
    after: (&Catalog, &[StatedTenant]),
) -> Vec<EntryDifference> {
    let mut differences = Vec::new();
    let (older, newer) = (whole_entry(before.0), whole_entry(after.0));
    compare_lists("configuration", &older, &newer, &mut differences);
    let (older, newer) = (route_entries(before.0), route_entries(after.0));
    compare_lists("routes", &older, &newer, &mut differences);
    let (older, newer) = (service_entries(before.0), service_entries(after.0));
    compare_lists("services", &older, &newer, &mut differences);
    let (older, newer) = (tenant_entries(before), tenant_entries(after));
    compare_lists("tenants", &older, &newer, &mut differences);
    differences
}

fn compare_lists(
    list: &'static str,
    before: &Entries<'_>,
    after: &Entries<'_>,
    differences: &mut Vec<EntryDifference>,
) {
    let removed = before.keys().filter(|name| !after.contains_key(name));
    for name in after.keys().chain(removed) {
        let older = before.get(name);
        let newer = after.get(name);
        let change = match (older, newer) {
            (None, _) => EntryChange::Added,
            (_, None) => EntryChange::Removed,
            _ => EntryChange::Changed,
        };
        let mut fields = Vec::new();
        if let (Some((older, _)), Some((newer, _))) = (older, newer) {
            for ((field, before), (_, after)) in older.iter().zip(newer) {
                if before != after {
                    fields.push(FieldDifference {
                        field,
                        before: before.as_str().into(),
                        after: after.as_str().into(),
                    });
                }
            }
        }
        let keys = |entry: Option<&(Fields, &[KeyDigest])>| -> HashSet<KeyDigest> {
            entry.map_or_else(HashSet::new, |(_, keys)| keys.iter().copied().collect())
        };
        let (older_keys, newer_keys) = (keys(older), keys(newer));
        let keys_added = newer_keys.difference(&older_keys).count();
        let keys_removed = older_keys.difference(&newer_keys).count();
        let is_same = fields.is_empty() && keys_added == 0 && keys_removed == 0;
        if change == EntryChange::Changed && is_same {
            continue;
        }
        differences.push(EntryDifference {
            change,
            list,
            name: name.0.as_str().into(),
            fields,
            keys_added,
            keys_removed,
        });
    }
}

fn collect_entries<'a>(
    rows: impl Iterator<Item = (String, Fields, &'a [KeyDigest])>,
) -> Entries<'a> {
    let mut counts: HashMap<String, usize> = HashMap::new();
    let mut entries = Entries::new();
    for (name, fields, keys) in rows {
        let count = counts.entry(name.clone()).or_default();
        entries.insert((name, *count), (fields, keys));
        *count += 1;
    }
    entries
}

fn whole_entry(catalog: &Catalog) -> Entries<'static> {
    let limits = &catalog.limits;
    let fields = vec![
        ("version", catalog.version.to_string()),
        ("header_bytes", limits.head_bytes.to_string()),
        ("body_bytes", limits.body_bytes.to_string()),
        ("header_timeout", limits.head_timeout_ms.to_string()),
        ("idle_timeout", limits.idle_timeout_ms.to_string()),
        ("keys required", catalog.tenants.is_some().to_string()),
    ];
    collect_entries(std::iter::once((String::new(), fields, &[][..])))
}

fn route_entries(catalog: &Catalog) -> Entries<'static> {
    collect_entries(catalog.routes.iter().map(|route| {
        let parts = route.services.iter();
        let services: Vec<String> = parts
            .map(|part| format!("{}:{}", part.service, part.weight))
            .collect();
        let fields = vec![
            ("host", route.host.to_string()),
            ("prefix", route.prefix.to_string()),
            ("idempotent", route.idempotent.to_string()),
            ("timeout", route.timeout_ms.to_string()),
            ("latency_objective", route.objective_ms.to_string()),
            ("max_attempts", route.attempts_max.to_string()),
            ("priority", route.priority.to_string()),
            ("public_access", route.public_access.to_string()),
            ("services", services.join(" ")),
        ];
        (route.name.to_string(), fields, &[][..])
    }))
}

fn service_entries(catalog: &Catalog) -> Entries<'static> {
    collect_entries(catalog.services.iter().map(|service| {
        let connections = match service.connections_max {
            u32::MAX => "none".to_owned(),
            limit => limit.to_string(),
        };
        let fields = vec![("max_connections", connections)];
        (service.name.to_string(), fields, &[][..])
    }))
}

fn tenant_entries<'a>((catalog, stated): (&Catalog, &'a [StatedTenant])) -> Entries<'a> {
    let rows = catalog.tenants.as_ref().map_or(&[][..], |rows| rows.rows());
    collect_entries(rows.iter().zip(stated).map(|(row, stated)| {
        let text = |value: Option<f64>| value.map_or("none".to_owned(), |value| value.to_string());
        let priority = row.priority.map_or("none".to_owned(), |it| it.to_string());
        let fields = vec![
            ("priority", priority),
            ("rate_per_s", text(stated.rate_per_s)),
            ("burst", text(stated.burst)),
        ];
        (row.name.to_string(), fields, &stated.keys[..])
    }))
}

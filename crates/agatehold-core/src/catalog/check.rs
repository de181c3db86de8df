//! Checks a configuration before it is sent to the platform.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::hash::Hash;

use crate::ids::TenantName;
use crate::tenants::KeyDigest;

use super::Catalog;

/// A tenant as its configuration states it. A [`Catalog`] keeps neither a key's second
/// holder nor a burst without a rate.
#[derive(Clone, Debug, PartialEq)]
pub struct StatedTenant {
    /// The tenant's name.
    pub name: TenantName,
    /// The hashes of the tenant's keys.
    pub keys: Vec<KeyDigest>,
    /// Requests per second.
    pub rate_per_s: Option<f64>,
    /// Requests in addition to the rate.
    pub burst: Option<f64>,
}

/// What is wrong with an entry of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FindingKind {
    /// The file or a field can't be decoded.
    Undecodable,
    /// A route names a service that the configuration does not have.
    UnknownService,
    /// A prefix does not begin and end with a slash.
    InvalidPrefix,
    /// An entry can never match.
    NeverMatches,
    /// Limits contradict each other.
    ContradictoryLimits,
    /// Several tenants hold the same key.
    SharedKey,
    /// Several entries have the same name.
    RepeatedName,
    /// The version is not newer than that of the other configuration.
    VersionNotNewer,
}

impl fmt::Display for FindingKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Undecodable => "undecodable",
            Self::UnknownService => "unknown-service",
            Self::InvalidPrefix => "invalid-prefix",
            Self::NeverMatches => "never-matches",
            Self::ContradictoryLimits => "contradictory-limits",
            Self::SharedKey => "shared-key",
            Self::RepeatedName => "repeated-name",
            Self::VersionNotNewer => "version-not-newer",
        })
    }
}

/// An error in a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// What is wrong.
    pub kind: FindingKind,
    /// The entry and its field, such as `routes[3] "reports" prefix`.
    pub place: Box<str>,
    /// The value there; never a key.
    pub value: Box<str>,
    /// What was expected instead.
    pub expected: Box<str>,
}

impl Finding {
    fn new(kind: FindingKind, place: String, value: impl fmt::Display, expected: String) -> Self {
        Self {
            kind,
            place: place.into(),
            value: value.to_string().into(),
            expected: expected.into(),
        }
    }
}

/// Returns the errors of a configuration in the order of its entries.
pub fn check_catalog(catalog: &Catalog, tenants: &[StatedTenant]) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_routes(catalog, &mut findings);
    let names = catalog.services.iter().map(|service| &service.name);
    check_names("services", names, &mut findings);
    check_names(
        "tenants",
        tenants.iter().map(|tenant| &tenant.name),
        &mut findings,
    );
    check_tenants(tenants, &mut findings);
    findings
}

/// Returns a finding if a configuration would not replace `held`.
pub fn check_version(catalog: &Catalog, held: &Catalog) -> Option<Finding> {
    (catalog.version <= held.version).then(|| {
        Finding::new(
            FindingKind::VersionNotNewer,
            "version".to_owned(),
            catalog.version,
            format!("a version above {}", held.version),
        )
    })
}

fn check_routes(catalog: &Catalog, findings: &mut Vec<Finding>) {
    let services: HashSet<_> = catalog.services.iter().map(|row| &row.name).collect();
    let mut first_positions = HashMap::new();
    for (position, route) in catalog.routes.iter().enumerate() {
        let place = |field: &str| format!("routes[{position}] {:?} {field}", route.name);
        for part in &route.services {
            if services.contains(&part.service) {
                continue;
            }
            findings.push(Finding::new(
                FindingKind::UnknownService,
                place("service"),
                &part.service,
                "the name of a service of this configuration".to_owned(),
            ));
        }
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            findings.push(Finding::new(
                FindingKind::InvalidPrefix,
                place("prefix"),
                &route.prefix,
                "a prefix that begins and ends with /".to_owned(),
            ));
        }
        let first = *first_positions
            .entry((&route.host, &route.prefix))
            .or_insert(position);
        if first != position {
            findings.push(Finding::new(
                FindingKind::NeverMatches,
                place("prefix"),
                format_args!("{}{}", route.host, route.prefix),
                format!(
                    "a host and prefix other than those of routes[{first}] {:?}",
                    catalog.routes[first].name
                ),
            ));
        }
        if route.objective_ms > route.timeout_ms {
            findings.push(Finding::new(
                FindingKind::ContradictoryLimits,
                place("latency_objective"),
                route.objective_ms,
                format!("at most the timeout of {}", route.timeout_ms),
            ));
        }
    }
}

fn check_names<T: fmt::Display + Eq + Hash>(
    list: &str,
    names: impl Iterator<Item = T>,
    findings: &mut Vec<Finding>,
) {
    let mut first_positions: HashMap<T, usize> = HashMap::new();
    for (position, name) in names.enumerate() {
        if let Some(first) = first_positions.get(&name) {
            findings.push(Finding::new(
                FindingKind::RepeatedName,
                format!("{list}[{position}] name"),
                &name,
                format!("a name other than that of {list}[{first}]"),
            ));
            continue;
        }
        first_positions.insert(name, position);
    }
}

fn check_tenants(tenants: &[StatedTenant], findings: &mut Vec<Finding>) {
    let mut holders: HashMap<&KeyDigest, usize> = HashMap::new();
    for (position, tenant) in tenants.iter().enumerate() {
        let place = |field: &str| format!("tenants[{position}] \"{}\" {field}", tenant.name);
        for (key_position, key) in tenant.keys.iter().enumerate() {
            let holder = *holders.entry(key).or_insert(position);
            if holder == position {
                continue;
            }
            findings.push(Finding::new(
                FindingKind::SharedKey,
                place(&format!("api_keys[{key_position}]")),
                "(not shown)",
                format!(
                    "a key that tenants[{holder}] \"{}\" does not hold",
                    tenants[holder].name
                ),
            ));
        }
        let rate_per_s = tenant.rate_per_s.unwrap_or(0.0);
        let burst = tenant.burst.unwrap_or(0.0);
        if burst > 0.0 && rate_per_s <= 0.0 {
            findings.push(Finding::new(
                FindingKind::ContradictoryLimits,
                place("burst"),
                burst,
                "no burst without a rate_per_s above 0".to_owned(),
            ));
        }
    }
}

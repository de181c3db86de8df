//! Tests the check of a configuration and the comparison of two.

use agatehold_core::catalog::CallerLimits;
use agatehold_core::catalog::Catalog;
use agatehold_core::catalog::CatalogRoute;
use agatehold_core::catalog::ConfigVersion;
use agatehold_core::catalog::EntryChange;
use agatehold_core::catalog::FindingKind;
use agatehold_core::catalog::StatedTenant;
use agatehold_core::catalog::WeightedService;
use agatehold_core::catalog::check_catalog;
use agatehold_core::catalog::check_version;
use agatehold_core::catalog::compare_catalogs;
use agatehold_core::tenants::KeyDigest;
use agatehold_core::units::DurationMs;

fn route(name: &str, host: &str, prefix: &str, objective_ms: u64) -> CatalogRoute {
    CatalogRoute {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        idempotent: false,
        timeout_ms: DurationMs(1_000),
        objective_ms: DurationMs(objective_ms),
        attempts_max: 2,
        priority: 0,
        public_access: false,
        services: vec![WeightedService {
            service: "archive".parse().expect("a name"),
            weight: 1,
        }],
    }
}

fn catalog(version: u32, routes: Vec<CatalogRoute>) -> Catalog {
    let service = agatehold_core::catalog::CatalogService {
        name: "archive".parse().expect("a name"),
        connections_max: 9,
    };
    let limits = CallerLimits::default();
    Catalog::new(ConfigVersion(version), routes, vec![service], limits, None)
}

fn tenant(name: &str, keys: &[&str], rate_per_s: f64, burst: f64) -> StatedTenant {
    StatedTenant {
        name: name.parse().expect("a name"),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        rate_per_s: Some(rate_per_s),
        burst: Some(burst),
    }
}

/// Guards against findings for valid entries at the limits of the rules: an objective
/// equal to the timeout, a prefix on two hosts or within another, a key stated twice by
/// one tenant.
#[test]
fn valid_configurations_have_no_findings() {
    let routes = vec![
        route("a", "x.example", "/", 1_000),
        route("b", "x.example", "/b/", 1),
        route("c", "y.example", "/b/", 1),
    ];
    let tenants = [
        tenant("orchard", &["k1", "k1"], 1.0, 5.0),
        tenant("meadow", &["k2"], 0.0, 0.0),
    ];
    assert_eq!(check_catalog(&catalog(1, routes), &tenants), []);
}

/// Guards against errors that are missed or attributed to another entry.
#[test]
fn each_error_is_found_at_its_place() {
    let mut lost = route("lost", "x.example", "/lost/", 1);
    lost.services[0].service = "attic".parse().expect("a name");
    let routes = vec![
        route("a", "x.example", "/a/", 1),
        lost,
        route("open", "x.example", "/open", 1),
        route("shadowed", "x.example", "/a/", 1_001),
    ];
    let tenants = [
        tenant("orchard", &["k1"], 1.0, 5.0),
        tenant("meadow", &["k2", "k1"], 0.0, 5.0),
        tenant("orchard", &["k3"], 1.0, 0.0),
    ];
    let findings = check_catalog(&catalog(1, routes), &tenants);
    let found: Vec<(FindingKind, &str)> = findings
        .iter()
        .map(|finding| (finding.kind, &*finding.place))
        .collect();
    assert_eq!(
        found,
        [
            (FindingKind::UnknownService, "routes[1] \"lost\" service"),
            (FindingKind::InvalidPrefix, "routes[2] \"open\" prefix"),
            (FindingKind::NeverMatches, "routes[3] \"shadowed\" prefix"),
            (
                FindingKind::ContradictoryLimits,
                "routes[3] \"shadowed\" latency_objective"
            ),
            (FindingKind::RepeatedName, "tenants[2] name"),
            (FindingKind::SharedKey, "tenants[1] \"meadow\" api_keys[1]"),
            (
                FindingKind::ContradictoryLimits,
                "tenants[1] \"meadow\" burst"
            ),
        ]
    );
}

/// Guards against sending a version that daemons ignore, and against differences that are
/// left out.
#[test]
fn versions_are_compared_entry_by_entry() {
    let gone = route("gone", "x.example", "/gone/", 1);
    let before = catalog(7, vec![route("a", "x.example", "/a/", 1), gone]);
    let after = catalog(
        7,
        vec![
            route("new", "x.example", "/new/", 1),
            route("a", "x.example", "/a/", 2),
        ],
    );
    assert!(check_version(&after, &before).is_some());
    assert!(check_version(&catalog(8, Vec::new()), &before).is_none());
    let differences = compare_catalogs((&before, &[]), (&after, &[]));
    let found: Vec<(EntryChange, &str)> = differences
        .iter()
        .map(|difference| (difference.change, &*difference.name))
        .collect();
    assert_eq!(
        found,
        [
            (EntryChange::Changed, "a"),
            (EntryChange::Added, "new"),
            (EntryChange::Removed, "gone")
        ]
    );
    let fields = &differences[0].fields;
    assert_eq!(fields.len(), 1);
    assert_eq!(
        (fields[0].field, &*fields[0].before, &*fields[0].after),
        ("latency_objective", "1ms", "2ms")
    );
    assert!(compare_catalogs((&before, &[]), (&before, &[])).is_empty());
}

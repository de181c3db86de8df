//! Tests a daemon's view of the platform's store: versioned configurations,
//! mirrored rows, heartbeats of other daemons, and the choice of entry daemons.

use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::prelude::*;

use agatehold_core::catalog::CallerLimits;
use agatehold_core::catalog::Catalog;
use agatehold_core::catalog::CatalogRoute;
use agatehold_core::catalog::ConfigVersion;
use agatehold_core::catalog::WeightedService;
use agatehold_core::catalog::is_newer;
use agatehold_core::catalog::match_catalog_route;
use agatehold_core::directory::EntryDemand;
use agatehold_core::directory::EntryPolicy;
use agatehold_core::directory::MemberRecord;
use agatehold_core::directory::entry_addresses;
use agatehold_core::directory::entry_daemons;
use agatehold_core::directory::entry_groups;
use agatehold_core::dissemination::HEARTBEAT_TIMEOUT_MS;
use agatehold_core::dissemination::HeartbeatTable;
use agatehold_core::dissemination::Revisions;
use agatehold_core::dissemination::StoreHeartbeat;
use agatehold_core::dissemination::fetch_sources;
use agatehold_core::dissemination::is_store_unavailable;
use agatehold_core::dissemination::read_due_at;
use agatehold_core::ids::HostId;
use agatehold_core::ids::Incarnation;
use agatehold_core::table::Table;
use agatehold_core::target_registry::MISSING_ROW_GRACE_MS;
use agatehold_core::target_registry::StoreMirror;
use agatehold_core::units::DurationMs;
use agatehold_core::units::StoreRevision;
use agatehold_core::units::TimeMs;

const START: TimeMs = TimeMs(3_600_000);

fn route(host: &str, prefix: &str) -> CatalogRoute {
    CatalogRoute {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        idempotent: true,
        timeout_ms: DurationMs(4_000),
        objective_ms: DurationMs(1_500),
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
    Catalog::new(
        ConfigVersion(version),
        routes,
        Vec::new(),
        CallerLimits::default(),
        None,
    )
}

/// Guards against requests that are routed to the service of another host name or of
/// a shorter prefix.
#[test]
fn the_longest_prefix_of_the_host_decides() {
    let routes = vec![
        route("a.example", "/reports/"),
        route("a.example", "/reports/old/"),
        route("b.example", "/"),
    ];
    let catalog = catalog(1, routes);
    let matched = |host, path| match_catalog_route(&catalog, host, path);
    assert_eq!(matched("a.example", "/reports/old/7"), Some(1));
    assert_eq!(matched("a.example", "/reports/7"), Some(0));
    assert_eq!(matched("a.example", "/reports"), None);
    assert_eq!(matched("b.example", "/reports/7"), Some(2));
    assert_eq!(matched("c.example", "/reports/7"), None);
}

proptest! {
    /// Versions arrive from several sources and in any order; a daemon must
    /// never return to an older one.
    #[test]
    fn an_older_configuration_never_replaces_a_newer_one(
        versions in prop::collection::vec(0_u32..50, 1..40),
    ) {
        let mut held: Option<Arc<Catalog>> = None;
        let mut highest = 0;
        for version in versions {
            let offered = catalog(version, Vec::new());
            if is_newer(held.as_ref(), &offered) {
                held = Some(Arc::new(offered));
            }
            highest = highest.max(version);
            prop_assert_eq!(held.as_ref().map(|held| held.version.0), Some(highest));
        }
    }

    /// Updates from a watch and a listing arrive in any order; a row must end
    /// with the content of the highest revision.
    #[test]
    fn rows_follow_the_latest_revision(
        order in Just((1_u64..20).collect::<Vec<u64>>()).prop_shuffle(),
    ) {
        let mut rows: StoreMirror<u32, u64> = StoreMirror::new();
        for revision in order {
            rows.put(7, revision, at(revision), START);
        }
        prop_assert_eq!(rows.rows.get(&7).map(|row| row.content), Some(19));
    }
}

/// Guards against requests to a target whose entry was removed.
#[test]
fn a_removed_row_is_dropped_immediately_while_the_store_is_available() {
    let mut rows: StoreMirror<u32, &str> = StoreMirror::new();
    rows.put(1, "a", at(5), START);
    assert!(rows.delete(&1, at(6), START));
    assert!(rows.rows.is_empty());
}

/// Leases expire during an outage of the store, and their owners write the
/// entries again within two seconds of its end. Until then the rows must stay.
#[test]
fn rows_that_expired_in_an_outage_are_kept_until_written_again() {
    let mut rows: StoreMirror<u32, &str> = StoreMirror::new();
    rows.put(1, "a", at(5), START);
    rows.put(2, "b", at(5), START);
    rows.store_lost();
    let back = START + DurationMs(9_000);
    rows.store_returned(back);
    for row in [1, 2] {
        rows.delete(&row, at(30), back + DurationMs(10));
    }
    assert_eq!(rows.rows.len(), 2, "both rows are kept for now");
    rows.put(1, "a", at(31), back + DurationMs(900));
    assert!(!rows.sweep(back + DurationMs(1_500)));
    assert!(rows.sweep(back + MISSING_ROW_GRACE_MS));
    let left: Vec<u32> = rows.rows.keys().copied().collect();
    assert_eq!(left, [1], "the row that was not written again is removed");
}

/// A removal may be older than a row that a watch has added since. It must not remove
/// that row.
#[test]
fn an_older_removal_does_not_remove_newer_rows() {
    let mut rows: StoreMirror<u32, &str> = StoreMirror::new();
    rows.put(1, "a", at(50), START);
    assert!(!rows.delete(&1, at(40), START));
    assert!(rows.delete(&1, at(60), START));
}

/// Another daemon has removed a row that this one keeps during an outage. Guards against
/// keeping it until the store answers this daemon, and against removing a row that the
/// store has, or that was written again.
#[test]
fn a_removal_that_another_daemon_confirms_takes_effect_in_an_outage() {
    let mut rows: StoreMirror<u32, &str> = StoreMirror::new();
    for row in [1, 2, 3] {
        rows.put(row, "a", at(5), START);
    }
    rows.store_lost();
    assert!(!rows.confirm_removal(&1, at(6)), "the store has the row");
    for row in [1, 2, 3] {
        assert!(!rows.delete(&row, at(8), START));
    }
    assert!(rows.is_any_missing());
    assert_eq!(rows.removals().count(), 0, "nothing is removed yet");
    assert!(
        rows.confirm_removal(&1, at(6)),
        "a listing shows a removal later"
    );
    rows.put(2, "b", at(9), START);
    assert!(!rows.confirm_removal(&2, at(6)), "written again");
    assert!(
        !rows.confirm_removal(&3, at(4)),
        "written after the removal"
    );
    let left: Vec<u32> = rows.rows.keys().copied().collect();
    assert_eq!(left, [2, 3]);
    let told: Vec<(u32, u64)> = rows
        .removals()
        .map(|(key, revision)| (*key, revision.packed()))
        .collect();
    assert_eq!(told, [(1, 6)], "this daemon confirms it to others");
}

/// Guards against telling others that a row is removed that has been written again, and
/// against a list of removals that grows without limit.
#[test]
fn removals_are_told_until_the_row_is_written_again() {
    let mut rows: StoreMirror<u32, &str> = StoreMirror::new();
    for row in 0..2_000 {
        rows.put(row, "a", at(5), START);
        assert!(rows.delete(&row, at(6), START));
    }
    let count = rows.removals().count();
    assert!((100..2_000).contains(&count), "{count}");
    rows.put(1_999, "a", at(7), START);
    assert!(rows.removals().all(|(row, _)| *row != 1_999));
    rows.store_lost();
    rows.store_returned(START);
    rows.delete(&1_999, at(8), START);
    assert!(rows.sweep(START + MISSING_ROW_GRACE_MS));
    assert!(rows.removals().any(|row| row == (&1_999, at(8))));
}

fn host(number: u32) -> HostId {
    format!("entry-{number}").parse().expect("a name")
}

fn at(revision: u64) -> StoreRevision {
    StoreRevision::from_packed(revision)
}

fn heartbeat(number: u32, targets: u64, store_age_ms: u64) -> StoreHeartbeat {
    StoreHeartbeat {
        host: host(number),
        revisions: Revisions {
            configuration: at(1),
            targets: at(targets),
            members: at(1),
        },
        store_age_ms: DurationMs(store_age_ms),
        sent: None,
    }
}

fn known(targets: u64) -> Revisions {
    Revisions {
        configuration: at(1),
        targets: at(targets),
        members: at(1),
    }
}

/// Guards against a daemon that keeps outdated rows because it fetches from another
/// daemon that has nothing newer.
#[test]
fn a_daemon_fetches_from_those_with_the_newest_revisions() {
    let mut heartbeats = HeartbeatTable::default();
    heartbeats.record(&heartbeat(1, 10, 0), START);
    heartbeats.record(&heartbeat(2, 12, 0), START);
    heartbeats.record(&heartbeat(3, 11, 0), START);
    let newest_first = vec![host(2), host(3)];
    assert_eq!(
        fetch_sources(&heartbeats, &known(10), &|_| true, START),
        newest_first,
        "entry-1 has no newer revisions"
    );
    assert!(read_due_at(&heartbeats, &known(10), START) > START);
    let sources = fetch_sources(&heartbeats, &known(12), &|_| true, START);
    assert_eq!(sources, []);
    assert!(read_due_at(&heartbeats, &known(12), START) > START);
}

/// If the daemon that sends heartbeats is killed, cut off or frozen, the
/// receiver must read the store itself after the heartbeat timeout.
#[test]
fn a_daemon_without_recent_heartbeats_reads_the_store() {
    let mut heartbeats = HeartbeatTable::default();
    heartbeats.record(&heartbeat(1, 10, 0), START);
    let within = START + HEARTBEAT_TIMEOUT_MS;
    assert!(read_due_at(&heartbeats, &known(10), START) > within);
    let after = within + DurationMs(1);
    assert!(read_due_at(&heartbeats, &known(10), START) <= after);
    assert!(
        read_due_at(&heartbeats, &known(10), after) > after,
        "the store has just answered"
    );
    for now in [within, after] {
        let sources = fetch_sources(&heartbeats, &known(10), &|_| true, now);
        assert_eq!(sources, []);
    }
}

/// The store rejects the daemons that send heartbeats, and serves this one.
/// Their heartbeats must not keep it from reading the store.
#[test]
fn heartbeats_of_daemons_without_the_store_do_not_count() {
    let mut heartbeats = HeartbeatTable::default();
    let now = START + DurationMs(5_000);
    heartbeats.record(&heartbeat(1, 10, 4_000), now);
    assert!(read_due_at(&heartbeats, &known(10), START) <= now);
}

/// The store rejects this host for seconds while a target's entry is removed.
/// The removal must take effect immediately if heartbeats arrive from daemons
/// that reach the store.
#[test]
fn a_daemon_that_the_store_rejects_trusts_those_that_reach_it() {
    let mut heartbeats = HeartbeatTable::default();
    let mut rows: StoreMirror<u32, &str> = StoreMirror::new();
    rows.put(1, "a", at(5), START);
    heartbeats.record(&heartbeat(1, 10, 200), START);
    assert!(!is_store_unavailable(&heartbeats, true, START));
    rows.store_returned(START);
    assert!(
        rows.delete(&1, at(10), START),
        "the row is removed immediately"
    );
    let later = START + HEARTBEAT_TIMEOUT_MS + DurationMs(1);
    assert!(
        is_store_unavailable(&heartbeats, true, later),
        "no recent heartbeat, and no answer of the store"
    );
    assert!(
        !is_store_unavailable(&heartbeats, false, later),
        "the store answers this daemon"
    );
    heartbeats.record(&heartbeat(1, 10, 4_000), later);
    assert!(
        is_store_unavailable(&heartbeats, true, later),
        "the sender of the heartbeat does not reach the store either"
    );
}

fn member(domain: &str, port: u16, capacity_millicores: u32) -> MemberRecord {
    let address = |port| format!("10.0.0.1:{port}").parse().expect("an address");
    MemberRecord {
        failure_domain: domain.parse().expect("a name"),
        callers: address(port),
        news: address(port + 1_000),
        evidence: address(port + 2_000),
        incarnation: Incarnation(1),
        leaving: false,
        capacity_millicores,
    }
}

fn at_least(least: usize) -> EntryDemand {
    EntryDemand {
        least,
        capacity_millicores: 0,
    }
}

fn fleet(size: u16) -> Table<HostId, MemberRecord> {
    (0..size)
        .map(|number| {
            let domain = format!("domain-{}", number % 3);
            (
                host(u32::from(number)),
                member(&domain, 8_000 + number, 200),
            )
        })
        .collect()
}

/// Guards against a service that is unreachable after the loss of one failure domain.
#[test]
fn entry_daemons_lie_in_different_failure_domains() {
    let members = fleet(48);
    for service in ["archive", "closures", "certificates"] {
        let entries = entry_daemons(members.rows(), service, at_least(3));
        let domains: BTreeSet<_> = entries
            .iter()
            .map(|(_, member)| &member.failure_domain)
            .collect();
        assert_eq!(domains.len(), 3, "{service}");
    }
}

/// When hosts stop one after the other, the callers of the remaining entry
/// daemons must not move to other daemons.
#[test]
fn a_leaving_daemon_moves_only_its_own_callers() {
    let mut members = fleet(48);
    let before: BTreeSet<HostId> = entry_daemons(members.rows(), "closures", at_least(3))
        .into_iter()
        .map(|(host, _)| host.clone())
        .collect();
    let gone = before.first().cloned().expect("an entry daemon");
    members.get_mut(&gone).expect("a member").leaving = true;
    let after: BTreeSet<HostId> = entry_daemons(members.rows(), "closures", at_least(3))
        .into_iter()
        .map(|(host, _)| host.clone())
        .collect();
    assert!(!after.contains(&gone));
    assert_eq!(before.intersection(&after).count(), 2);
}

/// Callers spread evenly over the entry daemons that they are given, so that a
/// weak host among strong ones would be overloaded.
#[test]
fn weak_hosts_are_taken_only_after_the_strong_ones() {
    let members: Table<HostId, MemberRecord> = (0..40_u16)
        .map(|number| {
            let capacity = if number < 6 { 500 } else { 50 };
            let domain = format!("domain-{}", number % 3);
            let member = member(&domain, 8_000 + number, capacity);
            (host(u32::from(number)), member)
        })
        .collect();
    let demand = EntryDemand {
        least: 3,
        capacity_millicores: 2_900,
    };
    let entries = entry_daemons(members.rows(), "closures", demand);
    assert_eq!(entries.len(), 6);
    for (host, member) in entries {
        assert_eq!(member.capacity_millicores, 500, "{host} is weak");
    }
}

/// If the strong hosts are gone, the weak ones must handle the whole load.
#[test]
fn many_weak_hosts_replace_the_strong_ones() {
    let members: Table<HostId, MemberRecord> = (0..90_u16)
        .map(|number| {
            let domain = format!("domain-{}", number % 3);
            (host(u32::from(number)), member(&domain, 8_000 + number, 50))
        })
        .collect();
    let demand = EntryDemand {
        least: 3,
        capacity_millicores: 2_900,
    };
    let entries = entry_daemons(members.rows(), "closures", demand);
    assert_eq!(entries.len(), 58);
}

/// Guards against requests to a distant failure domain while enough entry daemons are
/// near, and against giving a caller too few addresses.
#[test]
fn a_caller_gets_near_addresses_if_there_are_enough() {
    let members = fleet(9);
    let entries = entry_daemons(members.rows(), "archive", at_least(9));
    let domain = "domain-1".parse().expect("a name");
    let near = entry_addresses(&entries, Some(&domain), 2);
    assert_eq!(near.len(), 3);
    let all = entry_addresses(&entries, Some(&domain), 4);
    assert_eq!(all.len(), 9);
    assert_eq!(
        all[..3],
        near[..],
        "addresses in the caller's failure domain come first"
    );
}

fn route_to(host: &str, prefix: &str, services: &[&str]) -> CatalogRoute {
    let mut route = route(host, prefix);
    route.services = services
        .iter()
        .map(|service| WeightedService {
            service: service.parse().expect("a name"),
            weight: 1,
        })
        .collect();
    route
}

const POLICY: EntryPolicy = EntryPolicy {
    least: 3,
    slots_per_core: 250,
};

/// One host name has routes to several services. All of these services need the
/// same entry daemons, so that evidence about their targets reaches the daemons
/// that the callers use.
#[test]
fn host_names_that_share_a_service_share_their_daemons() {
    let catalog = catalog(
        1,
        vec![
            route_to("a.example", "/x/", &["archive"]),
            route_to("a.example", "/y/", &["closures"]),
            route_to("b.example", "/", &["closures", "certificates"]),
            route_to("c.example", "/", &["other"]),
        ],
    );
    let groups = entry_groups(&catalog, &POLICY, |_| 32);
    assert_eq!(groups.len(), 2);
    let joined = groups
        .iter()
        .find(|group| group.hosts.contains("a.example"))
        .expect("a group");
    assert!(joined.hosts.contains("b.example"));
    assert_eq!(joined.services.len(), 3);
    assert_eq!(joined.demand.least, 3);
    assert_eq!(
        joined.demand.capacity_millicores, 384,
        "96 slots at 250 slots per core"
    );
}

/// A service with hundreds of slots needs more than the minimum number of entry
/// daemons, and host names with thousands of slots in total must not form one
/// group.
#[test]
fn entry_daemons_grow_with_the_slots() {
    let routes = (0..200)
        .map(|number| {
            let own = format!("service-{number}");
            route_to(&format!("h{number}.example"), "/", &["shared", &own])
        })
        .collect();
    let groups = entry_groups(&catalog(1, routes), &POLICY, |_| 100);
    assert_eq!(groups.len(), 200, "one group for each host name");
    for group in groups {
        assert_eq!(group.demand.capacity_millicores, 800);
    }
}

//! Tests the parsing and writing of release notes and snapshots.

#![expect(clippy::unwrap_used, reason = "generators build values that are valid")]

use proptest::collection;
use proptest::option;
use proptest::prelude::*;
use proptest::sample;

use agatehold_core::config::ConfigTables;
use agatehold_core::config::DetectionPolicy;
use agatehold_core::config::Idempotence;
use agatehold_core::config::IsolationPolicy;
use agatehold_core::config::RouteRow;
use agatehold_core::config::ServiceRow;
use agatehold_core::config::TargetRow;
use agatehold_core::config::TargetState;
use agatehold_core::config::TenantRow;
use agatehold_core::config::TrafficClass;
use agatehold_core::config::config_digest;
use agatehold_core::ids::NoteNumber;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TenantName;
use agatehold_core::note;
use agatehold_core::note::NoteChange;
use agatehold_core::units::DurationMs;
use agatehold_core::units::Percent;
use agatehold_core::units::Probability;
use agatehold_core::units::RequestsPerSecond;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TargetCount;
use agatehold_settings::note::parse_note;
use agatehold_settings::note::snapshot_note;
use agatehold_settings::note::write_note;

const NOTE: &str = "\
[note]
author = ana
comment = certificates; first targets
base = 4

[service certificates]
floor = 2
class = urgent
profile = false-ejection-first

[target cert-1]
service = certificates
address = 192.0.2.11:8080
failure_domain = bog-1
slots = 4

[route lookup]
service = certificates
path_prefix = /certificates
methods = GET, HEAD
idempotent = yes
tenants = any

[tenant old]
action = withdraw
";

fn classes() -> impl Strategy<Value = TrafficClass> {
    sample::select(vec![
        TrafficClass::Urgent,
        TrafficClass::Normal,
        TrafficClass::Batch,
    ])
}

fn detections() -> impl Strategy<Value = DetectionPolicy> {
    let rates = (1e-9..0.5f64, 1e-9..0.5f64);
    (0..3, rates).prop_map(|(kind, (false_ejection, missed))| match kind {
        0 => DetectionPolicy::detection_first(),
        1 => DetectionPolicy::false_ejection_first(),
        _ => DetectionPolicy {
            max_false_ejection: Probability::new(false_ejection).unwrap(),
            max_missed: Probability::new(missed).unwrap(),
        },
    })
}

prop_compose! {
    fn services()(
        class in classes(),
        detection in detections(),
        queue_limit in 1..10_000u32,
        times in (0..100_000u64, 0..100_000u64),
        budget in 0..=100u8,
        refuse: bool,
    ) -> ServiceRow {
        ServiceRow {
            floor: TargetCount(0),
            class,
            detection,
            queue_limit,
            queue_wait_ms: DurationMs(times.0),
            timeout_ms: DurationMs(times.1),
            retry_budget: Percent::new(budget).unwrap(),
            when_isolated: if refuse { IsolationPolicy::Refuse } else { IsolationPolicy::ServeIdempotent },
        }
    }
}

prop_compose! {
    fn targets(service: ServiceName)(
        address: [u8; 4],
        ipv6: bool,
        port in 1..u16::MAX,
        domain in "[a-z0-9][a-z0-9-]{0,8}",
        counts in (1..100u32, 1..1000u32),
        serving: bool,
    ) -> TargetRow {
        let ip = std::net::Ipv4Addr::from(address);
        let ip = if ipv6 { ip.to_ipv6_mapped().into() } else { std::net::IpAddr::from(ip) };
        TargetRow {
            service: service.clone(),
            address: (ip, port).into(),
            failure_domain: domain.parse().unwrap(),
            slots: SlotCount(counts.0),
            max_connections: counts.1,
            state: if serving { TargetState::Serving } else { TargetState::Leaving },
        }
    }
}

prop_compose! {
    fn routes(service: ServiceName, tenant: TenantName)(
        path_prefix in "/[ -~]{0,12}[!-~]",
        host in option::of("[a-z0-9][a-z0-9.-]{0,12}(:[0-9]{1,4})?"),
        methods in collection::btree_set("[A-Z]{1,7}", 0..4),
        idempotence in sample::select(vec![Idempotence::ByMethod, Idempotence::Yes, Idempotence::No]),
        require_key: bool,
        restricted: bool,
    ) -> RouteRow {
        RouteRow {
            service: service.clone(),
            path_prefix: path_prefix.into(),
            host: host.filter(|host| host != "any").map(Box::from),
            methods: methods.into_iter().map(Box::from).collect(),
            idempotence,
            require_key,
            tenants: if restricted { vec![tenant.clone()] } else { Vec::new() },
        }
    }
}

prop_compose! {
    fn tenants()(class in classes(), rate in 0.0..1e9f64, burst in 1..10_000u32) -> TenantRow {
        TenantRow { class, rate_per_s: RequestsPerSecond::new(rate).unwrap(), burst }
    }
}

prop_compose! {
    fn configs()(
        service in "[ab]",
        tenant in "[a-z0-9][a-z0-9-]{0,20}",
    )(
        row in services(),
        targets in collection::vec(targets(service.parse().unwrap()), 1..6),
        routes in collection::vec(routes(service.parse().unwrap(), tenant.parse().unwrap()), 0..5),
        tenant_row in tenants(),
        service in Just(service),
        tenant in Just(tenant),
    ) -> ConfigTables {
        let mut config = ConfigTables::default();
        config.services.insert(service.parse().unwrap(), row);
        for (index, row) in targets.into_iter().enumerate() {
            config.targets.insert(format!("t{index}").parse().unwrap(), row);
        }
        for (index, row) in routes.into_iter().enumerate() {
            config.routes.insert(format!("r{index}").parse().unwrap(), row);
        }
        config.tenants.insert(tenant.parse().unwrap(), tenant_row);
        config
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(4_100),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// If a snapshot lost or rounded a value, a new host that starts from it would
    /// have another configuration than the fleet.
    #[test]
    fn snapshot_restores_the_configuration(config in configs()) {
        let snapshot = snapshot_note(&config, "ana", NoteNumber(32));
        let text = write_note(&snapshot, None);
        let parsed = parse_note("snapshot", &text).unwrap();
        prop_assert_eq!(&parsed.note, &snapshot);
        let restored = note::apply(&ConfigTables::default(), &parsed.note).unwrap();
        prop_assert_eq!(config_digest(&restored), config_digest(&config));
        prop_assert_eq!(restored, config);
    }

    /// If a difference left out a field, an operator who compares two configurations
    /// would not see the change.
    #[test]
    fn difference_turns_one_configuration_into_the_other(old in configs(), new in configs()) {
        let text = write_note(&note::difference(&old, &new), None);
        let parsed = parse_note("difference", &text).unwrap();
        prop_assert_eq!(note::apply(&old, &parsed.note).unwrap(), new);
    }
}

/// If writing and parsing changed a note, the fleet would not get the note that the
/// operator wrote.
#[test]
fn a_written_note_parses_to_the_same_note() {
    let parsed = parse_note("n.ini", NOTE).unwrap();
    assert_eq!(parsed.base, Some(NoteNumber(4)));
    assert_eq!(&*parsed.note.comment, "certificates; first targets");
    assert_eq!(parsed.note.changes.len(), 4);
    let again = parse_note("n.ini", &write_note(&parsed.note, parsed.base)).unwrap();
    assert_eq!(again.note, parsed.note);
    assert_eq!(again.base, parsed.base);
}

/// Errors of applying a note must show the line of their key, so that the operator
/// need not search a long note.
#[test]
fn apply_errors_show_the_line_of_their_key() {
    let text = NOTE.replace("floor = 2", "floor = 7");
    let parsed = parse_note("n.ini", &text).unwrap();
    let errors = note::apply(&ConfigTables::default(), &parsed.note).unwrap_err();
    let shown: Vec<String> = errors
        .iter()
        .map(|error| parsed.lines.locate(error).to_string())
        .collect();
    let expected = [
        "n.ini:24: [tenant old]: tenant old does not exist",
        "n.ini:7: [service certificates] floor = 7: service certificates: floor = 7 is above its 1 serving targets",
    ];
    assert_eq!(shown, expected);
}

/// If an invalid key or value were ignored or misread, the wrong configuration would
/// take effect on every daemon before anyone noticed.
#[test]
fn malformed_notes_are_refused_with_all_errors() {
    let text = "\
[note]
autor = ana
[service Certificates]
[services x]
[service a]
profile = detection-first
max_missed = 0.1
action = replace
[target t]
address = here:80
slots = some
[route r]
host = Example.org
methods = get
tenants = a, b, a
require_key = true
[tenant t]
action = withdraw
burst = 3
";
    let errors = parse_note("n.ini", text).unwrap_err();
    let lines: Vec<u32> = errors.iter().map(|error| error.line).collect();
    assert_eq!(
        lines,
        [2, 3, 4, 5, 7, 8, 10, 11, 13, 14, 15, 16, 19],
        "{errors:#?}"
    );
}

/// A note with `host = any` must remove a route's restriction to one host.
#[test]
fn host_any_removes_the_restriction() {
    let text = NOTE
        .replace("methods = GET, HEAD", "host = port.example")
        .replace("floor = 2", "floor = 1")
        .replace("[tenant old]\naction = withdraw\n", "");
    let config = note::apply(
        &ConfigTables::default(),
        &parse_note("n", &text).unwrap().note,
    )
    .unwrap();
    let change = parse_note("n", "[route lookup]\naction = change\nhost = any\n").unwrap();
    assert!(matches!(change.note.changes[0], NoteChange::PutRoute(..)));
    let config = note::apply(&config, &change.note).unwrap();
    let (_, row) = config.routes.rows().next().unwrap();
    assert_eq!(row.host, None);
}

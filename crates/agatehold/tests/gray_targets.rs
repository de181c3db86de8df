//! Checks that targets with a gray failure, which fail or are slow only in
//! part, receive little work, and that the other targets stay in use.

use std::path::Path;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use agatehold_core::units::DurationMs;
use agatehold_core::units::RequestsPerSecond;
use agatehold_testing::caller;
use agatehold_testing::caller::Load;
use agatehold_testing::common::get_control;
use agatehold_testing::common::unix_now;
use agatehold_testing::fleet::Fleet;
use agatehold_testing::fleet::FleetOptions;
use agatehold_testing::history;
use agatehold_testing::history::CallRecord;
use agatehold_wire::admin::TargetRank;

/// The number of the target with the gray failure.
const GRAY_TARGET: usize = 1;

/// The time that the fleet has to detect the failing target. It is a step of
/// the test and does not measure how fast detection is.
const DETECTION: Duration = Duration::from_secs(5);

/// How long the failing target's share of the requests is measured.
const MEASUREMENT: Duration = Duration::from_secs(4);

fn start_fleet() -> Fleet {
    let options = FleetOptions {
        host_lag_ms: DurationMs(0),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(Path::new(env!("CARGO_BIN_EXE_agatehold")), options).expect("a fleet");
    fleet.prepare_for_ejection().expect("switched");
    fleet
}

/// Returns how many targets without the fault are avoided, summed over all daemons.
fn avoided_others(fleet: &Fleet) -> usize {
    let gray = format!("certificates-{GRAY_TARGET}");
    let rows = fleet.target_rows().expect("an answer");
    let others = rows.iter().filter(|row| row.name.as_str() != gray);
    others.filter(|row| row.rank == TargetRank::Avoided).count()
}

/// Switches on a fault of one target under load and checks which share of the
/// requests still reaches it after the time for detection. `failures_max` is
/// the maximum number of requests that may fail during the whole test.
fn check_gray_target(what: &str, fault: &Value, failures_max: usize) {
    let fleet = start_fleet();
    let mut options = fleet.lookup_options("lookup").expect("valid names");
    options.count = u64::MAX;
    options.load = Load::Open("90".parse::<RequestsPerSecond>().expect("a rate"));
    options.shape.timeout_ms = Some(DurationMs(1_000));
    let running = caller::start(options).expect("a caller");
    thread::sleep(Duration::from_secs(2));
    fleet
        .control_targets(&json!({"targets": [GRAY_TARGET], "set": fault}))
        .expect("switched");
    thread::sleep(DETECTION);
    let measured_from = unix_now();
    thread::sleep(MEASUREMENT);
    let avoided = avoided_others(&fleet);
    let ejected = fleet.ejected_count().expect("an answer");
    running.stop();
    let calls = running.join();
    let runs = fleet.runs().expect("the targets' records");
    let mut measured = 0;
    let mut at_gray = 0;
    for run in &runs {
        if run.started_ms >= measured_from.0 {
            measured += 1;
            at_gray += usize::from(run.target == GRAY_TARGET);
        }
    }
    let failures = |call: &&CallRecord| !call.is_success();
    let failure_count = calls.iter().filter(failures).count();
    let calls_after_detection = calls.iter().filter(|call| call.sent_at >= measured_from);
    let failure_count_after_detection = calls_after_detection.filter(failures).count();
    println!(
        "{what}: {at_gray} of {measured} runs at the target after detection; \
         {failure_count} of {} requests failed, {failure_count_after_detection} of them after detection; ejected {ejected}; \
         others avoided {avoided}",
        calls.len()
    );
    assert!(measured > 200, "only {measured} runs after detection");
    // A healthy target has one run in 6. The runs that remain are for trials.
    assert!(
        at_gray * 20 <= measured,
        "{at_gray} of {measured} runs at the failing target"
    );
    assert!(
        failure_count <= failures_max,
        "{failure_count} requests failed"
    );
    assert_eq!(avoided, 0);
    assert!(ejected <= 2, "{ejected} targets are ejected");
    assert_eq!(history::check_response_bodies(&calls), Vec::new());
    fleet.close().expect("closed");
}

/// A target that fails all requests while its probes succeed would receive a
/// sixth of the work as long as it counts as healthy.
#[test]
fn target_that_fails_everything() {
    check_gray_target("fails all", &json!({"fail_share": 1.0}), 30);
}

/// A target that fails half of its requests must be detected as well, although
/// the other half succeeds.
#[test]
fn target_that_fails_half() {
    check_gray_target("fails half", &json!({"fail_share": 0.5}), 30);
}

/// A target that hangs causes no failure before the deadline, and its requests
/// occupy slots until then.
#[test]
fn target_that_hangs() {
    check_gray_target("hangs", &json!({"hang": true}), 60);
}

/// A target that is 10 times slower fails no request, but delays a sixth of
/// them.
#[test]
fn target_that_is_ten_times_slower() {
    check_gray_target("slow", &json!({"delay": {"uniform_ms": [150, 250]}}), 10);
}

/// Returns the sum of a counter over all daemons.
fn counter(fleet: &Fleet, name: &str) -> u64 {
    let mut sum = 0;
    for daemon in &fleet.daemons {
        let bytes = daemon.read_admin("/metrics").expect("an answer");
        for line in String::from_utf8_lossy(&bytes).lines() {
            let Some((series, value)) = line.rsplit_once(' ') else {
                continue;
            };
            if series.split('{').next() == Some(name) {
                sum += value.parse::<u64>().expect("a count");
            }
        }
    }
    sum
}

/// A request on an idle connection that has gone silent is never answered. An
/// idempotent request is sent again once; a non-idempotent request must not be
/// sent on such a connection.
#[test]
fn connections_that_go_silent_while_idle() {
    let fleet = start_fleet();
    let mut calls = Vec::new();
    let mut silenced = 0;
    for round in 0..4 {
        let mut options = fleet
            .lookup_options(&format!("warm-{round}"))
            .expect("valid names");
        options.count = 60;
        options.load = Load::Closed(9);
        calls.extend(caller::start(options).unwrap().join());
        let connections: u64 = get_control(fleet.targets.control, "runs?rows=0").unwrap()["counts"]
            .as_array()
            .unwrap()
            .iter()
            .filter_map(|counts| counts["connections"].as_u64())
            .sum();
        silenced = connections;
        fleet
            .control_targets(&json!({"targets": [round], "silence_existing": "both"}))
            .unwrap();
        thread::sleep(Duration::from_millis(700));
        let mut issues = fleet.caller_options(&format!("issue-{round}")).unwrap();
        issues.count = 10;
        issues.attempts = 1;
        let issues = caller::start(issues).unwrap();
        let mut options = fleet
            .lookup_options(&format!("silent-{round}"))
            .expect("valid names");
        options.count = 30;
        options.load = Load::Closed(6);
        calls.extend(caller::start(options).unwrap().join());
        calls.extend(issues.join());
        // A retry must not use a connection that an earlier round silenced.
        fleet
            .control_targets(&json!({"reset_existing": true}))
            .unwrap();
    }
    let runs = fleet.runs().unwrap();
    let counts = history::count_requests(&calls, &runs);
    let retries = counter(&fleet, "agatehold_retries_total");
    println!(
        "silent: {counts:?} {:?}; {retries} retries, {silenced} connections silenced",
        history::count_refusals(&calls)
    );
    assert_eq!(counts.requests, 400);
    assert_eq!(counts.succeeded, 400);
    assert!(
        retries > 0,
        "no request was retried because of a silent connection"
    );
    assert!(
        retries <= silenced,
        "{retries} retries for {silenced} silenced connections"
    );
    assert_eq!(history::check_at_most_once(&calls, &runs), Vec::new());
    fleet.close().unwrap();
}

/// A request that crashes its target, and that its caller sends again through
/// every daemon, could take the whole service down.
#[test]
fn request_that_crashes_targets_and_is_resent() {
    let fleet = start_fleet();
    let fault = json!({"crash_marker": "boom", "crash_down_ms": 500});
    fleet.control_targets(&json!({"set": fault})).unwrap();
    let mut calls = Vec::new();
    for round in 0..9 {
        // The same name produces the same request.
        let mut options = fleet.lookup_options("crash").expect("valid names");
        options.daemons = vec![fleet.daemons[round % 3].callers];
        options.fetches_addresses = false;
        options.shape.method = http::Method::PUT;
        options.shape.body_text = "boom".into();
        calls.extend(caller::start(options).unwrap().join());
        thread::sleep(Duration::from_millis(200));
    }
    let crashed = fleet.runs().unwrap();
    println!(
        "crash marker: {} runs; {:?}",
        crashed.len(),
        history::count_refusals(&calls)
    );
    assert!(!crashed.is_empty());
    assert!(
        crashed.len() <= 2,
        "the request ran {} times",
        crashed.len()
    );
    let mut options = fleet.lookup_options("afterwards").expect("valid names");
    options.count = 30;
    let after = caller::start(options).unwrap().join();
    assert!(after.iter().all(|call| call.is_success()));
    fleet.close().unwrap();
}

//! Checks that a non-idempotent request runs at most once, and that a request
//! that was refused with `not-run` did not run, while targets, daemons and the
//! platform fail.

use std::path::Path;
use std::thread;
use std::time::Duration;

use serde_json::json;

use agatehold_core::units::DurationMs;
use agatehold_testing::caller;
use agatehold_testing::caller::CallerOptions;
use agatehold_testing::caller::KeyMode;
use agatehold_testing::caller::Load;
use agatehold_testing::fleet::Fleet;
use agatehold_testing::fleet::FleetOptions;
use agatehold_testing::fleet::Signal;
use agatehold_testing::history;
use agatehold_testing::history::CallRecord;
use agatehold_testing::history::RequestCounts;

/// The byte positions at which a connection is cut: before the first byte,
/// inside the request line, at steps of a prime number (53) through the
/// headers, and in the body.
const CUT_POSITIONS: [u64; 12] = [0, 1, 7, 60, 113, 166, 219, 272, 325, 378, 431, 600];

fn start_fleet(daemons: usize) -> Fleet {
    let options = FleetOptions {
        daemons,
        ..FleetOptions::default()
    };
    Fleet::start(Path::new(env!("CARGO_BIN_EXE_agatehold")), options).expect("a fleet")
}

fn run(options: CallerOptions) -> Vec<CallRecord> {
    caller::start(options).expect("a caller").join()
}

/// Checks the guarantees for all calls and returns the counts.
fn check(fleet: &Fleet, scenario: &str, calls: &[CallRecord]) -> RequestCounts {
    let runs = fleet.runs().expect("the targets' records");
    let counts = history::count_requests(calls, &runs);
    println!(
        "{scenario}: {counts:?}; refusals {:?}",
        history::count_refusals(calls)
    );
    assert_eq!(history::check_at_most_once(calls, &runs), Vec::new());
    assert_eq!(history::check_not_run(calls, &runs), Vec::new());
    assert_eq!(history::check_key_refusals(calls, &runs), Vec::new());
    assert_eq!(history::check_response_bodies(calls), Vec::new());
    counts
}

/// If a target closes the connection after it has read the complete request,
/// sending the request again would run it twice.
#[test]
fn cuts_at_each_position_of_request_and_answer() {
    let fleet = start_fleet(2);
    let mut calls = Vec::new();
    let mut rounds = 0;
    for part in ["request", "answer"] {
        for end in ["reset", "close"] {
            for position in CUT_POSITIONS {
                rounds += 1;
                let cut = json!({"part": part, "byte": position, "end": end, "count": 1});
                fleet
                    .control_targets(&json!({"set": {"cut": cut}}))
                    .unwrap();
                let mut options = fleet.caller_options(&format!("cut-{rounds}")).unwrap();
                options.count = 24;
                options.load = Load::Closed(4);
                options.shape.body_bytes.0 = 200;
                calls.extend(run(options));
                fleet
                    .control_targets(&json!({"set": {"cut": null}}))
                    .unwrap();
            }
        }
    }
    let counts = check(&fleet, "cut connections", &calls);
    // Each round cuts one connection of each of the 6 targets.
    assert_eq!(counts.requests, rounds * 24);
    let lost = counts.requests - counts.succeeded;
    assert!(lost <= rounds * 6, "{counts:?}");
    // The test is only meaningful if some requests were cut.
    assert!(lost >= rounds, "{counts:?}");
    fleet.close().unwrap();
}

/// If the target has closed a pooled connection, the next request on it must
/// neither fail nor run twice.
#[test]
fn connections_that_targets_closed_while_idle() {
    let fleet = start_fleet(2);
    let mut calls = Vec::new();
    let rounds = 30;
    for round in 0..rounds {
        let mut options = fleet.caller_options(&format!("idle-{round}")).unwrap();
        options.count = 12;
        options.load = Load::Closed(6);
        calls.extend(run(options));
        fleet
            .control_targets(&json!({"reset_existing": true}))
            .unwrap();
    }
    let counts = check(&fleet, "closed while idle", &calls);
    assert_eq!(counts.requests, rounds * 12);
    // If a reset arrives while a request is being sent, its outcome is unknown.
    assert!(counts.succeeded >= counts.requests - rounds, "{counts:?}");
    fleet.close().unwrap();
}

/// A daemon that is killed loses its table of keys. If its successor or another
/// daemon ran a request that is resent with one of these keys, the request
/// could run twice.
#[test]
fn daemons_killed_and_restarted() {
    let fleet = start_fleet(3);
    fleet
        .control_targets(&json!({"set": {"delay": {"uniform_ms": [0, 30]}}}))
        .unwrap();
    let mut running = Vec::new();
    for (number, keys) in [KeyMode::Prefix, KeyMode::Own, KeyMode::Prefix, KeyMode::Own]
        .into_iter()
        .enumerate()
    {
        let mut options = fleet.caller_options(&format!("killed-{number}")).unwrap();
        options.count = 200;
        options.attempts = 8;
        options.load = Load::Closed(3);
        options.response_timeout_ms = DurationMs(2_000);
        options.shape.keys = keys;
        running.push(caller::start(options).unwrap());
    }
    for number in [0, 1] {
        thread::sleep(Duration::from_millis(300));
        fleet.daemons[number].signal(Signal::Kill).unwrap();
        fleet.daemons[number].wait().unwrap();
        thread::sleep(Duration::from_millis(200));
        fleet.daemons[number].restart().unwrap();
    }
    let calls: Vec<CallRecord> = running.into_iter().flat_map(|one| one.join()).collect();
    let counts = check(&fleet, "killed daemons", &calls);
    assert_eq!(counts.requests, 800);
    assert!(counts.succeeded >= 700, "{counts:?}");
    fleet.close().unwrap();
}

/// A daemon that was frozen for longer than the deadlines of its requests must
/// not send them when it resumes, since the callers have sent them to other
/// daemons.
#[test]
fn daemon_frozen_for_longer_than_its_deadlines() {
    let fleet = start_fleet(3);
    fleet
        .control_targets(&json!({"set": {"delay": {"uniform_ms": [0, 20]}}}))
        .unwrap();
    let mut running = Vec::new();
    for (number, keys) in [KeyMode::Prefix, KeyMode::Own].into_iter().enumerate() {
        let mut options = fleet.caller_options(&format!("frozen-{number}")).unwrap();
        options.count = 400;
        options.attempts = 8;
        options.load = Load::Closed(4);
        options.response_timeout_ms = DurationMs(600);
        options.shape.keys = keys;
        options.shape.timeout_ms = Some(DurationMs(400));
        running.push(caller::start(options).unwrap());
    }
    for number in [0, 1, 2] {
        thread::sleep(Duration::from_millis(200));
        fleet.daemons[number].signal(Signal::Stop).unwrap();
        thread::sleep(Duration::from_millis(1_200));
        fleet.daemons[number].signal(Signal::Continue).unwrap();
    }
    let calls: Vec<CallRecord> = running.into_iter().flat_map(|one| one.join()).collect();
    let counts = check(&fleet, "frozen daemons", &calls);
    assert_eq!(counts.requests, 800);
    // Each freeze affects at most the 8 requests in flight, and callers that
    // still use the daemon's address send up to 8 more every 600 ms.
    assert!(counts.succeeded >= 700, "{counts:?}");
    fleet.close().unwrap();
}

/// If the answer to a claim was lost, the claim may still have been recorded in
/// the platform. Running the request without reading the claim back could run
/// it twice.
#[test]
fn platform_down_and_its_answers_lost() {
    let fleet = start_fleet(3);
    let mut calls = Vec::new();
    let mut request = |name: &str, attempts: u32| {
        let mut options = fleet.caller_options(name).unwrap();
        options.count = 40;
        options.attempts = attempts;
        options.load = Load::Closed(4);
        options.shape.keys = KeyMode::Own;
        let records = run(options);
        let succeeded = records.iter().filter(|record| record.is_success()).count();
        calls.extend(records);
        succeeded
    };
    fleet
        .control_platform(&json!({"lose_answers": 20}))
        .unwrap();
    assert_eq!(request("lost", 3), 40);
    fleet.control_platform(&json!({"down": true})).unwrap();
    assert_eq!(request("down", 1), 0);
    fleet.control_platform(&json!({"down": false})).unwrap();
    // The same keys again: requests that were refused with `not-run` may run
    // now.
    assert_eq!(request("down", 3), 40);
    let counts = check(&fleet, "platform faults", &calls);
    assert_eq!(counts.requests, 80);
    assert_eq!(counts.succeeded, 80);
    fleet.close().unwrap();
}

/// If each of several daemons takes a key to be new, the request runs several
/// times.
#[test]
fn one_key_through_several_daemons_at_once() {
    let fleet = start_fleet(3);
    fleet
        .control_targets(&json!({"set": {"delay": {"uniform_ms": [0, 10]}}}))
        .unwrap();
    let mut names = vec!["own-key".to_owned()];
    for daemon in &fleet.daemons {
        let status = daemon.status().unwrap();
        // In this mode a key is the caller's name and a number. The name starts
        // with a daemon's prefix here.
        names.push(format!("{}.{}.0.shared", status.host, status.incarnation));
    }
    let mut running = Vec::new();
    for name in &names {
        for daemon in &fleet.daemons {
            let mut options = fleet.caller_options(name).unwrap();
            options.daemons = vec![daemon.callers];
            options.fetches_addresses = false;
            options.count = 100;
            options.attempts = 10;
            options.load = Load::Closed(2);
            options.shape.keys = KeyMode::Own;
            running.push(caller::start(options).unwrap());
        }
    }
    let calls: Vec<CallRecord> = running.into_iter().flat_map(|one| one.join()).collect();
    let counts = check(&fleet, "shared keys", &calls);
    assert_eq!(counts.requests, 400);
    assert_eq!(counts.succeeded, 400);
    fleet.close().unwrap();
}

/// Returns the options for sending requests to one daemon. Their keys are
/// `name` and a number, so the same name sends the same requests again.
fn key_caller_options(fleet: &Fleet, name: &str, daemon: usize) -> CallerOptions {
    let mut options = fleet.caller_options(name).expect("valid names");
    options.daemons = vec![fleet.daemons[daemon].callers];
    options.fetches_addresses = false;
    options.count = 30;
    options.attempts = 1;
    options.load = Load::Closed(10);
    options.response_timeout_ms = DurationMs(1_000);
    options.shape.keys = KeyMode::Own;
    options
}

/// Returns the names for keys that the caller generates and for keys with a
/// prefix of daemon 0.
fn key_names(fleet: &Fleet) -> [String; 2] {
    let status = fleet.daemons[0].status().expect("a status");
    let prefixed = format!("{}.{}.0.resent", status.host, status.incarnation);
    ["own-resent".to_owned(), prefixed]
}

/// The process that replaces a killed daemon has no record of its keys. If it
/// ran requests with these keys or answered `not-run`, a request could run
/// twice.
#[test]
fn keys_resent_after_their_daemon_was_killed() {
    let fleet = start_fleet(3);
    fleet
        .control_targets(&json!({"set": {"delay": {"uniform_ms": [0, 40]}}}))
        .unwrap();
    let names = key_names(&fleet);
    let mut calls = Vec::new();
    let first: Vec<_> = names
        .iter()
        .map(|name| caller::start(key_caller_options(&fleet, name, 0)).unwrap())
        .collect();
    // Some of the 30 requests have ended by now and some are still running.
    thread::sleep(Duration::from_millis(60));
    fleet.daemons[0].signal(Signal::Kill).unwrap();
    fleet.daemons[0].wait().unwrap();
    calls.extend(first.into_iter().flat_map(|one| one.join()));
    fleet.daemons[0].restart().unwrap();
    // In the first of these rounds, the new process is still starting.
    for round in 0..30 {
        for name in &names {
            calls.extend(run(key_caller_options(&fleet, name, round % 3)));
        }
    }
    fleet.wait_for_note(fleet.notes.head().number).unwrap();
    for daemon in 0..3 {
        for name in &names {
            calls.extend(run(key_caller_options(&fleet, name, daemon)));
        }
    }
    let runs = fleet.runs().unwrap();
    assert!(!runs.is_empty(), "nothing ran before the kill");
    check(&fleet, "resent after a kill", &calls);
    fleet.close().unwrap();
}

/// The requests of a frozen daemon are resent through other daemons, which must
/// not run them: the frozen daemon may have sent them already or may send them
/// when it resumes.
#[test]
fn keys_resent_while_their_daemon_is_frozen() {
    let fleet = start_fleet(3);
    fleet
        .control_targets(&json!({"set": {"delay": {"uniform_ms": [0, 40]}}}))
        .unwrap();
    let names = key_names(&fleet);
    let mut calls = Vec::new();
    let first: Vec<_> = names
        .iter()
        .map(|name| caller::start(key_caller_options(&fleet, name, 0)).unwrap())
        .collect();
    thread::sleep(Duration::from_millis(60));
    fleet.daemons[0].signal(Signal::Stop).unwrap();
    for name in &names {
        calls.extend(run(key_caller_options(&fleet, name, 1)));
    }
    calls.extend(first.into_iter().flat_map(|one| one.join()));
    fleet.daemons[0].signal(Signal::Continue).unwrap();
    for daemon in 0..3 {
        for name in &names {
            calls.extend(run(key_caller_options(&fleet, name, daemon)));
        }
    }
    let counts = check(&fleet, "resent while frozen", &calls);
    assert_eq!(counts.requests, 60);
    fleet.close().unwrap();
}

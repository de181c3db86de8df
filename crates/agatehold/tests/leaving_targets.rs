//! Checks that a target that is leaving receives no new work after a few
//! seconds, whichever signal says that it is leaving, and that no request
//! fails because of it.

use std::path::Path;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use agatehold_core::units::DurationMs;
use agatehold_core::units::RequestsPerSecond;
use agatehold_core::units::TimeMs;
use agatehold_testing::caller;
use agatehold_testing::caller::CallerOptions;
use agatehold_testing::caller::KeyMode;
use agatehold_testing::caller::Load;
use agatehold_testing::caller::RunningCaller;
use agatehold_testing::common::unix_now;
use agatehold_testing::fleet::Fleet;
use agatehold_testing::fleet::FleetOptions;
use agatehold_testing::history;
use agatehold_testing::history::CallRecord;

/// How long after a signal a target that is leaving may still receive new work
/// (invariant 5 of the design page).
const BOUND_MS: DurationMs = DurationMs(3_000);

/// How long requests are sent after the bound has passed.
const LOAD_AFTER_BOUND: Duration = Duration::from_secs(5);

/// The lag of the host list. It is shorter than in production to keep the test
/// short. The bound starts at the end of the lag.
const HOST_LAG_MS: DurationMs = DurationMs(1_000);

/// The number of the target that is leaving.
const LEAVING_TARGET: usize = 2;

fn start_fleet() -> Fleet {
    let options = FleetOptions {
        host_lag_ms: HOST_LAG_MS,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(Path::new(env!("CARGO_BIN_EXE_agatehold")), options).expect("a fleet");
    fleet
        .control_targets(&json!({"set": {"delay": {"uniform_ms": [0, 30]}}}))
        .expect("switched");
    fleet
}

fn start_at_fixed_rate(mut options: CallerOptions) -> RunningCaller {
    options.count = u64::MAX;
    // With a single attempt, the daemon has to find another target itself.
    options.attempts = 1;
    options.load = Load::Open("40".parse::<RequestsPerSecond>().expect("a rate"));
    caller::start(options).expect("a caller")
}

/// Starts a caller that sends lookups and one that sends issues.
fn start_callers(fleet: &Fleet) -> Vec<RunningCaller> {
    let mut lookups = fleet.caller_options("lookup").expect("valid names");
    lookups.shape.method = http::Method::GET;
    lookups.shape.keys = KeyMode::None;
    lookups.shape.is_non_idempotent = false;
    let issues = fleet.caller_options("issue").expect("valid names");
    vec![start_at_fixed_rate(lookups), start_at_fixed_rate(issues)]
}

fn host_list(fleet: &Fleet) -> Value {
    fleet.host_list(|number| {
        if number == LEAVING_TARGET {
            "leaving"
        } else {
            "live"
        }
    })
}

/// Sends requests while `signal` announces that the target is leaving, and
/// checks which requests the target ran. `signal` returns the time at which it
/// reaches the fleet.
fn check(mut fleet: Fleet, what: &str, signal: impl FnOnce(&mut Fleet) -> TimeMs) {
    let running = start_callers(&fleet);
    thread::sleep(Duration::from_secs(1));
    let signalled_at = signal(&mut fleet);
    let wait = (signalled_at + BOUND_MS).since(unix_now());
    thread::sleep(Duration::from_millis(wait.0) + LOAD_AFTER_BOUND);
    for caller in &running {
        caller.stop();
    }
    let calls: Vec<CallRecord> = running.into_iter().flat_map(|one| one.join()).collect();
    let runs = fleet.runs().expect("the targets' records");
    let counts = history::count_requests(&calls, &runs);
    let refusals = history::count_refusals(&calls);
    let started_at: Vec<u64> = runs
        .iter()
        .filter(|run| run.target == LEAVING_TARGET)
        .map(|run| run.started_ms)
        .collect();
    let started_before_signal = started_at.iter().filter(|at| **at < signalled_at.0).count();
    let last_ms = started_at
        .iter()
        .max()
        .map(|at| at.saturating_sub(signalled_at.0));
    let started_after_bound: Vec<&u64> = started_at
        .iter()
        .filter(|at| **at > (signalled_at + BOUND_MS).0)
        .collect();
    println!(
        "{what}: {counts:?}; refusals {refusals:?}; last start {last_ms:?} ms after the signal"
    );
    assert!(
        started_before_signal > 0,
        "the target had no work before the signal"
    );
    assert_eq!(started_after_bound, Vec::<&u64>::new());
    assert_eq!(counts.succeeded, counts.requests, "{refusals:?}");
    assert_eq!(history::check_at_most_once(&calls, &runs), Vec::new());
    fleet.close().expect("closed");
}

/// A daemon that did not receive the note would send work to a target that is
/// leaving.
#[test]
fn target_that_a_note_says_is_leaving() {
    check(start_fleet(), "note", |fleet| {
        let address = fleet.targets.targets[LEAVING_TARGET];
        let note = format!(
            "[note]\ncomment = a target leaves\n\n[target certificates-{LEAVING_TARGET}]\n\
             action = change\nservice = certificates\naddress = {address}\n\
             failure_domain = domain-{}\nslots = 4\nstate = leaving\n",
            LEAVING_TARGET % 3
        );
        fleet.notes.release(&note).expect("released");
        unix_now()
    });
}

/// The host list may be the only signal that a target is leaving.
#[test]
fn target_that_the_host_list_says_is_leaving() {
    check(start_fleet(), "host list", |fleet| {
        fleet
            .control_platform(&json!({"hosts": host_list(fleet)}))
            .expect("switched");
        unix_now() + HOST_LAG_MS
    });
}

/// If a target says in its answers that it is leaving, only the daemons that
/// receive these answers know it at first. The others have to learn it from
/// them.
#[test]
fn target_whose_answers_say_that_it_is_leaving() {
    check(start_fleet(), "own answers", |fleet| {
        fleet
            .control_targets(&json!({"targets": [LEAVING_TARGET], "set": {"leaving": "serve"}}))
            .expect("switched");
        unix_now()
    });
}

/// A target that sheds a request while it is leaving has not run it, so the
/// request must be sent to another target.
#[test]
fn target_that_sheds_while_it_is_leaving() {
    check(start_fleet(), "own sheds", |fleet| {
        fleet
            .control_targets(&json!({"targets": [LEAVING_TARGET], "set": {"leaving": "shed"}}))
            .expect("switched");
        unix_now()
    });
}

/// A daemon that has sent nothing to the target since it began to leave must
/// learn it from the daemon that has, and not by sending a request itself.
#[test]
fn target_of_which_one_daemon_knows_that_it_is_leaving() {
    let fleet = start_fleet();
    let ask = |name: &str, daemon: usize| {
        let mut options = fleet.caller_options(name).unwrap();
        options.daemons = vec![fleet.daemons[daemon].callers];
        options.fetches_addresses = false;
        options.count = 60;
        options.shape.method = http::Method::GET;
        options.shape.keys = KeyMode::None;
        options.shape.is_non_idempotent = false;
        caller::start(options).unwrap().join()
    };
    fleet
        .control_targets(&json!({"targets": [LEAVING_TARGET], "set": {"leaving": "serve"}}))
        .unwrap();
    let mut calls = ask("first", 0);
    let known_at = fleet
        .runs()
        .unwrap()
        .iter()
        .filter(|run| run.target == LEAVING_TARGET)
        .map(|run| TimeMs(run.started_ms))
        .min()
        .expect("daemon 0 has used the target");
    let wait = (known_at + BOUND_MS).since(unix_now());
    thread::sleep(Duration::from_millis(wait.0));
    calls.extend(ask("second", 1));
    calls.extend(ask("third", 2));
    let runs = fleet.runs().unwrap();
    let started_after_bound = runs
        .iter()
        .filter(|run| run.target == LEAVING_TARGET && TimeMs(run.started_ms) > known_at + BOUND_MS);
    assert_eq!(started_after_bound.count(), 0);
    assert!(calls.iter().all(|call| call.is_success()));
    fleet.close().unwrap();
}

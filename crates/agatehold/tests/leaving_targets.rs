//! Guards that a leaving target gets no new work after a few seconds,
//! whichever signal says so, and that no request fails because of it.

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

/// How long after a signal a leaving target may get new work (invariant 5 of
/// the design page).
const BOUND_MS: DurationMs = DurationMs(3_000);

/// How long requests go on after the bound.
const AFTER_BOUND: Duration = Duration::from_secs(5);

/// The lag of the host list, shorter than in use to keep the test short; the
/// bound counts from the end of the lag.
const HOST_LAG_MS: DurationMs = DurationMs(1_000);

/// The target that leaves.
const LEAVING: usize = 2;

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

fn with_rate(mut options: CallerOptions) -> RunningCaller {
    options.count = u64::MAX;
    // The daemon has to find another target itself.
    options.attempts = 1;
    options.load = Load::Open("40".parse::<RequestsPerSecond>().expect("a rate"));
    caller::start(options).expect("a caller")
}

/// Starts lookups and issues.
fn start_callers(fleet: &Fleet) -> Vec<RunningCaller> {
    let mut lookups = fleet.caller_options("lookup").expect("valid names");
    lookups.shape.method = http::Method::GET;
    lookups.shape.keys = KeyMode::None;
    lookups.shape.is_non_idempotent = false;
    let issues = fleet.caller_options("issue").expect("valid names");
    vec![with_rate(lookups), with_rate(issues)]
}

fn host_list(fleet: &Fleet) -> Value {
    fleet.host_list(|number| if number == LEAVING { "leaving" } else { "live" })
}

/// Sends requests while `signal` is given, which returns when it reached the
/// fleet, and checks the target's record.
fn check(mut fleet: Fleet, what: &str, signal: impl FnOnce(&mut Fleet) -> TimeMs) {
    let running = start_callers(&fleet);
    thread::sleep(Duration::from_secs(1));
    let reached_at = signal(&mut fleet);
    let wait = (reached_at + BOUND_MS).since(unix_now());
    thread::sleep(Duration::from_millis(wait.0) + AFTER_BOUND);
    for caller in &running {
        caller.stop();
    }
    let calls: Vec<CallRecord> = running.into_iter().flat_map(|one| one.join()).collect();
    let runs = fleet.runs().expect("the targets' records");
    let counts = history::count_requests(&calls, &runs);
    let refusals = history::count_refusals(&calls);
    let started_at: Vec<u64> = runs
        .iter()
        .filter(|run| run.target == LEAVING)
        .map(|run| run.started_ms)
        .collect();
    let before = started_at.iter().filter(|at| **at < reached_at.0).count();
    let last_ms = started_at
        .iter()
        .max()
        .map(|at| at.saturating_sub(reached_at.0));
    let late: Vec<&u64> = started_at
        .iter()
        .filter(|at| **at > (reached_at + BOUND_MS).0)
        .collect();
    println!(
        "{what}: {counts:?}; refusals {refusals:?}; last start {last_ms:?} ms after the signal"
    );
    assert!(before > 0, "the target had no work before the signal");
    assert_eq!(late, Vec::<&u64>::new());
    assert_eq!(counts.succeeded, counts.requests, "{refusals:?}");
    assert_eq!(history::check_at_most_once(&calls, &runs), Vec::new());
    fleet.close().expect("closed");
}

/// A daemon that a note does not reach sends work to a withdrawn target.
#[test]
fn target_that_a_note_says_is_leaving() {
    check(start_fleet(), "note", |fleet| {
        let address = fleet.targets.targets[LEAVING];
        let note = format!(
            "[note]\ncomment = a target leaves\n\n[target certificates-{LEAVING}]\n\
             action = change\nservice = certificates\naddress = {address}\n\
             failure_domain = domain-{}\nslots = 4\nstate = leaving\n",
            LEAVING % 3
        );
        fleet.notes.release(&note).expect("released");
        unix_now()
    });
}

/// The host list may be the only sign that a target leaves.
#[test]
fn target_that_the_host_list_says_is_leaving() {
    check(start_fleet(), "host list", |fleet| {
        fleet
            .control_platform(&json!({"hosts": host_list(fleet)}))
            .expect("switched");
        unix_now() + HOST_LAG_MS
    });
}

/// A target that says so itself reaches one daemon at first; the others have to
/// learn it from that one.
#[test]
fn target_whose_answers_say_that_it_is_leaving() {
    check(start_fleet(), "own answers", |fleet| {
        fleet
            .control_targets(&json!({"targets": [LEAVING], "set": {"leaving": "serve"}}))
            .expect("switched");
        unix_now()
    });
}

/// A target that sheds while it leaves has not run the request, which must go
/// to another target.
#[test]
fn target_that_sheds_while_it_is_leaving() {
    check(start_fleet(), "own sheds", |fleet| {
        fleet
            .control_targets(&json!({"targets": [LEAVING], "set": {"leaving": "shed"}}))
            .expect("switched");
        unix_now()
    });
}

/// A daemon that has sent nothing to the target since it leaves learns it only
/// from the daemon that has, and must not find out by a request of its own.
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
        .control_targets(&json!({"targets": [LEAVING], "set": {"leaving": "serve"}}))
        .unwrap();
    let mut calls = ask("first", 0);
    let known_at = fleet
        .runs()
        .unwrap()
        .iter()
        .filter(|run| run.target == LEAVING)
        .map(|run| TimeMs(run.started_ms))
        .min()
        .expect("daemon 0 has used the target");
    let wait = (known_at + BOUND_MS).since(unix_now());
    thread::sleep(Duration::from_millis(wait.0));
    calls.extend(ask("second", 1));
    calls.extend(ask("third", 2));
    let runs = fleet.runs().unwrap();
    let late = runs
        .iter()
        .filter(|run| run.target == LEAVING && TimeMs(run.started_ms) > known_at + BOUND_MS);
    assert_eq!(late.count(), 0);
    assert!(calls.iter().all(|call| call.is_success()));
    fleet.close().unwrap();
}

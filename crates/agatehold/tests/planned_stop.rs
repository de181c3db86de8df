//! Guards that a planned stop aborts no request, whoever still uses the
//! daemon's address.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::path::Path;
use std::thread;
use std::time::Duration;

use serde_json::json;

use agatehold_core::units::DurationMs;
use agatehold_core::units::RequestsPerSecond;
use agatehold_testing::caller;
use agatehold_testing::caller::CallerOptions;
use agatehold_testing::caller::KeyMode;
use agatehold_testing::caller::Load;
use agatehold_testing::fleet::DaemonProcess;
use agatehold_testing::fleet::Fleet;
use agatehold_testing::fleet::FleetOptions;
use agatehold_testing::fleet::Signal;
use agatehold_testing::fleet::wait_until;
use agatehold_testing::history;
use agatehold_testing::history::CallOutcome;
use agatehold_testing::history::CallRecord;

fn start_fleet() -> Fleet {
    let options = FleetOptions {
        quiet_ms: DurationMs(400),
        limits: "stop_limit_ms = 8000\nanswer_bytes = 65536\n",
        ..FleetOptions::default()
    };
    Fleet::start(Path::new(env!("CARGO_BIN_EXE_agatehold")), options).expect("a fleet")
}

fn lookups(fleet: &Fleet, name: &str) -> CallerOptions {
    let mut options = fleet.caller_options(name).expect("valid names");
    options.count = u64::MAX;
    options.attempts = 6;
    options.load = Load::Closed(4);
    options.shape.method = http::Method::GET;
    options.shape.keys = KeyMode::None;
    options.shape.is_non_idempotent = false;
    options
}

fn rate(text: &str) -> Load {
    Load::Open(text.parse::<RequestsPerSecond>().expect("a rate"))
}

/// Callers of every kind: with kept connections, with keys, with addresses of
/// their own that they never renew, and with a new connection each time.
fn every_caller(fleet: &Fleet) -> Vec<CallerOptions> {
    let keep_alive = lookups(fleet, "keep-alive");
    let mut prefix = fleet.caller_options("prefix").expect("valid names");
    prefix.count = u64::MAX;
    prefix.attempts = 6;
    prefix.load = Load::Closed(4);
    let mut own = prefix.clone();
    own.name = "own".into();
    own.shape.keys = KeyMode::Own;
    let mut stale = lookups(fleet, "stale");
    stale.fetches_addresses = false;
    stale.load = Load::Closed(2);
    let mut stale_own = own.clone();
    stale_own.name = "stale-own".into();
    stale_own.fetches_addresses = false;
    stale_own.load = rate("20");
    let mut reconnecting = stale.clone();
    reconnecting.name = "reconnecting".into();
    reconnecting.keeps_connections = false;
    reconnecting.load = rate("20");
    vec![keep_alive, prefix, own, stale, stale_own, reconnecting]
}

/// Counts what a planned stop must not cause: an answer that does not come,
/// and a refusal after which the caller has to look up what became of it.
fn check(fleet: &Fleet, what: &str, calls: &[CallRecord]) {
    let runs = fleet.runs().expect("the targets' records");
    let counts = history::count_requests(calls, &runs);
    let refusals = history::count_refusals(calls);
    println!("{what}: {counts:?}; refusals {refusals:?}");
    let cut: Vec<_> = calls
        .iter()
        .filter(|call| matches!(call.outcome, CallOutcome::Lost | CallOutcome::TimedOut))
        .map(|call| (&call.path, call.address, call.outcome))
        .collect();
    assert_eq!(cut, Vec::new());
    assert_eq!(history::check_at_most_once(calls, &runs), Vec::new());
    assert_eq!(history::check_not_run(calls, &runs), Vec::new());
    assert_eq!(history::check_response_bodies(calls), Vec::new());
    assert_eq!(counts.unknown_and_ran, 0, "{counts:?} {refusals:?}");
    // A caller may hold the prefix of a daemon that has ended. Its requests at
    // that moment are refused by the others, and then it asks for a new prefix:
    // 8 keyed requests at once, and 3 stops.
    assert!(counts.unknown_not_run <= 24, "{counts:?} {refusals:?}");
}

/// Waits for the end of a daemon that stops.
fn exit_code(daemon: &DaemonProcess) -> Option<i32> {
    wait_until("the end of the daemon", || !daemon.is_running()).expect("an end");
    daemon.wait().expect("a status")?.code()
}

/// A daemon that closes its listener or connections too early cuts requests
/// that callers have sent.
#[test]
fn stops_under_load_cut_nothing() {
    let fleet = start_fleet();
    // One request in 20 takes longer than the quiet time.
    fleet
        .control_targets(&json!({"set": {"delay": {"mixed_ms": [3, 900, 0.05]}}}))
        .unwrap();
    let running: Vec<_> = every_caller(&fleet)
        .into_iter()
        .map(|options| caller::start(options).unwrap())
        .collect();
    for round in 0..3 {
        thread::sleep(Duration::from_millis(500));
        let daemon = &fleet.daemons[round % 3];
        daemon.signal(Signal::Term).unwrap();
        assert_eq!(exit_code(daemon), Some(0), "{round}: {}", daemon.log());
        daemon.restart().unwrap();
        fleet.wait_for_note(fleet.notes.head().number).unwrap();
    }
    for caller in &running {
        caller.stop();
    }
    let calls: Vec<CallRecord> = running.into_iter().flat_map(|one| one.join()).collect();
    check(&fleet, "planned stops", &calls);
    fleet.close().unwrap();
}

/// The operator's second signal ends a stop that waits, and the exit code
/// tells that requests were cut.
#[test]
fn second_signal_ends_the_stop() {
    let fleet = start_fleet();
    fleet
        .control_targets(&json!({"set": {"delay": {"fixed_ms": 5000}}}))
        .unwrap();
    let mut options = lookups(&fleet, "slow");
    options.daemons = vec![fleet.daemons[0].callers];
    options.fetches_addresses = false;
    options.attempts = 1;
    options.count = 4;
    let slow = caller::start(options).unwrap();
    wait_until("requests in flight", || {
        fleet.daemons[0]
            .status()
            .is_some_and(|status| status.in_flight == 4)
    })
    .unwrap();
    fleet.daemons[0].signal(Signal::Term).unwrap();
    wait_until("the planned stop", || {
        fleet.daemons[0].log().contains("planned stop begins")
    })
    .unwrap();
    fleet.daemons[0].signal(Signal::Term).unwrap();
    let code = exit_code(&fleet.daemons[0]);
    assert_eq!(code, Some(7), "{}", fleet.daemons[0].log());
    let calls = slow.join();
    assert!(calls.iter().all(|call| call.outcome == CallOutcome::Lost));
    fleet.close().unwrap();
}

/// The parts of an answer that a target sends with a pause between them; the
/// first is over the buffer size, so that it is relayed.
const PART_BYTES: usize = 100_000;

/// Answers one request in two parts with a pause over the quiet time.
fn serve_with_pause(listener: &TcpListener) {
    let Ok((mut stream, _)) = listener.accept() else {
        return;
    };
    let mut head = [0; 4096];
    let part = "p".repeat(PART_BYTES);
    let length = 2 * PART_BYTES;
    let first = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{part}");
    if stream.read(&mut head).is_err() || stream.write_all(first.as_bytes()).is_err() {
        return;
    }
    thread::sleep(Duration::from_millis(1_500));
    // The daemon may have closed the connection, which the caller then sees.
    let _ = stream.write_all(part.as_bytes());
}

/// An answer that is relayed in parts is in flight until its last part, even
/// if none comes for longer than the quiet time.
#[test]
fn relayed_answer_with_a_pause() {
    let mut fleet = start_fleet();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let note = format!(
        "[note]\ncomment = a target of the test's own\n\n\
         [service raw]\nfloor = 0\n\n[route raw]\nservice = raw\npath_prefix = /raw\n\n\
         [target raw-0]\nservice = raw\naddress = {address}\nfailure_domain = domain-0\nslots = 4\n"
    );
    let number = fleet.notes.release(&note).unwrap();
    fleet.wait_for_note(number).unwrap();
    let target = thread::spawn(move || serve_with_pause(&listener));
    let mut options = lookups(&fleet, "paused");
    options.daemons = vec![fleet.daemons[0].callers];
    options.fetches_addresses = false;
    options.attempts = 1;
    options.count = 1;
    options.shape.path = "/raw".into();
    let call = caller::start(options).unwrap();
    thread::sleep(Duration::from_millis(300));
    fleet.daemons[0].signal(Signal::Term).unwrap();
    let calls = call.join();
    target.join().unwrap();
    assert_eq!(calls[0].outcome, CallOutcome::Answered);
    assert_eq!(calls[0].body.len(), 2 * PART_BYTES);
    assert_eq!(exit_code(&fleet.daemons[0]), Some(0));
    fleet.close().unwrap();
}

//! Tests that a planned stop aborts no request, even of callers that keep using the
//! daemon's address.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

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

/// Callers of every kind: with persistent connections, with prefix keys or their own
/// keys, with addresses that they never refresh, and with a new connection for each
/// request.
fn callers_of_every_kind(fleet: &Fleet) -> Vec<CallerOptions> {
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

/// Checks that a planned stop caused no lost or timed-out request, and that refusals
/// with an unknown outcome stay within the number that the stops explain.
fn check_calls(fleet: &Fleet, what: &str, calls: &[CallRecord]) {
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
    // A caller may still use the key prefix of a daemon that has stopped. The other
    // daemons refuse the requests it has in flight, and then it gets a new prefix:
    // at most 8 keyed requests at once in each of the 3 stops.
    assert!(counts.unknown_not_run <= 24, "{counts:?} {refusals:?}");
}

/// Waits until a stopping daemon has exited; returns its exit code.
fn exit_code(daemon: &DaemonProcess) -> Option<i32> {
    wait_until("the end of the daemon", || !daemon.is_running()).expect("an end");
    daemon.wait().expect("a status")?.code()
}

/// A daemon that closes its listener or connections too early aborts requests that
/// callers have already sent.
#[test]
fn stops_under_load_abort_no_request() {
    let fleet = start_fleet();
    // One request in 20 takes longer than `quiet_ms`.
    fleet
        .control_targets(&json!({"set": {"delay": {"mixed_ms": [3, 900, 0.05]}}}))
        .unwrap();
    let running: Vec<_> = callers_of_every_kind(&fleet)
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
    check_calls(&fleet, "planned stops", &calls);
    fleet.close().unwrap();
}

/// A second signal must end a planned stop that waits for requests, and the exit code
/// must show that requests were aborted.
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

/// The size of each of the two parts of an answer that a target sends with a pause
/// in between. It exceeds the daemon's buffer, so that the first part is relayed
/// before the second one arrives.
const ANSWER_PART_BYTES: usize = 100_000;

/// Answers one request in two parts, with a pause that is longer than `quiet_ms`.
fn serve_with_pause(listener: &TcpListener) {
    let Ok((mut stream, _)) = listener.accept() else {
        return;
    };
    let mut head = [0; 4096];
    let part = "p".repeat(ANSWER_PART_BYTES);
    let length = 2 * ANSWER_PART_BYTES;
    let first = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{part}");
    if stream.read(&mut head).is_err() || stream.write_all(first.as_bytes()).is_err() {
        return;
    }
    thread::sleep(Duration::from_millis(1_500));
    // If the daemon has closed the connection, the caller gets an incomplete answer
    // and the test fails.
    let _ = stream.write_all(part.as_bytes());
}

/// Routes `/raw` to a target of the test's own.
fn release_raw_route(fleet: &mut Fleet, address: SocketAddr) {
    let note = format!(
        "[note]\ncomment = a target of the test's own\n\n\
         [service raw]\nfloor = 0\n\n[route raw]\nservice = raw\npath_prefix = /raw\n\n\
         [target raw-0]\nservice = raw\naddress = {address}\nfailure_domain = domain-0\nslots = 4\n"
    );
    let number = fleet.notes.release(&note).expect("a number");
    fleet.wait_for_note(number).expect("the note in force");
}

/// A relayed answer must count as in flight until its last part has been sent, even if
/// the target pauses for longer than `quiet_ms`.
#[test]
fn relayed_answer_with_a_pause() {
    let mut fleet = start_fleet();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    release_raw_route(&mut fleet, address);
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
    assert_eq!(calls[0].body.len(), 2 * ANSWER_PART_BYTES);
    assert_eq!(exit_code(&fleet.daemons[0]), Some(0));
    fleet.close().unwrap();
}

/// A caller asks to close its connection, reads the answer late and still sends. Guards
/// against a daemon that closes its socket while the answer is unread: the next byte resets
/// the connection, and the kernel drops the answer.
#[test]
fn an_unread_answer_survives_bytes_of_its_caller() {
    let mut fleet = start_fleet();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    release_raw_route(&mut fleet, listener.local_addr().unwrap());
    let target = thread::spawn(move || serve_with_pause(&listener));
    // With the receive buffer of the system, the caller's kernel would take the answer.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    socket.connect(&fleet.daemons[0].callers.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    let timeout = Some(Duration::from_secs(20));
    stream.set_read_timeout(timeout).unwrap();
    let head = "GET /raw HTTP/1.1\r\nhost: service\r\nagatehold-tenant: exporter\r\n\
                connection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let sent_at = Instant::now();
    while sent_at.elapsed() < Duration::from_secs(5) {
        thread::sleep(Duration::from_millis(200));
        // The daemon may have reset the connection.
        let _ = stream.write_all(b"G");
    }
    let mut answer = Vec::new();
    let result = stream.read_to_end(&mut answer);
    let body = answer.iter().rev().take_while(|byte| **byte == b'p');
    assert_eq!(body.count(), 2 * ANSWER_PART_BYTES, "{result:?}");
    target.join().unwrap();
    fleet.close().unwrap();
}

//! Checks that a caller receives the complete answer to its own request, or can
//! tell that it did not, whatever faults targets have when they answer.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use agatehold_core::refusal::RefusalKind;
use agatehold_core::units::DurationMs;
use agatehold_testing::caller;
use agatehold_testing::caller::CallerOptions;
use agatehold_testing::caller::KeyMode;
use agatehold_testing::caller::Load;
use agatehold_testing::fleet::Fleet;
use agatehold_testing::fleet::FleetOptions;
use agatehold_testing::history;
use agatehold_testing::history::CallOutcome;
use agatehold_testing::history::CallRecord;

/// The buffer size; a larger answer is relayed part by part.
const ANSWER_BYTES: u64 = 65_536;

fn start_fleet() -> Fleet {
    let options = FleetOptions {
        daemons: 2,
        limits: "answer_bytes = 65536\n",
        ..FleetOptions::default()
    };
    Fleet::start(Path::new(env!("CARGO_BIN_EXE_agatehold")), options).expect("a fleet")
}

/// Returns the options for sending lookups: idempotent requests, which may run
/// more than once.
fn lookups(fleet: &Fleet, name: &str, count: u64) -> CallerOptions {
    let mut options = fleet.caller_options(name).expect("valid names");
    options.count = count;
    options.load = Load::Closed(6);
    options.shape.method = http::Method::GET;
    options.shape.keys = KeyMode::None;
    options.shape.is_non_idempotent = false;
    options
}

/// Returns the options for sending issues (of certificates): non-idempotent
/// requests, which must run at most once.
fn issues(fleet: &Fleet, name: &str, count: u64) -> CallerOptions {
    let mut options = fleet.caller_options(name).expect("valid names");
    options.count = count;
    options.load = Load::Closed(3);
    options
}

/// Sends lookups and issues at the same time.
fn run_both(fleet: &Fleet, name: &str, count: u64) -> Vec<CallRecord> {
    let lookups = lookups(fleet, &format!("{name}-lookup"), count);
    let issues = issues(fleet, &format!("{name}-issue"), count);
    let lookups = caller::start(lookups).expect("a caller");
    let issues = caller::start(issues).expect("a caller");
    let mut calls = lookups.join();
    calls.extend(issues.join());
    calls
}

fn check(fleet: &Fleet, what: &str, calls: &[CallRecord]) -> history::RequestCounts {
    let runs = fleet.runs().expect("the targets' records");
    let counts = history::count_requests(calls, &runs);
    let refusals = history::count_refusals(calls);
    println!("{what}: {counts:?}; refusals {refusals:?}");
    assert_eq!(history::check_response_bodies(calls), Vec::new());
    assert_eq!(history::check_at_most_once(calls, &runs), Vec::new());
    assert_eq!(history::check_not_run(calls, &runs), Vec::new());
    counts
}

/// Sends requests in `rounds` rounds, and switches the fault of all targets on
/// again at the start of each round.
fn run_rounds(fleet: &Fleet, name: &str, rounds: u64, fault: &Value) -> Vec<CallRecord> {
    let mut calls = Vec::new();
    for round in 0..rounds {
        fleet.control_targets(fault).expect("switched");
        calls.extend(run_both(fleet, &format!("{name}-{round}"), 30));
    }
    calls
}

/// If a target sends the answer to another request, the answer must be refused.
#[test]
fn crossed_answers() {
    let fleet = start_fleet();
    let calls = run_rounds(&fleet, "crossed", 8, &json!({"set": {"cross_next": 1}}));
    let counts = check(&fleet, "crossed answers", &calls);
    assert_eq!(counts.requests, 480);
    // Each round crosses at most 6 answers.
    assert!(counts.succeeded >= 480 - 48, "{counts:?}");
    assert!(
        history::count_refusals(&calls)
            .iter()
            .any(|(kind, _)| *kind == RefusalKind::AnswerMismatched),
        "no request was refused because of a crossed answer"
    );
    fleet.close().unwrap();
}

/// An answer that arrives after the request's deadline must not be taken for
/// the answer to the next request on the connection.
#[test]
fn late_answers() {
    let fleet = start_fleet();
    let mut calls = Vec::new();
    for round in 0..4 {
        let targets = [round % 6, (round + 3) % 6];
        fleet
            .control_targets(&json!({"targets": targets, "set": {"late_ms": 120}}))
            .unwrap();
        let mut options = lookups(&fleet, &format!("late-{round}"), 60);
        options.shape.timeout_ms = Some(DurationMs(100));
        calls.extend(caller::start(options).unwrap().join());
        let mut options = issues(&fleet, &format!("late-issue-{round}"), 30);
        options.shape.timeout_ms = Some(DurationMs(100));
        calls.extend(caller::start(options).unwrap().join());
        fleet.control_targets(&json!({"heal": true})).unwrap();
    }
    let counts = check(&fleet, "late answers", &calls);
    assert_eq!(counts.requests, 360);
    assert!(counts.succeeded >= 240, "{counts:?}");
    assert!(
        counts.succeeded < 360,
        "no request failed because of a late answer"
    );
    fleet.close().unwrap();
}

/// If a target sends an answer twice, the second copy must not be taken for the
/// answer to the next request.
#[test]
fn doubled_answers() {
    let fleet = start_fleet();
    let calls = run_rounds(&fleet, "doubled", 8, &json!({"set": {"double_next": 5}}));
    let counts = check(&fleet, "doubled answers", &calls);
    assert_eq!(counts.requests, 480);
    assert!(counts.succeeded >= 384, "{counts:?}");
    fleet.close().unwrap();
}

/// Targets need not echo the request id, so a doubled answer must also be
/// detected without the id, by the unexpected bytes on the connection.
#[test]
fn doubled_answers_without_echo() {
    let fleet = start_fleet();
    let fault = json!({"set": {"double_next": 5, "echo_id": false}});
    let calls = run_rounds(&fleet, "doubled", 12, &fault);
    let counts = check(&fleet, "doubled answers without echo", &calls);
    assert_eq!(counts.requests, 720);
    assert!(counts.succeeded >= 576, "{counts:?}");
    fleet.close().unwrap();
}

/// If an answer is truncated while it is buffered, the request must be refused.
/// If it is truncated while it is relayed, the caller must be able to tell.
#[test]
fn answers_cut_below_and_above_the_buffer_size() {
    let fleet = start_fleet();
    let mut calls = Vec::new();
    let positions = [
        200, 1_000, 30_000, 65_000, 66_000, 100_000, 200_000, 299_000,
    ];
    for end in ["reset", "close"] {
        for (round, position) in positions.into_iter().enumerate() {
            let cut = json!({"part": "answer", "byte": position, "end": end, "count": 1});
            fleet
                .control_targets(&json!({"set": {"cut": cut}}))
                .unwrap();
            let mut options = lookups(&fleet, &format!("cut-{end}-{round}"), 24);
            options.shape.query = "answer_bytes=300000".into();
            calls.extend(caller::start(options).unwrap().join());
            let mut options = issues(&fleet, &format!("cut-issue-{end}-{round}"), 12);
            options.shape.query = "answer_bytes=300000".into();
            calls.extend(caller::start(options).unwrap().join());
            fleet
                .control_targets(&json!({"set": {"cut": null}}))
                .unwrap();
        }
    }
    let counts = check(&fleet, "cut answers", &calls);
    assert_eq!(counts.requests, 16 * 36);
    // Each round cuts at most 6 answers.
    assert!(counts.succeeded >= 16 * 30, "{counts:?}");
    let lost = calls
        .iter()
        .filter(|call| call.outcome == CallOutcome::Lost);
    assert!(lost.count() > 0, "no relayed answer was cut");
    fleet.close().unwrap();
}

/// The answers to callers that disconnect before they are answered must not
/// reach other callers.
#[test]
fn callers_that_disconnect_midway() {
    let fleet = start_fleet();
    fleet
        .control_targets(&json!({"set": {"delay": {"uniform_ms": [0, 30]}}}))
        .unwrap();
    let mut options = lookups(&fleet, "steady", 400);
    options.attempts = 10;
    let steady = caller::start(options).unwrap();
    let mut impatient = Vec::new();
    for number in 0..4 {
        let mut options = match number % 2 {
            0 => lookups(&fleet, &format!("impatient-{number}"), 150),
            _ => issues(&fleet, &format!("impatient-{number}"), 150),
        };
        options.response_timeout_ms = DurationMs(10);
        impatient.push(caller::start(options).unwrap());
    }
    let text = "POST /?n=half HTTP/1.1\r\nhost: service\r\nagatehold-tenant: exporter\r\n\
                idempotency-key: half\r\ncontent-length: 10\r\n\r\nhalf";
    for length in (1..text.len()).step_by(7) {
        let mut stream = TcpStream::connect(fleet.daemons[0].callers).unwrap();
        stream.write_all(&text.as_bytes()[..length]).unwrap();
    }
    let mut calls = steady.join();
    let answered = calls.iter().filter(|call| call.is_success()).count();
    calls.extend(impatient.into_iter().flat_map(|one| one.join()));
    let counts = check(&fleet, "disconnecting callers", &calls);
    assert_eq!(counts.requests, 1_000);
    assert_eq!(answered, 400);
    let runs = fleet.runs().unwrap();
    assert!(!runs.iter().any(|run| run.path.contains("half")));
    fleet.close().unwrap();
}

/// The number of bytes of body that the test's own target sends before it
/// closes the connection.
const RAW_BODY_BYTES: usize = 150_000;

/// Answers on each connection with a chunked body without the final chunk.
fn serve_unterminated_chunks(listener: &TcpListener, connections: usize) {
    for stream in listener.incoming().take(connections) {
        let Ok(mut stream) = stream else { continue };
        let mut head = [0; 4096];
        if stream.read(&mut head).is_err() {
            continue;
        }
        let chunk = "c".repeat(RAW_BODY_BYTES);
        let answer = format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{RAW_BODY_BYTES:x}\r\n{chunk}\r\n"
        );
        // The daemon may have closed the connection.
        let _ = stream.write_all(answer.as_bytes());
        thread::sleep(Duration::from_millis(20));
    }
}

fn service_note(address: SocketAddr) -> String {
    format!(
        "[note]\ncomment = a target of the test's own\n\n\
         [service raw]\nfloor = 0\n\n[route raw]\nservice = raw\npath_prefix = /raw\n\n\
         [target raw-0]\nservice = raw\naddress = {address}\nfailure_domain = domain-0\nslots = 4\n"
    )
}

/// A chunked answer has no `Content-Length`. If the final chunk is missing, the
/// daemon must not add one, since the caller could not tell then that the
/// answer is truncated.
#[test]
fn chunked_answer_without_its_end() {
    let mut fleet = start_fleet();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let number = fleet
        .notes
        .release(&service_note(listener.local_addr().unwrap()))
        .unwrap();
    fleet.wait_for_note(number).unwrap();
    thread::spawn(move || serve_unterminated_chunks(&listener, 20));
    assert!(RAW_BODY_BYTES as u64 > ANSWER_BYTES);
    let mut options = lookups(&fleet, "chunks", 10);
    options.load = Load::Closed(1);
    options.attempts = 1;
    options.shape.path = "/raw".into();
    let calls = caller::start(options).unwrap().join();
    assert_eq!(calls.len(), 10);
    for call in &calls {
        assert_eq!(call.outcome, CallOutcome::Lost, "{:?}", call.refusal);
    }
    fleet.close().unwrap();
}

/// Answers on each connection with a complete answer that starts with `start`.
fn serve_status(listener: &TcpListener, start: &str) {
    for stream in listener.incoming() {
        let Ok(mut stream) = stream else { continue };
        let mut head = [0; 4096];
        if stream.read(&mut head).is_err() {
            continue;
        }
        let answer = format!("{start}\r\ncontent-length: 4\r\n\r\ndone");
        // The daemon may have closed the connection.
        let _ = stream.write_all(answer.as_bytes());
    }
}

/// A target in trouble answers with a status such as 000. Guards against passing on an
/// answer whose status is not 200 to 599.
#[test]
fn answers_with_a_malformed_status() {
    for start in [
        "000 Trouble",
        "099 Trouble",
        "101 Switch",
        "600 Trouble",
        "999 Trouble",
    ] {
        let mut fleet = start_fleet();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let number = fleet
            .notes
            .release(&service_note(listener.local_addr().unwrap()))
            .unwrap();
        fleet.wait_for_note(number).unwrap();
        let line = format!("HTTP/1.1 {start}");
        thread::spawn(move || serve_status(&listener, &line));
        let mut stream = TcpStream::connect(fleet.daemons[0].callers).unwrap();
        let text = "GET /raw HTTP/1.1\r\nhost: service\r\nagatehold-tenant: exporter\r\n\
                    connection: close\r\n\r\n";
        stream.write_all(text.as_bytes()).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 502"), "{start}: {answer}");
        assert!(answer.contains("answer-cut"), "{start}: {answer}");
        assert!(!answer.ends_with("done"), "{start}: {answer}");
        fleet.close().unwrap();
    }
}

//! Tests of the target stand-in. The failure tests rely on its records of runs.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use agatehold_core::units::SlotCount;
use agatehold_core::units::TargetCount;
use agatehold_testing::common::get_control;
use agatehold_testing::common::post_control;
use agatehold_testing::response_body::generate_response_body;
use agatehold_testing::target_standin;
use agatehold_testing::target_standin::RunningTargets;
use agatehold_testing::target_standin::TargetOptions;

fn start_targets(count: u32, slots: u32) -> RunningTargets {
    target_standin::start(TargetOptions {
        count: TargetCount(count),
        slots: SlotCount(slots),
        ..TargetOptions::default()
    })
    .expect("free ports")
}

fn send_control(running: &RunningTargets, value: Value) {
    post_control(running.control, &value).expect("switched");
}

fn read_runs(running: &RunningTargets) -> Value {
    get_control(running.control, "runs").expect("the record")
}

/// Waits until the count `field` of the first target is at least `count`.
fn wait_for_count(running: &RunningTargets, field: &str, count: u64) {
    while read_runs(running)["counts"][0][field].as_u64() < Some(count) {
        thread::sleep(Duration::from_millis(5));
    }
}

fn request_text(id: &str, path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: t\r\nagatehold-request-id: {id}\r\n\
         idempotency-key: key-{id}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).expect("a connection")
}

fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("written");
}

/// Reads until the connection closes. Returns the bytes received and whether
/// the connection was reset.
fn read_all(stream: &mut TcpStream) -> (String, bool) {
    let mut bytes = Vec::new();
    let is_reset = stream.read_to_end(&mut bytes).is_err();
    (String::from_utf8_lossy(&bytes).into_owned(), is_reset)
}

/// Sends a request on a new connection and reads the complete response.
fn send_request(address: SocketAddr, id: &str, path: &str, body: &str) -> String {
    let mut stream = connect(address);
    let text = request_text(id, path, body);
    send(
        &mut stream,
        &text.replacen("\r\n", "\r\nconnection: close\r\n", 1),
    );
    read_all(&mut stream).0
}

fn expected_body(path: &str, body: &str) -> String {
    let bytes = generate_response_body("POST", path, body.as_bytes());
    String::from_utf8(bytes).expect("text")
}

/// The history checks give wrong results if a response lacks the id or the body
/// of its request, or if a run is not recorded.
#[test]
fn runs_and_records_each_request() {
    let running = start_targets(2, 4);
    let answer = send_request(running.targets[1], "r1", "/a?answer_bytes=300000", "x");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("agatehold-request-id: r1\r\n"));
    assert!(answer.contains("agatehold-load: 0/4\r\n"));
    assert!(answer.contains("agatehold-state: serving\r\n"));
    assert!(answer.ends_with(&expected_body("/a?answer_bytes=300000", "x")));
    let record = read_runs(&running);
    assert_eq!(record["counts"][1]["finished"], 1);
    assert_eq!(record["runs"][0]["request_id"], "r1");
    assert_eq!(record["runs"][0]["idempotency_key"], "key-r1");
    assert_eq!(record["runs"][0]["end"], "finished");
    running.close();
}

/// A shed request must not be recorded as a run, and closing a connection must
/// cancel its run and free the slot.
#[test]
fn sheds_when_full_and_cancels_on_close() {
    let running = start_targets(1, 1);
    send_control(&running, json!({"set": {"hang": true}}));
    let mut held = connect(running.targets[0]);
    send(&mut held, &request_text("r1", "/", "x"));
    wait_for_count(&running, "started", 1);
    let answer = send_request(running.targets[0], "r2", "/", "x");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("agatehold-shed: 1\r\n"));
    held.shutdown(Shutdown::Both).expect("closed");
    wait_for_count(&running, "cancelled", 1);
    send_control(&running, json!({"heal": true, "set": {"leaving": "shed"}}));
    let answer = send_request(running.targets[0], "r3", "/", "x");
    assert!(answer.contains("agatehold-state: leaving\r\n"), "{answer}");
    assert!(answer.contains("agatehold-shed: 1\r\n"));
    assert_eq!(
        read_runs(&running)["runs"].as_array().map(Vec::len),
        Some(1)
    );
    running.close();
}

/// A target with a gray failure must fail requests while its health probe
/// succeeds, and must end a request at its deadline.
#[test]
fn fails_work_and_answers_probes() {
    let running = start_targets(1, 4);
    send_control(&running, json!({"set": {"fail_share": 1.0}}));
    let answer = send_request(running.targets[0], "r1", "/", "x");
    assert!(answer.starts_with("HTTP/1.1 500"), "{answer}");
    let answer = send_request(running.targets[0], "r2", "/health", "x");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    send_control(&running, json!({"set": {"delay": {"fixed_ms": 60_000}}}));
    let mut stream = connect(running.targets[0]);
    let text = request_text("r3", "/", "x");
    let headers = "\r\nconnection: close\r\nagatehold-timeout-ms: 20\r\n";
    send(&mut stream, &text.replacen("\r\n", headers, 1));
    assert!(read_all(&mut stream).0.starts_with("HTTP/1.1 504"));
    let record = read_runs(&running);
    assert_eq!(record["counts"][0]["failed"], 1);
    assert_eq!(record["counts"][0]["deadline"], 1);
    assert_eq!(record["counts"][0]["probes"], 1);
    let unknown = post_control(running.control, &json!({"set": {"fail": 1}}));
    assert!(unknown.is_err());
    running.close();
}

/// A cut must let exactly the given number of bytes pass, and a request that was
/// cut must not run.
#[test]
fn cuts_at_each_byte() {
    let running = start_targets(1, 4);
    let text = request_text("r1", "/", "x");
    for byte in 0..text.len() {
        let cut = json!({"part": "request", "byte": byte, "end": "reset", "count": 1});
        send_control(&running, json!({"set": {"cut": cut}}));
        let mut stream = connect(running.targets[0]);
        send(&mut stream, &text);
        let (answer, is_reset) = read_all(&mut stream);
        assert_eq!((answer.len(), is_reset), (0, true), "byte {byte}");
    }
    assert_eq!(read_runs(&running)["counts"][0]["started"], 0);
    for byte in [0, 1, 40, 90] {
        let cut = json!({"part": "answer", "byte": byte, "end": "close", "count": 1});
        send_control(&running, json!({"set": {"cut": cut}}));
        let mut stream = connect(running.targets[0]);
        send(&mut stream, &text);
        assert_eq!(read_all(&mut stream).0.len(), byte);
    }
    assert_eq!(read_runs(&running)["counts"][0]["finished"], 4);
    let answer = send_request(running.targets[0], "r1", "/", "x");
    assert!(
        answer.ends_with(&expected_body("/", "x")),
        "no cut may be left"
    );
    running.close();
}

/// A silenced connection must stay open and deliver no bytes, while new
/// connections work.
#[test]
fn silences_existing_connections_only() {
    let running = start_targets(1, 4);
    let mut silenced = connect(running.targets[0]);
    send(&mut silenced, &request_text("r1", "/", "x"));
    wait_for_count(&running, "finished", 1);
    let mut first = [0; 12];
    silenced.read_exact(&mut first).expect("the first answer");
    assert_eq!(&first, b"HTTP/1.1 200");
    let mut rest = vec![0; 4096];
    let length = silenced.read(&mut rest).expect("the rest of the answer");
    assert!(length > 0);
    send_control(&running, json!({"silence_existing": "answers"}));
    send(&mut silenced, &request_text("r2", "/", "x"));
    wait_for_count(&running, "finished", 2);
    send_control(&running, json!({"silence_existing": "both"}));
    send(&mut silenced, &request_text("r3", "/", "x"));
    let answer = send_request(running.targets[0], "r4", "/", "y");
    assert!(answer.ends_with(&expected_body("/", "y")), "{answer}");
    silenced
        .set_read_timeout(Some(Duration::from_millis(50)))
        .expect("a timeout");
    assert!(
        silenced.read(&mut rest).is_err(),
        "the read must time out: no bytes and no close"
    );
    let record = read_runs(&running);
    assert_eq!(record["counts"][0]["started"], 3);
    running.close();
}

/// A crash must close the other connections of the target as well, and new
/// connections to the same port must be refused until the target is up again.
#[test]
fn crashes_on_a_marked_body() {
    let running = start_targets(2, 4);
    let set = json!({"crash_marker": "boom", "crash_down_ms": 1500, "hang": true});
    send_control(&running, json!({"targets": [0], "set": set}));
    let mut sibling = connect(running.targets[0]);
    send(&mut sibling, &request_text("r1", "/", "x"));
    wait_for_count(&running, "started", 1);
    let mut marked = connect(running.targets[0]);
    send(&mut marked, &request_text("r2", "/", "a boom b"));
    assert!(read_all(&mut marked).0.is_empty());
    assert!(read_all(&mut sibling).0.is_empty());
    let mut refused = 0;
    while TcpStream::connect(running.targets[0]).is_err() {
        refused += 1;
        thread::sleep(Duration::from_millis(10));
    }
    assert!(refused > 0);
    send_control(&running, json!({"heal": true}));
    let answer = send_request(running.targets[0], "r3", "/", "x");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let record = read_runs(&running);
    assert_eq!(record["counts"][0]["crashed"], 2);
    assert_eq!(record["counts"][0]["crashes"], 1);
    assert_eq!(record["counts"][1]["crashes"], 0);
    running.close();
}

/// A crossed response must carry the id and body of another request, and a
/// doubled response must be sent twice. Otherwise the tests would not detect a
/// proxy that mixes up responses.
#[test]
fn crosses_and_doubles_answers() {
    let running = start_targets(1, 4);
    send_request(running.targets[0], "r1", "/", "one");
    send_control(&running, json!({"set": {"cross_next": 1}}));
    let crossed = send_request(running.targets[0], "r2", "/", "two");
    assert!(crossed.contains("agatehold-request-id: r1\r\n"));
    assert!(crossed.ends_with(&expected_body("/", "one")));
    send_control(&running, json!({"set": {"double_next": 1}}));
    let doubled = send_request(running.targets[0], "r3", "/", "three");
    assert_eq!(doubled.matches("HTTP/1.1 200").count(), 2);
    assert_eq!(doubled.matches(&expected_body("/", "three")).count(), 2);
    let single = send_request(running.targets[0], "r4", "/", "four");
    assert_eq!(single.matches("HTTP/1.1 200").count(), 1);
    running.close();
}

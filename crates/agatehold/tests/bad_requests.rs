//! Checks that an invalid request, or one that can't be served, is refused with
//! the right kind and reaches no target, and that the daemon still serves
//! requests afterwards.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

use agatehold_core::refusal::RefusalKind;
use agatehold_testing::caller;
use agatehold_testing::fleet::Fleet;
use agatehold_testing::fleet::FleetOptions;

/// Makes the test fail instead of hanging. All limits of the daemon that this
/// file tests are shorter.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// The headers that every request needs.
const HEADERS: &str = "host: service\r\nagatehold-tenant: exporter\r\n";

/// An invalid request, in parts that are written with pauses between them, and
/// the kind of refusal that is expected.
struct BadRequest {
    what: &'static str,
    parts: Vec<Vec<u8>>,
    kind: RefusalKind,
}

fn bad(what: &'static str, kind: RefusalKind, text: impl Into<Vec<u8>>) -> BadRequest {
    BadRequest {
        what,
        parts: vec![text.into()],
        kind,
    }
}

fn start_fleet() -> Fleet {
    let options = FleetOptions {
        daemons: 1,
        limits: "head_timeout_ms = 300\nbody_timeout_ms = 300\nbody_bytes = 65536\n",
        ..FleetOptions::default()
    };
    Fleet::start(Path::new(env!("CARGO_BIN_EXE_agatehold")), options).expect("a fleet")
}

/// Writes the parts and reads the answer until it is complete or the connection
/// ends.
///
/// The daemon may refuse the request before everything is written, so a failed
/// write is ignored. The refusal has to arrive nevertheless.
fn exchange(address: SocketAddr, parts: &[Vec<u8>]) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a timeout");
    for (number, part) in parts.iter().enumerate() {
        if number > 0 {
            thread::sleep(Duration::from_millis(100));
        }
        if stream.write_all(part).is_err() {
            break;
        }
    }
    let mut answer = Vec::new();
    let mut part = [0; 4096];
    while let Ok(length) = stream.read(&mut part) {
        if length == 0 {
            break;
        }
        answer.extend_from_slice(&part[..length]);
        if is_complete(&answer) {
            break;
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns whether the answer is complete: its head, and as many bytes of body
/// as `Content-Length` says.
fn is_complete(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    header(head, "content-length").and_then(|length| length.parse().ok()) == Some(body.len())
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Sends each request and checks that it is refused as expected, that no target
/// received any of the requests, and that the daemon serves requests
/// afterwards.
fn check(fleet: &Fleet, requests: &[BadRequest]) {
    let address = fleet.daemons[0].callers;
    let mut wrong = Vec::new();
    for request in requests {
        let answer = exchange(address, &request.parts);
        let expected = request.kind.answer();
        let refusal = header(&answer, "agatehold-refusal");
        let outcome = header(&answer, "agatehold-outcome");
        let status = answer.split(' ').nth(1);
        let is_right = refusal == Some(expected.name)
            && outcome == Some(expected.outcome.to_string().as_str())
            && status == Some(expected.http_status.to_string().as_str())
            && is_complete(answer.as_bytes());
        if !is_right {
            wrong.push(format!(
                "{}: expected {}, got {answer:?}",
                request.what, request.kind
            ));
        }
    }
    assert_eq!(wrong, Vec::<String>::new());
    assert_eq!(fleet.runs().expect("the targets' records"), Vec::new());
    let mut options = fleet.caller_options("afterwards").expect("valid names");
    options.count = 10;
    let records = caller::start(options).expect("a caller").join();
    assert!(records.iter().all(|record| record.is_success()));
    assert!(fleet.daemons[0].is_running());
}

/// If a request has two body lengths, the next parser may use the other one and
/// take the end of the body for another request (request smuggling).
#[test]
fn ambiguous_or_broken_framing() {
    let fleet = start_fleet();
    let post = format!("POST / HTTP/1.1\r\n{HEADERS}idempotency-key: k\r\n");
    let chunked = format!("{post}transfer-encoding: chunked\r\n\r\n");
    let kind = RefusalKind::AmbiguousFraming;
    let bad_request = RefusalKind::BadRequest;
    let requests = [
        bad(
            "two lengths that differ",
            kind,
            format!("{post}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd"),
        ),
        bad(
            "two lengths that agree",
            kind,
            format!("{post}content-length: 3\r\ncontent-length: 3\r\n\r\nabc"),
        ),
        bad(
            "a list of lengths",
            kind,
            format!("{post}content-length: 3, 3\r\n\r\nabc"),
        ),
        bad(
            "a signed length",
            kind,
            format!("{post}content-length: +3\r\n\r\nabc"),
        ),
        bad(
            "length and chunks",
            kind,
            format!("{post}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
        ),
        bad(
            "chunks and length",
            kind,
            format!("{post}transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n"),
        ),
        bad(
            "another coding",
            kind,
            format!("{post}transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
        ),
        bad(
            "a space before the colon",
            bad_request,
            format!("{post}content-length : 3\r\n\r\nabc"),
        ),
        bad(
            "a chunk size that is no number",
            bad_request,
            format!("{chunked}xyz\r\nabc\r\n0\r\n\r\n"),
        ),
        bad(
            "a chunk longer than its size",
            bad_request,
            format!("{chunked}1\r\nabc\r\n0\r\n\r\n"),
        ),
        bad(
            "a chunk size that overflows",
            bad_request,
            format!("{chunked}fffffffffffffffff\r\nabc"),
        ),
        bad("no request line", bad_request, "hello\r\n\r\n"),
        bad(
            "a bare control character",
            bad_request,
            format!("{post}x: a\0b\r\n\r\n"),
        ),
    ];
    check(&fleet, &requests);
    fleet.close().unwrap();
}

/// Without limits on its size, a request could exhaust the daemon's memory.
#[test]
fn head_or_body_too_large() {
    let fleet = start_fleet();
    let post = format!("POST / HTTP/1.1\r\n{HEADERS}idempotency-key: k\r\n");
    let filler = "x".repeat(20_000);
    let body = "y".repeat(400_000);
    let requests = [
        bad(
            "a long header",
            RefusalKind::HeadTooLarge,
            format!("{post}filler: {filler}\r\n\r\n"),
        ),
        bad(
            "a head without end",
            RefusalKind::HeadTooLarge,
            format!("{post}filler: {filler}{filler}{filler}"),
        ),
        bad(
            "many headers",
            RefusalKind::HeadTooLarge,
            format!("{post}{}\r\n", "a: b\r\n".repeat(150)),
        ),
        bad(
            "a length over the limit, without the body",
            RefusalKind::BodyTooLarge,
            format!("{post}content-length: 400000\r\n\r\n"),
        ),
        bad(
            "a body over the limit",
            RefusalKind::BodyTooLarge,
            format!("{post}content-length: 400000\r\n\r\n{body}"),
        ),
        bad(
            "a body over what the socket buffers hold",
            RefusalKind::BodyTooLarge,
            format!(
                "{post}content-length: 16000000\r\n\r\n{}",
                "z".repeat(16_000_000)
            ),
        ),
        bad(
            "a chunked body over the limit",
            RefusalKind::BodyTooLarge,
            format!("{post}transfer-encoding: chunked\r\n\r\n61a80\r\n{body}\r\n0\r\n\r\n"),
        ),
        bad(
            "a length over what a number holds",
            RefusalKind::AmbiguousFraming,
            format!("{post}content-length: 99999999999999999999\r\n\r\n"),
        ),
    ];
    check(&fleet, &requests);
    fleet.close().unwrap();
}

/// Without timeouts, a caller that sends slowly would occupy a connection and
/// its buffers for ever.
#[test]
fn slow_head_or_body() {
    let fleet = start_fleet();
    let post = format!("POST / HTTP/1.1\r\n{HEADERS}idempotency-key: k\r\n");
    let length = format!("{post}content-length: 40\r\n\r\n");
    let chunked = format!("{post}transfer-encoding: chunked\r\n\r\n");
    let slow = |what, first: &str, next: &str| BadRequest {
        what,
        parts: std::iter::once(first)
            .chain(std::iter::repeat_n(next, 8))
            .map(|part| part.as_bytes().to_vec())
            .collect(),
        kind: RefusalKind::SlowSender,
    };
    let requests = [
        slow("a head in single headers", &post, "a: b\r\n"),
        bad("a head that stops", RefusalKind::SlowSender, post.clone()),
        slow("a body in single bytes", &length, "a"),
        bad("a body that stops", RefusalKind::SlowSender, length.clone()),
        slow("a body in small chunks", &chunked, "1\r\na\r\n"),
    ];
    check(&fleet, &requests);
    fleet.close().unwrap();
}

/// A request that the configuration does not allow, or with a missing or
/// invalid header, must not be sent to a target.
#[test]
fn unknown_route_tenant_deadline_or_key() {
    let fleet = start_fleet();
    let get = format!("GET / HTTP/1.1\r\n{HEADERS}");
    let post = format!("POST / HTTP/1.1\r\n{HEADERS}");
    let requests = [
        bad(
            "an unknown service's addresses",
            RefusalKind::UnknownRoute,
            format!("GET /.well-known/agatehold/addresses?service=none HTTP/1.1\r\n{HEADERS}\r\n"),
        ),
        bad(
            "an unknown tenant",
            RefusalKind::UnknownTenant,
            "GET / HTTP/1.1\r\nhost: service\r\nagatehold-tenant: nobody\r\n\r\n",
        ),
        bad(
            "no tenant",
            RefusalKind::UnknownTenant,
            "GET / HTTP/1.1\r\nhost: service\r\n\r\n",
        ),
        bad(
            "no time left",
            RefusalKind::DeadlinePassed,
            format!("{get}agatehold-timeout-ms: 0\r\n\r\n"),
        ),
        bad(
            "a time in the past",
            RefusalKind::DeadlinePassed,
            format!("{get}agatehold-timeout-ms: -5\r\n\r\n"),
        ),
        bad(
            "a time that is no number",
            RefusalKind::BadRequest,
            format!("{get}agatehold-timeout-ms: soon\r\n\r\n"),
        ),
        bad(
            "no key",
            RefusalKind::KeyRequired,
            format!("{post}content-length: 0\r\n\r\n"),
        ),
        bad(
            "a request marked non-idempotent without a key",
            RefusalKind::KeyRequired,
            format!("{get}agatehold-idempotent: no\r\n\r\n"),
        ),
        bad(
            "an empty key",
            RefusalKind::KeyMalformed,
            format!("{post}idempotency-key: \r\ncontent-length: 0\r\n\r\n"),
        ),
        bad(
            "a key that is too long",
            RefusalKind::KeyMalformed,
            format!(
                "{post}idempotency-key: {}\r\ncontent-length: 0\r\n\r\n",
                "k".repeat(300)
            ),
        ),
    ];
    check(&fleet, &requests);
    fleet.close().unwrap();
}

/// A path without a route can only be tested after the route for `/` was
/// withdrawn.
#[test]
fn unknown_route() {
    let mut fleet = start_fleet();
    let note = "[note]\ncomment = no route for the root\n\n\
                [route certificates]\naction = withdraw\n";
    let number = fleet.notes.release(note).unwrap();
    fleet.wait_for_note(number).unwrap();
    let request = format!("GET /elsewhere HTTP/1.1\r\n{HEADERS}\r\n");
    let answer = exchange(fleet.daemons[0].callers, &[request.into_bytes()]);
    assert_eq!(header(&answer, "agatehold-refusal"), Some("unknown-route"));
    assert_eq!(header(&answer, "agatehold-outcome"), Some("not-run"));
    assert_eq!(fleet.runs().unwrap(), Vec::new());
    fleet.close().unwrap();
}

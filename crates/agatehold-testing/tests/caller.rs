//! Tests of the caller. It must use the addresses and the retry advice of
//! daemons and record each attempt, or the failure tests would not cover the
//! behaviour of real callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use agatehold_core::refusal::RefusalKind;
use agatehold_core::refusal::RefusalOutcome;
use agatehold_core::units::DurationMs;
use agatehold_core::units::RequestsPerSecond;
use agatehold_testing::caller;
use agatehold_testing::caller::CallerOptions;
use agatehold_testing::caller::KeyMode;
use agatehold_testing::caller::Load;
use agatehold_testing::common::serve;
use agatehold_testing::history;
use agatehold_testing::history::CallOutcome;
use agatehold_testing::response_body::generate_response_body;

/// A mock daemon that refuses the first requests with the given kinds of
/// refusal and then responds like a target.
struct MockDaemon {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    thread: thread::JoinHandle<()>,
    address_requests: Arc<Mutex<u32>>,
}

fn address_response(address: SocketAddr, address_requests: u32) -> Response<Full<Bytes>> {
    let text = format!(
        "{{\"service\":\"s\",\"addresses\":[\"{address}\"],\"ttl_ms\":60000,\
         \"key_prefix\":\"h.0.{address_requests}\"}}"
    );
    Response::new(Full::new(text.into()))
}

fn refusal(kind: RefusalKind) -> Response<Full<Bytes>> {
    let answer = kind.answer();
    Response::builder()
        .status(answer.http_status)
        .header("agatehold-refusal", answer.name)
        .header("agatehold-outcome", answer.outcome.to_string())
        .header("agatehold-request-id", "r")
        .body(Full::new(Bytes::from_static(b"{\"addresses\":[]}")))
        .expect("a response")
}

fn target_response(request: &Request<Bytes>) -> Response<Full<Bytes>> {
    let path = request.uri().path_and_query().expect("a path").as_str();
    let body = generate_response_body(request.method().as_str(), path, request.body());
    Response::builder()
        .header("agatehold-request-id", "r")
        .header("agatehold-target", "t1")
        .header("agatehold-added-us", "250")
        .body(Full::new(body.into()))
        .expect("a response")
}

fn start_mock_daemon(kinds: &[RefusalKind]) -> MockDaemon {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let listener = runtime
        .block_on(TcpListener::bind("127.0.0.1:0"))
        .expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (stop, stopped) = oneshot::channel();
    let address_requests = Arc::new(Mutex::new(0));
    let refusals = Arc::new(Mutex::new(kinds.to_vec()));
    let shared_address_requests = address_requests.clone();
    let handle = move |request: Request<Bytes>| {
        let address_requests = shared_address_requests.clone();
        let refusals = refusals.clone();
        async move {
            if request.uri().path().starts_with("/.well-known/") {
                let mut address_requests = address_requests.lock().expect("not poisoned");
                *address_requests += 1;
                return Ok(address_response(address, *address_requests));
            }
            let mut refusals = refusals.lock().expect("not poisoned");
            if refusals.is_empty() {
                return Ok(target_response(&request));
            }
            Ok(refusal(refusals.remove(0)))
        }
    };
    let thread = thread::spawn(move || {
        runtime.block_on(async move {
            tokio::spawn(serve(listener, handle));
            let _ = stopped.await;
        });
    });
    MockDaemon {
        address,
        stop,
        thread,
        address_requests,
    }
}

fn stop_mock_daemon(daemon: MockDaemon) {
    let _ = daemon.stop.send(());
    daemon.thread.join().expect("the mock daemon ends");
}

fn options(daemon: &MockDaemon) -> CallerOptions {
    let service = "s".parse().expect("a service");
    let tenant = "t".parse().expect("a tenant");
    CallerOptions::new(vec![daemon.address], service, tenant)
}

/// The guarantees assume that a caller retries only if a refusal advises it,
/// generates a new key after an attempt that did not run, and keeps the key
/// after an attempt that may have run.
#[test]
fn retries_only_as_advised() {
    let daemon = start_mock_daemon(&[RefusalKind::Stopping, RefusalKind::QueueFull]);
    let records = caller::start(options(&daemon)).expect("started").join();
    assert_eq!(records.len(), 3);
    let not_run = CallOutcome::Refused(RefusalOutcome::NotRun);
    assert_eq!(records[0].outcome, not_run);
    assert_eq!(records[0].refusal, Some(RefusalKind::Stopping));
    assert_eq!(records[0].key.as_deref(), Some("h.0.1.caller-1-1"));
    assert_eq!(records[2].key.as_deref(), Some("h.0.1.caller-1-3"));
    assert!(records[2].is_success());
    assert_eq!(records[2].target.as_deref(), Some("t1"));
    assert_eq!(records[2].added_us, Some(250));
    stop_mock_daemon(daemon);

    let daemon = start_mock_daemon(&[RefusalKind::InProgress, RefusalKind::TargetTimeout]);
    let records = caller::start(options(&daemon)).expect("started").join();
    assert_eq!(records.len(), 2, "no retry before a lookup");
    assert_eq!(
        records[0].key, records[1].key,
        "the first attempt may have run"
    );
    stop_mock_daemon(daemon);

    let daemon = start_mock_daemon(&[RefusalKind::UnknownRoute]);
    let records = caller::start(options(&daemon)).expect("started").join();
    assert_eq!(records.len(), 1);
    stop_mock_daemon(daemon);
}

/// Every started request must be recorded with closed and open load, and
/// addresses must be cached for their TTL.
#[test]
fn records_every_request() {
    let daemon = start_mock_daemon(&[]);
    let mut closed = options(&daemon);
    closed.load = Load::Closed(8);
    closed.count = 500;
    closed.shape.keys = KeyMode::Own;
    let mut open = closed.clone();
    open.name = "open".into();
    open.count = 50;
    open.load = Load::Open(RequestsPerSecond::new(500.0).expect("a rate"));
    for (options, count) in [(closed, 500), (open, 50)] {
        let records = caller::start(options).expect("started").join();
        let summary = caller::summarise(&records);
        assert_eq!((summary.requests, summary.succeeded), (count, count));
        assert_eq!(summary.attempts, count);
        assert_eq!(history::check_response_bodies(&records), []);
    }
    assert_eq!(*daemon.address_requests.lock().expect("not poisoned"), 2);
    stop_mock_daemon(daemon);
}

/// A caller that can connect to no daemon must end and record that the request
/// was not sent, or that no connection could be opened.
#[test]
fn ends_without_a_reachable_daemon() {
    let reserved = tokio::net::TcpSocket::new_v4().expect("a socket");
    reserved
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("a free port");
    let unreachable_address = reserved.local_addr().expect("bound");
    let service = "s".parse().expect("a service");
    let tenant = "t".parse().expect("a tenant");
    let mut options = CallerOptions::new(vec![unreachable_address], service, tenant);
    options.duration_ms = DurationMs(300);
    let records = caller::start(options.clone()).expect("started").join();
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].outcome, CallOutcome::NotSent);
    options.fetches_addresses = false;
    assert!(
        caller::start(options.clone()).is_err(),
        "there is no key prefix without address responses"
    );
    options.shape.keys = KeyMode::Own;
    let records = caller::start(options).expect("started").join();
    assert_eq!(records.len(), 3);
    assert_eq!(records[2].outcome, CallOutcome::ConnectFailed);
}

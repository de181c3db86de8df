//! Guards the caller: it must follow addresses and advice, and record each
//! attempt, or the failure tests would not see what callers see.

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
use agatehold_testing::answer::answer_body;
use agatehold_testing::caller;
use agatehold_testing::caller::CallerOptions;
use agatehold_testing::caller::KeyMode;
use agatehold_testing::caller::Load;
use agatehold_testing::common::serve;
use agatehold_testing::history;
use agatehold_testing::history::CallOutcome;

/// A scripted daemon: refuses the first requests with the given kinds, then
/// answers as a target does.
struct Script {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    thread: thread::JoinHandle<()>,
    asked: Arc<Mutex<u32>>,
}

fn address_answer(address: SocketAddr, asked: u32) -> Response<Full<Bytes>> {
    let text = format!(
        "{{\"service\":\"s\",\"addresses\":[\"{address}\"],\"ttl_ms\":60000,\
         \"key_prefix\":\"h.0.{asked}\"}}"
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

fn target_answer(request: &Request<Bytes>) -> Response<Full<Bytes>> {
    let path = request.uri().path_and_query().expect("a path").as_str();
    let body = answer_body(request.method().as_str(), path, request.body());
    Response::builder()
        .header("agatehold-request-id", "r")
        .header("agatehold-target", "t1")
        .header("agatehold-added-us", "250")
        .body(Full::new(body.into()))
        .expect("a response")
}

fn started(kinds: &[RefusalKind]) -> Script {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let listener = runtime
        .block_on(TcpListener::bind("127.0.0.1:0"))
        .expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (stop, stopped) = oneshot::channel();
    let asked = Arc::new(Mutex::new(0));
    let refusals = Arc::new(Mutex::new(kinds.to_vec()));
    let asked_count = asked.clone();
    let handle = move |request: Request<Bytes>| {
        let asked = asked_count.clone();
        let refusals = refusals.clone();
        async move {
            if request.uri().path().starts_with("/.well-known/") {
                let mut asked = asked.lock().expect("not poisoned");
                *asked += 1;
                return Ok(address_answer(address, *asked));
            }
            let mut refusals = refusals.lock().expect("not poisoned");
            if refusals.is_empty() {
                return Ok(target_answer(&request));
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
    Script {
        address,
        stop,
        thread,
        asked,
    }
}

fn close(script: Script) {
    let _ = script.stop.send(());
    script.thread.join().expect("the script ends");
}

fn options(script: &Script) -> CallerOptions {
    let service = "s".parse().expect("a service");
    let tenant = "t".parse().expect("a tenant");
    CallerOptions::new(vec![script.address], service, tenant)
}

/// A caller that ignores `never`, or that keeps a key of a request that did
/// not run, would not be the caller that the guarantees are made for.
#[test]
fn retries_by_the_advice_only() {
    let script = started(&[RefusalKind::Stopping, RefusalKind::QueueFull]);
    let records = caller::start(options(&script)).expect("started").join();
    assert_eq!(records.len(), 3);
    let not_run = CallOutcome::Refused(RefusalOutcome::NotRun);
    assert_eq!(records[0].outcome, not_run);
    assert_eq!(records[0].refusal, Some(RefusalKind::Stopping));
    assert_eq!(records[0].key.as_deref(), Some("h.0.1.caller-1-1"));
    assert_eq!(records[2].key.as_deref(), Some("h.0.1.caller-1-3"));
    assert!(records[2].is_success());
    assert_eq!(records[2].target.as_deref(), Some("t1"));
    assert_eq!(records[2].added_us, Some(250));
    close(script);

    let script = started(&[RefusalKind::InProgress, RefusalKind::TargetTimeout]);
    let records = caller::start(options(&script)).expect("started").join();
    assert_eq!(records.len(), 2, "a lookup is needed after the second");
    assert_eq!(records[0].key, records[1].key, "the first may have run");
    close(script);

    let script = started(&[RefusalKind::UnknownRoute]);
    let records = caller::start(options(&script)).expect("started").join();
    assert_eq!(records.len(), 1);
    close(script);
}

/// Every started request must have its record, at both kinds of load, and
/// addresses must be kept for their time.
#[test]
fn records_every_request() {
    let script = started(&[]);
    let mut closed = options(&script);
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
        assert_eq!(history::check_own_answer(&records), []);
    }
    assert_eq!(*script.asked.lock().expect("not poisoned"), 2);
    close(script);
}

/// A caller whose daemons are all gone must end and say that nothing was
/// sent.
#[test]
fn ends_without_any_daemon() {
    let reserved = tokio::net::TcpSocket::new_v4().expect("a socket");
    reserved
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("a free port");
    let script_address = reserved.local_addr().expect("bound");
    let service = "s".parse().expect("a service");
    let tenant = "t".parse().expect("a tenant");
    let mut options = CallerOptions::new(vec![script_address], service, tenant);
    options.duration_ms = DurationMs(300);
    let records = caller::start(options.clone()).expect("started").join();
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].outcome, CallOutcome::NotSent);
    options.asks_addresses = false;
    assert!(
        caller::start(options.clone()).is_err(),
        "there is no prefix"
    );
    options.shape.keys = KeyMode::Own;
    let records = caller::start(options).expect("started").join();
    assert_eq!(records.len(), 3);
    assert_eq!(records[2].outcome, CallOutcome::ConnectFailed);
}

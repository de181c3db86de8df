//! Tests that a daemon whose process was paused, and does not know it, acts on nothing that
//! ran out meanwhile.

#![expect(clippy::unwrap_used, reason = "a failed setup fails the test")]

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use agatehold_core::units::TargetCount;
use agatehold_testing::fleet::Fleet;
use agatehold_testing::fleet::FleetOptions;
use agatehold_testing::fleet::Signal;
use agatehold_testing::fleet::wait_until;

/// The index of the daemon that is paused.
const PAUSED: usize = 1;

/// The length of the pause. A daemon serves by a note for 9 s after it last knew that the
/// note is the newest one.
const PAUSE: Duration = Duration::from_secs(12);

/// The number of requests that wait for the daemon while it is paused.
const WAITING_REQUESTS: usize = 40;

const ADD_TENANT: &str = "[tenant auditor]\nrate_per_s = 100000\nburst = 100000\n";
const WITHDRAW_TENANT: &str = "[tenant auditor]\naction = withdraw\n";

/// The time limit of the request that is paused while the daemon connects to its target.
const TIME_LIMIT: Duration = Duration::from_millis(1_500);

/// Opens a connection and sends a request of the tenant `auditor`.
fn send(daemon: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(daemon)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    stream.write_all(
        b"GET / HTTP/1.1\r\nhost: farm\r\nagatehold-tenant: auditor\r\n\
          agatehold-timeout-ms: 5000\r\nconnection: close\r\n\r\n",
    )?;
    Ok(stream)
}

/// Returns the first line of the answer and its refusal, if it is one.
fn receive(mut stream: TcpStream) -> io::Result<String> {
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let lines = text.lines().enumerate().filter(|(number, line)| {
        let is_refusal = line.to_ascii_lowercase().starts_with("agatehold-refusal");
        *number == 0 || is_refusal
    });
    Ok(lines.map(|(_, line)| line).collect::<Vec<_>>().join(" "))
}

fn is_success(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 200")
}

/// A tenant is withdrawn while a daemon is paused. Guards against serving it by the old
/// note when the daemon goes on: requests have waited for it in its sockets, and so have the
/// messages of other daemons, which are no sign that it is in contact with them.
#[test]
fn a_daemon_that_was_paused_does_not_serve_by_the_note_of_before() {
    let binary = Path::new(env!("CARGO_BIN_EXE_agatehold"));
    let options = FleetOptions {
        daemons: 4,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(binary, options).unwrap();
    let number = fleet.notes.release(ADD_TENANT).unwrap();
    fleet.wait_for_note(number).unwrap();
    let address = fleet.daemons[PAUSED].callers;
    let answer = receive(send(address).unwrap()).unwrap();
    assert!(is_success(&answer), "before the pause: {answer}");

    fleet.daemons[PAUSED].signal(Signal::Stop).unwrap();
    let paused_at = Instant::now();
    let number = fleet.notes.release(WITHDRAW_TENANT).unwrap();
    wait_until("the note on the other daemons", || {
        fleet.daemons.iter().enumerate().all(|(index, daemon)| {
            let status = (index != PAUSED).then(|| daemon.status()).flatten();
            index == PAUSED
                || status.is_some_and(|s| s.head.is_some_and(|head| head.number == number.0))
        })
    })
    .unwrap();
    thread::sleep(PAUSE.saturating_sub(paused_at.elapsed()));
    let waiting: Vec<_> = (0..WAITING_REQUESTS)
        .map(|_| send(address).unwrap())
        .collect();
    fleet.daemons[PAUSED].signal(Signal::Continue).unwrap();
    let resumed_at = Instant::now();

    let mut answers = Vec::new();
    for stream in waiting {
        answers.push((Duration::ZERO, receive(stream).unwrap()));
    }
    while resumed_at.elapsed() < Duration::from_secs(3) {
        answers.push((
            resumed_at.elapsed(),
            receive(send(address).unwrap()).unwrap(),
        ));
        thread::sleep(Duration::from_millis(5));
    }
    fleet.wait_for_note(number).unwrap();
    let last = receive(send(address).unwrap()).unwrap();
    let mut kinds: Vec<&str> = answers.iter().map(|(_, answer)| answer.as_str()).collect();
    kinds.sort_unstable();
    kinds.dedup();
    let served: Vec<_> = answers.iter().filter(|row| is_success(&row.1)).collect();
    let count = answers.len();
    println!(
        "{} of {count} served, last {:?}; {kinds:?}",
        served.len(),
        served.last()
    );
    fleet.close().unwrap();
    assert!(served.is_empty(), "served by the old note: {served:?}");
    assert!(last.contains("unknown-tenant"), "{last}");
}

/// A daemon reaches neither the platform nor most of the fleet, as after a pause. Guards
/// against refusing a tenant for good (403) by a note that may be out of force: a newer one
/// may have added the tenant, and a caller that nobody watches would not come again.
#[test]
fn an_isolated_daemon_does_not_call_a_tenant_unknown() {
    let binary = Path::new(env!("CARGO_BIN_EXE_agatehold"));
    let fleet = Fleet::start(binary, FleetOptions::default()).unwrap();
    let address = fleet.daemons[PAUSED].callers;
    let answer = receive(send(address).unwrap()).unwrap();
    assert!(answer.contains("unknown-tenant"), "while serving: {answer}");
    fleet
        .control_platform(&serde_json::json!({"down": true}))
        .unwrap();
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        if index != PAUSED {
            daemon.signal(Signal::Kill).unwrap();
        }
    }
    wait_until("the daemon to be isolated", || {
        let status = fleet.daemons[PAUSED].status();
        status.is_some_and(|status| status.isolated)
    })
    .unwrap();
    let answer = receive(send(address).unwrap()).unwrap();
    fleet.close().unwrap();
    assert!(answer.contains("isolated"), "{answer}");
}

/// Returns a listener that holds one connection until it is accepted; the system drops
/// the packets of further ones, which their senders repeat after a second.
fn listen_for_one() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any_port.into()).unwrap();
    socket.listen(0).unwrap();
    socket.into()
}

/// Returns whether a connection to `address` is being opened on this host.
fn is_being_opened(address: SocketAddr) -> bool {
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let remote = format!("0100007F:{:04X}", address.port());
    sockets.lines().any(|line| {
        let mut fields = line.split_whitespace().skip(2);
        fields.next() == Some(remote.as_str()) && fields.next() == Some("02")
    })
}

/// Waits for the next connection to the listener.
fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let mut accepted = None;
    for _ in 0..1_000 {
        accepted = listener.accept().ok();
        if accepted.is_some() {
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    let (stream, _) = accepted.expect("a connection within 10 s");
    stream.set_nonblocking(false).unwrap();
    stream
}

/// A daemon is paused while it connects to the target of a request that must not run
/// twice, and goes on after the request's time limit; the connection is open then. Guards
/// against running the request when its caller may have given up and its claim may have run
/// out, and against an answer that leaves open whether it ran.
#[test]
fn a_request_whose_time_ran_out_during_a_pause_is_not_sent() {
    let listener = listen_for_one();
    let target = listener.local_addr().unwrap();
    let binary = Path::new(env!("CARGO_BIN_EXE_agatehold"));
    let options = FleetOptions {
        daemons: 1,
        targets: 1,
        floor: TargetCount(0),
        limits: "traffic_threads = 1\n",
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(binary, options).unwrap();
    let note = format!(
        "[service raw]\nfloor = 0\n\n[route raw]\nservice = raw\npath_prefix = /raw\n\
         require_key = no\n\n[target raw-0]\nservice = raw\naddress = {target}\n\
         failure_domain = domain-0\nslots = 4\n"
    );
    let number = fleet.notes.release(&note).unwrap();
    fleet.wait_for_note(number).unwrap();

    let _first = TcpStream::connect(target).unwrap();
    let mut caller = TcpStream::connect(fleet.daemons[0].callers).unwrap();
    caller
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let time_limit_ms = TIME_LIMIT.as_millis();
    let request = format!(
        "POST /raw HTTP/1.1\r\nhost: farm\r\nagatehold-tenant: exporter\r\n\
         agatehold-timeout-ms: {time_limit_ms}\r\ncontent-length: 4\r\n\
         connection: close\r\n\r\nonce"
    );
    let sent_at = Instant::now();
    caller.write_all(request.as_bytes()).unwrap();
    while !is_being_opened(target) {
        assert!(sent_at.elapsed() < Duration::from_secs(10), "no connection");
        thread::sleep(Duration::from_millis(1));
    }
    fleet.daemons[0].signal(Signal::Stop).unwrap();
    let _first_accepted = accept(&listener);
    let mut connection = accept(&listener);
    thread::sleep((TIME_LIMIT + Duration::from_millis(500)).saturating_sub(sent_at.elapsed()));
    fleet.daemons[0].signal(Signal::Continue).unwrap();

    let mut answer = String::new();
    caller.read_to_string(&mut answer).unwrap();
    connection
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let mut received = Vec::new();
    let end = connection.read_to_end(&mut received);
    let received = String::from_utf8_lossy(&received);
    println!("answer: {answer:?}; the target received {received:?}, {end:?}");
    fleet.close().unwrap();
    assert_eq!(received, "");
    assert!(answer.contains("agatehold-outcome: not-run"), "{answer}");
}

//! Checks that a request that was refused with `not-run` has not run, and that no
//! request runs twice, while targets write an answer too many where the next answer
//! on the connection is due.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use agatehold_core::units::TargetCount;
use agatehold_testing::caller;
use agatehold_testing::caller::Load;
use agatehold_testing::fleet::Fleet;
use agatehold_testing::fleet::FleetOptions;
use agatehold_testing::history;
use agatehold_testing::history::RunRecord;

/// The requests of each caller, enough for the retry budget to allow retries.
const REQUESTS: u64 = 60;

/// The timeout of reads, so that a connection's thread always ends.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// What the targets of a test have seen.
#[derive(Default)]
struct Seen {
    sheds: usize,
    runs: Vec<RunRecord>,
}

/// A request as a target receives it.
struct Request {
    method: Box<str>,
    path: Box<str>,
    id: Box<str>,
}

/// A connection to a target.
struct Connection {
    stream: TcpStream,
    /// The received bytes that are not parsed yet.
    buffer: Vec<u8>,
}

impl Connection {
    /// Reads a request with its body; returns `None` at the end of the stream.
    fn read_request(&mut self) -> io::Result<Option<Request>> {
        let mut part = [0; 4_096];
        loop {
            let text = String::from_utf8_lossy(&self.buffer).into_owned();
            if let Some((head, _)) = text.split_once("\r\n\r\n") {
                let length = header_value(head, "content-length").parse().unwrap_or(0);
                let end = head.len() + 4 + length;
                if self.buffer.len() >= end {
                    self.buffer.drain(..end);
                    let mut words = head.split(' ');
                    return Ok(Some(Request {
                        method: words.next().unwrap_or("").into(),
                        path: words.next().unwrap_or("").into(),
                        id: header_value(head, "agatehold-request-id").into(),
                    }));
                }
            }
            let length = self.stream.read(&mut part)?;
            if length == 0 {
                return Ok(None);
            }
            self.buffer.extend_from_slice(&part[..length]);
        }
    }
}

fn header_value<'a>(head: &'a str, name: &str) -> &'a str {
    let values = head.lines().filter_map(|line| line.split_once(':'));
    let mut values = values.filter(|(found, _)| found.eq_ignore_ascii_case(name));
    values.next().map_or("", |(_, value)| value.trim())
}

fn lock(seen: &Mutex<Seen>) -> MutexGuard<'_, Seen> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Records that a request runs.
fn run(seen: &Mutex<Seen>, request: &Request) {
    lock(seen).runs.push(RunRecord {
        target: 0,
        request_id: Some(request.id.clone()),
        idempotency_key: None,
        method: request.method.clone(),
        path: request.path.clone(),
        started_ms: 0,
        ended_ms: None,
        end: None,
        while_leaving: false,
    });
}

/// Returns the header with the request id, if the target echoes it.
fn echo(request: &Request, echoes: bool) -> String {
    match echoes {
        true => format!("agatehold-request-id: {}\r\n", request.id),
        false => String::new(),
    }
}

fn shed_answer(request: &Request, echoes: bool) -> String {
    let echo = echo(request, echoes);
    format!("HTTP/1.1 503 x\r\n{echo}agatehold-shed: 1\r\ncontent-length: 0\r\n\r\n")
}

fn success(request: &Request, echoes: bool) -> String {
    let echo = echo(request, echoes);
    format!("HTTP/1.1 200 x\r\n{echo}content-length: 4\r\n\r\ndone")
}

/// Starts a target whose connections `serve` serves.
fn start_target(
    seen: &Arc<Mutex<Seen>>,
    serve: impl Fn(&mut Connection, &Mutex<Seen>) -> io::Result<()> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    let seen = Arc::clone(seen);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                continue;
            };
            let (serve, seen) = (Arc::clone(&serve), Arc::clone(&seen));
            thread::spawn(move || {
                stream.set_read_timeout(Some(READ_TIMEOUT))?;
                stream.set_nodelay(true)?;
                let mut connection = Connection {
                    stream,
                    buffer: Vec::new(),
                };
                // An error means that the daemon closed the connection.
                serve(&mut connection, &seen)
            });
        }
    });
    address
}

/// Starts a target that sheds every other request and runs the rest. The copy of a shed
/// answer is written ahead of the next answer on its connection.
fn start_copying_target(seen: &Arc<Mutex<Seen>>, echoes: bool) -> SocketAddr {
    let arrivals = AtomicUsize::new(0);
    start_target(seen, move |connection, seen| {
        let mut copied = String::new();
        while let Some(request) = connection.read_request()? {
            let mut text = std::mem::take(&mut copied);
            if arrivals.fetch_add(1, Ordering::Relaxed).is_multiple_of(2) {
                lock(seen).sheds += 1;
                copied = shed_answer(&request, echoes);
                text += &copied;
            } else {
                run(seen, &request);
                text += &success(&request, echoes);
            }
            connection.stream.write_all(text.as_bytes())?;
        }
        Ok(())
    })
}

/// Starts a target that runs the first request of a connection and sheds the second. It
/// writes the copy of the first answer where the second is due, and the second when the
/// third is due.
fn start_lagging_target(seen: &Arc<Mutex<Seen>>, echoes: bool) -> SocketAddr {
    start_target(seen, move |connection, seen| {
        let Some(first) = connection.read_request()? else {
            return Ok(());
        };
        run(seen, &first);
        let text = success(&first, echoes);
        connection.stream.write_all(text.as_bytes())?;
        let Some(second) = connection.read_request()? else {
            return Ok(());
        };
        connection.stream.write_all(text.as_bytes())?;
        let Some(third) = connection.read_request()? else {
            return Ok(());
        };
        run(seen, &third);
        let text = shed_answer(&second, echoes) + &success(&third, echoes);
        connection.stream.write_all(text.as_bytes())
    })
}

/// Starts a fleet of one daemon with one traffic thread, so that its requests meet the
/// same connections, and with the given targets of the service `raw`.
fn start_fleet(addresses: &[SocketAddr]) -> Fleet {
    let options = FleetOptions {
        daemons: 1,
        targets: 1,
        floor: TargetCount(0),
        limits: "traffic_threads = 1\n",
        ..FleetOptions::default()
    };
    let mut fleet =
        Fleet::start(Path::new(env!("CARGO_BIN_EXE_agatehold")), options).expect("a fleet");
    let mut note = "[note]\ncomment = targets of the test's own\n\n\
                    [service raw]\nfloor = 0\n\n[route raw]\nservice = raw\npath_prefix = /raw\n"
        .to_owned();
    for (number, address) in addresses.iter().enumerate() {
        note += &format!(
            "\n[target raw-{number}]\nservice = raw\naddress = {address}\n\
             failure_domain = domain-0\nslots = 4\n"
        );
    }
    let number = fleet.notes.release(&note).expect("released");
    fleet.wait_for_note(number).expect("in force");
    fleet
}

/// Sends non-idempotent requests to the targets, one after the other, and checks the
/// answers against what the targets have seen.
fn check(what: &str, addresses: &[SocketAddr], seen: &Mutex<Seen>) {
    let fleet = start_fleet(addresses);
    let mut options = fleet.caller_options("raw").expect("valid names");
    options.count = REQUESTS;
    options.load = Load::Closed(1);
    options.attempts = 1;
    options.shape.path = "/raw".into();
    let calls = caller::start(options).expect("a caller").join();
    fleet.close().expect("closed");
    let seen = lock(seen);
    let counts = history::count_requests(&calls, &seen.runs);
    let refusals = history::count_refusals(&calls);
    println!("{what}: {counts:?}; refusals {refusals:?}");
    assert_eq!(history::check_at_most_once(&calls, &seen.runs), Vec::new());
    assert_eq!(history::check_not_run(&calls, &seen.runs), Vec::new());
    assert!(!seen.runs.is_empty(), "{what}: nothing ran");
}

/// Guards against taking the copy of a shed answer, which has no request id, for the
/// answer to the next request: it would be refused with `not-run` although it runs.
#[test]
fn a_copied_shed_answer_is_not_believed_for_the_next_request() {
    for echoes in [true, false] {
        let seen = Arc::<Mutex<Seen>>::default();
        let address = start_copying_target(&seen, echoes);
        check("next request", &[address], &seen);
        assert!(lock(&seen).sheds > 0, "nothing was shed");
    }
}

/// A shed request goes to a second target with the same address. Guards against taking
/// the copy of the first answer, which has the request's id, for that of the second.
#[test]
fn a_copied_shed_answer_is_not_believed_when_two_targets_share_an_address() {
    for echoes in [true, false] {
        let seen = Arc::<Mutex<Seen>>::default();
        let address = start_copying_target(&seen, echoes);
        check("one address", &[address, address], &seen);
        assert!(lock(&seen).sheds > 0, "nothing was shed");
    }
}

/// Guards against sending a request to a second target because of the copy of a shed
/// answer to an earlier request, while the first target runs it.
#[test]
fn a_copied_shed_answer_does_not_make_a_request_run_twice() {
    for echoes in [true, false] {
        let seen = Arc::<Mutex<Seen>>::default();
        let addresses = [(); 2].map(|()| start_copying_target(&seen, echoes));
        check("two targets", &addresses, &seen);
        assert!(lock(&seen).sheds > 0, "nothing was shed");
    }
}

/// A target writes an answer too many, after which its answers are one request behind.
/// Guards against taking the shed answer to one request for the answer to the next.
#[test]
fn a_shed_answer_is_not_believed_for_the_request_after_its_own() {
    for echoes in [true, false] {
        let seen = Arc::<Mutex<Seen>>::default();
        let address = start_lagging_target(&seen, echoes);
        check("answers behind", &[address], &seen);
    }
}

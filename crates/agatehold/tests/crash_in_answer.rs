//! Tests requests that crash targets while the targets write their answers.

use std::fmt::Write as _;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

use agatehold_platform_standin::CrashingTarget;
use agatehold_platform_standin::RunEnd;
use agatehold_testing::fleet::Fleet;
use agatehold_testing::fleet::FleetOptions;
use agatehold_testing::fleet::wait_until;

/// The time after which a target that has crashed serves again.
const DOWN: Duration = Duration::from_millis(1_200);

/// Sends a request to a daemon and returns the answer.
fn send(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let text = "GET /raw HTTP/1.1\r\nhost: service\r\nagatehold-tenant: exporter\r\n\
                connection: close\r\n\r\n";
    stream.write_all(text.as_bytes()).expect("a request");
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("a timeout");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

/// Starts a fleet of two daemons with targets whose runs end in `end`.
fn start(end: RunEnd) -> (Fleet, Vec<CrashingTarget>) {
    let options = FleetOptions {
        daemons: 2,
        ..FleetOptions::default()
    };
    let mut fleet =
        Fleet::start(Path::new(env!("CARGO_BIN_EXE_agatehold")), options).expect("a fleet");
    let mut note = "[note]\ncomment = targets of the test's own\n\n\
                    [service raw]\nfloor = 0\n\n[route raw]\nservice = raw\npath_prefix = /raw\n"
        .to_owned();
    let mut targets = Vec::new();
    for number in 0..4 {
        let target = CrashingTarget::start(move |_| end).expect("a target");
        write!(
            note,
            "\n[target raw-{number}]\nservice = raw\naddress = {}\nfailure_domain = domain-0\n\
             slots = 4\n",
            target.address
        )
        .expect("a note");
        targets.push(target);
    }
    let number = fleet.notes.release(&note).expect("a note");
    fleet.wait_for_note(number).expect("a note in force");
    (fleet, targets)
}

/// Guards against counting only crashes before the first byte of an answer, and letting a
/// request that comes again crash two targets each time.
#[test]
fn a_request_that_crashes_targets_within_their_answers_is_not_resent_forever() {
    let (fleet, targets) = start(RunEnd::CrashInAnswer);
    for round in 0..4 {
        send(fleet.daemons[round % 2].callers);
        thread::sleep(DOWN);
    }
    let crashes: usize = targets.iter().map(CrashingTarget::crashes).sum();
    assert!((1..=2).contains(&crashes), "{crashes} crashes");
    for target in targets {
        target.close();
    }
    fleet.close().expect("a stopped fleet");
}

/// Guards against taking an answer that broke off for a crash: the request would be refused
/// for ten minutes although nothing crashed.
#[test]
fn a_request_whose_answers_broke_off_is_not_refused() {
    let (fleet, targets) = start(RunEnd::CutAnswer);
    for round in 0..4 {
        let daemon = &fleet.daemons[round % 2];
        // The daemon may not have heard yet that the targets of the last round live.
        wait_until("an answer that breaks off", || {
            send(daemon.callers).contains("answer-cut")
        })
        .expect("a request that is sent");
    }
    for target in targets {
        target.close();
    }
    fleet.close().expect("a stopped fleet");
}

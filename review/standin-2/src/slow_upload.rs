//! A server pauses while it reads a large request that must not run twice. The daemon,
//! which got SIGTERM meanwhile, breaks the request off and gives an answer of its own.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;

use crate::Verdict;
use crate::deployment::Deployment;
use crate::deployment::Route;
use crate::deployment::configuration;
use crate::http;
use crate::http::Reader;
use crate::record::Record;
use crate::server::entry;
use crate::server::unix_ms;

const SERVER: &str = "i-0";
const PATH: &str = "/filings/photos";
const BODY_BYTES: usize = 512 * 1024;

/// How much the server reads before it pauses, and for how long.
const READ_BEFORE_PAUSE: usize = 32 * 1024;
const PAUSE: Duration = Duration::from_millis(3_000);

/// How long the server works on the request once it has it.
const WORK: Duration = Duration::from_millis(1_000);

/// The client's time budget, which is the route's timeout too.
const BUDGET_MS: u32 = 10_000;

const STOP_AFTER: Duration = Duration::from_millis(500);

pub fn play(record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let routes = [Route {
        prefix: "/filings/",
        kind: "unsafe",
        timeout_ms: BUDGET_MS,
        objective_ms: 1_500,
        max_attempts: 2,
    }];
    let mut deployment = Deployment::start(&configuration(1, &routes))?;
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let registered = entry("archive", listener.local_addr()?, "zone-a", 4, unix_ms());
    deployment
        .store
        .put(&format!("servers/{SERVER}"), &registered);
    let server_record = Arc::clone(record);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = Arc::clone(&server_record);
            std::thread::spawn(move || {
                if let Err(error) = serve(stream, &record, trouble) {
                    record.line(&format!("{SERVER}: the connection is lost: {error}"));
                }
            });
        }
    });
    deployment.start_gateways(1)?;
    record.line("the daemon is ready");
    let address = deployment.gateways[0].callers;
    let client = {
        let record = Arc::clone(record);
        std::thread::spawn(move || {
            let head = format!(
                "POST {PATH} HTTP/1.1\r\nHost: reports.example\r\nRequest-Attempt-Id: photos\r\n\
                 Deadline-Remaining: {BUDGET_MS}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
            );
            let request = head + &"x".repeat(BODY_BYTES);
            record.line("the request is sent");
            let sent_at = record.now();
            let answer = http::exchange(address, &request, Duration::from_secs(12));
            (answer, record.now() - sent_at)
        })
    };
    std::thread::sleep(STOP_AFTER);
    deployment.gateways[0].signal(Signal::TERM)?;
    record.line("SIGTERM to frontend-0");
    let (answer, took_s) = client.join().map_err(|_| io::Error::other("no client"))?;
    std::thread::sleep(PAUSE);
    deployment.close();
    let (status, is_own) = match &answer {
        Ok(answer) => (answer.status, answer.header("response-signature").is_none()),
        Err(_) => (0, true),
    };
    record.line(&format!(
        "the client got {status} (0: no answer) after {took_s:.3} s of {:.1} s, signed by the \
         server: {}",
        f64::from(BUDGET_MS) / 1_000.0,
        !is_own
    ));
    let is_broken = is_own && took_s < f64::from(BUDGET_MS) / 1_000.0;
    record.line(if is_broken { "broken" } else { "held" });
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn serve(mut stream: TcpStream, record: &Record, trouble: bool) -> io::Result<()> {
    // The head is read alone, so that the server decides how it reads the body.
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let request = Reader::parse_head(&head);
    record.line(&format!("{SERVER} begins to run request {}", request.id()));
    let mut left: usize = request
        .header("content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let mut part = vec![0; READ_BEFORE_PAUSE];
    let first = left.min(READ_BEFORE_PAUSE);
    stream.read_exact(&mut part[..first])?;
    left -= first;
    if trouble {
        record.line(&format!(
            "{SERVER} reads nothing for {PAUSE:?}, {left} bytes are left"
        ));
        std::thread::sleep(PAUSE);
        record.line(&format!("{SERVER} reads on"));
    }
    while left > 0 {
        let length = left.min(part.len());
        stream.read_exact(&mut part[..length])?;
        left -= length;
    }
    std::thread::sleep(WORK);
    record.line(&format!("{SERVER} has the whole request and answers 200"));
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: {}\r\nResponse-Signature: {SERVER}.1\r\n\
         Content-Length: 2\r\n\r\nok",
        request.id()
    )
}

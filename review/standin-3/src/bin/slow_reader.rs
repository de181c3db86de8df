//! A daemon gets SIGTERM while clients read large answers slowly. Each sends a further safe
//! request on its connection before the first one has been answered whole. Rule LOST.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use standin_3::daemon::Daemon;
use standin_3::daemon::zone_of;
use standin_3::ms;
use standin_3::next_random;
use standin_3::record::Record;
use standin_3::store::Store;
use standin_3::upstream::Upstream;

const CLIENTS: usize = 4;

/// The largest answer to an export (the site file).
const BODY_BYTES: usize = 540_000;

/// How fast a client reads.
const BYTES_PER_S: f64 = 80_000.0;

/// The time budget of an export (the site file), which is the route's timeout too.
const BUDGET_MS: u64 = 10_000;

/// How long after the first request a client sends the next one.
const NEXT_REQUEST: Duration = ms(5_300);

const HOST: &str = "gate.example";

const CONFIGURATION: &str = "{\"version\":\"00000001\",\"routes\":[{\"name\":\"exports\",\"host\":\"gate.example\",\"prefix\":\"/exports/\",\"service\":\"exporter\",\"kind\":\"download\",\"timeout\":\"10s\",\"latency_objective\":\"3s\",\"max_attempts\":2,\"priority\":2}],\
    \"services\":[{\"name\":\"exporter\",\"health_path\":\"/health\",\"max_connections\":1410}],\
    \"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,\"header_timeout\":\"3s\",\"idle_timeout\":\"15s\"}}";

/// What a client got of the answer to its first request.
struct Reading {
    id: String,
    head: String,
    body_bytes: usize,
    /// When the connection ended or the answer was complete, after the request was sent.
    ended_after: Duration,
    end: String,
}

fn request(id: &str) -> String {
    format!(
        "GET /exports/7 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Attempt-Id: {id}\r\nDeadline-Remaining: {BUDGET_MS}\r\n\r\n"
    )
}

/// Sends a request and reads its answer slowly.
fn read_slowly(daemon: SocketAddr, record: &Record) -> io::Result<Reading> {
    let id = format!("{:016x}", next_random());
    let mut stream = TcpStream::connect(daemon)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ms(BUDGET_MS)))?;
    let sent_at = Instant::now();
    stream.write_all(request(&id).as_bytes())?;
    record.line(&format!("sent id={id}"));
    let mut received = Vec::new();
    let mut head_bytes = None;
    let mut has_sent_next = false;
    let mut part = [0; 8_192];
    let end = loop {
        match stream.read(&mut part) {
            Ok(0) => break "closed".to_owned(),
            Ok(length) => received.extend_from_slice(&part[..length]),
            Err(error) => break format!("{error}"),
        }
        if head_bytes.is_none() {
            let end = received.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            head_bytes = end.map(|end| end + 4);
        }
        if head_bytes.is_some_and(|head_bytes| received.len() >= head_bytes + BODY_BYTES) {
            break "complete".to_owned();
        }
        if !has_sent_next && sent_at.elapsed() >= NEXT_REQUEST {
            has_sent_next = true;
            let next = format!("{:016x}", next_random());
            let sent = stream.write_all(request(&next).as_bytes());
            record.line(&format!(
                "sent id={next} behind id={id}, of which {} bytes are read: {sent:?}",
                received.len()
            ));
        }
        let due = Duration::from_secs_f64(received.len() as f64 / BYTES_PER_S);
        std::thread::sleep(due.saturating_sub(sent_at.elapsed()));
    };
    let head_bytes = head_bytes.unwrap_or(received.len());
    let head = String::from_utf8_lossy(&received[..head_bytes]).into_owned();
    Ok(Reading {
        id,
        head: head.trim().replace("\r\n", " | "),
        body_bytes: (received.len() - head_bytes).min(BODY_BYTES),
        ended_after: sent_at.elapsed(),
        end,
    })
}

fn run(folder: &Path) -> io::Result<ExitCode> {
    let has_trouble = !std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let record = Arc::new(Record::create());
    let store = Store::start();
    let mut upstreams = Vec::new();
    for number in 0..3 {
        let upstream = Upstream::start(&format!("i-{number}"), "exporter", ms(20))?;
        upstream.set_body_bytes(BODY_BYTES);
        let entry = upstream.entry("ready", zone_of(number), 1);
        store.put(&upstream.key(), &entry);
        upstreams.push(upstream);
    }
    store.put("op/config", CONFIGURATION);
    let mut daemon = Daemon::prepare(0, folder)?;
    let (_, address) = store.open_entrance()?;
    daemon.start(address, &[daemon.control()])?;
    if !daemon.wait_until_ready(ms(10_000)) {
        record.say("cannot run: the daemon did not become ready");
        return Ok(ExitCode::from(2));
    }
    std::thread::sleep(ms(8_000));
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let (callers, record) = (daemon.callers(), Arc::clone(&record));
        clients.push(std::thread::spawn(move || read_slowly(callers, &record)));
    }
    std::thread::sleep(ms(300));
    if has_trouble && let Some(id) = daemon.id() {
        record.say("SIGTERM to the daemon");
        let stopped_at = Instant::now();
        Command::new("kill")
            .arg("-TERM")
            .arg(id.to_string())
            .status()?;
        while daemon.ended().is_none() && stopped_at.elapsed() < ms(6_000) {
            std::thread::sleep(ms(10));
        }
        let ended = daemon.ended();
        record.say(&format!(
            "the daemon has ended {:.3} s after SIGTERM: {ended:?}",
            stopped_at.elapsed().as_secs_f64()
        ));
    }
    let mut lost = 0;
    for client in clients {
        let reading = client.join().map_err(|_| io::ErrorKind::Other)??;
        let has_run = upstreams
            .iter()
            .any(|upstream| upstream.runs().iter().any(|run| run.id == reading.id));
        let is_lost =
            has_run && reading.body_bytes < BODY_BYTES && reading.ended_after < ms(BUDGET_MS);
        lost += usize::from(is_lost);
        record.say(&format!(
            "{}id={} run={has_run} body={} of {BODY_BYTES} ended after {:.3} s: {} | {}",
            if is_lost { "BROKEN " } else { "" },
            reading.id,
            reading.body_bytes,
            reading.ended_after.as_secs_f64(),
            reading.end,
            reading.head
        ));
    }
    record.say(&format!("requests={CLIENTS} lost={lost}"));
    daemon.kill();
    Ok(ExitCode::from(u8::from(lost > 0)))
}

fn main() -> ExitCode {
    let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    let result = std::fs::create_dir_all(&folder).and_then(|()| run(&folder));
    let _ = std::fs::remove_dir_all(&folder);
    result.unwrap_or_else(|error| {
        println!("cannot run: {error}");
        ExitCode::from(2)
    })
}

//! A client sends requests ahead and pauses while it reads the first answer. The daemon's
//! host closes the connection, and the requests behind it get no answer.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rustix::net::AddressFamily;
use rustix::net::SocketType;

use crate::Verdict;
use crate::deployment::Deployment;
use crate::deployment::Route;
use crate::deployment::ZONES;
use crate::deployment::configuration;
use crate::http;
use crate::http::Message;
use crate::http::Reader;
use crate::record::Record;
use crate::server::Run;
use crate::server::Server;

/// The time budget of `withholding-read`, which is the route's timeout too, and the size
/// of its largest answers.
const BUDGET_MS: u32 = 15_000;
const ANSWER_BYTES: usize = 9_000;

/// The requests that the client sends at once, and its receive buffer, that of a small
/// device.
const REQUESTS: usize = 8;
const RECEIVE_BYTES: usize = 4 * 1024;

/// How long the client reads nothing.
const PAUSE: Duration = Duration::from_millis(11_500);

/// The rule allows so many requests without an answer.
const LOST_MAX: usize = 3;

pub fn play(record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let routes = [Route {
        prefix: "/tables/",
        kind: "safe",
        timeout_ms: BUDGET_MS,
        objective_ms: 2_000,
        max_attempts: 2,
    }];
    let mut deployment = Deployment::start(&configuration(1, &routes))?;
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    for number in 0..3 {
        let (record, ran) = (Arc::clone(record), Arc::clone(&ran));
        let decide = move |server: &Server, request: &Message| {
            record.line(&format!("{} runs request {}", server.id, request.id()));
            ran.lock().expect("the runs").push(request.id().to_owned());
            Run::Answer {
                work: Duration::from_millis(50),
                body_bytes: ANSWER_BYTES,
            }
        };
        let id = format!("i-{number}");
        let zone = ZONES[number];
        Server::start(&deployment.store, &id, "archive", zone, 4, Arc::new(decide))?;
    }
    deployment.start_gateways(3)?;
    record.line("the daemons are ready");
    let mut reader = Reader::new(connect(deployment.gateways[0].callers)?);
    // The connection is a kept one: its first request is answered.
    write_requests(&mut reader.stream, 0..1)?;
    let first = reader.next()?.map_or(0, |answer| answer.status);
    record.line(&format!("request table-0 answered {first}"));
    write_requests(&mut reader.stream, 1..1 + REQUESTS)?;
    let sent_at = record.now();
    record.line(&format!("{REQUESTS} requests sent on the same connection"));
    if trouble {
        let mut start = [0; 1_000];
        reader.stream.read_exact(&mut start)?;
        reader.unread(&start);
        record.line(&format!("the client reads nothing for {PAUSE:?}"));
        std::thread::sleep(PAUSE);
    }
    let mut answered = 0;
    while answered < REQUESTS {
        match reader.next() {
            Ok(Some(answer)) => {
                answered += 1;
                let took_s = record.now() - sent_at;
                record.line(&format!(
                    "request {} answered {} after {took_s:.3} s",
                    answer.id(),
                    answer.status
                ));
            }
            Ok(None) => break,
            Err(error) => {
                record.line(&format!("the connection is lost: {error}"));
                break;
            }
        }
    }
    let took_s = record.now() - sent_at;
    deployment.close();
    let ran = ran.lock().expect("the runs");
    let lost = (1 + answered..1 + REQUESTS)
        .filter(|number| ran.contains(&request_id(*number)))
        .count();
    let is_broken = lost > LOST_MAX && took_s < f64::from(BUDGET_MS) / 1_000.0;
    record.line(&format!(
        "{}: {lost} requests were run and not answered, {took_s:.3} s after they were sent; \
         {LOST_MAX} allowed",
        if is_broken { "broken" } else { "held" }
    ));
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn request_id(number: usize) -> String {
    format!("table-{number}")
}

fn write_requests(stream: &mut TcpStream, numbers: std::ops::Range<usize>) -> io::Result<()> {
    let requests: String = numbers
        .map(|number| http::get(&format!("/tables/{number}"), &request_id(number), BUDGET_MS))
        .collect();
    stream.write_all(requests.as_bytes())
}

/// Connects with the receive buffer of a small device, which has to be set before.
fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None)?;
    rustix::net::sockopt::set_socket_recv_buffer_size(&socket, RECEIVE_BYTES)?;
    rustix::net::connect(&socket, &address)?;
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(Duration::from_secs(15)))?;
    Ok(stream)
}

//! A daemon that got SIGTERM breaks off a request at which its server is at work, and
//! gives an answer of its own in its place.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rustix::process::Signal;

use crate::Verdict;
use crate::deployment::Deployment;
use crate::deployment::Route;
use crate::deployment::configuration;
use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::server::Run;
use crate::server::Server;

/// The request that takes long, as some do: with the others it has a mean of some 100 ms.
const LONG_ID: &str = "long";
const LONG_PATH: &str = "/reports/yearly";
const USUAL_WORK: Duration = Duration::from_millis(100);
const LONG_WORK: Duration = Duration::from_millis(2_000);

/// The client's time budget, which is the route's timeout too.
const BUDGET_MS: u32 = 5_000;

/// How long after the long request the daemon gets SIGTERM.
const STOP_AFTER: Duration = Duration::from_millis(300);

/// What the servers know of each other's work: the server that runs the long request, and
/// when it began.
#[derive(Default)]
struct LongRun {
    server: Option<String>,
    begun_at: f64,
}

pub fn play(record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let routes = [Route {
        prefix: "/reports/",
        kind: "safe",
        timeout_ms: BUDGET_MS,
        objective_ms: 1_000,
        max_attempts: 2,
    }];
    let mut deployment = Deployment::start(&configuration(1, &routes))?;
    let long: Arc<Mutex<LongRun>> = Arc::default();
    let mut servers: Vec<Arc<Server>> = Vec::new();
    for number in 0..2 {
        let (record, long) = (Arc::clone(record), Arc::clone(&long));
        let decide = move |server: &Server, request: &Message| {
            let mut long = long.lock().expect("the long run");
            if request.path() != LONG_PATH {
                return Run::Answer {
                    work: USUAL_WORK,
                    body_bytes: 1_500,
                };
            }
            if long.server.is_some() {
                // Its slots and its queue are taken by requests of other callers.
                record.line(&format!("{} is full: 503, Not-Executed", server.id));
                return Run::Reject;
            }
            long.server = Some(server.id.clone());
            long.begun_at = record.now();
            record.line(&format!("{} runs the long request", server.id));
            Run::Answer {
                work: LONG_WORK,
                body_bytes: 1_500,
            }
        };
        let id = format!("i-{number}");
        let decide = Arc::new(decide);
        let server = Server::start(&deployment.store, &id, "archive", "zone-a", 3, decide)?;
        servers.push(server);
    }
    deployment.start_gateways(2)?;
    record.line("the daemons are ready");
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = deployment.gateways.iter().map(|one| one.callers).collect();
    let usual = {
        let is_over = Arc::clone(&is_over);
        std::thread::spawn(move || {
            let mut sent = 0;
            while !is_over.load(Ordering::Acquire) {
                let request = http::get(&format!("/reports/{sent}"), &format!("u{sent}"), 5_000);
                // A daemon that is stopping may refuse.
                let _ = http::exchange(callers[sent % 2], &request, Duration::from_secs(6));
                sent += 1;
                std::thread::sleep(Duration::from_millis(40));
            }
        })
    };
    std::thread::sleep(Duration::from_secs(4));
    let address = deployment.gateways[0].callers;
    let client = {
        let record = Arc::clone(record);
        std::thread::spawn(move || {
            record.line("the long request sent to frontend-0");
            let sent_at = record.now();
            let request = http::get(LONG_PATH, LONG_ID, BUDGET_MS);
            let answer = http::exchange(address, &request, Duration::from_secs(8));
            (answer, record.now() - sent_at)
        })
    };
    std::thread::sleep(STOP_AFTER);
    if trouble {
        deployment.gateways[0].signal(Signal::TERM)?;
        record.line("SIGTERM to frontend-0");
    }
    let (answer, took_s) = client.join().map_err(|_| io::Error::other("no client"))?;
    is_over.store(true, Ordering::Release);
    // The usual caller ends after its request.
    let _ = usual.join();
    deployment.close();
    let long = long.lock().expect("the long run");
    let Some(server) = &long.server else {
        return Err(io::Error::other("the long request reached no server"));
    };
    let was_broken_off = servers.iter().any(|one| one.was_broken_off(LONG_ID));
    let (status, is_own) = match &answer {
        Ok(answer) => (answer.status, answer.header("response-signature").is_none()),
        Err(_) => (0, true),
    };
    record.line(&format!(
        "the client got {status} (0: no answer) after {took_s:.3} s of {:.1} s, signed by a \
         server: {}; {server} ran the request from {:.3} s on, broken off: {was_broken_off}",
        f64::from(BUDGET_MS) / 1_000.0,
        !is_own,
        long.begun_at
    ));
    let is_within_budget = took_s < f64::from(BUDGET_MS) / 1_000.0;
    let is_broken = trouble && was_broken_off && is_own && is_within_budget;
    record.line(if is_broken { "broken" } else { "held" });
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

//! A request crashes each server that runs it, while the server writes its answer.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::Deployment;
use crate::deployment::Route;
use crate::deployment::ZONES;
use crate::deployment::configuration;
use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::server::Run;
use crate::server::Server;

/// The path of the request that crashes servers. It comes again with the same path,
/// caller and body.
const CRASHING_PATH: &str = "/reports/17/appendix";

/// The other callers, who file with requests that must not run twice.
const FILERS: usize = 4;

/// How long a server that crashed is down.
const DOWN: Duration = Duration::from_secs(2);

/// How long the case plays, and the pause between two attempts of the client.
const PLAYED_S: f64 = 40.0;
const ATTEMPT_PAUSE: Duration = Duration::from_secs(2);

/// `stability_window` of the deployment.
const STABILITY_WINDOW_S: f64 = 3.0;

/// The rule allows so many retries later than `stability_window` after the third crash.
const RETRIES_MAX: usize = 3;

pub fn play(record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let route = |prefix, kind| Route {
        prefix,
        kind,
        timeout_ms: 5_000,
        objective_ms: 1_000,
        max_attempts: 2,
    };
    let routes = [route("/reports/", "safe"), route("/filings/", "unsafe")];
    let mut deployment = Deployment::start(&configuration(1, &routes))?;
    // When the request reached a server, which one crashed, and when.
    let arrivals: Arc<Mutex<Vec<f64>>> = Arc::default();
    let crashes_early = std::env::var("CRASH").is_ok_and(|text| text == "before-answer");
    for number in 0..4 {
        let (record, arrivals) = (Arc::clone(record), Arc::clone(&arrivals));
        let decide = move |server: &Server, request: &Message| {
            let is_crashing = request.path() == CRASHING_PATH;
            if !is_crashing {
                return Run::Answer {
                    work: Duration::from_millis(250),
                    body_bytes: 1_500,
                };
            }
            arrivals.lock().expect("the arrivals").push(record.now());
            let runs = format!(
                "request {} runs at {}, process {}",
                request.id(),
                server.id,
                server.lifetime()
            );
            let work = Duration::from_millis(60);
            if !trouble {
                record.line(&runs);
                return Run::Answer {
                    work,
                    body_bytes: 1_500,
                };
            }
            record.line(&format!("{runs}, which crashes"));
            if crashes_early {
                return Run::Crash { work, down: DOWN };
            }
            Run::CrashInAnswer { work, down: DOWN }
        };
        let zone = ZONES[number % ZONES.len()];
        let id = format!("i-{number}");
        Server::start(&deployment.store, &id, "archive", zone, 3, Arc::new(decide))?;
    }
    deployment.start_gateways(3)?;
    record.line("the daemons are ready");
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = deployment.gateways.iter().map(|one| one.callers).collect();
    let mut filers = Vec::new();
    for filer in 0..FILERS {
        let (is_over, callers) = (Arc::clone(&is_over), callers.clone());
        filers.push(std::thread::spawn(move || {
            let mut statuses = BTreeMap::new();
            for number in 0.. {
                if is_over.load(Ordering::Acquire) {
                    break;
                }
                let path = format!("/filings/{filer}/{number}");
                let request = http::post(&path, &format!("filing-{filer}-{number}"), 5_000);
                let address = callers[number % callers.len()];
                let answer = http::exchange(address, &request, Duration::from_secs(6));
                let status = answer.map_or(0, |answer| answer.status);
                *statuses.entry(status).or_insert(0) += 1;
                std::thread::sleep(Duration::from_millis(100));
            }
            statuses
        }));
    }
    std::thread::sleep(Duration::from_secs(2));
    let begun_at = record.now();
    let mut attempt = 0;
    while record.now() - begun_at < PLAYED_S {
        let id = format!("crashing-{attempt}");
        let number = attempt % callers.len();
        record.line(&format!("request {id} sent to frontend-{number}"));
        let request = http::get(CRASHING_PATH, &id, 5_000);
        match http::exchange(callers[number], &request, Duration::from_secs(6)) {
            Ok(answer) => record.line(&format!("request {id} answered {}", answer.status)),
            Err(error) => record.line(&format!("request {id} not answered: {error}")),
        }
        attempt += 1;
        std::thread::sleep(ATTEMPT_PAUSE);
    }
    is_over.store(true, Ordering::Release);
    let mut statuses: BTreeMap<u16, u32> = BTreeMap::new();
    for filer in filers {
        for (status, count) in filer.join().unwrap_or_default() {
            *statuses.entry(status).or_insert(0) += count;
        }
    }
    record.line(&format!(
        "filings of other callers, by status (0: no answer): {statuses:?}"
    ));
    deployment.close();
    let arrivals = arrivals.lock().expect("the arrivals");
    let crashed = if trouble { arrivals.len() } else { 0 };
    let mut late = 0;
    if crashed >= 3 {
        let third_at = arrivals[2];
        late = arrivals
            .iter()
            .filter(|at| **at > third_at + STABILITY_WINDOW_S)
            .count();
    }
    let verdict = if late > RETRIES_MAX { "broken" } else { "held" };
    record.line(&format!(
        "{verdict}: {crashed} crashes; {late} arrivals later than {STABILITY_WINDOW_S} s after \
         the third, {RETRIES_MAX} allowed"
    ));
    Ok(if late > RETRIES_MAX {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

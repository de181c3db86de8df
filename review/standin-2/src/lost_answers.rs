//! Two servers lose the answer of one request each. The caller of these requests, which
//! asks for the same path again and again, is refused from then on.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use agatehold_platform_standin::CONFIGURATION_KEY;

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

/// A path of the route that is added by the second configuration.
const POLLED_PATH: &str = "/status/queue";

const WORK: Duration = Duration::from_millis(40);

/// The site `puertas-plata` loses the answers of 0.025 of the requests that 0.45 of the
/// servers run, for 5.5 s: here two answers, of two of five servers.
const LOST_ANSWERS: usize = 2;
const LOST_SHARE_MAX: f64 = 0.025;
const TROUBLE_S: f64 = 5.5;

/// `stability_window` of the deployment.
const STABILITY_WINDOW_S: f64 = 3.0;

/// How long the steady state after that is.
const STEADY_S: f64 = 45.0;

/// The rule counts from this many requests on later routes on.
const LATER_MIN: usize = 20;

/// The clients; the first of them polls.
const SENDERS: usize = 9;

/// When a request was sent, and its status; 0 without an answer.
type Sent = Arc<Mutex<Vec<(f64, u16)>>>;

pub fn play(record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let route = |prefix| Route {
        prefix,
        kind: "safe",
        timeout_ms: 5_000,
        objective_ms: 1_000,
        max_attempts: 2,
    };
    let first = [route("/reports/")];
    let mut deployment = Deployment::start(&configuration(1, &first))?;
    let loses = Arc::new(AtomicBool::new(false));
    let lost_by: Arc<Mutex<Vec<String>>> = Arc::default();
    // The other requests that each server runs meanwhile.
    let runs: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
    for number in 0..5 {
        let (record, loses) = (Arc::clone(record), Arc::clone(&loses));
        let (lost_by, runs) = (Arc::clone(&lost_by), Arc::clone(&runs));
        let decide = move |server: &Server, request: &Message| {
            let usual = Run::Answer {
                work: WORK,
                body_bytes: 1_500,
            };
            if !loses.load(Ordering::Acquire) {
                return usual;
            }
            let mut lost_by = lost_by.lock().expect("the lost answers");
            let may_lose = lost_by.len() < LOST_ANSWERS && !lost_by.contains(&server.id);
            if request.path() != POLLED_PATH || !may_lose {
                let mut runs = runs.lock().expect("the runs");
                *runs.entry(server.id.clone()).or_default() += 1;
                return usual;
            }
            lost_by.push(server.id.clone());
            let id = request.id();
            record.line(&format!(
                "{} runs request {id}, whose answer is lost",
                server.id
            ));
            Run::LoseAnswer { work: WORK }
        };
        let zone = ZONES[number % ZONES.len()];
        let id = format!("i-{number}");
        let decide = Arc::new(decide);
        Server::start(&deployment.store, &id, "archive", zone, 3, decide)?;
    }
    deployment.start_gateways(3)?;
    record.line("the daemons are ready");
    let later = [route("/reports/"), route("/status/")];
    deployment
        .store
        .put(CONFIGURATION_KEY, &configuration(2, &later));
    record.line("version 2 is confirmed: it adds the route /status/");
    std::thread::sleep(Duration::from_secs(3));
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = deployment.gateways.iter().map(|one| one.callers).collect();
    let mut senders = Vec::new();
    let (reports, polls): (Sent, Sent) = Default::default();
    for sender in 0..SENDERS {
        let is_poller = sender == 0;
        let sent = Arc::clone(if is_poller { &polls } else { &reports });
        let (record, is_over) = (Arc::clone(record), Arc::clone(&is_over));
        let callers = callers.clone();
        senders.push(std::thread::spawn(move || {
            for number in 0.. {
                if is_over.load(Ordering::Acquire) {
                    return;
                }
                let path = match is_poller {
                    true => POLLED_PATH.to_owned(),
                    false => format!("/reports/{sender}/{number}"),
                };
                let id = format!("request-{sender}-{number}");
                let request = http::get(&path, &id, 5_000);
                let sent_at = record.now();
                let address = callers[number % callers.len()];
                let answer = http::exchange(address, &request, Duration::from_secs(6));
                let status = answer.map_or(0, |answer| answer.status);
                sent.lock().expect("the requests").push((sent_at, status));
                if is_poller {
                    record.line(&format!("request {id} for {path} answered {status}"));
                }
                std::thread::sleep(Duration::from_millis(if is_poller { 250 } else { 20 }));
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(5));
    let troubled_at = record.now();
    loses.store(trouble, Ordering::Release);
    std::thread::sleep(Duration::from_secs_f64(TROUBLE_S));
    loses.store(false, Ordering::Release);
    let steady_from = record.now() + STABILITY_WINDOW_S;
    let lost_by = lost_by.lock().expect("the lost answers").clone();
    let others: usize = {
        let runs = runs.lock().expect("the runs");
        lost_by.iter().filter_map(|id| runs.get(id)).sum()
    };
    record.line(&format!(
        "from {troubled_at:.3} s on, {} answers were lost by servers that ran {others} other \
         requests",
        lost_by.len()
    ));
    std::thread::sleep(Duration::from_secs_f64(STABILITY_WINDOW_S + STEADY_S));
    is_over.store(true, Ordering::Release);
    for sender in senders {
        // A sender ends after its request.
        let _ = sender.join();
    }
    deployment.close();
    let lost = lost_by.len();
    if trouble && (lost < LOST_ANSWERS || lost as f64 > LOST_SHARE_MAX * others as f64) {
        return Err(io::Error::other("the answers were not lost as planned"));
    }
    let share = |sent: &Sent| {
        let sent = sent.lock().expect("the requests");
        let steady = sent.iter().filter(|(at, _)| *at > steady_from);
        let served = steady.clone().filter(|(_, status)| *status == 200).count();
        (steady.count(), served)
    };
    let (of_first, of_later) = (share(&reports), share(&polls));
    let (first_share, later_share) = (
        of_first.1 as f64 / of_first.0.max(1) as f64,
        of_later.1 as f64 / of_later.0.max(1) as f64,
    );
    let is_broken = of_later.0 >= LATER_MIN && later_share < first_share / 4.0;
    record.line(&format!(
        "{}: in steady state {} of {} requests on the first route were served, {} of {} on the \
         later one",
        if is_broken { "broken" } else { "held" },
        of_first.1,
        of_first.0,
        of_later.1,
        of_later.0
    ));
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

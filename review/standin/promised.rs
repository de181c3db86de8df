//! An upstream fails part of its requests after it has run them. Rule REFUSED.

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{connect, Clients, Route};
use crate::fleet::{issue_route, Fleet, Setup, ZONES};
use crate::gateway::resolve;

/// One of eight upstreams fails 70 of 100 requests.
const UPSTREAMS: usize = 8;
const FAILING_PERCENT: usize = 70;
const FAILING: Duration = Duration::from_secs(8);
/// How often a client sends a request again after a promise that it has not run.
const RETRIES: u32 = 2;

pub fn run(root: &Path, folder: &Path, trouble: bool) -> i32 {
    let run_time = Duration::from_millis(210);
    let setup = Setup { per_zone: 3, upstreams: UPSTREAMS, run_time, stale: Duration::ZERO };
    let Some(mut fleet) = Fleet::start(root, folder, setup) else {
        return 2;
    };
    let clients = Clients::new();
    let is_over = Arc::new(AtomicBool::new(false));
    let orders = Arc::new(AtomicU64::new(0));
    for zone in ZONES {
        for turn in 0..4 {
            let (clients, is_over, orders) = (Arc::clone(&clients), Arc::clone(&is_over), Arc::clone(&orders));
            let (directories, zone) = (fleet.directories(), zone.to_owned());
            std::thread::spawn(move || {
                let mut turn = turn;
                while !is_over.load(Ordering::SeqCst) {
                    let number = orders.fetch_add(1, Ordering::SeqCst);
                    // All attempts for one certificate have the same path.
                    let path = format!("/certificados/{number}");
                    let route = Route { path, is_page: true, ..issue_route() };
                    for _ in 0..=RETRIES {
                        turn += 1;
                        let addresses = resolve(directories[turn % directories.len()], &route.host, &zone);
                        let Some(address) = addresses.get(turn % addresses.len().max(1)) else {
                            break;
                        };
                        let Some(mut connection) = connect(*address) else {
                            continue;
                        };
                        let (status, _) = clients.send_once(*address, &mut connection, &route);
                        if status != 503 && status != 429 {
                            break;
                        }
                        std::thread::sleep(Duration::from_millis(200));
                    }
                    std::thread::sleep(Duration::from_millis(50));
                }
            });
        }
    }
    std::thread::sleep(Duration::from_secs(4));
    let failing = fleet.upstreams.iter().find(|upstream| upstream.service == "certificados").map(Arc::clone);
    let Some(failing) = failing else {
        return 2;
    };
    let from = Instant::now();
    if trouble {
        failing.fail(FAILING_PERCENT);
        fleet.note(&format!("{} fails {FAILING_PERCENT} of 100 requests after it has run them", failing.id));
    }
    std::thread::sleep(FAILING);
    failing.fail(0);
    fleet.note("all upstreams are well");
    std::thread::sleep(Duration::from_secs(4));
    is_over.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_secs(3));
    let attempts = clients.attempts.lock().unwrap().clone();
    let by_id: HashMap<&str, _> = attempts.iter().map(|attempt| (attempt.id.as_str(), attempt)).collect();
    let (mut refused, mut runs_of, mut lines) = (0, HashMap::new(), Vec::new());
    for upstream in &fleet.upstreams {
        for arrival in upstream.arrivals().iter().filter(|arrival| arrival.ran) {
            let Some(attempt) = by_id.get(arrival.id.as_str()) else {
                continue;
            };
            *runs_of.entry(attempt.path.clone()).or_insert(0) += 1;
            if matches!(attempt.status, 408 | 421 | 429 | 503) {
                refused += 1;
                lines.push(format!(
                    "{} {} runs at {} from {:.3} s on and ends with '{}'; its client gets {}",
                    attempt.id,
                    attempt.path,
                    upstream.id,
                    fleet.seconds(arrival.at),
                    arrival.end,
                    attempt.status
                ));
            }
        }
    }
    for line in lines {
        fleet.note(&line);
    }
    let doubled = runs_of.values().filter(|runs| **runs > 1).count();
    let during = attempts.iter().filter(|attempt| attempt.sent_at >= from).count();
    fleet.note(&format!("{} attempts, {during} of them from the beginning of the failures on", attempts.len()));
    fleet.note(&format!(
        "{refused} unsafe requests that had run were answered with 503; {doubled} certificates were issued more than once"
    ));
    fleet.list(&attempts);
    i32::from(refused > 0)
}

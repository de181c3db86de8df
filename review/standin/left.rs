//! An upstream leaves, and a daemon is killed and starts again right after. Rule DRAIN.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::client::Clients;
use crate::fleet::{issue_route, read_route, Fleet, Setup, ZONES};

/// How old the store's answers to reads with `serializable` = 1 are ("may be seconds
/// old").
const STALE: Duration = Duration::from_secs(3);
/// The bounds of the site.
const DRAIN: Duration = Duration::from_secs(2);
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// How long the upstream serves after its entry was removed ("at times many seconds").
const SERVES_ON: Duration = Duration::from_secs(12);

pub fn run(root: &Path, folder: &Path, trouble: bool) -> i32 {
    let run_time = Duration::from_millis(300);
    let setup = Setup { per_zone: 3, upstreams: 6, run_time, stale: STALE };
    let Some(mut fleet) = Fleet::start(root, folder, setup) else {
        return 2;
    };
    let issue = issue_route();
    let entries = fleet.entries(&issue.host);
    // The one that is killed takes clients, and is none of the three that watch the
    // store for the others.
    let Some(killed) = entries.iter().copied().find(|at| !fleet.gateways[*at].watches_store()) else {
        fleet.note("every daemon that takes clients watches the store: nothing to try");
        return 2;
    };
    let names: Vec<String> = entries.iter().map(|at| fleet.gateways[*at].machine.name.clone()).collect();
    fleet.note(&format!("clients of {} are directed to {}", issue.host, names.join(", ")));
    let clients = Clients::new();
    for zone in ZONES {
        for _ in 0..4 {
            clients.spawn(fleet.directories(), zone, issue.clone(), Duration::from_millis(40));
        }
        clients.spawn(fleet.directories(), zone, read_route(), Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs(6));
    let zone = fleet.gateways[killed].machine.zone.clone();
    let left = fleet.upstreams.iter().find(|u| u.service == "certificados" && u.zone == zone).map(Arc::clone);
    let Some(left) = left else {
        return 2;
    };
    fleet.store.delete(&format!("servers/{}", left.id));
    let left_at = std::time::Instant::now();
    fleet.note(&format!("the entry of {} is removed; it serves on for {SERVES_ON:?}", left.id));
    std::thread::sleep(Duration::from_millis(500));
    let name = fleet.gateways[killed].machine.name.clone();
    if trouble {
        fleet.gateways[killed].kill();
        fleet.note(&format!("{name} is killed"));
        std::thread::sleep(Duration::from_millis(500));
        fleet.gateways[killed].start_again();
        fleet.note(&format!("{name} starts again"));
        if !fleet.gateways[killed].wait_until_ready(Duration::from_secs(10)) {
            return 2;
        }
    }
    std::thread::sleep(SERVES_ON.saturating_sub(left_at.elapsed()));
    left.exit();
    fleet.note(&format!("{} exits", left.id));
    std::thread::sleep(Duration::from_secs(3));
    clients.stop();
    std::thread::sleep(Duration::from_secs(3));
    let attempts = clients.attempts.lock().unwrap().clone();
    let by_id: HashMap<&str, _> = attempts.iter().map(|attempt| (attempt.id.as_str(), attempt)).collect();
    let restarted = &fleet.gateways[killed];
    let (address, restarted_at) = (restarted.machine.callers, restarted.started_at);
    let (mut late, mut lost, mut lines) = (0, 0, Vec::new());
    for arrival in left.arrivals() {
        let Some(attempt) = by_id.get(arrival.id.as_str()) else {
            continue;
        };
        let in_touch = attempt.gateway != address || attempt.sent_at >= restarted_at + STABILITY_WINDOW;
        if !in_touch || arrival.end == "421" || arrival.at <= left_at + DRAIN {
            continue;
        }
        late += 1;
        lost += u32::from(arrival.ran && arrival.end == "cut");
        lines.push(format!(
            "{} reaches {} {:.3} s after its removal, sent by {}, run {}, ends with {}; the client gets {}",
            arrival.id,
            left.id,
            arrival.at.duration_since(left_at).as_secs_f64(),
            attempt.gateway,
            arrival.ran,
            arrival.end,
            attempt.status
        ));
    }
    for line in lines {
        fleet.note(&line);
    }
    let answered = attempts.iter().filter(|attempt| attempt.status == 200).count();
    let through = attempts.iter().filter(|attempt| attempt.gateway == address).count();
    let stale_reads = fleet.store.stale_reads();
    fleet.note(&format!(
        "{} attempts, {answered} answered with 200, {through} through {name}; {stale_reads} reads got older contents",
        attempts.len()
    ));
    fleet.note(&format!(
        "{late} requests reached the upstream later than {DRAIN:?} after its removal, {lost} of them were cut at its exit"
    ));
    fleet.list(&attempts);
    i32::from(late > 0)
}

//! The store turns the daemons away that watch it, and the operator moves a route.
//! Rule CONFIG.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{connect, Clients};
use crate::fleet::{configuration, issue_route, Fleet, Setup};

/// The bound of the site.
const CONFIG_PROPAGATION: Duration = Duration::from_secs(2);
/// The largest share of machines that a day of the site turns away.
const SHARE_MAX: f64 = 0.35;
/// How long they are turned away, as in the site's list of disruptions.
const TURNED_AWAY: Duration = Duration::from_secs(9);

pub fn run(root: &Path, folder: &Path, trouble: bool) -> i32 {
    let run_time = Duration::from_millis(210);
    let setup = Setup { per_zone: 3, upstreams: 6, run_time, stale: Duration::ZERO };
    let Some(mut fleet) = Fleet::start(root, folder, setup) else {
        return 2;
    };
    // Every daemon gets requests on the route, as the platform sends them to see which
    // configuration is in force there.
    let clients = Clients::new();
    let is_over = Arc::new(AtomicBool::new(false));
    for gateway in &fleet.gateways {
        let (address, clients, is_over) = (gateway.machine.callers, Arc::clone(&clients), Arc::clone(&is_over));
        std::thread::spawn(move || {
            let route = issue_route();
            let mut open = None;
            while !is_over.load(Ordering::SeqCst) {
                open = open.or_else(|| connect(address));
                if let Some(mut connection) = open.take() {
                    if clients.send(address, &mut connection, &route).is_some() {
                        open = Some(connection);
                    }
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        });
    }
    std::thread::sleep(Duration::from_secs(4));
    let all = 0..fleet.gateways.len();
    let watching: Vec<usize> = all.filter(|at| fleet.gateways[*at].watches_store()).collect();
    if watching.is_empty() || watching.len() as f64 > SHARE_MAX * fleet.gateways.len() as f64 {
        fleet.note(&format!("{} daemons watch the store: nothing to try", watching.len()));
        return 2;
    }
    let names: Vec<String> = watching.iter().map(|at| fleet.gateways[*at].machine.name.clone()).collect();
    if trouble {
        let addresses: Vec<_> = watching.iter().map(|at| fleet.gateways[*at].store).collect();
        fleet.store.turn_away(&addresses);
        fleet.note(&format!("the store turns {} away (503) and serves the others", names.join(", ")));
    }
    std::thread::sleep(Duration::from_millis(50));
    fleet.store.put("op/config", &configuration(8, "archivo", false));
    let confirmed_at = Instant::now();
    fleet.note("version 8 is confirmed: the route moves from certificados to archivo");
    std::thread::sleep(TURNED_AWAY);
    fleet.store.turn_away(&[]);
    fleet.note("the store serves all machines");
    std::thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_secs(3));
    let attempts = clients.attempts.lock().unwrap().clone();
    let mut late = 0;
    for upstream in fleet.upstreams.clone() {
        for arrival in upstream.arrivals() {
            let Some(attempt) = attempts.iter().find(|attempt| attempt.id == arrival.id) else {
                continue;
            };
            let is_served = watching.iter().all(|at| fleet.gateways[*at].machine.callers != attempt.gateway);
            let since = attempt.sent_at.saturating_duration_since(confirmed_at);
            let is_late = attempt.sent_at > confirmed_at + CONFIG_PROPAGATION;
            if !arrival.ran || upstream.service != "certificados" || !is_served || !is_late {
                continue;
            }
            late += 1;
            let gateway = fleet.gateways.iter().find(|g| g.machine.callers == attempt.gateway);
            let name = gateway.map_or(String::new(), |gateway| gateway.machine.name.clone());
            fleet.note(&format!(
                "{}, sent {:.3} s after the confirmation to {name}, runs at {} of the old service",
                attempt.id,
                since.as_secs_f64(),
                upstream.id
            ));
        }
    }
    let answered = attempts.iter().filter(|attempt| attempt.status == 200).count();
    fleet.note(&format!("{} attempts, {answered} answered with 200", attempts.len()));
    fleet.note(&format!(
        "{late} requests, sent later than {CONFIG_PROPAGATION:?} after the confirmation to machines that the store served all the while, were run by the old service"
    ));
    fleet.list(&attempts);
    i32::from(late > 0)
}

//! Upstreams crash while they work on a page that many callers read, and are back after
//! some seconds. Rule CONFIG, in steady state.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{connect_from, Clients, Route};
use crate::fleet::{configuration, read_route, Fleet, Setup, ZONES};
use crate::gateway::resolve;

/// The number of upstreams of a service, and of those that crash: a share of 0.136.
const UPSTREAMS: usize = 22;
const CRASHED: usize = 3;
/// How long they are down, as in the site's list of disruptions.
const DOWN: Duration = Duration::from_millis(4_500);
/// What is counted begins so long after they are back.
const CALM: Duration = Duration::from_secs(12);
const COUNTED: Duration = Duration::from_secs(20);
/// The number of callers in each zone that read the page, and that read other pages.
const PAGE_READERS: u8 = 20;
const OTHER_READERS: u8 = 4;

pub fn run(root: &Path, folder: &Path, trouble: bool) -> i32 {
    let run_time = Duration::from_millis(410);
    let setup = Setup { per_zone: 3, upstreams: UPSTREAMS, run_time, stale: Duration::ZERO };
    let Some(mut fleet) = Fleet::start(root, folder, setup) else {
        return 2;
    };
    fleet.store.put("op/config", &configuration(8, "certificados", true));
    fleet.note("version 8 adds the route /resumen/");
    std::thread::sleep(Duration::from_secs(3));
    let clients = Clients::new();
    let is_over = Arc::new(AtomicBool::new(false));
    for (number, zone) in ZONES.iter().enumerate() {
        for caller in 0..PAGE_READERS + OTHER_READERS {
            let route = match caller < PAGE_READERS {
                true => Route { path: "/resumen/hoy".into(), is_page: true, ..read_route() },
                false => read_route(),
            };
            let from = Ipv4Addr::new(127, 66, number as u8, caller + 1);
            let (directories, zone) = (fleet.directories(), (*zone).to_owned());
            let (clients, is_over) = (Arc::clone(&clients), Arc::clone(&is_over));
            std::thread::spawn(move || read(&clients, &is_over, from, &directories, &zone, &route));
        }
    }
    std::thread::sleep(Duration::from_secs(4));
    let archivo: Vec<_> = fleet.upstreams.iter().filter(|u| u.service == "archivo").cloned().collect();
    if trouble {
        // One in each zone that work on the page, as nearly all do at any time.
        let works = |at: &usize| archivo[*at].arrivals().iter().any(|a| a.end == "running" && a.first.contains("/resumen/"));
        let until = Instant::now() + Duration::from_secs(5);
        let chosen = loop {
            let mut chosen: Vec<usize> = Vec::new();
            for at in (0..UPSTREAMS).filter(works) {
                if chosen.len() < CRASHED && chosen.iter().all(|other| archivo[*other].zone != archivo[at].zone) {
                    chosen.push(at);
                }
            }
            if chosen.len() == CRASHED {
                break chosen;
            }
            if Instant::now() > until {
                return 2;
            }
        };
        let names: Vec<String> = chosen.iter().map(|at| archivo[*at].id.clone()).collect();
        for at in chosen {
            archivo[at].crash(DOWN);
        }
        fleet.note(&format!("{} of {UPSTREAMS} crash, for {DOWN:?}", names.join(", ")));
    }
    std::thread::sleep(DOWN);
    fleet.note("all upstreams serve");
    std::thread::sleep(CALM);
    let from = Instant::now();
    std::thread::sleep(COUNTED);
    let to = Instant::now();
    is_over.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_secs(5));
    let attempts = clients.attempts.lock().unwrap().clone();
    let counted: Vec<_> = attempts.iter().filter(|a| a.sent_at >= from && a.sent_at < to).collect();
    let mut shares = Vec::new();
    for (name, added) in [("the first route", false), ("the added route", true)] {
        let of_route: Vec<_> = counted.iter().filter(|a| a.path.starts_with("/resumen/") == added).collect();
        let served = of_route.iter().filter(|a| a.status == 200).count();
        let refused = of_route.iter().filter(|a| a.status == 503).count();
        let share = served as f64 / of_route.len().max(1) as f64;
        fleet.note(&format!(
            "{name}, in {COUNTED:?} from {CALM:?} after: {} requests, {served} served, {refused} answered with 503, share {share:.3}",
            of_route.len()
        ));
        shares.push((of_route.len(), share));
    }
    let is_broken = shares[1].0 >= 20 && shares[1].1 < shares[0].1 / 4.0;
    fleet.list(&attempts);
    i32::from(is_broken)
}

/// A caller: it looks up addresses, opens a connection, reads and closes it.
fn read(clients: &Clients, is_over: &AtomicBool, from: Ipv4Addr, directories: &[SocketAddr], zone: &str, route: &Route) {
    let mut turn = usize::from(from.octets()[3]);
    let (mut addresses, mut looked_up): (Vec<SocketAddr>, Option<Instant>) = (Vec::new(), None);
    while !is_over.load(Ordering::SeqCst) {
        turn += 1;
        if looked_up.is_none_or(|at| at.elapsed() > Duration::from_secs(2)) {
            let found = resolve(directories[turn % directories.len()], &route.host, zone);
            if !found.is_empty() {
                addresses = found;
            }
            looked_up = Some(Instant::now());
        }
        if let Some(address) = addresses.get(turn % addresses.len().max(1)) {
            if let Some(mut connection) = connect_from(from, *address) {
                let (status, _) = clients.send_once(*address, &mut connection, route);
                if status != 200 {
                    std::thread::sleep(Duration::from_millis(900));
                }
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

//! A small deployment: nine machines in three zones, two services, the store.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{Attempt, Route};
use crate::gateway::{resolve, Gateway, Machine};
use crate::store::Store;
use crate::upstream::Upstream;

pub const ZONES: [&str; 3] = ["andina-a", "andina-b", "andina-c"];

/// The size and the speed of a deployment.
pub struct Setup {
    /// The number of daemons in each zone.
    pub per_zone: usize,
    /// The number of upstreams of each service.
    pub upstreams: usize,
    /// How long an upstream works on a request.
    pub run_time: Duration,
    /// How old the store's answers to reads with `serializable` = 1 are.
    pub stale: Duration,
}

pub struct Fleet {
    pub store: Arc<Store>,
    pub upstreams: Vec<Arc<Upstream>>,
    pub gateways: Vec<Gateway>,
    pub begun: Instant,
    pub record: String,
    folder: PathBuf,
    record_file: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.gateways.clear();
        let _ = std::fs::write(&self.record_file, &self.record);
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Fleet {
    /// Starts the store, the upstreams and the daemons, and waits until these are ready.
    pub fn start(root: &Path, folder: &Path, setup: Setup) -> Option<Fleet> {
        let temporary = std::env::temp_dir().join(format!("agatehold-review-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).ok()?;
        let Setup { per_zone, stale, run_time, upstreams: count } = setup;
        let store = Store::start(stale);
        let mut upstreams = Vec::new();
        for service in ["archivo", "certificados"] {
            for number in 0..count {
                let id = format!("i-{service}-{number}");
                upstreams.push(Upstream::start(&id, service, ZONES[number % 3], 4, run_time));
            }
        }
        for upstream in &upstreams {
            store.put(&format!("servers/{}", upstream.id), &upstream.entry("ready"));
        }
        store.put("op/config", &configuration(7, "certificados", false));
        let mut machines = Vec::new();
        for place in 1..=per_zone {
            for zone in ZONES {
                machines.push(Machine::new(machines.len(), &format!("frontend-{zone}-{place}"), zone));
            }
        }
        let seeds: Vec<SocketAddr> = machines.iter().take(3).map(|machine| machine.control).collect();
        let mut fleet = Fleet {
            store,
            upstreams,
            gateways: Vec::new(),
            begun: Instant::now(),
            record: String::new(),
            folder: temporary,
            record_file: folder.join("record.txt"),
        };
        for machine in &machines {
            let gateway = Gateway::start(root, &fleet.folder, machine, fleet.store.open(), &seeds);
            fleet.gateways.push(gateway);
        }
        for gateway in &fleet.gateways {
            if !gateway.wait_until_ready(Duration::from_secs(15)) {
                eprintln!("{} is not ready: {}", gateway.machine.name, gateway.log());
                return None;
            }
        }
        // The daemons take their roles after they know each other.
        std::thread::sleep(Duration::from_secs(4));
        fleet.note("all daemons are ready");
        Some(fleet)
    }

    /// Adds a line to the record, with the seconds since the start.
    pub fn note(&mut self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.begun.elapsed().as_secs_f64());
        println!("{line}");
        let _ = writeln!(self.record, "{line}");
    }

    /// Adds to the record what was sent and answered, and what reached the upstreams.
    pub fn list(&mut self, attempts: &[Attempt]) {
        let mut lines = Vec::new();
        for attempt in attempts {
            let gateway = self.gateways.iter().find(|g| g.machine.callers == attempt.gateway);
            let name = gateway.map_or("-", |gateway| gateway.machine.name.as_str());
            let (sent, ended) = (self.seconds(attempt.sent_at), self.seconds(attempt.ended_at));
            let answer = match attempt.status {
                0 => "no answer".to_owned(),
                status => status.to_string(),
            };
            lines.push((sent, format!("{} {} sent to {name}; {answer} at {ended:.3} s", attempt.id, attempt.path)));
        }
        for upstream in &self.upstreams {
            for arrival in upstream.arrivals() {
                let run = if arrival.ran { "runs" } else { "does not run" };
                let text = format!("{} {run} at {}; {}", arrival.id, upstream.id, arrival.end);
                lines.push((self.seconds(arrival.at), text));
            }
        }
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let _ = writeln!(self.record, "\nWhat was sent, answered and run:");
        for (at, text) in lines {
            let _ = writeln!(self.record, "{at:8.3} s  {text}");
        }
    }

    pub fn directories(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|gateway| gateway.machine.directory).collect()
    }

    /// The positions of the daemons to which the clients of a host are directed.
    pub fn entries(&self, host: &str) -> Vec<usize> {
        let mut found = Vec::new();
        for zone in ZONES {
            found.extend(resolve(self.gateways[0].machine.directory, host, zone));
        }
        let all = 0..self.gateways.len();
        all.filter(|at| found.contains(&self.gateways[*at].machine.callers)).collect()
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.duration_since(self.begun).as_secs_f64()
    }
}

pub fn read_route() -> Route {
    Route { host: "informes.example".into(), path: "/informes/".into(), is_page: false, is_unsafe: false, deadline_ms: 4_000 }
}

pub fn issue_route() -> Route {
    Route { host: "certificados.example".into(), path: "/certificados/".into(), is_page: false, is_unsafe: true, deadline_ms: 2_500 }
}

/// A configuration with a safe route to `archivo` and an unsafe one to the service
/// `certificates`; with `adds_route`, also a safe route for `/resumen/` to `archivo`.
pub fn configuration(version: u32, certificates: &str, adds_route: bool) -> String {
    let added = match adds_route {
        true => "{\"name\":\"r-resumen\",\"host\":\"informes.example\",\"prefix\":\"/resumen/\",\"kind\":\"safe\",\
                 \"timeout\":\"4000ms\",\"latency_objective\":\"1500ms\",\"priority\":2,\"service\":\"archivo\",\"max_attempts\":2},",
        false => "",
    };
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":[{added}\
         {{\"name\":\"r-informes\",\"host\":\"informes.example\",\"prefix\":\"/informes/\",\"kind\":\"safe\",\
         \"timeout\":\"4000ms\",\"latency_objective\":\"1500ms\",\"priority\":2,\"service\":\"archivo\",\"max_attempts\":2}},\
         {{\"name\":\"r-certificados\",\"host\":\"certificados.example\",\"prefix\":\"/certificados/\",\"kind\":\"unsafe\",\
         \"timeout\":\"2500ms\",\"latency_objective\":\"1500ms\",\"priority\":1,\"service\":\"{certificates}\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"archivo\",\"health_path\":\"/health\",\"max_connections\":390,\"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"certificados\",\"health_path\":\"/health\",\"max_connections\":390,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}}}"
    )
}

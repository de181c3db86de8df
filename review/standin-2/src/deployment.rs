//! A small deployment on loopback addresses: the project's store stand-in and gateway
//! processes, started with the command and the template of the deploy file.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use agatehold_platform_standin::CONFIGURATION_KEY;
use agatehold_platform_standin::StoreStandin;
use rustix::process::Pid;
use rustix::process::Signal;

use crate::http;

/// The program and the template of `deploy/system.toml`.
const PROGRAM: &str = "target/release/agatehold";
const TEMPLATE: &str = "deploy/agatehold.ini";

/// The daemons that were started.
static STARTED: Mutex<Vec<Pid>> = Mutex::new(Vec::new());

/// A script may run for 120 s.
const PLAY_TIMEOUT: Duration = Duration::from_secs(110);

/// The time within which a deployment must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// The zones to which daemons belong in turn.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// The limits of the site `puertas-plata`.
const BOUNDS: &str = concat!(
    r#"{"seed_lag":"3s","reuse_after":"2s","stability_window":"3000ms","ack":"4000ms","#,
    r#""catch_up":"4s","drain":"2000ms","grace":"6s","loss_slack":"200ms","#,
    r#""config_propagation":"2000ms","downgrade":"250ms","max_stretch":"5000ms","#,
    r#""retry_budget_ratio":0.2,"retry_window":"10s","retry_slack":58,"recovery":"15s","#,
    r#""ttl_max":"5s","probes_per_s":3,"floor_share":0.7}"#
);

/// The store and the daemons.
pub struct Deployment {
    pub store: Arc<StoreStandin>,
    pub gateways: Vec<Gateway>,
    dir: PathBuf,
}

/// A gateway process.
pub struct Gateway {
    /// Where it serves clients.
    pub callers: SocketAddr,
    readiness: SocketAddr,
    process: Child,
}

impl Deployment {
    /// Starts a store with a configuration, and no daemons yet.
    pub fn start(configuration: &str) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let store = Arc::new(StoreStandin::start()?);
        store.put(CONFIGURATION_KEY, configuration);
        Ok(Self {
            store,
            gateways: Vec::new(),
            dir,
        })
    }

    /// Starts the daemons and waits until all are ready.
    pub fn start_gateways(&mut self, count: usize) -> io::Result<()> {
        let mut addresses = Vec::new();
        for machine in 0..count {
            addresses.push(free_addresses(machine)?);
        }
        let seeds: Vec<String> = addresses.iter().map(|own| own[3].to_string()).collect();
        for (number, own) in addresses.into_iter().enumerate() {
            let gateway = self.start_gateway(number, own, &seeds.join(","))?;
            self.gateways.push(gateway);
        }
        let until = Instant::now() + START_TIMEOUT;
        while !self.gateways.iter().all(Gateway::is_ready) {
            if Instant::now() > until {
                return Err(io::Error::other("the daemons did not become ready"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        // The daemons agree on the entry daemons; traffic starts some seconds after them.
        std::thread::sleep(Duration::from_secs(5));
        Ok(())
    }

    fn start_gateway(
        &self,
        number: usize,
        own: [SocketAddr; 6],
        seeds: &str,
    ) -> io::Result<Gateway> {
        let [callers, readiness, directory, control, news, evidence] = own;
        let name = format!("frontend-{number}");
        let zone = ZONES[number % ZONES.len()];
        let store = self.store.address.to_string();
        let values = [
            ("node_name", name.clone()),
            ("zone", zone.to_owned()),
            ("limits.cpu_share", "0.2".to_owned()),
            ("limits.cpu_cores", "1".to_owned()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("listen_addresses.frontend", callers.to_string()),
            ("listen_addresses.readiness", readiness.to_string()),
            ("listen_addresses.directory", directory.to_string()),
            ("listen_addresses.control", control.to_string()),
            ("ip_address", news.ip().to_string()),
            ("internal_port_range.0", news.port().to_string()),
            ("internal_port_range.1", evidence.port().to_string()),
            ("platform.address", store),
            ("seeds", seeds.to_owned()),
            ("bounds", BOUNDS.to_owned()),
        ];
        let mut settings = std::fs::read_to_string(TEMPLATE)?;
        for (field, value) in values {
            settings = settings.replace(&format!("{{{{{field}}}}}"), &value);
        }
        let file = self.dir.join(format!("{name}.conf"));
        std::fs::write(&file, settings)?;
        let log = self.dir.join(format!("{name}.log"));
        Ok(Gateway {
            callers,
            readiness,
            process: start_process(&file, &log)?,
        })
    }

    /// Ends all daemons and removes their files. With `KEEP_LOGS` set, the files stay.
    pub fn close(self) {
        drop(self.gateways);
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            eprintln!("logs: {}", self.dir.display());
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Ends the daemons and this program if a case takes longer than a script may.
pub fn start_watchdog() {
    std::thread::spawn(|| {
        std::thread::sleep(PLAY_TIMEOUT);
        for process in STARTED.lock().iter().flat_map(|started| started.iter()) {
            // It may have ended already.
            let _ = rustix::process::kill_process(*process, Signal::KILL);
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

impl Gateway {
    /// Returns whether the readiness check answers 200.
    pub fn is_ready(&self) -> bool {
        let request = "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = http::exchange(self.readiness, request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = Pid::from_child(&self.process);
        Ok(rustix::process::kill_process(pid, signal)?)
    }
}

/// Starts the program of the deploy file.
fn start_process(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    let process = Command::new(PROGRAM)
        .arg("--gateway")
        .env("AGATEHOLD_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    if let Ok(mut started) = STARTED.lock() {
        started.push(Pid::from_child(&process));
    }
    Ok(process)
}

/// Returns addresses of a machine of its own in the loopback range, whose ports are free
/// there and all different.
fn free_addresses<const COUNT: usize>(machine: usize) -> io::Result<[SocketAddr; COUNT]> {
    let process = std::process::id();
    let part = |number: u32| u8::try_from(number % 250 + 1).unwrap_or(1);
    let machine = part(u32::try_from(machine).unwrap_or(0));
    let host = [127, part(process / 250), part(process), machine];
    let mut listeners = Vec::new();
    let mut addresses = [SocketAddr::from((host, 0)); COUNT];
    for address in &mut addresses {
        let listener = TcpListener::bind(*address)?;
        *address = listener.local_addr()?;
        listeners.push(listener);
    }
    Ok(addresses)
}

/// A route of a configuration.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub timeout_ms: u32,
    pub objective_ms: u32,
    pub max_attempts: u32,
}

/// Returns the configuration of one service, `archive`, for the host `reports.example`.
pub fn configuration(version: u32, routes: &[Route<'_>]) -> String {
    let mut rows = Vec::new();
    for route in routes {
        rows.push(format!(
            r#"{{"name":"r{prefix}","host":"reports.example","prefix":"{prefix}","kind":"{kind}","timeout":"{timeout}ms","latency_objective":"{objective}ms","priority":1,"service":"archive","max_attempts":{attempts}}}"#,
            prefix = route.prefix,
            kind = route.kind,
            timeout = route.timeout_ms,
            objective = route.objective_ms,
            attempts = route.max_attempts,
        ));
    }
    format!(
        r#"{{"version":"{version:08x}","routes":[{}],"services":[{{"name":"archive","health_path":"/health","max_connections":330,"protocol":"h1","tls":false}}],"limits":{{"header_bytes":16384,"body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}}}"#,
        rows.join(",")
    )
}

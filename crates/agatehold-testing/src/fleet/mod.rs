//! A fleet of daemon processes, with stand-ins for the platform and targets.
//!
//! All of them use loopback addresses and ports that the operating system
//! assigned. Each daemon process is signalled by its process id.

mod daemon;
mod helpers;
mod notes;
mod ports;

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use agatehold_core::ids::NoteNumber;
use agatehold_core::ids::ParseIdError;
use agatehold_core::units::DurationMs;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TargetCount;

use crate::caller::CallerOptions;
use crate::common::get_control;
use crate::common::post_control;
use crate::history::RunRecord;
use crate::history::parse_runs;
use crate::platform_standin;
use crate::platform_standin::PlatformOptions;
use crate::platform_standin::RunningPlatform;
use crate::target_standin;
use crate::target_standin::RunningTargets;
use crate::target_standin::TargetOptions;

pub use daemon::ADMIN_TOKEN;
pub use daemon::DaemonProcess;
pub use daemon::PEER_SECRET;
pub use daemon::Signal;
pub use notes::NoteWriter;
pub use ports::free_addresses;
pub use ports::next_loopback;
pub use ports::scratch_dir;

/// How long to wait for a condition before the test fails. This keeps a test
/// from hanging and is not meant as a limit on latency.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The maximum number of attempts to start the daemons of a fleet.
const MAX_START_ATTEMPTS: u32 = 3;

/// The interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The options of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetOptions {
    /// The number of daemons. Host `n` is in failure domain `n` modulo 3.
    pub daemons: usize,
    /// The number of targets of the service `certificates`.
    pub targets: u32,
    /// The slots of each target.
    pub slots: SlotCount,
    /// The floor of the service `certificates`.
    pub floor: TargetCount,
    /// The seed of the target stand-ins.
    pub seed: u64,
    /// The delay until a new host list becomes visible at the platform.
    pub host_lag_ms: DurationMs,
    /// How long callers cache an address response.
    pub address_ttl_ms: DurationMs,
    /// How long no new connection must arrive before a stopping daemon closes
    /// its listener.
    pub quiet_ms: DurationMs,
    /// Further lines of the section `[limits]` of the daemons' settings, each
    /// with a newline at its end.
    pub limits: &'static str,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            daemons: 3,
            targets: 6,
            slots: SlotCount(4),
            floor: TargetCount(4),
            seed: 1,
            host_lag_ms: DurationMs(10_000),
            address_ttl_ms: DurationMs(2_000),
            quiet_ms: DurationMs(500),
            limits: "",
        }
    }
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The daemons, indexed by host number.
    pub daemons: Vec<DaemonProcess>,
    /// The platform stand-in.
    pub platform: RunningPlatform,
    /// The target stand-ins.
    pub targets: RunningTargets,
    /// Releases notes to the fleet.
    pub notes: NoteWriter,
    options: FleetOptions,
    dir: PathBuf,
}

impl Fleet {
    /// Starts the stand-ins and daemons, releases the first note, and waits
    /// until it is in force on every daemon.
    ///
    /// `binary` is the path of the daemon's executable.
    pub fn start(binary: &Path, options: FleetOptions) -> io::Result<Self> {
        let mut fleet = Self::start_without_note(binary, options)?;
        let text = notes::first_note(&fleet.targets.targets, &fleet.options);
        let number = fleet.notes.release(&text)?;
        fleet.wait_for_note(number)?;
        Ok(fleet)
    }

    /// Starts the stand-ins and daemons without a note, so that the daemons
    /// have no configuration yet.
    pub fn start_without_note(binary: &Path, options: FleetOptions) -> io::Result<Self> {
        let platform = platform_standin::start(PlatformOptions {
            host_lag_ms: options.host_lag_ms,
            ..PlatformOptions::default()
        })?;
        let targets = target_standin::start(TargetOptions {
            count: TargetCount(options.targets),
            slots: options.slots,
            seed: options.seed,
            ..TargetOptions::default()
        })?;
        let dir = scratch_dir("fleet")?;
        let daemons = start_daemons(binary, &dir, platform.platform, &options)?;
        let notes = NoteWriter::new(platform.platform);
        Ok(Self {
            daemons,
            platform,
            targets,
            notes,
            options,
            dir,
        })
    }

    /// Returns the addresses of all daemons for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.callers).collect()
    }

    /// Waits until every running daemon serves with this note or a later one in
    /// force.
    pub fn wait_for_note(&self, number: NoteNumber) -> io::Result<()> {
        wait_until("every daemon to serve with the released note", || {
            self.daemons.iter().all(|daemon| {
                !daemon.is_running()
                    || daemon.status().is_some_and(|status| {
                        status.head.is_some_and(|head| head.number >= number.0)
                            && status.state == agatehold_wire::admin::HostState::Serving
                    })
            })
        })
    }

    /// Returns the options of a caller that is configured with all daemons.
    pub fn caller_options(&self, name: &str) -> io::Result<CallerOptions> {
        let invalid = |error: ParseIdError| io::Error::other(error.to_string());
        let service = "certificates".parse().map_err(invalid)?;
        let tenant = "exporter".parse().map_err(invalid)?;
        let mut options = CallerOptions::new(self.caller_addresses(), service, tenant);
        options.name = name.into();
        Ok(options)
    }

    /// Sends a request to the control port of the targets, for instance to
    /// inject faults.
    pub fn control_targets(&self, value: &Value) -> io::Result<()> {
        post_control(self.targets.control, value).map_err(io::Error::other)
    }

    /// Sends a request to the control port of the platform, for instance to
    /// inject faults.
    pub fn control_platform(&self, value: &Value) -> io::Result<()> {
        post_control(self.platform.control, value).map_err(io::Error::other)
    }

    /// Returns the runs that the targets recorded.
    pub fn runs(&self) -> io::Result<Vec<RunRecord>> {
        let answer = get_control(self.targets.control, "runs").map_err(io::Error::other)?;
        parse_runs(&answer).map_err(io::Error::other)
    }

    /// Kills the daemons, stops the stand-ins and removes the files.
    pub fn close(self) -> io::Result<()> {
        for daemon in self.daemons {
            daemon.close();
        }
        self.platform.close();
        self.targets.close();
        std::fs::remove_dir_all(self.dir)
    }
}

/// Starts the daemons and waits until all of them respond.
///
/// Another process may bind a port between its reservation and its use by a
/// daemon, which happened in one of some hundred starts. All daemons are then
/// started again with other ports.
fn start_daemons(
    binary: &Path,
    dir: &Path,
    platform: SocketAddr,
    options: &FleetOptions,
) -> io::Result<Vec<DaemonProcess>> {
    let mut log = String::new();
    for _ in 0..MAX_START_ATTEMPTS {
        let rows = ports::reserve_addresses(options.daemons)?;
        let mut daemons = Vec::new();
        for (number, row) in rows.iter().enumerate() {
            let settings = daemon::settings(&rows, number, platform, options);
            daemons.push(DaemonProcess::start(binary, dir, row, &settings)?);
        }
        wait_until("every daemon to respond or exit", || {
            daemons
                .iter()
                .all(|daemon| !daemon.is_running() || daemon.status().is_some())
        })?;
        let Some(ended) = daemons.iter().find(|daemon| !daemon.is_running()) else {
            return Ok(daemons);
        };
        log = ended.log();
        for daemon in daemons {
            daemon.close();
        }
    }
    Err(io::Error::other(format!(
        "a daemon exited during its start in each of {MAX_START_ATTEMPTS} attempts; \
         log of the last one: {log}"
    )))
}

/// Polls a condition until it holds. After 30 s it returns an error that says
/// `what` was awaited.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) -> io::Result<()> {
    let until = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < until {
        if holds() {
            return Ok(());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Err(io::Error::new(
        io::ErrorKind::TimedOut,
        format!("timed out after {WAIT_TIMEOUT:?} waiting for {what}"),
    ))
}

//! A fleet of daemon processes with stand-ins around it.
//!
//! Everything runs on loopback with ports that the system chose, and every
//! process is ended by its id.

mod daemon;
mod notes;
mod ports;
mod views;

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
use crate::common::read_control;
use crate::common::switch_control;
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

/// How long a condition is waited for before the test fails. It bounds a hang
/// and is no measure of speed.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// How often the daemons of a fleet are started.
const START_TRIES: u32 = 3;

/// The pause between two looks at a condition.
const WAIT_PAUSE: Duration = Duration::from_millis(20);

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetOptions {
    /// The number of daemons; host `n` is in failure domain `n` modulo 3.
    pub daemons: usize,
    /// The number of targets of the service `certificates`.
    pub targets: u32,
    /// The slots of each target.
    pub slots: SlotCount,
    /// The floor of the service.
    pub floor: TargetCount,
    /// The seed of the stand-ins.
    pub seed: u64,
    /// How long the platform's host list lags.
    pub host_lag_ms: DurationMs,
    /// How long callers keep an address answer.
    pub address_ttl_ms: DurationMs,
    /// How long a stopping daemon waits for further connections.
    pub quiet_ms: DurationMs,
    /// Further lines of the daemons' section `[limits]`, each with its end.
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

/// A fleet that runs.
#[derive(Debug)]
pub struct Fleet {
    /// The daemons by number.
    pub daemons: Vec<DaemonProcess>,
    /// The platform stand-in.
    pub platform: RunningPlatform,
    /// The target stand-ins.
    pub targets: RunningTargets,
    /// Releases notes.
    pub notes: NoteWriter,
    options: FleetOptions,
    dir: PathBuf,
}

impl Fleet {
    /// Starts stand-ins and daemons, releases the first note, and waits until
    /// it is in force on every daemon.
    ///
    /// `binary` is the daemon's program.
    pub fn start(binary: &Path, options: FleetOptions) -> io::Result<Self> {
        let mut fleet = Self::start_without_note(binary, options)?;
        let text = notes::first_note(&fleet.targets.targets, &fleet.options);
        let number = fleet.notes.release(&text)?;
        fleet.wait_for_note(number)?;
        Ok(fleet)
    }

    /// Starts stand-ins and daemons.
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

    /// Returns the callers' addresses of the daemons.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.callers).collect()
    }

    /// Waits until every running daemon has the note in force and serves.
    pub fn wait_for_note(&self, number: NoteNumber) -> io::Result<()> {
        wait_until("a note in force on every daemon", || {
            self.daemons.iter().all(|daemon| {
                !daemon.is_running()
                    || daemon.status().is_some_and(|status| {
                        status.head.is_some_and(|head| head.number >= number.0)
                            && status.state == agatehold_wire::admin::HostState::Serving
                    })
            })
        })
    }

    /// Returns the options of a caller that knows every daemon.
    pub fn caller(&self, name: &str) -> io::Result<CallerOptions> {
        let invalid = |error: ParseIdError| io::Error::other(error.to_string());
        let service = "certificates".parse().map_err(invalid)?;
        let tenant = "exporter".parse().map_err(invalid)?;
        let mut options = CallerOptions::new(self.callers(), service, tenant);
        options.name = name.into();
        Ok(options)
    }

    /// Switches faults of the targets.
    pub fn switch_targets(&self, value: &Value) -> io::Result<()> {
        switch_control(self.targets.control, value).map_err(io::Error::other)
    }

    /// Switches faults of the platform.
    pub fn switch_platform(&self, value: &Value) -> io::Result<()> {
        switch_control(self.platform.control, value).map_err(io::Error::other)
    }

    /// Returns the targets' own records of what they ran.
    pub fn runs(&self) -> io::Result<Vec<RunRecord>> {
        let answer = read_control(self.targets.control, "runs").map_err(io::Error::other)?;
        parse_runs(&answer).map_err(io::Error::other)
    }

    /// Ends every process and stand-in and removes the files.
    pub fn close(self) -> io::Result<()> {
        for daemon in self.daemons {
            daemon.close();
        }
        self.platform.close();
        self.targets.close();
        std::fs::remove_dir_all(self.dir)
    }
}

/// Starts the daemons and waits until all of them answer.
///
/// A port may be taken between its reservation and its use, which happened in
/// one of some hundred starts; then all daemons start again on other ports.
fn start_daemons(
    binary: &Path,
    dir: &Path,
    platform: SocketAddr,
    options: &FleetOptions,
) -> io::Result<Vec<DaemonProcess>> {
    let mut log = String::new();
    for _ in 0..START_TRIES {
        let rows = ports::reserve(options.daemons)?;
        let mut daemons = Vec::new();
        for (number, row) in rows.iter().enumerate() {
            let settings = daemon::settings(&rows, number, platform, options);
            daemons.push(DaemonProcess::start(binary, dir, row, &settings)?);
        }
        wait_until("every daemon to answer or end", || {
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
    Err(io::Error::other(format!("a daemon does not start: {log}")))
}

/// Waits until a condition holds, or fails after the wait limit.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) -> io::Result<()> {
    let until = Instant::now() + WAIT_LIMIT;
    while Instant::now() < until {
        if holds() {
            return Ok(());
        }
        std::thread::sleep(WAIT_PAUSE);
    }
    Err(io::Error::new(
        io::ErrorKind::TimedOut,
        format!("waited in vain for {what}"),
    ))
}

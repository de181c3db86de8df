//! A daemon process of a fleet.

use std::fmt::Write as _;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use oxhttp::Client;
use oxhttp::model::Body;
use oxhttp::model::Request;

use agatehold_core::ids::HostId;
use agatehold_core::ids::ParseIdError;
use agatehold_wire::admin::StatusAnswer;

use crate::common::ChildProcess;

use super::FleetOptions;
use super::ports::DaemonAddresses;

/// The timeout of a request to the admin address.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// The admin token of every daemon of a fleet.
pub const ADMIN_TOKEN: &str = "token-of-the-test-fleet";

/// The secret that the daemons of a fleet share.
pub const PEER_SECRET: &str = "secret-of-the-test-fleet";

/// A signal to a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGKILL, kills the process immediately.
    Kill,
    /// SIGTERM, begins a graceful stop.
    Term,
    /// SIGSTOP, suspends the process.
    Stop,
    /// SIGCONT, resumes a suspended process.
    Continue,
}

/// A daemon process.
#[derive(Debug)]
pub struct DaemonProcess {
    /// The id of the daemon's host.
    pub host: HostId,
    /// The listen address for callers.
    pub callers: SocketAddr,
    /// The listen address for other daemons.
    pub peers: SocketAddr,
    /// The listen address for operators.
    pub admin: SocketAddr,
    binary: PathBuf,
    settings_file: PathBuf,
    log_file: PathBuf,
    program: ChildProcess,
}

/// Returns the text of the settings file of daemon `number`.
pub(super) fn settings(
    rows: &[DaemonAddresses],
    number: usize,
    platform: SocketAddr,
    options: &FleetOptions,
) -> String {
    let row = &rows[number];
    let mut text = format!(
        "[host]\nid = host-{number}\nfailure_domain = domain-{}\n\n\
         [listen]\ncallers = {}\npeers = {}\nadmin = {}\n\n\
         [platform]\naddress = {platform}\n\n\
         [admin]\ntoken = {ADMIN_TOKEN}\n\n\
         [limits]\naddress_ttl_ms = {}\nquiet_ms = {}\n{}\n\
         [peers]\nsecret = {PEER_SECRET}\n",
        number % 3,
        row.callers,
        row.peers,
        row.admin,
        options.address_ttl_ms.0,
        options.quiet_ms.0,
        options.limits,
    );
    for row in rows {
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "host.host-{} = domain-{} {} {}",
            row.number,
            row.number % 3,
            row.peers,
            row.callers
        );
    }
    text
}

impl DaemonProcess {
    /// Writes the settings file and starts the process.
    pub(super) fn start(
        binary: &Path,
        dir: &Path,
        row: &DaemonAddresses,
        settings: &str,
    ) -> io::Result<Self> {
        let number = row.number;
        let settings_file = dir.join(format!("host-{number}.ini"));
        std::fs::write(&settings_file, settings)?;
        let host = format!("host-{number}")
            .parse()
            .map_err(|error: ParseIdError| io::Error::other(error.to_string()))?;
        let daemon = Self {
            host,
            callers: row.callers,
            peers: row.peers,
            admin: row.admin,
            binary: binary.to_owned(),
            settings_file,
            log_file: dir.join(format!("host-{number}.log")),
            program: ChildProcess::default(),
        };
        daemon.restart()?;
        Ok(daemon)
    }

    /// Starts the process again after it has exited.
    pub fn restart(&self) -> io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_file)?;
        let mut command = Command::new(&self.binary);
        command
            .arg("--settings")
            .arg(&self.settings_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        self.program.start(&mut command)
    }

    /// Returns the process id; `None` after the process was waited for.
    pub fn process_id(&self) -> Option<u32> {
        self.program.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let signal = match signal {
            Signal::Kill => rustix::process::Signal::KILL,
            Signal::Term => rustix::process::Signal::TERM,
            Signal::Stop => rustix::process::Signal::STOP,
            Signal::Continue => rustix::process::Signal::CONT,
        };
        self.program.signal(signal)
    }

    /// Waits until the process exits; returns `None` if there is none.
    pub fn wait(&self) -> io::Result<Option<ExitStatus>> {
        self.program.wait()
    }

    /// Returns whether the process was started and has not exited.
    pub fn is_running(&self) -> bool {
        self.program.id().is_some() && matches!(self.program.ended(), Ok(None))
    }

    /// Returns the status from the admin address; `None` if the request fails.
    pub fn status(&self) -> Option<StatusAnswer> {
        serde_json::from_slice(&self.read_admin("/v1/status")?).ok()
    }

    /// Returns the response body of a GET request to the admin address; `None`
    /// if there is no response.
    pub fn read_admin(&self, path: &str) -> Option<Vec<u8>> {
        let client = Client::new().with_global_timeout(ADMIN_TIMEOUT);
        let request = Request::get(format!("http://{}{path}", self.admin))
            .body(Body::empty())
            .ok()?;
        client.request(request).ok()?.into_body().to_vec().ok()
    }

    /// Returns the content of the daemon's log file.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_file).unwrap_or_default()
    }

    /// Kills the process.
    pub fn close(self) {
        self.program.end();
    }
}

//! Test doubles: simulated admin addresses of a fleet, a platform, and a runner for
//! the tool.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::AUTHORIZATION;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime::Builder;

use agatehold_core::note::NoteHeader;
use agatehold_core::note::verify_descendant;
use agatehold_testing::common::CloseReason;
use agatehold_testing::common::HandlerResult;
use agatehold_testing::common::json_response;
use agatehold_testing::common::serve;
use agatehold_testing::common::text_response;
use agatehold_testing::platform_standin;
use agatehold_testing::platform_standin::PlatformOptions;
use agatehold_testing::platform_standin::RunningPlatform;
use agatehold_wire::admin::HeadJson;
use agatehold_wire::admin::decode_notes;

pub(crate) const TOKEN: &str = "token-of-the-test-fleet";

/// The state of a simulated daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct DaemonState {
    pub(crate) head: Option<HeadJson>,
    /// Whether the daemon refuses all notes, both pushed and gossiped.
    pub(crate) frozen: bool,
    pub(crate) isolated: bool,
}

/// The simulated daemons, and a host that is known from gossip only.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) daemons: Vec<DaemonState>,
    /// The note in force on a host known from gossip only, if there is one.
    pub(crate) gossiped_note: Option<u64>,
    /// The number of pushes received that could be decoded.
    pub(crate) pushes: usize,
}

pub(crate) type SharedFleet = Arc<Mutex<Fleet>>;

/// A platform, a fleet and a directory for the tool's files.
pub(crate) struct Setup {
    pub(crate) platform: RunningPlatform,
    pub(crate) fleet: SharedFleet,
    pub(crate) folder: PathBuf,
    pub(crate) admin: Vec<SocketAddr>,
}

/// Starts a platform and `daemons` simulated daemons.
pub(crate) fn start(name: &str, daemons: usize) -> Setup {
    let platform = platform_standin::start(PlatformOptions::default()).expect("a free port");
    let fleet = SharedFleet::default();
    let mut admin = Vec::new();
    for index in 0..daemons {
        fleet.lock().unwrap().daemons.push(DaemonState::default());
        let fleet = Arc::clone(&fleet);
        admin.push(listen(move |request| answer(&fleet, index, &request)));
    }
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&folder).unwrap();
    let setup = Setup {
        platform,
        fleet,
        folder,
        admin,
    };
    setup.write_settings(setup.platform.platform, 1_000);
    setup
}

/// Serves requests with `handle` on a free port until the test process ends.
pub(crate) fn listen(
    handle: impl Fn(Request<Bytes>) -> HandlerResult + Clone + Send + Sync + 'static,
) -> SocketAddr {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        runtime.block_on(serve(listener, move |request| {
            let reply = handle(request);
            async { reply }
        }));
    });
    address
}

impl Setup {
    /// Writes a settings file for the platform at `platform`. The time limit of a
    /// release is 15 times `timeout_ms`.
    pub(crate) fn write_settings(&self, platform: SocketAddr, timeout_ms: u64) {
        let admin: Vec<String> = self
            .admin
            .iter()
            .map(|address| address.to_string())
            .collect();
        let text = format!(
            "[platform]\naddress = {platform}\ntimeout_ms = {timeout_ms}\n[fleet]\nadmin = {}\ntoken = {TOKEN}\nauthor = ana\n",
            admin.join(", ")
        );
        fs::write(self.folder.join("settings.ini"), text).unwrap();
    }

    /// Writes a note file and returns its path.
    pub(crate) fn note(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        fs::write(&path, text).unwrap();
        path.to_string_lossy().into_owned()
    }

    /// Runs the tool.
    pub(crate) fn run(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_agateholdctl"))
            .arg("--settings")
            .arg(self.folder.join("settings.ini"))
            .args(arguments)
            .output()
            .unwrap()
    }

    /// Runs the tool with `--json`; returns its exit code and JSON output.
    pub(crate) fn run_json(&self, arguments: &[&str]) -> (i32, Value) {
        let output = self.run(&[arguments, &["--json"]].concat());
        let text = String::from_utf8(output.stdout).unwrap();
        let errors = String::from_utf8(output.stderr).unwrap();
        let value = serde_json::from_str(&text).unwrap_or_else(|_| panic!("{text}{errors}"));
        (output.status.code().unwrap(), value)
    }
}

fn answer(fleet: &SharedFleet, index: usize, request: &Request<Bytes>) -> HandlerResult {
    let mut fleet = fleet.lock().map_err(|_| CloseReason::Stopped)?;
    if request.method() == Method::POST {
        let bearer = format!("Bearer {TOKEN}");
        if request
            .headers()
            .get(AUTHORIZATION)
            .is_none_or(|value| *value != *bearer)
        {
            return Ok(text_response(StatusCode::UNAUTHORIZED, "wrong token"));
        }
    }
    Ok(match request.uri().path() {
        "/v1/status" => json_response(&status(&fleet, index)),
        "/v1/hosts" => json_response(&hosts(&fleet)),
        "/v1/targets" => json_response(&json!({"targets": [{
            "name": "t1", "service": "s", "address": "192.0.2.1:80", "failure_domain": "z1",
            "state": "serving", "rank": "avoided", "in_flight": 1, "slots": 4,
            "reported_in_flight": 3, "reported_age_ms": 20, "evidence": 2.5, "median_ms": null,
        }]})),
        "/v1/ejections" => json_response(&json!({
            "ejections": [{"target": "t1", "service": "s", "state": "ejected", "age_ms": 5, "confirmed_age_ms": 1}],
            "services": [{"service": "s", "floor": 1, "healthy": 2, "permits": 1}],
        })),
        "/v1/drain" => json_response(&json!({"state": "leaving", "in_flight": 2})),
        "/v1/notes" => json_response(&take_notes(&mut fleet, index, request.body())),
        _ => text_response(StatusCode::NOT_FOUND, ""),
    })
}

fn host(index: usize) -> String {
    format!("entry-{index}")
}

fn status(fleet: &Fleet, index: usize) -> Value {
    let row = &fleet.daemons[index];
    json!({
        "host": host(index), "failure_domain": format!("z{}", index % 3),
        "incarnation": "0000000000000001", "version": "0.1.0", "state": "serving",
        "isolated": row.isolated, "head": row.head, "head_confirmed_age_ms": 100,
        "platform": "reachable", "known_hosts": 3, "reached_hosts": 3, "in_flight": 0,
        "uptime_ms": 1000,
    })
}

fn hosts(fleet: &Fleet) -> Value {
    let mut hosts = Vec::new();
    let notes = fleet
        .daemons
        .iter()
        .map(|row| row.head.map_or(0, |head| head.number));
    for (index, note) in notes.chain(fleet.gossiped_note).enumerate() {
        hosts.push(json!({
            "id": host(index), "failure_domain": "z1", "incarnation": "0000000000000001",
            "state": "serving", "note": note, "heartbeat_age_ms": 10,
            "peers": null, "callers": "192.0.2.1:7900",
        }));
    }
    json!({"hosts": hosts})
}

/// Handles pushed notes, and copies them to all daemons that are not frozen, as
/// gossip would. Unlike a daemon, it also refuses notes that are already in force.
fn take_notes(fleet: &mut Fleet, index: usize, body: &Bytes) -> Value {
    let Ok(notes) = decode_notes(body) else {
        return json!({"verdict": "refused", "reason": "malformed", "head": null});
    };
    fleet.pushes += 1;
    let headers: Vec<NoteHeader> = notes.into_iter().map(|note| note.header).collect();
    let row = &fleet.daemons[index];
    let held = row
        .head
        .map(agatehold_core::note::HeadRecord::from)
        .unwrap_or_default()
        .head;
    let verdict = verify_descendant(held, &headers);
    let (Ok(_), false, Some(last)) = (&verdict, row.frozen, headers.last()) else {
        let reason = format!("{verdict:?}");
        return json!({"verdict": "refused", "reason": reason, "head": row.head});
    };
    let head = HeadJson::from(last.record());
    for row in &mut fleet.daemons {
        if !row.frozen {
            row.head = Some(head);
        }
    }
    json!({"verdict": "taken", "reason": null, "head": head})
}

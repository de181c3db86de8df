//! Tests the command line, the admin address and the peer authentication of the
//! daemon.

#![expect(clippy::unwrap_used, reason = "a failed setup fails the test")]

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use oxhttp::Client;
use oxhttp::model::Body;
use oxhttp::model::Request;
use serde_json::json;
use tonic::Code;
use tonic::transport::Endpoint;

use agatehold_core::ids::HostId;
use agatehold_core::ids::Incarnation;
use agatehold_testing::caller;
use agatehold_testing::caller::CallerOptions;
use agatehold_testing::caller::KeyMode;
use agatehold_testing::common::post_control;
use agatehold_testing::fleet::ADMIN_TOKEN;
use agatehold_testing::fleet::DaemonProcess;
use agatehold_testing::fleet::Fleet;
use agatehold_testing::fleet::FleetOptions;
use agatehold_testing::fleet::PEER_SECRET;
use agatehold_testing::fleet::Signal;
use agatehold_testing::fleet::wait_until;
use agatehold_wire::admin::HostState;
use agatehold_wire::generated::Envelope;
use agatehold_wire::generated::peers_client::PeersClient;
use agatehold_wire::peers::EnvelopeHeader;
use agatehold_wire::peers::Method;
use agatehold_wire::peers::PeerKey;
use agatehold_wire::peers::seal;

const SECRET: &str = "secret-that-nobody-may-see";

const TOKEN: &str = "token-that-nobody-may-see";

/// The exit code and output of a run of the daemon.
struct RunResult {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

fn run(arguments: &[&str]) -> RunResult {
    let output = Command::new(env!("CARGO_BIN_EXE_agatehold"))
        .args(arguments)
        .output()
        .unwrap();
    RunResult {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Writes a settings file used by one test only.
fn write_settings(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn valid_settings(callers: SocketAddr) -> String {
    format!(
        "[host]\nid = entry-01\nfailure_domain = bog-1\n\
         [listen]\ncallers = {callers}\npeers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
         [platform]\naddress = 127.0.0.1:1\n\
         [peers]\nsecret = {SECRET}\n[admin]\ntoken = {TOKEN}\n"
    )
}

fn start(daemons: usize) -> Fleet {
    let binary = Path::new(env!("CARGO_BIN_EXE_agatehold"));
    let options = FleetOptions {
        daemons,
        ..FleetOptions::default()
    };
    Fleet::start(binary, options).unwrap()
}

/// Sends a POST request to the admin address; returns the status and body.
fn post(daemon: &DaemonProcess, path: &str, token: Option<&str>, body: &str) -> (u16, String) {
    let mut request = Request::post(format!("http://{}{path}", daemon.admin));
    if let Some(token) = token {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    let request = request.body(Body::from(body.to_owned())).unwrap();
    let response = Client::new().request(request).unwrap();
    let status = response.status().as_u16();
    (status, response.into_body().to_string().unwrap())
}

/// Authors of scripts rely on the help text, so it must list every option and exit
/// code.
#[test]
fn help_names_every_option_and_exit_code() {
    for flag in ["--help", "-h"] {
        let result = run(&[flag]);
        assert_eq!(result.code, Some(0));
        assert_eq!(result.stderr, "");
        for part in ["--settings FILE", "--check", "--help", "--version"] {
            assert!(result.stdout.contains(part), "{part}: {}", result.stdout);
        }
        for code in ["  0  ", "  1  ", "  2  ", "  3  ", "  7  "] {
            assert!(result.stdout.contains(code), "{code}: {}", result.stdout);
        }
    }
}

/// Scripts that parse the version break if its format changes.
#[test]
fn version_is_one_line() {
    let result = run(&["--version"]);
    let expected = format!("agatehold {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!((result.code, result.stdout), (Some(0), expected));
    assert_eq!(result.stderr, "");
}

/// If a mistyped option were ignored, a daemon would start that the operator did not
/// intend.
#[test]
fn wrong_usage_ends_with_2_and_shows_the_usage() {
    let wrong: [&[&str]; 6] = [
        &[],
        &["--check"],
        &["--settings"],
        &["--sttings", "daemon.ini"],
        &["--settings", "daemon.ini", "--chek"],
        &["--settings", "daemon.ini", "start"],
    ];
    for arguments in wrong {
        let result = run(arguments);
        assert_eq!(result.code, Some(2), "{arguments:?}");
        assert_eq!(result.stdout, "", "{arguments:?}");
        assert!(
            result.stderr.starts_with("agatehold: "),
            "{}",
            result.stderr
        );
        assert!(result.stderr.contains("Usage:"), "{}", result.stderr);
    }
    let result = run(&["--settings", "daemon.ini", "--chek"]);
    assert!(result.stderr.contains("--chek"), "{}", result.stderr);
}

/// The check must accept the example settings, and must not bind any address, so that
/// it can run on a host where a daemon is serving.
#[test]
fn check_accepts_the_example() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/daemon.ini");
    let result = run(&["--settings", example, "--check"]);
    assert_eq!(result.code, Some(0), "{}", result.stderr);
    assert_eq!(
        result.stdout,
        format!("{example}: the settings are valid\n")
    );
    assert_eq!(result.stderr, "");
}

/// The check must accept the example of the gateway mode, and must name the bound that
/// is invalid so that the operator can find it.
#[test]
fn check_accepts_the_gateway_example_and_names_invalid_bounds() {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/gateway.ini");
    let arguments = [
        "--gateway",
        "--settings",
        example.to_str().unwrap(),
        "--check",
    ];
    let result = run(&arguments);
    assert_eq!(result.code, Some(0), "{}", result.stderr);
    let text = std::fs::read_to_string(&example).unwrap();
    let broken = write_settings("broken-bounds", &text.replace("\"10s\"", "\"soon\""));
    let result = run(&[
        "--gateway",
        "--settings",
        broken.to_str().unwrap(),
        "--check",
    ]);
    assert_eq!(result.code, Some(3));
    assert!(
        result
            .stderr
            .contains("[platform] bounds: field retry_window: expected a number"),
        "{}",
        result.stderr
    );
}

/// Without --settings and without a path from the platform there is no settings file,
/// and the operator must see how to name one.
#[test]
fn a_gateway_without_settings_shows_the_usage() {
    let output = Command::new(env!("CARGO_BIN_EXE_agatehold"))
        .arg("--gateway")
        .env_clear()
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("--gateway [--settings FILE]"), "{text}");
}

/// The check and a start must report all errors at once, each with its line, so that
/// the operator does not have to restart once per error. Secrets must not be printed.
#[test]
fn check_prints_every_error_with_its_place() {
    let text = "\
[host]
id = Entry_01
[listen]
callers = 0.0.0.0:7900
peers = 127.0.0.1:7901
[platform]
address = platform.example:7800
timeout_ms = 0
[peers]
secret = too-short-1
host.entry-02 = bog-2 127.0.0.1:7901
[admin]
token = too-short-2
tokn = value-of-a-mistyped-key
[limits]
traffic_threads = 65
colour = red
[log]
level = loud
[logs]
";
    let path = write_settings("errors.ini", text);
    let file = path.to_str().unwrap();
    let expected = [
        ":1: [host] failure_domain: the key is missing",
        ":2: [host] id = Entry_01: expected ",
        ":4: [listen] callers = 0.0.0.0:7900: expected IP:port with an address that others can connect to",
        ":7: [platform] address = platform.example:7800: expected IP:port of another process",
        ":8: [platform] timeout_ms = 0: expected milliseconds from 1 to 3600000",
        ":10: [peers] secret: expected at least 16 characters",
        ":11: [peers] host.entry-02 = bog-2 127.0.0.1:7901: expected FAILURE-DOMAIN PEERS-IP:PORT CALLERS-IP:PORT",
        ":13: [admin] token: expected at least 16 characters",
        ":14: [admin] tokn: unknown key, expected token",
        ":16: [limits] traffic_threads = 65: expected a number of threads from 1 to 64",
        ":17: [limits] colour: unknown key, expected ",
        ":19: [log] level = loud: expected error, warn, info or debug",
        ":20: [logs]: unknown section, expected host, listen, platform, peers, admin, limits, log",
    ];
    // A start without --check reports the same errors, before it binds an address.
    for arguments in [
        &["--settings", file, "--check"][..],
        &["--settings", file][..],
    ] {
        let result = run(arguments);
        assert_eq!(result.code, Some(3), "{}", result.stderr);
        assert_eq!(result.stdout, "");
        let lines: Vec<&str> = result.stderr.lines().collect();
        assert_eq!(lines.len(), expected.len(), "{}", result.stderr);
        for (line, end) in lines.iter().zip(expected) {
            let start = format!("{file}{end}");
            assert!(line.starts_with(&start), "{line}\n{start}");
        }
        for hidden in ["too-short-1", "too-short-2", "value-of-a-mistyped-key"] {
            assert!(!result.stderr.contains(hidden), "{}", result.stderr);
        }
    }
}

/// A settings file that can't be read must end the start like invalid settings do.
#[test]
fn a_missing_settings_file_ends_with_3() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("no-such-file.ini");
    for check in [true, false] {
        let mut arguments = vec!["--settings", path.to_str().unwrap()];
        if check {
            arguments.push("--check");
        }
        let result = run(&arguments);
        assert_eq!(result.code, Some(3));
        assert_eq!(result.stdout, "");
        assert!(
            result.stderr.contains("no-such-file.ini"),
            "{}",
            result.stderr
        );
    }
}

/// A daemon that kept running without its caller address would be listed to callers
/// but refuse all their connections.
#[test]
fn a_taken_address_ends_with_1_and_names_the_key() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let text = valid_settings(taken.local_addr().unwrap());
    let path = write_settings("taken.ini", &text);
    let result = run(&["--settings", path.to_str().unwrap()]);
    assert_eq!(result.code, Some(1), "{}", result.stderr);
    assert!(
        result.stderr.contains("[listen] callers"),
        "{}",
        result.stderr
    );
    for hidden in [SECRET, TOKEN] {
        assert!(!result.stderr.contains(hidden), "{}", result.stderr);
    }
}

/// A secret in a log line or in an admin response would let its readers change the
/// fleet.
#[test]
fn no_page_and_no_log_line_shows_a_secret() {
    let fleet = start(2);
    let daemon = &fleet.daemons[0];
    post(
        daemon,
        "/v1/notes",
        Some("a-wrong-token-of-a-stranger"),
        "[]",
    );
    let pages = [
        "/metrics",
        "/v1/status",
        "/v1/hosts",
        "/v1/targets",
        "/v1/ejections",
        "/v1/no-such-page",
    ];
    let mut shown = daemon.log();
    assert!(shown.contains("daemon started"), "{shown}");
    for page in pages {
        let body = daemon.read_admin(page).unwrap();
        shown.push_str(&String::from_utf8(body).unwrap());
    }
    for hidden in [PEER_SECRET, ADMIN_TOKEN, "a-wrong-token-of-a-stranger"] {
        assert!(!shown.contains(hidden), "{hidden}");
    }
    fleet.close().unwrap();
}

/// If a change needed no token or accepted a wrong one, anyone who can reach the admin
/// address could stop the fleet or release a note.
#[test]
fn changes_need_the_token() {
    let fleet = start(1);
    let daemon = &fleet.daemons[0];
    let longer = format!("{ADMIN_TOKEN}x");
    let shorter = &ADMIN_TOKEN[..ADMIN_TOKEN.len() - 1];
    let wrong = [
        None,
        Some(""),
        Some(shorter),
        Some(&longer),
        Some(PEER_SECRET),
    ];
    for path in ["/v1/drain", "/v1/notes"] {
        for token in wrong {
            let (status, body) = post(daemon, path, token, "[]");
            assert_eq!(status, 401, "{path} {token:?}");
            assert_eq!(body, r#"{"error":"the token is missing or wrong"}"#);
        }
    }
    let status = daemon.status().unwrap();
    assert_eq!(
        status.state,
        HostState::Serving,
        "a refused drain request must not start a stop"
    );
    assert_eq!(status.head.unwrap().number, 1);

    let (status, _) = post(daemon, "/v1/status", Some(ADMIN_TOKEN), "");
    assert_eq!(status, 405);
    let (status, _) = post(daemon, "/v1/no-such-page", Some(ADMIN_TOKEN), "");
    assert_eq!(status, 404);
    let (status, body) = post(daemon, "/v1/notes", Some(ADMIN_TOKEN), "no json");
    assert_eq!(status, 400, "{body}");
    let (status, body) = post(daemon, "/v1/drain", Some(ADMIN_TOKEN), "");
    assert_eq!(status, 200, "{body}");
    let exit = daemon.wait().unwrap().unwrap();
    assert_eq!(exit.code(), Some(0), "{}", daemon.log());
    fleet.close().unwrap();
}

/// Sends an exchange to a daemon and returns the gRPC status code.
fn exchange(daemon: &DaemonProcess, secret: &str, receiver: &HostId) -> Code {
    let key = PeerKey::new(secret).unwrap();
    let header = EnvelopeHeader {
        sender: "host-9".parse().unwrap(),
        receiver: receiver.clone(),
        incarnation: Incarnation(1),
        sequence: 1,
        answers: None,
    };
    let envelope = seal(&key, Method::Exchange, &header, Vec::new());
    send(daemon, envelope)
}

fn send(daemon: &DaemonProcess, envelope: Envelope) -> Code {
    let endpoint = Endpoint::from_shared(format!("http://{}", daemon.peers)).unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let mut client = PeersClient::new(endpoint.connect().await.unwrap());
        match client.exchange(envelope).await {
            Ok(_) => Code::Ok,
            Err(status) => status.code(),
        }
    })
}

fn refused_envelopes(daemon: &DaemonProcess) -> u64 {
    let page = String::from_utf8(daemon.read_admin("/metrics").unwrap()).unwrap();
    let value = page
        .lines()
        .find_map(|line| line.strip_prefix("agatehold_envelopes_refused_total "));
    value.map_or(0, |value| value.parse().unwrap())
}

/// A sender without the secret could inject a note, an ejection or a host if its
/// message were accepted. Refused messages are counted so that operators notice them.
#[test]
fn an_unauthenticated_peer_message_is_refused_and_counted() {
    let fleet = start(1);
    let daemon = &fleet.daemons[0];
    assert_eq!(refused_envelopes(daemon), 0);
    let code = exchange(daemon, "secret-of-a-stranger", &daemon.host);
    assert_eq!(code, Code::PermissionDenied);
    assert_eq!(refused_envelopes(daemon), 1);
    // A replayed message that was sealed for another host.
    let other = "host-8".parse().unwrap();
    let code = exchange(daemon, PEER_SECRET, &other);
    assert_eq!(code, Code::PermissionDenied);
    assert_eq!(refused_envelopes(daemon), 2);
    let code = send(daemon, Envelope::default());
    assert_eq!(code, Code::PermissionDenied);
    assert_eq!(refused_envelopes(daemon), 3);
    let hosts = String::from_utf8(daemon.read_admin("/v1/hosts").unwrap()).unwrap();
    assert!(!hosts.contains("host-9"), "{hosts}");
    fleet.close().unwrap();
}

/// If a stop that aborted requests reported success, the lost requests would go
/// unnoticed.
#[test]
fn a_forced_stop_ends_with_7_and_a_planned_one_with_0() {
    let fleet = start(2);
    fleet.daemons[1].signal(Signal::Term).unwrap();
    let exit = fleet.daemons[1].wait().unwrap().unwrap();
    assert_eq!(exit.code(), Some(0), "{}", fleet.daemons[1].log());

    let daemon = &fleet.daemons[0];
    let control = fleet.targets.control;
    post_control(control, &json!({ "set": { "hang": true } })).unwrap();
    let service = "certificates".parse().unwrap();
    let tenant = "exporter".parse().unwrap();
    let mut options = CallerOptions::new(vec![daemon.callers], service, tenant);
    options.shape.method = http::Method::GET;
    options.shape.keys = KeyMode::None;
    options.shape.is_non_idempotent = false;
    options.fetches_addresses = false;
    options.attempts = 1;
    let running = caller::start(options).unwrap();
    wait_until("a request in flight", || {
        daemon.status().is_some_and(|status| status.in_flight == 1)
    })
    .unwrap();
    daemon.signal(Signal::Term).unwrap();
    wait_until("the planned stop", || {
        daemon
            .status()
            .is_some_and(|status| status.state == HostState::Leaving)
    })
    .unwrap();
    daemon.signal(Signal::Term).unwrap();
    let exit = daemon.wait().unwrap().unwrap();
    assert_eq!(exit.code(), Some(7), "{}", daemon.log());
    assert!(daemon.log().contains("forced stop cut requests: count=1"));
    let records = running.join();
    assert!(!records[0].is_success(), "{records:?}");
    fleet.close().unwrap();
}

//! Tests the parsing of the settings files of the daemon and of `agateholdctl`.

use agatehold_core::units::DurationMs;
use agatehold_settings::error::SettingsError;
use agatehold_settings::process::LogLevel;
use agatehold_settings::process::ThreadCount;
use agatehold_settings::process::parse_daemon;
use agatehold_settings::process::parse_operator;

const DAEMON: &str = "\
[host]
id = entry-01
failure_domain = bog-1
[listen]
callers = 192.0.2.1:7900
peers = 192.0.2.1:7901
[platform]
address = 192.0.2.100:7800
[peers]
secret = correct-horse-battery
host.entry-01 = bog-1 192.0.2.1:7901 192.0.2.1:7900
host.entry-02 = bog-2 192.0.2.2:7901 192.0.2.2:7900
[admin]
token = staple-staple-staple
";

const OPERATOR: &str = "\
[platform]
address = 192.0.2.100:7800
timeout_ms = 250
[fleet]
admin = 192.0.2.1:7902, 192.0.2.2:7902
token = staple-staple-staple
author = ana
";

fn shown(errors: &[SettingsError]) -> Vec<String> {
    errors.iter().map(|error| error.to_string()).collect()
}

/// If a default differed from the documented one, fleets that rely on the
/// documentation would run with another value.
#[test]
fn missing_optional_keys_take_the_documented_defaults() {
    let settings = parse_daemon("d.ini", DAEMON).unwrap();
    assert_eq!(settings.listen.admin.to_string(), "127.0.0.1:7902");
    assert_eq!(settings.platform.timeout_ms, DurationMs(1_000));
    assert_eq!(settings.limits.traffic_threads, ThreadCount(2));
    assert_eq!(settings.limits.stop_limit_ms, DurationMs(60_000));
    assert_eq!(settings.log, LogLevel::Info);
    assert_eq!(settings.peers.hosts.len(), 2);
}

/// If only the first error were returned, an operator would need one run for each
/// error in the file.
#[test]
fn all_errors_are_returned_at_once_with_their_location() {
    let text = "\
stray = 1
[host]
id = Entry_01
id = entry-01
[listen]
callers = 0.0.0.0:7900
[platform]
address = localhost:7800
[pears]
[limits]
traffic_threads = 0
speed = 9
no equals sign
[host]
";
    let errors = parse_daemon("d.ini", text).unwrap_err();
    let expected = [
        "d.ini:1: expected a [section] before the first key",
        "d.ini:2: [host] failure_domain: the key is missing",
        "d.ini:3: [host] id = Entry_01: expected 1 to 63 characters of a-z, 0-9 and '-', beginning with a letter or digit",
        "d.ini:4: [host] id: duplicate key, first defined in line 3",
        "d.ini:5: [listen] peers: the key is missing",
        "d.ini:6: [listen] callers = 0.0.0.0:7900: expected IP:port with an address that others can connect to",
        "d.ini:8: [platform] address = localhost:7800: expected IP:port of another process",
        "d.ini:9: [pears]: unknown section, expected host, listen, platform, peers, admin, limits, log",
        "d.ini:11: [limits] traffic_threads = 0: expected a number of threads from 1 to 64",
        "d.ini:12: [limits] speed: unknown key, expected traffic_threads, head_bytes, body_bytes, answer_bytes, head_timeout_ms, body_timeout_ms, caller_connections, address_ttl_ms, quiet_ms, stop_limit_ms",
        "d.ini:13: [limits]: expected [section], key = value, or a comment that begins with ;",
        "d.ini:14: [host]: duplicate section, first defined in line 2",
        "d.ini: [peers] secret: the key is missing",
        "d.ini: [admin] token: the key is missing",
    ];
    assert_eq!(shown(&errors), expected);
}

/// Errors and debug output end up in logs, so neither may show a secret, even if it
/// is under a misspelt key or section or on a malformed line.
#[test]
fn secrets_are_never_shown() {
    let settings = parse_daemon("d.ini", DAEMON).unwrap();
    let debug = format!("{settings:?} {:?}", parse_operator("o.ini", OPERATOR));
    assert!(
        !debug.contains("battery") && !debug.contains("staple"),
        "{debug}"
    );
    for (from, to) in [
        ("secret = correct-horse-battery", "secret = battery"),
        ("secret = correct", "sekret = correct"),
        (
            "secret = correct-horse-battery",
            "secret correct-horse-battery",
        ),
        ("secret = correct-horse-battery", "Battery+battery="),
        ("[admin]\ntoken = staple", "[admin\ntoken = staple"),
        ("[admin]", "[amdin]"),
    ] {
        let text = DAEMON.replace(from, to);
        let errors = parse_daemon("d.ini", &text).unwrap_err();
        let shown = format!("{:?} {errors:?}", shown(&errors)).to_lowercase();
        assert!(
            !shown.contains("battery") && !shown.contains("staple"),
            "{shown}"
        );
    }
}

/// Two hosts with one address, or one host in two failure domains, would make one
/// machine count twice towards a quorum of failure domains.
#[test]
fn conflicting_known_hosts_are_refused() {
    for (from, to, expected) in [
        (
            "entry-02 = bog-2 192.0.2.2:7901",
            "entry-02 = bog-2 192.0.2.1:7901",
            "belongs to host.entry-01",
        ),
        (
            "entry-01 = bog-1",
            "entry-01 = bog-3",
            "expected the same failure domain as in [host], bog-1",
        ),
        (
            "bog-2 192.0.2.2:7901 192",
            "bog-2 192",
            "FAILURE-DOMAIN PEERS-IP:PORT CALLERS-IP:PORT",
        ),
        (
            "peers = 192.0.2.1:7901",
            "peers = 192.0.2.1:7900",
            "an address other than callers",
        ),
    ] {
        let errors = parse_daemon("d.ini", &DAEMON.replace(from, to)).unwrap_err();
        assert!(shown(&errors)[0].contains(expected), "{errors:?}");
    }
}

/// If an address were listed twice, a release to two daemons would be pushed to one
/// daemon twice and confirmed by only that one.
#[test]
fn operator_settings_list_each_daemon_once() {
    let settings = parse_operator("o.ini", OPERATOR).unwrap();
    assert_eq!(settings.fleet.admin.len(), 2);
    assert_eq!(settings.fleet.token.expose(), "staple-staple-staple");
    let text = OPERATOR.replace("192.0.2.2:7902", "192.0.2.1:7902");
    let errors = parse_operator("o.ini", &text).unwrap_err();
    assert!(
        shown(&errors)[0].ends_with("expected each address once"),
        "{errors:?}"
    );
}

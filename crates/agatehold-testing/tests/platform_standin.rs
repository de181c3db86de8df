//! Tests of the platform stand-in. If it were more lenient than the platform, it
//! would hide bugs of agatehold.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use serde_json::json;

use agatehold_core::units::DurationMs;
use agatehold_testing::common::call_platform;
use agatehold_testing::common::get_control;
use agatehold_testing::common::post_control;
use agatehold_testing::platform_standin;
use agatehold_testing::platform_standin::PlatformOptions;
use agatehold_testing::platform_standin::RunningPlatform;
use agatehold_wire::platform::LeaseId;
use agatehold_wire::platform::PlatformAnswer;
use agatehold_wire::platform::PlatformKey;
use agatehold_wire::platform::PlatformRequest;
use agatehold_wire::platform::ValueVersion;

fn start_platform() -> RunningPlatform {
    platform_standin::start(PlatformOptions::default()).expect("a free port")
}

fn call(address: SocketAddr, request: &PlatformRequest) -> PlatformAnswer {
    call_platform(address, request).expect("an answer")
}

fn key(text: &str) -> PlatformKey {
    text.parse().expect("a key")
}

fn create(name: &str, lease: Option<LeaseId>) -> PlatformRequest {
    PlatformRequest::Create {
        key: key(name),
        value: b"one".to_vec(),
        lease,
    }
}

fn swap(name: &str, version: ValueVersion, value: &[u8]) -> PlatformRequest {
    PlatformRequest::CompareAndSwap {
        key: key(name),
        version,
        value: value.to_vec(),
        lease: None,
    }
}

fn get(name: &str) -> PlatformRequest {
    PlatformRequest::Get { key: key(name) }
}

fn watch(name: &str, after: ValueVersion, wait_ms: u64) -> PlatformRequest {
    PlatformRequest::Watch {
        key: key(name),
        after,
        wait_ms: DurationMs(wait_ms),
    }
}

fn stored_version(answer: PlatformAnswer) -> ValueVersion {
    match answer {
        PlatformAnswer::Stored { version } => version,
        other => panic!("not stored: {other:?}"),
    }
}

/// A write with an outdated version must be refused, also after the key was
/// deleted and created again.
#[test]
fn compare_and_swap_refuses_old_versions() {
    let running = start_platform();
    let first = stored_version(call(running.platform, &create("a/b", None)));
    let again = call(running.platform, &create("a/b", None));
    let current = Some(first);
    assert_eq!(again, PlatformAnswer::Conflict { current });
    let second = stored_version(call(running.platform, &swap("a/b", first, b"two")));
    assert!(second > first);
    let current = Some(second);
    let stale = call(running.platform, &swap("a/b", first, b"three"));
    assert_eq!(stale, PlatformAnswer::Conflict { current });
    let delete = |version| PlatformRequest::Delete {
        key: key("a/b"),
        version,
    };
    let refused = call(running.platform, &delete(first));
    assert_eq!(refused, PlatformAnswer::Conflict { current });
    let deleted = call(running.platform, &delete(second));
    assert_eq!(deleted, PlatformAnswer::Deleted);
    let gone = call(running.platform, &swap("a/b", second, b"four"));
    assert_eq!(gone, PlatformAnswer::Conflict { current: None });
    let third = stored_version(call(running.platform, &create("a/b", None)));
    assert!(third > second);
    let listed = call(
        running.platform,
        &PlatformRequest::ListKeys {
            prefix: "a/".parse().expect("a prefix"),
        },
    );
    assert_eq!(listed, PlatformAnswer::Keys(vec![(key("a/b"), third)]));
    running.close();
}

/// A key must be deleted when its lease expires, and an expired lease can't be
/// renewed.
#[test]
fn keys_expire_with_their_leases() {
    let running = start_platform();
    let request = PlatformRequest::CreateLease {
        ttl_ms: DurationMs(2000),
    };
    let PlatformAnswer::LeaseCreated(lease) = call(running.platform, &request) else {
        panic!("no lease");
    };
    stored_version(call(running.platform, &create("a", Some(lease.clone()))));
    let renew = PlatformRequest::RenewLease { lease };
    assert_eq!(call(running.platform, &renew), PlatformAnswer::LeaseRenewed);
    while call(running.platform, &get("a")) != PlatformAnswer::Missing {
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(call(running.platform, &renew), PlatformAnswer::LeaseGone);
    running.close();
}

/// A fleet has up to 48 watches waiting at once. They must not block other
/// calls, and each must return the write that it waits for.
#[test]
fn many_watches_wait_while_calls_go_on() {
    let running = start_platform();
    let address = running.platform;
    let version = stored_version(call(address, &create("notes/head", None)));
    let unchanged = call(address, &watch("notes/head", version, 50));
    assert_eq!(unchanged, PlatformAnswer::Unchanged);
    let waiting: Vec<_> = (0..48)
        .map(|_| thread::spawn(move || call(address, &watch("notes/head", version, 30_000))))
        .collect();
    let callers: Vec<_> = (0..8)
        .map(|_| {
            thread::spawn(move || {
                for _ in 0..125 {
                    call(address, &get("notes/head"));
                }
            })
        })
        .collect();
    for caller in callers {
        caller.join().expect("every call is answered");
    }
    let counts = get_control(running.control, "calls").expect("counts");
    assert_eq!(counts["get"], 1000);
    let newer = stored_version(call(address, &swap("notes/head", version, b"two")));
    for watch in waiting {
        let value = b"two".to_vec();
        let version = newer;
        let result = watch.join().expect("every watch is answered");
        assert_eq!(result, PlatformAnswer::Value { version, value });
    }
    running.close();
}

/// A write whose response is lost must take effect, a write during an outage
/// must not, and a write during a pause must take effect after the pause.
#[test]
fn faults_affect_writes_as_documented() {
    let running = start_platform();
    let send_control = |value| post_control(running.control, &value).expect("switched");
    send_control(json!({"lose_answers": 1}));
    assert!(call_platform(running.platform, &create("lost", None)).is_err());
    let value = b"one".to_vec();
    let version = ValueVersion(1);
    let read = call(running.platform, &get("lost"));
    assert_eq!(read, PlatformAnswer::Value { version, value });
    send_control(json!({"down": true}));
    assert!(call_platform(running.platform, &create("down", None)).is_err());
    send_control(json!({"down": false}));
    assert_eq!(
        call(running.platform, &get("down")),
        PlatformAnswer::Missing
    );
    send_control(json!({"pause": true, "delay_ms": 1}));
    let address = running.platform;
    let held = thread::spawn(move || call(address, &create("paused", None)));
    while get_control(running.control, "calls").expect("counts")["create"] != 3 {
        thread::sleep(Duration::from_millis(5));
    }
    assert!(!held.is_finished());
    send_control(json!({"pause": false}));
    stored_version(held.join().expect("an answer after the pause"));
    assert!(post_control(running.control, &json!({"paus": true})).is_err());
    running.close();
}

/// Restoring a state must bring back old values and versions. A new host list
/// must become visible only after its delay, or bugs in draining would stay
/// hidden.
#[test]
fn restores_old_state_and_delays_the_host_list() {
    let running = start_platform();
    let send_control = |value| post_control(running.control, &value).expect("switched");
    let first = stored_version(call(running.platform, &create("a", None)));
    send_control(json!({"save": "monday"}));
    stored_version(call(running.platform, &swap("a", first, b"two")));
    send_control(json!({"restore": "monday"}));
    let version = first;
    let value = b"one".to_vec();
    let read = call(running.platform, &get("a"));
    assert_eq!(read, PlatformAnswer::Value { version, value });
    let hosts = json!([{"name": "t1", "kind": "target", "address": "127.0.0.1:9",
        "failure_domain": "a", "state": "live"}]);
    let listed = |expected: usize| {
        let PlatformAnswer::Hosts(rows) = call(running.platform, &PlatformRequest::ListHosts)
        else {
            panic!("no host list");
        };
        rows.len() == expected
    };
    send_control(json!({"hosts": hosts}));
    assert!(listed(0));
    send_control(json!({"hosts": hosts, "host_lag_ms": 0}));
    assert!(listed(1));
    send_control(json!({"hosts": [], "host_lag_ms": 600_000}));
    assert!(listed(1));
    send_control(json!({"hosts": [], "host_lag_ms": 1}));
    while !listed(0) {
        thread::sleep(Duration::from_millis(5));
    }
    running.close();
}

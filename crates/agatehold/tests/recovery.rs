//! Tests that the fleet keeps serving and keeps its release notes when daemons or the
//! platform fail.

#![expect(clippy::unwrap_used, reason = "a failed setup fails the test")]

use std::path::Path;

use serde_json::json;

use agatehold_core::ids::NoteNumber;
use agatehold_core::note::Head;
use agatehold_core::refusal::RefusalKind;
use agatehold_testing::caller;
use agatehold_testing::caller::CallerOptions;
use agatehold_testing::caller::KeyMode;
use agatehold_testing::common::call_platform;
use agatehold_testing::common::get_control;
use agatehold_testing::common::post_control;
use agatehold_testing::fleet::DaemonProcess;
use agatehold_testing::fleet::Fleet;
use agatehold_testing::fleet::FleetOptions;
use agatehold_testing::fleet::Signal;
use agatehold_testing::fleet::wait_until;
use agatehold_testing::history;
use agatehold_testing::history::CallRecord;
use agatehold_testing::history::HeadObservation;
use agatehold_wire::admin::HostState;
use agatehold_wire::platform::PlatformAnswer;
use agatehold_wire::platform::PlatformRequest;
use agatehold_wire::platform::decode_head;
use agatehold_wire::platform::head_key;

/// The start of a note that changes a policy; a number must follow. Any number of
/// notes can use it.
const QUEUE_LIMIT_CHANGE: &str = "[service certificates]\naction = change\nqueue_limit = ";

fn start(daemons: usize) -> Fleet {
    let binary = Path::new(env!("CARGO_BIN_EXE_agatehold"));
    let options = FleetOptions {
        daemons,
        ..FleetOptions::default()
    };
    Fleet::start(binary, options).unwrap()
}

fn lookups(fleet: &Fleet, count: u64) -> CallerOptions {
    let service = "certificates".parse().unwrap();
    let tenant = "exporter".parse().unwrap();
    let mut options = CallerOptions::new(fleet.caller_addresses(), service, tenant);
    options.shape.method = http::Method::GET;
    options.shape.keys = KeyMode::None;
    options.shape.is_non_idempotent = false;
    options.count = count;
    options
}

fn succeeded(records: &[CallRecord]) -> usize {
    records.iter().filter(|record| record.is_success()).count()
}

fn observe(fleet: &Fleet, observations: &mut Vec<HeadObservation>) {
    for daemon in &fleet.daemons {
        let Some(head) = daemon.status().and_then(|status| status.head) else {
            continue;
        };
        observations.push(HeadObservation {
            daemon: daemon.host.clone(),
            head: Head {
                number: NoteNumber(head.number),
                hash: head.hash,
            },
        });
    }
}

fn platform_head(fleet: &Fleet) -> Option<Head> {
    let request = PlatformRequest::Get { key: head_key() };
    match call_platform(fleet.platform.platform, &request) {
        Ok(PlatformAnswer::Value { value, .. }) => Some(decode_head(&value).unwrap().head),
        _ => None,
    }
}

/// During an outage of the platform, a daemon must keep its peers and routing table,
/// or it would refuse requests. A restarted daemon must get its configuration from its
/// peers, or it would never serve.
#[test]
fn the_fleet_serves_and_a_fresh_daemon_starts_while_the_platform_is_down() {
    let fleet = start(5);
    post_control(fleet.platform.control, &json!({ "down": true })).unwrap();
    fleet.daemons[2].signal(Signal::Kill).unwrap();
    fleet.daemons[2].wait().unwrap();
    fleet.daemons[2].restart().unwrap();
    wait_until("the fresh daemon to serve", || {
        fleet.daemons[2]
            .status()
            .is_some_and(|status| status.state == HostState::Serving && status.head.is_some())
    })
    .unwrap();

    let mut options = lookups(&fleet, 50);
    options.daemons = vec![fleet.daemons[2].callers];
    options.fetches_addresses = false;
    let records = caller::start(options).unwrap().join();
    assert_eq!(succeeded(&records), 50);
    let mut options = CallerOptions::new(
        fleet.caller_addresses(),
        "certificates".parse().unwrap(),
        "exporter".parse().unwrap(),
    );
    options.name = "issues".into();
    options.count = 30;
    let records = caller::start(options).unwrap().join();
    assert_eq!(
        succeeded(&records),
        30,
        "keys with a prefix need no platform"
    );
    let runs = fleet.runs().unwrap();
    assert_eq!(history::check_at_most_once(&records, &runs), Vec::new());
    fleet.close().unwrap();
}

/// If neither the platform nor a peer provides a configuration, a daemon must refuse
/// requests; serving without one would route them wrongly.
#[test]
fn a_fleet_that_starts_without_the_platform_refuses_until_it_returns() {
    let fleet = start(3);
    post_control(fleet.platform.control, &json!({ "down": true })).unwrap();
    for daemon in &fleet.daemons {
        daemon.signal(Signal::Kill).unwrap();
        daemon.wait().unwrap();
    }
    for daemon in &fleet.daemons {
        daemon.restart().unwrap();
    }
    wait_until("the daemons to answer", || {
        fleet.daemons.iter().all(|daemon| daemon.status().is_some())
    })
    .unwrap();
    let mut options = lookups(&fleet, 10);
    options.fetches_addresses = false;
    options.attempts = 1;
    let records = caller::start(options).unwrap().join();
    assert_eq!(succeeded(&records), 0);
    assert!(records.iter().all(CallRecord::is_not_run), "{records:?}");

    post_control(fleet.platform.control, &json!({ "down": false })).unwrap();
    fleet.wait_for_note(NoteNumber(1)).unwrap();
    let records = caller::start(lookups(&fleet, 10)).unwrap().join();
    assert_eq!(succeeded(&records), 10);
    fleet.close().unwrap();
}

/// A platform that was restored from a backup offers an older note. A daemon that
/// applied it would revert changes that the operators have released.
#[test]
fn a_restored_platform_is_brought_up_to_date_and_reverts_no_daemon() {
    let mut fleet = start(3);
    let control = fleet.platform.control;
    let mut observations = Vec::new();
    post_control(control, &json!({ "save": "backup" })).unwrap();
    for limit in [50, 51, 52] {
        let number = fleet
            .notes
            .release(&format!("{QUEUE_LIMIT_CHANGE}{limit}\n"))
            .unwrap();
        fleet.wait_for_note(number).unwrap();
        observe(&fleet, &mut observations);
    }
    let newest = fleet.notes.head();
    post_control(control, &json!({ "restore": "backup" })).unwrap();
    assert_ne!(platform_head(&fleet), Some(newest));
    wait_until("the platform to hold the newest head again", || {
        platform_head(&fleet) == Some(newest)
    })
    .unwrap();
    observe(&fleet, &mut observations);
    for daemon in &fleet.daemons {
        let head = daemon.status().unwrap().head.unwrap();
        assert_eq!(head.number, newest.number.0, "{}", daemon.host);
    }

    // A restarted daemon gets the newest note after the platform was repaired.
    fleet.daemons[0].signal(Signal::Kill).unwrap();
    fleet.daemons[0].wait().unwrap();
    fleet.daemons[0].restart().unwrap();
    fleet.wait_for_note(newest.number).unwrap();
    observe(&fleet, &mut observations);
    assert_eq!(history::check_note_heads(&observations), Vec::new());
    fleet.close().unwrap();
}

/// Several daemons write the notes back to a restored platform at the same time, and the
/// write of the head succeeds for one. Guards against logs of the others that say it
/// succeeded for them too.
#[test]
fn only_the_daemon_that_wrote_the_head_back_logs_it_as_written() {
    const DONE: &str = "write-back of the current notes to the platform";
    let mut fleet = start(3);
    let control = fleet.platform.control;
    post_control(control, &json!({ "save": "backup" })).unwrap();
    for limit in 50..56 {
        let number = fleet
            .notes
            .release(&format!("{QUEUE_LIMIT_CHANGE}{limit}\n"))
            .unwrap();
        fleet.wait_for_note(number).unwrap();
    }
    // The notes are written one after the other, so that a write-back takes longer than
    // the time between the daemons' readings of the head.
    post_control(control, &json!({ "restore": "backup", "delay_ms": 300 })).unwrap();
    let logs = || -> String { fleet.daemons.iter().map(DaemonProcess::log).collect() };
    wait_until("two write-backs, one of them done", || {
        let logs = logs();
        logs.matches(DONE).count() >= 2 && logs.contains("written=true")
    })
    .unwrap();
    let logs = logs();
    let lines: Vec<&str> = logs.lines().filter(|line| line.contains(DONE)).collect();
    let written = lines.iter().filter(|line| line.ends_with("written=true"));
    assert_eq!(written.count(), 1, "{lines:?}");
    fleet.close().unwrap();
}

/// A daemon that was suspended while a note was released must apply it after it
/// resumes, because it may serve by its old note only for the isolation time.
#[test]
fn a_frozen_daemon_takes_the_note_that_it_missed() {
    let mut fleet = start(4);
    let mut observations = Vec::new();
    observe(&fleet, &mut observations);
    fleet.daemons[1].signal(Signal::Stop).unwrap();
    let number = fleet
        .notes
        .release(&format!("{QUEUE_LIMIT_CHANGE}70\n"))
        .unwrap();
    let others = [0, 2, 3];
    wait_until("the note on the other daemons", || {
        others.iter().all(|index| {
            let status = fleet.daemons[*index].status();
            status.is_some_and(|s| s.head.is_some_and(|head| head.number == number.0))
        })
    })
    .unwrap();
    fleet.daemons[1].signal(Signal::Continue).unwrap();
    fleet.wait_for_note(number).unwrap();
    observe(&fleet, &mut observations);
    assert_eq!(history::check_note_heads(&observations), Vec::new());
    fleet.close().unwrap();
}

/// When a failure domain is lost, callers that refresh their addresses must still be
/// served, and the lost daemons must be removed from the address answers.
#[test]
fn callers_are_served_after_a_failure_domain_is_lost() {
    let fleet = start(9);
    let mut options = lookups(&fleet, 2_000);
    options.load = agatehold_testing::caller::Load::Closed(4);
    options.attempts = 6;
    let running = caller::start(options).unwrap();
    // Hosts 0, 3 and 6 are in the first failure domain.
    for index in [0, 3, 6] {
        fleet.daemons[index].signal(Signal::Kill).unwrap();
    }
    let records = running.join();
    let runs = fleet.runs().unwrap();
    assert_eq!(history::check_response_bodies(&records), Vec::new());
    assert_eq!(history::check_not_run(&records, &runs), Vec::new());
    let lost: Vec<_> = [0, 3, 6]
        .iter()
        .map(|index| fleet.daemons[*index].callers)
        .collect();
    wait_until("the lost daemons to leave the address answers", || {
        let records = caller::start(lookups(&fleet, 30)).unwrap().join();
        succeeded(&records) == 30 && records.iter().all(|r| !lost.contains(&r.address))
    })
    .unwrap();
    fleet.close().unwrap();
}

/// If the number of platform calls grew with the fleet or with the requests, it would
/// exceed the rate limits of the platform.
#[test]
fn requests_cause_no_platform_calls_but_claims() {
    let fleet = start(3);
    let calls = |kind: &str| {
        let counts = get_control(fleet.platform.control, "calls").unwrap();
        counts[kind].as_u64().unwrap_or(0)
    };
    let before = calls("create");
    let records = caller::start(lookups(&fleet, 200)).unwrap().join();
    assert_eq!(succeeded(&records), 200);
    let mut options = CallerOptions::new(
        fleet.caller_addresses(),
        "certificates".parse().unwrap(),
        "exporter".parse().unwrap(),
    );
    options.name = "prefixed".into();
    options.count = 50;
    caller::start(options.clone()).unwrap().join();
    assert_eq!(calls("create"), before, "prefix keys claim nothing");
    options.name = "own".into();
    options.shape.keys = KeyMode::Own;
    let records = caller::start(options).unwrap().join();
    assert_eq!(succeeded(&records), 50);
    assert_eq!(calls("create") - before, 50, "one claim for each own key");
    fleet.close().unwrap();
}

/// A daemon that reaches neither the platform nor most of the fleet can't know whether a
/// newer note is in force. Serving by the old one would revert that note.
#[test]
fn a_minority_without_the_platform_refuses_and_returns() {
    let fleet = start(5);
    post_control(fleet.platform.control, &json!({ "down": true })).unwrap();
    for index in [0, 1, 2] {
        fleet.daemons[index].signal(Signal::Kill).unwrap();
    }
    let left = [3, 4];
    wait_until("the rest of the fleet to be isolated", || {
        left.iter().all(|index| {
            let status = fleet.daemons[*index].status();
            status.is_some_and(|status| status.isolated)
        })
    })
    .unwrap();
    let mut options = lookups(&fleet, 10);
    options.daemons = left.iter().map(|i| fleet.daemons[*i].callers).collect();
    options.fetches_addresses = false;
    options.attempts = 1;
    let records = caller::start(options.clone()).unwrap().join();
    for record in &records {
        assert_eq!(record.refusal, Some(RefusalKind::Isolated));
        assert!(record.is_not_run());
    }

    post_control(fleet.platform.control, &json!({ "down": false })).unwrap();
    wait_until("the rest of the fleet to serve again", || {
        left.iter().all(|index| {
            let status = fleet.daemons[*index].status();
            status.is_some_and(|status| !status.isolated)
        })
    })
    .unwrap();
    options.name = "again".into();
    let records = caller::start(options).unwrap().join();
    assert_eq!(succeeded(&records), 10);
    fleet.close().unwrap();
}

//! Tests the release of notes with a simulated platform and simulated daemons.

#![expect(clippy::unwrap_used, reason = "a failed setup fails the test")]

mod doubles;

use std::sync::Arc;
use std::sync::Mutex;

use http::Method;
use oxhttp::Client;
use oxhttp::model::Body;
use serde_json::Value;
use serde_json::json;

use agatehold_testing::common::CloseReason;
use agatehold_testing::common::call_platform;
use agatehold_testing::common::post_control;
use agatehold_testing::common::text_response;
use agatehold_wire::platform::PlatformAnswer;
use agatehold_wire::platform::PlatformRequest;

use doubles::Setup;
use doubles::TOKEN;
use doubles::listen;
use doubles::start;

fn tenant(name: &str) -> String {
    format!("[note]\ncomment = add {name}\n[tenant {name}]\nrate_per_s = 5\n")
}

fn release(setup: &Setup, name: &str) -> (i32, Value) {
    let file = setup.note(name, &tenant(name));
    setup.run_json(&["note", "release", &file])
}

/// Releases a note with a short wait, for fleets in which a daemon does not apply it.
fn release_with_short_wait(setup: &Setup, name: &str) -> (i32, Value) {
    let file = setup.note(name, &tenant(name));
    setup.run_json(&["note", "release", &file, "--wait", "500"])
}

fn history(setup: &Setup) -> Vec<Value> {
    let (code, history) = setup.run_json(&["note", "history"]);
    assert_eq!(code, 0);
    history["notes"].as_array().unwrap().clone()
}

/// End-to-end test: a released note is stored once, pushed, in force on every daemon,
/// and found by `note status`, `note history` and a second release.
#[test]
fn a_note_is_released_and_found_again() {
    let setup = start("released", 4);
    let (code, first) = release(&setup, "a");
    assert_eq!(code, 0, "{first}");
    assert_eq!(first["number"], 1);
    assert_eq!(first["rollout"]["in_force"], 4);
    assert_eq!(setup.fleet.lock().unwrap().pushes, 3);
    let (code, again) = release(&setup, "a");
    assert_eq!(
        (code, &again["repeated"], &again["id"]),
        (0, &json!(true), &first["id"])
    );
    assert_eq!(history(&setup).len(), 1);
    let id = first["id"].as_str().unwrap();
    for query in ["1", id, &format!("1-{id}")] {
        let (code, status) = setup.run_json(&["note", "status", query]);
        assert_eq!(
            (code, &status["outcome"]),
            (0, &json!("released")),
            "{query}"
        );
    }
    let other = format!("1-{}", "0".repeat(32));
    assert_eq!(setup.run_json(&["note", "status", &other]).0, 1);
    assert_eq!(setup.run_json(&["note", "status", "9"]).0, 5);
}

/// If a release were reported as complete while a daemon still has the old note, nobody
/// would notice that daemon.
#[test]
fn daemons_that_are_behind_are_named() {
    let setup = start("behind", 3);
    setup.fleet.lock().unwrap().daemons[1].frozen = true;
    let (code, first) = release_with_short_wait(&setup, "a");
    assert_eq!(
        (code, &first["rollout"]["behind"]),
        (6, &json!(["entry-1"]))
    );
    setup.fleet.lock().unwrap().daemons[1].frozen = false;
    setup.fleet.lock().unwrap().gossiped_note = Some(1);
    let (code, second) = release_with_short_wait(&setup, "b");
    let behind = &second["rollout"]["behind_by_gossip"];
    assert_eq!((code, behind), (6, &json!(["entry-3"])), "{second}");
    setup.fleet.lock().unwrap().gossiped_note = Some(3);
    let (code, third) = release(&setup, "c");
    assert_eq!(code, 0, "{third}");
}

/// When the platform's answer is lost, the note must be neither released twice nor
/// reported as failed.
#[test]
fn lost_answers_are_resolved() {
    for lost in 1..=3 {
        let setup = start("lost", 1);
        let switch = json!({"lose_answers": lost});
        post_control(setup.platform.control, &switch).unwrap();
        let (code, released) = release(&setup, "a");
        assert_eq!(
            (code, &released["repeated"]),
            (0, &json!(false)),
            "{lost}: {released}"
        );
        assert_eq!(history(&setup).len(), 1, "{lost}");
    }
}

/// If the platform fails right after the head was written, the outcome is unknown. The
/// printed command must find it later.
#[test]
fn a_release_with_an_unknown_outcome_exits_with_5() {
    let setup = start("unknown", 1);
    let platform = setup.platform.platform;
    let down = Arc::new(Mutex::new(false));
    let relay = listen(move |request| {
        let mut down = down.lock().unwrap();
        if *down {
            return Err(CloseReason::ByFault);
        }
        let (mut head, body) = request.into_parts();
        let writes_head = head.method == Method::PUT && head.uri.path() == "/kv/notes/head";
        let uri = format!("http://{platform}{}", head.uri);
        head.uri = uri.parse().unwrap();
        head.headers.remove("connection");
        let forwarded = http::Request::from_parts(head, body.to_vec());
        let response = Client::new().request(forwarded).unwrap();
        *down = writes_head;
        if writes_head {
            return Err(CloseReason::ByFault);
        }
        let (head, body) = response.into_parts();
        let mut copy = text_response(head.status, Body::to_vec(body).unwrap());
        if let Some(tag) = head.headers.get("etag") {
            copy.headers_mut().insert("etag", tag.clone());
        }
        Ok(copy)
    });
    setup.write_settings(relay, 100);
    let file = setup.note("a", &tenant("a"));
    let output = setup.run(&["note", "release", &file]);
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(5), "{errors}");
    let command = errors.lines().last().unwrap();
    let query = command.rsplit(' ').next().unwrap();
    assert!(command.contains("agateholdctl note status 1-"), "{errors}");
    let still_down = setup.run(&["note", "status", query]);
    assert_eq!(still_down.status.code(), Some(5));
    setup.write_settings(platform, 1_000);
    let (code, status) = setup.run_json(&["note", "status", query]);
    assert_eq!((code, &status["outcome"]), (0, &json!("released")));
}

/// An outage of the platform must be reported as such, and nothing may be released.
#[test]
fn a_platform_that_is_down_releases_nothing() {
    let setup = start("down", 1);
    setup.write_settings(setup.platform.platform, 100);
    post_control(setup.platform.control, &json!({"down": true})).unwrap();
    let (code, failed) = release(&setup, "a");
    assert_eq!((code, &failed["outcome"]), (1, &json!("unavailable")));
    post_control(setup.platform.control, &json!({"down": false})).unwrap();
    setup.write_settings(setup.platform.platform, 1_000);
    assert!(history(&setup).is_empty());
}

/// Every daemon would refuse a note released on a platform restored from a backup,
/// because it forks the chain.
#[test]
fn a_release_on_a_restored_platform_is_refused() {
    let setup = start("restored", 2);
    let control = setup.platform.control;
    assert_eq!(release(&setup, "a").0, 0);
    post_control(control, &json!({"save": "old"})).unwrap();
    assert_eq!(release(&setup, "b").0, 0);
    post_control(control, &json!({"restore": "old"})).unwrap();
    setup.write_settings(setup.platform.platform, 100);
    let (code, refused) = release(&setup, "c");
    assert_eq!((code, &refused["outcome"]), (1, &json!("diverged")));
    assert_eq!(history(&setup).len(), 1);
}

/// If two operators start from the same note, the second release must be rebased if
/// nothing overlaps, and otherwise fail with the other note, its author and the
/// overlapping entities.
#[test]
fn conflicts_name_the_winner_and_the_overlap() {
    let setup = start("conflict", 1);
    let base = "[note]\nbase = 0\n";
    let winner = "[note]\nauthor = bruno\n[tenant a]\nrate_per_s = 5\n";
    let winner = setup.note("winner", winner);
    assert_eq!(setup.run_json(&["note", "release", &winner]).0, 0);
    let loser = setup.note("loser", &format!("{base}[tenant a]\nrate_per_s = 9\n"));
    let (code, conflict) = setup.run_json(&["note", "release", &loser]);
    assert_eq!((code, &conflict["outcome"]), (4, &json!("conflict")));
    let detail = conflict["detail"].to_string();
    assert!(
        detail.contains("note 1") && detail.contains("by bruno"),
        "{detail}"
    );
    assert!(detail.contains("tenant a"), "{detail}");
    let other = setup.note("other", &format!("{base}[tenant b]\nrate_per_s = 9\n"));
    let (code, rebased) = setup.run_json(&["note", "release", &other]);
    assert_eq!((code, &rebased["number"]), (0, &json!(2)));
}

/// A note that most daemons can't receive must only be released with `--force`.
#[test]
fn an_unconfirmed_majority_needs_force() {
    let setup = start("force", 3);
    for index in [0, 2] {
        setup.fleet.lock().unwrap().daemons[index].isolated = true;
    }
    let file = setup.note("a", &tenant("a"));
    let output = setup.run(&["note", "release", &file]);
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        errors.contains("only 1 of 3") && errors.contains("--force"),
        "{errors}"
    );
    assert!(history(&setup).is_empty());
    assert_eq!(setup.run_json(&["note", "release", &file, "--force"]).0, 0);
}

/// An invalid note must be refused with the line of the error, before anything is
/// written.
#[test]
fn invalid_notes_are_refused_before_they_are_written() {
    let setup = start("invalid", 1);
    let file = setup.note(
        "note.ini",
        "[note]\n[route r]\nservice = s\npath_prefix = x\n",
    );
    for command in ["check", "release"] {
        let output = setup.run(&["note", command, &file]);
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(3), "{text}");
        assert!(
            text.contains("note.ini:4: [route r] path_prefix = x"),
            "{text}"
        );
    }
    let listing = PlatformRequest::ListKeys {
        prefix: "".parse().unwrap(),
    };
    let keys = call_platform(setup.platform.platform, &listing).unwrap();
    assert_eq!(keys, PlatformAnswer::Keys(Vec::new()));
}

/// Without snapshots, reading a configuration would have to start at note 1 and take
/// longer with every note. A truncated snapshot must not be used.
#[test]
fn every_32nd_note_has_a_snapshot() {
    let setup = start("snapshot", 1);
    for index in 1..=33 {
        assert_eq!(release(&setup, &format!("n{index}")).0, 0, "{index}");
    }
    let listing = PlatformRequest::ListKeys {
        prefix: "notes/snapshot/".parse().unwrap(),
    };
    let platform = setup.platform.platform;
    let answer = call_platform(platform, &listing).unwrap();
    let PlatformAnswer::Keys(keys) = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(keys.len(), 1);
    assert_eq!(keys[0].0.as_str(), "notes/snapshot/32/0");
    let (_, difference) = setup.run_json(&["note", "diff", "31", "33"]);
    assert_eq!(difference["entities"], json!(["tenant n32", "tenant n33"]));
    let cut_off = PlatformRequest::CompareAndSwap {
        key: keys[0].0.clone(),
        version: keys[0].1,
        value: b"[note]\n[tenant n1]\nrate_per_s = 5\n".to_vec(),
        lease: None,
    };
    call_platform(platform, &cut_off).unwrap();
    let (code, difference) = setup.run_json(&["note", "diff", "0", "33"]);
    assert_eq!(code, 0);
    assert_eq!(difference["entities"].as_array().unwrap().len(), 33);
}

/// The tool must show the daemons' view and drain daemons, and must not print the
/// token.
#[test]
fn the_fleet_is_shown_and_drained() {
    let setup = start("fleet", 2);
    for (command, word) in [
        ("hosts", "entry-1"),
        ("targets", "avoided"),
        ("ejections", "PERMITS"),
    ] {
        let output = setup.run(&[command]);
        let text = String::from_utf8(output.stdout).unwrap();
        assert_eq!(output.status.code(), Some(0));
        assert!(text.contains(word), "{text}");
    }
    let (code, drained) = setup.run_json(&["drain", "entry-1"]);
    assert_eq!((code, &drained["in_flight"]), (0, &json!(2)));
    assert_eq!(setup.run(&["drain", "entry-9"]).status.code(), Some(1));
    let path = setup.folder.join("settings.ini");
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, text.replace(TOKEN, "another-token-of-a-fleet")).unwrap();
    let output = setup.run(&["drain", "entry-1"]);
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        errors.contains("401") && !errors.contains("another-token"),
        "{errors}"
    );
}

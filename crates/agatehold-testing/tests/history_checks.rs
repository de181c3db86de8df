//! Tests of the history checks. Each check must find a violation in a history
//! that contains one.

use agatehold_core::ids::Digest;
use agatehold_core::ids::NoteNumber;
use agatehold_core::note::Head;
use agatehold_core::refusal::RefusalOutcome;
use agatehold_core::units::TimeMs;
use agatehold_testing::history;
use agatehold_testing::history::CallOutcome;
use agatehold_testing::history::CallRecord;
use agatehold_testing::history::HeadObservation;
use agatehold_testing::history::RunEnd;
use agatehold_testing::history::RunRecord;
use agatehold_testing::history::Violation;
use agatehold_testing::response_body::generate_response_body;

fn call(number: u64, outcome: CallOutcome) -> CallRecord {
    let path = format!("/file?n=c-{number}");
    CallRecord {
        number,
        attempt: 1,
        sent_at: TimeMs(0),
        request_id: Some(format!("id-{number}").into()),
        key: Some(format!("key-{number}").into()),
        is_non_idempotent: true,
        address: "127.0.0.1:1".parse().expect("an address"),
        target: None,
        status: Some(200),
        refusal: None,
        outcome,
        total_us: 0,
        added_us: None,
        method: "POST".into(),
        path: path.as_str().into(),
        request_body: (*b"x").into(),
        body: generate_response_body("POST", &path, b"x").into(),
    }
}

fn run(number: u64) -> RunRecord {
    RunRecord {
        target: 0,
        request_id: Some(format!("id-{number}").into()),
        idempotency_key: Some(format!("key-{number}").into()),
        method: "POST".into(),
        path: format!("/file?n=c-{number}").into(),
        started_ms: 0,
        ended_ms: Some(1),
        end: Some(RunEnd::Finished),
        while_leaving: false,
    }
}

fn observation(daemon: &str, number: u64, hash: u8) -> HeadObservation {
    HeadObservation {
        daemon: daemon.parse().expect("a host id"),
        head: Head {
            number: NoteNumber(number),
            hash: Digest([hash; 32]),
        },
    }
}

const NOT_RUN: CallOutcome = CallOutcome::Refused(RefusalOutcome::NotRun);

/// A second run of a non-idempotent request must be found by its key, also if
/// the run was cancelled, and by its marker if it has no key. Idempotent requests
/// may run more than once.
#[test]
fn finds_a_second_run() {
    let calls = [call(1, CallOutcome::Answered), call(2, CallOutcome::Lost)];
    assert_eq!(history::check_at_most_once(&calls, &[run(1), run(2)]), []);
    let mut again = run(2);
    again.target = 1;
    again.end = Some(RunEnd::Cancelled);
    let found = history::check_at_most_once(&calls, &[run(1), run(2), again.clone()]);
    let (key, marker) = ("key-2".into(), "c-2".into());
    let by_key = Violation::KeyRanAgain { key, runs: 2 };
    let by_marker = Violation::RequestRanAgain { marker, runs: 2 };
    assert_eq!(found, [by_key, by_marker.clone()]);
    again.idempotency_key = None;
    let found = history::check_at_most_once(&calls, &[run(2), again.clone()]);
    assert_eq!(found, [by_marker]);
    let mut idempotent = calls;
    idempotent[1].is_non_idempotent = false;
    assert_eq!(
        history::check_at_most_once(&idempotent, &[run(2), again]),
        []
    );
}

/// A request that ran although it was refused with outcome `not-run` must be
/// found by its id, or by its marker if the target received a different id.
#[test]
fn finds_a_run_of_a_refused_request() {
    let calls = [call(1, NOT_RUN), call(2, CallOutcome::Answered)];
    assert_eq!(history::check_not_run(&calls, &[run(2)]), []);
    let request = |text: &str| Violation::RanDespiteNotRun {
        request: text.into(),
    };
    let found = history::check_not_run(&calls, &[run(1), run(2)]);
    assert_eq!(found, [request("id-1"), request("c-1")]);
    let mut other_id = run(1);
    other_id.request_id = Some("id-9".into());
    let found = history::check_not_run(&calls, &[other_id]);
    assert_eq!(found, [request("c-1")]);
    let mut without_id = call(3, NOT_RUN);
    without_id.request_id = None;
    let path = without_id.path.clone();
    let found = history::check_not_run(&[without_id], &[]);
    assert_eq!(found, [Violation::RefusalWithoutId { path }]);
}

/// A refused first attempt followed by one that ran is not a violation.
#[test]
fn accepts_a_run_after_a_refused_attempt() {
    let mut second = call(1, CallOutcome::Answered);
    second.request_id = Some("id-1b".into());
    let mut ran = run(1);
    ran.request_id = Some("id-1b".into());
    assert_eq!(
        history::check_not_run(&[call(1, NOT_RUN), second], &[ran]),
        []
    );
}

/// A body of another request and a truncated body must be found in successful
/// responses, but not in refusals.
#[test]
fn finds_unexpected_and_truncated_bodies() {
    let own = call(1, CallOutcome::Answered);
    let mut foreign = call(2, CallOutcome::Answered);
    foreign.body = own.body.clone();
    let mut cut = call(3, CallOutcome::Answered);
    cut.body = cut.body[..cut.body.len() - 1].into();
    let mut refused = call(4, NOT_RUN);
    refused.body = Box::default();
    let found = history::check_response_bodies(&[own, foreign.clone(), cut.clone(), refused]);
    let paths: Vec<&str> = found
        .iter()
        .map(|violation| match violation {
            Violation::UnexpectedBody { path, .. } => &**path,
            other => panic!("unexpected: {other}"),
        })
        .collect();
    assert_eq!(paths, [&*foreign.path, &*cut.path]);
}

/// A daemon that replaces its note by an older one, and two daemons with
/// different notes of the same number, must be found.
#[test]
fn finds_a_head_that_is_rolled_back_or_forks() {
    let history = [
        observation("a", 1, 1),
        observation("b", 2, 2),
        observation("a", 2, 2),
        observation("b", 2, 2),
    ];
    assert_eq!(history::check_note_heads(&history), []);
    let found = history::check_note_heads(&[
        observation("a", 2, 2),
        observation("b", 1, 1),
        observation("a", 1, 1),
    ]);
    assert!(matches!(
        found[..],
        [Violation::HeadRolledBack {
            from: Head {
                number: NoteNumber(2),
                ..
            },
            ..
        }]
    ));
    let found = history::check_note_heads(&[observation("a", 2, 2), observation("b", 2, 3)]);
    assert!(matches!(found[..], [Violation::HeadsForked { .. }]));
}

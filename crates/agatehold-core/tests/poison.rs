//! Tests the limit on the number of targets that one request can crash.

use agatehold_core::ids::Digest;
use agatehold_core::ids::HostId;
use agatehold_core::ids::TargetName;
use agatehold_core::poison::Admission;
use agatehold_core::poison::CrashMark;
use agatehold_core::poison::PoisonTable;
use agatehold_core::poison::RequestIdentity;
use agatehold_core::poison::admit;
use agatehold_core::poison::clear;
use agatehold_core::poison::clear_target;
use agatehold_core::poison::fingerprint;
use agatehold_core::poison::is_blamed;
use agatehold_core::poison::mark_crash;
use agatehold_core::poison::refused_requests;
use agatehold_core::poison::revoke_marks;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

const NOW: TimeMs = TimeMs(1_000_000);

fn host(name: &str) -> HostId {
    name.parse().expect("a valid name")
}

fn target(name: &str) -> TargetName {
    name.parse().expect("a valid name")
}

fn mark(fingerprint: &[u8], target_name: &str, reporter: &str, at: TimeMs) -> CrashMark {
    CrashMark {
        fingerprint: Digest::of_parts(&[fingerprint]),
        target: target(target_name),
        reporter: host(reporter),
        at,
        cleared: false,
    }
}

/// Records the marks that a daemon gets from a peer.
fn merge_marks(table: &mut PoisonTable, marks: &[CrashMark], now: TimeMs) {
    for mark in marks {
        mark_crash(table, mark.clone(), now);
    }
}

/// Guards against a request that crashed two targets being sent to a third one,
/// whichever daemon the caller resends it to.
#[test]
fn a_request_is_refused_after_two_crashes() {
    let mut table = PoisonTable::default();
    let request = Digest::of_parts(&[b"request"]);
    let (own, later) = (host("host-1"), NOW + DurationMs(50));
    assert_eq!(admit(&mut table, &request, &own, NOW), Admission::Admitted);
    mark_crash(&mut table, mark(b"request", "a", "host-1", NOW), NOW);
    assert_eq!(admit(&mut table, &request, &own, NOW), Admission::Deferred);
    assert_eq!(
        admit(&mut table, &request, &host("host-2"), later),
        Admission::Deferred
    );
    assert_eq!(
        admit(&mut table, &request, &own, later),
        Admission::AdmittedOnce
    );
    assert_eq!(
        admit(&mut table, &request, &own, later),
        Admission::Deferred
    );
    mark_crash(&mut table, mark(b"request", "b", "host-1", later), later);
    assert!(is_blamed(&table, &request, &target("b")));
    assert_eq!(admit(&mut table, &request, &own, later), Admission::Refused);
    let expired = later + DurationMs(600_001);
    assert_eq!(
        admit(&mut table, &request, &own, expired),
        Admission::Admitted
    );
}

/// Guards against refusing a request that crashed only one target, because
/// several daemons reported the crash or gossip repeated it.
#[test]
fn one_crash_counts_once() {
    let mut table = PoisonTable::default();
    let request = Digest::of_parts(&[b"request"]);
    let first = mark(b"request", "a", "host-1", NOW);
    let same = mark(b"request", "a", "host-2", NOW + DurationMs(300));
    let later = NOW + DurationMs(400);
    merge_marks(
        &mut table,
        &[first.clone(), same, first.clone(), first],
        later,
    );
    assert_eq!(
        admit(&mut table, &request, &host("host-1"), later),
        Admission::AdmittedOnce
    );
}

/// Guards against refusing a request that was only in flight during a crash. Once
/// the daemon that resent it has an answer, all daemons must admit it again.
#[test]
fn an_answer_clears_the_mark() {
    let (mut own, mut peer) = (PoisonTable::default(), PoisonTable::default());
    let request = Digest::of_parts(&[b"request"]);
    let crash = mark(b"request", "a", "host-1", NOW);
    mark_crash(&mut own, crash.clone(), NOW);
    merge_marks(&mut peer, std::slice::from_ref(&crash), NOW);
    let cleared = clear(&mut own, &request, &host("host-1"));
    merge_marks(&mut peer, &cleared, NOW);
    // A delayed copy of the uncleared mark arrives.
    merge_marks(&mut peer, &[crash], NOW);
    for table in [&mut own, &mut peer] {
        assert_eq!(
            admit(table, &request, &host("host-3"), NOW),
            Admission::Admitted
        );
    }
}

/// A request has crashed one target, and another target closes its connection without a
/// crash. Guards against forgetting the crash together with the lost connection.
#[test]
fn a_lost_connection_without_a_crash_clears_no_other_mark() {
    let mut table = PoisonTable::default();
    let request = Digest::of_parts(&[b"request"]);
    let (own, later) = (host("host-1"), NOW + DurationMs(60));
    mark_crash(&mut table, mark(b"request", "a", "host-1", NOW), NOW);
    mark_crash(&mut table, mark(b"request", "b", "host-1", later), later);
    let cleared = clear_target(&mut table, &request, &target("b"), &own);
    assert_eq!(cleared.len(), 1);
    assert_eq!(cleared[0].target, target("b"));
    assert_eq!(
        admit(&mut table, &request, &host("host-2"), later),
        Admission::Deferred
    );
}

/// Guards against unlimited growth of the table: when a target crashes, every
/// request that it ran gets a mark.
#[test]
fn the_table_keeps_at_most_2000_rows() {
    let mut table = PoisonTable::default();
    for number in 0..2_100u64 {
        let at = NOW + DurationMs(number);
        mark_crash(
            &mut table,
            mark(&number.to_be_bytes(), "a", "host-1", at),
            at,
        );
    }
    assert_eq!(table.rows.len(), 2_000);
    let first = Digest::of_parts(&[&0u64.to_be_bytes()]);
    assert_eq!(
        admit(&mut table, &first, &host("host-1"), NOW),
        Admission::Admitted
    );
}

/// The pattern: several targets crash at once while they work on a page that many
/// callers read. Guards against refusing that page to all callers.
#[test]
fn a_page_that_many_callers_read_is_not_refused_after_crashes_elsewhere() {
    let own = host("host-1");
    let later = NOW + DurationMs(1_000);
    let mut table = PoisonTable::default();
    let page = |caller: u8| {
        fingerprint(&RequestIdentity {
            caller: [10, 0, 0, caller].into(),
            host: b"reports.example",
            method: b"GET",
            path: b"/reports/7",
            body: b"",
        })
    };
    for (caller, target_name) in [(1, "a"), (2, "b"), (3, "c")] {
        let mark = CrashMark {
            fingerprint: page(caller),
            target: target(target_name),
            reporter: host("host-2"),
            at: NOW,
            cleared: false,
        };
        mark_crash(&mut table, mark, NOW);
    }
    for caller in 4..=60 {
        assert_eq!(
            admit(&mut table, &page(caller), &own, later),
            Admission::Admitted,
            "caller {caller}"
        );
    }
}

/// A request that comes again is the same only with the same caller, host, method, path
/// and body.
#[test]
fn a_fingerprint_depends_on_every_part_of_the_identity() {
    let first = RequestIdentity {
        caller: [10, 0, 0, 1].into(),
        host: b"reports.example",
        method: b"POST",
        path: b"/reports/7",
        body: b"body",
    };
    assert_eq!(fingerprint(&first), fingerprint(&first.clone()));
    let others = [
        RequestIdentity {
            caller: [10, 0, 0, 2].into(),
            ..first
        },
        RequestIdentity {
            host: b"filings.example",
            ..first
        },
        RequestIdentity {
            method: b"PUT",
            ..first
        },
        RequestIdentity {
            path: b"/reports/8",
            ..first
        },
        RequestIdentity {
            body: b"other",
            ..first
        },
    ];
    for other in others {
        assert_ne!(fingerprint(&first), fingerprint(&other), "{other:?}");
    }
}

/// Guards against refusing a request for good although a target has run it to the end
/// since the crashes: the marks of all reporters are revoked, and later copies of them
/// don't count.
#[test]
fn an_answer_revokes_the_marks_of_all_daemons() {
    let mut table = PoisonTable::default();
    let request = Digest::of_parts(&[b"request"]);
    let marks = [
        mark(b"request", "a", "host-1", NOW),
        mark(b"request", "b", "host-2", NOW),
        mark(b"request", "c", "host-3", NOW),
    ];
    let later = NOW + DurationMs(400);
    merge_marks(&mut table, &marks, NOW);
    assert_eq!(
        admit(&mut table, &request, &host("host-1"), later),
        Admission::Refused
    );
    assert!(revoke_marks(&mut table, &request));
    merge_marks(&mut table, &marks, later);
    assert_eq!(
        admit(&mut table, &request, &host("host-1"), later),
        Admission::Admitted
    );
    assert!(!revoke_marks(&mut table, &request), "nothing left to tell");
}

/// A request that must not run twice was in flight at a crash, and its caller comes again
/// at other daemons. Guards against refusing it there until the mark expires, since the
/// daemon that reported the crash never resends it.
#[test]
fn other_daemons_admit_a_request_some_seconds_after_one_crash() {
    let mut table = PoisonTable::default();
    let request = Digest::of_parts(&[b"request"]);
    let own = host("host-2");
    mark_crash(&mut table, mark(b"request", "a", "host-1", NOW), NOW);
    let early = NOW + DurationMs(9_900);
    assert_eq!(
        admit(&mut table, &request, &own, early),
        Admission::Deferred
    );
    let later = NOW + DurationMs(10_000);
    assert_eq!(
        admit(&mut table, &request, &own, later),
        Admission::AdmittedOnce
    );
    assert_eq!(
        admit(&mut table, &request, &own, later),
        Admission::Deferred,
        "one attempt at a time"
    );
    mark_crash(&mut table, mark(b"request", "b", "host-2", later), later);
    let much_later = later + DurationMs(60_000);
    assert_eq!(
        admit(&mut table, &request, &own, much_later),
        Admission::Refused
    );
}

/// Guards against a daemon that starts and is told of requests that may be sent, of old
/// crashes, or of so many that the newest are left out.
#[test]
fn a_started_daemon_is_told_of_the_newest_refused_requests() {
    let mut table = PoisonTable::default();
    let later = NOW + DurationMs(5_000);
    mark_crash(&mut table, mark(b"once", "a", "host-1", NOW), NOW);
    for (request, at) in [(b"older", NOW), (b"newer", later)] {
        mark_crash(&mut table, mark(request, "a", "host-1", at), at);
        mark_crash(&mut table, mark(request, "b", "host-2", at), at);
    }
    let older = Digest::of_parts(&[b"older"]);
    let newer = Digest::of_parts(&[b"newer"]);
    assert_eq!(refused_requests(&table, 9, later), [newer, older]);
    assert_eq!(refused_requests(&table, 1, later), [newer]);
    let expired = NOW + DurationMs(600_001);
    assert_eq!(refused_requests(&table, 9, expired), [newer]);
    revoke_marks(&mut table, &newer);
    assert_eq!(refused_requests(&table, 9, later), [older]);

    let mut started = PoisonTable::default();
    merge_marks(
        &mut started,
        &table.rows.get(&older).expect("a row").marks,
        later,
    );
    let own = host("host-3");
    assert_eq!(admit(&mut started, &older, &own, later), Admission::Refused);
}

/// Guards against marks that count again after an answer has revoked them, because a copy
/// of another one took their place in a full row.
#[test]
fn copies_of_revoked_marks_do_not_displace_each_other() {
    let mut table = PoisonTable::default();
    let request = Digest::of_parts(&[b"request"]);
    let marks = ["a", "b", "c", "d"].map(|name| mark(b"request", name, "host-1", NOW));
    merge_marks(&mut table, &marks, NOW);
    assert!(revoke_marks(&mut table, &request));
    let later = NOW + DurationMs(400);
    for copy in marks.iter().rev().chain(&marks) {
        mark_crash(&mut table, copy.clone(), later);
    }
    assert_eq!(
        admit(&mut table, &request, &host("host-2"), later),
        Admission::Admitted
    );
}

/// Guards against a second copy of a request that is being resent: a mark that has already
/// been cleared says nothing about the copy under way.
#[test]
fn a_cleared_mark_does_not_end_the_wait_for_a_resent_request() {
    let mut table = PoisonTable::default();
    let request = Digest::of_parts(&[b"request"]);
    let own = host("host-1");
    let later = NOW + DurationMs(50);
    mark_crash(&mut table, mark(b"request", "a", "host-1", NOW), NOW);
    assert_eq!(
        admit(&mut table, &request, &own, later),
        Admission::AdmittedOnce
    );
    let mut cleared = mark(b"request", "b", "host-2", NOW);
    cleared.cleared = true;
    merge_marks(&mut table, &[cleared], later);
    assert_eq!(
        admit(&mut table, &request, &own, later),
        Admission::Deferred
    );
}

/// A connection was lost without a crash, and its mark was cleared; soon after the same
/// request does crash that target. Guards against leaving the crash uncounted, so that the
/// request crashes a third target.
#[test]
fn a_crash_after_a_cleared_mark_of_the_same_target_counts() {
    let request = Digest::of_parts(&[b"request"]);
    let crash_at = NOW + DurationMs(1_000);
    let later = crash_at + DurationMs(100);
    let (mut own, mut peer) = (PoisonTable::default(), PoisonTable::default());
    for table in [&mut own, &mut peer] {
        mark_crash(table, mark(b"request", "a", "host-1", NOW), NOW);
        clear(table, &request, &host("host-1"));
        for reporter in ["host-1", "host-2"] {
            mark_crash(table, mark(b"request", "a", reporter, crash_at), crash_at);
        }
        let admission = admit(table, &request, &host("host-3"), later);
        assert_eq!(admission, Admission::Deferred, "the crash counts");
        mark_crash(table, mark(b"request", "b", "host-1", later), later);
        let admission = admit(table, &request, &host("host-3"), later);
        assert_eq!(admission, Admission::Refused);
    }
}

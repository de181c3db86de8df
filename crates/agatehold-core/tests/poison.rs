//! Tests the limit on the number of targets that one request can crash.

use agatehold_core::ids::Digest;
use agatehold_core::ids::HostId;
use agatehold_core::ids::TargetName;
use agatehold_core::poison::Admission;
use agatehold_core::poison::CrashMark;
use agatehold_core::poison::PoisonTable;
use agatehold_core::poison::admit;
use agatehold_core::poison::clear;
use agatehold_core::poison::is_blamed;
use agatehold_core::poison::mark_crash;
use agatehold_core::poison::merge_marks;
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

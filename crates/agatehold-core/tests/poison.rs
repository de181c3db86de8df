//! Guards the limit on targets that one request can crash.

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

/// A request that crashed a target must not reach a third one, whichever
/// daemon it is resent to.
#[test]
fn a_second_crash_is_the_last() {
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
        Admission::AdmittedOnTrial
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

/// One crash that several daemons report, or that gossip repeats, must not
/// count as two and refuse a request that crashed one target.
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
        Admission::AdmittedOnTrial
    );
}

/// A request that was merely in flight during a crash must run again once the
/// daemon that tried it has an answer, on all daemons.
#[test]
fn an_answer_clears_the_mark() {
    let (mut own, mut peer) = (PoisonTable::default(), PoisonTable::default());
    let request = Digest::of_parts(&[b"request"]);
    let crash = mark(b"request", "a", "host-1", NOW);
    mark_crash(&mut own, crash.clone(), NOW);
    merge_marks(&mut peer, std::slice::from_ref(&crash), NOW);
    let cleared = clear(&mut own, &request, &host("host-1"));
    merge_marks(&mut peer, &cleared, NOW);
    // The mark itself arrives once more, by a slower way.
    merge_marks(&mut peer, &[crash], NOW);
    for table in [&mut own, &mut peer] {
        assert_eq!(
            admit(table, &request, &host("host-3"), NOW),
            Admission::Admitted
        );
    }
}

/// A crashing target marks every request it ran; the table must stay bounded.
#[test]
fn the_table_is_bounded() {
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

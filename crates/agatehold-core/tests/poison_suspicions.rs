//! Tests how long a request is held back whose connection was lost, while it is not known
//! whether its target has crashed.

use agatehold_core::ids::Digest;
use agatehold_core::ids::HostId;
use agatehold_core::ids::TargetName;
use agatehold_core::poison::Admission;
use agatehold_core::poison::CrashMark;
use agatehold_core::poison::PoisonTable;
use agatehold_core::poison::Suspicion;
use agatehold_core::poison::admit;
use agatehold_core::poison::confirm;
use agatehold_core::poison::crash_count;
use agatehold_core::poison::deferral;
use agatehold_core::poison::end_resend;
use agatehold_core::poison::is_refused;
use agatehold_core::poison::revoke_marks;
use agatehold_core::poison::suspect;
use agatehold_core::poison::withdraw;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

const NOW: TimeMs = TimeMs(1_000_000);

fn host(name: &str) -> HostId {
    name.parse().expect("a valid name")
}

fn target(name: &str) -> TargetName {
    name.parse().expect("a valid name")
}

fn request() -> Digest {
    Digest::of_parts(&[b"request"])
}

fn suspicion(target_name: &str, reporter: &str, at: TimeMs) -> Suspicion {
    Suspicion {
        target: target(target_name),
        reporter: host(reporter),
        at,
        withdrawn: false,
    }
}

fn mark(target_name: &str, reporter: &str, at: TimeMs) -> CrashMark {
    CrashMark {
        fingerprint: request(),
        target: target(target_name),
        reporter: host(reporter),
        at,
        cleared: false,
    }
}

/// Returns a table in which `host-1` has lost the connections of a request at `a` and `b`.
fn two_losses() -> PoisonTable {
    let mut table = PoisonTable::default();
    for name in ["a", "b"] {
        suspect(&mut table, &request(), suspicion(name, "host-1", NOW), NOW);
    }
    table
}

/// Guards against a third crash by a copy that comes while two targets are checked, and
/// against calling the request poisoned before the checks have ended.
#[test]
fn two_lost_connections_hold_a_request_back_until_they_are_checked() {
    let mut table = two_losses();
    let later = NOW + DurationMs(100);
    for daemon in ["host-1", "host-2"] {
        let admission = admit(&mut table, &request(), &host(daemon), later);
        assert_eq!(admission, Admission::Deferred, "{daemon}");
    }
    assert!(!is_refused(&table, &request(), later));
    for name in ["a", "b"] {
        assert!(confirm(&mut table, &mark(name, "host-1", NOW), later));
    }
    assert!(is_refused(&table, &request(), later));
    let admission = admit(&mut table, &request(), &host("host-2"), later);
    assert_eq!(admission, Admission::Refused);
    assert_eq!(
        crash_count(&table, &request(), later),
        2,
        "each counts once"
    );
}

/// Two targets have lost an answer and live. Guards against refusing the request for as
/// long as after two crashes.
#[test]
fn a_request_is_admitted_once_its_targets_turn_out_to_live() {
    let mut table = two_losses();
    let later = NOW + DurationMs(250);
    for name in ["a", "b"] {
        let (target, host) = (target(name), host("host-1"));
        assert!(withdraw(&mut table, &request(), &target, &host, NOW));
        assert!(!withdraw(&mut table, &request(), &target, &host, NOW));
    }
    let admission = admit(&mut table, &request(), &host("host-2"), later);
    assert_eq!(admission, Admission::Admitted);
    assert_eq!(crash_count(&table, &request(), later), 0);
}

/// Guards against a suspicion that holds a request back for good because the message that
/// withdraws it was lost, or its reporter has exited.
#[test]
fn a_suspicion_that_nobody_confirms_expires() {
    let mut table = two_losses();
    let own = host("host-2");
    let early = NOW + DurationMs(9_900);
    assert_eq!(
        admit(&mut table, &request(), &own, early),
        Admission::Deferred
    );
    let later = NOW + DurationMs(10_001);
    assert_eq!(
        admit(&mut table, &request(), &own, later),
        Admission::Admitted
    );
}

/// Guards against late copies of a withdrawn suspicion, which are relayed over two ways,
/// and against leaving the crash of the same target uncounted that follows soon after.
#[test]
fn a_copy_of_a_withdrawn_suspicion_does_not_count_and_a_later_loss_does() {
    let mut table = PoisonTable::default();
    let own = host("host-2");
    suspect(&mut table, &request(), suspicion("a", "host-1", NOW), NOW);
    withdraw(&mut table, &request(), &target("a"), &host("host-1"), NOW);
    let copy_at = NOW + DurationMs(150);
    let copy = suspicion("a", "host-1", copy_at);
    suspect(&mut table, &request(), copy, copy_at);
    assert_eq!(
        admit(&mut table, &request(), &own, copy_at),
        Admission::Admitted
    );
    let crash_at = NOW + DurationMs(300);
    let crash = suspicion("a", "host-1", crash_at);
    suspect(&mut table, &request(), crash, crash_at);
    assert_eq!(
        admit(&mut table, &request(), &own, crash_at),
        Admission::Deferred
    );
    let later = crash_at + DurationMs(60);
    assert!(confirm(&mut table, &mark("a", "host-1", crash_at), later));
    assert_eq!(crash_count(&table, &request(), later), 1);
}

/// Guards against a check that ends after the request was answered by another target, and
/// makes a mark that no answer revokes.
#[test]
fn an_answer_ends_suspicions_before_their_checks() {
    let mut table = two_losses();
    let later = NOW + DurationMs(100);
    assert!(revoke_marks(&mut table, &request()));
    assert!(
        !revoke_marks(&mut table, &request()),
        "nothing left to tell"
    );
    assert!(!confirm(&mut table, &mark("a", "host-1", NOW), later));
    let admission = admit(&mut table, &request(), &host("host-2"), later);
    assert_eq!(admission, Admission::Admitted);
}

/// Guards against counting one crash twice, because two daemons lost connections to the
/// target or a message was repeated.
#[test]
fn one_crash_that_two_daemons_report_counts_once() {
    let mut table = PoisonTable::default();
    let later = NOW + DurationMs(100);
    for reporter in ["host-1", "host-2", "host-1"] {
        suspect(&mut table, &request(), suspicion("a", reporter, NOW), NOW);
    }
    assert_eq!(crash_count(&table, &request(), NOW), 1);
    for reporter in ["host-1", "host-2", "host-1"] {
        confirm(&mut table, &mark("a", reporter, NOW), later);
    }
    suspect(
        &mut table,
        &request(),
        suspicion("a", "host-2", later),
        later,
    );
    assert_eq!(crash_count(&table, &request(), later), 1);
    assert!(!is_refused(&table, &request(), later));
}

/// A request that was resent after a lost connection is rejected by a full target. Guards
/// against deferring its other copies for 30 s, as long as for a resend that is under way.
#[test]
fn a_resend_that_has_ended_defers_no_other_copy() {
    let mut table = PoisonTable::default();
    let own = host("host-1");
    let later = NOW + DurationMs(50);
    suspect(&mut table, &request(), suspicion("a", "host-1", NOW), NOW);
    let mut admission = || admit(&mut table, &request(), &own, later);
    assert_eq!(admission(), Admission::AdmittedOnce);
    assert_eq!(admission(), Admission::Deferred);
    end_resend(&mut table, &request());
    let admission = admit(&mut table, &request(), &own, later);
    assert_eq!(admission, Admission::AdmittedOnce);
}

/// Guards against a caller that is told to return before its request is admitted, again
/// and again.
#[test]
fn a_deferred_caller_returns_when_the_check_has_ended() {
    let table = two_losses();
    let early = NOW + DurationMs(100);
    assert_eq!(deferral(&table, &request(), early), DurationMs(150));
    // The check takes long, or another daemon may resend the request first.
    let late = NOW + DurationMs(260);
    assert_eq!(deferral(&table, &request(), late), DurationMs(1_000));
}

/// Guards against unlimited growth of the table by connections that are lost without a
/// crash.
#[test]
fn the_table_keeps_at_most_2000_requests_with_suspicions() {
    let mut table = PoisonTable::default();
    for number in 0..2_100u64 {
        let at = NOW + DurationMs(number);
        let fingerprint = Digest::of_parts(&[&number.to_be_bytes()]);
        suspect(&mut table, &fingerprint, suspicion("a", "host-1", at), at);
    }
    assert_eq!(table.rows.len(), 2_000);
    let first = Digest::of_parts(&[&0u64.to_be_bytes()]);
    assert_eq!(crash_count(&table, &first, NOW), 0);
}

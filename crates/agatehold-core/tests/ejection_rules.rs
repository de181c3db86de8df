//! Guards the single rules that the floor rests on, at their edges.

use std::collections::BTreeSet;

use agatehold_core::ejection::HeldRecord;
use agatehold_core::ejection::LiveView;
use agatehold_core::ejection::PermitChange;
use agatehold_core::ejection::PermitRecord;
use agatehold_core::ejection::PermitTables;
use agatehold_core::ejection::confirm_record;
use agatehold_core::ejection::excluded_targets;
use agatehold_core::ejection::next_record;
use agatehold_core::ejection::restored_record;
use agatehold_core::ejection::returned_record;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TargetName;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TargetCount;
use agatehold_core::units::TimeMs;

const NOW: TimeMs = TimeMs(100_000);

fn target(name: &str) -> TargetName {
    name.parse().expect("a valid name")
}

fn view(names: &str) -> LiveView {
    LiveView {
        targets: names.split(' ').map(target).collect(),
        as_of: NOW,
    }
}

fn eject(name: &str) -> PermitChange {
    PermitChange::Eject {
        target: target(name),
        hold_ms: DurationMs(10_000),
    }
}

fn give_back(name: &str) -> PermitChange {
    PermitChange::Return {
        target: target(name),
    }
}

fn held(record: &PermitRecord, at: TimeMs) -> HeldRecord {
    let service: ServiceName = "dispatch".parse().expect("a valid name");
    let mut tables = PermitTables::default();
    confirm_record(&mut tables, &service, record, at, at);
    let mut held = tables.records.get(&service).expect("a record").clone();
    held.followed_since = TimeMs(0);
    held
}

/// Makes `changes` one after the other, each of which must be allowed.
fn record_of(changes: &[PermitChange]) -> PermitRecord {
    let mut record = PermitRecord::default();
    for change in changes {
        let all = view("a b c d e f");
        record = next_record(&held(&record, NOW), change, &all, TargetCount(0), NOW)
            .expect("an allowed change");
    }
    record
}

/// Entries of both states count, live or not: a returning target may still be
/// excluded elsewhere, and daemons disagree about which targets are live.
#[test]
fn a_record_never_outgrows_the_spare_targets() {
    let floor = TargetCount(4);
    let one = record_of(&[eject("a"), give_back("a")]);
    let all = view("a b c d e f");
    let two = next_record(&held(&one, NOW), &eject("b"), &all, floor, NOW);
    let two = two.expect("room for a second entry");
    assert_eq!(
        next_record(&held(&two, NOW), &eject("c"), &all, floor, NOW),
        None
    );
    let fewer = view("b c d e f");
    assert_eq!(
        next_record(&held(&one, NOW), &eject("b"), &fewer, floor, NOW),
        None
    );
}

/// A daemon that has just started may hold a record that the platform has lost
/// the newest versions of.
#[test]
fn a_daemon_ejects_only_after_it_followed_the_record() {
    let mut fresh = held(&PermitRecord::default(), NOW);
    fresh.followed_since = NOW;
    let all = view("a b c");
    let change = |at| next_record(&fresh, &eject("a"), &all, TargetCount(1), at);
    assert_eq!(change(NOW + DurationMs(19_999)), None);
    assert!(change(NOW + DurationMs(20_000)).is_some());
}

/// A daemon that is cut off excludes a target for 15 s after its last read, so
/// the entry must outlive that, and again after a second ejection.
#[test]
fn an_entry_is_removed_only_after_the_wait() {
    let returning = record_of(&[eject("a"), give_back("a")]);
    let seen = held(&returning, NOW);
    assert_eq!(returned_record(&seen, NOW + DurationMs(20_000)), None);
    let next = returned_record(&seen, NOW + DurationMs(20_001)).expect("a removal");
    assert!(next.entries.is_empty());

    let service: ServiceName = "dispatch".parse().unwrap();
    let again = record_of(&[eject("a"), give_back("a"), eject("a"), give_back("a")]);
    let later = NOW + DurationMs(15_000);
    let mut tables = PermitTables::default();
    confirm_record(&mut tables, &service, &returning, NOW, NOW);
    confirm_record(&mut tables, &service, &again, later, later);
    let missed = tables.records.get(&service).unwrap();
    assert_eq!(returned_record(missed, NOW + DurationMs(20_001)), None);
}

/// A daemon that has just started knows no earlier holds; it must not return a
/// target before the hold time that the record carries.
#[test]
fn a_target_stays_ejected_for_the_hold_of_the_record() {
    let service: ServiceName = "dispatch".parse().unwrap();
    let mut tables = PermitTables::default();
    confirm_record(&mut tables, &service, &record_of(&[eject("a")]), NOW, NOW);
    let is_over = |ms| tables.is_hold_over(&service, &target("a"), NOW + DurationMs(ms));
    assert_eq!((is_over(9_999), is_over(10_000)), (false, true));
}

/// Daemons that hold different versions of the record, or see different
/// targets as live, must not together exclude more than one of them may.
#[test]
fn daemons_take_back_the_same_targets() {
    let floor = TargetCount(4);
    let old = held(&record_of(&[eject("b")]), NOW);
    let new = held(&record_of(&[eject("b"), eject("a")]), NOW);
    let five = view("a b c d e");
    let mut union: BTreeSet<_> = excluded_targets(&old, &five, floor).into_iter().collect();
    union.extend(excluded_targets(&new, &five, floor));
    assert_eq!(union.len(), 1);

    let mut union: BTreeSet<_> = BTreeSet::new();
    union.extend(excluded_targets(&new, &view("b c d e"), floor));
    union.extend(excluded_targets(&new, &view("a c d e"), floor));
    assert_eq!(union.len(), 0);
}

/// A message that was under way for long must not count as fresh, and an old
/// version must not replace a newer one.
#[test]
fn a_late_message_confirms_from_its_start() {
    let service: ServiceName = "dispatch".parse().unwrap();
    let (old, new) = (
        record_of(&[eject("a")]),
        record_of(&[eject("a"), eject("b")]),
    );
    let mut tables = PermitTables::default();
    let late = NOW + DurationMs(14_000);
    assert!(confirm_record(&mut tables, &service, &new, NOW, late));
    assert!(!confirm_record(
        &mut tables,
        &service,
        &new,
        NOW - DurationMs(5),
        late
    ));
    assert!(!confirm_record(&mut tables, &service, &old, late, late));
    let held = tables.records.get(&service).unwrap();
    assert_eq!((held.record.number, held.confirmed_at), (new.number, NOW));
}

/// A platform restored from a backup must not bring an old record back, nor
/// forget entries that a daemon which lags still uses.
#[test]
fn a_restored_platform_gets_the_newer_record() {
    let newer = held(&record_of(&[eject("a"), eject("b"), give_back("a")]), NOW);
    let restored = record_of(&[eject("c")]);
    let next = restored_record(&newer, &restored).expect("a record to write");
    assert_eq!(next.number, newer.record.number.next());
    assert_eq!(next.entries.len(), 3);
    assert_eq!(restored_record(&newer, &newer.record), None);
}

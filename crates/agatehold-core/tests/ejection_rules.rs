//! Tests the individual rules that together keep the floor, at their limits.

use std::collections::BTreeSet;

use agatehold_core::ejection::HeldRecord;
use agatehold_core::ejection::LiveView;
use agatehold_core::ejection::PermitChange;
use agatehold_core::ejection::PermitRecord;
use agatehold_core::ejection::PermitTables;
use agatehold_core::ejection::confirm_record;
use agatehold_core::ejection::excluded_targets;
use agatehold_core::ejection::merge_restored_record;
use agatehold_core::ejection::next_record;
use agatehold_core::ejection::remove_returned_entries;
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

fn return_target(name: &str) -> PermitChange {
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

/// Returns the record after applying `changes` in order; each must be allowed.
fn record_of(changes: &[PermitChange]) -> PermitRecord {
    let mut record = PermitRecord::default();
    for change in changes {
        let all = view("a b c d e f");
        record = next_record(&held(&record, NOW), change, &all, TargetCount(0), NOW)
            .expect("an allowed change");
    }
    record
}

/// Guards against more entries than there are targets above the floor. Entries
/// count in both states, since another daemon may still exclude a returning
/// target, and whether live or not, since daemons disagree about that.
#[test]
fn a_record_never_has_more_entries_than_targets_above_the_floor() {
    let floor = TargetCount(4);
    let one = record_of(&[eject("a"), return_target("a")]);
    let all = view("a b c d e f");
    let two = next_record(&held(&one, NOW), &eject("b"), &all, floor, NOW);
    let two = two.expect("a second entry is allowed");
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

/// Guards against ejections by a daemon that has just started: the platform may
/// have lost newer versions of the record, which other daemons still apply.
#[test]
fn a_daemon_ejects_only_after_it_followed_the_record() {
    let mut fresh = held(&PermitRecord::default(), NOW);
    fresh.followed_since = NOW;
    let all = view("a b c");
    let change = |at| next_record(&fresh, &eject("a"), &all, TargetCount(1), at);
    assert_eq!(change(NOW + DurationMs(19_999)), None);
    assert!(change(NOW + DurationMs(20_000)).is_some());
}

/// Guards against removing an entry while a daemon may still exclude its target:
/// a disconnected daemon does so for 15 s after its last read. After a second
/// ejection the wait starts again.
#[test]
fn a_returning_entry_is_removed_only_after_20_s() {
    let returning = record_of(&[eject("a"), return_target("a")]);
    let seen = held(&returning, NOW);
    assert_eq!(
        remove_returned_entries(&seen, NOW + DurationMs(20_000)),
        None
    );
    let next =
        remove_returned_entries(&seen, NOW + DurationMs(20_001)).expect("the entry is removed");
    assert!(next.entries.is_empty());

    let service: ServiceName = "dispatch".parse().unwrap();
    let again = record_of(&[
        eject("a"),
        return_target("a"),
        eject("a"),
        return_target("a"),
    ]);
    let later = NOW + DurationMs(15_000);
    let mut tables = PermitTables::default();
    confirm_record(&mut tables, &service, &returning, NOW, NOW);
    confirm_record(&mut tables, &service, &again, later, later);
    let missed = tables.records.get(&service).unwrap();
    assert_eq!(
        remove_returned_entries(missed, NOW + DurationMs(20_001)),
        None
    );
}

/// Guards against a daemon that has just started returning a target too early.
/// It has seen no earlier ejections and must use the hold time in the record.
#[test]
fn a_target_stays_ejected_for_the_hold_of_the_record() {
    let service: ServiceName = "dispatch".parse().unwrap();
    let mut tables = PermitTables::default();
    confirm_record(&mut tables, &service, &record_of(&[eject("a")]), NOW, NOW);
    let is_over = |ms| tables.is_hold_time_over(&service, &target("a"), NOW + DurationMs(ms));
    assert_eq!((is_over(9_999), is_over(10_000)), (false, true));
}

/// Guards against daemons that hold different versions of the record, or see
/// different targets as live, excluding more targets together than one daemon
/// alone may.
#[test]
fn daemons_revoke_the_same_ejections() {
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

/// Guards against a delayed message counting as a fresh confirmation, and against
/// an old version replacing a newer one.
#[test]
fn a_delayed_message_confirms_from_the_start_of_its_read() {
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

/// Guards against an old record coming back when the platform is restored from a
/// backup, and against losing entries that a daemon that lags behind still
/// applies.
#[test]
fn a_restored_platform_gets_the_newer_record() {
    let newer = held(
        &record_of(&[eject("a"), eject("b"), return_target("a")]),
        NOW,
    );
    let restored = record_of(&[eject("c")]);
    let next = merge_restored_record(&newer, &restored).expect("a record to write back");
    assert_eq!(next.number, newer.record.number.next());
    assert_eq!(next.entries.len(), 3);
    assert_eq!(merge_restored_record(&newer, &newer.record), None);
}

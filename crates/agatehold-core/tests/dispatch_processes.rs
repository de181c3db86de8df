//! Tests that the counts of a target's process are not changed by what ends at another
//! process of the same name.

use agatehold_core::config::TargetState;
use agatehold_core::dispatch::LiveTargets;
use agatehold_core::dispatch::TargetUse;
use agatehold_core::target_registry::TargetIdentity;
use agatehold_core::target_registry::TargetRecord;
use agatehold_core::units::DurationMs;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TimeMs;

const START: TimeMs = TimeMs(3_600_000);

fn record(started_unix_ms: u64) -> TargetRecord {
    TargetRecord {
        identity: TargetIdentity {
            name: "target-1".parse().expect("a name"),
            started_unix_ms,
        },
        service: "archive".parse().expect("a name"),
        address: "10.0.0.1:8080".parse().expect("an address"),
        failure_domain: "near".parse().expect("a name"),
        slots: SlotCount(4),
        state: TargetState::Serving,
        warmup_left_ms: DurationMs(0),
    }
}

fn sync(targets: &mut LiveTargets, records: &[TargetRecord]) {
    targets.sync(records.iter().map(|record| (record, START)));
}

/// Returns the requests in flight at the registered process, and how many of them are
/// overdue.
fn counts(targets: &LiveTargets) -> (u32, u32) {
    let row = targets.rows.get(&record(1).identity.name);
    let counts = &row.expect("a target").counts;
    (counts.in_flight, counts.overdue)
}

/// A target starts again while requests at its previous process are in flight. Guards
/// against their ends lowering the counts of the next process, which would then get more
/// requests than it has slots.
#[test]
fn the_end_of_a_request_counts_for_its_own_process() {
    let mut targets = LiveTargets::default();
    let [previous, next] = [record(1), record(2)];
    sync(&mut targets, std::slice::from_ref(&previous));
    for _ in 0..3 {
        targets.claim(&previous.identity, START);
    }
    targets.add_overdue(&previous.identity, 1);
    sync(&mut targets, std::slice::from_ref(&next));
    assert_eq!(counts(&targets), (0, 0), "the next process has no request");
    for _ in 0..2 {
        targets.claim(&next.identity, START);
    }
    targets.add_overdue(&next.identity, 1);
    // Late for the previous process.
    targets.add_overdue(&previous.identity, 1);
    targets.add_overdue(&previous.identity, -1);
    targets.add_overdue(&previous.identity, -1);
    for _ in 0..3 {
        targets.release(&previous.identity);
    }
    assert_eq!(counts(&targets), (2, 1));
    targets.claim(&previous.identity, START);
    assert_eq!(
        counts(&targets),
        (2, 1),
        "claimed before the restart was known"
    );
}

/// The registration of a target lapses and returns while requests are in flight. Guards
/// against forgetting them, so that the target gets more requests than it has slots.
#[test]
fn requests_in_flight_count_after_a_registration_has_lapsed() {
    let mut targets = LiveTargets::default();
    let target = record(1);
    sync(&mut targets, std::slice::from_ref(&target));
    for _ in 0..3 {
        targets.claim(&target.identity, START);
    }
    targets.add_overdue(&target.identity, 1);
    sync(&mut targets, &[]);
    targets.release(&target.identity);
    sync(&mut targets, &[]);
    sync(&mut targets, std::slice::from_ref(&target));
    assert_eq!(counts(&targets), (2, 1));
    sync(&mut targets, &[record(2)]);
    sync(&mut targets, std::slice::from_ref(&target));
    assert_eq!(counts(&targets), (2, 1), "another process was registered");
    targets.add_overdue(&target.identity, -1);
    for _ in 0..2 {
        targets.release(&target.identity);
    }
    sync(&mut targets, &[]);
    sync(&mut targets, std::slice::from_ref(&target));
    assert_eq!(counts(&targets), (0, 0));
}

/// Another daemon reports that it used the previous process, since it does not know of the
/// next one yet. Guards against leaving the next one unused for that.
#[test]
fn a_reported_use_counts_for_its_own_process() {
    let mut targets = LiveTargets::default();
    let [previous, next] = [record(1), record(2)];
    sync(&mut targets, std::slice::from_ref(&next));
    let now = START + DurationMs(1_000);
    let used = |process| TargetUse {
        target: next.identity.name.clone(),
        process,
        age_ms: DurationMs(100),
    };
    let used_at = |targets: &LiveTargets| {
        let row = targets.rows.get(&next.identity.name);
        row.expect("a target").used_at
    };
    targets.record_peer_use(&[used(Some(previous.identity.mark()))], now);
    assert_eq!(used_at(&targets), START);
    targets.record_peer_use(&[used(Some(next.identity.mark()))], now);
    assert_eq!(used_at(&targets), now - DurationMs(100));
    let later = now + DurationMs(500);
    targets.record_peer_use(&[used(None)], later);
    assert_eq!(
        used_at(&targets),
        later - DurationMs(100),
        "a daemon that tells no process"
    );
}

//! Tests what follows from what targets say of themselves in their answers.

use agatehold_core::config::TargetState;
use agatehold_core::dispatch::Choice;
use agatehold_core::dispatch::DaemonRank;
use agatehold_core::dispatch::LiveTargets;
use agatehold_core::dispatch::PickRequest;
use agatehold_core::dispatch::count_target_states;
use agatehold_core::dispatch::pick_live_target;
use agatehold_core::ids::FailureDomain;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TargetName;
use agatehold_core::target_registry::TargetIdentity;
use agatehold_core::target_registry::TargetRecord;
use agatehold_core::units::DurationMs;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TimeMs;

const START: TimeMs = TimeMs(3_600_000);

/// The slots of each target.
const SLOTS: u32 = 4;

fn identity(number: usize, started_unix_ms: u64) -> TargetIdentity {
    TargetIdentity {
        name: format!("target-{number}").parse().expect("a name"),
        started_unix_ms,
    }
}

fn record(number: usize, started_unix_ms: u64) -> TargetRecord {
    TargetRecord {
        identity: identity(number, started_unix_ms),
        service: "archive".parse().expect("a name"),
        address: format!("10.0.{}.{}:8080", number / 250, number % 250 + 1)
            .parse()
            .expect("an address"),
        failure_domain: "near".parse().expect("a name"),
        slots: SlotCount(SLOTS),
        state: TargetState::Serving,
        warmup_left_ms: DurationMs(0),
    }
}

fn sync(targets: &mut LiveTargets, records: &[TargetRecord]) {
    targets.sync(records.iter().map(|record| (record, START)));
}

/// Picks a target for a request that may try suspected ones and accepts full ones.
fn pick(targets: &LiveTargets, tried: &[TargetName], accepts_full: bool, now: TimeMs) -> Choice {
    let service: ServiceName = "archive".parse().expect("a name");
    let failure_domain: FailureDomain = "near".parse().expect("a name");
    let request = PickRequest {
        service: &service,
        failure_domain: &failure_domain,
        tried,
        may_try: true,
        may_risk_failure: true,
        daemon_rank: Some(DaemonRank {
            rank: 0,
            daemons: 1,
        }),
        accepts_full,
    };
    pick_live_target(targets, &request, now)
}

/// Guards against taking a target back that has said that it is leaving: its entry still
/// says that it serves, changes, lapses and returns.
#[test]
fn a_target_that_says_it_leaves_is_not_taken_back() {
    let mut targets = LiveTargets::default();
    let mut entry = record(0, 1);
    sync(&mut targets, std::slice::from_ref(&entry));
    assert!(targets.record_leaving(&entry.identity, START));
    assert!(!targets.record_leaving(&entry.identity, START), "no news");
    assert_eq!(pick(&targets, &[], true, START), Choice::NoTarget);
    entry.state = TargetState::Leaving;
    sync(&mut targets, std::slice::from_ref(&entry));
    entry.state = TargetState::Serving;
    sync(&mut targets, std::slice::from_ref(&entry));
    assert_eq!(pick(&targets, &[], true, START), Choice::NoTarget);
    sync(&mut targets, &[]);
    targets.expire_statements(START + DurationMs(60_000));
    sync(&mut targets, std::slice::from_ref(&entry));
    assert!(!targets.takes_requests(&entry.identity, START));
    assert_eq!(pick(&targets, &[], true, START), Choice::NoTarget);
    let next = record(0, 2);
    sync(&mut targets, std::slice::from_ref(&next));
    assert!(targets.takes_requests(&next.identity, START));
    assert!(!targets.takes_requests(&entry.identity, START));
    assert_eq!(
        pick(&targets, &[], true, START),
        Choice::Target(next.identity)
    );
}

/// Guards against memory that grows with the targets that come and go.
#[test]
fn statements_of_targets_that_are_gone_are_dropped() {
    let mut targets = LiveTargets::default();
    let mut now = START;
    let mut kept_max = 0;
    for round in 0..10 {
        let records: Vec<TargetRecord> = (0..990)
            .map(|number| record(number, round * 10_000 + 1))
            .collect();
        sync(&mut targets, &records);
        for record in &records {
            targets.record_leaving(&record.identity, now);
        }
        kept_max = kept_max.max(targets.expire_statements(now));
        now = now + DurationMs(600_001);
    }
    assert_eq!(kept_max, 990, "those registered in the last ten minutes");
    sync(&mut targets, &[]);
    targets.expire_statements(now);
    assert_eq!(targets.expire_statements(now + DurationMs(600_001)), 0);
}

/// Guards against requests to a target that has asked for a pause, by any way: as the
/// cheapest, as a trial, to keep it in use, as the last one left, or as a full one.
#[test]
fn a_paused_target_gets_no_request_and_the_others_do_at_once() {
    let mut targets = LiveTargets::default();
    let records = [record(0, 1), record(1, 1)];
    sync(&mut targets, &records);
    targets.record_pause(&records[0].identity, DurationMs(5_000), START);
    // A shorter pause does not end a longer one.
    let until = targets.record_pause(&records[0].identity, DurationMs(100), START);
    assert_eq!(until, START + DurationMs(5_000));
    for after_ms in (0..5_000).step_by(100) {
        let now = START + DurationMs(after_ms);
        let other = Choice::Target(records[1].identity.clone());
        assert_eq!(pick(&targets, &[], true, now), other, "{after_ms} ms");
        assert!(!targets.takes_requests(&records[0].identity, now));
    }
    let tried = [records[1].identity.name.clone()];
    let now = START + DurationMs(1_000);
    assert_eq!(pick(&targets, &tried, true, now), Choice::AllPaused(until));
    targets.record_pause(&records[1].identity, DurationMs(200), now);
    let first_end = now + DurationMs(200);
    assert_eq!(
        pick(&targets, &[], false, now),
        Choice::AllPaused(first_end)
    );
    // The registration lapses and returns.
    sync(&mut targets, &records[1..]);
    sync(&mut targets, &records);
    assert!(!targets.takes_requests(&records[0].identity, now));
    let after = until + DurationMs(1);
    assert!(targets.takes_requests(&records[0].identity, after));
    let restarted = [record(0, 2)];
    sync(&mut targets, &restarted);
    assert!(targets.takes_requests(&restarted[0].identity, now));
}

/// The pattern: all targets of a service shed and ask for a pause, and 200 requests wait
/// for its end. Guards against sending them all at once.
#[test]
fn the_end_of_a_pause_releases_no_more_requests_than_slots() {
    let mut targets = LiveTargets::default();
    let records: Vec<TargetRecord> = (0..3).map(|number| record(number, 1)).collect();
    sync(&mut targets, &records);
    for record in &records {
        targets.record_pause(&record.identity, DurationMs(800), START);
    }
    let mut waiting = 200;
    let mut now = START;
    let mut sent = [0; 3];
    while now < START + DurationMs(900) {
        while waiting > 0 {
            let Choice::Target(target) = pick(&targets, &[], false, now) else {
                break;
            };
            assert!(now >= START + DurationMs(800), "sent in the pause");
            targets.claim(&target, now);
            let number = records.iter().position(|record| record.identity == target);
            sent[number.expect("a target")] += 1;
            waiting -= 1;
        }
        now = now + DurationMs(50);
    }
    assert_eq!(sent, [SLOTS; 3]);
}

/// Guards against a pause that counts as a failure of the target, or as sound capacity
/// that is left without work.
#[test]
fn a_paused_target_is_counted_apart() {
    let mut targets = LiveTargets::default();
    let records = [record(0, 1), record(1, 1)];
    sync(&mut targets, &records);
    targets.record_pause(&records[0].identity, DurationMs(5_000), START);
    let service = "archive".parse().expect("a name");
    let counts = count_target_states(&targets, &service, START);
    assert_eq!((counts.paused, counts.idle, counts.held), (1, 1, 0));
}

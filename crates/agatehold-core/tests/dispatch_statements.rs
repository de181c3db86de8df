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
use agatehold_core::outcome::AttemptOutcome;
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
        address: format!(
            "10.{}.{}.{}:8080",
            number / 62_500,
            number / 250 % 250,
            number % 250 + 1
        )
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
        body_bytes: 0,
    };
    pick_live_target(targets, &request, now)
}

/// Picks a target for a request of the daemon at `daemon_rank` that needs a free slot.
fn pick_at(targets: &LiveTargets, daemon_rank: DaemonRank, now: TimeMs) -> Choice {
    let service: ServiceName = "archive".parse().expect("a name");
    let failure_domain: FailureDomain = "near".parse().expect("a name");
    let request = PickRequest {
        service: &service,
        failure_domain: &failure_domain,
        tried: &[],
        may_try: true,
        may_risk_failure: true,
        daemon_rank: Some(daemon_rank),
        accepts_full: false,
        body_bytes: 0,
    };
    pick_live_target(targets, &request, now)
}

/// Sends a request to a target and ends it at once.
fn use_target(targets: &mut LiveTargets, number: usize, now: TimeMs) {
    let identity = identity(number, 1);
    targets.claim(&identity, now);
    targets.release(&identity);
}

/// Sends a request to a target and ends it at once with an outcome.
fn end_attempt(targets: &mut LiveTargets, number: usize, outcome: AttemptOutcome, now: TimeMs) {
    use_target(targets, number, now);
    let row = targets.rows.get_mut(&identity(number, 1).name);
    let detector = &mut row.expect("a target").failure_detector;
    detector.record(outcome, DurationMs(2), 0.0, now);
}

/// What a target says of itself.
#[derive(Clone, Copy, Debug)]
enum Word {
    Leaves,
    Pauses,
}

fn say(targets: &mut LiveTargets, record: &TargetRecord, word: Word, now: TimeMs) {
    match word {
        Word::Leaves => {
            targets.record_leaving(&record.identity, now);
        }
        Word::Pauses => {
            targets.record_pause(&record.identity, DurationMs(5_000), now);
        }
    }
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

/// Guards against memory that grows with the targets that come and go: 9,900 targets of
/// which a tenth is replaced each minute for an hour, half of them under new names. All
/// of them say that they leave, and ask for a pause.
#[test]
fn statements_of_targets_that_are_gone_are_dropped() {
    const TARGETS: usize = 9_900;
    const REPLACED: usize = TARGETS / 10;
    let mut targets = LiveTargets::default();
    let mut records: Vec<TargetRecord> = (0..TARGETS).map(|number| record(number, 1)).collect();
    let mut next_number = TARGETS;
    let mut kept_max = 0;
    let mut now = START;
    for minute in 0..60 {
        let first = minute % 10 * REPLACED;
        for (offset, row) in records[first..first + REPLACED].iter_mut().enumerate() {
            targets.record_pause(&row.identity, DurationMs(30_000), now);
            targets.record_leaving(&row.identity, now);
            let started_unix_ms = row.identity.started_unix_ms + 1;
            if offset % 2 == 0 {
                row.identity.started_unix_ms = started_unix_ms;
            } else {
                *row = record(next_number, started_unix_ms);
                next_number += 1;
            }
        }
        now = now + DurationMs(60_000);
        sync(&mut targets, &records);
        assert_eq!(targets.rows.len(), TARGETS);
        kept_max = kept_max.max(targets.expire_statements(now));
    }
    // Those replaced in the last ten minutes.
    assert!(kept_max <= TARGETS + REPLACED, "{kept_max} are kept");
    assert!(kept_max >= TARGETS, "{kept_max} are kept");
    let next = now + DurationMs(600_001);
    assert_eq!(targets.expire_statements(next), 0);
}

/// Guards against statements that are dropped while their targets are registered, and
/// against some that stay ten minutes after all of these were replaced.
#[test]
fn statements_of_replaced_targets_are_dropped() {
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

/// Guards against a last request to a target that leaves, where all others are on hold,
/// unreachable, full or paused.
#[test]
fn a_leaving_target_is_never_the_last_resort() {
    let mut targets = LiveTargets::default();
    let records: Vec<TargetRecord> = (0..3).map(|number| record(number, 1)).collect();
    sync(&mut targets, &records);
    let name = |number: usize| records[number].identity.name.clone();
    let now = START + DurationMs(2_000);
    // The leaving target has failed before, and a trial of it would be due.
    end_attempt(&mut targets, 0, AttemptOutcome::Failed, START);
    targets.record_leaving(&records[0].identity, now);
    end_attempt(&mut targets, 1, AttemptOutcome::Failed, now);
    end_attempt(&mut targets, 2, AttemptOutcome::ConnectFailed, now);
    for accepts_full in [false, true] {
        let choice = pick(&targets, &[], accepts_full, now);
        assert_ne!(choice, Choice::Target(identity(0, 1)));
        let tried = [name(1), name(2)];
        let choice = pick(&targets, &tried, accepts_full, now);
        assert_eq!(choice, Choice::NoTarget);
    }
    for number in [1, 2] {
        for _ in 0..SLOTS {
            targets.claim(&identity(number, 1), now);
        }
    }
    assert_eq!(pick(&targets, &[], false, now), Choice::AllBusy);
    targets.record_pause(&records[1].identity, DurationMs(500), now);
    targets.record_pause(&records[2].identity, DurationMs(900), now);
    let first_end = now + DurationMs(500);
    assert_eq!(pick(&targets, &[], true, now), Choice::AllPaused(first_end));
    for record in &records[1..] {
        targets.record_leaving(&record.identity, now);
    }
    assert_eq!(pick(&targets, &[], true, now), Choice::NoTarget);
}

/// One target has failed, one is sound, and another is gone or takes nothing. Guards
/// against counting the last one as capacity: the others would then be held for longer
/// than what is left of the service can bear.
#[test]
fn targets_that_take_nothing_do_not_lengthen_holds() {
    for word in [Word::Leaves, Word::Pauses] {
        let mut targets = LiveTargets::default();
        let records: Vec<TargetRecord> = (0..3).map(|number| record(number, 1)).collect();
        sync(&mut targets, &records);
        use_target(&mut targets, 1, START);
        end_attempt(&mut targets, 0, AttemptOutcome::Failed, START);
        let failed = Choice::Target(records[0].identity.clone());
        // After the short hold, which is 1 s, and before the long one of 3.3 s.
        let now = START + DurationMs(1_100);
        use_target(&mut targets, 1, now);
        use_target(&mut targets, 2, now);
        assert_ne!(pick(&targets, &[], false, now), failed, "one of three");
        say(&mut targets, &records[2], word, now);
        assert_eq!(pick(&targets, &[], false, now), failed, "one of two");
    }
}

/// Guards against requests that wait while the target that is at home on their daemon
/// leaves or pauses: those at home on other daemons stand in at once.
#[test]
fn others_stand_in_at_once_for_a_home_that_takes_nothing() {
    for word in [Word::Leaves, Word::Pauses] {
        let mut targets = LiveTargets::default();
        let records: Vec<TargetRecord> = (0..8).map(|number| record(number, 1)).collect();
        sync(&mut targets, &records);
        let daemon_rank = DaemonRank {
            rank: 0,
            daemons: 3,
        };
        let mut at_home = 0;
        for (number, record) in records.iter().enumerate() {
            use_target(&mut targets, number, START);
            let row = targets.rows.get(&record.identity.name).expect("a target");
            if daemon_rank.daemons_before(row) == 0 {
                at_home += 1;
                say(&mut targets, record, word, START);
            }
        }
        assert!((1..8).contains(&at_home), "{at_home} targets at home");
        let Choice::Target(target) = pick_at(&targets, daemon_rank, START) else {
            panic!("no target stands in");
        };
        let row = targets.rows.get(&target.name).expect("a target");
        assert_ne!(daemon_rank.daemons_before(row), 0);
    }
}

/// Guards against requests to a paused target that would be tried after its failure, that
/// has never been used, or that has been unused for long.
#[test]
fn no_trial_and_no_use_that_is_due_goes_to_a_paused_target() {
    let mut targets = LiveTargets::default();
    let records: Vec<TargetRecord> = (0..4).map(|number| record(number, 1)).collect();
    sync(&mut targets, &records);
    let sound = Choice::Target(records[3].identity.clone());
    use_target(&mut targets, 1, START);
    use_target(&mut targets, 3, START);
    end_attempt(&mut targets, 0, AttemptOutcome::Failed, START);
    for record in &records[..3] {
        targets.record_pause(&record.identity, DurationMs(8_000), START);
    }
    for after_ms in (0..8_000).step_by(50) {
        let now = START + DurationMs(after_ms);
        assert_eq!(pick(&targets, &[], false, now), sound, "{after_ms} ms");
        use_target(&mut targets, 3, now);
    }
    // All of them are due at the end of the pause.
    let mut chosen = Vec::new();
    let now = START + DurationMs(8_000);
    use_target(&mut targets, 3, now);
    for _ in 0..3 {
        let Choice::Target(target) = pick(&targets, &[], false, now) else {
            break;
        };
        targets.claim(&target, now);
        chosen.push(target);
    }
    chosen.sort();
    let due: Vec<TargetIdentity> = records[..3]
        .iter()
        .map(|record| record.identity.clone())
        .collect();
    assert_eq!(chosen, due);
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

//! Tests the counts of targets by state and the reports of pressure changes,
//! which the log and the metrics show.

use agatehold_core::config::TargetState;
use agatehold_core::dispatch::LiveTargets;
use agatehold_core::dispatch::ServedCounts;
use agatehold_core::dispatch::ServiceStats;
use agatehold_core::dispatch::TargetStateCounts;
use agatehold_core::dispatch::count_target_states;
use agatehold_core::ids::TargetName;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::target_registry::TargetIdentity;
use agatehold_core::target_registry::TargetRecord;
use agatehold_core::units::DurationMs;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TimeMs;

const START: TimeMs = TimeMs(3_600_000);

fn name(number: usize) -> TargetName {
    format!("target-{number}").parse().expect("a name")
}

fn identity(number: usize) -> TargetIdentity {
    TargetIdentity {
        name: name(number),
        started_unix_ms: 1,
    }
}

fn record(number: usize) -> TargetRecord {
    let state = match number {
        4 => TargetState::Leaving,
        _ => TargetState::Serving,
    };
    TargetRecord {
        identity: identity(number),
        service: "archive".parse().expect("a name"),
        address: format!("10.0.0.{}:8080", number + 1)
            .parse()
            .expect("an address"),
        failure_domain: "near".parse().expect("a name"),
        slots: SlotCount(4),
        state,
        warmup_left_ms: DurationMs(0),
    }
}

/// Guards against a target that is counted under two states or under none, so that
/// the counts don't add up to the number of targets.
#[test]
fn each_target_is_counted_once_by_its_state() {
    let records: Vec<TargetRecord> = (0..6).map(record).collect();
    let mut targets = LiveTargets::default();
    targets.sync(records.iter().map(|record| (record, START)));
    for number in 0..4 {
        targets.claim(&identity(number), START);
        targets.release(&identity(number));
    }
    let now = START + DurationMs(2_500);
    let run_ms = DurationMs(2);
    let suspected = targets.rows.get_mut(&name(1)).expect("a target");
    suspected
        .failure_detector
        .record(AttemptOutcome::Failed, run_ms, 0.0, START);
    let unreachable = targets.rows.get_mut(&name(2)).expect("a target");
    unreachable
        .failure_detector
        .record(AttemptOutcome::ConnectFailed, run_ms, 0.0, now);
    targets.claim(&identity(3), now);
    let service = "archive".parse().expect("a name");
    assert_eq!(
        count_target_states(&targets, &service, now),
        TargetStateCounts {
            used: 1,
            idle: 2,
            held: 1,
            unreachable: 1,
            leaving: 1,
            paused: 0,
        }
    );
}

/// Guards against a log full of pressure changes: a service near the threshold
/// could change with each request.
#[test]
fn pressure_changes_are_reported_once_and_rate_limited() {
    let mut stats = ServiceStats::default();
    assert_eq!(stats.take_change(START), None);
    stats.record_end(false, START);
    let change = stats.take_change(START).expect("pressure began");
    assert!(change.is_pressed);
    let own = ServedCounts {
        served: 0,
        unserved: 1,
    };
    assert_eq!(change.own, own);
    assert_eq!(stats.take_change(START), None);
    for _ in 0..20 {
        stats.record_end(true, START);
    }
    assert!(!stats.is_pressed());
    let soon = START + DurationMs(500);
    assert_eq!(stats.take_change(soon), None);
    let later = START + DurationMs(1_000);
    let change = stats.take_change(later).expect("pressure ended");
    assert!(!change.is_pressed);
}

//! Tests the choice of registered targets under load and with failing targets.

use agatehold_core::config::TargetState;
use agatehold_core::dispatch::Choice;
use agatehold_core::dispatch::DaemonRank;
use agatehold_core::dispatch::LiveTargets;
use agatehold_core::dispatch::LoadReport;
use agatehold_core::dispatch::PickRequest;
use agatehold_core::dispatch::TargetUse;
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

/// The run time of a request that the target fails fast.
const FAST_FAILURE_MS: DurationMs = DurationMs(2);

fn service() -> ServiceName {
    "certificates".parse().expect("a name")
}

fn domain(name: &str) -> FailureDomain {
    name.parse().expect("a name")
}

fn name(number: usize) -> TargetName {
    format!("target-{number}").parse().expect("a name")
}

fn identity(number: usize) -> TargetIdentity {
    TargetIdentity {
        name: name(number),
        started_unix_ms: 1,
    }
}

fn number_of(target: &TargetIdentity) -> usize {
    let number = (0..100).find(|number| identity(*number) == *target);
    number.expect("a target")
}

fn record(number: usize, failure_domain: &str) -> TargetRecord {
    TargetRecord {
        identity: identity(number),
        service: service(),
        address: format!("10.0.0.{}:8080", number + 1)
            .parse()
            .expect("an address"),
        failure_domain: domain(failure_domain),
        slots: SlotCount(4),
        state: TargetState::Serving,
        warmup_left_ms: DurationMs(0),
    }
}

/// Returns targets that have all been used once.
fn targets(count: usize) -> LiveTargets {
    let records: Vec<TargetRecord> = (0..count).map(|number| record(number, "near")).collect();
    let mut targets = LiveTargets::default();
    targets.sync(records.iter().map(|record| (record, START)));
    for number in 0..count {
        targets.claim(&identity(number), START);
        targets.release(&identity(number));
    }
    targets
}

/// Records a fast failure of a target.
fn fail(targets: &mut LiveTargets, number: usize, at: TimeMs) {
    let row = targets.rows.get_mut(&name(number)).expect("a target");
    row.failure_detector
        .record(AttemptOutcome::Failed, FAST_FAILURE_MS, 0.0, at);
}

/// Uses targets once, so that they are not preferred as unused.
fn use_all(targets: &mut LiveTargets, numbers: std::ops::Range<usize>, now: TimeMs) {
    for number in numbers {
        targets.claim(&identity(number), now);
        targets.release(&identity(number));
    }
}

/// The parameters of a choice that the tests vary.
struct PickOptions {
    service: ServiceName,
    failure_domain: FailureDomain,
    may_try: bool,
    may_risk_failure: bool,
    daemon_rank: Option<DaemonRank>,
}

impl Default for PickOptions {
    fn default() -> Self {
        Self {
            service: service(),
            failure_domain: domain("near"),
            may_try: false,
            may_risk_failure: false,
            daemon_rank: Some(DaemonRank {
                rank: 0,
                daemons: 1,
            }),
        }
    }
}

fn pick(targets: &LiveTargets, options: &PickOptions, now: TimeMs) -> Choice {
    let request = PickRequest {
        service: &options.service,
        failure_domain: &options.failure_domain,
        tried: &[],
        may_try: options.may_try,
        may_risk_failure: options.may_risk_failure,
        daemon_rank: options.daemon_rank,
        accepts_full: false,
        body_bytes: 0,
    };
    pick_live_target(targets, &request, now)
}

/// Claims all slots of a target.
fn fill(targets: &mut LiveTargets, number: usize) {
    for _ in 0..4 {
        targets.claim(&identity(number), START);
    }
}

/// A load report includes the request whose answer carries it. If that were
/// counted in addition, each target would seem to have one request more than it
/// has.
#[test]
fn own_request_in_a_load_report_takes_no_slot() {
    let mut targets = targets(1);
    for _ in 0..3 {
        targets.claim(&identity(0), START);
    }
    let row = targets.rows.get_mut(&name(0)).expect("a target");
    let report = LoadReport {
        running: 3,
        waiting: 0,
        slots: 4,
    };
    row.report_load(report, START);
    assert_eq!(
        pick(&targets, &PickOptions::default(), START),
        Choice::Target(identity(0)),
        "three of four slots are taken, all by this daemon"
    );
}

/// Guards against sending requests to a target that other daemons have filled, and
/// against considering it full on the basis of an old report.
#[test]
fn slots_used_by_other_daemons_count_until_the_report_is_old() {
    let mut targets = targets(1);
    targets.claim(&identity(0), START);
    let row = targets.rows.get_mut(&name(0)).expect("a target");
    let report = LoadReport {
        running: 4,
        waiting: 2,
        slots: 4,
    };
    row.report_load(report, START);
    assert_eq!(
        pick(&targets, &PickOptions::default(), START),
        Choice::AllBusy
    );
    let later = START + DurationMs(600);
    assert_eq!(
        pick(&targets, &PickOptions::default(), later),
        Choice::Target(identity(0))
    );
}

/// Guards against a gray target that fails requests fast, therefore looks idle and
/// attracts every request.
#[test]
fn one_failure_excludes_a_target_while_others_serve() {
    let mut targets = targets(6);
    fail(&mut targets, 0, START);
    for second in 0..3 {
        let now = START + DurationMs(second * 1_000);
        for _ in 0..8 {
            let Choice::Target(chosen) = pick(&targets, &PickOptions::default(), now) else {
                panic!("idle targets are left");
            };
            assert_ne!(chosen, identity(0));
            targets.claim(&chosen, now);
            targets.release(&chosen);
        }
    }
}

/// Guards against too many trials of a target that fails for ten seconds: each
/// trial costs a request that must not run twice.
#[test]
fn a_target_on_hold_is_tried_by_one_request_at_a_time() {
    let mut targets = targets(6);
    fail(&mut targets, 0, START);
    fail(&mut targets, 0, START);
    let options = PickOptions {
        may_try: true,
        ..PickOptions::default()
    };
    let early = START + DurationMs(3_200);
    assert_ne!(pick(&targets, &options, early), Choice::Target(identity(0)));
    let due = START + DurationMs(3_300);
    use_all(&mut targets, 1..6, due);
    assert_eq!(pick(&targets, &options, due), Choice::Target(identity(0)));
    targets.claim(&identity(0), START);
    assert_ne!(
        pick(&targets, &options, due),
        Choice::Target(identity(0)),
        "no further request may be sent before the first trial has ended"
    );
}

/// Guards against a target on hold that is not tried because idempotent requests
/// are rare. Two seconds after its failure it counts for a floor again, and two
/// seconds later it has been without a request for too long.
#[test]
fn a_target_on_hold_is_tried_within_four_seconds_by_any_request() {
    for failures in 1..=3 {
        let mut targets = targets(6);
        for _ in 0..failures {
            let row = targets.rows.get_mut(&name(0)).expect("a target");
            row.failure_detector
                .record(AttemptOutcome::Failed, FAST_FAILURE_MS, 1.0, START);
        }
        let options = PickOptions {
            may_try: false,
            ..PickOptions::default()
        };
        let early = START + DurationMs(3_400);
        assert_ne!(pick(&targets, &options, early), Choice::Target(identity(0)));
        let late = START + DurationMs(3_900);
        use_all(&mut targets, 1..6, late);
        assert_eq!(pick(&targets, &options, late), Choice::Target(identity(0)));
    }
}

/// Guards against a target that stays suspected after it has recovered, so that its
/// capacity is lost.
#[test]
fn a_target_is_trusted_again_after_two_successes() {
    let mut targets = targets(2);
    fail(&mut targets, 0, START);
    for _ in 0..2 {
        let row = targets.rows.get_mut(&name(0)).expect("a target");
        assert!(row.failure_detector.is_suspected());
        row.failure_detector
            .record(AttemptOutcome::Answered, DurationMs(100), 0.0, START);
    }
    let row = targets.rows.get(&name(0)).expect("a target");
    assert!(!row.failure_detector.is_suspected());
}

/// Guards against trying failing targets before their holds end. A target does not
/// count for a floor for two seconds after a failure, so early trials don't help the
/// floor, and each one that fails increases the pressure.
#[test]
fn failing_targets_are_tried_after_their_holds() {
    let mut targets = targets(6);
    for number in 0..3 {
        fail(&mut targets, number, START);
        fail(&mut targets, number, START);
    }
    let options = PickOptions {
        may_try: true,
        ..PickOptions::default()
    };
    let mut tried = std::collections::BTreeSet::new();
    for after_ms in (0..3_900).step_by(20) {
        let now = START + DurationMs(after_ms);
        let Choice::Target(chosen) = pick(&targets, &options, now) else {
            panic!("idle targets are left");
        };
        targets.claim(&chosen, now);
        targets.release(&chosen);
        if chosen >= identity(3) {
            continue;
        }
        assert!(
            after_ms >= 3_300,
            "{chosen:?} was tried after {after_ms} ms"
        );
        tried.insert(chosen);
    }
    assert_eq!(tried.len(), 3, "all targets are tried in time");
}

/// Guards against trials of failing targets that the floor does not need because few
/// targets are unused.
#[test]
fn trials_under_pressure_stop_once_few_targets_are_unused() {
    let mut targets = targets(10);
    for number in 0..2 {
        fail(&mut targets, number, START);
        fail(&mut targets, number, START);
    }
    let recently = START + DurationMs(1_000);
    for number in 2..10 {
        targets.claim(&identity(number), recently);
        targets.release(&identity(number));
    }
    let options = PickOptions {
        may_try: true,
        ..PickOptions::default()
    };
    let Choice::Target(chosen) = pick(&targets, &options, START + DurationMs(1_600)) else {
        panic!("idle targets are left");
    };
    assert!(chosen >= identity(2), "two of ten targets may stay unused");
}

/// A burst fills the working targets while a third of all targets fails fast. Only
/// requests with `may_risk_failure` may be sent to a failing target then.
#[test]
fn failing_targets_are_used_only_if_the_request_allows_it() {
    let mut targets = targets(3);
    fail(&mut targets, 0, START);
    fill(&mut targets, 1);
    fill(&mut targets, 2);
    assert_eq!(
        pick(&targets, &PickOptions::default(), START),
        Choice::AllBusy
    );
    let risky_options = PickOptions {
        may_risk_failure: true,
        ..PickOptions::default()
    };
    assert_eq!(
        pick(&targets, &risky_options, START),
        Choice::Target(identity(0))
    );
}

/// Guards against requests that wait at a target until they time out: unlike a fast
/// failure, a slow one leaves little time for another attempt.
#[test]
fn a_target_that_fails_slowly_is_not_used_when_others_are_full() {
    let mut targets = targets(2);
    let row = targets.rows.get_mut(&name(0)).expect("a target");
    row.failure_detector
        .record(AttemptOutcome::TimedOut, DurationMs(900), 0.0, START);
    fill(&mut targets, 1);
    let options = PickOptions {
        may_risk_failure: true,
        ..PickOptions::default()
    };
    assert_eq!(pick(&targets, &options, START), Choice::AllBusy);
}

/// Guards against refusing all requests while every target of a service fails some
/// of them.
#[test]
fn a_service_whose_targets_are_all_on_hold_is_still_tried() {
    let mut targets = targets(2);
    fail(&mut targets, 0, START);
    fail(&mut targets, 1, START);
    let choice = pick(&targets, &PickOptions::default(), START);
    assert!(matches!(choice, Choice::Target(_)), "{choice:?}");
}

/// Guards against a busy target beside idle ones: a daemon spreads its requests evenly
/// over the targets whose home it is, and leaves those of others alone.
#[test]
fn a_daemon_spreads_requests_evenly_over_its_own_targets() {
    let mut targets = targets(20);
    let options = PickOptions {
        daemon_rank: Some(DaemonRank {
            rank: 0,
            daemons: 3,
        }),
        ..PickOptions::default()
    };
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..100 {
        let Choice::Target(chosen) = pick(&targets, &options, START) else {
            panic!("idle targets are left");
        };
        targets.claim(&chosen, START);
        targets.release(&chosen);
        *counts.entry(chosen).or_insert(0) += 1;
    }
    for (chosen, count) in &counts {
        let row = targets.rows.get(&chosen.name).expect("a target");
        let daemon_rank = options.daemon_rank.expect("an entry daemon");
        assert_eq!(
            daemon_rank.daemons_before(row),
            0,
            "{chosen:?} is another's"
        );
        let mean = 100 / counts.len();
        assert!((mean..=mean + 1).contains(count), "{counts:?}");
    }
    assert!(counts.len() > 1, "{counts:?}");
}

/// Guards against working targets that stay without a request for two seconds while
/// more than a tenth of the requests of a service fail.
#[test]
fn a_service_under_pressure_leaves_few_targets_unused() {
    let mut targets = targets(20);
    let options = PickOptions {
        ..PickOptions::default()
    };
    let now = START + DurationMs(1_400);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..20 {
        let Choice::Target(chosen) = pick(&targets, &options, now) else {
            panic!("idle targets are left");
        };
        targets.claim(&chosen, now);
        targets.release(&chosen);
        used.insert(chosen);
    }
    assert!(used.len() >= 16, "{} of 20 were used", used.len());
}

/// Guards against trials by each of several daemons under pressure: if more than
/// one daemon tries a failing target, the failed trials keep the pressure up.
#[test]
fn a_target_on_hold_is_tried_by_one_of_several_daemons() {
    let mut targets = targets(12);
    for number in 0..6 {
        fail(&mut targets, number, START);
        fail(&mut targets, number, START);
    }
    // The hold is over, but only the daemon that a target is assigned to may try it
    // yet.
    let now = START + DurationMs(3_350);
    use_all(&mut targets, 6..12, now);
    let mut tried_by = [0; 12];
    for rank in 0..3 {
        let daemon_rank = DaemonRank { rank, daemons: 3 };
        let options = PickOptions {
            may_try: true,
            daemon_rank: Some(daemon_rank),
            ..PickOptions::default()
        };
        let mut own = targets.clone();
        for _ in 0..12 {
            let Choice::Target(chosen) = pick(&own, &options, now) else {
                panic!("idle targets are left");
            };
            own.claim(&chosen, now);
            let position = number_of(&chosen);
            if position < 6 {
                assert_eq!(
                    daemon_rank.daemons_before(targets.rows.get(&chosen.name).expect("a target")),
                    0,
                    "{chosen:?} is assigned to another daemon"
                );
                tried_by[position] += 1;
            }
        }
    }
    assert_eq!(tried_by[..6], [1; 6], "each target is tried by one daemon");
}

/// Guards against targets on hold that are not tried within four seconds because the
/// entry daemon that they are assigned to has no callers.
#[test]
fn targets_assigned_to_an_idle_daemon_are_tried_by_the_others() {
    for daemons in 2..=6 {
        let mut targets = targets(12);
        for number in 0..12 {
            fail(&mut targets, number, START);
            fail(&mut targets, number, START);
        }
        // The daemon with rank 0 sends nothing; the others have requests all the time.
        let mut tried = std::collections::BTreeSet::new();
        for after_ms in (3_200..3_900).step_by(10) {
            let now = START + DurationMs(after_ms);
            for rank in 1..daemons {
                let options = PickOptions {
                    may_try: true,
                    daemon_rank: Some(DaemonRank { rank, daemons }),
                    ..PickOptions::default()
                };
                let Choice::Target(chosen) = pick(&targets, &options, now) else {
                    continue;
                };
                targets.claim(&chosen, now);
                targets.release(&chosen);
                fail(&mut targets, number_of(&chosen), now);
                tried.insert(chosen);
            }
        }
        assert_eq!(tried.len(), 12, "{daemons} daemons tried {tried:?}");
    }
}

/// Several daemons are under pressure, and one of them uses most of the targets. The
/// others learn this from its reports and don't need to use the same targets.
#[test]
fn a_target_that_another_daemon_uses_does_not_count_as_unused() {
    let mut targets = targets(10);
    let now = START + DurationMs(1_900);
    let use_of = |number| TargetUse {
        target: name(number),
        process: Some(identity(number).mark()),
        age_ms: DurationMs(100),
    };
    let used: Vec<TargetUse> = (1..10).map(use_of).collect();
    targets.record_peer_use(&used, now);
    let options = PickOptions {
        ..PickOptions::default()
    };
    assert_eq!(
        pick(&targets, &options, now),
        Choice::Target(identity(0)),
        "the only unused target"
    );
    targets.claim(&identity(0), now);
    targets.release(&identity(0));
    assert_ne!(pick(&targets, &options, now), Choice::Target(identity(0)));
    let later = now + DurationMs(1_150);
    assert_eq!(
        pick(&targets, &options, later),
        Choice::Target(identity(1)),
        "the other daemon's targets are unused, this one for longest"
    );
}

/// A use that another daemon reports counts from the time of the use, not from that
/// of the report, and is not reported again.
#[test]
fn reported_uses_keep_their_age() {
    let mut targets = targets(2);
    let now = START + DurationMs(2_000);
    let used = TargetUse {
        target: name(1),
        process: Some(identity(1).mark()),
        age_ms: DurationMs(900),
    };
    targets.record_peer_use(std::slice::from_ref(&used), now);
    let row = targets.rows.get(&name(1)).expect("a target");
    assert_eq!(row.used_at, START + DurationMs(1_100));
    let reported = targets.used_since(&service(), START + DurationMs(1), now);
    assert!(reported.is_empty(), "{reported:?}");
    targets.claim(&identity(1), now);
    let reported = targets.used_since(&service(), now, now + DurationMs(50));
    let age_ms = DurationMs(50);
    assert_eq!(reported, [TargetUse { age_ms, ..used }]);
}

/// Guards against a starting fleet whose daemons all choose the same target first.
#[test]
fn daemons_that_start_together_begin_with_different_targets() {
    let records: Vec<TargetRecord> = (0..12).map(|number| record(number, "near")).collect();
    let mut first = std::collections::BTreeSet::new();
    for daemon in 0..12 {
        let host = format!("entry-{daemon}").parse().expect("a name");
        let mut targets = LiveTargets::new(&host);
        targets.sync(records.iter().map(|record| (record, START)));
        let Choice::Target(chosen) = pick(&targets, &PickOptions::default(), START) else {
            panic!("idle targets are left");
        };
        first.insert(chosen);
    }
    assert!(first.len() >= 5, "{first:?}");
}

/// Guards against a new target that stays unused while the other targets have free
/// slots.
#[test]
fn a_new_target_gets_the_next_request() {
    let mut targets = targets(3);
    let mut records: Vec<TargetRecord> = (0..3).map(|number| record(number, "near")).collect();
    records.push(record(3, "far"));
    targets.sync(records.iter().map(|record| (record, START)));
    assert_eq!(
        pick(&targets, &PickOptions::default(), START),
        Choice::Target(identity(3))
    );
}

/// More targets are registered at the same time than a daemon has requests in a
/// second. If each of several daemons preferred all new targets, the previous ones
/// would get no requests.
#[test]
fn a_new_target_is_preferred_by_one_of_several_daemons() {
    let old: Vec<TargetRecord> = (0..10).map(|number| record(number, "near")).collect();
    let all: Vec<TargetRecord> = (0..54).map(|number| record(number, "near")).collect();
    let mut tries = 0;
    for rank in 0..6 {
        let mut tried = std::collections::BTreeSet::new();
        let mut targets = targets(10);
        targets.sync(old.iter().map(|record| (record, START)));
        targets.sync(all.iter().map(|record| (record, START)));
        let options = PickOptions {
            daemon_rank: Some(DaemonRank { rank, daemons: 6 }),
            ..PickOptions::default()
        };
        for _ in 0..54 {
            let Choice::Target(chosen) = pick(&targets, &options, START + DurationMs(500)) else {
                panic!("idle targets are left");
            };
            targets.claim(&chosen, START + DurationMs(500));
            targets.release(&chosen);
            tried.insert(number_of(&chosen));
        }
        tries += tried.iter().filter(|number| **number >= 10).count();
    }
    assert_eq!(tries, 44);
}

/// Guards against a new target that stays unused because the daemon that it is
/// assigned to has no requests.
#[test]
fn a_new_target_assigned_to_an_idle_daemon_is_used_by_the_others() {
    let mut targets = targets(3);
    let records: Vec<TargetRecord> = (0..4).map(|number| record(number, "near")).collect();
    targets.sync(records.iter().map(|record| (record, START)));
    let later = START + DurationMs(1_900);
    use_all(&mut targets, 0..3, later);
    for rank in 0..6 {
        let options = PickOptions {
            daemon_rank: Some(DaemonRank { rank, daemons: 6 }),
            ..PickOptions::default()
        };
        assert_eq!(pick(&targets, &options, later), Choice::Target(identity(3)));
    }
}

/// Daemons that are not entry daemons have only few requests of a service each. If
/// they preferred new targets, the previous ones would get none of these requests.
#[test]
fn daemons_that_are_not_entry_daemons_prefer_no_new_target() {
    let mut targets = targets(3);
    let records: Vec<TargetRecord> = (0..4).map(|number| record(number, "near")).collect();
    targets.sync(records.iter().map(|record| (record, START)));
    let options = PickOptions {
        daemon_rank: None,
        ..PickOptions::default()
    };
    let Choice::Target(chosen) = pick(&targets, &options, START) else {
        panic!("idle targets are left");
    };
    assert_ne!(chosen, identity(3));
}

/// A target restarts with the same name and address. The state of its last run must
/// not apply to the new one.
#[test]
fn a_restarted_target_loses_its_earlier_state() {
    let mut targets = targets(2);
    fail(&mut targets, 0, START);
    targets.claim(&identity(0), START);
    let mut again = record(0, "near");
    again.identity.started_unix_ms = 2;
    let kept = record(1, "near");
    targets.sync([(&again, START), (&kept, START)].into_iter());
    let row = targets.rows.get(&name(0)).expect("a target");
    assert_eq!(row.counts.in_flight, 0);
    assert!(!row.failure_detector.is_suspected());
}

/// Guards against requests that are lost when a leaving target exits.
#[test]
fn leaving_targets_get_no_requests() {
    let mut targets = targets(1);
    let mut leaving = record(0, "near");
    leaving.state = TargetState::Leaving;
    targets.sync([(&leaving, START)].into_iter());
    assert_eq!(
        pick(&targets, &PickOptions::default(), START),
        Choice::NoTarget
    );
}

/// A slot of a suspected target is handed to a request whose caller leaves before it is
/// sent. Guards against a trial that never ends, after which the target is avoided for as
/// long as others serve.
#[test]
fn a_slot_that_is_given_back_unused_ends_its_trial() {
    let mut targets = targets(2);
    fail(&mut targets, 0, START);
    let options = PickOptions {
        may_try: true,
        ..PickOptions::default()
    };
    let now = START + DurationMs(4_000);
    use_all(&mut targets, 1..2, now);
    assert_eq!(pick(&targets, &options, now), Choice::Target(identity(0)));
    targets.claim(&identity(0), now);
    use_all(&mut targets, 1..2, now);
    assert_eq!(pick(&targets, &options, now), Choice::Target(identity(1)));
    targets.release_unused(&identity(0));
    let row = targets.rows.get(&name(0)).expect("a target");
    assert_eq!(row.counts.in_flight, 0);
    assert_eq!(pick(&targets, &options, now), Choice::Target(identity(0)));
}

/// Guards against a second trial beside the first one.
#[test]
fn a_slot_that_is_given_back_unused_leaves_the_trial_of_another_request() {
    let mut targets = targets(2);
    fail(&mut targets, 0, START);
    let options = PickOptions {
        may_try: true,
        ..PickOptions::default()
    };
    let now = START + DurationMs(4_000);
    targets.claim(&identity(0), now);
    targets.claim(&identity(0), now);
    targets.release_unused(&identity(0));
    use_all(&mut targets, 1..2, now);
    assert_eq!(pick(&targets, &options, now), Choice::Target(identity(1)));
}

/// Guards against a target that crashes because the bodies of its requests exceed its
/// memory, although it has free slots.
#[test]
fn a_target_without_room_for_a_body_is_passed_over() {
    const MB: u64 = 1024 * 1024;
    let choose = |targets: &LiveTargets, body_bytes: u64, accepts_full: bool| {
        let options = PickOptions::default();
        let request = PickRequest {
            service: &options.service,
            failure_domain: &options.failure_domain,
            tried: &[],
            may_try: false,
            may_risk_failure: false,
            daemon_rank: options.daemon_rank,
            accepts_full,
            body_bytes,
        };
        pick_live_target(targets, &request, START)
    };
    let mut one = targets(1);
    one.claim(&identity(0), START);
    one.add_body(&identity(0), 5 * MB);
    assert_eq!(choose(&one, 3 * MB, false), Choice::Target(identity(0)));
    assert_eq!(choose(&one, 3 * MB + 1, false), Choice::AllBusy);
    assert_eq!(choose(&one, 3 * MB + 1, true), Choice::AllBusy, "a retry");
    assert_eq!(choose(&one, 0, false), Choice::Target(identity(0)));
    one.remove_body(&identity(0), 5 * MB);
    one.add_body(&identity(0), 1_000);
    let alone = choose(&one, 20 * MB, false);
    assert_eq!(alone, Choice::Target(identity(0)), "a large body alone");
    let mut two = targets(2);
    for number in 0..2 {
        two.claim(&identity(number), START);
    }
    two.claim(&identity(1), START);
    two.add_body(&identity(0), 6 * MB);
    let other = choose(&two, 3 * MB, false);
    assert_eq!(
        other,
        Choice::Target(identity(1)),
        "the more loaded one has room"
    );
}

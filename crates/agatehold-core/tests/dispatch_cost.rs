//! Tests the learned cost of requests and the choice of targets by expected work.

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use agatehold_core::config::TargetState;
use agatehold_core::dispatch::Choice;
use agatehold_core::dispatch::DaemonRank;
use agatehold_core::dispatch::LiveTargets;
use agatehold_core::dispatch::PickRequest;
use agatehold_core::dispatch::cost::CostFeatures;
use agatehold_core::dispatch::cost::CostTable;
use agatehold_core::dispatch::cost::ExpectedCost;
use agatehold_core::dispatch::cost::RequestCost;
use agatehold_core::dispatch::cost::RequestTraits;
use agatehold_core::dispatch::cost::WorkMs;
use agatehold_core::dispatch::cost::record_answered_cost;
use agatehold_core::dispatch::pick_live_target;
use agatehold_core::ids::FailureDomain;
use agatehold_core::ids::ServiceName;
use agatehold_core::target_registry::TargetIdentity;
use agatehold_core::target_registry::TargetRecord;
use agatehold_core::units::DurationMs;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TimeMs;

const START: TimeMs = TimeMs(3_600_000);

fn features(path: &str, query: Option<&str>) -> CostFeatures {
    CostFeatures::of(&RequestTraits {
        route: "forms",
        path,
        query,
        body_bytes: 100,
        tenant: None,
    })
}

fn expected_ms(table: &CostTable, path: &str, query: Option<&str>, now: TimeMs) -> f64 {
    let expected = table.expected(&features(path, query), now);
    expected.expect("a known route").work.0
}

/// A factor without effect on the mean logarithm, up to the power of the spread.
fn noise(spread: f64, rng: &mut Pcg64Mcg) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum();
    ((sum - 6.0) * spread).exp()
}

fn service() -> ServiceName {
    "service".parse().expect("a name")
}

fn identity(number: usize) -> TargetIdentity {
    TargetIdentity {
        name: format!("target-{number}").parse().expect("a name"),
        started_unix_ms: 1,
    }
}

fn records(count: usize) -> Vec<TargetRecord> {
    let mut records = Vec::new();
    for number in 0..count {
        records.push(TargetRecord {
            identity: identity(number),
            service: service(),
            address: format!("10.0.0.{number}:8080").parse().expect("an address"),
            failure_domain: "domain".parse().expect("a name"),
            slots: SlotCount(4),
            state: TargetState::Serving,
            warmup_left_ms: DurationMs(0),
        });
    }
    records
}

/// Returns a table of targets, each of which this daemon has used.
fn targets(count: usize, uses_expected_work: bool) -> LiveTargets {
    let mut targets = LiveTargets::new(&"host".parse().expect("a name"));
    let records = records(count);
    targets.sync(records.iter().map(|record| (record, START)));
    targets.set_uses_expected_work(uses_expected_work);
    for number in 0..count {
        targets.claim(&identity(number), START);
        targets.release(&identity(number));
    }
    targets
}

fn pick(targets: &LiveTargets, now: TimeMs) -> Choice {
    let failure_domain: FailureDomain = "domain".parse().expect("a name");
    let request = PickRequest {
        service: &service(),
        failure_domain: &failure_domain,
        tried: &[],
        may_try: true,
        may_risk_failure: false,
        daemon_rank: Some(DaemonRank {
            rank: 0,
            daemons: 1,
        }),
        accepts_full: false,
        body_bytes: 0,
    };
    pick_live_target(targets, &request, now)
}

const fn cost_of(work_ms: f64) -> ExpectedCost {
    ExpectedCost {
        work: WorkMs(work_ms),
        log_spread: 0.2,
    }
}

/// Records answers of requests whose cost was known, so that the service's mean work is.
fn record_usual_answers(targets: &mut LiveTargets, count: usize, work_ms: u64) {
    let mut costs = CostTable::new();
    let cost = RequestCost {
        features: features("a", None),
        expected: Some(cost_of(work_ms as f64)),
    };
    for number in 0..count {
        for _ in 0..20 {
            let identity = identity(number);
            let run_ms = DurationMs(work_ms);
            record_answered_cost(&mut costs, targets, &identity, &cost, run_ms, START);
        }
    }
}

/// Guards against features that predict and are not used, and against one that takes
/// another value in each request and spoils the prediction.
#[test]
fn a_predicting_feature_is_found_among_others() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut table = CostTable::new();
    let mut now = START;
    let cost_ms = |kind: u32| 20.0 * 20_f64.powf(f64::from(kind) / 19.0);
    for number in 0..6_000 {
        let kind = rng.random_range(0..20);
        let (path, query) = (format!("{number}/{kind}"), format!("trace={number}"));
        let run = WorkMs(cost_ms(kind) * noise(0.2, &mut rng));
        table.record(&features(&path, Some(&query)), run, now);
        now = now + DurationMs(10);
    }
    for kind in 0..20 {
        let ratio = expected_ms(&table, &format!("new/{kind}"), None, now) / cost_ms(kind);
        assert!((0.8..=1.25).contains(&ratio), "{kind}: {ratio:.2}");
    }
}

/// Guards against taking chance for prediction: the expected cost must be the same for
/// all requests, and near the mean in spite of a heavy tail.
#[test]
fn features_that_predict_nothing_change_nothing() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut table = CostTable::new();
    let mut now = START;
    let mut sum = 0.0;
    let mut last = (f64::INFINITY, 0.0_f64);
    for number in 0..6_000 {
        let factor = if rng.random_bool(0.03) { 7.0 } else { 1.0 };
        let run_ms = 200.0 * noise(0.8, &mut rng) * factor;
        sum += run_ms;
        let path = format!("{}/{number}", number % 20);
        table.record(&features(&path, None), WorkMs(run_ms), now);
        now = now + DurationMs(10);
    }
    for kind in 0..20 {
        let expected = expected_ms(&table, &format!("{kind}/new"), None, now);
        last = (last.0.min(expected), last.1.max(expected));
    }
    assert!(last.1 / last.0 < 1.1, "{last:?}");
    let ratio = last.1 / (sum / 6_000.0);
    assert!((0.75..=1.33).contains(&ratio), "{ratio:.2}");
}

/// Guards against memory that grows with the number of distinct features, and against
/// rare ones that displace a frequent one.
#[test]
fn distinct_features_take_no_memory_and_displace_no_frequent_one() {
    let mut table = CostTable::new();
    let bytes = table.memory_bytes();
    assert!(bytes < 2 << 20, "{bytes}");
    let mut now = START;
    for number in 0..200_000 {
        let (kind, run_ms) = if number % 10 == 0 {
            ("slow", 900.0)
        } else {
            ("fast", 100.0)
        };
        let path = format!("{kind}/{number}/{}", number / 3);
        table.record(&features(&path, None), WorkMs(run_ms), now);
        now = now + DurationMs(1);
    }
    assert_eq!(table.memory_bytes(), bytes);
    let ratio = expected_ms(&table, "slow/x", None, now) / expected_ms(&table, "fast/x", None, now);
    assert!((7.0..=11.0).contains(&ratio), "{ratio:.2}");
}

/// Guards against what was learned for good: costs change with new versions of a
/// service.
#[test]
fn old_costs_are_forgotten() {
    let mut table = CostTable::new();
    let mut now = START;
    for round in 0..4_000 {
        let is_swapped = round >= 2_000;
        for (path, is_first) in [("a", true), ("b", false)] {
            let run_ms = if is_first == is_swapped { 400.0 } else { 40.0 };
            table.record(&features(path, None), WorkMs(run_ms), now);
        }
        now = now + DurationMs(400);
    }
    let (a, b) = (
        expected_ms(&table, "a", None, now),
        expected_ms(&table, "b", None, now),
    );
    assert!(a > b * 4.0, "a {a:.0}, b {b:.0}");
}

/// Guards against one stuck request that makes all others look expensive.
#[test]
fn an_outlier_changes_little() {
    let mut table = CostTable::new();
    let now = START;
    for _ in 0..300 {
        table.record(&features("a", None), WorkMs(100.0), now);
    }
    table.record(&features("a", None), WorkMs(100_000.0), now);
    let expected = expected_ms(&table, "a", None, now);
    assert!(expected < 104.0, "{expected:.0}");
}

/// Guards against a slow target that passes for expensive requests: here the requests of
/// one path reach almost only a target that takes four times as long.
#[test]
fn a_slow_target_does_not_make_its_requests_expensive() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut table = CostTable::new();
    let mut targets = targets(10, true);
    let mut now = START;
    for _ in 0..8_000 {
        let target = rng.random_range(0..10);
        let is_at_slow = target == 0;
        let is_a = rng.random_bool(if is_at_slow { 0.9 } else { 0.05 });
        let features = features(if is_a { "a" } else { "b" }, None);
        let expected = table.expected(&features, now);
        let slowness = if is_at_slow { 4.0 } else { 1.0 };
        let run_ms = DurationMs((100.0 * slowness * noise(0.3, &mut rng)) as u64);
        let cost = RequestCost { features, expected };
        record_answered_cost(
            &mut table,
            &mut targets,
            &identity(target),
            &cost,
            run_ms,
            now,
        );
        now = now + DurationMs(10);
    }
    let (a, b) = (
        expected_ms(&table, "a", None, now),
        expected_ms(&table, "b", None, now),
    );
    assert!(a < b * 1.5, "a {a:.0}, b {b:.0}");
    let work = *targets.work_of(&service()).expect("known work");
    let load = |number: usize| targets.rows.get(&identity(number).name).expect("a row");
    let (slow, usual) = (
        load(0).expected_load(&work, now),
        load(1).expected_load(&work, now),
    );
    assert!(slow > usual + 0.5, "slow {slow:.2}, usual {usual:.2}");
}

/// Guards against a choice that ignores what the requests in flight still need, and
/// against one that goes before the number of requests, by which slots are taken.
#[test]
fn of_equally_used_targets_that_with_the_least_work_is_chosen() {
    let mut targets = targets(3, true);
    record_usual_answers(&mut targets, 3, 100);
    for (number, work_ms) in [(0, 3_000.0), (1, 20.0), (2, 100.0)] {
        targets.claim(&identity(number), START);
        let expected = ExpectedCost {
            work: WorkMs(work_ms),
            log_spread: if number == 1 { 1.0 } else { 0.2 },
        };
        targets.begin_work(&identity(number), expected, START);
    }
    assert_eq!(pick(&targets, START), Choice::Target(identity(1)));
    // What was expected to take 20 ms has taken 500 ms, and may take as long again.
    let later = START + DurationMs(500);
    assert_eq!(pick(&targets, later), Choice::Target(identity(2)));
    targets.claim(&identity(1), START);
    targets.begin_work(&identity(1), cost_of(1.0), START);
    assert_eq!(pick(&targets, START), Choice::Target(identity(2)));
}

/// Guards against targets beyond their slots: cheap requests need slots too.
#[test]
fn slots_are_counted_whatever_the_work() {
    let mut targets = targets(1, true);
    record_usual_answers(&mut targets, 1, 100);
    for _ in 0..4 {
        targets.claim(&identity(0), START);
        targets.begin_work(&identity(0), cost_of(1.0), START);
    }
    assert_eq!(pick(&targets, START), Choice::AllBusy);
}

/// Guards against work that is lost or kept for good when a registration lapses while
/// requests are in flight.
#[test]
fn work_survives_a_lapsed_registration() {
    let mut targets = targets(2, true);
    record_usual_answers(&mut targets, 2, 100);
    let both = records(2);
    targets.claim(&identity(0), START);
    let id = targets.begin_work(&identity(0), cost_of(50.0), START);
    targets.sync(both[1..].iter().map(|record| (record, START)));
    targets.sync(both.iter().map(|record| (record, START)));
    let running = |targets: &LiveTargets| {
        let row = targets.rows.get(&identity(0).name).expect("a row");
        row.counts.running.len()
    };
    assert_eq!(running(&targets), 1);
    targets.sync(both[1..].iter().map(|record| (record, START)));
    targets.end_work(&identity(0), id.expect("a known process"));
    targets.release(&identity(0));
    targets.sync(both.iter().map(|record| (record, START)));
    assert_eq!(running(&targets), 0);
}

/// Guards against a feature that acts where the settings don't ask for it.
#[test]
fn without_the_setting_targets_are_chosen_by_count() {
    let mut targets = targets(2, false);
    record_usual_answers(&mut targets, 2, 100);
    assert!(targets.work_of(&service()).is_none());
    targets.claim(&identity(0), START);
    targets.begin_work(&identity(0), cost_of(1.0), START);
    targets.claim(&identity(1), START);
    targets.begin_work(&identity(1), cost_of(900.0), START);
    targets.claim(&identity(0), START);
    assert_eq!(pick(&targets, START), Choice::Target(identity(1)));
}

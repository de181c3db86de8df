//! Tests that the choice by expected work keeps its goals on fixed traces.

use agatehold_measure::expected_cost::Policy;
use agatehold_measure::expected_cost::Results;
use agatehold_measure::expected_cost::Setup;
use agatehold_measure::expected_cost::Trace;
use agatehold_measure::expected_cost::simulate_seeds;

const TWO_SEEDS: &[u64] = &[1, 2];

fn measure(trace: Trace, daemons: usize, load: f64, policy: Policy, seeds: &[u64]) -> Results {
    let setup = Setup {
        trace,
        policy,
        daemons,
        targets: 50,
        load,
        length_ms: 30_000,
    };
    let results = simulate_seeds(&setup, seeds);
    println!(
        "{trace}, {daemons} daemons, load {load}, {policy}: p50 {}, p99 {}, late {:.3}%",
        results.quantile(0.5),
        results.quantile(0.99),
        results.late_share() * 100.0
    );
    results
}

/// Guards against a choice that takes no account of slow targets, and against costs that
/// absorb their slowness.
#[test]
fn fewer_responses_are_late_where_targets_differ_in_speed() {
    let by_work = measure(Trace::SlowThird, 1, 0.5, Policy::ExpectedWork, TWO_SEEDS);
    let by_count = measure(Trace::SlowThird, 1, 0.5, Policy::Count, TWO_SEEDS);
    assert!(by_work.late_share() < by_count.late_share() * 0.75);
    assert!(by_work.quantile(0.99) < by_count.quantile(0.99));
    assert!(by_work.quantile(0.5) < by_count.quantile(0.5));
}

/// Guards against a choice that takes no account of the cost of requests in flight.
#[test]
fn fewer_responses_are_late_where_requests_share_cores_and_cost_is_predictable() {
    let by_work = measure(Trace::SharedCores, 1, 0.95, Policy::ExpectedWork, TWO_SEEDS);
    let by_count = measure(Trace::SharedCores, 1, 0.95, Policy::Count, TWO_SEEDS);
    assert!(by_work.late_share() < by_count.late_share() * 0.75);
}

/// Guards against a choice that mistakes chance for cost or speed.
///
/// The traces are the same for both choices, so that the differences of the seeds are
/// independent samples of one difference. Its mean may be above 0 by three standard errors,
/// since nine differences are looked at, and by no more than a twentieth of the late
/// responses by count or 1% of a quantile.
#[test]
fn nothing_is_lost_where_cost_is_unpredictable() {
    for (daemons, load) in [(1, 0.8), (8, 0.8), (8, 0.95)] {
        let [mut late, mut median, mut slowest] = [const { Vec::new() }; 3];
        let mut late_by_count = 0.0;
        for seed in 1..=8 {
            let measure = |policy| measure(Trace::Unpredictable, daemons, load, policy, &[seed]);
            let (by_work, by_count) = (measure(Policy::ExpectedWork), measure(Policy::Count));
            late.push(by_work.late_share() - by_count.late_share());
            late_by_count += by_count.late_share() / 8.0;
            for (share, ratios) in [(0.5, &mut median), (0.99, &mut slowest)] {
                let ratio = by_work.quantile(share) as f64 / by_count.quantile(share) as f64;
                ratios.push(ratio - 1.0);
            }
        }
        for (excess, limit) in [
            (late, late_by_count * 0.05),
            (median, 0.01),
            (slowest, 0.01),
        ] {
            let (mean, error) = mean_and_error(&excess);
            let text = format!("{daemons} daemons, load {load}: {mean:.5}, error {error:.5}");
            println!("{text}, limit {limit:.5}");
            assert!(mean <= limit.min(3.0 * error), "{text}");
        }
    }
}

/// Returns the mean and its standard error.
fn mean_and_error(samples: &[f64]) -> (f64, f64) {
    let count = samples.len() as f64;
    let mean = samples.iter().sum::<f64>() / count;
    let squares: f64 = samples.iter().map(|one| (one - mean).powi(2)).sum();
    (mean, (squares / (count - 1.0) / count).sqrt())
}

/// Guards against daemons that send to the same targets because they know too little of
/// each other's requests.
#[test]
fn expected_work_is_better_than_two_random_choices_at_eight_daemons() {
    let by_work = measure(Trace::Predictable, 8, 0.8, Policy::ExpectedWork, TWO_SEEDS);
    let by_chance = measure(
        Trace::Predictable,
        8,
        0.8,
        Policy::TwoRandomChoices,
        TWO_SEEDS,
    );
    assert!(by_work.late_share() < by_chance.late_share() * 0.5);
    assert!(by_work.quantile(0.5) < by_chance.quantile(0.5));
}

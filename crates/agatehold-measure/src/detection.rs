//! Measures how fast a failing target is detected and avoided.

use rand::SeedableRng;
use rand_pcg::Pcg64;

use agatehold_core::health::alarm_threshold;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::routing::Preference;
use agatehold_core::units::TimeMs;

use crate::simulation::Daemon;
use crate::simulation::Fault;
use crate::simulation::InFlightRequests;
use crate::simulation::MEDIAN_MS;
use crate::simulation::Profile;
use crate::simulation::TARGETS;
use crate::simulation::TICK_MS;
use crate::simulation::draw_answer;
use crate::simulation::draw_interarrival_ms;
use crate::simulation::draw_latency;
use crate::table::markdown;
use crate::table::mean;
use crate::table::quantile;

/// The seed of every run.
pub const SEED: u64 = 801;

/// The mean time between requests from one daemon to one target.
const GAP_MS: f64 = 100.0;

/// The time within which a fault must be detected; a later one counts as missed.
const LIMIT_MS: u64 = 120_000;

/// The number of consecutive failures after which the consecutive-failure rule
/// fires. The detector is compared with this rule.
const CONSECUTIVE_FAILURE_LIMIT: u32 = 5;

/// The measured faults with their names in the report.
pub const FAULTS: [(&str, Fault); 7] = [
    ("fails 100%", Fault::Fails(1.0)),
    ("fails 50%", Fault::Fails(0.5)),
    ("fails 20%", Fault::Fails(0.2)),
    ("hangs", Fault::Hangs),
    ("3x slower", Fault::Slower(3.0)),
    ("10x slower", Fault::Slower(10.0)),
    ("flaps, 5 s", Fault::Flaps { period_ms: 5_000 }),
];

/// The results for one fault.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// The observations until the alarm, per trial.
    pub observations: Vec<f64>,
    /// The time until the target is avoided, per trial.
    pub elapsed_ms: Vec<f64>,
    /// The requests sent until the target is avoided, per trial.
    pub sent: Vec<f64>,
    /// The requests sent until the consecutive-failure rule fires, per trial.
    pub consecutive_rule_sent: Vec<f64>,
    /// The number of trials in which the target was not avoided in time.
    pub missed: u32,
    /// The number of trials in which the consecutive-failure rule did not fire
    /// in time.
    pub consecutive_rule_missed: u32,
}

/// Measures `fault` in `trials` trials. With `with_consecutive_rule`, trials
/// continue until the consecutive-failure rule fires as well, or half of
/// `LIMIT_MS` has passed.
pub fn measure(
    profile: Profile,
    fault: Fault,
    trials: u32,
    with_consecutive_rule: bool,
) -> Results {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let mut warm = Daemon::new(0, profile, TARGETS);
    warm.warm_up(&mut rng);
    let mut results = Results::default();
    for _ in 0..trials {
        let mut daemon = warm.clone();
        // Healthy answers bring the statistics to their usual level.
        for round in 0..50 {
            let elapsed = draw_latency(MEDIAN_MS, &mut rng);
            let at = TimeMs(40_000 + round * TICK_MS);
            daemon.record(0, AttemptOutcome::Answered, elapsed, at);
        }
        run_trial(
            &mut daemon,
            profile,
            fault,
            with_consecutive_rule,
            &mut rng,
            &mut results,
        );
    }
    results
}

fn run_trial(
    daemon: &mut Daemon,
    profile: Profile,
    fault: Fault,
    with_consecutive_rule: bool,
    rng: &mut Pcg64,
    results: &mut Results,
) {
    const ONSET_MS: u64 = 50_000;
    let threshold = alarm_threshold(&profile.policy());
    let slots = profile.slots().0 as usize;
    let mut in_flight = InFlightRequests::default();
    let mut next_at = draw_interarrival_ms(GAP_MS, rng);
    let (mut observations, mut sent, mut consecutive_failures) = (0u32, 0u32, 0u32);
    let (mut alarmed, mut avoided, mut consecutive_rule_sent) = (None, None, None);
    for ms in 0..LIMIT_MS {
        let now = ONSET_MS + ms;
        while next_at <= ms as f64 {
            next_at += draw_interarrival_ms(GAP_MS, rng);
            if in_flight.at_target(0) < slots {
                sent += 1;
                in_flight.send(0, now, draw_answer(fault, ms, rng), daemon.slow_bound());
            }
        }
        for (position, outcome, elapsed) in in_flight.advance(now, daemon.slow_bound()) {
            if alarmed.is_none() {
                daemon.record(position, outcome, elapsed, TimeMs(now));
                // Only the first report on a request counts as an observation.
                let bound = daemon.slow_bound();
                let is_new = match outcome {
                    AttemptOutcome::Overdue => elapsed < bound.times(2),
                    _ => elapsed < bound,
                };
                observations += u32::from(is_new);
                let row = daemon.health.targets.get(&daemon.targets[0]);
                if row.is_some_and(|row| row.evidence() >= threshold) {
                    alarmed = Some(observations);
                }
            }
            match outcome {
                AttemptOutcome::Failed | AttemptOutcome::TimedOut => consecutive_failures += 1,
                AttemptOutcome::Answered => consecutive_failures = 0,
                _ => {}
            }
            if consecutive_failures >= CONSECUTIVE_FAILURE_LIMIT && consecutive_rule_sent.is_none()
            {
                consecutive_rule_sent = Some(sent);
            }
        }
        if now.is_multiple_of(TICK_MS) && avoided.is_none() {
            let evaluation = daemon.evaluate_targets(TimeMs(now));
            let verdict = evaluation.verdicts.get(&daemon.targets[0]);
            if verdict.is_some_and(|verdict| verdict.preference == Preference::Avoided) {
                avoided = Some((ms, sent));
            }
        }
        if avoided.is_some()
            && (!with_consecutive_rule || consecutive_rule_sent.is_some() || ms > LIMIT_MS / 2)
        {
            break;
        }
    }
    match (alarmed, avoided) {
        (Some(alarmed), Some((ms, sent))) => {
            results.observations.push(f64::from(alarmed));
            results.elapsed_ms.push(ms as f64);
            results.sent.push(f64::from(sent));
        }
        _ => results.missed += 1,
    }
    match consecutive_rule_sent {
        Some(sent) => results.consecutive_rule_sent.push(f64::from(sent)),
        None => results.consecutive_rule_missed += 1,
    }
}

/// Returns Wald's lower bound on the mean number of observations that any
/// sequential test with the error rates of `profile` needs to detect `fault`.
/// Returns `None` for a hang, which one observation shows with certainty.
pub fn wald_bound(profile: Profile, fault: Fault) -> Option<f64> {
    let policy = profile.policy();
    let (false_rate, missed) = (policy.max_false_ejection.get(), policy.max_missed.get());
    let nats = (1.0 - missed) * ((1.0 - missed) / false_rate).ln()
        + missed * (missed / (1.0 - false_rate)).ln();
    let healthy = 0.01;
    let nats_per_observation = match fault {
        Fault::Hangs => return None,
        Fault::Flaps { .. } => divergence(&[1.0], &[healthy]),
        Fault::Fails(1.0) => divergence(&[1.0], &[healthy]),
        Fault::Fails(share) => divergence(&[share, 1.0 - share], &[healthy, 1.0 - healthy]),
        Fault::Slower(factor) => slow_divergence(factor),
    };
    Some((nats / nats_per_observation).max(1.0))
}

/// Returns the divergence of a slow target's latency classes (up to the slow
/// bound, up to twice the bound, beyond that) from those that the detector assumes
/// for a healthy target.
fn slow_divergence(factor: f64) -> f64 {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let mut counts = [0u32; 3];
    const SAMPLES: u32 = 100_000;
    for _ in 0..SAMPLES {
        let ratio = draw_latency(MEDIAN_MS * factor, &mut rng).0 as f64 / (MEDIAN_MS * 2.5);
        let class = if ratio <= 1.0 {
            0
        } else {
            1 + usize::from(ratio > 2.0)
        };
        counts[class] += 1;
    }
    let slow: Vec<f64> = counts
        .iter()
        .map(|count| f64::from(*count) / f64::from(SAMPLES))
        .collect();
    divergence(&slow, &[0.95, 0.045, 0.005])
}

/// Returns the Kullback-Leibler divergence of `bad` from `healthy` in nats.
fn divergence(bad: &[f64], healthy: &[f64]) -> f64 {
    let terms = bad.iter().zip(healthy).filter(|(p, _)| **p > 0.0);
    terms.map(|(p, q)| p * (p / q).ln()).sum()
}

/// Measures all faults and returns the table.
pub fn report(trials: u32) -> String {
    let mut rows = Vec::new();
    for profile in Profile::ALL {
        for (name, fault) in FAULTS {
            let mut results = measure(profile, fault, trials, true);
            let bound = wald_bound(profile, fault);
            let average = mean(&results.observations);
            let total = f64::from(trials);
            rows.push(vec![
                profile.as_str().to_owned(),
                name.to_owned(),
                format!("{average:.1}"),
                format!("{:.0}", quantile(&mut results.observations, 0.5)),
                format!("{:.0}", quantile(&mut results.observations, 0.99)),
                bound.map_or_else(|| "1".to_owned(), |bound| format!("{bound:.1}")),
                bound.map_or_else(|| "-".to_owned(), |bound| format!("{:.2}", average / bound)),
                format!("{:.0}", quantile(&mut results.elapsed_ms, 0.5)),
                format!("{:.0}", quantile(&mut results.elapsed_ms, 0.99)),
                format!("{:.2}%", 100.0 * f64::from(results.missed) / total),
                if results.consecutive_rule_sent.is_empty() {
                    "never".to_owned()
                } else {
                    format!(
                        "{:.0}, {:.0}",
                        quantile(&mut results.consecutive_rule_sent, 0.5),
                        quantile(&mut results.consecutive_rule_sent, 0.99)
                    )
                },
                format!(
                    "{:.0}%",
                    100.0 * f64::from(results.consecutive_rule_missed) / total
                ),
            ]);
        }
    }
    let headers = [
        "profile",
        "fault",
        "mean obs.",
        "p50",
        "p99",
        "Wald bound",
        "ratio",
        "p50 ms",
        "p99 ms",
        "missed",
        "5 in a row: p50, p99 requests",
        "missed by 5 in a row",
    ];
    markdown(&headers, &rows)
}

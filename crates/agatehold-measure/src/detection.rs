//! How fast a failing target is avoided.

use rand::SeedableRng;
use rand_pcg::Pcg64;

use agatehold_core::health::alarm_threshold;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::routing::Preference;
use agatehold_core::units::TimeMs;

use crate::stream::Daemon;
use crate::stream::Fault;
use crate::stream::Flights;
use crate::stream::MEDIAN_MS;
use crate::stream::Profile;
use crate::stream::TARGETS;
use crate::stream::TICK_MS;
use crate::stream::answer;
use crate::stream::gap;
use crate::stream::latency;
use crate::table::markdown;
use crate::table::mean;
use crate::table::quantile;

/// The seed of all detection streams.
pub const SEED: u64 = 801;

/// The mean time between requests of one daemon to one target.
const GAP_MS: f64 = 100.0;

/// The time after which a fault counts as missed.
const LIMIT_MS: u64 = 120_000;

/// Failures in a row that the plain rule needs.
const PLAIN_RULE: u32 = 5;

/// The faults that are measured, by name.
pub const FAULTS: [(&str, Fault); 7] = [
    ("fails 100%", Fault::Fails(1.0)),
    ("fails 50%", Fault::Fails(0.5)),
    ("fails 20%", Fault::Fails(0.2)),
    ("hangs", Fault::Hangs),
    ("3x slower", Fault::Slower(3.0)),
    ("10x slower", Fault::Slower(10.0)),
    ("flaps, 5 s", Fault::Flaps { period_ms: 5_000 }),
];

/// The figures of one fault.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Observations until the alarm, by trial.
    pub observations: Vec<f64>,
    /// Time until the target is avoided, by trial.
    pub elapsed_ms: Vec<f64>,
    /// Requests sent until the target is avoided, by trial.
    pub sent: Vec<f64>,
    /// Requests until the plain rule fires, by trial.
    pub plain: Vec<f64>,
    /// Trials in which the target was not avoided in time.
    pub missed: u32,
    /// Trials in which the plain rule did not fire in time.
    pub plain_missed: u32,
}

/// Measures `fault` over `trials` streams, and the plain rule with it if asked.
pub fn measure(profile: Profile, fault: Fault, trials: u32, with_plain: bool) -> Figures {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let mut warm = Daemon::new(0, profile, TARGETS);
    warm.warm_up(&mut rng);
    let mut figures = Figures::default();
    for _ in 0..trials {
        let mut daemon = warm.clone();
        // The statistics start from where healthy work left them.
        for round in 0..50 {
            let elapsed = latency(MEDIAN_MS, &mut rng);
            let at = TimeMs(40_000 + round * TICK_MS);
            daemon.record(0, AttemptOutcome::Answered, elapsed, at);
        }
        run_trial(
            &mut daemon,
            profile,
            fault,
            with_plain,
            &mut rng,
            &mut figures,
        );
    }
    figures
}

fn run_trial(
    daemon: &mut Daemon,
    profile: Profile,
    fault: Fault,
    with_plain: bool,
    rng: &mut Pcg64,
    figures: &mut Figures,
) {
    const ONSET_MS: u64 = 50_000;
    let threshold = alarm_threshold(&profile.policy());
    let slots = profile.slots().0 as usize;
    let mut flights = Flights::default();
    let mut next_at = gap(GAP_MS, rng);
    let (mut observations, mut sent, mut in_a_row) = (0u32, 0u32, 0u32);
    let (mut alarmed, mut avoided, mut plain) = (None, None, None);
    for ms in 0..LIMIT_MS {
        let now = ONSET_MS + ms;
        while next_at <= ms as f64 {
            next_at += gap(GAP_MS, rng);
            if flights.at_target(0) < slots {
                sent += 1;
                flights.send(0, now, answer(fault, ms, rng), daemon.slow_bound());
            }
        }
        for (position, outcome, elapsed) in flights.advance(now, daemon.slow_bound()) {
            if alarmed.is_none() {
                daemon.record(position, outcome, elapsed, TimeMs(now));
                // A request counts when it is first reported.
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
                AttemptOutcome::Failed | AttemptOutcome::TimedOut => in_a_row += 1,
                AttemptOutcome::Answered => in_a_row = 0,
                _ => {}
            }
            if in_a_row >= PLAIN_RULE && plain.is_none() {
                plain = Some(sent);
            }
        }
        if now.is_multiple_of(TICK_MS) && avoided.is_none() {
            let evaluation = daemon.evaluate_targets(TimeMs(now));
            let verdict = evaluation.verdicts.get(&daemon.targets[0]);
            if verdict.is_some_and(|verdict| verdict.preference == Preference::Avoided) {
                avoided = Some((ms, sent));
            }
        }
        if avoided.is_some() && (!with_plain || plain.is_some() || ms > LIMIT_MS / 2) {
            break;
        }
    }
    match (alarmed, avoided) {
        (Some(alarmed), Some((ms, sent))) => {
            figures.observations.push(f64::from(alarmed));
            figures.elapsed_ms.push(ms as f64);
            figures.sent.push(f64::from(sent));
        }
        _ => figures.missed += 1,
    }
    match plain {
        Some(plain) => figures.plain.push(f64::from(plain)),
        None => figures.plain_missed += 1,
    }
}

/// Returns Wald's lower bound on the mean number of observations, for any test
/// with the error rates of the profile; `None` where observations of the fault
/// tell it for certain.
pub fn wald_bound(profile: Profile, fault: Fault) -> Option<f64> {
    let policy = profile.policy();
    let (false_rate, missed) = (policy.max_false_ejection.get(), policy.max_missed.get());
    let nats = (1.0 - missed) * ((1.0 - missed) / false_rate).ln()
        + missed * (missed / (1.0 - false_rate)).ln();
    let healthy = 0.01;
    let information = match fault {
        Fault::Hangs => return None,
        Fault::Flaps { .. } => divergence(&[1.0], &[healthy]),
        Fault::Fails(1.0) => divergence(&[1.0], &[healthy]),
        Fault::Fails(share) => divergence(&[share, 1.0 - share], &[healthy, 1.0 - healthy]),
        Fault::Slower(factor) => slow_divergence(factor),
    };
    Some((nats / information).max(1.0))
}

/// Returns the divergence between the classes of latency of a slow target
/// (within the slow bound, beyond it, beyond twice the bound) and those that the
/// detector assumes of a healthy one.
fn slow_divergence(factor: f64) -> f64 {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let mut counts = [0u32; 3];
    const SAMPLES: u32 = 100_000;
    for _ in 0..SAMPLES {
        let ratio = latency(MEDIAN_MS * factor, &mut rng).0 as f64 / (MEDIAN_MS * 2.5);
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

/// Returns the Kullback-Leibler divergence in nats.
fn divergence(bad: &[f64], healthy: &[f64]) -> f64 {
    let terms = bad.iter().zip(healthy).filter(|(p, _)| **p > 0.0);
    terms.map(|(p, q)| p * (p / q).ln()).sum()
}

/// Measures all faults and prints the table.
pub fn print(trials: u32) -> String {
    let mut rows = Vec::new();
    for profile in Profile::ALL {
        for (name, fault) in FAULTS {
            let mut figures = measure(profile, fault, trials, true);
            let bound = wald_bound(profile, fault);
            let average = mean(&figures.observations);
            let total = f64::from(trials);
            rows.push(vec![
                profile.as_str().to_owned(),
                name.to_owned(),
                format!("{average:.1}"),
                format!("{:.0}", quantile(&mut figures.observations, 0.5)),
                format!("{:.0}", quantile(&mut figures.observations, 0.99)),
                bound.map_or_else(|| "1".to_owned(), |bound| format!("{bound:.1}")),
                bound.map_or_else(|| "-".to_owned(), |bound| format!("{:.2}", average / bound)),
                format!("{:.0}", quantile(&mut figures.elapsed_ms, 0.5)),
                format!("{:.0}", quantile(&mut figures.elapsed_ms, 0.99)),
                format!("{:.2}%", 100.0 * f64::from(figures.missed) / total),
                if figures.plain.is_empty() {
                    "never".to_owned()
                } else {
                    format!(
                        "{:.0}, {:.0}",
                        quantile(&mut figures.plain, 0.5),
                        quantile(&mut figures.plain, 0.99)
                    )
                },
                format!("{:.0}%", 100.0 * f64::from(figures.plain_missed) / total),
            ]);
        }
    }
    let heads = [
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
    markdown(&heads, &rows)
}

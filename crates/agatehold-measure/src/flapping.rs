//! Measures how many requests fail at a flapping target, per flap.

use rand::SeedableRng;
use rand_pcg::Pcg64;

use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::routing::Preference;
use agatehold_core::units::TimeMs;

use crate::simulation::Daemon;
use crate::simulation::Fault;
use crate::simulation::Profile;
use crate::simulation::TARGETS;
use crate::simulation::TICK_MS;
use crate::simulation::draw_answer;
use crate::simulation::draw_interarrival_ms;
use crate::table::markdown;
use crate::table::mean;

/// The seed of every run.
pub const SEED: u64 = 804;

/// The mean time between requests from one daemon to one target.
const GAP_MS: f64 = 100.0;

/// The number of flaps per run. In a flap, the target fails for one period and
/// then works for one.
const FLAPS: usize = 30;

/// The fixed time for which the consecutive-failure rule avoids a target after 5
/// consecutive failures. The detector is compared with this rule.
const CONSECUTIVE_RULE_HOLD_MS: u64 = 10_000;

/// The measured periods.
pub const PERIODS_MS: [u64; 3] = [2_000, 5_000, 30_000];

/// The requests that failed at the target, per flap, averaged over all runs.
#[derive(Clone, Debug)]
pub struct Results {
    /// With the failure detector.
    pub failed: Vec<f64>,
    /// With the consecutive-failure rule.
    pub consecutive_rule_failed: Vec<f64>,
}

/// Measures `runs` runs of `FLAPS` flaps.
pub fn measure(profile: Profile, period_ms: u64, runs: u32) -> Results {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let mut warm = Daemon::new(0, profile, TARGETS);
    warm.warm_up(&mut rng);
    let mut results = Results {
        failed: vec![0.0; FLAPS],
        consecutive_rule_failed: vec![0.0; FLAPS],
    };
    for _ in 0..runs {
        let mut daemon = warm.clone();
        run_detector(&mut daemon, period_ms, &mut rng, &mut results.failed);
        run_consecutive_rule(period_ms, &mut rng, &mut results.consecutive_rule_failed);
    }
    for value in results
        .failed
        .iter_mut()
        .chain(&mut results.consecutive_rule_failed)
    {
        *value /= f64::from(runs);
    }
    results
}

fn run_detector(daemon: &mut Daemon, period_ms: u64, rng: &mut Pcg64, failed: &mut [f64]) {
    const ONSET_MS: u64 = 50_000;
    let fault = Fault::Flaps { period_ms };
    let mut next_request_at_ms = 0.0;
    let (mut preference, mut share, mut trial) = (Preference::Preferred, 1.0, false);
    // Adds up the share of a ramping target; a request is sent when it reaches 1.
    let mut ramp_credit = 0.0;
    let mut ms = 0;
    while ms < 2 * period_ms * FLAPS as u64 {
        let now = TimeMs(ONSET_MS + ms);
        while next_request_at_ms <= ms as f64 {
            next_request_at_ms += draw_interarrival_ms(GAP_MS, rng);
            let sends = match preference {
                Preference::Preferred => true,
                Preference::Ramping => {
                    ramp_credit += share;
                    ramp_credit >= 1.0
                }
                Preference::Avoided => std::mem::take(&mut trial),
            };
            if !sends {
                continue;
            }
            ramp_credit = 0.0;
            let (outcome, elapsed) = draw_answer(fault, ms, rng);
            daemon.record(0, outcome, elapsed, now);
            if outcome == AttemptOutcome::Failed {
                failed[(ms / (2 * period_ms)) as usize] += 1.0;
            }
        }
        let evaluation = daemon.evaluate_targets(now);
        if let Some(verdict) = evaluation.verdicts.get(&daemon.targets[0]) {
            preference = verdict.preference;
            share = verdict.share.fraction();
            trial = verdict.trial;
        }
        ms += TICK_MS;
    }
}

fn run_consecutive_rule(period_ms: u64, rng: &mut Pcg64, failed: &mut [f64]) {
    let fault = Fault::Flaps { period_ms };
    let (mut at_ms, mut consecutive_failures) = (0.0, 0);
    loop {
        at_ms += draw_interarrival_ms(GAP_MS, rng);
        let ms = at_ms as u64;
        let Some(count) = failed.get_mut((ms / (2 * period_ms)) as usize) else {
            return;
        };
        let (outcome, _) = draw_answer(fault, ms, rng);
        if outcome != AttemptOutcome::Failed {
            consecutive_failures = 0;
            continue;
        }
        *count += 1.0;
        consecutive_failures += 1;
        if consecutive_failures == 5 {
            consecutive_failures = 0;
            at_ms += CONSECUTIVE_RULE_HOLD_MS as f64;
        }
    }
}

/// Measures all periods and returns the table.
pub fn report(trials: u32) -> String {
    let runs = (trials / 40).max(1);
    let mut rows = Vec::new();
    for profile in Profile::ALL {
        for period_ms in PERIODS_MS {
            let results = measure(profile, period_ms, runs);
            rows.push(vec![
                profile.as_str().to_owned(),
                format!("{} s", period_ms / 1_000),
                format!("{:.0}", period_ms as f64 / GAP_MS),
                format!("{:.1}", results.failed[0]),
                format!("{:.2}", mean(&results.failed[1..10])),
                format!("{:.2}", mean(&results.failed[10..])),
                format!("{:.1}", results.consecutive_rule_failed[0]),
                format!("{:.2}", mean(&results.consecutive_rule_failed[1..])),
            ]);
        }
    }
    let headers = [
        "profile",
        "fails and works for",
        "without detection",
        "first flap",
        "flaps 2 to 10",
        "flaps 11 to 30",
        "5 in a row: first flap",
        "5 in a row: later flaps",
    ];
    markdown(&headers, &rows)
}

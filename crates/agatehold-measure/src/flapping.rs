//! How much work a flapping target gets with each flap.

use rand::SeedableRng;
use rand_pcg::Pcg64;

use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::routing::Preference;
use agatehold_core::units::TimeMs;

use crate::stream::Daemon;
use crate::stream::Fault;
use crate::stream::Profile;
use crate::stream::TARGETS;
use crate::stream::TICK_MS;
use crate::stream::answer;
use crate::stream::gap;
use crate::table::markdown;
use crate::table::mean;

/// The seed of all streams.
pub const SEED: u64 = 804;

/// The mean time between requests of one daemon to one target.
const GAP_MS: f64 = 100.0;

/// The flaps of each stream.
const FLAPS: usize = 30;

/// The hold of the plain rule of 5 failures in a row.
const PLAIN_HOLD_MS: u64 = 10_000;

/// The half periods that are measured.
pub const PERIODS_MS: [u64; 3] = [2_000, 5_000, 30_000];

/// Requests that failed at the target, by flap, averaged over the streams.
#[derive(Clone, Debug)]
pub struct Figures {
    /// With the failure detector.
    pub failed: Vec<f64>,
    /// With 5 failures in a row and a fixed hold.
    pub plain: Vec<f64>,
}

/// Measures `streams` streams of flaps.
pub fn measure(profile: Profile, period_ms: u64, streams: u32) -> Figures {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let mut warm = Daemon::new(0, profile, TARGETS);
    warm.warm_up(&mut rng);
    let mut figures = Figures {
        failed: vec![0.0; FLAPS],
        plain: vec![0.0; FLAPS],
    };
    for _ in 0..streams {
        let mut daemon = warm.clone();
        run_detector(&mut daemon, period_ms, &mut rng, &mut figures.failed);
        run_plain(period_ms, &mut rng, &mut figures.plain);
    }
    for value in figures.failed.iter_mut().chain(&mut figures.plain) {
        *value /= f64::from(streams);
    }
    figures
}

fn run_detector(daemon: &mut Daemon, period_ms: u64, rng: &mut Pcg64, failed: &mut [f64]) {
    const ONSET_MS: u64 = 50_000;
    let fault = Fault::Flaps { period_ms };
    let mut next_at = 0.0;
    let (mut preference, mut share, mut trial) = (Preference::Preferred, 1.0, false);
    let mut credit = 0.0;
    let mut ms = 0;
    while ms < 2 * period_ms * FLAPS as u64 {
        let now = TimeMs(ONSET_MS + ms);
        while next_at <= ms as f64 {
            next_at += gap(GAP_MS, rng);
            let sends = match preference {
                Preference::Preferred => true,
                Preference::Ramping => {
                    credit += share;
                    credit >= 1.0
                }
                Preference::Avoided => std::mem::take(&mut trial),
            };
            if !sends {
                continue;
            }
            credit = 0.0;
            let (outcome, elapsed) = answer(fault, ms, rng);
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

fn run_plain(period_ms: u64, rng: &mut Pcg64, failed: &mut [f64]) {
    let fault = Fault::Flaps { period_ms };
    let (mut at, mut in_a_row) = (0.0, 0);
    loop {
        at += gap(GAP_MS, rng);
        let ms = at as u64;
        let Some(count) = failed.get_mut((ms / (2 * period_ms)) as usize) else {
            return;
        };
        let (outcome, _) = answer(fault, ms, rng);
        if outcome != AttemptOutcome::Failed {
            in_a_row = 0;
            continue;
        }
        *count += 1.0;
        in_a_row += 1;
        if in_a_row == 5 {
            in_a_row = 0;
            at += PLAIN_HOLD_MS as f64;
        }
    }
}

/// Measures all periods and prints the table.
pub fn print(trials: u32) -> String {
    let streams = (trials / 40).max(1);
    let mut rows = Vec::new();
    for profile in Profile::ALL {
        for period_ms in PERIODS_MS {
            let figures = measure(profile, period_ms, streams);
            rows.push(vec![
                profile.as_str().to_owned(),
                format!("{} s", period_ms / 1_000),
                format!("{:.0}", period_ms as f64 / GAP_MS),
                format!("{:.1}", figures.failed[0]),
                format!("{:.2}", mean(&figures.failed[1..10])),
                format!("{:.2}", mean(&figures.failed[10..])),
                format!("{:.1}", figures.plain[0]),
                format!("{:.2}", mean(&figures.plain[1..])),
            ]);
        }
    }
    let heads = [
        "profile",
        "fails and works for",
        "without detection",
        "first flap",
        "flaps 2 to 10",
        "flaps 11 to 30",
        "5 in a row: first flap",
        "5 in a row: later flaps",
    ];
    markdown(&heads, &rows)
}

//! The traces: what each request costs and how fast each target is.

use std::fmt;

use rand::RngExt;
use rand_pcg::Pcg64;

/// The number of paths.
const PATHS: u32 = 20;

/// The run time of the cheapest path at a target of usual speed.
const CHEAPEST_MS: f64 = 50.0;

/// The ratio of the most expensive path's run time to that of the cheapest.
const COST_RANGE: f64 = 20.0;

/// The spread (sigma of a log-normal factor) that remains where the path predicts the
/// cost.
const SMALL_SPREAD: f64 = 0.15;

/// The median run time where nothing predicts the cost, its spread, the share of the
/// requests that take longer still, and how many times as long they take.
const MEDIAN_MS: f64 = 200.0;
const SPREAD: f64 = 0.8;
const LONG_SHARE: f64 = 0.03;
const LONG_FACTOR: f64 = 7.0;

/// How many times as long requests take at the slow third of the targets.
const SLOWNESS: f64 = 2.0;

/// How many times as long requests take at a target that has turned slow, how long that
/// lasts, and how often another eighth of the targets turns slow.
const TURNED_SLOWNESS: f64 = 5.0;
const TURNED_MS: u64 = 5_000;
const TURN_INTERVAL_MS: u64 = 10_000;
const TURNING_GROUPS: u64 = 8;

/// A kind of requests and targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trace {
    /// The path predicts the cost, which differs by a factor of 20.
    Predictable,
    /// Nothing predicts the cost.
    Unpredictable,
    /// As `Predictable`; a third of the targets takes twice as long.
    SlowThird,
    /// As `Predictable`; an eighth of the targets at a time turns slow for a while.
    TurningSlow,
    /// As `Unpredictable`, with a slow third.
    UnpredictableSlowThird,
    /// As `Predictable`; a target has the cores for two requests and shares them among
    /// those that run.
    SharedCores,
}

impl Trace {
    /// All traces.
    pub const ALL: [Self; 6] = [
        Self::Predictable,
        Self::Unpredictable,
        Self::SlowThird,
        Self::TurningSlow,
        Self::UnpredictableSlowThird,
        Self::SharedCores,
    ];

    /// Draws a request: its path and its run time at a target of usual speed.
    pub(super) fn draw(self, rng: &mut Pcg64) -> (u32, f64) {
        let path = rng.random_range(0..PATHS);
        let normal = draw_normal(rng);
        let is_long = rng.random_bool(LONG_SHARE);
        let run_ms = match self {
            Self::Unpredictable | Self::UnpredictableSlowThird => {
                let factor = if is_long { LONG_FACTOR } else { 1.0 };
                MEDIAN_MS * (SPREAD * normal).exp() * factor
            }
            _ => {
                let step = f64::from(path) / f64::from(PATHS - 1);
                CHEAPEST_MS * COST_RANGE.powf(step) * (SMALL_SPREAD * normal).exp()
            }
        };
        (path, run_ms)
    }

    /// Returns how many times as long a request that starts now takes at a target.
    pub(super) fn slowness(self, target: usize, now_ms: u64) -> f64 {
        match self {
            Self::SlowThird | Self::UnpredictableSlowThird if target.is_multiple_of(3) => SLOWNESS,
            Self::TurningSlow => {
                let group = (now_ms / TURN_INTERVAL_MS) % TURNING_GROUPS;
                let is_turned = now_ms % TURN_INTERVAL_MS < TURNED_MS
                    && target as u64 % TURNING_GROUPS == group;
                if is_turned { TURNED_SLOWNESS } else { 1.0 }
            }
            _ => 1.0,
        }
    }

    /// Returns the number of requests that a target runs at full speed; more of them
    /// share what it has.
    pub(super) const fn cores(self) -> Option<f64> {
        match self {
            Self::SharedCores => Some(2.0),
            _ => None,
        }
    }

    /// Returns the rate in requests per millisecond at which the targets are in use by
    /// the given share.
    pub(super) fn arrivals_per_ms(self, targets: usize, slots: u32, load: f64) -> f64 {
        let steps = (0..PATHS).map(|path| f64::from(path) / f64::from(PATHS - 1));
        let path_mean = steps.map(|step| COST_RANGE.powf(step)).sum::<f64>() / f64::from(PATHS);
        let spread_mean = |spread: f64| (spread * spread / 2.0).exp();
        let mean_ms = match self {
            Self::Unpredictable | Self::UnpredictableSlowThird => {
                let long_mean = 1.0 + LONG_SHARE * (LONG_FACTOR - 1.0);
                MEDIAN_MS * spread_mean(SPREAD) * long_mean
            }
            _ => CHEAPEST_MS * path_mean * spread_mean(SMALL_SPREAD),
        };
        let mut speed = 0.0;
        for target in 0..targets {
            speed += match self {
                // Half of the time an eighth runs at a fifth of its speed.
                Self::TurningSlow => 1.0 - (1.0 - 1.0 / TURNED_SLOWNESS) / 16.0,
                _ => 1.0 / self.slowness(target, 0),
            };
        }
        let servers = self.cores().unwrap_or_else(|| f64::from(slots));
        load * speed * servers / mean_ms
    }
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Predictable => "path predicts",
            Self::Unpredictable => "nothing predicts",
            Self::SlowThird => "path predicts, slow third",
            Self::TurningSlow => "path predicts, turning slow",
            Self::UnpredictableSlowThird => "nothing predicts, slow third",
            Self::SharedCores => "path predicts, shared cores",
        })
    }
}

/// Draws from the standard normal distribution (Box and Muller 1958).
fn draw_normal(rng: &mut Pcg64) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

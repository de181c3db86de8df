//! A table of fixed size that learns what requests cost.

use crate::units::DurationMs;
use crate::units::TimeMs;

use super::CostFeatures;
use super::ExpectedCost;
use super::WorkMs;
use super::features::KINDS;

/// The number of route rows; the design size has 3,800 routes.
const ROUTE_ROWS: usize = 4_096;

/// The number of feature rows of all routes together, which take 400 kB.
const FEATURE_ROWS: usize = 16_384;

/// The number of rows that a hash may be kept in. Of these, that with the lowest weight
/// is given up for a new hash, so that features seen once don't displace frequent ones.
const WAYS: usize = 4;

/// The time after which the weight of a sample has halved in a route's mean.
const ROUTE_HALF_LIFE_MS: DurationMs = DurationMs(60_000);

/// The time after which the weight of a sample has halved in a feature's effect and in
/// what is known of how well a kind of feature predicts. It is longer, since each feature
/// has a small part of the route's samples.
const FEATURE_HALF_LIFE_MS: DurationMs = DurationMs(300_000);

/// The decayed number of samples of a route below which nothing is predicted.
const ROUTE_SAMPLES_MIN: f64 = 10.0;

/// The number of samples at which half of a feature's effect is believed.
const SHRINKAGE_SAMPLES: f64 = 3.0;

/// The number of standard errors by which a kind of feature must predict better than by
/// chance. Nine kinds are tested all the time.
const CHANCE_ERRORS: f64 = 3.0;

/// Samples further than this many standard deviations from the mean count as that far.
const OUTLIER_DEVIATIONS: f64 = 3.0;

/// The assumed variance of the natural logarithm of run times until samples show it.
const INITIAL_LOG_VARIANCE: f64 = 0.5;

/// The number of samples that the assumed variance counts as.
const INITIAL_SAMPLES: f64 = 10.0;

/// The limit of a prediction's natural logarithm relative to the route's mean.
const EFFECT_LOG_MAX: f64 = 3.5;

/// The upper limit of run time over prediction in the mean of this ratio.
const RATIO_MAX: f64 = 10.0;

/// How well a kind of feature predicts on a route, judged by each sample before it is
/// learned: the regression of what earlier kinds left on the kind's effect.
#[derive(Clone, Copy, Debug, Default)]
struct KindFit {
    /// The decayed sum of effect times deviation.
    product: f32,
    /// The decayed sum of squared effects.
    square: f32,
}

impl KindFit {
    /// Returns the share of the kind's effect that is believed, from 0 to 1.
    fn coefficient(&self, log_variance: f64) -> f64 {
        let square = f64::from(self.square);
        let chance = CHANCE_ERRORS * (log_variance * square).sqrt();
        let certain = f64::from(self.product) - chance;
        if certain <= 0.0 {
            return 0.0;
        }
        (certain / square).min(1.0)
    }
}

/// What is known of a route; run times are kept by their natural logarithm, so that
/// heavy tails don't rule the means.
#[derive(Clone, Copy, Debug)]
struct RouteRow {
    key: u64,
    weight: f64,
    log_mean: f64,
    /// The variance around the route's mean.
    route_variance: f64,
    /// The variance around the predictions.
    log_variance: f64,
    /// The mean of run time over the exponential of the predicted logarithm, which
    /// turns a predicted logarithm into an expected run time.
    ratio: f64,
    updated_at: TimeMs,
    fits: [KindFit; KINDS],
}

impl RouteRow {
    const EMPTY: Self = Self {
        key: 0,
        weight: 0.0,
        log_mean: 0.0,
        route_variance: INITIAL_LOG_VARIANCE,
        log_variance: INITIAL_LOG_VARIANCE,
        ratio: 1.0,
        updated_at: TimeMs(0),
        fits: [KindFit {
            product: 0.0,
            square: 0.0,
        }; KINDS],
    };
}

/// What is known of one feature on one route.
#[derive(Clone, Copy, Debug)]
struct FeatureRow {
    key: u64,
    /// The mean deviation of the logarithm that earlier kinds left.
    effect: f32,
    weight: f32,
    updated_at: TimeMs,
}

impl FeatureRow {
    const EMPTY: Self = Self {
        key: 0,
        effect: 0.0,
        weight: 0.0,
        updated_at: TimeMs(0),
    };

    fn weight_at(&self, now: TimeMs) -> f64 {
        let age_ms = now.since(self.updated_at);
        f64::from(self.weight) * age_ms.half_life_weight(FEATURE_HALF_LIFE_MS)
    }

    /// Returns the effect, shrunk by the number of samples.
    fn shrunk_effect(&self, now: TimeMs) -> f64 {
        let weight = self.weight_at(now);
        f64::from(self.effect) * weight / (weight + SHRINKAGE_SAMPLES)
    }
}

/// The expected run times of requests by route and features.
///
/// Each kind of feature learns what the kinds before it left unexplained, and counts as
/// far as it has predicted samples that it had not seen. A kind that takes another value
/// in each request therefore changes nothing. The memory is allocated at once and never
/// grows.
#[derive(Clone, Debug)]
pub struct CostTable {
    /// The route rows in groups of [`WAYS`]; a key is in the group of its hash or absent.
    routes: Box<[RouteRow]>,
    /// The feature rows, kept alike.
    features: Box<[FeatureRow]>,
}

impl Default for CostTable {
    fn default() -> Self {
        Self::new()
    }
}

impl CostTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self {
            routes: vec![RouteRow::EMPTY; ROUTE_ROWS].into(),
            features: vec![FeatureRow::EMPTY; FEATURE_ROWS].into(),
        }
    }

    /// Returns the memory that the table takes.
    pub fn memory_bytes(&self) -> usize {
        size_of_val(&*self.routes) + size_of_val(&*self.features)
    }

    /// Returns what a request is expected to cost; `None` while its route has
    /// few recent samples.
    pub fn expected(&self, features: &CostFeatures, now: TimeMs) -> Option<ExpectedCost> {
        let group = group_of(features.route, ROUTE_ROWS);
        let mut rows = self.routes[group..group + WAYS].iter();
        let row = rows.find(|row| row.key == features.route)?;
        let age_ms = now.since(row.updated_at);
        if row.weight * age_ms.half_life_weight(ROUTE_HALF_LIFE_MS) < ROUTE_SAMPLES_MIN {
            return None;
        }
        let mut log_effect = 0.0;
        for (key, fit) in features.kinds.iter().zip(&row.fits) {
            let coefficient = fit.coefficient(row.log_variance);
            if coefficient > 0.0 {
                log_effect += coefficient * self.effect(*key, now);
            }
        }
        let log_effect = log_effect.clamp(-EFFECT_LOG_MAX, EFFECT_LOG_MAX);
        Some(ExpectedCost {
            work: WorkMs(((row.log_mean + log_effect).exp() * row.ratio).max(0.1)),
            log_spread: row.log_variance.sqrt(),
        })
    }

    /// Learns the run time of a request at a target of usual speed.
    pub fn record(&mut self, features: &CostFeatures, run: WorkMs, now: TimeMs) {
        let log_run = run.0.max(0.1).ln();
        let position = self.route_position(features.route, now);
        let mut row = self.routes[position];
        if row.key != features.route {
            row = RouteRow {
                key: features.route,
                log_mean: log_run,
                ..RouteRow::EMPTY
            };
        }
        let age_ms = now.since(row.updated_at);
        row.weight = row.weight * age_ms.half_life_weight(ROUTE_HALF_LIFE_MS) + 1.0;
        row.updated_at = now;
        let fit_decay = age_ms.half_life_weight(FEATURE_HALF_LIFE_MS) as f32;
        let limit = OUTLIER_DEVIATIONS * row.route_variance.sqrt();
        let deviation = (log_run - row.log_mean).clamp(-limit, limit);
        let mut left = deviation;
        for (key, fit) in features.kinds.iter().zip(&mut row.fits) {
            fit.product *= fit_decay;
            fit.square *= fit_decay;
            if *key == 0 {
                continue;
            }
            let effect = self.effect(*key, now);
            let coefficient = fit.coefficient(row.log_variance);
            fit.product += (effect * left) as f32;
            fit.square += (effect * effect) as f32;
            self.learn_effect(*key, left, now);
            left -= coefficient * effect;
        }
        let rate = 1.0 / row.weight;
        let variance_rate = 1.0 / (row.weight + INITIAL_SAMPLES);
        row.route_variance += (deviation * deviation - row.route_variance) * variance_rate;
        row.log_variance += (left * left - row.log_variance) * variance_rate;
        let ratio = (log_run - row.log_mean - (deviation - left)).exp();
        row.ratio += (ratio.min(RATIO_MAX) - row.ratio) * variance_rate;
        row.log_mean += deviation * rate;
        self.routes[position] = row;
    }

    /// Returns the position of a route's row, or of the row to give up for it.
    fn route_position(&self, key: u64, now: TimeMs) -> usize {
        let group = group_of(key, ROUTE_ROWS);
        let mut least = (f64::INFINITY, group);
        for (position, row) in (group..).zip(&self.routes[group..group + WAYS]) {
            if row.key == key {
                return position;
            }
            let age_ms = now.since(row.updated_at);
            let weight = row.weight * age_ms.half_life_weight(ROUTE_HALF_LIFE_MS);
            if weight < least.0 {
                least = (weight, position);
            }
        }
        least.1
    }

    /// Returns the effect of a feature, 0 if it is unknown or absent.
    fn effect(&self, key: u64, now: TimeMs) -> f64 {
        let group = group_of(key, FEATURE_ROWS);
        let mut rows = self.features[group..group + WAYS].iter();
        rows.find(|row| row.key == key && key != 0)
            .map_or(0.0, |row| row.shrunk_effect(now))
    }

    fn learn_effect(&mut self, key: u64, deviation: f64, now: TimeMs) {
        let group = group_of(key, FEATURE_ROWS);
        let rows = &mut self.features[group..group + WAYS];
        let position = match rows.iter().position(|row| row.key == key) {
            Some(position) => position,
            None => {
                let mut least = (f64::INFINITY, 0);
                for (position, row) in rows.iter().enumerate() {
                    let weight = row.weight_at(now);
                    if weight < least.0 {
                        least = (weight, position);
                    }
                }
                rows[least.1] = FeatureRow {
                    key,
                    ..FeatureRow::EMPTY
                };
                least.1
            }
        };
        let row = &mut rows[position];
        row.weight = (row.weight_at(now) + 1.0) as f32;
        row.updated_at = now;
        row.effect += (deviation as f32 - row.effect) / row.weight;
    }
}

/// Returns the position of the first row that a hash may be kept in.
const fn group_of(key: u64, rows: usize) -> usize {
    (key % (rows / WAYS) as u64) as usize * WAYS
}

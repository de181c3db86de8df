//! What is normal for a service: latency, failure rate, share of slow samples.

use std::collections::BTreeMap;

use crate::config::ConfigTables;
use crate::ids::ServiceName;
use crate::units::DurationMs;

use super::HealthTables;
use super::ServiceBaseline;

/// The multiple of the usual median latency beyond which a sample is slow.
const SLOW_FACTOR: f64 = 2.5;

/// The least slow bound: below it, scheduling delay on a shared host dominates.
const LEAST_SLOW_BOUND_MS: f64 = 5.0;

/// The samples after which the median of a target counts.
const MEDIAN_SAMPLES: u32 = 8;

/// The least failure rate of a healthy target.
pub(super) const LEAST_FAILURE_RATE: f64 = 0.01;

/// The least share of slow samples of a healthy target.
pub(super) const LEAST_SLOW_RATE: f64 = 0.05;

/// Recomputes what is normal for each service from its targets.
///
/// Each value is the median over the targets, so that a minority of bad
/// targets does not change what is normal.
pub fn refresh_baselines(tables: &mut HealthTables, config: &ConfigTables) {
    tables
        .services
        .retain(|name, _| config.services.contains(name));
    tables
        .targets
        .retain(|name, _| config.targets.contains(name));
    let mut medians: Vec<(&ServiceName, f64)> = Vec::with_capacity(tables.targets.len());
    let mut shares: Vec<(&ServiceName, f64, f64)> = Vec::with_capacity(tables.targets.len());
    for (_, row) in tables.targets.rows() {
        shares.push((&row.service, row.failure_share, row.slow_share));
        if let Some(median_ms) = row.median.get(MEDIAN_SAMPLES) {
            medians.push((&row.service, median_ms));
        }
    }
    let mut medians = group(medians, |row| (row.0, row.1));
    let mut failures = group(shares.clone(), |row| (row.0, row.1));
    let mut slow = group(shares, |row| (row.0, row.2));
    for (name, service) in config.services.rows() {
        let slow_bound_ms = match take_median(&mut medians, name) {
            Some(median_ms) => {
                let bound_ms = (median_ms * SLOW_FACTOR).max(LEAST_SLOW_BOUND_MS);
                DurationMs(bound_ms as u64).min(service.timeout_ms)
            }
            // Nothing is slow before the latency of the service is known.
            None => service.timeout_ms,
        };
        let baseline = ServiceBaseline {
            slow_bound_ms,
            failure_rate: take_median(&mut failures, name)
                .unwrap_or_default()
                .max(LEAST_FAILURE_RATE),
            slow_rate: take_median(&mut slow, name)
                .unwrap_or_default()
                .max(LEAST_SLOW_RATE),
        };
        tables.services.insert(name.clone(), baseline);
    }
}

type Groups<'a> = BTreeMap<&'a ServiceName, Vec<f64>>;

fn group<'a, R>(rows: Vec<R>, split: impl Fn(&R) -> (&'a ServiceName, f64)) -> Groups<'a> {
    let mut groups = Groups::new();
    for row in &rows {
        let (name, value) = split(row);
        groups.entry(name).or_default().push(value);
    }
    groups
}

fn take_median(groups: &mut Groups<'_>, name: &ServiceName) -> Option<f64> {
    let mut values = groups.remove(name)?;
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Returns the elapsed time at which a request in flight is next reported as
/// overdue: at the slow bound and then at each doubling of it.
///
/// The repeated reports let a daemon tell a target that hangs from one that is
/// slow before any request has ended.
pub fn next_overdue_at(elapsed: DurationMs, slow_bound: DurationMs) -> DurationMs {
    let mut next_ms = slow_bound.0.max(1);
    while next_ms <= elapsed.0 {
        next_ms = next_ms.saturating_mul(2);
    }
    DurationMs(next_ms)
}

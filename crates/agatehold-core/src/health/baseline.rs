//! Computes the baseline of each service: its usual latency, failure rate and
//! share of slow samples.

use std::collections::BTreeMap;

use crate::config::ConfigTables;
use crate::ids::ServiceName;
use crate::units::DurationMs;

use super::HealthTables;
use super::ServiceBaseline;

/// A sample is slow if its latency is more than this multiple of the usual
/// median latency.
const SLOW_FACTOR: f64 = 2.5;

/// The lower limit of the slow bound, the latency above which a sample is slow.
/// Below this limit, scheduling delay on a shared host dominates.
const SLOW_BOUND_MIN_MS: f64 = 5.0;

/// The minimum number of samples for the median of a target to be used.
const MEDIAN_SAMPLES_MIN: u32 = 8;

/// The lower limit of the failure rate that is assumed for a healthy target.
pub(super) const FAILURE_RATE_MIN: f64 = 0.01;

/// The lower limit of the share of slow samples that is assumed for a healthy
/// target.
pub(super) const SLOW_RATE_MIN: f64 = 0.05;

/// Recomputes the baseline of each service from its targets.
///
/// Each value is the median over the targets, so that a minority of bad targets
/// does not shift the baseline. Rows of services and targets that are no longer
/// configured are dropped.
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
        if let Some(median_ms) = row.median.get(MEDIAN_SAMPLES_MIN) {
            medians.push((&row.service, median_ms));
        }
    }
    let mut medians = group_by_service(medians, |row| (row.0, row.1));
    let mut failures = group_by_service(shares.clone(), |row| (row.0, row.1));
    let mut slow = group_by_service(shares, |row| (row.0, row.2));
    for (name, service) in config.services.rows() {
        let slow_bound_ms = match take_median(&mut medians, name) {
            Some(median_ms) => {
                let bound_ms = (median_ms * SLOW_FACTOR).max(SLOW_BOUND_MIN_MS);
                DurationMs(bound_ms as u64).min(service.timeout_ms)
            }
            // Nothing is slow before the latency of the service is known.
            None => service.timeout_ms,
        };
        let baseline = ServiceBaseline {
            slow_bound_ms,
            failure_rate: take_median(&mut failures, name)
                .unwrap_or_default()
                .max(FAILURE_RATE_MIN),
            slow_rate: take_median(&mut slow, name)
                .unwrap_or_default()
                .max(SLOW_RATE_MIN),
        };
        tables.services.insert(name.clone(), baseline);
    }
}

type Groups<'a> = BTreeMap<&'a ServiceName, Vec<f64>>;

/// Collects the value of each row by service.
fn group_by_service<'a, R>(
    rows: Vec<R>,
    split: impl Fn(&R) -> (&'a ServiceName, f64),
) -> Groups<'a> {
    let mut groups = Groups::new();
    for row in &rows {
        let (name, value) = split(row);
        groups.entry(name).or_default().push(value);
    }
    groups
}

/// Removes the values of a service and returns their median.
fn take_median(groups: &mut Groups<'_>, name: &ServiceName) -> Option<f64> {
    let mut values = groups.remove(name)?;
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Returns the elapsed time at which a request in flight is next reported as
/// overdue: at the slow bound and then at each doubling of it.
///
/// The repeated reports let a daemon distinguish a target that hangs from one
/// that is slow before any request has ended.
pub fn next_overdue_at(elapsed: DurationMs, slow_bound: DurationMs) -> DurationMs {
    let mut next_ms = slow_bound.0.max(1);
    while next_ms <= elapsed.0 {
        next_ms = next_ms.saturating_mul(2);
    }
    DurationMs(next_ms)
}

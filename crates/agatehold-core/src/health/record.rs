//! Updates the evidence against targets from outcome reports.

use crate::config::ConfigTables;
use crate::outcome::AttemptOutcome;
use crate::outcome::OutcomeReport;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::BreakerState;
use super::HealthTables;
use super::ServiceBaseline;
use super::TargetHealth;
use super::baseline::FAILURE_RATE_MIN;
use super::baseline::SLOW_RATE_MIN;

/// The failure rates of a failing target that the statistics test for.
const FAILING_RATES: [f64; 3] = [0.2, 0.5, 0.99];

/// The share of slow samples that is assumed for a slow target.
const SLOW_TARGET_RATE: f64 = 0.6;

/// The share of a hanging target's slow requests that take longer than twice
/// the slow bound.
const HANGING_DOUBLED_SHARE: f64 = 0.9;

/// The share of a healthy target's slow requests that take longer than twice
/// the slow bound, as a multiple of its share of slow requests.
const HEALTHY_DOUBLED_FACTOR: f64 = 2.0;

/// Connections that are lost within this time are attributed to one crash and
/// count as one observation.
const CRASH_WINDOW_MS: DurationMs = DurationMs(200);

/// A silent connection counts as a failure if a new connection to the target
/// fails within this time.
const SILENT_WINDOW_MS: DurationMs = DurationMs(5_000);

/// The weight of one sample in the moving average of the failure share.
const FAILURE_WEIGHT: f64 = 1.0 / 64.0;

/// The weight of one sample in the moving average of the share of slow samples.
/// It is larger than [`FAILURE_WEIGHT`], so that an overload of the whole
/// service shifts the baseline before it raises alarms.
const SLOW_WEIGHT: f64 = 1.0 / 16.0;

/// The number of trials that a target has to pass before it ramps up.
const TRIALS_REQUIRED: u32 = 5;

/// The first hold of an unreachable target. It is short since a restart takes
/// only seconds, and is doubled with each failed connection attempt.
const UNREACHABLE_HOLD_MIN_MS: DurationMs = DurationMs(1_000);

/// How long a target that was unreachable is assumed to be warming up, unless
/// an answer of it says otherwise. Without this assumption, its first requests
/// would be reported as overdue before any answer arrives.
const COLD_START_MS: DurationMs = DurationMs(30_000);

/// The longest hold of an unreachable target.
const UNREACHABLE_HOLD_MAX_MS: DurationMs = DurationMs(10_000);

/// Updates the evidence from `reports`.
///
/// `is_blamed` returns whether a lost connection is blamed on the request (see
/// the `poison` module) and therefore does not count against the target.
pub fn record_outcomes(
    tables: &mut HealthTables,
    config: &ConfigTables,
    reports: &[OutcomeReport],
    is_blamed: impl Fn(&OutcomeReport) -> bool,
) {
    for report in reports {
        let Some(service) = config.services.get(&report.service) else {
            continue;
        };
        if !config.targets.contains(&report.target) {
            continue;
        }
        let baseline = tables
            .services
            .get(&report.service)
            .copied()
            .unwrap_or(ServiceBaseline {
                slow_bound_ms: service.timeout_ms,
                failure_rate: FAILURE_RATE_MIN,
                slow_rate: SLOW_RATE_MIN,
            });
        let row = tables.targets.get_or_insert(report.target.clone(), || {
            TargetHealth::new(report.service.clone())
        });
        update_lifecycle_marks(row, report);
        if report.outcome == AttemptOutcome::ConnectionLost && is_blamed(report) {
            continue;
        }
        let good = add_evidence(row, report, &baseline);
        record_trial(row, good, report.at);
    }
}

/// Stores whether the target says that it is leaving or warming up.
fn update_lifecycle_marks(row: &mut TargetHealth, report: &OutcomeReport) {
    if report.leaving {
        row.leaving_at = Some(report.at);
    }
    if matches!(
        report.outcome,
        AttemptOutcome::Answered | AttemptOutcome::Failed | AttemptOutcome::Shed
    ) {
        row.warming_at = report.warming.then_some(report.at);
        row.cold_until = None;
    }
}

/// Adds the evidence of one report. Returns whether a trial that ended like this
/// has passed, or `None` if the report does not decide that.
fn add_evidence(
    row: &mut TargetHealth,
    report: &OutcomeReport,
    baseline: &ServiceBaseline,
) -> Option<bool> {
    let is_cold = row.warming_at.is_some() || row.cold_until.is_some_and(|until| report.at < until);
    let excused = is_cold || row.leaving_at.is_some();
    match report.outcome {
        AttemptOutcome::Shed | AttemptOutcome::Cancelled | AttemptOutcome::NotWritten => {
            end_overdue(row, report, baseline);
            None
        }
        AttemptOutcome::Silent => {
            row.silent_at = Some(report.at);
            None
        }
        AttemptOutcome::ConnectFailed => {
            add_connect_failure(row, report.at, baseline);
            Some(false)
        }
        AttemptOutcome::Overdue => {
            if excused {
                return None;
            }
            row.observed_at = Some(report.at);
            add_overdue(row, report, baseline);
            // One slow answer in twenty is usual; one that takes twice the slow
            // bound is not.
            let doubled = report.elapsed_ms >= baseline.slow_bound_ms.times(2);
            doubled.then_some(false)
        }
        AttemptOutcome::Answered => {
            row.observed_at = Some(report.at);
            row.connects_failed = 0;
            row.silent_at = None;
            add_failure(row, false, baseline);
            let counted = end_overdue(row, report, baseline);
            if excused {
                return Some(true);
            }
            row.median.add(report.elapsed_ms);
            let slow = report.elapsed_ms > baseline.slow_bound_ms;
            if !slow {
                add_slow_sample(row, false, baseline);
            } else if !counted {
                add_overdue(row, report, baseline);
            }
            (!slow).then_some(true)
        }
        AttemptOutcome::TimedOut if report.elapsed_ms <= baseline.slow_bound_ms => {
            // The caller's deadline was shorter than the latency of a usual
            // answer.
            None
        }
        AttemptOutcome::ConnectionLost if within(row.lost_at, report.at, CRASH_WINDOW_MS) => None,
        AttemptOutcome::Failed
        | AttemptOutcome::TimedOut
        | AttemptOutcome::ConnectionLost
        | AttemptOutcome::Cut
        | AttemptOutcome::Mismatched => {
            if report.outcome == AttemptOutcome::ConnectionLost {
                row.lost_at = Some(report.at);
            }
            end_overdue(row, report, baseline);
            if !excused {
                row.observed_at = Some(report.at);
                add_failure(row, true, baseline);
            }
            Some(false)
        }
    }
}

/// Returns whether `earlier` is at most `window` before `now`.
fn within(earlier: Option<TimeMs>, now: TimeMs, window: DurationMs) -> bool {
    earlier.is_some_and(|at| now.since(at) <= window)
}

/// Adds a failed or successful request to the failure statistics.
fn add_failure(row: &mut TargetHealth, failed: bool, baseline: &ServiceBaseline) {
    for (statistic, rate) in row.failures.iter_mut().zip(FAILING_RATES) {
        statistic.add(failed, rate, baseline.failure_rate);
    }
    update_average(&mut row.failure_share, failed, FAILURE_WEIGHT);
}

/// Adds a slow or fast request to the slowness statistic.
fn add_slow_sample(row: &mut TargetHealth, slow: bool, baseline: &ServiceBaseline) {
    row.slowness.add(slow, SLOW_TARGET_RATE, baseline.slow_rate);
    update_average(&mut row.slow_share, slow, SLOW_WEIGHT);
}

/// Updates an exponential moving average.
fn update_average(share: &mut f64, hit: bool, weight: f64) {
    let sample = if hit { 1.0 } else { 0.0 };
    *share += (sample - *share) * weight;
}

/// Adds the evidence of a request that has run longer than the slow bound, or
/// longer than twice the slow bound.
///
/// Reports at further doublings add nothing, so that a single request, however
/// long it takes, is never enough to put a target on hold.
fn add_overdue(row: &mut TargetHealth, report: &OutcomeReport, baseline: &ServiceBaseline) {
    let bound_ms = baseline.slow_bound_ms.0.max(1);
    let doublings = (report.elapsed_ms.0 / bound_ms).max(1).ilog2();
    let in_flight = report.outcome == AttemptOutcome::Overdue;
    if doublings == 0 || !in_flight {
        row.overdue = row.overdue.saturating_add(u32::from(in_flight));
        add_slow_sample(row, true, baseline);
    }
    if doublings == 1 || (doublings > 1 && !in_flight) {
        let healthy_rate = (baseline.slow_rate * HEALTHY_DOUBLED_FACTOR).min(HANGING_DOUBLED_SHARE);
        row.slowness
            .add_nats((HANGING_DOUBLED_SHARE / healthy_rate).ln());
    }
}

/// Records the end of a request that may have been reported as overdue; returns
/// whether it is taken to have been.
fn end_overdue(row: &mut TargetHealth, report: &OutcomeReport, baseline: &ServiceBaseline) -> bool {
    if row.overdue == 0 || report.elapsed_ms < baseline.slow_bound_ms {
        return false;
    }
    row.overdue -= 1;
    true
}

/// Puts an unreachable target on hold. A failed connection attempt is no
/// evidence for an ejection, since other daemons may reach the target, unless
/// an existing connection has recently gone silent.
fn add_connect_failure(row: &mut TargetHealth, now: TimeMs, baseline: &ServiceBaseline) {
    if within(row.silent_at.take(), now, SILENT_WINDOW_MS) {
        add_failure(row, true, baseline);
    }
    row.observed_at = Some(now);
    let factor = 1u64 << row.connects_failed.min(8);
    let hold = UNREACHABLE_HOLD_MIN_MS
        .times(factor)
        .min(UNREACHABLE_HOLD_MAX_MS);
    row.connects_failed = row.connects_failed.saturating_add(1);
    row.cold_until = Some(now + COLD_START_MS);
    row.hold_counted = false;
    let until = match row.breaker {
        BreakerState::Held { until } => until.max(now + hold),
        _ => now + hold,
    };
    row.breaker = BreakerState::Held { until };
}

/// Records the result of a trial. After enough passed trials the target ramps
/// up; a failed one is handled by `evaluate_targets` at the next tick.
fn record_trial(row: &mut TargetHealth, good: Option<bool>, now: TimeMs) {
    let BreakerState::OnTrial { passed } = row.breaker else {
        return;
    };
    match good {
        None => {}
        Some(false) => row.trial_failed = true,
        Some(true) if passed + 1 >= TRIALS_REQUIRED => {
            row.breaker = BreakerState::Ramping { since: now }
        }
        Some(true) => row.breaker = BreakerState::OnTrial { passed: passed + 1 },
    }
}

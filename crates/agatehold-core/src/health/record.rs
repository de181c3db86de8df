//! Turns outcome reports into evidence.

use crate::config::ConfigTables;
use crate::outcome::AttemptOutcome;
use crate::outcome::OutcomeReport;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::HealthTables;
use super::ServiceBaseline;
use super::Standing;
use super::TargetHealth;
use super::baseline::LEAST_FAILURE_RATE;
use super::baseline::LEAST_SLOW_RATE;

/// The failure rates of a failing target that the statistics look for.
const FAILING_RATES: [f64; 3] = [0.2, 0.5, 0.99];

/// The share of slow samples of a slow target.
const SLOW_TARGET_RATE: f64 = 0.6;

/// The share of a hanging target's slow requests that pass the doubled bound.
const DOUBLED_TARGET_RATE: f64 = 0.9;

/// The share of a healthy target's slow requests that pass the doubled bound,
/// as a multiple of its share of slow requests.
const DOUBLED_FACTOR: f64 = 2.0;

/// Connections lost within this time are one crash and one observation.
const CRASH_WINDOW_MS: DurationMs = DurationMs(200);

/// How long a silent connection waits for a new connection to fail.
const SILENT_WINDOW_MS: DurationMs = DurationMs(5_000);

/// The weight of one sample in the recent share of failures.
const FAILURE_WEIGHT: f64 = 1.0 / 64.0;

/// The weight of one sample in the recent share of slow samples. It is larger,
/// so that an overload of the whole service changes what is normal before it
/// raises alarms.
const SLOW_WEIGHT: f64 = 1.0 / 16.0;

/// The trials that a target passes before its ramp.
const TRIALS: u32 = 5;

/// The first hold of an unreachable target, doubled for each connect that
/// fails; a restart takes seconds.
const UNREACHABLE_HOLD_MS: DurationMs = DurationMs(1_000);

/// How long a target that was unreachable is taken to start cold, unless it
/// answers and says otherwise; its first requests are overdue before that.
const COLD_START_MS: DurationMs = DurationMs(30_000);

/// The longest hold of an unreachable target.
const LONGEST_UNREACHABLE_HOLD_MS: DurationMs = DurationMs(10_000);

/// Updates the evidence from `reports`.
///
/// `is_blamed` returns whether a lost connection is blamed on the request
/// (see `poison`) and so does not count against the target.
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
                failure_rate: LEAST_FAILURE_RATE,
                slow_rate: LEAST_SLOW_RATE,
            });
        let row = tables.targets.get_or_insert(report.target.clone(), || {
            TargetHealth::new(report.service.clone())
        });
        note_marks(row, report);
        if report.outcome == AttemptOutcome::ConnectionLost && is_blamed(report) {
            continue;
        }
        let good = add_evidence(row, report, &baseline);
        settle_trial(row, good, report.at);
    }
}

/// Keeps what the target's own answers say about it.
fn note_marks(row: &mut TargetHealth, report: &OutcomeReport) {
    if report.leaving {
        row.leaving_at = Some(report.at);
    }
    if matches!(
        report.outcome,
        AttemptOutcome::Answered | AttemptOutcome::Failed | AttemptOutcome::Shed
    ) {
        row.warming = report.warming;
        row.cold_until = None;
    }
}

/// Adds the evidence of one report; returns whether a trial passes by it,
/// `None` if it says too little.
fn add_evidence(
    row: &mut TargetHealth,
    report: &OutcomeReport,
    baseline: &ServiceBaseline,
) -> Option<bool> {
    let is_cold = row.warming || row.cold_until.is_some_and(|until| report.at < until);
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
            // One slow answer in twenty is normal, one beyond the next
            // doubling is not.
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
            // The caller's deadline was shorter than a usual answer.
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

fn within(earlier: Option<TimeMs>, now: TimeMs, window: DurationMs) -> bool {
    earlier.is_some_and(|at| now.since(at) <= window)
}

fn add_failure(row: &mut TargetHealth, failed: bool, baseline: &ServiceBaseline) {
    for (statistic, rate) in row.failures.iter_mut().zip(FAILING_RATES) {
        statistic.add(failed, rate, baseline.failure_rate);
    }
    move_share(&mut row.failure_share, failed, FAILURE_WEIGHT);
}

fn add_slow_sample(row: &mut TargetHealth, slow: bool, baseline: &ServiceBaseline) {
    row.slowness.add(slow, SLOW_TARGET_RATE, baseline.slow_rate);
    move_share(&mut row.slow_share, slow, SLOW_WEIGHT);
}

fn move_share(share: &mut f64, hit: bool, weight: f64) {
    let sample = if hit { 1.0 } else { 0.0 };
    *share += (sample - *share) * weight;
}

/// Counts a request that has passed the slow bound, or twice the slow bound.
///
/// Further doublings add nothing, so that a single request, however long it
/// takes, never suffices to avoid a target.
fn add_overdue(row: &mut TargetHealth, report: &OutcomeReport, baseline: &ServiceBaseline) {
    let bound_ms = baseline.slow_bound_ms.0.max(1);
    let doublings = (report.elapsed_ms.0 / bound_ms).max(1).ilog2();
    let in_flight = report.outcome == AttemptOutcome::Overdue;
    if doublings == 0 || !in_flight {
        row.overdue = row.overdue.saturating_add(u32::from(in_flight));
        add_slow_sample(row, true, baseline);
    }
    if doublings == 1 || (doublings > 1 && !in_flight) {
        let healthy_rate = (baseline.slow_rate * DOUBLED_FACTOR).min(DOUBLED_TARGET_RATE);
        row.slowness
            .add_nats((DOUBLED_TARGET_RATE / healthy_rate).ln());
    }
}

/// Ends a request that may have been reported overdue; returns whether it was.
fn end_overdue(row: &mut TargetHealth, report: &OutcomeReport, baseline: &ServiceBaseline) -> bool {
    if row.overdue == 0 || report.elapsed_ms < baseline.slow_bound_ms {
        return false;
    }
    row.overdue -= 1;
    true
}

/// Marks the target as unreachable, which is no evidence for an ejection:
/// other daemons may reach it.
fn add_connect_failure(row: &mut TargetHealth, now: TimeMs, baseline: &ServiceBaseline) {
    if within(row.silent_at.take(), now, SILENT_WINDOW_MS) {
        add_failure(row, true, baseline);
    }
    row.observed_at = Some(now);
    let factor = 1u64 << row.connects_failed.min(8);
    let hold = UNREACHABLE_HOLD_MS
        .times(factor)
        .min(LONGEST_UNREACHABLE_HOLD_MS);
    row.connects_failed = row.connects_failed.saturating_add(1);
    row.cold_until = Some(now + COLD_START_MS);
    row.hold_counted = false;
    let until = match row.standing {
        Standing::Held { until } => until.max(now + hold),
        _ => now + hold,
    };
    row.standing = Standing::Held { until };
}

/// Passes a target on trial, or notes that it failed for `judge` to decide.
fn settle_trial(row: &mut TargetHealth, good: Option<bool>, now: TimeMs) {
    let Standing::OnTrial { passed } = row.standing else {
        return;
    };
    match good {
        None => {}
        Some(false) => row.trial_failed = true,
        Some(true) if passed + 1 >= TRIALS => row.standing = Standing::Ramping { since: now },
        Some(true) => row.standing = Standing::OnTrial { passed: passed + 1 },
    }
}

//! Urgent requests under load, with batch requests beside them.

use agatehold_core::config::TrafficClass;
use agatehold_core::ids::ParseIdError;
use agatehold_core::limits::QueueLimits;
use agatehold_core::units::DurationMs;

use crate::simulation::MEAN_RUN_MS;
use crate::simulation::Policy;
use crate::simulation::RUN_MS;
use crate::simulation::Stream;
use crate::simulation::StreamResult;
use crate::simulation::run;
use crate::table_text::markdown;
use crate::table_text::percent;

/// The seed of the runs.
pub const SEED: u64 = 17;

/// The load of the urgent stream as a multiple of the capacity.
pub const LOADS: [f64; 4] = [0.8, 1.0, 1.5, 3.0];

/// How long the urgent stream's callers wait: at ease, and pressed.
pub const URGENT_TIMEOUTS_MS: [DurationMs; 2] = [DurationMs(2_000), DurationMs(150)];

/// The load of the batch stream as a multiple of the capacity.
const BATCH_LOAD: f64 = 0.5;

/// The tenants that each stream is divided between.
const TENANTS: usize = 10;

/// The bounds of the queue, as in the service's default policy.
pub const LIMITS: QueueLimits = QueueLimits {
    places: 64,
    wait_ms: DurationMs(1_000),
};

/// A user's urgent service, whose slots batch requests want too.
#[derive(Clone, Copy, Debug)]
pub struct User {
    /// The urgent service and the batch service beside it.
    pub services: (&'static str, &'static str),
    /// The slots of the urgent service's targets.
    pub slots: u32,
}

/// Both users of the design page.
pub const USERS: [User; 2] = [
    User {
        services: ("certificates", "archive"),
        slots: 24,
    },
    User {
        services: ("dispatch", "history"),
        slots: 18,
    },
];

/// What one run brought for both streams.
#[derive(Clone, Debug, Default)]
pub struct LoadResult {
    /// The urgent stream.
    pub urgent: StreamResult,
    /// The batch stream.
    pub batch: StreamResult,
}

/// Returns the requests in a second that a user's slots can run.
pub fn capacity_per_s(user: &User) -> f64 {
    f64::from(user.slots) * 1_000.0 / MEAN_RUN_MS
}

/// Runs one user's urgent stream at `load` times the capacity.
///
/// Its callers wait for `urgent_timeout_ms`.
pub fn measure(
    user: &User,
    load: f64,
    urgent_timeout_ms: DurationMs,
    policy: Policy,
) -> Result<LoadResult, ParseIdError> {
    let capacity = capacity_per_s(user);
    let mut streams = Vec::new();
    for (class, share, timeout_ms) in [
        (TrafficClass::Urgent, load, urgent_timeout_ms),
        (TrafficClass::Batch, BATCH_LOAD, DurationMs(10_000)),
    ] {
        for number in 0..TENANTS {
            streams.push(Stream {
                tenant: format!("{class}-{number}").parse()?,
                class,
                rate_per_s: share * capacity / TENANTS as f64,
                timeout_ms,
            });
        }
    }
    let mut total = LoadResult::default();
    for (stream, result) in streams.iter().zip(run(&streams, user.slots, policy, SEED)) {
        match stream.class {
            TrafficClass::Urgent => total.urgent.add(&result),
            _ => total.batch.add(&result),
        }
    }
    Ok(total)
}

/// Returns the urgent requests that were answered in time as a share of those
/// that the slots can run.
pub fn urgent_share(load: f64, result: &LoadResult) -> f64 {
    let runnable = f64::from(result.urgent.offered) * load.recip().min(1.0);
    f64::from(result.urgent.good) / runnable
}

fn report_row(
    user: &User,
    load: f64,
    timeout_ms: DurationMs,
    rule: &str,
    result: &LoadResult,
) -> Vec<String> {
    let (urgent, batch) = (&result.urgent, &result.batch);
    let offered = f64::from(urgent.offered);
    vec![
        format!("{} + {}", user.services.0, user.services.1),
        format!("{} ms", timeout_ms.0),
        format!("{load}x + {BATCH_LOAD}x"),
        rule.to_owned(),
        percent(urgent_share(load, result), 1.0),
        format!("{} ms", urgent.p99_wait_ms()),
        percent(f64::from(urgent.refused), offered),
        percent(f64::from(urgent.dropped), offered),
        percent(f64::from(urgent.late), offered),
        percent(f64::from(batch.good), f64::from(batch.offered)),
    ]
}

/// Returns the report.
pub fn report() -> Result<String, ParseIdError> {
    let mut rows = Vec::new();
    for user in USERS {
        for timeout_ms in URGENT_TIMEOUTS_MS {
            for load in LOADS {
                for (name, policy) in [
                    ("admission", Policy::Admission(LIMITS)),
                    ("one queue", Policy::Unlimited),
                ] {
                    let result = measure(&user, load, timeout_ms, policy)?;
                    rows.push(report_row(&user, load, timeout_ms, name, &result));
                }
            }
        }
    }
    let header = [
        "services",
        "urgent timeout",
        "load",
        "rule",
        "urgent answered in time, of what fits",
        "urgent p99 wait",
        "refused on arrival",
        "dropped from queue",
        "ran, too late",
        "batch answered in time",
    ];
    let title = format!(
        "Seed {SEED}, {} s, mean run {MEAN_RUN_MS} ms, batch timeout 10 s, queue {} places, {}.\n\n",
        RUN_MS / 1_000,
        LIMITS.places,
        LIMITS.wait_ms
    );
    Ok(title + &markdown(&header, &rows))
}

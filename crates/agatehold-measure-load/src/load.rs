//! Measures urgent requests under load while batch requests use the same slots.

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

/// The seed of every run.
pub const SEED: u64 = 17;

/// The measured loads of urgent requests as multiples of the capacity.
pub const LOADS: [f64; 4] = [0.8, 1.0, 1.5, 3.0];

/// The measured timeouts of urgent requests: a long and a short one.
pub const URGENT_TIMEOUTS_MS: [DurationMs; 2] = [DurationMs(2_000), DurationMs(150)];

/// The load of batch requests as a multiple of the capacity.
const BATCH_LOAD: f64 = 0.5;

/// The number of tenants in each traffic class.
const TENANTS: usize = 10;

/// The limits of the admission queue, as in the default settings of a service.
pub const LIMITS: QueueLimits = QueueLimits {
    places: 64,
    wait_ms: DurationMs(1_000),
};

/// A user's urgent service, whose slots batch requests compete for.
#[derive(Clone, Copy, Debug)]
pub struct User {
    /// The names of the urgent service and of the batch service.
    pub services: (&'static str, &'static str),
    /// The total number of slots of the urgent service's targets.
    pub slots: u32,
}

/// The two users described in the design.
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

/// The result of one run.
#[derive(Clone, Debug, Default)]
pub struct LoadResult {
    /// The results of the urgent requests.
    pub urgent: StreamResult,
    /// The results of the batch requests.
    pub batch: StreamResult,
}

/// Returns the number of requests per second that a user's slots can run.
pub fn capacity_per_s(user: &User) -> f64 {
    f64::from(user.slots) * 1_000.0 / MEAN_RUN_MS
}

/// Runs one user's urgent requests, with a timeout of `urgent_timeout_ms`, at
/// `load` times the capacity, and batch requests at `BATCH_LOAD` times.
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

/// Returns the urgent requests answered in time as a share of those that the
/// slots can run.
pub fn urgent_share(load: f64, result: &LoadResult) -> f64 {
    let runnable = f64::from(result.urgent.offered) * load.recip().min(1.0);
    f64::from(result.urgent.in_time) / runnable
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
        percent(f64::from(batch.in_time), f64::from(batch.offered)),
    ]
}

/// Measures all users, timeouts, loads and policies and returns the table.
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

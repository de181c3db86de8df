//! Measures fairness between tenants and the memory of their token buckets.

use agatehold_core::config::TenantRow;
use agatehold_core::config::TrafficClass;
use agatehold_core::ids::ParseIdError;
use agatehold_core::ids::TenantName;
use agatehold_core::limits::TenantBuckets;
use agatehold_core::units::DurationMs;
use agatehold_core::units::RequestsPerSecond;
use agatehold_core::units::TimeMs;

use crate::load::LIMITS;
use crate::load::USERS;
use crate::load::capacity_per_s;
use crate::memory::resident_bytes;
use crate::simulation::Policy;
use crate::simulation::Stream;
use crate::simulation::StreamResult;
use crate::simulation::run;
use crate::table_text::markdown;
use crate::table_text::percent;

/// The seed of every run.
pub const SEED: u64 = 31;

/// The number of tenants in the measurement of fairness.
const TENANTS: usize = 20;

/// The load of each normal tenant as a multiple of its fair share.
const NORMAL_LOAD: f64 = 0.9;

/// The load of the overloading tenant as a multiple of its fair share.
const OVERLOAD: f64 = 10.0;

/// The number of tenants at the design size.
pub const DESIGN_TENANTS: u32 = 63_000;

/// Runs one tenant that sends more than its fair share beside tenants that send
/// less. Returns the results of the former and the total of the latter.
pub fn measure(policy: Policy) -> Result<(StreamResult, StreamResult), ParseIdError> {
    let user = USERS[0];
    let fair_per_s = capacity_per_s(&user) / TENANTS as f64;
    let mut streams = Vec::new();
    for number in 0..TENANTS {
        let load = if number == 0 { OVERLOAD } else { NORMAL_LOAD };
        streams.push(Stream {
            tenant: format!("tenant-{number}").parse()?,
            class: TrafficClass::Urgent,
            rate_per_s: load * fair_per_s,
            timeout_ms: DurationMs(2_000),
        });
    }
    let results = run(&streams, user.slots, policy, SEED);
    let mut normal = StreamResult::default();
    for result in &results[1..] {
        normal.add(result);
    }
    Ok((results[0].clone(), normal))
}

/// The size of a table of token buckets.
#[derive(Clone, Copy, Debug)]
pub struct BucketResult {
    /// The number of rows after one request from each tenant.
    pub rows: usize,
    /// The growth of resident memory.
    pub bytes: u64,
    /// The number of rows a minute later, when only one tenant still sends.
    pub rows_later: usize,
}

/// Takes a token for each of `tenants` tenants within 10 ms, then for one of them
/// every 100 ms for a minute.
pub fn measure_buckets(tenants: u32) -> Result<BucketResult, ParseIdError> {
    let policy = TenantRow {
        class: TrafficClass::Normal,
        rate_per_s: RequestsPerSecond::new(2.0).unwrap_or_default(),
        burst: 5,
    };
    let mut buckets = TenantBuckets::new();
    let before = resident_bytes();
    for number in 0..tenants {
        let tenant: TenantName = format!("tenant-{number:06}").parse()?;
        let now = TimeMs(1_000 + u64::from(number) * 10 / u64::from(tenants));
        let taken = buckets.take(&tenant, &policy, now);
        debug_assert!(taken.is_ok(), "a full bucket has a token");
    }
    let rows = buckets.len();
    let bytes = resident_bytes().saturating_sub(before);
    let active: TenantName = "tenant-000000".parse()?;
    for second in 0..600_u64 {
        // It doesn't matter whether a token is left; only rows are counted.
        let _taken = buckets.take(&active, &policy, TimeMs(2_000 + second * 100));
    }
    Ok(BucketResult {
        rows,
        bytes,
        rows_later: buckets.len(),
    })
}

/// Measures all policies and the memory of buckets and returns the report.
pub fn report() -> Result<String, ParseIdError> {
    let buckets = measure_buckets(DESIGN_TENANTS)?;
    let mut rows = Vec::new();
    for (name, policy) in [
        ("admission", Policy::Admission(LIMITS)),
        ("one queue", Policy::Unlimited),
    ] {
        let (overloading, normal) = measure(policy)?;
        for (tenant, result) in [("10x its share", &overloading), ("19 at 0.9x", &normal)] {
            rows.push(vec![
                name.to_owned(),
                tenant.to_owned(),
                percent(f64::from(result.in_time), f64::from(result.offered)),
                format!("{} ms", result.p99_wait_ms()),
                percent(
                    f64::from(result.refused + result.dropped),
                    f64::from(result.offered),
                ),
                percent(f64::from(result.late), f64::from(result.offered)),
            ]);
        }
    }
    let header = [
        "rule",
        "tenant",
        "answered in time",
        "p99 wait",
        "refused or dropped",
        "ran, too late",
    ];
    let text = format!(
        "Seed {SEED}, one service with 24 slots, token buckets off.\n\n{}\n\
         Buckets: {} rows after one request of each of {DESIGN_TENANTS} tenants, {:.1} MB resident \
         ({} bytes a tenant); {} row(s) a minute later.\n",
        markdown(&header, &rows),
        buckets.rows,
        buckets.bytes as f64 / 1e6,
        buckets.bytes / u64::from(DESIGN_TENANTS),
        buckets.rows_later,
    );
    Ok(text)
}

//! Checks the results of the measurements against the targets of the design.

use std::error::Error;

use agatehold_core::units::ByteCount;
use agatehold_measure_load::fleet;
use agatehold_measure_load::fleet::Sharing;
use agatehold_measure_load::keys;
use agatehold_measure_load::load;
use agatehold_measure_load::load::LIMITS;
use agatehold_measure_load::load::LOADS;
use agatehold_measure_load::load::URGENT_TIMEOUTS_MS;
use agatehold_measure_load::load::USERS;
use agatehold_measure_load::retries;
use agatehold_measure_load::simulation::Policy;
use agatehold_measure_load::tenants;

/// Batch requests that get more than their share of slots delay urgent look-ups
/// and call-outs; without a share they never run.
#[test]
fn urgent_requests_keep_95_percent_under_load() -> Result<(), Box<dyn Error>> {
    for user in USERS {
        for load in LOADS {
            let timeout_ms = URGENT_TIMEOUTS_MS[0];
            let result = load::measure(&user, load, timeout_ms, Policy::Admission(LIMITS))?;
            let share = load::urgent_share(load, &result);
            let case = format!("{} at {load}x", user.services.0);
            assert!(
                share >= 0.95,
                "{case}: share of urgent requests answered in time: {share:.3}"
            );
            let p99_ms = result.urgent.p99_wait_ms();
            assert!(p99_ms <= LIMITS.wait_ms.0, "{case}: p99 wait {p99_ms} ms");
            // One in 31 requests that get a slot is a batch request; a tenth less
            // allows for times when the batch queue is empty.
            let runs = f64::from(result.urgent.in_time + result.batch.in_time);
            let min_batch_runs = 0.9 * runs / 31.0;
            assert!(
                f64::from(result.batch.in_time) >= min_batch_runs,
                "{case}: fewer than {min_batch_runs:.0} batch requests were answered in time"
            );
        }
    }
    Ok(())
}

/// If daemons use each other's slots, targets shed urgent and batch requests
/// alike, so that batch requests get as many slots as urgent ones. At least 95% of
/// urgent requests must be answered in time, as with one daemon. See
/// `KNOWN-RED.txt`.
#[test]
fn urgent_requests_keep_95_percent_behind_six_daemons() -> Result<(), Box<dyn Error>> {
    let mut misses = String::new();
    for load in LOADS {
        let result = fleet::measure(load, Sharing::Home)?;
        let share = fleet::urgent_share(load, &result);
        if share < 0.95 {
            misses.push_str(&format!(" {share:.3} at {load}x"));
        }
    }
    assert!(
        misses.is_empty(),
        "share of urgent requests answered in time:{misses}"
    );
    Ok(())
}

/// With more than 1.2 attempts per request, retries keep a failing service
/// overloaded.
#[test]
fn attempts_stay_below_1_2_times_the_load() {
    for fault in retries::FAULTS {
        for rate_per_s in [1, 10, 140] {
            let result = retries::measure(&fault, rate_per_s, true);
            let ratio = result.ratio();
            assert!(ratio <= 1.2, "{} at {rate_per_s}/s: {ratio}", fault.name);
            // Below 10 requests per second, the minimum budget of one retry is
            // more than the allowed share.
            let worst = result.worst_second;
            let bounded = rate_per_s < 10 || worst <= 1.2;
            assert!(bounded, "{} at {rate_per_s}/s: {worst} in 1 s", fault.name);
        }
    }
}

/// A request that runs twice is billed twice. A key with a prefix must need no
/// platform call: it would fail whenever the platform does, and would use up the
/// platform's rate limit.
#[test]
fn keys_run_once_with_few_platform_calls() -> Result<(), Box<dyn Error>> {
    for scenario in keys::SCENARIOS {
        let result = keys::measure(scenario)?;
        let name = scenario.name;
        assert_eq!(result.double_runs, 0, "{name}");
        let per_arrival = f64::from(result.platform_calls) / f64::from(result.arrivals);
        if scenario.prefixed {
            assert_eq!(result.platform_calls, 0, "{name}");
        } else if scenario.lost_percent == 0 {
            assert!(
                per_arrival <= 1.0,
                "{name}: {per_arrival} platform calls per arrival"
            );
        }
        let faultless =
            scenario.restart_every + scenario.unavailable_percent + scenario.lost_percent == 0;
        if faultless {
            assert_eq!(result.refused_never_run, 0, "{name}");
        }
    }
    Ok(())
}

/// A tenant that sends ten times its fair share must not displace the requests of
/// tenants that keep to theirs.
#[test]
fn normal_tenants_are_served_beside_an_overloading_one() -> Result<(), Box<dyn Error>> {
    let (_, normal) = tenants::measure(Policy::Admission(LIMITS))?;
    let share = f64::from(normal.in_time) / f64::from(normal.offered);
    assert!(
        share >= 0.95,
        "share of normal tenants' requests answered in time: {share:.3}"
    );
    let later = tenants::measure_buckets(2_000)?.rows_later;
    assert!(
        later <= 1,
        "{later} token buckets kept, expected only that of the active tenant"
    );
    Ok(())
}

/// The keys of one hour at the design rate must fit into the default memory limit,
/// so that no epoch is closed early.
#[test]
fn one_hour_of_keys_fits_into_memory() -> Result<(), Box<dyn Error>> {
    let table = keys::filled_table(140 * 70 * 60)?;
    assert_eq!(table.oldest_open().0, 0, "an epoch was closed early");
    assert!(
        table.memory() <= ByteCount(128 << 20),
        "the key table uses {}",
        table.memory()
    );
    Ok(())
}

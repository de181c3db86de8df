//! Tests that ejections respect the floor and require the platform.

use std::path::Path;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use serde_json::json;

use agatehold_core::units::DurationMs;
use agatehold_core::units::RequestsPerSecond;
use agatehold_testing::caller;
use agatehold_testing::caller::Load;
use agatehold_testing::caller::RunningCaller;
use agatehold_testing::fleet::Fleet;
use agatehold_testing::fleet::FleetOptions;
use agatehold_testing::fleet::wait_until;
use agatehold_testing::history;
use agatehold_wire::admin::TargetRank;

/// The index of the target that fails.
const GRAY_TARGET: usize = 1;

/// Makes the tests of this file run one at a time. On a machine without a free core,
/// answers are late, the daemons assume an overload, and correctly eject nothing.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

fn lock_fleet() -> MutexGuard<'static, ()> {
    FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start_fleet() -> Fleet {
    let options = FleetOptions {
        daemons: 6,
        host_lag_ms: DurationMs(0),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(Path::new(env!("CARGO_BIN_EXE_agatehold")), options).expect("a fleet");
    fleet.prepare_for_ejection().expect("switched");
    fleet
}

/// Returns the number of targets that are excluded by a daemon, summed over all
/// daemons.
fn excluded_count(fleet: &Fleet) -> usize {
    let rows = fleet.target_rows().expect("an answer");
    rows.iter()
        .filter(|row| row.rank == TargetRank::Excluded)
        .count()
}

/// How long to wait before targets fail. A daemon ejects nothing until it has followed
/// the permit records for 20 s, because exclusions from before its start may still be
/// in force.
const PERMITS_FOLLOWED_WAIT: Duration = Duration::from_secs(22);

/// Starts a fleet under load and waits until it may eject targets.
fn start_ejecting() -> (Fleet, RunningCaller) {
    let fleet = start_fleet();
    let mut options = fleet.lookup_options("lookup").expect("valid names");
    options.count = u64::MAX;
    options.duration_ms = DurationMs(120_000);
    options.fetches_addresses = false;
    options.load = Load::Open("200".parse::<RequestsPerSecond>().expect("a rate"));
    let running = caller::start(options).expect("a caller");
    thread::sleep(PERMITS_FOLLOWED_WAIT);
    (fleet, running)
}

/// If every failing target were ejected, the remaining ones would lack capacity: of 6
/// targets with a floor of 4, at most 2 may be ejected.
#[test]
fn ejections_keep_to_the_floor() {
    let _guard = lock_fleet();
    let (fleet, running) = start_ejecting();
    let mut most = 0;
    for failing in [vec![0], vec![0, 1], vec![0, 1, 2]] {
        fleet
            .control_targets(&json!({"targets": failing, "set": {"fail_share": 1.0}}))
            .unwrap();
        for _ in 0..100 {
            thread::sleep(Duration::from_millis(100));
            most = fleet.ejected_count().expect("an answer").max(most);
        }
    }
    running.stop();
    let calls = running.join();
    println!("floor: at most {most} ejected");
    assert!(most >= 1, "nothing was ejected");
    assert!(most <= 2, "{most} targets were ejected at once");
    assert_eq!(history::check_response_bodies(&calls), Vec::new());
    fleet.close().unwrap();
}

/// A daemon that ejects without the platform can violate the floor, because it does not
/// know the ejections of daemons that it can't reach.
#[test]
fn ejection_needs_the_platform_and_lapses_without_it() {
    let _guard = lock_fleet();
    let (fleet, running) = start_ejecting();
    fleet.control_platform(&json!({"down": true})).unwrap();
    fleet
        .control_targets(&json!({"targets": [GRAY_TARGET], "set": {"fail_share": 1.0}}))
        .unwrap();
    for _ in 0..40 {
        thread::sleep(Duration::from_millis(100));
        assert_eq!(fleet.ejected_count().expect("an answer"), 0);
        assert_eq!(excluded_count(&fleet), 0);
    }
    fleet.control_platform(&json!({"down": false})).unwrap();
    fleet
        .control_targets(&json!({"targets": [GRAY_TARGET + 1], "set": {"fail_share": 1.0}}))
        .unwrap();
    wait_until("an exclusion", || excluded_count(&fleet) > 0).unwrap();
    fleet.control_platform(&json!({"down": true})).unwrap();
    // 15 s after the last confirmation, the target is only avoided, not excluded.
    wait_until("the end of the exclusion", || excluded_count(&fleet) == 0).unwrap();
    running.stop();
    let calls = running.join();
    assert_eq!(history::check_response_bodies(&calls), Vec::new());
    fleet.close().unwrap();
}

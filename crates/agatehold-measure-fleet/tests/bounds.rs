//! Guards the stated aims of the fleet's control work, on virtual figures.

use agatehold_measure_fleet::measure;

/// The bytes a second that control may use at one daemon.
const PEER_BYTES: f64 = 2_048.0;

/// More bytes would take bandwidth from callers on small hosts.
#[test]
fn peer_bytes_stay_in_the_budget_at_48() {
    let bytes = measure::peer_bytes_of(48, 0);
    assert!(bytes.mean <= PEER_BYTES, "{bytes:?}");
}

/// The same at the quarter of the design size.
#[test]
fn peer_bytes_stay_in_the_budget_at_220() {
    let bytes = measure::peer_bytes_of(220, 0);
    assert!(bytes.mean <= PEER_BYTES, "{bytes:?}");
}

/// The budget holds for each daemon, not only on average.
#[test]
fn busiest_daemon_stays_in_the_budget_at_48() {
    let bytes = measure::peer_bytes_of(48, 0);
    assert!(bytes.busiest <= PEER_BYTES, "{bytes:?}");
}

/// The same at a quarter of the design size.
#[test]
fn busiest_daemon_stays_in_the_budget_at_220() {
    let bytes = measure::peer_bytes_of(220, 0);
    assert!(bytes.busiest <= PEER_BYTES, "{bytes:?}");
}

/// An accepted note must be in force everywhere within 9 s, with losses and
/// without the platform.
#[test]
fn notes_spread_within_9_s() {
    for daemons in [48, 220] {
        for platform in [true, false] {
            let times = measure::spread_times(daemons, 0.05, platform, 1);
            assert!(times.last() <= Some(&9_000), "{daemons} {platform}");
        }
    }
}

/// The platform's rates grow more slowly than the fleet.
#[test]
fn platform_calls_stay_below_60_a_second() {
    let a_second = |daemons| {
        let calls = measure::platform_calls_of(daemons);
        (calls.watch_head + calls.read_head + calls.read_notes + calls.read_hosts) / 60
    };
    let (small, large) = (a_second(48), a_second(220));
    assert!(small < 60, "{small}");
    assert!(large * 48 < small.max(1) * 220, "{small} {large}");
}

/// The busiest daemon must stay within 1.25x of the mean, before and after
/// losses.
#[test]
fn entry_shares_stay_even() {
    for daemons in [12, 36, 48, 220] {
        for lost in [None, Some(16), Some(3)] {
            let (ratio, _) = measure::share_ratio(daemons, lost);
            assert!(ratio <= 1.25, "{daemons} {lost:?}: {ratio}");
        }
    }
}

/// Callers must not be sent to a killed host for longer than the 6 s that the
/// design page allows at today's sizes.
#[test]
fn killed_hosts_leave_address_answers_within_6_s() {
    for (unoffered, _) in measure::detection_times(48, 0.02, 4) {
        assert!(unoffered <= 6_000, "{unoffered}");
    }
}

//! Checks the results of the fleet measurements against the targets of the design.

use agatehold_measure_fleet::measure;

/// The maximum bytes per second that a daemon sends to and receives from peers.
const MAX_PEER_BYTES_PER_S: f64 = 2_048.0;

/// More bytes would take bandwidth from callers on small hosts.
#[test]
fn peer_bytes_stay_in_the_budget_at_48() {
    let bytes = measure::measure_peer_bytes(48, 0);
    assert!(bytes.mean <= MAX_PEER_BYTES_PER_S, "{bytes:?}");
}

/// The same limit at a quarter of the design size.
#[test]
fn peer_bytes_stay_in_the_budget_at_220() {
    let bytes = measure::measure_peer_bytes(220, 0);
    assert!(bytes.mean <= MAX_PEER_BYTES_PER_S, "{bytes:?}");
}

/// The limit applies to each daemon, not only to the mean.
#[test]
fn busiest_daemon_stays_in_the_budget_at_48() {
    let bytes = measure::measure_peer_bytes(48, 0);
    assert!(bytes.busiest <= MAX_PEER_BYTES_PER_S, "{bytes:?}");
}

/// The same limit for each daemon at a quarter of the design size.
#[test]
fn busiest_daemon_stays_in_the_budget_at_220() {
    let bytes = measure::measure_peer_bytes(220, 0);
    assert!(bytes.busiest <= MAX_PEER_BYTES_PER_S, "{bytes:?}");
}

/// A released note must reach every daemon within 9 s in spite of message loss,
/// with and without the platform.
#[test]
fn notes_spread_within_9_s() {
    for daemons in [48, 220] {
        for platform in [true, false] {
            let times = measure::note_spread_times_ms(daemons, 0.05, platform, 1);
            assert!(
                times.last() <= Some(&9_000),
                "{daemons} daemons, platform up: {platform}: not all have the note after 9 s"
            );
        }
    }
}

/// The platform must get fewer than 60 calls per second from 48 daemons, and its
/// calls must grow more slowly than the fleet.
#[test]
fn platform_calls_stay_below_60_a_second() {
    let calls_per_second = |daemons| {
        let calls = measure::count_platform_calls(daemons);
        (calls.watch_head + calls.read_head + calls.read_notes + calls.read_hosts) / 60
    };
    let (small, large) = (calls_per_second(48), calls_per_second(220));
    assert!(small < 60, "{small} calls per second from 48 daemons");
    assert!(
        large * 48 < small.max(1) * 220,
        "{small} calls per second from 48 daemons, {large} from 220"
    );
}

/// The busiest daemon's share must be at most 1.25 times the mean, before and after
/// losses of daemons.
#[test]
fn entry_shares_stay_even() {
    for daemons in [12, 36, 48, 220] {
        for lost in [None, Some(16), Some(3)] {
            let (ratio, _) = measure::share_ratio(daemons, lost);
            assert!(
                ratio <= 1.25,
                "{daemons} daemons, one in {lost:?} lost: busiest has {ratio} times the mean"
            );
        }
    }
}

/// Address answers must omit a killed host after at most 6 s, the limit of the
/// design for today's fleet sizes. Until then, callers are sent to it.
#[test]
fn killed_hosts_leave_address_answers_within_6_s() {
    for (unoffered_ms, _) in measure::loss_detection_times_ms(48, 0.02, 4) {
        assert!(
            unoffered_ms <= 6_000,
            "address answers omit the killed host after {unoffered_ms} ms"
        );
    }
}

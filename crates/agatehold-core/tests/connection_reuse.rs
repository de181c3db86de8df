//! Tests how long idle connections to targets are trusted.

use agatehold_core::dispatch::ConnectionReuse;
use agatehold_core::dispatch::idle_connections_max;
use agatehold_core::dispatch::was_dead_before;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

const START: TimeMs = TimeMs(10_000);

fn after(ms: u64) -> TimeMs {
    START + DurationMs(ms)
}

/// On a quiet day every second request that must not run twice opened a connection.
/// Guards against a limit where nothing speaks against a rested connection.
#[test]
fn a_rested_connection_is_reused_as_long_as_none_was_found_dead() {
    let mut reuse = ConnectionReuse::default();
    for ms in 0..200 {
        reuse.record_alive(DurationMs(3_000), after(ms * 10));
    }
    assert_eq!(reuse.idle_max(false, after(2_000)), None);
}

/// Half of the targets begin to forget connections that have rested 300 ms. Guards
/// against requests that are lost on each of them, and against a limit that also binds
/// requests that may be sent again.
#[test]
fn targets_that_forget_connections_are_noticed_after_three() {
    let mut reuse = ConnectionReuse::default();
    for ms in 0..10 {
        reuse.record_alive(DurationMs(900), after(ms));
    }
    assert_eq!(reuse.record_dead(DurationMs(700), after(20)), None);
    assert_eq!(reuse.record_dead(DurationMs(400), after(40)), None);
    let told = reuse.record_dead(DurationMs(500), after(60));
    assert_eq!(told, Some(DurationMs(400)), "the shortest rest");
    let idle_max = reuse.idle_max(false, after(61)).expect("a limit");
    assert!(idle_max < DurationMs(300), "{idle_max}");
    assert_eq!(reuse.idle_max(true, after(61)), None);
    let mut other = ConnectionReuse::default();
    assert!(other.distrust(DurationMs(400), after(62)));
    assert!(other.idle_max(false, after(63)).is_some());
    assert_eq!(other.idle_max(false, after(40_000)), None, "it ends");
}

/// Six of a hundred targets reset part of their requests, on new connections too. Guards
/// against distrust of all connections, which then are opened anew for each request.
#[test]
fn a_few_targets_that_reset_requests_change_nothing() {
    let mut reuse = ConnectionReuse::default();
    for ms in 0..600 {
        reuse.record_alive(DurationMs(1_500), after(ms * 10));
        if ms % 25 == 0 {
            let told = reuse.record_dead(DurationMs(1_500), after(ms * 10));
            assert_eq!(told, None, "at {ms}");
        }
    }
    assert_eq!(reuse.idle_max(false, after(6_000)), None);
}

/// Guards against a crash of a target during a request taken for a dead connection.
#[test]
fn only_a_prompt_reset_after_a_rest_counts() {
    assert!(was_dead_before(DurationMs(400), DurationMs(12)));
    assert!(!was_dead_before(DurationMs(400), DurationMs(250)));
    assert!(!was_dead_before(DurationMs(20), DurationMs(2)));
}

/// Guards against idle connections of a large fleet that use up a target's limit, which
/// then resets the connections that carry requests.
#[test]
fn the_idle_connections_of_all_daemons_stay_below_the_limit_of_a_target() {
    for (connections_max, daemons) in [(1_680, 126), (1_410, 103), (1_680, 300), (2_000, 880)] {
        let idle = idle_connections_max(connections_max, daemons);
        assert!(idle >= 1);
        assert!(idle * daemons < connections_max as usize, "{daemons}");
    }
    assert_eq!(idle_connections_max(u32::MAX, 3), 8);
}

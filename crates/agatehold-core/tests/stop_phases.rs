//! Tests the phases of a planned stop.

use agatehold_core::dispatch::StopPhase;
use agatehold_core::dispatch::announced_keep_alive;
use agatehold_core::dispatch::may_start_attempt;
use agatehold_core::dispatch::may_take_request;
use agatehold_core::dispatch::stop_phase;
use agatehold_core::units::DurationMs;

/// The grace periods of small and large deployments.
const STOP_LIMITS_MS: [u64; 2] = [6_000, 10_000];

/// A quiet time that never keeps a process.
const QUIET_MS: DurationMs = DurationMs(60_000);

/// Returns the first time after the stop signal at which a phase is reached with a request
/// in flight.
fn reached_at(phase: StopPhase, limit: DurationMs) -> u64 {
    let mut times = 0..limit.0;
    let reached =
        times.find(|time_ms| stop_phase(DurationMs(*time_ms), 1, QUIET_MS, limit) >= phase);
    reached.expect("the phase is reached before the limit")
}

/// Guards against a process that ends while a request that it has read is neither answered
/// nor refused: the refusals need time to be written, and so do the end of the connections
/// and the log.
#[test]
fn unfinished_requests_are_refused_before_the_connections_are_closed() {
    for limit_ms in STOP_LIMITS_MS {
        let limit = DurationMs(limit_ms);
        let refused_at = reached_at(StopPhase::Refusing, limit);
        let closed_at = reached_at(StopPhase::Closing, limit);
        assert!(refused_at + 100 <= closed_at, "{limit}");
        assert!(closed_at + 500 <= limit_ms, "{limit}");
        // A target that works on a request in the last sixth of the grace period may be
        // interrupted, and not sooner.
        assert!(refused_at >= limit_ms / 6 * 5, "{limit}");
    }
}

/// Guards against a request that a stopping daemon takes and then refuses at the limit
/// although its own time is not over.
#[test]
fn requests_that_are_taken_end_before_unfinished_ones_are_refused() {
    for limit_ms in STOP_LIMITS_MS {
        let limit = DurationMs(limit_ms);
        for stopping_ms in (0..limit_ms).step_by(50) {
            for remaining_ms in (100..limit_ms).step_by(100) {
                let (stopping, remaining) = (DurationMs(stopping_ms), DurationMs(remaining_ms));
                if !may_take_request(stopping, remaining, limit) {
                    continue;
                }
                let last = DurationMs(stopping_ms + remaining_ms - 1);
                let phase = stop_phase(last, 1, QUIET_MS, limit);
                assert_eq!(phase, StopPhase::Serving, "{stopping} {remaining}");
            }
        }
    }
}

/// Guards against a process that waits until its limit although nothing is left to do, and
/// against one that ends while callers still come.
#[test]
fn a_daemon_without_requests_closes_early() {
    for limit_ms in STOP_LIMITS_MS {
        let limit = DurationMs(limit_ms);
        let at_3_s = |in_flight, quiet_ms| {
            stop_phase(DurationMs(3_000), in_flight, DurationMs(quiet_ms), limit)
        };
        assert_eq!(at_3_s(0, 1_000), StopPhase::Closing);
        assert_eq!(at_3_s(1, 1_000), StopPhase::Serving);
        assert_eq!(at_3_s(0, 900), StopPhase::Serving);
        let at_2_s = stop_phase(DurationMs(2_000), 0, QUIET_MS, limit);
        assert_eq!(at_2_s, StopPhase::Serving);
    }
}

/// Guards against a connection that its caller may still use when the daemon closes it, for
/// its idle timeout or in a planned stop.
#[test]
fn connections_are_kept_longer_than_announced() {
    for idle_timeout_ms in [500, 1_500, 4_000, 15_000, 60_000] {
        let idle_timeout = DurationMs(idle_timeout_ms);
        let Some(announced) = announced_keep_alive(idle_timeout) else {
            assert!(idle_timeout_ms < 2_000, "{idle_timeout}");
            continue;
        };
        assert_eq!(announced.0 % 1_000, 0);
        assert!(announced.0 * 5 <= idle_timeout_ms * 4, "{idle_timeout}");
        for limit_ms in STOP_LIMITS_MS {
            // A caller was told to keep its connection right before the stop signal, and
            // sends a request as late as it may.
            let sent = DurationMs(announced.0 + 500);
            let phase = stop_phase(sent, 0, DurationMs(500), DurationMs(limit_ms));
            assert_eq!(phase, StopPhase::Serving, "{idle_timeout} {limit_ms}");
        }
    }
}

/// Guards against a request that waited when the stop signal came, is sent to a target, and
/// is broken off at the stop limit although it could have run elsewhere.
#[test]
fn requests_that_would_be_broken_off_are_not_sent() {
    for limit_ms in STOP_LIMITS_MS {
        let limit = DurationMs(limit_ms);
        let refused_at = reached_at(StopPhase::Refusing, limit);
        for expected_ms in [0, 200, 2_000] {
            let last = DurationMs(refused_at - expected_ms);
            let expected = DurationMs(expected_ms);
            assert!(may_start_attempt(last, expected, limit));
            assert!(!may_start_attempt(last + DurationMs(1), expected, limit));
        }
    }
}

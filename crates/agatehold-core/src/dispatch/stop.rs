//! Decides what a daemon that is shutting down still does.

use crate::units::DurationMs;

/// How long before the stop limit, at which the platform kills the process, the
/// process exits even if requests are still in flight.
const STOP_MARGIN_MS: DurationMs = DurationMs(400);

/// The minimum time that a daemon that is shutting down keeps serving. By then,
/// the other daemons have stopped giving out its address.
const STOP_MIN_MS: DurationMs = DurationMs(3_000);

/// A daemon that is shutting down and has no requests in flight exits once it has
/// had no new connection for this time.
const QUIET_BEFORE_EXIT_MS: DurationMs = DurationMs(1_000);

/// Returns the time after the stop signal at which the process exits in any case.
fn exit_limit(stop_limit_ms: DurationMs) -> DurationMs {
    stop_limit_ms.saturating_sub(STOP_MARGIN_MS)
}

/// Returns whether a daemon takes a request `stopping_ms` after the stop signal. It
/// takes only those whose time limit ends before the process does: others could be
/// cut while a target works on them, and may not be sent again.
pub fn may_take_request(
    stopping_ms: DurationMs,
    remaining_ms: DurationMs,
    stop_limit_ms: DurationMs,
) -> bool {
    stopping_ms + remaining_ms <= exit_limit(stop_limit_ms)
}

/// Returns whether a daemon exits `stopping_ms` after the stop signal, with
/// `in_flight` requests whose answers are not written and the last caller
/// connection `quiet_ms` ago.
pub fn may_exit(
    stopping_ms: DurationMs,
    in_flight: u64,
    quiet_ms: DurationMs,
    stop_limit_ms: DurationMs,
) -> bool {
    if stopping_ms >= exit_limit(stop_limit_ms) {
        return true;
    }
    stopping_ms >= STOP_MIN_MS && in_flight == 0 && quiet_ms >= QUIET_BEFORE_EXIT_MS
}

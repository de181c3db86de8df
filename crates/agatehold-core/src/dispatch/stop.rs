//! Decides what a daemon that is shutting down still does.

use crate::units::DurationMs;

/// How long before the stop limit, at which the platform kills the process, requests
/// that have not ended are refused: their callers get an answer, and so do those whose
/// answers wait behind them on the same connection.
const REFUSAL_MARGIN_MS: DurationMs = DurationMs(600);

/// How long before the stop limit the connections are closed even if requests are still
/// in flight. The difference to [`REFUSAL_MARGIN_MS`] is for writing the refusals; the
/// rest is for closing the connections, writing the log and the end of the process.
const CLOSE_MARGIN_MS: DurationMs = DurationMs(500);

/// The minimum time that a daemon that is shutting down keeps serving. By then,
/// the other daemons have stopped giving out its address.
const STOP_MIN_MS: DurationMs = DurationMs(3_000);

/// A daemon that is shutting down and has no requests in flight closes its connections
/// once it has had no new connection for this time, and no caller has been able to use
/// an open one.
const QUIET_BEFORE_CLOSE_MS: DurationMs = DurationMs(1_000);

/// The longest time for which callers are told to keep an idle connection. A stopping
/// daemon serves for longer, so that no request crosses the close of its connection.
const KEEP_ALIVE_MAX_MS: DurationMs = DurationMs(4_000);

/// What a daemon does with the requests of its callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// They are served, also after the stop signal if they end in time.
    #[default]
    Serving,
    /// Those that have not ended are refused.
    Refusing,
    /// The connections are closed.
    Closing,
}

/// Returns the time after the stop signal at which requests that have not ended are
/// refused.
fn refusal_limit(stop_limit_ms: DurationMs) -> DurationMs {
    stop_limit_ms.saturating_sub(REFUSAL_MARGIN_MS)
}

/// Returns whether a daemon takes a request `stopping_ms` after the stop signal. It
/// takes only those whose time limit ends before unfinished requests are refused: others
/// could be cut while a target works on them, and may not be sent again.
pub fn may_take_request(
    stopping_ms: DurationMs,
    remaining_ms: DurationMs,
    stop_limit_ms: DurationMs,
) -> bool {
    stopping_ms + remaining_ms <= refusal_limit(stop_limit_ms)
}

/// Returns whether a daemon still sends a request to a target `stopping_ms` after the stop
/// signal, when it is expected to run for `expected_run_ms`. One that would be broken off
/// is refused as not run instead, so that its caller can go elsewhere.
pub fn may_start_attempt(
    stopping_ms: DurationMs,
    expected_run_ms: DurationMs,
    stop_limit_ms: DurationMs,
) -> bool {
    stopping_ms + expected_run_ms <= refusal_limit(stop_limit_ms)
}

/// Returns whether a daemon closes its connections and exits `stopping_ms` after the stop
/// signal, with `in_flight` requests whose answers are not written. `quiet_ms` is the time
/// since the last caller connected, or since callers may no longer use the connections
/// that they keep, whichever is shorter.
pub fn may_exit(
    stopping_ms: DurationMs,
    in_flight: u64,
    quiet_ms: DurationMs,
    stop_limit_ms: DurationMs,
) -> bool {
    if stopping_ms >= stop_limit_ms.saturating_sub(CLOSE_MARGIN_MS) {
        return true;
    }
    stopping_ms >= STOP_MIN_MS && in_flight == 0 && quiet_ms >= QUIET_BEFORE_CLOSE_MS
}

/// Returns the phase of a shutdown. The parameters are those of [`may_exit`].
pub fn stop_phase(
    stopping_ms: DurationMs,
    in_flight: u64,
    quiet_ms: DurationMs,
    stop_limit_ms: DurationMs,
) -> StopPhase {
    if may_exit(stopping_ms, in_flight, quiet_ms, stop_limit_ms) {
        return StopPhase::Closing;
    }
    if stopping_ms >= refusal_limit(stop_limit_ms) {
        return StopPhase::Refusing;
    }
    StopPhase::Serving
}

/// Returns for how long callers are told to keep an idle connection, in whole seconds as
/// the `keep-alive` header has them; `None` if that is less than a second.
///
/// A fifth of the idle timeout is left for requests on their way, which would otherwise
/// cross the close of the connection.
pub fn announced_keep_alive(idle_timeout_ms: DurationMs) -> Option<DurationMs> {
    let usable_ms = idle_timeout_ms.0 / 5 * 4;
    let whole_s = usable_ms.min(KEEP_ALIVE_MAX_MS.0) / 1_000;
    (whole_s > 0).then_some(DurationMs(whole_s * 1_000))
}

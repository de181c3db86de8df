//! The planned stop (graceful shutdown) of a daemon.

use rand::Rng;

use crate::membership;
use crate::membership::HostPhase;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::ControlTables;

/// The state of the planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopState {
    /// When the stop was requested; `None` if it has not been.
    pub since: Option<TimeMs>,
}

/// The current load of the traffic threads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    /// The number of requests that have arrived and are not answered yet.
    pub in_flight: u64,
    /// When a caller last opened a connection.
    pub last_connection_at: TimeMs,
}

/// The next step of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopStep {
    /// No stop was requested.
    None,
    /// Keep serving connections and requests.
    Drain,
    /// Close the listener and finish the requests in flight.
    Close,
    /// The time limit has been reached: abort the remaining requests.
    Abort,
}

/// The time limits of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// How long the daemon keeps serving even if it is quiet: the time for which
    /// callers may use an address and key prefix that they received just before
    /// the stop.
    pub serve_ms: DurationMs,
    /// How long no caller must have opened a connection for the daemon to count as
    /// quiet.
    pub quiet_ms: DurationMs,
    /// The time limit of the whole stop.
    pub limit_ms: DurationMs,
}

/// Begins the stop: the daemon is removed from all address responses and tells
/// its peers that it is leaving.
pub fn begin_stop(tables: &mut ControlTables, now: TimeMs, rng: &mut impl Rng) {
    if tables.stop.since.is_some() {
        return;
    }
    tables.stop.since = Some(now);
    tables.entries_outdated = true;
    membership::set_phase(&mut tables.membership, HostPhase::Leaving, rng);
}

/// Returns the next step of the planned stop.
pub fn next_stop_step(
    stop: StopState,
    counts: TrafficCounts,
    times: StopTimes,
    now: TimeMs,
) -> StopStep {
    let Some(since) = stop.since else {
        return StopStep::None;
    };
    let passed = now.since(since);
    if passed >= times.limit_ms {
        return StopStep::Abort;
    }
    // The second half of the time limit is reserved for finishing the requests
    // accepted in the first half. Otherwise callers that never refresh their
    // addresses would keep connecting, the daemon would never become quiet, and
    // their requests would be aborted at the limit.
    if passed.0 >= times.limit_ms.0 / 2 {
        return StopStep::Close;
    }
    let quiet_since = counts.last_connection_at.max(since);
    let is_quiet = counts.in_flight == 0 && now.since(quiet_since) >= times.quiet_ms;
    if is_quiet && passed >= times.serve_ms {
        return StopStep::Close;
    }
    StopStep::Drain
}

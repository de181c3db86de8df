//! The planned stop of a daemon.

use rand::Rng;

use crate::membership;
use crate::membership::HostPhase;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::ControlTables;

/// The state of the planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopRow {
    /// When the stop was asked for.
    pub since: Option<TimeMs>,
}

/// What the traffic threads are busy with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    /// Requests that arrived and are not answered.
    pub in_flight: u64,
    /// When the last connection of a caller came.
    pub last_connection_at: TimeMs,
}

/// What the stop does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopStep {
    /// No stop was asked for.
    None,
    /// Serve what comes.
    Drain,
    /// Close the listener and finish.
    Close,
    /// The time limit is over: end what is left.
    Abort,
}

/// The times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// How long the daemon serves at least: callers that were given its address
    /// and key prefix just before keep them for so long.
    pub serve_ms: DurationMs,
    /// How long no connection has to come before the listener closes.
    pub quiet_ms: DurationMs,
    /// How long the whole stop may take.
    pub limit_ms: DurationMs,
}

/// Begins the stop: the daemon leaves all address answers and tells peers.
pub fn begin_stop(tables: &mut ControlTables, now: TimeMs, rng: &mut impl Rng) {
    if tables.stop.since.is_some() {
        return;
    }
    tables.stop.since = Some(now);
    tables.entries_outdated = true;
    membership::set_phase(&mut tables.membership, HostPhase::Leaving, rng);
}

/// Decides how the stop goes on.
pub fn next_stop_step(
    stop: StopRow,
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
    // Callers that never renew their addresses keep a daemon from becoming
    // quiet, and their requests would be cut at the limit. The second half of
    // the limit is for what was accepted in the first.
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

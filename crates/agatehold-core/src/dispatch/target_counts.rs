//! Counts the targets of a service by their state in one daemon.

use crate::ids::ServiceName;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::LiveTarget;
use super::LiveTargets;

/// A target counts as used if it had a request within this time. It is the
/// time span over which a floor is measured.
const RECENT_USE_MS: DurationMs = DurationMs(2_000);

/// The number of targets of one service in each state; each target is counted
/// once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetStateCounts {
    /// Targets with a request in flight, or with a request within the last two
    /// seconds from this daemon or from another one that reported it.
    pub used: u32,
    /// Trusted targets without a recent request.
    pub idle: u32,
    /// Suspected targets without a recent request.
    pub held: u32,
    /// Targets that are avoided because a recent connection attempt failed.
    pub unreachable: u32,
    /// Targets that are leaving.
    pub leaving: u32,
    /// Targets that have asked this daemon for a pause.
    pub paused: u32,
}

/// Counts the targets of a service by their state in this daemon.
pub fn count_target_states(
    targets: &LiveTargets,
    service: &ServiceName,
    now: TimeMs,
) -> TargetStateCounts {
    let mut state_counts = TargetStateCounts::default();
    for (_, row) in targets.of_service(service) {
        *state_counts.counter_for(row, now) += 1;
    }
    state_counts
}

impl TargetStateCounts {
    /// Returns the counter for the state of a target.
    fn counter_for(&mut self, row: &LiveTarget, now: TimeMs) -> &mut u32 {
        if row.leaving {
            return &mut self.leaving;
        }
        if row.is_paused(now) {
            return &mut self.paused;
        }
        if row.failure_detector.is_unreachable(now) {
            return &mut self.unreachable;
        }
        let is_new = row.chosen_number == 0;
        if row.counts.in_flight > 0 || (!is_new && now.since(row.used_at) <= RECENT_USE_MS) {
            return &mut self.used;
        }
        if row.failure_detector.is_suspected() {
            return &mut self.held;
        }
        &mut self.idle
    }
}

//! Counts the targets of a service by what one daemon does with them.

use crate::ids::ServiceName;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::LiveTarget;
use super::LiveTargets;

/// The time within which a target with a request counts as used; the span of a
/// floor.
const USED_WITHIN_MS: DurationMs = DurationMs(2_000);

/// The targets of one service, each counted once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetCensus {
    /// Those that had a request lately, of this daemon or one that told of it.
    pub used: u32,
    /// Trusted ones without a request.
    pub idle: u32,
    /// Those on hold without a request.
    pub held: u32,
    /// Those that could not be reached a moment ago.
    pub unreachable: u32,
    /// Those that are leaving.
    pub leaving: u32,
}

/// Counts the targets of a service as this daemon knows them.
pub fn target_census(targets: &LiveTargets, service: &ServiceName, now: TimeMs) -> TargetCensus {
    let mut census = TargetCensus::default();
    for (_, row) in targets.of_service(service) {
        *census.place_of(row, now) += 1;
    }
    census
}

impl TargetCensus {
    fn place_of(&mut self, row: &LiveTarget, now: TimeMs) -> &mut u32 {
        if row.leaving {
            return &mut self.leaving;
        }
        if row.suspicion.is_unreachable(now) {
            return &mut self.unreachable;
        }
        let is_new = row.chosen_number == 0;
        if row.in_flight > 0 || (!is_new && now.since(row.chosen_at) <= USED_WITHIN_MS) {
            return &mut self.used;
        }
        if row.suspicion.is_suspected() {
            return &mut self.held;
        }
        &mut self.idle
    }
}

//! The load of a target as it reports it, and as this daemon counts it.

use super::cost::RunningRequest;

/// The load that a target reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// The number of running requests.
    pub running: u32,
    /// The number of requests that wait in the target.
    pub waiting: u32,
    /// The number of requests that can run concurrently.
    pub slots: u32,
}

impl LoadReport {
    /// Returns whether the target could run another request immediately.
    pub const fn has_free_slot(&self) -> bool {
        self.running.saturating_add(self.waiting) < self.slots
    }
}

/// The requests that this daemon has sent to a target process and that have not ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestCounts {
    /// The number of requests.
    pub in_flight: u32,
    /// The number of those that take much longer than usual.
    pub overdue: u32,
    /// The sum of their bodies.
    pub body_bytes: u64,
    /// Those whose cost was predicted; at most `in_flight`. Empty unless targets are
    /// chosen by expected work.
    pub running: Vec<RunningRequest>,
}

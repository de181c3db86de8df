//! Learns what requests cost their targets, and estimates the work that each target
//! still has to do.
//!
//! The cost of a request is its run time at a target of the service's usual speed.
//! [`CostTable`] learns it by route and by features of the request. [`TargetSpeed`]
//! learns how much longer the same work takes at one target than at the others, so
//! that a slow target does not pass for an expensive request.

mod features;
mod running;
mod speed;
mod table;
mod work;

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;

use crate::target_registry::TargetIdentity;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::LiveTargets;

pub use features::CostFeatures;
pub use features::RequestTraits;
pub use running::RunningRequest;
pub use running::WorkId;
pub use speed::ServiceWork;
pub use speed::TargetSpeed;
pub use table::CostTable;

/// An amount of work: the run time in milliseconds at a target of the service's usual
/// speed.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct WorkMs(pub f64);

impl fmt::Display for WorkMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for WorkMs {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// What a request is expected to cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedCost {
    /// The expected run time at a target of usual speed.
    pub work: WorkMs,
    /// The standard deviation of the natural logarithm of the run time around the
    /// expected one. At 0 the run time is known, at 1 it is nearly memoryless.
    pub log_spread: f64,
}

/// A request's features and what they predicted when it arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestCost {
    /// The features.
    pub features: CostFeatures,
    /// The prediction; `None` while too little is known of the route.
    pub expected: Option<ExpectedCost>,
}

/// Learns from an answered request: the target's speed by the request's expected cost,
/// and the cost by the run time at the speed that the target had before.
pub fn record_answered_cost(
    costs: &mut CostTable,
    targets: &mut LiveTargets,
    identity: &TargetIdentity,
    cost: &RequestCost,
    run_ms: DurationMs,
    now: TimeMs,
) {
    // Run times are measured in whole milliseconds.
    let run = (run_ms.0 as f64).max(0.5);
    // A guess would make those targets look slow that happened to answer during it.
    let slowness = cost
        .expected
        .and_then(|expected| targets.record_speed(identity, expected.work, run, now))
        .unwrap_or(1.0);
    costs.record(&cost.features, WorkMs(run / slowness), now);
}

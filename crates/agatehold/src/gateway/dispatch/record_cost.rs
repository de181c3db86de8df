//! Predicts what a request costs, and records what it did.

use agatehold_core::dispatch::cost::CostFeatures;
use agatehold_core::dispatch::cost::RequestCost;
use agatehold_core::dispatch::cost::RequestTraits;
use agatehold_core::dispatch::cost::WorkId;
use agatehold_core::dispatch::cost::record_answered_cost;
use agatehold_core::target_registry::TargetIdentity;
use agatehold_core::units::DurationMs;

use crate::gateway::endpoint::IncomingRequest;
use crate::gateway::traffic::TrafficState;

use super::Dispatch;
use super::Plan;

/// Predicts the cost of a request; `None` unless targets are chosen by expected cost.
pub(super) fn predict(
    state: &TrafficState,
    incoming: &IncomingRequest,
    plan: &Plan<'_>,
) -> Option<RequestCost> {
    let costs = state.costs.as_ref()?;
    let target = &*incoming.head.target;
    let (path, query) = match target.split_once('?') {
        Some((path, query)) => (path, Some(query)),
        None => (target, None),
    };
    let features = CostFeatures::of(&RequestTraits {
        route: &plan.route.name,
        path: path.strip_prefix(&*plan.route.prefix).unwrap_or_default(),
        query,
        body_bytes: incoming.body.len(),
        tenant: plan.credentials.tenant(),
    });
    let now = state.shared.clock.now();
    let expected = costs.borrow().expected(&features, now);
    Some(RequestCost { features, expected })
}

impl Dispatch<'_> {
    /// Records that the request is sent to a target process with its expected cost, if
    /// that is known.
    pub(super) fn begin_work(&self, identity: &TargetIdentity) -> Option<WorkId> {
        let expected = self.cost?.expected?;
        let mut targets = self.state.targets.borrow_mut();
        targets.begin_work(identity, expected, self.now())
    }

    /// Records that the request has ended at a target process.
    pub(super) fn end_work(&self, identity: &TargetIdentity, work: Option<WorkId>) {
        if let Some(work) = work {
            self.state.targets.borrow_mut().end_work(identity, work);
        }
    }

    /// Learns from the run time of the answered request.
    pub(super) fn record_cost(&self, identity: &TargetIdentity, run_ms: DurationMs) {
        let (Some(costs), Some(cost)) = (&self.state.costs, &self.cost) else {
            return;
        };
        if let Some(expected) = cost.expected {
            metrics::histogram!("agatehold_predicted_run_seconds",
                "service" => self.service.to_string())
            .record(expected.work.0 / 1_000.0);
            metrics::histogram!("agatehold_run_seconds",
                "service" => self.service.to_string())
            .record(run_ms.0 as f64 / 1_000.0);
        }
        record_answered_cost(
            &mut costs.borrow_mut(),
            &mut self.state.targets.borrow_mut(),
            identity,
            cost,
            run_ms,
            self.now(),
        );
    }
}

//! The work that targets still have to do, in the table of targets.

use crate::ids::ServiceName;
use crate::target_registry::TargetIdentity;
use crate::units::TimeMs;

use super::super::LiveTarget;
use super::super::LiveTargets;
use super::ExpectedCost;
use super::RunningRequest;
use super::ServiceWork;
use super::WorkId;
use super::WorkMs;

/// How much a mean run time of expected work counts beside a request in flight. Each
/// request takes a slot whatever its work, so that the number comes first; the work
/// decides between targets with equal numbers. At 1, targets with a few expensive
/// requests looked full: at eight daemons and a load of 0.8, 12.6% of the requests met a
/// full target in another daemon's home, 5.5% by count (`docs/design/expected-cost.md`).
const WORK_SHARE: f64 = 0.15;

/// The limit of the difference between work and number that counts, in requests. With
/// [`WORK_SHARE`] it keeps a target of four slots with one free slot below the cost of
/// another daemon's home.
const WORK_DIFFERENCE_MAX: f64 = 1.0;

/// The cost of an idle target that takes twice as long, as a share of its slots. At 1 the
/// others fill up first at high load, and more requests meet a full target.
const SPEED_SHARE: f64 = 0.5;

impl LiveTarget {
    /// Returns the cost of a target's load and speed, as a share of its slots.
    ///
    /// Requests of this daemon whose cost is unknown, and those of other daemons by the
    /// last load report, count as mean ones. With the same cost for all requests and the
    /// same speed for all targets this is about the estimated load by slot.
    pub fn expected_load(&self, work: &ServiceWork, now: TimeMs) -> f64 {
        let slowness = work.slowness(&self.speed, now);
        let count = self.estimated_load(now);
        let mut remaining_ms = 0.0;
        for request in &self.counts.running {
            remaining_ms += request.remaining_ms(slowness, now);
        }
        let known_count = self.counts.running.len() as f64;
        let difference = remaining_ms / work.mean_work_ms - known_count;
        let difference = difference.clamp(-WORK_DIFFERENCE_MAX, WORK_DIFFERENCE_MAX);
        let load = (count + WORK_SHARE * difference) / f64::from(self.record.slots.0);
        slowness * (SPEED_SHARE + load) - SPEED_SHARE
    }
}

impl LiveTargets {
    /// Sets whether targets are chosen by their expected work instead of by the number
    /// of their requests.
    pub const fn set_uses_expected_work(&mut self, uses_expected_work: bool) {
        self.uses_expected_work = uses_expected_work;
    }

    /// Returns the work of a service; `None` if targets are chosen by count or no
    /// request of the service was answered yet.
    pub fn work_of(&self, service: &ServiceName) -> Option<&ServiceWork> {
        self.uses_expected_work
            .then(|| self.service_work.get(service))?
    }

    /// Records what a claimed request is expected to cost, when it is sent; `None` if
    /// the process is not known. The request counts in `in_flight` from its claim on.
    pub fn begin_work(
        &mut self,
        identity: &TargetIdentity,
        expected: ExpectedCost,
        now: TimeMs,
    ) -> Option<WorkId> {
        self.work_ids += 1;
        let id = WorkId(self.work_ids);
        let counts = self.counts_mut(identity)?;
        counts.running.push(RunningRequest {
            id,
            expected,
            started_at: now,
        });
        Some(id)
    }

    /// Records that a request which [`Self::begin_work`] recorded has ended. Call this
    /// before its slot is released.
    pub fn end_work(&mut self, identity: &TargetIdentity, id: WorkId) {
        if let Some(counts) = self.counts_mut(identity) {
            counts.running.retain(|request| request.id != id);
        }
    }

    /// Records the run time of an answered request. Returns the target's slowness as it
    /// was known before; `None` if the process is not registered.
    pub(super) fn record_speed(
        &mut self,
        identity: &TargetIdentity,
        expected: WorkMs,
        run_ms: f64,
        now: TimeMs,
    ) -> Option<f64> {
        let row = self.rows.get_mut(&identity.name)?;
        if row.record.identity != *identity {
            return None;
        }
        let work = self
            .service_work
            .entry(row.record.service.clone())
            .or_insert_with(|| ServiceWork::new(expected.0));
        let slowness = work.slowness(&row.speed, now);
        work.record(&mut row.speed, expected.0, run_ms, now);
        Some(slowness)
    }
}

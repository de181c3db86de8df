//! Admission where tenants share by work: estimates by place, displacement, and times
//! to return.

use crate::refusal::RefusalKind;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::Admission;
use super::AdmissionQueue;
use super::DroppedWaiter;
use super::MAX_MISSED_SLOTS;
use super::Offer;
use super::RetryWindow;
use super::WaiterId;
use super::class_queue::ClassOrder;
use super::return_schedule::RefusedWork;
use super::work_queue::WorkQueue;

/// The factor on estimated waits, since estimates are means and many waits are longer.
///
/// With half of the targets rejecting for 8 s, 7.8% of the refusals came after the longest
/// wait with a factor of 1, 6.1% with 1.1, 4.9% with 1.2 and 3.8% with 1.3; the work done
/// was the same within 0.2%.
const WAIT_MARGIN: f64 = 1.25;

impl AdmissionQueue {
    /// Queues or refuses a request by the wait expected for its place.
    pub(super) fn offer_by_work(&mut self, offer: Offer, now: TimeMs) -> Admission {
        let (expires_at, expiry_refusal) = self.expiry_of(&offer, now);
        if now >= expires_at {
            return self.refuse_by_work(expiry_refusal, &offer, now);
        }
        // A class may always have one waiting request, whatever its estimated wait and
        // however full the queue is: a class without one doesn't get its share of the
        // slots. The place comes on top of the limit, so that no request of a higher
        // class is displaced for it.
        let is_first = self.class_queues[offer.class as usize].is_empty();
        if !is_first && now + self.wait_by_work(&offer, expires_at, now) > expires_at {
            // Not `DeadlinePassed`: the caller has time to come back when there is room.
            return self.refuse_by_work(RefusalKind::QueueTimeout, &offer, now);
        }
        let mut displaced = None;
        if !is_first && self.waiters.len() >= self.limits.places {
            let Some(victim) = self.find_displaced_by_work(&offer, expires_at) else {
                return self.refuse_by_work(RefusalKind::QueueFull, &offer, now);
            };
            displaced = self.drop_waiter(victim, RefusalKind::QueueFull, now);
        }
        self.arrivals
            .record(offer.class as usize, self.cost_ms(&offer));
        let waiter = self.enqueue(offer, expires_at, expiry_refusal, now);
        Admission::Queued { waiter, displaced }
    }

    /// Returns the estimated time until a new request gets a slot: for the work that is
    /// served before it, with the share of the slots that higher classes leave.
    fn wait_by_work(&self, offer: &Offer, expires_at: TimeMs, now: TimeMs) -> DurationMs {
        let own = offer.class as usize;
        let mean_cost_ms = self.mean_cost_or(self.cost_ms(offer));
        let mut ahead_ms = 0.0;
        for queue in self.class_queues[..own].iter().filter_map(work_order) {
            ahead_ms += queue.work_ms();
        }
        let own_queue = work_order(&self.class_queues[own]);
        let own_ahead_ms =
            own_queue.map_or(0.0, |queue| queue.work_ahead_of(&offer.tenant, expires_at));
        ahead_ms += own_ahead_ms;
        let slots = ahead_ms / mean_cost_ms + 1.0;
        let share_of_class = 1.0 / f64::from(MAX_MISSED_SLOTS + 1);
        let left_share = (1.0 - self.arrivals.share_above(own)).max(share_of_class);
        let at_share_of_class = (own_ahead_ms / mean_cost_ms + 1.0) / share_of_class;
        let slots = (slots / left_share).min(at_share_of_class.max(slots));
        let at_progress = own_queue.and_then(|queue| queue.slots_until(&offer.tenant, expires_at));
        let slots = at_progress.map_or(slots, |at_progress| at_progress.max(slots));
        let slots = slots * WAIT_MARGIN;
        self.drain.time_for_slots(slots, now).unwrap_or_default()
    }

    /// Returns the request that `offer` displaces from a full queue, if any: the last in
    /// line of the tenant with the most waiting work in the lowest class, except the only
    /// request of a class.
    fn find_displaced_by_work(&self, offer: &Offer, expires_at: TimeMs) -> Option<WaiterId> {
        let own = offer.class as usize;
        for queue in self.class_queues[own + 1..].iter().rev() {
            if queue.len() > 1 {
                return work_order(queue)?.last_in_line().map(|last| last.waiter);
            }
        }
        let queue = work_order(&self.class_queues[own])?;
        let last = queue.last_in_line()?;
        if *last.tenant == offer.tenant {
            return (expires_at < last.expires_at).then_some(last.waiter);
        }
        let own_work_ms = queue.work_of(&offer.tenant) + self.cost_ms(offer);
        (last.work_ms > own_work_ms).then_some(last.waiter)
    }

    /// Removes a waiting request and returns it with the time at which its caller may
    /// return.
    pub(super) fn drop_waiter(
        &mut self,
        waiter: WaiterId,
        kind: RefusalKind,
        now: TimeMs,
    ) -> Option<DroppedWaiter> {
        let offer = self.waiters.get(&waiter)?.offer.clone();
        self.remove(waiter);
        let retry = self.schedule_return(&offer, now);
        Some(DroppedWaiter {
            waiter,
            kind,
            retry,
        })
    }

    fn refuse_by_work(&mut self, kind: RefusalKind, offer: &Offer, now: TimeMs) -> Admission {
        let retry = self.schedule_return(offer, now);
        Admission::Refused { kind, retry }
    }

    fn schedule_return(&mut self, offer: &Offer, now: TimeMs) -> RetryWindow {
        let cost_ms = self.cost_ms(offer);
        let mean_cost_ms = self.mean_cost_or(cost_ms);
        let mut waiting_ms = 0.0;
        for queue in self.class_queues[..=offer.class as usize]
            .iter()
            .filter_map(work_order)
        {
            waiting_ms += queue.work_ms();
        }
        let backlog_ms = self.drain.time_for_slots(waiting_ms / mean_cost_ms, now);
        let work = RefusedWork {
            class: offer.class,
            // Without an estimate of the capacity, as if there were one slot.
            service_ms: self
                .drain
                .interval_ms()
                .map_or(cost_ms, |interval_ms| interval_ms * cost_ms / mean_cost_ms),
            backlog_ms: backlog_ms.unwrap_or_default(),
            time_left_ms: offer.caller_deadline.map(|deadline| deadline.since(now)),
        };
        RetryWindow::exactly(self.returns.next(work, now))
    }
}

/// Returns the order of a class if its tenants share by work.
fn work_order(queue: &super::class_queue::ClassQueue) -> Option<&WorkQueue> {
    match &queue.order {
        ClassOrder::ByCount(_) => None,
        ClassOrder::ByWork(order) => Some(order),
    }
}

//! Admission where tenants share by count: the estimated wait and displacement.

use crate::units::DurationMs;
use crate::units::TimeMs;

use super::AdmissionQueue;
use super::Offer;
use super::WaiterId;
use super::class_queue::ClassOrder;
use super::class_queue::ClassQueue;
use super::round_robin::RoundRobinQueue;

/// Each class has 1/16 of the queue's places in reserve: other classes can't
/// displace its requests while it has no more than that.
const CLASS_RESERVE_DIVISOR: usize = 16;

impl AdmissionQueue {
    /// Returns the number of places reserved for each class.
    pub(super) fn reserve(&self) -> usize {
        (self.limits.places / CLASS_RESERVE_DIVISOR).max(1)
    }

    pub(super) fn estimated_wait(&self, offer: &Offer, now: TimeMs) -> DurationMs {
        let own = offer.class as usize;
        let mut ahead =
            count_order(&self.class_queues[own]).map_or(0, |queue| queue.ahead_of(&offer.tenant));
        for queue in &self.class_queues[..own] {
            ahead += queue.len();
        }
        self.drain.time_for(ahead + 1, now).unwrap_or(DurationMs(0))
    }

    /// Returns the request that `offer` displaces from a full queue, if any.
    ///
    /// The choices, in order: a request of a lower-priority class that is above
    /// its reserve; one of the tenant with the most requests of the same class, if
    /// it has more than the tenant of `offer` would then have; and, if the class of
    /// `offer` is below its reserve, one of a higher-priority class that is above
    /// its reserve.
    pub(super) fn find_displaced(&self, offer: &Offer) -> Option<WaiterId> {
        let own = offer.class as usize;
        let reserve = self.reserve();
        for queue in self.class_queues[own + 1..].iter().rev() {
            if queue.len() > reserve {
                return count_order(queue)?
                    .newest_of_longest()
                    .map(|(waiter, _)| waiter);
            }
        }
        let own_queue = count_order(&self.class_queues[own])?;
        if let Some((waiter, places)) = own_queue.newest_of_longest()
            && places > own_queue.len_of(&offer.tenant) + 1
        {
            return Some(waiter);
        }
        if own_queue.len() >= reserve {
            return None;
        }
        for queue in self.class_queues[..own].iter().rev() {
            if queue.len() > reserve {
                return count_order(queue)?
                    .newest_of_longest()
                    .map(|(waiter, _)| waiter);
            }
        }
        None
    }
}

/// Returns the order of a class if its tenants share by count.
fn count_order(queue: &ClassQueue) -> Option<&RoundRobinQueue> {
    match &queue.order {
        ClassOrder::ByCount(order) => Some(order),
        ClassOrder::ByWork(_) => None,
    }
}

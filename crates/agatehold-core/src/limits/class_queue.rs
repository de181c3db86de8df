//! The waiting requests of one traffic class, in the order of its sharing.

use crate::ids::TenantName;
use crate::units::TimeMs;

use super::TenantSharing;
use super::WaiterId;
use super::round_robin::RoundRobinQueue;
use super::work_queue::WorkQueue;

/// The place of a request among those of its tenant, and what it counts for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    /// The request.
    pub(super) waiter: WaiterId,
    /// When the request is dropped unless it gets a slot before.
    pub(super) expires_at: TimeMs,
    /// The expected run time.
    pub(super) cost_ms: f64,
}

/// The order in which the requests of a class are served.
#[derive(Debug)]
pub(super) enum ClassOrder {
    ByCount(RoundRobinQueue),
    ByWork(WorkQueue),
}

/// The waiting requests of one traffic class.
#[derive(Debug)]
pub(super) struct ClassQueue {
    pub(super) order: ClassOrder,
    /// The number of slots that other classes got while requests of this class
    /// waited, since this class last got one.
    pub(super) slots_missed: u32,
}

impl ClassQueue {
    pub(super) fn new(sharing: TenantSharing) -> Self {
        let order = match sharing {
            TenantSharing::ByCount => ClassOrder::ByCount(RoundRobinQueue::default()),
            TenantSharing::ByWork => ClassOrder::ByWork(WorkQueue::default()),
        };
        Self {
            order,
            slots_missed: 0,
        }
    }

    pub(super) const fn len(&self) -> usize {
        match &self.order {
            ClassOrder::ByCount(queue) => queue.len(),
            ClassOrder::ByWork(queue) => queue.len(),
        }
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request behind those of its tenant that go before it.
    pub(super) fn push(&mut self, tenant: &TenantName, place: Place) {
        match &mut self.order {
            ClassOrder::ByCount(queue) => queue.push_back(tenant, place.waiter),
            ClassOrder::ByWork(queue) => queue.push(tenant, place),
        }
    }

    /// Puts a request that could not be sent back ahead of the others, and takes back
    /// what its tenant was charged.
    pub(super) fn put_back(&mut self, tenant: &TenantName, place: Place) {
        match &mut self.order {
            ClassOrder::ByCount(queue) => queue.push_front(tenant, place.waiter),
            ClassOrder::ByWork(queue) => {
                queue.push(tenant, place);
                queue.charge(tenant, -place.cost_ms);
            }
        }
    }

    /// Records that a class got a slot.
    pub(super) fn record_slot(&mut self) {
        if let ClassOrder::ByWork(queue) = &mut self.order {
            queue.record_slot();
        }
    }

    /// Removes and returns the next request to be served.
    pub(super) fn pop(&mut self) -> Option<WaiterId> {
        match &mut self.order {
            ClassOrder::ByCount(queue) => queue.pop(),
            ClassOrder::ByWork(queue) => queue.pop(),
        }
    }

    /// Charges a tenant for work, or takes back a charge; nothing if tenants share by
    /// count.
    pub(super) fn charge(&mut self, tenant: &TenantName, work_ms: f64) {
        match &mut self.order {
            ClassOrder::ByCount(_) => {}
            ClassOrder::ByWork(queue) => queue.charge(tenant, work_ms),
        }
    }

    /// Removes a request from any position.
    pub(super) fn remove(&mut self, tenant: &TenantName, place: Place) {
        match &mut self.order {
            ClassOrder::ByCount(queue) => queue.remove(tenant, place.waiter),
            ClassOrder::ByWork(queue) => queue.remove(tenant, place),
        }
    }
}

//! The order of one traffic class by count: tenants are served round-robin.

use std::collections::VecDeque;

use crate::ids::TenantName;
use crate::table::Table;

use super::WaiterId;

/// The waiting requests of one traffic class, served round-robin by tenant.
#[derive(Debug, Default)]
pub(super) struct RoundRobinQueue {
    /// The requests of each tenant in order of arrival; a tenant without
    /// requests has no queue.
    tenant_queues: Table<TenantName, VecDeque<WaiterId>>,
    /// The tenants of `tenant_queues` in round-robin order, the next one first.
    round_robin: VecDeque<TenantName>,
    /// The number of requests of all tenants.
    len: usize,
}

impl RoundRobinQueue {
    pub(super) const fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of requests of `tenant`.
    pub(super) fn len_of(&self, tenant: &TenantName) -> usize {
        self.tenant_queues.get(tenant).map_or(0, VecDeque::len)
    }

    /// Returns how many queued requests of this class get a slot before a new one
    /// of `tenant`.
    pub(super) fn ahead_of(&self, tenant: &TenantName) -> usize {
        let own = self.len_of(tenant);
        self.tenant_queues
            .rows()
            .map(|(_, queue)| queue.len().min(own + 1))
            .sum::<usize>()
            .min(self.len)
    }

    /// Adds a request at the end of its tenant's queue.
    pub(super) fn push_back(&mut self, tenant: &TenantName, waiter: WaiterId) {
        self.queue_of(tenant).push_back(waiter);
        self.len += 1;
    }

    /// Puts a request that could not be sent at the head of its tenant's queue
    /// again, and makes the tenant the next one to be served.
    pub(super) fn push_front(&mut self, tenant: &TenantName, waiter: WaiterId) {
        self.queue_of(tenant).push_front(waiter);
        self.len += 1;
        self.round_robin.retain(|other| other != tenant);
        self.round_robin.push_front(tenant.clone());
    }

    fn queue_of(&mut self, tenant: &TenantName) -> &mut VecDeque<WaiterId> {
        if !self.tenant_queues.contains(tenant) {
            self.round_robin.push_back(tenant.clone());
        }
        self.tenant_queues
            .get_or_insert(tenant.clone(), VecDeque::new)
    }

    /// Removes and returns the oldest request of the next tenant to be served.
    pub(super) fn pop(&mut self) -> Option<WaiterId> {
        let tenant = self.round_robin.pop_front()?;
        let queue = self.tenant_queues.get_mut(&tenant)?;
        let waiter = queue.pop_front();
        if queue.is_empty() {
            self.tenant_queues.remove(&tenant);
        } else {
            self.round_robin.push_back(tenant);
        }
        self.len -= 1;
        waiter
    }

    /// Returns the newest request of the tenant with the most requests, and the
    /// number of that tenant's requests.
    pub(super) fn newest_of_longest(&self) -> Option<(WaiterId, usize)> {
        let (_, queue) = self
            .tenant_queues
            .rows()
            .max_by_key(|(_, queue)| queue.len())?;
        Some((*queue.back()?, queue.len()))
    }

    /// Removes a request from any position.
    pub(super) fn remove(&mut self, tenant: &TenantName, waiter: WaiterId) {
        let Some(queue) = self.tenant_queues.get_mut(tenant) else {
            return;
        };
        let Some(position) = queue.iter().position(|id| *id == waiter) else {
            return;
        };
        queue.remove(position);
        self.len -= 1;
        if queue.is_empty() {
            self.tenant_queues.remove(tenant);
            self.round_robin.retain(|other| other != tenant);
        }
    }
}

//! The waiting requests of one class, fair between tenants.

use std::collections::VecDeque;

use crate::ids::TenantName;
use crate::table::Table;

use super::WaiterId;

/// The waiting requests of one class.
#[derive(Debug, Default)]
pub(super) struct Lane {
    /// Requests in order of arrival by tenant; no queue is empty.
    queues: Table<TenantName, VecDeque<WaiterId>>,
    /// The tenants of `queues`, the next one first.
    turns: VecDeque<TenantName>,
    /// The requests in all queues.
    len: usize,
    /// Slots given to other lanes since this one had its turn.
    pub(super) passed_over: u32,
}

impl Lane {
    pub(super) const fn len(&self) -> usize {
        self.len
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of the tenant's requests.
    pub(super) fn len_of(&self, tenant: &TenantName) -> usize {
        self.queues.get(tenant).map_or(0, VecDeque::len)
    }

    /// Returns how many requests leave the lane before a new one of `tenant`.
    pub(super) fn ahead_of(&self, tenant: &TenantName) -> usize {
        let own = self.len_of(tenant);
        self.queues
            .rows()
            .map(|(_, queue)| queue.len().min(own + 1))
            .sum::<usize>()
            .min(self.len)
    }

    pub(super) fn push_back(&mut self, tenant: &TenantName, waiter: WaiterId) {
        self.queue_of(tenant).push_back(waiter);
        self.len += 1;
    }

    /// Puts a request back that had its turn and could not be sent.
    pub(super) fn push_front(&mut self, tenant: &TenantName, waiter: WaiterId) {
        self.queue_of(tenant).push_front(waiter);
        self.len += 1;
        self.turns.retain(|other| other != tenant);
        self.turns.push_front(tenant.clone());
    }

    fn queue_of(&mut self, tenant: &TenantName) -> &mut VecDeque<WaiterId> {
        if !self.queues.contains(tenant) {
            self.turns.push_back(tenant.clone());
        }
        self.queues.get_or_insert(tenant.clone(), VecDeque::new)
    }

    /// Takes the oldest request of the tenant whose turn it is.
    pub(super) fn pop(&mut self) -> Option<WaiterId> {
        let tenant = self.turns.pop_front()?;
        let queue = self.queues.get_mut(&tenant)?;
        let waiter = queue.pop_front();
        if queue.is_empty() {
            self.queues.remove(&tenant);
        } else {
            self.turns.push_back(tenant);
        }
        self.len -= 1;
        waiter
    }

    /// Returns the newest request of the tenant with the most requests, and
    /// how many that tenant has.
    pub(super) fn newest_of_longest(&self) -> Option<(WaiterId, usize)> {
        let (_, queue) = self.queues.rows().max_by_key(|(_, queue)| queue.len())?;
        Some((*queue.back()?, queue.len()))
    }

    /// Removes a request wherever it stands.
    pub(super) fn remove(&mut self, tenant: &TenantName, waiter: WaiterId) {
        let Some(queue) = self.queues.get_mut(tenant) else {
            return;
        };
        let Some(position) = queue.iter().position(|id| *id == waiter) else {
            return;
        };
        queue.remove(position);
        self.len -= 1;
        if queue.is_empty() {
            self.queues.remove(tenant);
            self.turns.retain(|other| other != tenant);
        }
    }
}

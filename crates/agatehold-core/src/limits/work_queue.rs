//! The order of one traffic class by work: start-time fair queueing of tenants, and
//! the earliest feasible deadline first within a tenant.

use std::collections::BTreeMap;

use crate::ids::TenantName;
use crate::table::Table;
use crate::units::TimeMs;

use super::WaiterId;
use super::class_queue::Place;

/// The weight of the newest sample in the moving average of the progress.
const NEWEST_WEIGHT: f64 = 0.05;

/// The number of slots after which the progress is a basis for estimates. Before, one
/// tenant without a backlog can make it seem that the others stand still.
const SLOTS_MEASURED: u32 = 20;

/// The requests of one tenant.
#[derive(Debug, Default)]
struct TenantRow {
    /// The virtual time at which the tenant's next request begins: the work that the
    /// tenant has got, counted from the virtual time at which it began to wait.
    starts_at: f64,
    /// The expected run times of the waiting requests; those that expire first go
    /// first.
    waiting: BTreeMap<(TimeMs, WaiterId), f64>,
    /// The sum of the values of `waiting`.
    work_ms: f64,
}

/// A request that may be displaced.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastInLine<'a> {
    /// The tenant that the request belongs to.
    pub(super) tenant: &'a TenantName,
    /// The request.
    pub(super) waiter: WaiterId,
    /// When the request expires.
    pub(super) expires_at: TimeMs,
    /// The work that waits for the tenant.
    pub(super) work_ms: f64,
}

/// The waiting requests of one traffic class, served by work.
#[derive(Debug, Default)]
pub(super) struct WorkQueue {
    /// The tenants that wait, and those that got more than their share while others
    /// waited. The latter are forgotten once the others have caught up.
    tenants: Table<TenantName, TenantRow>,
    /// The virtual start of the request that was served last; it never decreases
    /// while requests wait.
    virtual_ms: f64,
    /// The number of requests of all tenants.
    len: usize,
    /// How far `virtual_ms` moves on average with each slot that any class gets.
    progress_ms: f64,
    /// The slots since requests began to wait.
    slots: u32,
    /// `virtual_ms` at the last slot.
    measured_at_ms: f64,
}

impl WorkQueue {
    pub(super) const fn len(&self) -> usize {
        self.len
    }

    /// Returns the work that waits for a tenant.
    pub(super) fn work_of(&self, tenant: &TenantName) -> f64 {
        self.tenants.get(tenant).map_or(0.0, |row| row.work_ms)
    }

    /// Returns the work that waits for all tenants.
    pub(super) fn work_ms(&self) -> f64 {
        self.tenants.rows().map(|(_, row)| row.work_ms).sum()
    }

    /// Returns the work that is served before a new request of `tenant` that expires
    /// at `expires_at`.
    pub(super) fn work_ahead_of(&self, tenant: &TenantName, expires_at: TimeMs) -> f64 {
        let mut own_ms = 0.0;
        let mut starts_at = self.virtual_ms;
        if let Some(row) = self.tenants.get(tenant) {
            let before = row.waiting.range(..=(expires_at, WaiterId(u64::MAX)));
            own_ms = before.map(|(_, cost_ms)| cost_ms).sum();
            starts_at = row.starts_at.max(starts_at);
        }
        let starts_at = starts_at + own_ms;
        let mut ahead_ms = own_ms;
        for (other, row) in self.tenants.rows() {
            let Some(first_ms) = row.waiting.values().next() else {
                continue;
            };
            if other == tenant || row.starts_at > starts_at {
                continue;
            }
            // The request in which the other tenant reaches `starts_at` is served whole.
            ahead_ms += row.work_ms.min(starts_at - row.starts_at + first_ms);
        }
        ahead_ms
    }

    /// Returns the number of slots until the virtual time reaches a new request of a
    /// tenant that has requests waiting, at its measured progress; `None` without a
    /// measurement.
    ///
    /// This takes in the requests of other tenants that are yet to come and will be served
    /// first, because their tenants have got less.
    pub(super) fn slots_until(&self, tenant: &TenantName, expires_at: TimeMs) -> Option<f64> {
        let row = self.tenants.get(tenant)?;
        if row.waiting.is_empty() || self.slots < SLOTS_MEASURED {
            return None;
        }
        let before = row.waiting.range(..=(expires_at, WaiterId(u64::MAX)));
        let own_ms: f64 = before.map(|(_, cost_ms)| cost_ms).sum();
        let distance_ms = (row.starts_at + own_ms - self.virtual_ms).max(0.0);
        Some(distance_ms / self.progress_ms.max(f64::EPSILON))
    }

    /// Measures the progress after a slot was given to any class.
    pub(super) fn record_slot(&mut self) {
        if self.len == 0 {
            return;
        }
        self.slots = self.slots.saturating_add(1);
        let sample = self.virtual_ms - self.measured_at_ms;
        self.measured_at_ms = self.virtual_ms;
        // A plain mean until there are enough samples.
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.slots));
        self.progress_ms += (sample - self.progress_ms) * weight;
    }

    /// Adds a request.
    pub(super) fn push(&mut self, tenant: &TenantName, place: Place) {
        let row = self
            .tenants
            .get_or_insert(tenant.clone(), TenantRow::default);
        if row.waiting.is_empty() {
            // Time without requests earns no credit.
            row.starts_at = row.starts_at.max(self.virtual_ms);
        }
        let key = (place.expires_at, place.waiter);
        row.waiting.insert(key, place.cost_ms);
        row.work_ms += place.cost_ms;
        self.len += 1;
    }

    /// Removes the next request to be served and charges its tenant for it.
    pub(super) fn pop(&mut self) -> Option<WaiterId> {
        let tenant = self.next_tenant()?.clone();
        let row = self.tenants.get_mut(&tenant)?;
        let ((_, waiter), cost_ms) = row.waiting.pop_first()?;
        self.virtual_ms = self.virtual_ms.max(row.starts_at);
        row.starts_at += cost_ms;
        row.work_ms -= cost_ms;
        self.after_removal();
        Some(waiter)
    }

    fn next_tenant(&self) -> Option<&TenantName> {
        let mut first: Option<(&TenantName, f64, TimeMs)> = None;
        for (tenant, row) in self.tenants.rows() {
            let Some(((expires_at, _), _)) = row.waiting.first_key_value() else {
                continue;
            };
            let is_before = first.is_none_or(|(_, starts_at, expiry)| {
                row.starts_at < starts_at || (row.starts_at == starts_at && *expires_at < expiry)
            });
            if is_before {
                first = Some((tenant, row.starts_at, *expires_at));
            }
        }
        first.map(|(tenant, ..)| tenant)
    }

    /// Charges a tenant for work beyond what it was charged when its request was
    /// served, or takes back what it was charged too much.
    ///
    /// Work counts only while requests wait: otherwise no tenant goes without.
    pub(super) fn charge(&mut self, tenant: &TenantName, work_ms: f64) {
        if self.len == 0 {
            return;
        }
        let virtual_ms = self.virtual_ms;
        let row = self.tenants.get_or_insert(tenant.clone(), || TenantRow {
            starts_at: virtual_ms,
            ..TenantRow::default()
        });
        row.starts_at += work_ms;
    }

    /// Removes a request from any position.
    pub(super) fn remove(&mut self, tenant: &TenantName, place: Place) {
        let Some(row) = self.tenants.get_mut(tenant) else {
            return;
        };
        let key = (place.expires_at, place.waiter);
        let Some(cost_ms) = row.waiting.remove(&key) else {
            return;
        };
        row.work_ms -= cost_ms;
        self.after_removal();
    }

    /// Returns the last request of the tenant with the most waiting work.
    pub(super) fn last_in_line(&self) -> Option<LastInLine<'_>> {
        let (tenant, row) = self
            .tenants
            .rows()
            .filter(|(_, row)| !row.waiting.is_empty())
            .max_by(|(_, left), (_, right)| left.work_ms.total_cmp(&right.work_ms))?;
        let ((expires_at, waiter), _) = row.waiting.last_key_value()?;
        Some(LastInLine {
            tenant,
            waiter: *waiter,
            expires_at: *expires_at,
            work_ms: row.work_ms,
        })
    }

    /// Counts the removed request and drops the rows that no longer matter.
    fn after_removal(&mut self) {
        self.len -= 1;
        if self.len == 0 {
            *self = Self::default();
            return;
        }
        let virtual_ms = self.virtual_ms;
        self.tenants
            .retain(|_, row| !row.waiting.is_empty() || row.starts_at > virtual_ms);
    }
}

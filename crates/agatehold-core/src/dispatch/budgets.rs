//! The retry budgets of all services in one daemon.

use std::collections::HashMap;

use crate::ids::ServiceName;
use crate::units::TimeMs;

use super::ResendBudget;
use super::ResendPolicy;

/// The budgets of all services in one daemon.
#[derive(Clone, Debug)]
pub struct ResendBudgets {
    policy: ResendPolicy,
    /// The services that have had requests or entry daemons since the process started.
    rows: HashMap<ServiceName, Row>,
}

/// The budget of one service.
#[derive(Clone, Debug)]
struct Row {
    budget: ResendBudget,
    /// The number of entry daemons that divide the slack.
    entries: u32,
    /// The part of the slack that the last [`ShareChange`] told, in resends.
    told_slack: f64,
}

impl Row {
    fn new(policy: ResendPolicy) -> Self {
        Self {
            budget: ResendBudget::new(policy),
            entries: 0,
            told_slack: 0.0,
        }
    }
}

/// A change of this daemon's part of the slack of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// The service.
    pub service: ServiceName,
    /// The number of entry daemons that divide the slack; 0 if this daemon is not one
    /// of them.
    pub entries: u32,
    /// This daemon's part of the slack, in resends.
    pub own_slack: f64,
}

impl ResendBudgets {
    /// Creates the budgets of a process that has had no requests.
    pub fn new(policy: ResendPolicy) -> Self {
        Self {
            policy,
            rows: HashMap::new(),
        }
    }

    /// Returns the budget of a service.
    pub fn of_service(&mut self, service: &ServiceName) -> &mut ResendBudget {
        &mut self.row(service).budget
    }

    fn row(&mut self, service: &ServiceName) -> &mut Row {
        let policy = self.policy;
        self.rows
            .entry(service.clone())
            .or_insert_with(|| Row::new(policy))
    }

    /// Sets the number of entry daemons of each service (see
    /// [`ResendBudget::set_entries`]).
    ///
    /// A service that is not in `entries` has no entry daemons, since no route leads to
    /// it or no daemon is registered. Its slack waits for a window when it comes back.
    pub fn set_entries(&mut self, entries: &HashMap<ServiceName, u32>, now: TimeMs) {
        for service in entries.keys() {
            self.row(service);
        }
        for (service, row) in &mut self.rows {
            row.entries = entries.get(service).copied().unwrap_or(0);
            row.budget.set_entries(row.entries, now);
        }
    }

    /// Returns the parts of the slack that have changed since the last call, also those
    /// that apply some time after [`Self::set_entries`].
    pub fn take_share_changes(&mut self, now: TimeMs) -> Vec<ShareChange> {
        let mut changes = Vec::new();
        for (service, row) in &mut self.rows {
            let own_slack = row.budget.own_slack(now);
            if row.told_slack.to_bits() == own_slack.to_bits() {
                continue;
            }
            row.told_slack = own_slack;
            changes.push(ShareChange {
                service: service.clone(),
                entries: row.entries,
                own_slack,
            });
        }
        changes
    }

    /// Forgets what was saved for all services (see [`ResendBudget::clear_saved`]).
    pub fn clear_saved(&mut self, now: TimeMs) {
        for row in self.rows.values_mut() {
            row.budget.clear_saved(now);
        }
    }
}

//! Publishes the state that the traffic threads read.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use agatehold_core::limits::QueueLimits;
use agatehold_core::membership::Standing;
use agatehold_core::retry::RetryBudget;
use agatehold_core::routing;

use crate::admission::AdmissionController;
use crate::shared::FleetAddresses;
use crate::shared::PublishedRouting;

use super::ControlLoop;

impl ControlLoop {
    /// Builds and publishes the routing table of the configuration in force.
    pub(super) fn publish_routing(&mut self) {
        let log = &self.tables.replication.log;
        let table = routing::build(log.head, &log.config, &mut self.tables.cells);
        let now = self.shared.clock.now();
        let config = &log.config;
        self.admission_controllers
            .retain(|name, _| config.services.contains(name));
        let mut admission_controllers = Vec::with_capacity(table.services.len());
        let mut slow_bounds_ms = Vec::with_capacity(table.services.len());
        for service in &table.services {
            let limits = QueueLimits::of(&service.policy);
            let share = service.policy.retry_budget;
            let admission_controller =
                self.admission_controllers
                    .get_or_insert(service.name.clone(), || {
                        Arc::new(AdmissionController::new(
                            limits,
                            RetryBudget::new(share, now),
                        ))
                    });
            admission_controller.set_limits(limits);
            admission_controller.with_budget(|budget| budget.set_share(share));
            admission_controllers.push(Arc::clone(admission_controller));
            slow_bounds_ms.push(AtomicU64::new(0));
        }
        self.shared.published.store(Arc::new(PublishedRouting {
            table,
            admission_controllers,
            slow_bounds_ms,
        }));
        self.publish_slow_bounds();
        self.write_home_slots();
    }

    /// Sets this daemon's home slots, which are its share of the slots of each
    /// service, based on its position among the service's entry daemons.
    fn write_home_slots(&self) {
        let published = self.shared.published.load();
        let own = &self.tables.membership.own.id;
        for (service, row) in self.tables.entries.rows() {
            let Some(index) = published.service_index(service) else {
                continue;
            };
            let place = row.hosts.iter().position(|entry| entry.host == *own);
            let rank = place.and_then(|place| u32::try_from(place).ok());
            let entries = u32::try_from(row.hosts.len()).unwrap_or(u32::MAX);
            routing::write_home_slots(&published.table, index, rank, entries);
        }
    }

    /// Publishes the time after which an answer of each service counts as slow.
    pub(super) fn publish_slow_bounds(&self) {
        let published = self.shared.published.load();
        for (service, bound) in published
            .table
            .services
            .iter()
            .zip(&published.slow_bounds_ms)
        {
            let bound_ms = self
                .tables
                .health
                .services
                .get(&service.name)
                .map_or(0, |baseline| baseline.slow_bound_ms.0);
            bound.store(bound_ms, Ordering::Relaxed);
        }
    }

    /// Publishes the entry daemons of each service and the addresses of all
    /// daemons that may own idempotency keys.
    pub(super) fn publish_entries(&self) {
        let mut by_host = HashMap::new();
        let own = &self.tables.membership.own;
        by_host.insert(own.id.clone(), (own.incarnation, own.caller_address));
        for (id, row) in self.tables.membership.peers.rows() {
            let gone = matches!(row.standing, Standing::Gone { .. });
            if let (Some(address), false) = (row.caller_address, gone) {
                by_host.insert(id.clone(), (row.incarnation, address));
            }
        }
        let mut by_service = HashMap::new();
        for (service, row) in self.tables.entries.rows() {
            by_service.insert(service.clone(), row.clone());
        }
        self.shared.fleet_addresses.store(Arc::new(FleetAddresses {
            by_service,
            by_host,
        }));
        self.write_home_slots();
    }

    /// Updates the gauges that the control thread maintains.
    pub(super) fn publish_gauges(&self) {
        let head = self.tables.replication.log.head.number.0;
        metrics::gauge!("agatehold_note_number").set(head as f64);
        metrics::gauge!("agatehold_known_hosts")
            .set((self.tables.membership.peers.len() + 1) as f64);
        let in_flight = self.shared.in_flight.load(Ordering::Relaxed);
        metrics::gauge!("agatehold_in_flight").set(in_flight as f64);
        for (service, admission_controller) in self.admission_controllers.rows() {
            metrics::gauge!("agatehold_queue_length", "service" => service.to_string())
                .set(admission_controller.queue_length() as f64);
        }
    }
}

//! What the control thread publishes and the traffic thread reads.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;

use agatehold_core::catalog::Catalog;
use agatehold_core::directory::EntryPolicy;
use agatehold_core::directory::MemberRecord;
use agatehold_core::directory::entry_daemons;
use agatehold_core::directory::entry_groups;
use agatehold_core::dispatch::TargetShare;
use agatehold_core::ids::HostId;
use agatehold_core::ids::ServiceName;
use agatehold_core::roster::TargetRecord;
use agatehold_core::table::Table;
use agatehold_core::units::TimeMs;
use agatehold_platform::FleetBounds;
use agatehold_settings::process::GatewaySettings;

use crate::clock::Clock;

use super::news::StoreContents;

/// What the control thread believes, as one consistent whole.
#[derive(Default)]
pub(super) struct View {
    /// Counts the views; a later one has a higher number.
    pub(crate) number: u64,
    /// The configuration in force.
    pub(crate) catalog: Option<Arc<Catalog>>,
    /// The registered targets and when each was seen.
    pub(crate) targets: Vec<(TargetRecord, TimeMs)>,
    /// The daemons of the fleet.
    pub(crate) members: Table<HostId, MemberRecord>,
    /// The daemons that callers of each host name are given.
    pub(crate) entries_by_host: HashMap<Box<str>, Arc<Vec<(HostId, MemberRecord)>>>,
    /// The daemons through which requests reach each service.
    pub(crate) entries_by_service: HashMap<ServiceName, Vec<(HostId, MemberRecord)>>,
    /// The contents of the store, for other daemons.
    pub(super) contents: StoreContents,
    /// Since when the store has not answered.
    pub(crate) store_away_since: Option<TimeMs>,
}

impl View {
    /// Returns whether both the configuration and the targets are known.
    pub(crate) fn is_ready(&self) -> bool {
        self.catalog.is_some() && self.contents.targets.revision > 0
    }

    /// Fills in the entry daemons of each host name and service.
    pub(crate) fn choose_entries(&mut self, policy: &EntryPolicy) {
        let Some(catalog) = &self.catalog else {
            return;
        };
        let slots_of = |service: &ServiceName| {
            let of_service = self.targets.iter();
            let of_service = of_service.filter(|(target, _)| target.service == *service);
            let slots = of_service.map(|(target, _)| target.slots.0);
            slots.fold(0, u32::saturating_add)
        };
        for group in entry_groups(catalog, policy, slots_of) {
            let chosen = entry_daemons(self.members.rows(), &group.subject, group.demand);
            let chosen: Vec<(HostId, MemberRecord)> = chosen
                .into_iter()
                .map(|(host, member)| (host.clone(), member.clone()))
                .collect();
            for service in group.services {
                let entries = self.entries_by_service.entry(service).or_default();
                for entry in &chosen {
                    if !entries.contains(entry) {
                        entries.push(entry.clone());
                    }
                }
            }
            let chosen = Arc::new(chosen);
            for host in group.hosts {
                self.entries_by_host.insert(host, Arc::clone(&chosen));
            }
        }
        for entries in self.entries_by_service.values_mut() {
            // All daemons number the entry daemons alike.
            entries.sort_by(|a, b| a.0.cmp(&b.0));
        }
    }

    /// Returns the place of a host among the entry daemons of a service; `None` if
    /// it is none of them.
    pub(crate) fn target_share(&self, host: &HostId, service: &ServiceName) -> Option<TargetShare> {
        let entries = self.entries_by_service.get(service)?;
        let place = entries.iter().position(|(entry, _)| entry == host)?;
        Some(TargetShare {
            rank: u32::try_from(place).ok()?,
            daemons: u32::try_from(entries.len()).ok()?,
        })
    }

    /// Returns whether a host is an entry daemon of a service.
    pub(crate) fn is_entry(&self, host: &HostId, service: &ServiceName) -> bool {
        self.target_share(host, service).is_some()
    }
}

/// State shared by the threads of the daemon.
pub(crate) struct GatewayShared {
    /// The clock of the process.
    pub(crate) clock: Clock,
    /// The settings of the process.
    pub(crate) settings: GatewaySettings,
    /// The bounds of the deployment.
    pub(crate) bounds: FleetBounds,
    /// What the control thread believes.
    pub(super) view: ArcSwap<View>,
    /// Whether the planned stop has begun.
    stopping: AtomicBool,
    /// When it began.
    stopping_since_ms: AtomicU64,
    /// Requests of callers that are not answered.
    pub(crate) in_flight: AtomicU64,
}

impl GatewayShared {
    /// Creates the state of a daemon that starts.
    pub(crate) fn new(clock: Clock, settings: GatewaySettings, bounds: FleetBounds) -> Self {
        Self {
            clock,
            settings,
            bounds,
            view: ArcSwap::default(),
            stopping: AtomicBool::new(false),
            stopping_since_ms: AtomicU64::new(0),
            in_flight: AtomicU64::new(0),
        }
    }

    /// Begins the planned stop.
    pub(crate) fn begin_stop(&self) {
        let now = self.clock.now();
        self.stopping_since_ms.store(now.0, Ordering::Release);
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns when the planned stop began.
    pub(crate) fn stopping_since(&self) -> Option<TimeMs> {
        if !self.stopping.load(Ordering::Acquire) {
            return None;
        }
        Some(TimeMs(self.stopping_since_ms.load(Ordering::Acquire)))
    }
}

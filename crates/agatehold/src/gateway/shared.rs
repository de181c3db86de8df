//! State shared between the threads: the view that the control thread publishes
//! and the traffic thread reads, and the progress of the shutdown.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;

use agatehold_core::addresses::rendezvous_score;
use agatehold_core::catalog::Catalog;
use agatehold_core::directory::EntryPolicy;
use agatehold_core::directory::MemberRecord;
use agatehold_core::directory::entry_daemons;
use agatehold_core::directory::entry_groups;
use agatehold_core::dispatch::DaemonRank;
use agatehold_core::ids::HostId;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TargetName;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::table::Table;
use agatehold_core::target_registry::EndedRegistration;
use agatehold_core::target_registry::TargetRecord;
use agatehold_core::units::StoreRevision;
use agatehold_core::units::TimeMs;
use agatehold_platform::FleetBounds;
use agatehold_settings::process::GatewaySettings;

use crate::clock::Clock;

use super::messages::PeerStatements;
use super::messages::StoreContents;

/// What another daemon has told this one after its start.
pub(super) struct ToldStatements {
    /// The number of this answer; increases with each.
    pub(super) number: u64,
    /// When it arrived.
    pub(super) told_at: TimeMs,
    /// The address of the other daemon.
    pub(super) address: SocketAddr,
    /// What it told.
    pub(super) statements: PeerStatements,
}

/// An immutable, consistent snapshot of the control thread's tables.
#[derive(Default)]
pub(super) struct View {
    /// The sequence number, which increases with each published view.
    pub(crate) number: u64,
    /// The configuration in force.
    pub(crate) catalog: Option<Arc<Catalog>>,
    /// The registered targets and when the current record of each arrived.
    pub(crate) targets: Vec<(TargetRecord, TimeMs)>,
    /// The targets that have been removed, with the store's revision of each removal.
    pub(crate) removals: Vec<(TargetName, StoreRevision)>,
    /// The registrations of targets that ended in an older era of the store.
    pub(crate) ended: Vec<EndedRegistration<TargetName>>,
    /// What other daemons have told this one since its start, the latest last; dropped
    /// after a while.
    pub(super) told: Vec<Arc<ToldStatements>>,
    /// The registered daemons of the fleet.
    pub(crate) members: Table<HostId, MemberRecord>,
    /// The entry daemons of each host name: the few daemons whose addresses its
    /// callers get.
    pub(crate) entries_by_host: HashMap<Box<str>, Arc<Vec<(HostId, MemberRecord)>>>,
    /// The entry daemons through which requests reach each service, in the order of their ranks.
    pub(crate) entries_by_service: HashMap<ServiceName, Vec<(HostId, MemberRecord)>>,
    /// The contents of the store, served to other daemons.
    pub(super) contents: StoreContents,
    /// When the store became unreachable; `None` while it responds.
    pub(crate) store_unavailable_since: Option<TimeMs>,
}

impl View {
    /// Returns whether the configuration has tenants.
    pub(super) fn has_tenants(&self) -> bool {
        self.catalog
            .as_ref()
            .is_some_and(|catalog| catalog.tenants.is_some())
    }

    /// Returns whether both a configuration and the targets have been loaded.
    pub(crate) fn is_ready(&self) -> bool {
        self.catalog.is_some() && self.contents.targets.complete_to() > StoreRevision::ZERO
    }

    /// Computes the entry daemons of each host name and service.
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
            // All daemons must rank the entry daemons of a service in the same
            // order. Those that follow each other are in different failure domains
            // as a rule, so that the callers of one may leave without all of them.
            entries.sort_by_cached_key(|(host, _)| {
                (rendezvous_score(&["rank"], host.as_str()), host.clone())
            });
        }
    }

    /// Returns the rank of a host among the entry daemons of a service; `None` if
    /// it is not one of them.
    pub(crate) fn daemon_rank(&self, host: &HostId, service: &ServiceName) -> Option<DaemonRank> {
        let entries = self.entries_by_service.get(service)?;
        let place = entries.iter().position(|(entry, _)| entry == host)?;
        Some(DaemonRank {
            rank: u32::try_from(place).ok()?,
            daemons: u32::try_from(entries.len()).ok()?,
        })
    }

    /// Returns the refusal of a request whose route or key is unknown: while the store is
    /// unreachable, a newer configuration that holds it may exist.
    pub(crate) fn refusal_of_unknown(&self, kind: RefusalKind) -> RefusalKind {
        match self.store_unavailable_since {
            Some(_) => RefusalKind::Isolated,
            None => kind,
        }
    }

    /// Returns whether a host is an entry daemon of a service.
    pub(crate) fn is_entry(&self, host: &HostId, service: &ServiceName) -> bool {
        self.daemon_rank(host, service).is_some()
    }
}

/// State shared by the threads of the process.
pub(crate) struct GatewayShared {
    /// The monotonic clock.
    pub(crate) clock: Clock,
    /// The settings read at startup.
    pub(crate) settings: GatewaySettings,
    /// The limits that the platform sets for the fleet.
    pub(crate) bounds: FleetBounds,
    /// The view published last by the control thread.
    pub(super) view: ArcSwap<View>,
    /// Whether a graceful shutdown has begun.
    stopping: AtomicBool,
    /// When the graceful shutdown began.
    stopping_since_ms: AtomicU64,
    /// The number of caller requests whose answers are not written yet.
    pub(crate) in_flight: AtomicU64,
}

/// Counts a caller request as in flight while it exists. The response holds it until
/// it is written, so that the process does not end before.
pub(crate) struct InFlightGuard {
    shared: Arc<GatewayShared>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl GatewayShared {
    /// Creates the state of a starting daemon, with an empty view.
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

    /// Counts a caller request until the returned guard is dropped.
    pub(crate) fn count_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard {
            shared: Arc::clone(self),
        }
    }

    /// Begins the graceful shutdown.
    pub(crate) fn begin_stop(&self) {
        let now = self.clock.now();
        self.stopping_since_ms.store(now.0, Ordering::Release);
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns when the graceful shutdown began; `None` if it has not.
    pub(crate) fn stopping_since(&self) -> Option<TimeMs> {
        if !self.stopping.load(Ordering::Acquire) {
            return None;
        }
        Some(TimeMs(self.stopping_since_ms.load(Ordering::Acquire)))
    }
}

//! State that the control thread publishes and the traffic threads read.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use crossbeam::channel::Sender;

use agatehold_core::addresses;
use agatehold_core::addresses::EntryRow;
use agatehold_core::idempotency::KeyLimits;
use agatehold_core::idempotency::KeyOwner;
use agatehold_core::idempotency::KeyTable;
use agatehold_core::ids::HostId;
use agatehold_core::ids::Incarnation;
use agatehold_core::ids::ServiceName;
use agatehold_core::limits::TenantBuckets;
use agatehold_core::outcome::OutcomeReport;
use agatehold_core::poison::CrashMark;
use agatehold_core::poison::PoisonTable;
use agatehold_core::routing::RoutingTable;
use agatehold_core::routing::ServiceIndex;
use agatehold_core::units::TimeMs;
use agatehold_settings::process::DaemonSettings;
use agatehold_wire::platform::LeaseId;

use crate::admission::AdmissionController;
use crate::clock::Clock;

/// How the daemon handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Phase {
    /// It has no configuration yet and refuses requests.
    Starting = 0,
    /// It serves requests.
    Serving = 1,
    /// It can't confirm that its configuration is current and refuses requests.
    Isolated = 2,
    /// It still serves callers that use its address, and closes their
    /// connections.
    Leaving = 3,
}

/// The routing table in force, with the admission controllers and latency
/// bounds of its services.
#[derive(Default)]
pub(crate) struct PublishedRouting {
    /// The routing table.
    pub(crate) table: RoutingTable,
    /// One admission controller for each service, in the order of
    /// `table.services`. A service keeps its admission controller when the
    /// table is replaced.
    pub(crate) admission_controllers: Vec<Arc<AdmissionController>>,
    /// The time in milliseconds after which an answer of each service counts as
    /// slow, in the order of `table.services`; 0 if it is not known yet.
    pub(crate) slow_bounds_ms: Vec<AtomicU64>,
}

impl PublishedRouting {
    /// Returns the index of a service in the routing table.
    pub(crate) fn service_index(&self, name: &ServiceName) -> Option<ServiceIndex> {
        let services = &self.table.services;
        let position = services
            .binary_search_by(|service| service.name.cmp(name))
            .ok()?;
        u32::try_from(position).ok().map(ServiceIndex)
    }
}

/// A report from a traffic thread to the control thread.
#[derive(Clone, Debug)]
pub(crate) enum TrafficReport {
    /// An attempt has ended or is overdue.
    Attempt(OutcomeReport),
    /// The crash marks of a request changed in the poison table and must be
    /// sent to peers immediately.
    Poison(Vec<CrashMark>),
}

/// A lease for idempotency claims.
#[derive(Clone, Debug)]
pub(crate) struct ClaimLease {
    /// The platform's id of the lease.
    pub(crate) id: LeaseId,
    /// When it was requested. Claims are bound to it as long as
    /// `may_use_claim_lease` allows.
    pub(crate) requested_at: TimeMs,
}

/// The addresses at which callers and other daemons reach the daemons of the
/// fleet.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetAddresses {
    /// The entry daemons to return in address answers, by service.
    pub(crate) by_service: HashMap<ServiceName, EntryRow>,
    /// The incarnation and caller address of each daemon that is not gone.
    pub(crate) by_host: HashMap<HostId, (Incarnation, SocketAddr)>,
}

/// State shared by the control thread and the traffic threads.
///
/// The control thread publishes the routing table and the addresses, and
/// traffic threads load them; neither waits for the other.
pub(crate) struct Shared {
    /// The clock of the process.
    pub(crate) clock: Clock,
    /// The id of this daemon's host.
    pub(crate) host: HostId,
    /// The incarnation of this start of the daemon. It is raised if peers know
    /// this host under a later incarnation.
    incarnation: AtomicU64,
    /// The settings of the process.
    pub(crate) settings: DaemonSettings,
    /// The routing table in force.
    pub(crate) published: ArcSwap<PublishedRouting>,
    /// The addresses of the fleet's daemons.
    pub(crate) fleet_addresses: ArcSwap<FleetAddresses>,
    /// The lease attached to this daemon's idempotency claims. Claims made without
    /// a lease never expire.
    pub(crate) claim_lease: ArcSwapOption<ClaimLease>,
    /// The channel of reports to the control thread. Reports are dropped and
    /// counted while it is full.
    pub(crate) reports: Sender<TrafficReport>,
    /// The idempotency keys owned by this incarnation of the daemon.
    keys: Mutex<KeyTable>,
    /// The requests that were running on a target when it crashed.
    poison: Mutex<PoisonTable>,
    /// The token buckets that limit the tenants' request rates.
    tenant_buckets: Mutex<TenantBuckets>,
    /// The number of requests that have arrived and are not answered yet.
    pub(crate) in_flight: AtomicU64,
    /// The number of open connections from callers.
    pub(crate) connections: AtomicU32,
    /// When a caller last connected, in milliseconds.
    last_connection_ms: AtomicU64,
    /// The [`Phase`] as a number.
    phase: AtomicU8,
    /// Until when the daemon may serve requests by its configuration unless its
    /// phase is published anew, in milliseconds.
    serving_until_ms: AtomicU64,
}

impl FleetAddresses {
    /// Returns the addresses for one caller. `rotation` is different for each
    /// answer, so that callers spread evenly over the daemons.
    pub(crate) fn choose(&self, service: &ServiceName, rotation: u64) -> Vec<SocketAddr> {
        let Some(row) = self.by_service.get(service) else {
            return Vec::new();
        };
        let chosen = addresses::answer(row, rotation, |_| true);
        chosen.iter().map(|host| host.address).collect()
    }
}

impl Shared {
    /// Creates the state of a starting daemon.
    pub(crate) fn new(
        clock: Clock,
        incarnation: Incarnation,
        settings: DaemonSettings,
        reports: Sender<TrafficReport>,
    ) -> Self {
        let owner = KeyOwner {
            host: settings.host.id.clone(),
            incarnation,
        };
        let keys = KeyTable::new(owner, KeyLimits::default(), clock.now());
        Self {
            clock,
            host: settings.host.id.clone(),
            incarnation: AtomicU64::new(incarnation.0),
            settings,
            published: ArcSwap::default(),
            claim_lease: ArcSwapOption::empty(),
            poison: Mutex::default(),
            fleet_addresses: ArcSwap::default(),
            reports,
            keys: Mutex::new(keys),
            tenant_buckets: Mutex::default(),
            in_flight: AtomicU64::new(0),
            connections: AtomicU32::new(0),
            last_connection_ms: AtomicU64::new(0),
            phase: AtomicU8::new(Phase::Starting as u8),
            serving_until_ms: AtomicU64::new(0),
        }
    }

    /// Returns the incarnation of this start of the daemon.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.load(Ordering::Acquire))
    }

    /// Switches to a later incarnation and drops the keys of the earlier one.
    /// Those keys are refused from now on, because another process may own
    /// them.
    pub(crate) fn raise_incarnation(&self, incarnation: Incarnation) {
        let owner = KeyOwner {
            host: self.host.clone(),
            incarnation,
        };
        let mut keys = self.keys();
        *keys = KeyTable::new(owner, KeyLimits::default(), self.clock.now());
        self.incarnation.store(incarnation.0, Ordering::Release);
    }

    /// Locks the table of idempotency keys.
    ///
    /// A claim left by a thread that panicked stays in progress: its key is
    /// refused, so the request never runs twice.
    pub(crate) fn keys(&self) -> MutexGuard<'_, KeyTable> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the table of requests that may crash targets.
    pub(crate) fn poison(&self) -> MutexGuard<'_, PoisonTable> {
        self.poison.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the tenants' token buckets.
    pub(crate) fn tenant_buckets(&self) -> MutexGuard<'_, TenantBuckets> {
        self.tenant_buckets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how the daemon handles requests.
    ///
    /// A daemon that was paused is isolated until the control thread has run, since
    /// it does not know which configuration is in force.
    pub(crate) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            1 if self.clock.now().0 >= self.serving_until_ms.load(Ordering::Acquire) => {
                Phase::Isolated
            }
            1 => Phase::Serving,
            2 => Phase::Isolated,
            3 => Phase::Leaving,
            _ => Phase::Starting,
        }
    }

    /// Sets how the daemon handles requests.
    pub(crate) fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Release);
    }

    /// Sets until when the daemon may serve requests by its configuration.
    pub(crate) fn set_serving_until(&self, until: TimeMs) {
        self.serving_until_ms.store(until.0, Ordering::Release);
    }

    /// Records that a caller connected.
    pub(crate) fn record_connection(&self) {
        let now = self.clock.now();
        self.last_connection_ms.store(now.0, Ordering::Release);
        self.connections.fetch_add(1, Ordering::AcqRel);
    }

    /// Returns when a caller last connected.
    pub(crate) fn last_connection_at(&self) -> TimeMs {
        TimeMs(self.last_connection_ms.load(Ordering::Acquire))
    }

    /// Sends a report to the control thread, or drops and counts it if the
    /// channel is full.
    pub(crate) fn report(&self, report: TrafficReport) {
        if self.reports.try_send(report).is_err() {
            metrics::counter!("agatehold_reports_dropped_total").increment(1);
        }
    }
}

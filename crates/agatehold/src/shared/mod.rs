//! What the control thread publishes and the traffic threads read.

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

/// What the daemon does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Phase {
    /// It has no configuration and refuses.
    Starting = 0,
    /// It serves.
    Serving = 1,
    /// It can't confirm its configuration and refuses.
    Isolated = 2,
    /// It serves callers with old addresses and closes their connections.
    Leaving = 3,
}

/// The routing table in force and the admission controllers of its services.
#[derive(Default)]
pub(crate) struct Published {
    /// The routing table.
    pub(crate) table: RoutingTable,
    /// One admission controller for each service, in the order of
    /// `table.services`. It outlives the tables that have its service.
    pub(crate) admission_controllers: Vec<Arc<AdmissionController>>,
    /// When an answer counts as slow, in the order of `table.services`.
    pub(crate) slow_bounds: Vec<AtomicU64>,
}

impl Published {
    /// Returns the position of a service.
    pub(crate) fn service_index(&self, name: &ServiceName) -> Option<ServiceIndex> {
        let services = &self.table.services;
        let position = services
            .binary_search_by(|service| service.name.cmp(name))
            .ok()?;
        u32::try_from(position).ok().map(ServiceIndex)
    }
}

/// What a traffic thread tells the control thread.
#[derive(Clone, Debug)]
pub(crate) enum TrafficReport {
    /// An attempt ended or is overdue.
    Attempt(OutcomeReport),
    /// The marks of a request in the poison table changed; peers have to hear
    /// of it at once.
    Poison(Vec<CrashMark>),
}

/// Where callers and other daemons reach the daemons of the fleet.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryBook {
    /// The addresses to hand out, by service.
    pub(crate) by_service: HashMap<ServiceName, EntryRow>,
    /// The incarnation and callers' address of each live daemon.
    pub(crate) by_host: HashMap<HostId, (Incarnation, SocketAddr)>,
}

/// State shared by the control thread and the traffic threads.
///
/// The control thread stores, traffic threads load; neither waits for the
/// other.
pub(crate) struct Shared {
    /// The clock of the process.
    pub(crate) clock: Clock,
    /// This daemon's host.
    pub(crate) host: HostId,
    /// This start of the daemon; raised if another one is known under a later
    /// one.
    incarnation: AtomicU64,
    /// The settings of the process.
    pub(crate) settings: DaemonSettings,
    /// The routing table in force.
    pub(crate) published: ArcSwap<Published>,
    /// The addresses of the fleet.
    pub(crate) entries: ArcSwap<EntryBook>,
    /// The lease that ends this daemon's claims, seven days or more from now;
    /// without it claims are kept for ever.
    pub(crate) claim_lease: ArcSwapOption<LeaseId>,
    /// Reports of attempts; full means that reports are dropped and counted.
    pub(crate) reports: Sender<TrafficReport>,
    /// The idempotency keys that this start of the daemon owns.
    keys: Mutex<KeyTable>,
    /// Requests that were in a target when it crashed.
    poison: Mutex<PoisonTable>,
    /// The tenants' request rates.
    buckets: Mutex<TenantBuckets>,
    /// Requests that arrived and are not answered.
    pub(crate) in_flight: AtomicU64,
    /// Callers' connections that are open.
    pub(crate) connections: AtomicU32,
    /// When the last connection of a caller came, in milliseconds.
    last_connection_ms: AtomicU64,
    /// The [`Phase`] as a number.
    phase: AtomicU8,
}

impl EntryBook {
    /// Returns the addresses for one caller; `rotation` differs from answer to
    /// answer, so that callers spread evenly.
    pub(crate) fn choose(&self, service: &ServiceName, rotation: u64) -> Vec<SocketAddr> {
        let Some(row) = self.by_service.get(service) else {
            return Vec::new();
        };
        let chosen = addresses::answer(row, rotation, |_| true);
        chosen.iter().map(|host| host.address).collect()
    }
}

impl Shared {
    /// Creates the state of a daemon that starts.
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
            entries: ArcSwap::default(),
            reports,
            keys: Mutex::new(keys),
            buckets: Mutex::default(),
            in_flight: AtomicU64::new(0),
            connections: AtomicU32::new(0),
            last_connection_ms: AtomicU64::new(0),
            phase: AtomicU8::new(Phase::Starting as u8),
        }
    }

    /// Returns this start of the daemon.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.load(Ordering::Acquire))
    }

    /// Takes a later incarnation and forgets the keys of the earlier one,
    /// which are refused from now on, since another process may own them.
    pub(crate) fn raise_incarnation(&self, incarnation: Incarnation) {
        let owner = KeyOwner {
            host: self.host.clone(),
            incarnation,
        };
        let mut keys = self.keys();
        *keys = KeyTable::new(owner, KeyLimits::default(), self.clock.now());
        self.incarnation.store(incarnation.0, Ordering::Release);
    }

    /// Locks the table of idempotency keys. A claim that a panic left behind
    /// stays in progress, which refuses its key and never runs it again.
    pub(crate) fn keys(&self) -> MutexGuard<'_, KeyTable> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the table of requests that crash targets.
    pub(crate) fn poison(&self) -> MutexGuard<'_, PoisonTable> {
        self.poison.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the tenants' buckets.
    pub(crate) fn buckets(&self) -> MutexGuard<'_, TenantBuckets> {
        self.buckets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what the daemon does with requests.
    pub(crate) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            1 => Phase::Serving,
            2 => Phase::Isolated,
            3 => Phase::Leaving,
            _ => Phase::Starting,
        }
    }

    /// Sets what the daemon does with requests.
    pub(crate) fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Release);
    }

    /// Notes that a caller's connection came.
    pub(crate) fn note_connection(&self) {
        let now = self.clock.now();
        self.last_connection_ms.store(now.0, Ordering::Release);
        self.connections.fetch_add(1, Ordering::AcqRel);
    }

    /// Returns when the last caller's connection came.
    pub(crate) fn last_connection_at(&self) -> TimeMs {
        TimeMs(self.last_connection_ms.load(Ordering::Acquire))
    }

    /// Hands a report to the control thread, or drops and counts it.
    pub(crate) fn report(&self, report: TrafficReport) {
        if self.reports.try_send(report).is_err() {
            metrics::counter!("agatehold_reports_dropped_total").increment(1);
        }
    }
}

//! The changes that a release note lists.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use crate::config::DetectionPolicy;
use crate::config::Idempotence;
use crate::config::IsolationPolicy;
use crate::config::TargetState;
use crate::config::TrafficClass;
use crate::ids::FailureDomain;
use crate::ids::RouteName;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::ids::TenantName;
use crate::units::DurationMs;
use crate::units::Percent;
use crate::units::RequestsPerSecond;
use crate::units::SlotCount;
use crate::units::TargetCount;

/// A parsed release note: a list of configuration changes that an operator releases together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Note {
    /// Who releases the note.
    pub author: Box<str>,
    /// Why the note is released.
    pub comment: Box<str>,
    /// The changes; at most one for each entity.
    pub changes: Vec<NoteChange>,
}

/// Whether a change adds a new entity or modifies an existing one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutAction {
    /// The entity must not exist yet.
    Add,
    /// The entity must exist.
    Change,
}

/// One change of a release note.
#[derive(Clone, Debug, PartialEq)]
pub enum NoteChange {
    /// Adds or changes a service.
    PutService(ServiceName, PutAction, ServicePatch),
    /// Adds or changes a target.
    PutTarget(TargetName, PutAction, TargetPatch),
    /// Adds or changes a route.
    PutRoute(RouteName, PutAction, RoutePatch),
    /// Adds or changes a tenant.
    PutTenant(TenantName, PutAction, TenantPatch),
    /// Withdraws a service.
    WithdrawService(ServiceName),
    /// Withdraws a target.
    WithdrawTarget(TargetName),
    /// Withdraws a route.
    WithdrawRoute(RouteName),
    /// Withdraws a tenant.
    WithdrawTenant(TenantName),
}

/// The fields of a service that a change sets; `None` leaves a field as it is.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServicePatch {
    /// See [`crate::config::ServiceRow::floor`].
    pub floor: Option<TargetCount>,
    /// See [`crate::config::ServiceRow::class`].
    pub class: Option<TrafficClass>,
    /// See [`crate::config::ServiceRow::detection`].
    pub detection: Option<DetectionPolicy>,
    /// See [`crate::config::ServiceRow::queue_limit`].
    pub queue_limit: Option<u32>,
    /// See [`crate::config::ServiceRow::queue_wait_ms`].
    pub queue_wait_ms: Option<DurationMs>,
    /// See [`crate::config::ServiceRow::timeout_ms`].
    pub timeout_ms: Option<DurationMs>,
    /// See [`crate::config::ServiceRow::retry_budget`].
    pub retry_budget: Option<Percent>,
    /// See [`crate::config::ServiceRow::when_isolated`].
    pub when_isolated: Option<IsolationPolicy>,
}

/// The fields of a target that a change sets; `None` leaves a field as it is.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetPatch {
    /// See [`crate::config::TargetRow::service`].
    pub service: Option<ServiceName>,
    /// See [`crate::config::TargetRow::address`].
    pub address: Option<SocketAddr>,
    /// See [`crate::config::TargetRow::failure_domain`].
    pub failure_domain: Option<FailureDomain>,
    /// See [`crate::config::TargetRow::slots`].
    pub slots: Option<SlotCount>,
    /// See [`crate::config::TargetRow::max_connections`].
    pub max_connections: Option<u32>,
    /// See [`crate::config::TargetRow::state`].
    pub state: Option<TargetState>,
}

/// The fields of a route that a change sets; `None` leaves a field as it is.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutePatch {
    /// See [`crate::config::RouteRow::service`].
    pub service: Option<ServiceName>,
    /// See [`crate::config::RouteRow::path_prefix`].
    pub path_prefix: Option<Box<str>>,
    /// See [`crate::config::RouteRow::host`]; an empty string removes the
    /// restriction to one host name.
    pub host: Option<Box<str>>,
    /// See [`crate::config::RouteRow::methods`].
    pub methods: Option<Vec<Box<str>>>,
    /// See [`crate::config::RouteRow::idempotence`].
    pub idempotence: Option<Idempotence>,
    /// See [`crate::config::RouteRow::require_key`].
    pub require_key: Option<bool>,
    /// See [`crate::config::RouteRow::tenants`].
    pub tenants: Option<Vec<TenantName>>,
}

/// The fields of a tenant that a change sets; `None` leaves a field as it is.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantPatch {
    /// See [`crate::config::TenantRow::class`].
    pub class: Option<TrafficClass>,
    /// See [`crate::config::TenantRow::rate_per_s`].
    pub rate_per_s: Option<RequestsPerSecond>,
    /// See [`crate::config::TenantRow::burst`].
    pub burst: Option<u32>,
}

/// A reference to a configuration entity by kind and name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EntityRef {
    /// A service.
    Service(ServiceName),
    /// A target.
    Target(TargetName),
    /// A route.
    Route(RouteName),
    /// A tenant.
    Tenant(TenantName),
}

impl fmt::Display for EntityRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(name) => write!(f, "service {name}"),
            Self::Target(name) => write!(f, "target {name}"),
            Self::Route(name) => write!(f, "route {name}"),
            Self::Tenant(name) => write!(f, "tenant {name}"),
        }
    }
}

impl NoteChange {
    /// Returns the entity that the change adds, modifies or withdraws.
    pub fn entity(&self) -> EntityRef {
        match self {
            Self::PutService(name, _, _) | Self::WithdrawService(name) => {
                EntityRef::Service(name.clone())
            }
            Self::PutTarget(name, _, _) | Self::WithdrawTarget(name) => {
                EntityRef::Target(name.clone())
            }
            Self::PutRoute(name, _, _) | Self::WithdrawRoute(name) => {
                EntityRef::Route(name.clone())
            }
            Self::PutTenant(name, _, _) | Self::WithdrawTenant(name) => {
                EntityRef::Tenant(name.clone())
            }
        }
    }
}

/// Returns the entities that both notes change, in sorted order.
pub fn overlap(ours: &Note, theirs: &Note) -> Vec<EntityRef> {
    let their_entities = touched_entities(theirs);
    let our_entities = touched_entities(ours);
    our_entities
        .intersection(&their_entities)
        .cloned()
        .collect()
}

/// Returns the entities that `note` changes.
pub fn touched_entities(note: &Note) -> BTreeSet<EntityRef> {
    note.changes.iter().map(NoteChange::entity).collect()
}

//! The rows of the configuration tables.

use std::net::SocketAddr;

use crate::ids::FailureDomain;
use crate::ids::ServiceName;
use crate::ids::TenantName;
use crate::units::DurationMs;
use crate::units::Percent;
use crate::units::RequestsPerSecond;
use crate::units::SlotCount;
use crate::units::TargetCount;

use super::DetectionPolicy;
use super::Idempotence;
use super::IsolationPolicy;
use super::TargetState;
use super::TrafficClass;

/// A service: targets that answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRow {
    /// The number of healthy targets below which nothing is ejected.
    ///
    /// At most the number of the service's targets.
    pub floor: TargetCount,
    /// The class of the service's requests.
    pub class: TrafficClass,
    /// The error rates of the failure detector.
    pub detection: DetectionPolicy,
    /// The number of requests that wait for a slot in one daemon.
    pub queue_limit: u32,
    /// How long a request waits for a slot.
    pub queue_wait_ms: DurationMs,
    /// How long a request may take where the caller gives no deadline.
    pub timeout_ms: DurationMs,
    /// The share of recent requests that may be sent again.
    pub retry_budget: Percent,
    /// What an isolated daemon does with the service.
    pub when_isolated: IsolationPolicy,
}

impl Default for ServiceRow {
    fn default() -> Self {
        Self {
            floor: TargetCount(1),
            class: TrafficClass::Normal,
            detection: DetectionPolicy::false_ejection_first(),
            queue_limit: 64,
            queue_wait_ms: DurationMs(1_000),
            timeout_ms: DurationMs(10_000),
            retry_budget: Percent::TEN,
            when_isolated: IsolationPolicy::Refuse,
        }
    }
}

/// A target: one back end of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRow {
    /// The service that the target belongs to.
    pub service: ServiceName,
    /// The address that daemons connect to.
    pub address: SocketAddr,
    /// The failure domain of the target's host.
    pub failure_domain: FailureDomain,
    /// The number of requests that the target runs at once; at least 1.
    pub slots: SlotCount,
    /// The number of connections that the target takes from the whole fleet.
    pub max_connections: u32,
    /// Whether the target receives work.
    pub state: TargetState,
}

/// A route: which requests go to which service.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRow {
    /// The service that runs the requests.
    pub service: ServiceName,
    /// The path prefix, beginning with `/`; matched by whole segments.
    pub path_prefix: Box<str>,
    /// The host name in the request, any if absent; in lower case.
    pub host: Option<Box<str>>,
    /// The methods, any if empty; in upper case.
    pub methods: Vec<Box<str>>,
    /// How the route decides whether a request is idempotent.
    pub idempotence: Idempotence,
    /// Whether a non-idempotent request needs an idempotency key.
    pub require_key: bool,
    /// The tenants that the route serves, any known tenant if empty.
    pub tenants: Vec<TenantName>,
}

/// A tenant: an organisation whose callers send requests.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantRow {
    /// The best class that the tenant's requests get.
    pub class: TrafficClass,
    /// The rate of requests that one daemon takes from the tenant.
    pub rate_per_s: RequestsPerSecond,
    /// The number of requests that may arrive at once above the rate.
    pub burst: u32,
}

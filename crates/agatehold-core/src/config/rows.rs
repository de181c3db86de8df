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

/// A service: a group of targets that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRow {
    /// The minimum number of healthy targets; ejections never leave fewer.
    ///
    /// At most the number of the service's serving targets when a note is
    /// released.
    pub floor: TargetCount,
    /// The traffic class of the service's requests.
    pub class: TrafficClass,
    /// The accepted error probabilities of the failure detector.
    pub detection: DetectionPolicy,
    /// The maximum number of requests that wait for a slot in one daemon.
    pub queue_limit: u32,
    /// The longest time that a request waits for a slot.
    pub queue_wait_ms: DurationMs,
    /// The timeout of a request for which the caller gives no deadline.
    pub timeout_ms: DurationMs,
    /// The retry budget, as a percentage of recent requests.
    pub retry_budget: Percent,
    /// How an isolated daemon handles the service's requests.
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

/// A target: one backend instance of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRow {
    /// The service that the target belongs to.
    pub service: ServiceName,
    /// The address that daemons connect to.
    pub address: SocketAddr,
    /// The failure domain of the target's host.
    pub failure_domain: FailureDomain,
    /// The maximum number of concurrent requests on the target; at least 1.
    pub slots: SlotCount,
    /// The maximum number of connections that the target accepts from the whole
    /// fleet.
    pub max_connections: u32,
    /// Whether the target receives requests.
    pub state: TargetState,
}

/// A route: the criteria for requests that are forwarded to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRow {
    /// The service that the requests are forwarded to.
    pub service: ServiceName,
    /// The path prefix, which begins with `/`; only whole path segments match.
    pub path_prefix: Box<str>,
    /// The host name of the request in lower case; `None` matches any.
    pub host: Option<Box<str>>,
    /// The request methods in upper case; an empty list matches any.
    pub methods: Vec<Box<str>>,
    /// How the route decides whether a request is idempotent.
    pub idempotence: Idempotence,
    /// Whether a non-idempotent request needs an idempotency key.
    pub require_key: bool,
    /// The tenants that may use the route; an empty list admits any known tenant.
    pub tenants: Vec<TenantName>,
}

/// A tenant: an organisation whose callers send requests.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantRow {
    /// The highest traffic class that the tenant's requests can get.
    pub class: TrafficClass,
    /// The refill rate of the tenant's token bucket in each daemon.
    pub rate_per_s: RequestsPerSecond,
    /// The capacity of the tenant's token bucket, in requests.
    pub burst: u32,
}

//! The types of a versioned configuration.

use std::collections::HashMap;

use crate::ids::ServiceName;
use crate::tenants::TenantTable;
use crate::units::ByteCount;
use crate::units::DurationMs;

use super::ConfigVersion;

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other weights of the route.
    pub weight: u32,
}

/// A route: which requests go to which services, and by which rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatalogRoute {
    /// The route's name.
    pub name: Box<str>,
    /// The host name in the request, in lower case.
    pub host: Box<str>,
    /// The path prefix; begins and ends with `/`.
    pub prefix: Box<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The maximum time that a caller waits for the answer.
    pub timeout_ms: DurationMs,
    /// The latency objective: an answer that arrives later is worth less to the
    /// caller.
    pub objective_ms: DurationMs,
    /// The maximum number of targets to which one request is sent; at least 1.
    pub attempts_max: u32,
    /// The priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no key although the configuration has tenants.
    pub public_access: bool,
    /// The services that run the requests; at least one, weights above 0.
    pub services: Vec<WeightedService>,
}

/// A service of a versioned configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatalogService {
    /// The service's name.
    pub name: ServiceName,
    /// The maximum number of connections from the whole fleet to one target.
    pub connections_max: u32,
}

/// Size and time limits for the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request head.
    pub head_bytes: ByteCount,
    /// The maximum size of a request body.
    pub body_bytes: ByteCount,
    /// The maximum time from the first byte of a head to its last.
    pub head_timeout_ms: DurationMs,
    /// The maximum time that a connection may be idle between requests.
    pub idle_timeout_ms: DurationMs,
}

impl Default for CallerLimits {
    /// Returns the limits of a process without a configuration, which refuses
    /// all requests.
    fn default() -> Self {
        Self {
            head_bytes: ByteCount(16_384),
            body_bytes: ByteCount(1_048_576),
            head_timeout_ms: DurationMs(3_000),
            idle_timeout_ms: DurationMs(15_000),
        }
    }
}

/// A complete configuration of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// The version.
    pub version: ConfigVersion,
    /// The routes in the order of the configuration.
    pub routes: Vec<CatalogRoute>,
    /// The services in the order of the configuration.
    pub services: Vec<CatalogService>,
    /// The limits for the requests of callers.
    pub limits: CallerLimits,
    /// The tenants; `None` if requests need no key.
    pub tenants: Option<TenantTable>,
    /// Indexes into `routes` by host name, longest prefix first.
    pub(super) by_host: HashMap<Box<str>, Vec<usize>>,
}

impl Catalog {
    /// Creates a catalog and its index of routes by host name.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<CatalogRoute>,
        services: Vec<CatalogService>,
        limits: CallerLimits,
        tenants: Option<TenantTable>,
    ) -> Self {
        let mut by_host: HashMap<Box<str>, Vec<usize>> = HashMap::new();
        for (position, route) in routes.iter().enumerate() {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(position);
        }
        for positions in by_host.values_mut() {
            positions.sort_by_key(|position| std::cmp::Reverse(routes[*position].prefix.len()));
        }
        Self {
            version,
            routes,
            services,
            limits,
            tenants,
            by_host,
        }
    }
}

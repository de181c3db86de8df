//! Builds the routing table from the current configuration.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use crate::config::ConfigTables;
use crate::config::RouteRow;
use crate::config::ServiceRow;
use crate::config::TargetState;
use crate::config::TenantRow;
use crate::ids::FailureDomain;
use crate::ids::ParseIdError;
use crate::ids::RouteName;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::ids::TenantName;
use crate::note::Head;
use crate::table::Table;
use crate::units::SlotCount;

use super::TargetCell;

macro_rules! index_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);

        impl $name {
            /// Returns the position in the vector of rows.
            pub const fn position(self) -> usize {
                self.0 as usize
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| ParseIdError::Number)
            }
        }
    };
}

index_type! {
    /// The position of a service in one routing table.
    ServiceIndex
}

index_type! {
    /// The position of a target in one routing table.
    TargetIndex
}

/// A service in the routing table.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// The service's name.
    pub name: ServiceName,
    /// The service's policy.
    pub policy: ServiceRow,
    /// The service's targets in order of their names.
    pub targets: Vec<TargetIndex>,
}

/// A target in the routing table.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// The target's name.
    pub name: TargetName,
    /// The service that the target belongs to.
    pub service: ServiceIndex,
    /// The address to connect to.
    pub address: SocketAddr,
    /// The failure domain of the target's host.
    pub failure_domain: FailureDomain,
    /// The number of requests that the target runs concurrently.
    pub slots: SlotCount,
    /// The number of connections that the target accepts from the whole fleet.
    pub max_connections: u32,
    /// Whether a release note marks the target as leaving.
    pub withdrawn: bool,
    /// The live state, shared by all routing tables that contain this target.
    pub cell: Arc<TargetCell>,
}

/// A route in the routing table.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// The route's name.
    pub name: RouteName,
    /// The service that the requests are sent to.
    pub service: ServiceIndex,
    /// The route's match conditions and policy.
    pub row: RouteRow,
}

/// The parts of the current configuration that traffic threads need.
///
/// A new table is built for each release note and is immutable. State that
/// changes between notes is in the targets' cells.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// The release note that the table was built from.
    pub head: Head,
    /// Services in order of their names.
    pub services: Vec<ServiceEntry>,
    /// Targets in order of their names.
    pub targets: Vec<TargetEntry>,
    /// Routes in order of their names.
    pub routes: Vec<RouteEntry>,
    /// Tenants by name.
    pub tenants: Arc<HashMap<TenantName, TenantRow>>,
    /// Positions in `routes`, by path prefix without a trailing slash.
    pub(super) routes_by_prefix: HashMap<Box<str>, Vec<usize>>,
}

/// Builds the routing table of `config`.
///
/// `cells` holds the live state of each target, which is kept from one table to
/// the next. Cells of targets that are no longer configured are dropped from it.
pub fn build(
    head: Head,
    config: &ConfigTables,
    cells: &mut Table<TargetName, Arc<TargetCell>>,
) -> RoutingTable {
    let mut positions: BTreeMap<&ServiceName, ServiceIndex> = BTreeMap::new();
    let mut services = Vec::with_capacity(config.services.len());
    for (name, row) in config.services.rows() {
        positions.insert(name, ServiceIndex(index_of(services.len())));
        services.push(ServiceEntry {
            name: name.clone(),
            policy: row.clone(),
            targets: Vec::new(),
        });
    }

    cells.retain(|name, _| config.targets.contains(name));
    let mut targets = Vec::with_capacity(config.targets.len());
    for (name, row) in config.targets.rows() {
        let Some(service) = positions.get(&row.service).copied() else {
            continue;
        };
        let index = TargetIndex(index_of(targets.len()));
        services[service.position()].targets.push(index);
        targets.push(TargetEntry {
            name: name.clone(),
            service,
            address: row.address,
            failure_domain: row.failure_domain.clone(),
            slots: row.slots,
            max_connections: row.max_connections,
            withdrawn: row.state == TargetState::Leaving,
            cell: Arc::clone(cells.get_or_insert(name.clone(), Default::default)),
        });
    }

    let mut routes = Vec::with_capacity(config.routes.len());
    let mut routes_by_prefix: HashMap<Box<str>, Vec<usize>> = HashMap::new();
    for (name, row) in config.routes.rows() {
        let Some(service) = positions.get(&row.service).copied() else {
            continue;
        };
        let prefix = row.path_prefix.trim_end_matches('/');
        routes_by_prefix
            .entry(prefix.into())
            .or_default()
            .push(routes.len());
        routes.push(RouteEntry {
            name: name.clone(),
            service,
            row: row.clone(),
        });
    }

    let tenants = config
        .tenants
        .rows()
        .map(|(name, row)| (name.clone(), row.clone()))
        .collect();
    RoutingTable {
        head,
        services,
        targets,
        routes,
        tenants: Arc::new(tenants),
        routes_by_prefix,
    }
}

/// Converts a position in a vector to the number in a [`ServiceIndex`] or
/// [`TargetIndex`].
fn index_of(position: usize) -> u32 {
    u32::try_from(position).unwrap_or(u32::MAX)
}

//! The configuration in force: services, targets, routes and tenants.

mod digest;
mod policy;
mod rows;

pub use digest::config_digest;
pub use policy::DetectionPolicy;
pub use policy::Idempotence;
pub use policy::IsolationPolicy;
pub use policy::ParsePolicyError;
pub use policy::TargetState;
pub use policy::TrafficClass;
pub use rows::RouteRow;
pub use rows::ServiceRow;
pub use rows::TargetRow;
pub use rows::TenantRow;

use crate::ids::RouteName;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::ids::TenantName;
use crate::table::Table;

/// The tables that release notes change.
///
/// Every service or tenant that a row refers to exists in its table;
/// `note::apply` checks this before it returns new tables.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigTables {
    /// Services by name.
    pub services: Table<ServiceName, ServiceRow>,
    /// Targets by name.
    pub targets: Table<TargetName, TargetRow>,
    /// Routes by name.
    pub routes: Table<RouteName, RouteRow>,
    /// Tenants by name.
    pub tenants: Table<TenantName, TenantRow>,
}

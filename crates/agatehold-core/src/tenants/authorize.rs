//! Decides whose request it is and whether its key allows it.

use crate::catalog::Catalog;
use crate::catalog::CatalogRoute;

use super::KeyDigest;
use super::TenantRow;

/// What a request's key allows under one configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Access<'a> {
    /// The configuration has no tenants; keys have no meaning.
    NoTenants,
    /// The route is open to everybody.
    Public,
    /// The key belongs to this tenant.
    Tenant(&'a TenantRow),
    /// The key is missing, or no tenant holds it.
    UnknownKey,
}

/// Returns what a request on `route` with the key `key` may do under a configuration.
pub fn authorize<'a>(
    catalog: &'a Catalog,
    route: &CatalogRoute,
    key: Option<&KeyDigest>,
) -> Access<'a> {
    let Some(tenants) = &catalog.tenants else {
        return Access::NoTenants;
    };
    if route.public_access {
        return Access::Public;
    }
    match key.and_then(|key| tenants.by_key(key)) {
        Some(row) => Access::Tenant(row),
        None => Access::UnknownKey,
    }
}

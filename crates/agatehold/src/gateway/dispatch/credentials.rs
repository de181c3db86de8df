//! What a request's API key allows, and what targets are told of its tenant.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use agatehold_core::catalog::Catalog;
use agatehold_core::catalog::CatalogRoute;
use agatehold_core::ids::TenantName;
use agatehold_core::ids::is_header_text;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::tenants::Access;
use agatehold_core::tenants::KeyDigest;
use agatehold_core::tenants::TenantRow;
use agatehold_core::tenants::authorize;
use agatehold_platform::parse_api_key;
use agatehold_platform::request_headers;
use agatehold_platform::target_headers;

/// What a request's key allows.
#[derive(Clone, Debug)]
pub(in crate::gateway) enum Credentials {
    /// The configuration has no tenants; the headers of keys and tenants are forwarded
    /// as any other.
    NoTenants,
    /// The route needs no key.
    Public,
    /// The key belongs to this tenant.
    Tenant {
        /// The tenant.
        name: TenantName,
        /// The name that targets are told.
        told: HeaderValue,
    },
}

impl Credentials {
    /// Decides what the key of a request on `route` allows; the tenant's row is returned
    /// beside it if the key belongs to one. Fails with the refusal of a key that is
    /// missing or unknown.
    pub(in crate::gateway) fn of_request<'a>(
        catalog: &'a Catalog,
        route: &CatalogRoute,
        headers: &HeaderMap,
    ) -> Result<(Self, Option<&'a TenantRow>), RefusalKind> {
        let key = sent_key(headers);
        match authorize(catalog, route, key.as_ref()) {
            Access::NoTenants => Ok((Self::NoTenants, None)),
            Access::Public => Ok((Self::Public, None)),
            Access::Tenant(row) => {
                let (name, told) = (row.name.clone(), told_name(row)?);
                Ok((Self::Tenant { name, told }, Some(row)))
            }
            Access::UnknownKey => Err(RefusalKind::UnknownKey),
        }
    }

    /// Returns the tenant of the request.
    pub(in crate::gateway) const fn tenant(&self) -> Option<&TenantName> {
        match self {
            Self::Tenant { name, .. } => Some(name),
            Self::NoTenants | Self::Public => None,
        }
    }

    /// Removes the caller's key and sets the tenant in the headers of a request to a
    /// target.
    pub(super) fn apply_to(&self, fields: &mut HeaderMap) {
        if matches!(self, Self::NoTenants) {
            return;
        }
        fields.remove(request_headers::API_KEY);
        fields.remove(target_headers::TENANT);
        if let Self::Tenant { told, .. } = self {
            fields.insert(
                HeaderName::from_static(target_headers::TENANT),
                told.clone(),
            );
        }
    }
}

/// Returns the header value by which targets are told a tenant's name. Fails with
/// `EntryUnusable` if no header can hold it: a target would take the request for one of
/// another tenant.
fn told_name(row: &TenantRow) -> Result<HeaderValue, RefusalKind> {
    let name = row.told_name();
    let value = HeaderValue::from_bytes(name.as_bytes()).ok();
    value
        .filter(|_| is_header_text(name))
        .ok_or(RefusalKind::EntryUnusable)
}

/// Returns the hash of the key that a request carries; `None` if it carries none, or
/// more than one, of which a target might take another one than this daemon.
fn sent_key(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut values = headers.get_all(request_headers::API_KEY).iter();
    let (value, None) = (values.next()?, values.next()) else {
        return None;
    };
    parse_api_key(value.as_bytes()).map(KeyDigest::of)
}

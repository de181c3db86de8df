//! Routes a request and determines the rules that apply to it, before anything
//! is sent.

use std::rc::Rc;
use std::sync::Arc;

use agatehold_core::config::IsolationPolicy;
use agatehold_core::config::RouteRow;
use agatehold_core::config::TenantRow;
use agatehold_core::config::TrafficClass;
use agatehold_core::ids::Digest;
use agatehold_core::ids::TenantName;
use agatehold_core::limits::effective_class;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::routing::RouteEntry;
use agatehold_core::routing::ServiceEntry;
use agatehold_core::routing::ServiceIndex;
use agatehold_core::routing::is_idempotent;
use agatehold_core::routing::match_route;
use agatehold_core::units::TimeMs;

use crate::shared::Phase;
use crate::shared::PublishedRouting;

use super::ThreadState;
use super::refusal::Refusal;
use super::request_reader::Arrival;

/// The service to which a request is routed and the rules that apply to it.
pub(crate) struct Plan {
    /// The published state with which the request is served.
    pub(crate) published: Arc<PublishedRouting>,
    /// The service.
    pub(crate) service: ServiceIndex,
    /// The tenant.
    pub(crate) tenant: TenantName,
    /// The tenant's policy.
    pub(crate) tenant_row: TenantRow,
    /// The traffic class, which depends on the service and the tenant.
    pub(crate) class: TrafficClass,
    /// The time by which the request must be answered.
    pub(crate) deadline: TimeMs,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// Identifies the request in crash marks, also when it is sent again.
    pub(crate) fingerprint: Digest,
    /// The maximum size of an answer that is buffered completely before it is
    /// passed on.
    pub(crate) answer_bytes: usize,
    requires_key: bool,
}

impl Plan {
    /// Returns the service's entry in the routing table.
    pub(crate) fn service_entry(&self) -> &ServiceEntry {
        &self.published.table.services[self.service.position()]
    }

    /// Returns whether the route requires a key for non-idempotent requests.
    pub(crate) const fn requires_key(&self) -> bool {
        self.requires_key
    }
}

/// Checks a request against the current configuration and routes it.
pub(crate) fn plan_request(state: &Rc<ThreadState>, arrival: &Arrival) -> Result<Plan, Refusal> {
    let phase = state.shared.phase();
    if phase == Phase::Starting {
        return Err(Refusal::new(RefusalKind::Starting));
    }
    plan_in_phase(state, arrival, phase).map_err(|refusal| {
        let depends_on_note = match refusal.kind {
            RefusalKind::UnknownRoute | RefusalKind::TenantNotAllowed => true,
            RefusalKind::UnknownTenant => arrival.tenant.is_some(),
            _ => false,
        };
        if phase == Phase::Isolated && depends_on_note {
            // A newer configuration may allow the request.
            return Refusal::new(RefusalKind::Isolated);
        }
        refusal
    })
}

fn plan_in_phase(
    state: &Rc<ThreadState>,
    arrival: &Arrival,
    phase: Phase,
) -> Result<Plan, Refusal> {
    let published = state.shared.published.load_full();
    let table = &published.table;
    let method = arrival.method.as_str();
    let route = match_route(table, &arrival.host, arrival.path(), method)
        .ok_or_else(|| Refusal::new(RefusalKind::UnknownRoute))?;
    let tenant = arrival
        .tenant
        .clone()
        .ok_or_else(|| Refusal::new(RefusalKind::UnknownTenant))?;
    let tenant_row = table
        .tenants
        .get(&tenant)
        .cloned()
        .ok_or_else(|| Refusal::new(RefusalKind::UnknownTenant))?;
    if !serves_tenant(&route.row, &tenant) {
        return Err(Refusal::new(RefusalKind::TenantNotAllowed));
    }
    let policy = &table.services[route.service.position()].policy;
    let idempotent = is_idempotent(&route.row, method, arrival.marked_non_idempotent);
    let refuses = policy.when_isolated == IsolationPolicy::Refuse || !idempotent;
    if phase == Phase::Isolated && refuses {
        let mut refusal = Refusal::new(RefusalKind::Isolated);
        refusal.service = Some(table.services[route.service.position()].name.clone());
        return Err(refusal);
    }
    let timeout_ms = arrival
        .timeout_ms
        .unwrap_or(policy.timeout_ms)
        .min(policy.timeout_ms);
    let limits = &state.shared.settings.limits;
    Ok(Plan {
        service: route.service,
        class: effective_class(policy, &tenant_row),
        deadline: state.shared.clock.now() + timeout_ms,
        idempotent,
        fingerprint: hash_fingerprint(route, arrival),
        answer_bytes: usize::try_from(limits.answer_bytes.0).unwrap_or(usize::MAX),
        requires_key: route.row.require_key,
        tenant,
        tenant_row,
        published: Arc::clone(&published),
    })
}

fn serves_tenant(row: &RouteRow, tenant: &TenantName) -> bool {
    row.tenants.is_empty() || row.tenants.contains(tenant)
}

/// Returns the hash that identifies a request also when it is sent again. It
/// covers the route, the method and the key; for a request without a key, the
/// path and body instead of the key.
fn hash_fingerprint(route: &RouteEntry, arrival: &Arrival) -> Digest {
    let route_name = route.name.as_str().as_bytes();
    let method = arrival.method.as_str().as_bytes();
    match &arrival.key {
        Some(key) => Digest::of_parts(&[route_name, method, b"key", key.as_bytes()]),
        None => Digest::of_parts(&[
            route_name,
            method,
            arrival.path_and_query.as_bytes(),
            &arrival.body,
        ]),
    }
}

//! Metrics by tenant and by class, in deployments that have tenants.

use std::time::Duration;

use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TenantName;

use super::shared::View;

/// The most tenants that have a label of their own. With more, all are counted as
/// `other`: each series takes memory here and where metrics are collected.
const LABELLED_TENANTS_MAX: usize = 128;

/// Records how long a request waited for a slot, and nothing without tenants in the
/// configuration.
pub(super) fn record_wait(view: &View, service: &ServiceName, priority: u8, waited: Duration) {
    if !view.has_tenants() {
        return;
    }
    let class = match priority {
        0 => "urgent",
        1 => "normal",
        _ => "batch",
    };
    metrics::histogram!("agatehold_queue_wait_seconds",
        "service" => service.to_string(), "class" => class)
    .record(waited.as_secs_f64());
}

/// Counts the refusal of a request of a tenant.
pub(super) fn count_refusal(view: &View, tenant: Option<&TenantName>) {
    let Some(tenant) = tenant else {
        return;
    };
    let label = tenant_label(view, tenant);
    metrics::counter!("agatehold_tenant_refusals_total", "tenant" => label).increment(1);
}

/// Returns the label of a tenant. Tenants that a later configuration has removed count as
/// `other`, so that the number of labels stays bounded by the configuration.
fn tenant_label(view: &View, tenant: &TenantName) -> String {
    let tenants = view
        .catalog
        .as_ref()
        .and_then(|catalog| catalog.tenants.as_ref());
    let is_labelled = tenants.is_some_and(|tenants| {
        tenants.len() <= LABELLED_TENANTS_MAX
            && tenants.rows().iter().any(|row| row.name == *tenant)
    });
    if is_labelled {
        return tenant.to_string();
    }
    "other".to_owned()
}

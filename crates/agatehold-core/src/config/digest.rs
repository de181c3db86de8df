//! The hash of the whole configuration.

use crate::ids::Digest;

use super::ConfigTables;
use super::RouteRow;
use super::ServiceRow;
use super::TargetRow;
use super::TenantRow;

/// Returns the hash of all rows in key order.
///
/// Release notes contain this hash, so that a daemon that loads a snapshot can
/// verify that it is the configuration that was released.
pub fn config_digest(config: &ConfigTables) -> Digest {
    let mut fields: Vec<String> = Vec::new();
    for (name, row) in config.services.rows() {
        fields.push(format!("service {name}"));
        push_service(&mut fields, row);
    }
    for (name, row) in config.targets.rows() {
        fields.push(format!("target {name}"));
        push_target(&mut fields, row);
    }
    for (name, row) in config.routes.rows() {
        fields.push(format!("route {name}"));
        push_route(&mut fields, row);
    }
    for (name, row) in config.tenants.rows() {
        fields.push(format!("tenant {name}"));
        push_tenant(&mut fields, row);
    }
    let parts: Vec<&[u8]> = fields.iter().map(|field| field.as_bytes()).collect();
    Digest::of_parts(&parts)
}

fn push_service(fields: &mut Vec<String>, row: &ServiceRow) {
    fields.push(row.floor.to_string());
    fields.push(row.class.to_string());
    fields.push(row.detection.max_false_ejection.to_string());
    fields.push(row.detection.max_missed.to_string());
    fields.push(row.queue_limit.to_string());
    fields.push(row.queue_wait_ms.to_string());
    fields.push(row.timeout_ms.to_string());
    fields.push(row.retry_budget.to_string());
    fields.push(row.when_isolated.to_string());
}

fn push_target(fields: &mut Vec<String>, row: &TargetRow) {
    fields.push(row.service.to_string());
    fields.push(row.address.to_string());
    fields.push(row.failure_domain.to_string());
    fields.push(row.slots.to_string());
    fields.push(row.max_connections.to_string());
    fields.push(row.state.to_string());
}

fn push_route(fields: &mut Vec<String>, row: &RouteRow) {
    fields.push(row.service.to_string());
    fields.push(row.path_prefix.to_string());
    fields.push(row.host.as_deref().unwrap_or("").to_owned());
    fields.push(row.methods.join(","));
    fields.push(row.idempotence.to_string());
    fields.push(row.require_key.to_string());
    fields.push(row.tenants.len().to_string());
    for tenant in &row.tenants {
        fields.push(tenant.to_string());
    }
}

fn push_tenant(fields: &mut Vec<String>, row: &TenantRow) {
    fields.push(row.class.to_string());
    fields.push(row.rate_per_s.to_string());
    fields.push(row.burst.to_string());
}

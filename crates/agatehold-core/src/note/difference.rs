//! Computes the release note that turns one configuration into another.

use crate::config::ConfigTables;
use crate::config::RouteRow;
use crate::config::ServiceRow;
use crate::config::TargetRow;
use crate::config::TenantRow;
use crate::table::Table;

use super::Note;
use super::NoteChange;
use super::PutAction;
use super::RoutePatch;
use super::ServicePatch;
use super::TargetPatch;
use super::TenantPatch;

/// Returns a note with the changes that turn `old` into `new`.
///
/// The patch of a changed row sets only the fields that differ. The author and
/// the comment are empty.
pub fn difference(old: &ConfigTables, new: &ConfigTables) -> Note {
    let mut changes = Vec::new();
    push_changes(
        &old.services,
        &new.services,
        &mut changes,
        |name, action, before, after| {
            NoteChange::PutService(name, action, service_patch(before, after))
        },
        NoteChange::WithdrawService,
    );
    push_changes(
        &old.targets,
        &new.targets,
        &mut changes,
        |name, action, before, after| {
            NoteChange::PutTarget(name, action, target_patch(before, after))
        },
        NoteChange::WithdrawTarget,
    );
    push_changes(
        &old.routes,
        &new.routes,
        &mut changes,
        |name, action, before, after| {
            NoteChange::PutRoute(name, action, route_patch(before, after))
        },
        NoteChange::WithdrawRoute,
    );
    push_changes(
        &old.tenants,
        &new.tenants,
        &mut changes,
        |name, action, before, after| {
            NoteChange::PutTenant(name, action, tenant_patch(before, after))
        },
        NoteChange::WithdrawTenant,
    );
    Note {
        author: "".into(),
        comment: "".into(),
        changes,
    }
}

fn push_changes<K: Ord + Clone, R: PartialEq>(
    old: &Table<K, R>,
    new: &Table<K, R>,
    changes: &mut Vec<NoteChange>,
    put: impl Fn(K, PutAction, Option<&R>, &R) -> NoteChange,
    withdraw: impl Fn(K) -> NoteChange,
) {
    for (name, after) in new.rows() {
        let before = old.get(name);
        if before == Some(after) {
            continue;
        }
        let action = match before {
            Some(_) => PutAction::Change,
            None => PutAction::Add,
        };
        changes.push(put(name.clone(), action, before, after));
    }
    for name in old.keys() {
        if !new.contains(name) {
            changes.push(withdraw(name.clone()));
        }
    }
}

/// Returns the value that `field` reads from `after`, or `None` if `before` has
/// the same value.
fn changed<R, T: PartialEq>(before: Option<&R>, after: &R, field: impl Fn(&R) -> T) -> Option<T> {
    let value = field(after);
    if before.is_some_and(|before| field(before) == value) {
        return None;
    }
    Some(value)
}

fn service_patch(before: Option<&ServiceRow>, after: &ServiceRow) -> ServicePatch {
    ServicePatch {
        floor: changed(before, after, |row| row.floor),
        class: changed(before, after, |row| row.class),
        detection: changed(before, after, |row| row.detection),
        queue_limit: changed(before, after, |row| row.queue_limit),
        queue_wait_ms: changed(before, after, |row| row.queue_wait_ms),
        timeout_ms: changed(before, after, |row| row.timeout_ms),
        retry_budget: changed(before, after, |row| row.retry_budget),
        when_isolated: changed(before, after, |row| row.when_isolated),
    }
}

fn target_patch(before: Option<&TargetRow>, after: &TargetRow) -> TargetPatch {
    TargetPatch {
        service: changed(before, after, |row| row.service.clone()),
        address: changed(before, after, |row| row.address),
        failure_domain: changed(before, after, |row| row.failure_domain.clone()),
        slots: changed(before, after, |row| row.slots),
        max_connections: changed(before, after, |row| row.max_connections),
        state: changed(before, after, |row| row.state),
    }
}

fn route_patch(before: Option<&RouteRow>, after: &RouteRow) -> RoutePatch {
    RoutePatch {
        service: changed(before, after, |row| row.service.clone()),
        path_prefix: changed(before, after, |row| row.path_prefix.clone()),
        host: changed(before, after, |row| row.host.clone().unwrap_or_default()),
        methods: changed(before, after, |row| row.methods.clone()),
        idempotence: changed(before, after, |row| row.idempotence),
        require_key: changed(before, after, |row| row.require_key),
        tenants: changed(before, after, |row| row.tenants.clone()),
    }
}

fn tenant_patch(before: Option<&TenantRow>, after: &TenantRow) -> TenantPatch {
    TenantPatch {
        class: changed(before, after, |row| row.class),
        rate_per_s: changed(before, after, |row| row.rate_per_s),
        burst: changed(before, after, |row| row.burst),
    }
}

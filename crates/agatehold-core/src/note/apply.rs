//! Applies a release note to the configuration tables.

use std::collections::BTreeSet;

use quick_error::quick_error;

use crate::config::ConfigTables;
use crate::config::Idempotence;
use crate::config::RouteRow;
use crate::config::ServiceRow;
use crate::config::TargetRow;
use crate::config::TargetState;
use crate::config::TenantRow;
use crate::config::TrafficClass;
use crate::ids::ServiceName;
use crate::table::Table;
use crate::units::RequestsPerSecond;
use crate::units::SlotCount;

use super::EntityRef;
use super::Note;
use super::NoteChange;
use super::PutAction;
use super::RoutePatch;
use super::ServicePatch;
use super::TargetPatch;
use super::TenantPatch;

/// The connection limit of a target for which no note sets one.
const DEFAULT_MAX_CONNECTIONS: u32 = 350;

/// The burst of a tenant for which no note sets one.
const DEFAULT_TENANT_BURST: u32 = 100;

quick_error! {
    /// Why a note can't be applied.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ApplyError {
        /// An entity to add already exists.
        Exists(entity: EntityRef) {
            display("{} already exists; use action = change to modify it", entity)
        }
        /// An entity to change or withdraw does not exist.
        Missing(entity: EntityRef) {
            display("{} does not exist", entity)
        }
        /// A note changes an entity more than once.
        Duplicate(entity: EntityRef) {
            display("{} appears more than once in the note", entity)
        }
        /// A required field of a new entity is missing.
        FieldMissing(entity: EntityRef, key: &'static str) {
            display("{}: the required key {} is missing", entity, key)
        }
        /// A field has an invalid value.
        FieldInvalid(entity: EntityRef, key: &'static str, expected: &'static str) {
            display("{}: the key {} is invalid: expected {}", entity, key, expected)
        }
        /// A row refers to an entity that does not exist.
        DanglingReference(entity: EntityRef, key: &'static str, missing: EntityRef) {
            display("{}: the key {} names {}, which does not exist", entity, key, missing)
        }
        /// The floor of a service is above the number of its serving targets.
        FloorTooHigh(entity: EntityRef, floor: u32, targets: u32) {
            display("{}: floor = {} is above its {} serving targets", entity, floor, targets)
        }
        /// A service has no targets.
        EmptyService(entity: EntityRef) {
            display("{} has no targets", entity)
        }
    }
}

impl ApplyError {
    /// Returns the entity that the error concerns.
    pub fn entity(&self) -> &EntityRef {
        match self {
            Self::Exists(entity)
            | Self::Missing(entity)
            | Self::Duplicate(entity)
            | Self::FieldMissing(entity, _)
            | Self::FieldInvalid(entity, _, _)
            | Self::DanglingReference(entity, _, _)
            | Self::FloorTooHigh(entity, _, _)
            | Self::EmptyService(entity) => entity,
        }
    }

    /// Returns the key that the error concerns, if any.
    pub fn key(&self) -> Option<&'static str> {
        match self {
            Self::FieldMissing(_, key)
            | Self::FieldInvalid(_, key, _)
            | Self::DanglingReference(_, key, _) => Some(key),
            Self::FloorTooHigh(_, _, _) => Some("floor"),
            Self::Exists(_) | Self::Missing(_) | Self::Duplicate(_) | Self::EmptyService(_) => None,
        }
    }
}

/// Returns the configuration with `note` applied, or all reasons why it can't be
/// applied.
pub fn apply(config: &ConfigTables, note: &Note) -> Result<ConfigTables, Vec<ApplyError>> {
    let mut next = config.clone();
    let mut errors = apply_changes(&mut next, note);
    check_references(&next, &mut errors);
    check_services(&next, &mut errors);
    if errors.is_empty() {
        return Ok(next);
    }
    Err(errors)
}

/// Applies an accepted note to `config` in place.
///
/// References between rows and the floors are not checked, because this takes
/// time in proportion to the whole configuration. The caller verifies the result
/// by the configuration's hash in the note's header. After an error, `config`
/// contains only some of the changes.
pub fn replay(config: &mut ConfigTables, note: &Note) -> Result<(), Vec<ApplyError>> {
    let errors = apply_changes(config, note);
    if errors.is_empty() {
        return Ok(());
    }
    Err(errors)
}

fn apply_changes(config: &mut ConfigTables, note: &Note) -> Vec<ApplyError> {
    let mut errors = Vec::new();
    let mut seen = BTreeSet::new();
    for change in &note.changes {
        let entity = change.entity();
        if seen.contains(&entity) {
            errors.push(ApplyError::Duplicate(entity));
            continue;
        }
        if let Err(error) = apply_change(config, change, &entity) {
            errors.push(error);
        }
        seen.insert(entity);
    }
    errors
}

fn apply_change(
    config: &mut ConfigTables,
    change: &NoteChange,
    entity: &EntityRef,
) -> Result<(), ApplyError> {
    match change {
        NoteChange::PutService(name, action, patch) => {
            put(&mut config.services, name, *action, entity, |old| {
                Ok(patched_service(old, patch))
            })
        }
        NoteChange::PutTarget(name, action, patch) => {
            put(&mut config.targets, name, *action, entity, |old| {
                patched_target(old, patch, entity)
            })
        }
        NoteChange::PutRoute(name, action, patch) => {
            put(&mut config.routes, name, *action, entity, |old| {
                patched_route(old, patch, entity)
            })
        }
        NoteChange::PutTenant(name, action, patch) => {
            put(&mut config.tenants, name, *action, entity, |old| {
                patched_tenant(old, patch, entity)
            })
        }
        NoteChange::WithdrawService(name) => withdraw(&mut config.services, name, entity),
        NoteChange::WithdrawTarget(name) => withdraw(&mut config.targets, name, entity),
        NoteChange::WithdrawRoute(name) => withdraw(&mut config.routes, name, entity),
        NoteChange::WithdrawTenant(name) => withdraw(&mut config.tenants, name, entity),
    }
}

fn put<K: Ord + Clone, R>(
    table: &mut Table<K, R>,
    name: &K,
    action: PutAction,
    entity: &EntityRef,
    patched: impl FnOnce(Option<&R>) -> Result<R, ApplyError>,
) -> Result<(), ApplyError> {
    let old = table.get(name);
    match (action, old) {
        (PutAction::Add, Some(_)) => return Err(ApplyError::Exists(entity.clone())),
        (PutAction::Change, None) => return Err(ApplyError::Missing(entity.clone())),
        (PutAction::Add, None) | (PutAction::Change, Some(_)) => {}
    }
    let row = patched(old)?;
    table.insert(name.clone(), row);
    Ok(())
}

fn withdraw<K: Ord, R>(
    table: &mut Table<K, R>,
    name: &K,
    entity: &EntityRef,
) -> Result<(), ApplyError> {
    match table.remove(name) {
        Some(_) => Ok(()),
        None => Err(ApplyError::Missing(entity.clone())),
    }
}

fn patched_service(old: Option<&ServiceRow>, patch: &ServicePatch) -> ServiceRow {
    let base = old.cloned().unwrap_or_default();
    ServiceRow {
        floor: patch.floor.unwrap_or(base.floor),
        class: patch.class.unwrap_or(base.class),
        detection: patch.detection.unwrap_or(base.detection),
        queue_limit: patch.queue_limit.unwrap_or(base.queue_limit),
        queue_wait_ms: patch.queue_wait_ms.unwrap_or(base.queue_wait_ms),
        timeout_ms: patch.timeout_ms.unwrap_or(base.timeout_ms),
        retry_budget: patch.retry_budget.unwrap_or(base.retry_budget),
        when_isolated: patch.when_isolated.unwrap_or(base.when_isolated),
    }
}

fn patched_target(
    old: Option<&TargetRow>,
    patch: &TargetPatch,
    entity: &EntityRef,
) -> Result<TargetRow, ApplyError> {
    let missing = |key| ApplyError::FieldMissing(entity.clone(), key);
    let service = patch.service.clone().or(old.map(|row| row.service.clone()));
    let domain = patch
        .failure_domain
        .clone()
        .or(old.map(|row| row.failure_domain.clone()));
    let slots = patch.slots.or(old.map(|row| row.slots));
    if slots == Some(SlotCount(0)) {
        let expected = "at least 1 slot";
        return Err(ApplyError::FieldInvalid(entity.clone(), "slots", expected));
    }
    Ok(TargetRow {
        service: service.ok_or_else(|| missing("service"))?,
        address: patch
            .address
            .or(old.map(|row| row.address))
            .ok_or_else(|| missing("address"))?,
        failure_domain: domain.ok_or_else(|| missing("failure_domain"))?,
        slots: slots.ok_or_else(|| missing("slots"))?,
        max_connections: patch
            .max_connections
            .or(old.map(|row| row.max_connections))
            .unwrap_or(DEFAULT_MAX_CONNECTIONS),
        state: patch
            .state
            .or(old.map(|row| row.state))
            .unwrap_or(TargetState::Serving),
    })
}

fn patched_route(
    old: Option<&RouteRow>,
    patch: &RoutePatch,
    entity: &EntityRef,
) -> Result<RouteRow, ApplyError> {
    let missing = |key| ApplyError::FieldMissing(entity.clone(), key);
    let service = patch.service.clone().or(old.map(|row| row.service.clone()));
    let prefix = patch
        .path_prefix
        .clone()
        .or(old.map(|row| row.path_prefix.clone()))
        .ok_or_else(|| missing("path_prefix"))?;
    if !prefix.starts_with('/') {
        let expected = "a path that begins with /";
        return Err(ApplyError::FieldInvalid(
            entity.clone(),
            "path_prefix",
            expected,
        ));
    }
    Ok(RouteRow {
        service: service.ok_or_else(|| missing("service"))?,
        path_prefix: prefix,
        host: match &patch.host {
            Some(host) if host.is_empty() => None,
            Some(host) => Some(host.clone()),
            None => old.and_then(|row| row.host.clone()),
        },
        methods: patch
            .methods
            .clone()
            .or(old.map(|row| row.methods.clone()))
            .unwrap_or_default(),
        idempotence: patch
            .idempotence
            .or(old.map(|row| row.idempotence))
            .unwrap_or(Idempotence::ByMethod),
        require_key: patch
            .require_key
            .or(old.map(|row| row.require_key))
            .unwrap_or(true),
        tenants: patch
            .tenants
            .clone()
            .or(old.map(|row| row.tenants.clone()))
            .unwrap_or_default(),
    })
}

fn patched_tenant(
    old: Option<&TenantRow>,
    patch: &TenantPatch,
    entity: &EntityRef,
) -> Result<TenantRow, ApplyError> {
    let rate: Option<RequestsPerSecond> = patch.rate_per_s.or(old.map(|row| row.rate_per_s));
    Ok(TenantRow {
        class: patch
            .class
            .or(old.map(|row| row.class))
            .unwrap_or(TrafficClass::Urgent),
        rate_per_s: rate.ok_or_else(|| ApplyError::FieldMissing(entity.clone(), "rate_per_s"))?,
        burst: patch
            .burst
            .or(old.map(|row| row.burst))
            .unwrap_or(DEFAULT_TENANT_BURST),
    })
}

fn check_references(config: &ConfigTables, errors: &mut Vec<ApplyError>) {
    for (name, row) in config.targets.rows() {
        let entity = EntityRef::Target(name.clone());
        check_service(config, &entity, &row.service, errors);
    }
    for (name, row) in config.routes.rows() {
        let entity = EntityRef::Route(name.clone());
        check_service(config, &entity, &row.service, errors);
        for tenant in &row.tenants {
            if config.tenants.contains(tenant) {
                continue;
            }
            let missing = EntityRef::Tenant(tenant.clone());
            errors.push(ApplyError::DanglingReference(
                entity.clone(),
                "tenants",
                missing,
            ));
        }
    }
}

fn check_service(
    config: &ConfigTables,
    entity: &EntityRef,
    service: &ServiceName,
    errors: &mut Vec<ApplyError>,
) {
    if config.services.contains(service) {
        return;
    }
    let missing = EntityRef::Service(service.clone());
    errors.push(ApplyError::DanglingReference(
        entity.clone(),
        "service",
        missing,
    ));
}

fn check_services(config: &ConfigTables, errors: &mut Vec<ApplyError>) {
    let mut counts: Table<ServiceName, (u32, u32)> = Table::new();
    for (_, row) in config.targets.rows() {
        let (all, serving) = counts.get_or_insert(row.service.clone(), || (0, 0));
        *all += 1;
        if row.state == TargetState::Serving {
            *serving += 1;
        }
    }
    for (name, row) in config.services.rows() {
        let entity = EntityRef::Service(name.clone());
        let (all, serving) = counts.get(name).copied().unwrap_or((0, 0));
        if all == 0 {
            errors.push(ApplyError::EmptyService(entity));
            continue;
        }
        if row.floor.0 > serving {
            errors.push(ApplyError::FloorTooHigh(entity, row.floor.0, serving));
        }
    }
}

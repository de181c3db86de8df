//! Generates release notes with configurations of a given size.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use agatehold_core::config::ConfigTables;
use agatehold_core::config::Idempotence;
use agatehold_core::config::TargetState;
use agatehold_core::config::TrafficClass;
use agatehold_core::ids::FailureDomain;
use agatehold_core::ids::HostId;
use agatehold_core::ids::RouteName;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TargetName;
use agatehold_core::ids::TenantName;
use agatehold_core::note::Note;
use agatehold_core::note::NoteChange;
use agatehold_core::note::PutAction;
use agatehold_core::note::RoutePatch;
use agatehold_core::note::ServicePatch;
use agatehold_core::note::TargetPatch;
use agatehold_core::note::TenantPatch;
use agatehold_core::units::RequestsPerSecond;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TargetCount;

/// The size of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigSize {
    /// The number of targets of each service.
    pub targets: Vec<u32>,
    /// The number of slots of each target.
    pub slots: u32,
    /// The number of routes.
    pub routes: u32,
    /// The number of tenants.
    pub tenants: u32,
    /// The number of failure domains of the targets.
    pub domains: u32,
}

impl ConfigSize {
    /// Returns the size of the user Certiverde, with the services archive, closures
    /// and certificates.
    pub fn certiverde() -> Self {
        Self {
            targets: vec![8, 20, 6],
            slots: 4,
            routes: 6,
            tenants: 40,
            domains: 3,
        }
    }

    /// Returns `percent` of the design size.
    pub fn of_design(percent: u32) -> Self {
        let services = (340 * percent).div_ceil(100);
        let total_targets = (9_900 * percent).div_ceil(100);
        let mut targets = Vec::new();
        for index in 0..services {
            targets.push(total_targets / services + u32::from(index < total_targets % services));
        }
        Self {
            targets,
            slots: 4,
            routes: (3_800 * percent).div_ceil(100),
            tenants: (63_000 * percent).div_ceil(100),
            domains: 7,
        }
    }
}

/// Returns the name that consists of `prefix` and `number`.
///
/// # Panics
///
/// Panics if that is not a valid name.
pub fn numbered_name<T: std::str::FromStr>(prefix: &str, number: u32) -> T {
    let text = format!("{prefix}-{number:05}");
    match text.parse() {
        Ok(name) => name,
        Err(_) => panic!("{text} is not a valid name"),
    }
}

/// Returns the ID of host `number`.
pub fn host(number: u32) -> HostId {
    numbered_name("entry", number)
}

/// Returns failure domain `number`.
pub fn domain(number: u32) -> FailureDomain {
    numbered_name("domain", number)
}

/// Returns the address of host `number` with `port`.
pub fn address(number: u32, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::from(0x0a00_0000 + number);
    SocketAddr::from((ip, port))
}

/// Returns a note that adds a generated configuration of `size`.
pub fn base_note(size: &ConfigSize) -> Note {
    let mut changes = Vec::new();
    let mut target = 0;
    for (index, count) in (0..).zip(&size.targets) {
        let service: ServiceName = numbered_name("service", index);
        let patch = ServicePatch {
            floor: Some(TargetCount(count / 2)),
            ..ServicePatch::default()
        };
        changes.push(NoteChange::PutService(
            service.clone(),
            PutAction::Add,
            patch,
        ));
        for _ in 0..*count {
            let patch = TargetPatch {
                service: Some(service.clone()),
                address: Some(address(0x10_0000 + target, 8080)),
                failure_domain: Some(domain(target % size.domains)),
                slots: Some(SlotCount(size.slots)),
                max_connections: Some(400),
                state: Some(TargetState::Serving),
            };
            let target_name: TargetName = numbered_name("target", target);
            changes.push(NoteChange::PutTarget(target_name, PutAction::Add, patch));
            target += 1;
        }
    }
    let services = u32::try_from(size.targets.len()).unwrap_or(u32::MAX);
    for index in 0..size.routes {
        let route: RouteName = numbered_name("route", index);
        let patch = RoutePatch {
            service: Some(numbered_name("service", index % services)),
            path_prefix: Some(format!("/route/{index}").into()),
            idempotence: Some(Idempotence::ByMethod),
            ..RoutePatch::default()
        };
        changes.push(NoteChange::PutRoute(route, PutAction::Add, patch));
    }
    for index in 0..size.tenants {
        changes.push(tenant_change(index, PutAction::Add, 100));
    }
    Note {
        author: "measure".into(),
        comment: "".into(),
        changes,
    }
}

fn tenant_change(index: u32, action: PutAction, burst: u32) -> NoteChange {
    let tenant: TenantName = numbered_name("tenant", index);
    let patch = TenantPatch {
        class: Some(TrafficClass::Normal),
        rate_per_s: RequestsPerSecond::new(50.0),
        burst: Some(burst),
    };
    NoteChange::PutTenant(tenant, action, patch)
}

/// Returns a note that adds tenant `number`, which must not exist yet.
pub fn tenant_note(number: u32) -> Note {
    Note {
        author: "measure".into(),
        comment: "".into(),
        changes: vec![tenant_change(number, PutAction::Add, 100)],
    }
}

/// Returns a note that adds all rows of `config`.
pub fn snapshot_note(config: &ConfigTables) -> Note {
    let mut changes = Vec::new();
    for (key, row) in config.services.rows() {
        let patch = ServicePatch {
            floor: Some(row.floor),
            class: Some(row.class),
            detection: Some(row.detection),
            queue_limit: Some(row.queue_limit),
            queue_wait_ms: Some(row.queue_wait_ms),
            timeout_ms: Some(row.timeout_ms),
            retry_budget: Some(row.retry_budget),
            when_isolated: Some(row.when_isolated),
        };
        changes.push(NoteChange::PutService(key.clone(), PutAction::Add, patch));
    }
    for (key, row) in config.targets.rows() {
        let patch = TargetPatch {
            service: Some(row.service.clone()),
            address: Some(row.address),
            failure_domain: Some(row.failure_domain.clone()),
            slots: Some(row.slots),
            max_connections: Some(row.max_connections),
            state: Some(row.state),
        };
        changes.push(NoteChange::PutTarget(key.clone(), PutAction::Add, patch));
    }
    for (key, row) in config.routes.rows() {
        let patch = RoutePatch {
            service: Some(row.service.clone()),
            path_prefix: Some(row.path_prefix.clone()),
            host: row.host.clone(),
            methods: Some(row.methods.clone()),
            idempotence: Some(row.idempotence),
            require_key: Some(row.require_key),
            tenants: Some(row.tenants.clone()),
        };
        changes.push(NoteChange::PutRoute(key.clone(), PutAction::Add, patch));
    }
    for (key, row) in config.tenants.rows() {
        let patch = TenantPatch {
            class: Some(row.class),
            rate_per_s: Some(row.rate_per_s),
            burst: Some(row.burst),
        };
        changes.push(NoteChange::PutTenant(key.clone(), PutAction::Add, patch));
    }
    Note {
        author: "snapshot".into(),
        comment: "".into(),
        changes,
    }
}

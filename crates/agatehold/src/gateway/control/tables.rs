//! The tables of the control thread, and merging events into them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use agatehold_core::catalog::Catalog;
use agatehold_core::catalog::is_newer;
use agatehold_core::directory::MemberRecord;
use agatehold_core::dissemination::HeartbeatTable;
use agatehold_core::dissemination::Revisions;
use agatehold_core::dissemination::is_store_unavailable;
use agatehold_core::ids::HostId;
use agatehold_core::ids::TargetName;
use agatehold_core::target_registry::StoreMirror;
use agatehold_core::target_registry::TargetRecord;
use agatehold_core::units::TimeMs;
use agatehold_platform::Item;
use agatehold_platform::decode_configuration;
use agatehold_platform::decode_target;
use agatehold_platform::target_name;

use crate::gateway::member::decode_member;
use crate::gateway::member::member_host;
use crate::gateway::messages::Fetched;
use crate::gateway::messages::KeyGroupContents;
use crate::gateway::messages::StoreContents;
use crate::gateway::shared::GatewayShared;
use crate::gateway::shared::View;
use crate::gateway::store::StoreError;
use crate::gateway::store_tasks::KeyGroup;
use crate::gateway::store_tasks::StoreEvent;

/// The tables of the control thread.
pub(super) struct ControlTables {
    /// The configuration in force; its version never decreases.
    pub(super) catalog: Option<Arc<Catalog>>,
    /// The registered targets.
    pub(super) targets: StoreMirror<TargetName, TargetRecord>,
    /// The registered daemons.
    pub(super) members: StoreMirror<HostId, MemberRecord>,
    /// When the store became unreachable; `None` while it responds.
    pub(super) store_unavailable_since: Option<TimeMs>,
    /// Whether the store has responded again after an outage and the watches have
    /// not been restarted yet.
    pub(super) store_recovered: bool,
    /// When the store last responded to a call.
    pub(super) store_answered_at: TimeMs,
    /// When this daemon last started or completed reading the configuration and
    /// the targets from the store.
    pub(super) read_at: TimeMs,
    /// The last heartbeat of each other daemon.
    pub(super) heartbeats: HeartbeatTable,
    /// The contents of the store, served to other daemons.
    contents: StoreContents,
    /// The last published view.
    view: Arc<View>,
}

impl ControlTables {
    /// Creates empty tables.
    pub(super) fn new() -> Self {
        Self {
            catalog: None,
            targets: StoreMirror::new(),
            members: StoreMirror::new(),
            store_unavailable_since: None,
            store_recovered: false,
            store_answered_at: TimeMs(0),
            // Causes a read in the first iteration of the control loop.
            read_at: TimeMs(0),
            heartbeats: HeartbeatTable::default(),
            contents: StoreContents::default(),
            view: Arc::default(),
        }
    }

    /// Returns the revision of the last known change in each key group.
    pub(super) const fn revisions(&self) -> Revisions {
        self.contents.revisions()
    }

    /// Returns whether a host is an entry daemon of any service.
    pub(super) fn is_entry(&self, host: &HostId) -> bool {
        self.entry_hosts().any(|entry| entry == host)
    }

    fn entry_hosts(&self) -> impl Iterator<Item = &HostId> {
        let entries = self.view.entries_by_service.values().flatten();
        entries.map(|(entry, _)| entry)
    }

    /// Returns the address where a host's daemon serves other daemons.
    pub(super) fn fetch_address(&self, host: &HostId) -> Option<SocketAddr> {
        self.members.rows.get(host).map(|row| row.content.news)
    }

    /// Returns the addresses that heartbeats are sent to: those of the daemons in
    /// this daemon's failure domain and of the entry daemons in the others.
    pub(super) fn heartbeat_addresses(&self, own: &HostId) -> Vec<SocketAddr> {
        let domain = self
            .members
            .rows
            .get(own)
            .map(|row| &row.content.failure_domain);
        let entries: BTreeSet<&HostId> = self.entry_hosts().collect();
        let mut addresses = Vec::new();
        for (host, row) in self.members.rows.rows() {
            if host == own {
                continue;
            }
            if Some(&row.content.failure_domain) == domain || entries.contains(host) {
                addresses.push(row.content.news);
            }
        }
        addresses
    }
}

/// Applies an event; returns whether a new view must be published.
pub(super) fn apply_event(tables: &mut ControlTables, event: StoreEvent, now: TimeMs) -> bool {
    match event {
        StoreEvent::CallFailed(call, error) => record_store_failure(tables, call, &error, now),
        StoreEvent::CallSucceeded | StoreEvent::ReadCompleted => record_store_response(tables, now),
        StoreEvent::RefreshEnded(_) => false,
        StoreEvent::Listed(key_group, items, revision) => {
            let recovered = record_store_response(tables, now);
            update_store_state(tables, now);
            apply_listing(tables, key_group, items, revision, now) || recovered
        }
        StoreEvent::Changed(key_group, items) => {
            let recovered = record_store_response(tables, now);
            update_store_state(tables, now);
            let mut changed = false;
            for item in items {
                mirror_change(tables, key_group, &item);
                changed |= apply_item(tables, key_group, item, now);
            }
            changed || recovered
        }
        StoreEvent::Fetched(address, fetched) => apply_fetched(tables, address, fetched, now),
    }
}

/// Tells the target and member tables whether the store is unavailable to the
/// whole fleet, in which case they keep removed rows.
pub(super) fn update_store_state(tables: &mut ControlTables, now: TimeMs) {
    let is_unavailable = tables.store_unavailable_since.is_some();
    if is_store_unavailable(&tables.heartbeats, is_unavailable, now) {
        tables.targets.store_lost();
        tables.members.store_lost();
        return;
    }
    tables.targets.store_returned(now);
    tables.members.store_returned(now);
}

/// Applies contents that were fetched from another daemon.
fn apply_fetched(
    tables: &mut ControlTables,
    address: SocketAddr,
    fetched: Fetched,
    now: TimeMs,
) -> bool {
    update_store_state(tables, now);
    let key_groups = [
        (KeyGroup::Configuration, fetched.configuration),
        (KeyGroup::Targets, fetched.targets),
        (KeyGroup::Members, fetched.members),
    ];
    let mut changed = false;
    for (key_group, contents) in key_groups {
        let Some(contents) = contents else {
            continue;
        };
        log::info!(
            "event=fetched subject={} from={address} revision={} items={}",
            key_group.name(),
            contents.revision,
            contents.items.len()
        );
        changed |= apply_listing(tables, key_group, contents.items, contents.revision, now);
        let current = tables.contents.key_group_mut(key_group);
        current.revision = current.revision.max(contents.revision);
    }
    changed
}

fn apply_listing(
    tables: &mut ControlTables,
    key_group: KeyGroup,
    items: Vec<Item>,
    revision: u64,
    now: TimeMs,
) -> bool {
    mirror_listing(tables.contents.key_group_mut(key_group), &items, revision);
    let mut changed = remove_unlisted(tables, key_group, &items, revision, now);
    for item in items {
        changed |= apply_item(tables, key_group, item, now);
    }
    changed
}

/// Applies a change to the contents served to other daemons.
fn mirror_change(tables: &mut ControlTables, key_group: KeyGroup, item: &Item) {
    let current = tables.contents.key_group_mut(key_group);
    current.revision = current.revision.max(item.revision);
    let position = current.items.iter().position(|other| other.key == item.key);
    match position {
        Some(position) if current.items[position].revision > item.revision => {}
        Some(position) if item.value.is_none() => {
            current.items.swap_remove(position);
        }
        Some(position) => current.items[position] = item.clone(),
        None if item.value.is_some() => current.items.push(item.clone()),
        None => {}
    }
}

/// Replaces the contents served to other daemons with a listing, unless the listing
/// is older or identical.
fn mirror_listing(current: &mut KeyGroupContents, items: &[Item], revision: u64) {
    if revision < current.revision {
        return;
    }
    let by_key: BTreeMap<&str, &Item> = current
        .items
        .iter()
        .map(|item| (&*item.key, item))
        .collect();
    let is_unchanged = |item: &Item| {
        by_key
            .get(&*item.key)
            .is_some_and(|current| *current == item)
    };
    let is_same = current.items.len() == items.len() && items.iter().all(is_unchanged);
    if is_same && current.revision > 0 {
        return;
    }
    current.items = items.to_vec();
    current.revision = revision;
}

fn record_store_failure(
    tables: &mut ControlTables,
    call: &'static str,
    error: &StoreError,
    now: TimeMs,
) -> bool {
    metrics::counter!("agatehold_store_failures_total", "call" => call).increment(1);
    if tables.store_unavailable_since.is_some() {
        return false;
    }
    tables.store_unavailable_since = Some(now);
    log::warn!("event=store_lost call={call} fault=\"{error}\"");
    true
}

fn record_store_response(tables: &mut ControlTables, now: TimeMs) -> bool {
    tables.store_answered_at = now;
    let Some(since) = tables.store_unavailable_since.take() else {
        return false;
    };
    tables.store_recovered = true;
    log::info!("event=store_back away={}", now.since(since));
    true
}

fn remove_unlisted(
    tables: &mut ControlTables,
    key_group: KeyGroup,
    items: &[Item],
    revision: u64,
    now: TimeMs,
) -> bool {
    match key_group {
        KeyGroup::Configuration => false,
        KeyGroup::Targets => {
            let listed: Vec<TargetName> = items
                .iter()
                .filter_map(|item| target_name(&item.key))
                .collect();
            tables.targets.remove_unlisted(&listed, revision, now)
        }
        KeyGroup::Members => {
            let listed: Vec<HostId> = items
                .iter()
                .filter_map(|item| member_host(&item.key))
                .collect();
            tables.members.remove_unlisted(&listed, revision, now)
        }
    }
}

fn apply_item(tables: &mut ControlTables, key_group: KeyGroup, item: Item, now: TimeMs) -> bool {
    match key_group {
        KeyGroup::Configuration => apply_configuration(tables, &item),
        KeyGroup::Targets => apply_target(tables, &item, now),
        KeyGroup::Members => apply_member(tables, &item, now),
    }
}

fn apply_configuration(tables: &mut ControlTables, item: &Item) -> bool {
    let Some(value) = &item.value else {
        log::warn!("event=configuration_removed revision={}", item.revision);
        return false;
    };
    let catalog = match decode_configuration(value) {
        Ok(catalog) => catalog,
        Err(error) => {
            metrics::counter!("agatehold_entries_skipped_total", "subject" => "configuration")
                .increment(1);
            log::warn!(
                "event=configuration_skipped revision={} error=\"{error}\"",
                item.revision
            );
            return false;
        }
    };
    if !is_newer(tables.catalog.as_ref(), &catalog) {
        log::debug!("event=configuration_old version={}", catalog.version);
        return false;
    }
    log::info!(
        "event=configuration version={} revision={} routes={} services={}",
        catalog.version,
        item.revision,
        catalog.routes.len(),
        catalog.services.len()
    );
    tables.catalog = Some(Arc::new(catalog));
    true
}

fn apply_target(tables: &mut ControlTables, item: &Item, now: TimeMs) -> bool {
    let Some(name) = target_name(&item.key) else {
        log::warn!(
            "event=target_skipped key=\"{}\" error=\"the key contains no valid target name\"",
            item.key.escape_debug()
        );
        return false;
    };
    let Some(value) = &item.value else {
        let removed = tables.targets.delete(&name, item.revision, now);
        log::info!(
            "event=target_gone target={name} revision={} removed={removed}",
            item.revision
        );
        return removed;
    };
    match decode_target(&name, value) {
        Ok(record) => {
            let (service, state) = (record.service.clone(), record.state);
            let changed = tables.targets.put(name.clone(), record, item.revision, now);
            if changed {
                log::info!(
                    "event=target target={name} service={service} state={state} revision={}",
                    item.revision
                );
            }
            changed
        }
        Err(error) => {
            metrics::counter!("agatehold_entries_skipped_total", "subject" => "targets")
                .increment(1);
            log::warn!(
                "event=target_skipped target={name} revision={} error=\"{error}\"",
                item.revision
            );
            false
        }
    }
}

fn apply_member(tables: &mut ControlTables, item: &Item, now: TimeMs) -> bool {
    let Some(host) = member_host(&item.key) else {
        return false;
    };
    let Some(value) = &item.value else {
        return tables.members.delete(&host, item.revision, now);
    };
    match decode_member(value) {
        Some(member) => {
            let leaving = member.leaving;
            let changed = tables.members.put(host.clone(), member, item.revision, now);
            if changed {
                log::info!("event=member host={host} leaving={leaving}");
            }
            changed
        }
        None => {
            log::warn!(
                "event=member_skipped host={host} revision={}",
                item.revision
            );
            false
        }
    }
}

/// Publishes the tables as a new view.
pub(super) fn publish(shared: &GatewayShared, tables: &mut ControlTables) {
    let mut view = View {
        number: tables.view.number + 1,
        catalog: tables.catalog.clone(),
        store_unavailable_since: tables.store_unavailable_since,
        contents: tables.contents.clone(),
        ..View::default()
    };
    for (_, row) in tables.targets.rows.rows() {
        view.targets.push((row.content.clone(), row.seen_at));
    }
    for (host, row) in tables.members.rows.rows() {
        view.members.insert(host.clone(), row.content.clone());
    }
    view.choose_entries(&shared.settings.entries);
    tables.view = Arc::new(view);
    shared.view.store(Arc::clone(&tables.view));
}

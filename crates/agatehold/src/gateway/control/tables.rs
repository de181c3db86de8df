//! The tables of the control thread, and merging events into them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use agatehold_core::catalog::Catalog;
use agatehold_core::directory::MemberRecord;
use agatehold_core::dissemination::Confirmations;
use agatehold_core::dissemination::HeartbeatTable;
use agatehold_core::dissemination::KeyChange;
use agatehold_core::dissemination::heartbeat_recipients;
use agatehold_core::dissemination::is_store_unavailable;
use agatehold_core::dissemination::pull_sources;
use agatehold_core::dissemination::watching_daemons;
use agatehold_core::ids::FailureDomain;
use agatehold_core::ids::HostId;
use agatehold_core::ids::TargetName;
use agatehold_core::target_registry::StoreMirror;
use agatehold_core::target_registry::TargetRecord;
use agatehold_core::units::DurationMs;
use agatehold_core::units::StoreEra;
use agatehold_core::units::TimeMs;
use agatehold_platform::Item;
use agatehold_platform::decode_registration;
use agatehold_platform::target_name;

use crate::gateway::member::decode_member;
use crate::gateway::member::member_host;
use crate::gateway::messages::Fetched;
use crate::gateway::messages::KnownContents;
use crate::gateway::messages::PeerStatements;
use crate::gateway::messages::StoreContents;
use crate::gateway::shared::GatewayShared;
use crate::gateway::shared::ToldStatements;
use crate::gateway::shared::View;
use crate::gateway::store::StoreError;
use crate::gateway::store_tasks::KeyGroup;
use crate::gateway::store_tasks::StoreEvent;
use crate::gateway::store_tasks::WatchTurn;
use crate::telemetry::FieldText;

use super::configuration::apply_configuration;
use super::configuration::keep_newer_configuration;

/// How long views hold what another daemon has told this one. The traffic thread reads
/// the newest view at least once a second.
const TOLD_KEPT_MS: DurationMs = DurationMs(60_000);

/// The tables of the control thread.
pub(super) struct ControlTables {
    /// The configuration in force; its version never decreases.
    pub(super) catalog: Option<Arc<Catalog>>,
    /// The value from which `catalog` was decoded.
    pub(super) catalog_value: Option<Arc<[u8]>>,
    /// The newest known era of the store; never decreases.
    pub(super) era: StoreEra,
    /// The registered targets.
    pub(super) targets: StoreMirror<TargetName, TargetRecord>,
    /// The registered daemons.
    pub(super) members: StoreMirror<HostId, MemberRecord>,
    /// When the store became unreachable; `None` while it responds.
    pub(super) store_unavailable_since: Option<TimeMs>,
    /// Whether the store has responded again after an outage and the watches have
    /// not been restarted yet.
    pub(super) store_recovered: bool,
    /// When the store last showed that what this daemon watches is current.
    pub(super) confirmations: Confirmations,
    /// The last heartbeat of each other daemon.
    pub(super) heartbeats: HeartbeatTable,
    /// What other daemons have told this one since its start, the latest last.
    told: Vec<Arc<ToldStatements>>,
    /// The number of such answers so far.
    told_count: u64,
    /// The contents of the store, served to other daemons.
    contents: StoreContents,
    /// The last published view.
    view: Arc<View>,
}

impl ControlTables {
    /// Creates empty tables for the daemon on the host `own`.
    pub(super) fn new(own: &HostId) -> Self {
        Self {
            catalog: None,
            catalog_value: None,
            era: StoreEra(0),
            targets: StoreMirror::new(),
            members: StoreMirror::new(),
            store_unavailable_since: None,
            store_recovered: false,
            confirmations: Confirmations::default(),
            heartbeats: HeartbeatTable::new(own),
            told: Vec::new(),
            told_count: 0,
            contents: StoreContents::default(),
            view: Arc::default(),
        }
    }

    /// Returns whether other daemons are not yet served all contents that this
    /// daemon knows. Heartbeats report what it knows, so that daemons would
    /// fetch in vain.
    pub(super) fn has_unpublished_contents(&self) -> bool {
        self.contents.changed_at() != self.view.contents.changed_at()
    }

    /// Returns the contents of the store, as far as they are known.
    pub(super) const fn contents(&self) -> &StoreContents {
        &self.contents
    }

    /// Returns a host's place among the daemons that watch the store; `None` if it
    /// does not.
    pub(super) fn watch_turn(&self, host: &HostId) -> Option<WatchTurn> {
        let watching = self.watching();
        let rank = watching.iter().position(|(watcher, _)| *watcher == host)?;
        Some(WatchTurn {
            rank: rank as u64,
            watchers: watching.len() as u64,
        })
    }

    /// Returns the daemons that watch the store, with their failure domains.
    fn watching(&self) -> Vec<(&HostId, &FailureDomain)> {
        let entries: BTreeSet<&HostId> = self.entry_hosts().collect();
        let entries: Vec<(&HostId, &MemberRecord)> = entries
            .into_iter()
            .filter_map(|host| Some((host, &self.members.rows.get(host)?.content)))
            .collect();
        watching_daemons(&entries)
    }

    fn entry_hosts(&self) -> impl Iterator<Item = &HostId> {
        let entries = self.view.entries_by_service.values().flatten();
        entries.map(|(entry, _)| entry)
    }

    /// Returns whether a host's daemon is an entry daemon of any service.
    pub(super) fn is_entry(&self, host: &HostId) -> bool {
        self.entry_hosts().any(|entry| entry == host)
    }

    /// Returns the address where a host's daemon serves other daemons.
    pub(super) fn fetch_address(&self, host: &HostId) -> Option<SocketAddr> {
        self.members.rows.get(host).map(|row| row.content.news)
    }

    /// Returns whether two hosts are in the same failure domain.
    pub(super) fn are_near(&self, host: &HostId, other: &HostId) -> bool {
        let domain = |host| {
            let row = self.members.rows.get(host)?;
            Some(&row.content.failure_domain)
        };
        domain(host).is_some() && domain(host) == domain(other)
    }

    /// Returns the addresses that heartbeats are sent to.
    pub(super) fn heartbeat_addresses(&self, own: &HostId) -> Vec<SocketAddr> {
        let records = self.members.rows.rows();
        let records = records.map(|(host, row)| (host, &row.content));
        let recipients = heartbeat_recipients(own, records, &self.watching());
        let addresses = recipients.into_iter();
        addresses
            .filter_map(|host| self.fetch_address(host))
            .collect()
    }

    /// Returns what this daemon knows, for a fetch from another one.
    pub(super) fn known(&self) -> KnownContents {
        KnownContents {
            revisions: self.contents.complete_to(),
            takes_changes: true,
            keeps_missing: self.targets.is_any_missing(),
            has_started: false,
        }
    }

    /// Returns the addresses of a few other daemons to fetch from in a round of
    /// fetches.
    pub(super) fn pull_addresses(&self, own: &HostId, round: u64) -> Vec<SocketAddr> {
        let sources = pull_sources(own, self.members.rows.keys(), round).into_iter();
        sources
            .filter_map(|host| self.fetch_address(host))
            .collect()
    }
}

/// Applies an event; returns whether a new view must be published.
pub(super) fn apply_event(tables: &mut ControlTables, event: StoreEvent, now: TimeMs) -> bool {
    match event {
        StoreEvent::CallFailed(call, error) => record_store_failure(tables, call, &error, now),
        StoreEvent::LeaseKept => record_store_response(tables, now),
        StoreEvent::Confirmed(group) => {
            tables.confirmations.record_answer(group, now);
            record_store_response(tables, now)
        }
        StoreEvent::ReadEnded | StoreEvent::FetchEnded { .. } => false,
        // It was sent before this daemon learned of the new era.
        StoreEvent::Listed(_, _, revision) if revision.era() < tables.era => false,
        StoreEvent::Listed(key_group, items, revision) => {
            let recovered = record_store_response(tables, now);
            update_store_state(tables, now);
            let mut listed: Vec<KeyChange> = items.into_iter().map(key_change).collect();
            keep_newer_configuration(tables, key_group, &mut listed);
            let replica = tables.contents.replica_mut(key_group);
            let applied = replica.apply_listing(&listed, revision);
            apply_changes(tables, key_group, &applied, now) || recovered
        }
        StoreEvent::Changed(group, items) => {
            let key_group = KeyGroup::from(group);
            let recovered = record_store_response(tables, now);
            update_store_state(tables, now);
            let mut changes: Vec<KeyChange> = items.into_iter().map(key_change).collect();
            keep_newer_configuration(tables, key_group, &mut changes);
            let replica = tables.contents.replica_mut(key_group);
            let applied = replica.apply_changes(&changes);
            apply_changes(tables, key_group, &applied, now) || recovered
        }
        StoreEvent::Fetched(address, fetched) => apply_fetched(tables, address, *fetched, now),
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
    let mut changed = record_told(tables, address, fetched.statements, now);
    let key_groups = [
        (KeyGroup::Configuration, fetched.configuration),
        (KeyGroup::Targets, fetched.targets),
        (KeyGroup::Members, fetched.members),
    ];
    for (key_group, update) in key_groups {
        let Some(mut update) = update else {
            continue;
        };
        keep_newer_configuration(tables, key_group, &mut update.changes);
        log::info!(
            "event=fetched subject={} from={address} revision={} items={} listing={}",
            key_group.name(),
            update.revision,
            update.changes.len(),
            update.is_listing
        );
        let applied = tables.contents.replica_mut(key_group).apply_update(&update);
        changed |= apply_changes(tables, key_group, &applied, now);
    }
    for (name, revision) in &fetched.removed {
        if tables.targets.confirm_removal(name, *revision) {
            log::info!(
                "event=target_gone target={name} revision={revision} removed=true told_by={address}"
            );
            changed = true;
        }
    }
    for ended in &fetched.ended {
        if tables.targets.confirm_ended(ended) {
            log::info!(
                "event=target_gone target={} era={} removed=true told_by={address}",
                ended.key,
                ended.era
            );
            changed = true;
        }
    }
    changed
}

/// Keeps what another daemon has told this one for the traffic thread. Returns whether
/// there is anything.
fn record_told(
    tables: &mut ControlTables,
    address: SocketAddr,
    statements: PeerStatements,
    now: TimeMs,
) -> bool {
    if statements == PeerStatements::default() {
        return false;
    }
    tables.told_count += 1;
    tables.told.push(Arc::new(ToldStatements {
        number: tables.told_count,
        told_at: now,
        address,
        statements,
    }));
    true
}

fn key_change(item: Item) -> KeyChange {
    KeyChange {
        key: item.key,
        revision: item.revision,
        value: item.value.map(Arc::from),
    }
}

/// Applies changes that the replica of a key group did not contain yet to the group's
/// table.
fn apply_changes(
    tables: &mut ControlTables,
    key_group: KeyGroup,
    changes: &[KeyChange],
    now: TimeMs,
) -> bool {
    let mut changed = false;
    for change in changes {
        changed |= apply_change(tables, key_group, change, now);
    }
    changed
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
    log::warn!(
        "event=store_lost call={call} fault={}",
        FieldText(&error.to_string())
    );
    true
}

fn record_store_response(tables: &mut ControlTables, now: TimeMs) -> bool {
    let Some(since) = tables.store_unavailable_since.take() else {
        return false;
    };
    tables.store_recovered = true;
    log::info!("event=store_back away={}", now.since(since));
    true
}

fn apply_change(
    tables: &mut ControlTables,
    key_group: KeyGroup,
    change: &KeyChange,
    now: TimeMs,
) -> bool {
    match key_group {
        KeyGroup::Configuration => apply_configuration(tables, change),
        KeyGroup::Targets => apply_target(tables, change, now),
        KeyGroup::Members => apply_member(tables, change, now),
    }
}

fn apply_target(tables: &mut ControlTables, item: &KeyChange, now: TimeMs) -> bool {
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
    match decode_registration(&name, value) {
        Ok((record, mark)) => {
            let (service, state) = (record.service.clone(), record.state);
            let changed = tables.targets.put_registration(
                name.clone(),
                record,
                Some(mark),
                item.revision,
                now,
            );
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
                "event=target_skipped target={name} revision={} error={}",
                item.revision,
                FieldText(&error.to_string())
            );
            false
        }
    }
}

fn apply_member(tables: &mut ControlTables, item: &KeyChange, now: TimeMs) -> bool {
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
    let now = shared.clock.now();
    tables
        .told
        .retain(|told| now.since(told.told_at) <= TOLD_KEPT_MS);
    let mut view = View {
        number: tables.view.number + 1,
        catalog: tables.catalog.clone(),
        store_unavailable_since: tables.store_unavailable_since,
        contents: tables.contents.clone(),
        told: tables.told.clone(),
        ..View::default()
    };
    for (_, row) in tables.targets.rows.rows() {
        view.targets.push((row.content.clone(), row.seen_at));
    }
    for (name, revision) in tables.targets.removals() {
        view.removals.push((name.clone(), revision));
    }
    view.ended = tables.targets.ended_before_era().cloned().collect();
    for (host, row) in tables.members.rows.rows() {
        view.members.insert(host.clone(), row.content.clone());
    }
    view.choose_entries(&shared.settings.entries);
    tables.view = Arc::new(view);
    shared.view.store(Arc::clone(&tables.view));
}

//! The control thread: tables of what the daemon believes, and the systems
//! that run over them.

use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::LocalSet;

use agatehold_core::catalog::Catalog;
use agatehold_core::catalog::newest;
use agatehold_core::directory::MemberRecord;
use agatehold_core::ids::HostId;
use agatehold_core::ids::Incarnation;
use agatehold_core::ids::TargetName;
use agatehold_core::roster::Lapsing;
use agatehold_core::roster::TargetRecord;
use agatehold_core::units::TimeMs;
use agatehold_platform::Item;
use agatehold_platform::decode_configuration;
use agatehold_platform::decode_target;
use agatehold_platform::target_name;

use super::follow::StoreNews;
use super::follow::Subject;
use super::follow::follow;
use super::follow::poll_members;
use super::follow::stay_registered;
use super::member::decode_member;
use super::member::encode_member;
use super::member::member_host;
use super::member::member_key;
use super::shared::GatewayShared;
use super::shared::View;
use super::store::StoreClient;
use super::store::StoreFault;

/// The messages that wait for the control loop.
const NEWS_LENGTH: usize = 64;

/// The time between two runs of the systems where nothing is due sooner.
const IDLE_TICK: Duration = Duration::from_secs(5);

/// The tables of the control thread.
struct ControlTables {
    /// The configuration in force; its version never falls.
    catalog: Option<Arc<Catalog>>,
    /// The registered targets.
    targets: Lapsing<TargetName, TargetRecord>,
    /// The registered daemons.
    members: Lapsing<HostId, MemberRecord>,
    /// Since when the store has not answered.
    store_away_since: Option<TimeMs>,
    /// The number of the last published view.
    view_number: u64,
}

/// The running control thread.
pub(crate) struct ControlThread {
    thread: JoinHandle<()>,
    /// The daemon's own record; a change is written to the store.
    own: watch::Sender<MemberRecord>,
    stop: watch::Sender<bool>,
}

impl ControlThread {
    /// Starts the thread.
    pub(crate) fn start(
        shared: &Arc<GatewayShared>,
        incarnation: Incarnation,
    ) -> std::io::Result<Self> {
        let settings = &shared.settings;
        let (own, own_seen) = watch::channel(MemberRecord {
            failure_domain: settings.host.failure_domain.clone(),
            callers: settings.listen.callers,
            news: settings.listen.news,
            incarnation,
            leaving: false,
            capacity_millicores: settings.capacity_millicores,
        });
        let (stop, stop_seen) = watch::channel(false);
        let shared = Arc::clone(shared);
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || run_thread(&shared, own_seen, stop_seen))?;
        Ok(Self { thread, own, stop })
    }

    /// Tells the fleet that the daemon is about to stop.
    pub(crate) fn announce_leave(&self) {
        self.own.send_modify(|own| own.leaving = true);
    }

    /// Ends the thread.
    pub(crate) fn close(self) {
        self.stop.send_replace(true);
        if self.thread.join().is_err() {
            log::error!("event=thread_panicked thread=control");
        }
    }
}

fn run_thread(
    shared: &Arc<GatewayShared>,
    own: watch::Receiver<MemberRecord>,
    mut stop: watch::Receiver<bool>,
) {
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("event=runtime_failed thread=control error=\"{error}\"");
            std::process::abort();
        }
    };
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        tokio::select! {
            () = run(shared, own) => {}
            _ = stop.wait_for(|stopped| *stopped) => {}
        }
    });
}

async fn run(shared: &Arc<GatewayShared>, mut own: watch::Receiver<MemberRecord>) {
    let store = Rc::new(StoreClient::new(shared.settings.store));
    let (news, mut news_seen) = mpsc::channel(NEWS_LENGTH);
    let (record, record_seen) = watch::channel(encode_member(&own.borrow()));
    for subject in [Subject::Configuration, Subject::Targets] {
        tokio::task::spawn_local(follow(Rc::clone(&store), subject, news.clone()));
    }
    tokio::task::spawn_local(poll_members(Rc::clone(&store), news.clone()));
    let key = member_key(&shared.settings.host.id);
    tokio::task::spawn_local(stay_registered(store, key, record_seen, news));
    let mut tables = ControlTables {
        catalog: None,
        targets: Lapsing::new(),
        members: Lapsing::new(),
        store_away_since: None,
        view_number: 0,
    };
    loop {
        let now = shared.clock.now();
        let wait = next_tick(&tables, now);
        let changed = tokio::select! {
            told = news_seen.recv() => match told {
                Some(told) => apply_news(&mut tables, told, shared.clock.now()),
                None => return,
            },
            _ = own.changed() => {
                record.send_replace(encode_member(&own.borrow_and_update()));
                false
            }
            () = tokio::time::sleep(wait) => false,
        };
        let now = shared.clock.now();
        let swept = tables.targets.sweep(now) | tables.members.sweep(now);
        if changed || swept {
            publish(shared, &mut tables);
        }
    }
}

fn next_tick(tables: &ControlTables, now: TimeMs) -> Duration {
    let due = [tables.targets.next_sweep(), tables.members.next_sweep()];
    let Some(first) = due.into_iter().flatten().min() else {
        return IDLE_TICK;
    };
    crate::clock::duration(first.since(now)).max(Duration::from_millis(1))
}

/// Merges news of the store; returns whether anything to publish changed.
fn apply_news(tables: &mut ControlTables, news: StoreNews, now: TimeMs) -> bool {
    match news {
        StoreNews::Failed(call, fault) => return store_failed(tables, call, &fault, now),
        StoreNews::Answered => return store_answered(tables, now),
        StoreNews::Listed(..) | StoreNews::Changed(..) => {}
    }
    let returned = store_answered(tables, now);
    let changed = match news {
        StoreNews::Listed(subject, items, revision) => {
            let mut changed = keep_listed(tables, subject, &items, revision, now);
            for item in items {
                changed |= apply_item(tables, subject, item, now);
            }
            changed
        }
        StoreNews::Changed(subject, items) => {
            let mut changed = false;
            for item in items {
                changed |= apply_item(tables, subject, item, now);
            }
            changed
        }
        StoreNews::Failed(..) | StoreNews::Answered => false,
    };
    returned || changed
}

fn store_failed(
    tables: &mut ControlTables,
    call: &'static str,
    fault: &StoreFault,
    now: TimeMs,
) -> bool {
    metrics::counter!("agatehold_store_failures_total", "call" => call).increment(1);
    tables.targets.store_lost();
    tables.members.store_lost();
    if tables.store_away_since.is_some() {
        return false;
    }
    tables.store_away_since = Some(now);
    log::warn!("event=store_lost call={call} fault=\"{fault}\"");
    true
}

fn store_answered(tables: &mut ControlTables, now: TimeMs) -> bool {
    let Some(since) = tables.store_away_since.take() else {
        return false;
    };
    tables.targets.store_returned(now);
    tables.members.store_returned(now);
    log::info!("event=store_back away={}", now.since(since));
    true
}

fn keep_listed(
    tables: &mut ControlTables,
    subject: Subject,
    items: &[Item],
    revision: u64,
    now: TimeMs,
) -> bool {
    match subject {
        Subject::Configuration => false,
        Subject::Targets => {
            let listed: Vec<TargetName> = items
                .iter()
                .filter_map(|item| target_name(&item.key))
                .collect();
            tables.targets.keep_listed(&listed, revision, now)
        }
        Subject::Members => {
            let listed: Vec<HostId> = items
                .iter()
                .filter_map(|item| member_host(&item.key))
                .collect();
            tables.members.keep_listed(&listed, revision, now)
        }
    }
}

fn apply_item(tables: &mut ControlTables, subject: Subject, item: Item, now: TimeMs) -> bool {
    match subject {
        Subject::Configuration => apply_configuration(tables, &item),
        Subject::Targets => apply_target(tables, &item, now),
        Subject::Members => apply_member(tables, &item, now),
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
    if !newest(tables.catalog.as_ref(), &catalog) {
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
        log::warn!("event=target_skipped key=\"{}\" error=\"no name\"", item.key.escape_debug());
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
            log::warn!("event=member_skipped host={host} revision={}", item.revision);
            false
        }
    }
}

/// Publishes what the tables say as one view.
fn publish(shared: &GatewayShared, tables: &mut ControlTables) {
    tables.view_number += 1;
    let mut view = View {
        number: tables.view_number,
        catalog: tables.catalog.clone(),
        store_away_since: tables.store_away_since,
        ..View::default()
    };
    for (_, row) in tables.targets.rows.rows() {
        view.targets.push((row.content.clone(), row.seen_at));
    }
    for (host, row) in tables.members.rows.rows() {
        view.members.insert(host.clone(), row.content.clone());
    }
    view.choose_entries(shared.settings.entries_per_domain as usize);
    shared.view.store(Arc::new(view));
}

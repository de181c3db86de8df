//! The control thread: keeps the configuration, targets and fleet members up to
//! date from the store and from other daemons, and publishes them as views.

mod configuration;
mod peers;
mod tables;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::LocalSet;

use agatehold_core::directory::MemberRecord;
use agatehold_core::dissemination::FETCH_TIMEOUT_MS;
use agatehold_core::dissemination::HEARTBEAT_INTERVAL_MS;
use agatehold_core::dissemination::ReadReason;
use agatehold_core::dissemination::Refresh;
use agatehold_core::dissemination::RefreshInputs;
use agatehold_core::dissemination::Refresher;
use agatehold_core::dissemination::Revisions;
use agatehold_core::dissemination::STORE_CHECK_INTERVAL_MS;
use agatehold_core::dissemination::WatchedGroup;
use agatehold_core::dissemination::fetch_sources;
use agatehold_core::dissemination::has_recent_heartbeat;
use agatehold_core::ids::HostId;
use agatehold_core::ids::Incarnation;
use agatehold_core::units::DurationMs;
use agatehold_core::units::StoreEra;
use agatehold_core::units::StoreRevision;
use agatehold_core::units::TimeMs;

use super::member::encode_member;
use super::member::member_key;
use super::messages::KnownContents;
use super::shared::GatewayShared;
use super::store::StoreClient;
use super::store_tasks::MEMBERS_POLL_INTERVAL;
use super::store_tasks::MEMBERS_POLL_INTERVAL_AS_RESERVE;
use super::store_tasks::MEMBERS_POLL_INTERVAL_WITH_HEARTBEATS;
use super::store_tasks::OwnEntry;
use super::store_tasks::RENEWAL_INTERVAL;
use super::store_tasks::StoreEvent;
use super::store_tasks::WatchTurn;
use super::store_tasks::list_and_watch;
use super::store_tasks::poll_members;
use super::store_tasks::read_all;
use super::store_tasks::stay_registered;

use peers::Peers;
use tables::ControlTables;
use tables::apply_event;
use tables::publish;
use tables::update_store_state;

/// The capacity of the queue of events for the control loop.
const EVENT_QUEUE_LENGTH: usize = 64;

/// The maximum time between two iterations of the control loop.
const TICK_MS: DurationMs = DurationMs(500);

/// How long a daemon that watches the store may be behind other daemons before its
/// watch counts as stuck. A watch pauses for 350 ms after each change.
const BEHIND_MAX_MS: DurationMs = DurationMs(600);

/// How long after its start a daemon asks the others for what the store can't tell it. In
/// this time it asks several rounds of them.
const STARTED_MS: DurationMs = DurationMs(10_000);

/// How long after its start a daemon expects a heartbeat from its own failure domain
/// although it has heard none.
const NEAR_HEARTBEAT_EXPECTED_MS: DurationMs = DurationMs(5_000);

/// How long after its start a daemon fetches from others that are ahead although a read of
/// the store is due. Its callers may rely on its contents from 3 s after the start, which
/// leaves time for the read.
const PREFERS_FETCH_MS: DurationMs = DurationMs(2_500);

/// How long after its start a daemon that has read the store waits for heartbeats before
/// it reads the store again. A fleet that starts needs about two seconds to agree on the
/// daemons that send them.
const SECOND_READ_AFTER_MS: DurationMs = DurationMs(1_800);

/// A handle to the running control thread.
pub(crate) struct ControlThread {
    thread: JoinHandle<()>,
    /// The daemon's own registration record; changes are written to the store.
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
        let (own, own_receiver) = watch::channel(MemberRecord {
            failure_domain: settings.host.failure_domain.clone(),
            callers: settings.listen.callers,
            news: settings.listen.news,
            evidence: settings.listen.evidence,
            incarnation,
            leaving: false,
            capacity_millicores: settings.capacity_millicores,
        });
        let (stop, stop_receiver) = watch::channel(false);
        let shared = Arc::clone(shared);
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || run_thread(&shared, own_receiver, stop_receiver))?;
        Ok(Self { thread, own, stop })
    }

    /// Announces to the fleet that the daemon is about to stop, by marking its
    /// registration as leaving.
    pub(crate) fn announce_leave(&self) {
        self.own.send_modify(|own| own.leaving = true);
    }

    /// Stops the thread and waits until it exits.
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

/// Runs the store and peer tasks of the control loop.
struct StoreSync {
    shared: Arc<GatewayShared>,
    store: Rc<StoreClient>,
    events: mpsc::Sender<StoreEvent>,
    /// The tasks that watch the store; empty unless this daemon is one of those that
    /// do.
    watch_tasks: Vec<tokio::task::JoinHandle<()>>,
    /// Whether the watch of each key group waits for changes.
    waiting: Vec<(WatchedGroup, Rc<Cell<bool>>)>,
    /// The place of this daemon among those that watch the store.
    watch_turn: Rc<Cell<WatchTurn>>,
    /// The running fetches and reads of the store.
    refresher: Refresher,
    /// Since when this daemon has been behind other daemons although it watches the
    /// store.
    behind_since: Option<TimeMs>,
    /// When the last heartbeat was sent.
    heartbeat_sent_at: TimeMs,
    /// The number of times that daemons were asked without a heartbeat from them.
    pull_round: u64,
}

async fn run(shared: &Arc<GatewayShared>, mut own: watch::Receiver<MemberRecord>) {
    let incarnation = own.borrow().incarnation;
    let peers = match Peers::bind(shared.settings.listen.news, incarnation).await {
        Ok(peers) => peers,
        Err(error) => {
            log::error!(
                "event=bind_failed address={} error=\"{error}\"",
                shared.settings.listen.news
            );
            std::process::abort();
        }
    };
    let (events, mut events_receiver) = mpsc::channel(EVENT_QUEUE_LENGTH);
    let mut store_sync = StoreSync {
        shared: Arc::clone(shared),
        store: Rc::new(StoreClient::new(shared.settings.store)),
        events,
        watch_tasks: Vec::new(),
        waiting: Vec::new(),
        watch_turn: Rc::default(),
        refresher: Refresher::default(),
        behind_since: None,
        heartbeat_sent_at: TimeMs(0),
        pull_round: 0,
    };
    let (poll_pause, poll_pause_receiver) = watch::channel(MEMBERS_POLL_INTERVAL);
    let (renewal_interval, renewal_interval_receiver) = watch::channel(RENEWAL_INTERVAL);
    let (record, record_receiver) = watch::channel(encode_member(&own.borrow()));
    let key = member_key(&shared.settings.host.id);
    let own_entry = Rc::new(OwnEntry::new(&key));
    tokio::task::spawn_local(stay_registered(
        Rc::clone(&store_sync.store),
        Rc::clone(&own_entry),
        record_receiver,
        renewal_interval_receiver,
        store_sync.events.clone(),
    ));
    tokio::task::spawn_local(poll_members(
        Rc::clone(&store_sync.store),
        own_entry,
        poll_pause_receiver,
        store_sync.events.clone(),
    ));
    let mut tables = ControlTables::new(&shared.settings.host.id);
    let mut datagram = [0; super::messages::DATAGRAM_BYTES_MAX];
    let mut newest_era = store_sync.store.watch_era();
    loop {
        let wait = next_wait(&tables, &store_sync, shared.clock.now());
        let changed = tokio::select! {
            event = events_receiver.recv() => match event {
                Some(event) => store_sync.handle_event(&mut tables, event),
                None => return,
            },
            received = peers.receive(&mut datagram) => {
                if let Some(heartbeat) = received {
                    tables.heartbeats.record(&heartbeat, shared.clock.now());
                }
                false
            }
            _ = own.changed() => {
                record.send_replace(encode_member(&own.borrow_and_update()));
                false
            }
            _ = newest_era.changed() => false,
            () = tokio::time::sleep(wait) => false,
        };
        let now = shared.clock.now();
        store_sync.enter_newest_era(&mut tables, now);
        update_store_state(&mut tables, now);
        let swept = tables.targets.sweep(now) | tables.members.sweep(now);
        if std::mem::take(&mut tables.store_recovered) {
            // During the outage the store may have lost a watch whose
            // connection is still open.
            store_sync.restart_watching("store_back");
        }
        if changed || swept || tables.has_unpublished_contents() {
            publish(shared, &mut tables);
            store_sync.update_role(&tables);
        }
        store_sync.refresh(&mut tables, now);
        let pause = store_sync.members_poll_interval(&tables, now);
        poll_pause.send_if_modified(|current| std::mem::replace(current, pause) != pause);
        let renewal = store_sync.renewal_interval();
        renewal_interval.send_if_modified(|current| std::mem::replace(current, renewal) != renewal);
        if store_sync.is_watching()
            && (changed || now.since(store_sync.heartbeat_sent_at) >= HEARTBEAT_INTERVAL_MS)
        {
            store_sync.heartbeat_sent_at = now;
            peers
                .send_heartbeat(&shared.settings.host.id, &tables, now)
                .await;
        }
    }
}

impl StoreSync {
    fn is_watching(&self) -> bool {
        !self.watch_tasks.is_empty()
    }

    /// Applies an event to the tables; returns whether a new view must be published.
    fn handle_event(&mut self, tables: &mut ControlTables, event: StoreEvent) -> bool {
        let now = self.shared.clock.now();
        match &event {
            StoreEvent::ReadEnded => {
                self.refresher.end_read(now);
                return false;
            }
            StoreEvent::FetchEnded { failed_host } => {
                self.refresher.end_fetch(failed_host.is_some());
                if let Some(host) = failed_host {
                    tables.heartbeats.rows.remove(host);
                }
                return false;
            }
            StoreEvent::Changed(group, _) => tables.confirmations.record_answer(*group, now),
            StoreEvent::LeaseKept => {
                for (group, is_waiting) in &self.waiting {
                    let is_waiting = is_waiting.get();
                    let confirmations = &mut tables.confirmations;
                    confirmations.record_other_answer(*group, is_waiting, now);
                }
            }
            _ => {}
        }
        apply_event(tables, event, now)
    }

    /// Starts watching the store when this daemon becomes one of those that do, and
    /// stops when it no longer is.
    fn update_role(&mut self, tables: &ControlTables) {
        let turn = tables.watch_turn(&self.shared.settings.host.id);
        self.watch_turn.set(turn.unwrap_or_default());
        let watches_store = turn.is_some();
        if watches_store == self.is_watching() {
            return;
        }
        log::info!("event=role watches_store={watches_store}");
        if watches_store {
            self.start_watching();
        } else {
            self.stop_watching();
        }
    }

    fn stop_watching(&mut self) {
        for task in self.watch_tasks.drain(..) {
            task.abort();
        }
        self.waiting.clear();
    }

    fn start_watching(&mut self) {
        for group in [WatchedGroup::Configuration, WatchedGroup::Targets] {
            let is_waiting = Rc::new(Cell::new(false));
            self.waiting.push((group, Rc::clone(&is_waiting)));
            let watching = list_and_watch(
                Rc::clone(&self.store),
                group,
                Rc::clone(&self.watch_turn),
                is_waiting,
                self.events.clone(),
            );
            self.watch_tasks.push(tokio::task::spawn_local(watching));
        }
    }

    /// Enters a newer era of the store, whether the store or another daemon told of it: its
    /// revisions can't be watched on from those of the era before.
    fn enter_newest_era(&mut self, tables: &mut ControlTables, now: TimeMs) {
        let told = tables.contents().changed_at().era();
        self.store
            .raise_era(told.max(tables.heartbeats.newest_era()));
        let era = self.store.era();
        if era <= tables.era {
            return;
        }
        let old_era = std::mem::replace(&mut tables.era, era);
        tables.heartbeats.raise_era(era);
        if old_era == StoreEra(0) && tables.contents().complete_to() == Revisions::default() {
            // The era in which this daemon started.
            return;
        }
        metrics::counter!("agatehold_store_eras_total").increment(1);
        log::warn!("event=store_era era={era} before={old_era}");
        // The heartbeats of the era before no longer count. The daemons that watch the store
        // read it now, and the others read it too only if they don't hear from these.
        self.refresher.put_off_read(now);
        self.restart_watching("store_era");
    }

    fn restart_watching(&mut self, reason: &'static str) {
        self.behind_since = None;
        if !self.is_watching() {
            return;
        }
        log::info!("event=watch_restarted reason={reason}");
        self.stop_watching();
        self.start_watching();
    }

    /// Returns whether this daemon relies on its own watch and ignores what other
    /// daemons know. Restarts the watch if it has been behind other daemons for too
    /// long.
    fn relies_on_own_watch(&mut self, tables: &ControlTables, now: TimeMs) -> bool {
        if !self.is_watching() || tables.store_unavailable_since.is_some() {
            return false;
        }
        let own = tables.contents().complete_to();
        if fetch_sources(&tables.heartbeats, &own, &|_| true, now).is_empty() {
            self.behind_since = None;
            return true;
        }
        let since = *self.behind_since.get_or_insert(now);
        if now.since(since) < BEHIND_MAX_MS {
            return true;
        }
        self.restart_watching("behind");
        false
    }

    /// Returns the interval for renewing the lease. The renewals of a daemon that sends
    /// heartbeats keep the age of the store's last answer in them low.
    fn renewal_interval(&self) -> Duration {
        if self.is_watching() {
            return crate::clock::duration(STORE_CHECK_INTERVAL_MS);
        }
        RENEWAL_INTERVAL
    }

    /// Returns the interval for polling the registered daemons: short if this daemon
    /// sends heartbeats, receives none, or can't fetch from those that are ahead because
    /// their addresses are unknown.
    fn members_poll_interval(&self, tables: &ControlTables, now: TimeMs) -> Duration {
        if self.is_watching() || !has_recent_heartbeat(&tables.heartbeats, now) {
            return MEMBERS_POLL_INTERVAL;
        }
        let own = tables.contents().complete_to();
        let is_unknown = |host: &HostId| tables.fetch_address(host).is_none();
        if !fetch_sources(&tables.heartbeats, &own, &is_unknown, now).is_empty() {
            return MEMBERS_POLL_INTERVAL;
        }
        if tables.is_entry(&self.shared.settings.host.id) {
            return MEMBERS_POLL_INTERVAL_WITH_HEARTBEATS;
        }
        MEMBERS_POLL_INTERVAL_AS_RESERVE
    }

    /// Fetches from the seed daemons in the settings and from a few others, which
    /// may know the contents while the store is unreachable. A daemon that has just
    /// started knows only the seeds, and those may be out of date.
    fn fetch_from_any(&mut self, tables: &ControlTables) {
        let known = KnownContents {
            has_started: self.shared.clock.uptime() < STARTED_MS,
            ..tables.known()
        };
        let settings = &self.shared.settings;
        let mut addresses = tables.pull_addresses(&settings.host.id, self.pull_round);
        self.pull_round += 1;
        for seed in &settings.seeds {
            if *seed != settings.listen.control {
                addresses.push(*seed);
            }
        }
        let timeout = crate::clock::duration(FETCH_TIMEOUT_MS);
        for address in addresses {
            let events = self.events.clone();
            let fetching = peers::fetch_from_any(address, known, timeout, events);
            tokio::task::spawn_local(fetching);
        }
    }

    /// Returns the time before which the store is not read for lack of a confirmation.
    fn read_not_before(&self, tables: &ControlTables) -> TimeMs {
        if tables.catalog.is_none() {
            return self.refresher.first_contents_pause_ends();
        }
        if tables.store_unavailable_since.is_some() {
            return TimeMs(0);
        }
        self.shared.clock.started_at() + SECOND_READ_AFTER_MS
    }

    /// Returns whether this daemon has just started and fetches before it reads the store.
    fn prefers_fetch(&self) -> bool {
        self.shared.clock.uptime() < PREFERS_FETCH_MS
    }

    /// Starts reading the configuration and the targets from the store.
    fn read_store(&self, tables: &ControlTables, reason: ReadReason) {
        log::info!("event=read_store reason={}", reason.name());
        let is_start = tables.contents().targets.complete_to() == StoreRevision::ZERO;
        let reading = read_all(Rc::clone(&self.store), is_start, self.events.clone());
        tokio::task::spawn_local(reading);
    }

    /// Starts fetching from other daemons.
    fn fetch(&self, tables: &ControlTables, hosts: Vec<HostId>) {
        let known = tables.known();
        let timeout = crate::clock::duration(FETCH_TIMEOUT_MS);
        for host in hosts {
            let Some(address) = tables.fetch_address(&host) else {
                continue;
            };
            let events = self.events.clone();
            let fetching = peers::fetch(host, address, known, timeout, events);
            tokio::task::spawn_local(fetching);
        }
    }

    /// Returns whether this daemon may put off a fetch until a daemon in its own failure
    /// domain is ahead too. A daemon without a configuration waits for nobody.
    fn may_wait_for_near(&self, tables: &ControlTables, now: TimeMs) -> bool {
        if tables.catalog.is_none() {
            return false;
        }
        let own_host = &self.shared.settings.host.id;
        let mut senders = tables.heartbeats.recent_rows(now);
        senders.any(|(host, _)| tables.are_near(host, own_host))
            || self.shared.clock.uptime() <= NEAR_HEARTBEAT_EXPECTED_MS
    }

    /// Starts reading the store if the contents may be too old, or fetching newer contents
    /// from other daemons.
    fn refresh(&mut self, tables: &mut ControlTables, now: TimeMs) {
        let own = tables.contents().complete_to();
        tables.heartbeats.confirm(&own);
        if self.relies_on_own_watch(tables, now) {
            self.refresher.follow_own_watch();
            return;
        }
        let own_host = &self.shared.settings.host.id;
        let inputs = RefreshInputs {
            own,
            read_not_before: self.read_not_before(tables),
            is_store_available: tables.store_unavailable_since.is_none(),
            prefers_fetch: self.prefers_fetch(),
            may_wait_for_near: self.may_wait_for_near(tables, now),
            is_near: &|host| tables.are_near(host, own_host),
            has_address: &|host| tables.fetch_address(host).is_some(),
        };
        match self.refresher.decide(&tables.heartbeats, &inputs, now) {
            Refresh::Nothing => {}
            Refresh::Fetch(hosts) => self.fetch(tables, hosts),
            Refresh::ReadStore(reason) => {
                self.read_store(tables, reason);
                if tables.store_unavailable_since.is_some() || tables.catalog.is_none() {
                    self.fetch_from_any(tables);
                }
            }
        }
    }
}

fn next_wait(tables: &ControlTables, store_sync: &StoreSync, now: TimeMs) -> Duration {
    let refresher = &store_sync.refresher;
    let has_nothing = refresher.read_at() == TimeMs(0) && tables.catalog.is_none();
    if has_nothing && refresher.is_idle() {
        // Start the first read of the store at once.
        return Duration::ZERO;
    }
    let mut due = now + TICK_MS;
    if store_sync.is_watching() {
        due = due.min(store_sync.heartbeat_sent_at + HEARTBEAT_INTERVAL_MS);
    }
    if !store_sync.is_watching() || tables.store_unavailable_since.is_some() {
        let own = tables.contents().complete_to();
        let read_not_before = store_sync.read_not_before(tables);
        let prefers_fetch = store_sync.prefers_fetch();
        let heartbeats = &tables.heartbeats;
        let refresh = refresher.next_due(heartbeats, &own, read_not_before, prefers_fetch);
        due = due.min(refresh.unwrap_or(due));
    }
    for sweep in [tables.targets.next_sweep(), tables.members.next_sweep()] {
        due = due.min(sweep.unwrap_or(due));
    }
    crate::clock::duration(due.since(now)).max(Duration::from_millis(1))
}

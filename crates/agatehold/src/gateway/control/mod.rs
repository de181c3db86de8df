//! The control thread: keeps the configuration, targets and fleet members up to
//! date from the store and from other daemons, and publishes them as views.

mod peers;
mod tables;

use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::LocalSet;

use agatehold_core::directory::MemberRecord;
use agatehold_core::dissemination::Refresh;
use agatehold_core::dissemination::Revisions;
use agatehold_core::dissemination::is_told;
use agatehold_core::dissemination::next_refresh;
use agatehold_core::ids::Incarnation;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

use super::follow::MEMBERS_POLL;
use super::follow::MEMBERS_POLL_TOLD;
use super::follow::StoreNews;
use super::follow::Subject;
use super::follow::follow;
use super::follow::poll_members;
use super::follow::read_all;
use super::follow::stay_registered;
use super::member::encode_member;
use super::member::member_key;
use super::shared::GatewayShared;
use super::store::StoreClient;

use peers::Peers;
use tables::ControlTables;
use tables::apply_news;
use tables::note_store_state;
use tables::publish;

/// The capacity of the queue of events for the control loop.
const NEWS_LENGTH: usize = 64;

/// The heartbeat interval of a daemon that watches the store.
const BEAT_MS: DurationMs = DurationMs(600);

/// The maximum time between two iterations of the control loop.
const TICK_MS: DurationMs = DurationMs(500);

/// How long a daemon that watches the store may be behind other daemons before its
/// watch counts as stuck. A watch pauses for 350 ms after each change.
const BEHIND_MS: DurationMs = DurationMs(600);

/// The timeout of a fetch from another daemon.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

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
        let (own, own_seen) = watch::channel(MemberRecord {
            failure_domain: settings.host.failure_domain.clone(),
            callers: settings.listen.callers,
            news: settings.listen.news,
            evidence: settings.listen.evidence,
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
struct Follower {
    shared: Arc<GatewayShared>,
    store: Rc<StoreClient>,
    news: mpsc::Sender<StoreNews>,
    /// The tasks that watch the store; empty unless this daemon is an entry
    /// daemon.
    watching: Vec<tokio::task::JoinHandle<()>>,
    /// The number of running fetches and reads; reset to 0 as soon as one of them
    /// succeeds.
    refreshing: usize,
    /// Whether the last fetch failed, so that the next one asks several daemons.
    has_failed: bool,
    /// Since when this daemon has been behind other daemons although it watches the
    /// store.
    behind_since: Option<TimeMs>,
    /// When the last heartbeat was sent.
    beat_at: TimeMs,
}

async fn run(shared: &Arc<GatewayShared>, mut own: watch::Receiver<MemberRecord>) {
    let peers = match Peers::bind(shared.settings.listen.news).await {
        Ok(peers) => peers,
        Err(error) => {
            log::error!(
                "event=bind_failed address={} error=\"{error}\"",
                shared.settings.listen.news
            );
            std::process::abort();
        }
    };
    let (news, mut news_seen) = mpsc::channel(NEWS_LENGTH);
    let mut follower = Follower {
        shared: Arc::clone(shared),
        store: Rc::new(StoreClient::new(shared.settings.store)),
        news,
        watching: Vec::new(),
        refreshing: 0,
        has_failed: false,
        behind_since: None,
        beat_at: TimeMs(0),
    };
    let (poll_pause, poll_pause_seen) = watch::channel(MEMBERS_POLL);
    let (record, record_seen) = watch::channel(encode_member(&own.borrow()));
    let key = member_key(&shared.settings.host.id);
    tokio::task::spawn_local(stay_registered(
        Rc::clone(&follower.store),
        key,
        record_seen,
        follower.news.clone(),
    ));
    tokio::task::spawn_local(poll_members(
        Rc::clone(&follower.store),
        poll_pause_seen,
        follower.news.clone(),
    ));
    let mut tables = ControlTables::new();
    let mut datagram = [0; super::news::DATAGRAM_BYTES_MAX];
    loop {
        let wait = next_tick(&tables, &follower, shared.clock.now());
        let changed = tokio::select! {
            told = news_seen.recv() => match told {
                Some(told) => follower.take_news(&mut tables, told),
                None => return,
            },
            received = peers.receive(&mut datagram) => {
                if let Some(beat) = received {
                    tables.beats.record(&beat, shared.clock.now());
                }
                false
            }
            _ = own.changed() => {
                record.send_replace(encode_member(&own.borrow_and_update()));
                false
            }
            () = tokio::time::sleep(wait) => false,
        };
        let now = shared.clock.now();
        note_store_state(&mut tables, now);
        let swept = tables.targets.sweep(now) | tables.members.sweep(now);
        if std::mem::take(&mut tables.store_returned) {
            // During the outage the store may have lost a watch whose
            // connection is still open.
            follower.restart_watching("store_back");
        }
        if changed || swept {
            publish(shared, &mut tables);
            follower.follow_role(&tables);
        }
        follower.refresh(&mut tables, now);
        let pause = follower.members_pause(&tables, now);
        poll_pause.send_if_modified(|held| std::mem::replace(held, pause) != pause);
        if follower.is_watching() && (changed || now.since(follower.beat_at) >= BEAT_MS) {
            follower.beat_at = now;
            peers
                .send_beat(&shared.settings.host.id, &tables, now)
                .await;
        }
    }
}

impl Follower {
    fn is_watching(&self) -> bool {
        !self.watching.is_empty()
    }

    /// Applies an event to the tables; returns whether a new view must be published.
    fn take_news(&mut self, tables: &mut ControlTables, news: StoreNews) -> bool {
        let now = self.shared.clock.now();
        match &news {
            StoreNews::Refreshed(host) => {
                self.has_failed = host.is_some();
                match host {
                    // Other fetches may still succeed.
                    Some(host) => {
                        self.refreshing = self.refreshing.saturating_sub(1);
                        tables.beats.rows.remove(host);
                    }
                    None => self.refreshing = 0,
                }
                return false;
            }
            StoreNews::Read => tables.read_at = now,
            _ => {}
        }
        apply_news(tables, news, now)
    }

    /// Starts watching the store when this daemon becomes an entry daemon, and stops
    /// when it no longer is one.
    fn follow_role(&mut self, tables: &ControlTables) {
        let is_entry = tables.is_entry(&self.shared.settings.host.id);
        if is_entry == self.is_watching() {
            return;
        }
        log::info!("event=role watches_store={is_entry}");
        if is_entry {
            self.start_watching();
        } else {
            self.stop_watching();
        }
    }

    fn stop_watching(&mut self) {
        for task in self.watching.drain(..) {
            task.abort();
        }
    }

    fn start_watching(&mut self) {
        for subject in [Subject::Configuration, Subject::Targets] {
            let following = follow(Rc::clone(&self.store), subject, self.news.clone());
            self.watching.push(tokio::task::spawn_local(following));
        }
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
    fn trusts_own_watch(&mut self, tables: &ControlTables, now: TimeMs) -> bool {
        if !self.is_watching() || tables.store_away_since.is_some() {
            return false;
        }
        let own = tables.revisions();
        let refresh = next_refresh(&tables.beats, &own, now, now);
        if !matches!(refresh, Refresh::Fetch(_)) {
            self.behind_since = None;
            return true;
        }
        let since = *self.behind_since.get_or_insert(now);
        if now.since(since) < BEHIND_MS {
            return true;
        }
        self.restart_watching("behind");
        false
    }

    /// Returns the interval for polling the registered daemons: short if this daemon
    /// sends heartbeats or receives none.
    fn members_pause(&self, tables: &ControlTables, now: TimeMs) -> Duration {
        if self.is_watching() || !is_told(&tables.beats, now) {
            return MEMBERS_POLL;
        }
        MEMBERS_POLL_TOLD
    }

    /// Fetches from the seed daemons in the settings. They may know the contents while
    /// the store is unreachable, and a daemon that has just started knows no others.
    fn ask_seeds(&self, known: Revisions) {
        for seed in &self.shared.settings.seeds {
            if *seed == self.shared.settings.listen.control {
                continue;
            }
            let news = self.news.clone();
            let asking = peers::ask(*seed, known, FETCH_TIMEOUT, news);
            tokio::task::spawn_local(asking);
        }
    }

    /// Starts fetching newer contents from other daemons, or reading the store if no
    /// daemon that reaches the store sends heartbeats.
    fn refresh(&mut self, tables: &mut ControlTables, now: TimeMs) {
        if self.refreshing > 0 {
            return;
        }
        if self.trusts_own_watch(tables, now) {
            return;
        }
        let own = tables.revisions();
        match next_refresh(&tables.beats, &own, tables.read_at, now) {
            Refresh::Nothing => {}
            Refresh::Fetch(mut hosts) => {
                if !self.has_failed {
                    hosts.truncate(1);
                }
                for host in hosts {
                    let Some(address) = tables.news_address(&host) else {
                        tables.beats.rows.remove(&host);
                        continue;
                    };
                    self.refreshing += 1;
                    let news = self.news.clone();
                    let fetching = peers::fetch(host, address, own, FETCH_TIMEOUT, news);
                    tokio::task::spawn_local(fetching);
                }
            }
            Refresh::ReadStore => {
                self.refreshing = 1;
                tables.read_at = now;
                log::info!("event=read_store reason=not_told");
                let reading = read_all(Rc::clone(&self.store), self.news.clone());
                tokio::task::spawn_local(reading);
                if tables.store_away_since.is_some() || tables.catalog.is_none() {
                    self.ask_seeds(own);
                }
            }
        }
    }
}

fn next_tick(tables: &ControlTables, follower: &Follower, now: TimeMs) -> Duration {
    if tables.read_at == TimeMs(0) && follower.refreshing == 0 {
        // Start the first read of the store at once.
        return Duration::ZERO;
    }
    let mut due = now + TICK_MS;
    if follower.is_watching() {
        due = due.min(follower.beat_at + BEAT_MS);
    }
    for sweep in [tables.targets.next_sweep(), tables.members.next_sweep()] {
        due = due.min(sweep.unwrap_or(due));
    }
    crate::clock::duration(due.since(now)).max(Duration::from_millis(1))
}

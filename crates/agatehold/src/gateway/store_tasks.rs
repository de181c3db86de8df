//! Tasks that watch or poll keys in the platform's store, and the task that keeps
//! the daemon registered there under a lease.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::Notify;
use tokio::sync::mpsc::Sender;

use agatehold_platform::Item;
use agatehold_platform::Lease;
use agatehold_platform::StoreStatus;
use agatehold_platform::create_lease;
use agatehold_platform::decode_lease;
use agatehold_platform::decode_page;
use agatehold_platform::decode_watch_response;
use agatehold_platform::decode_write;
use agatehold_platform::read_page;
use agatehold_platform::renew_lease;
use agatehold_platform::watch;
use agatehold_platform::write;

use agatehold_core::dissemination::WatchedGroup;
use agatehold_core::ids::HostId;
use agatehold_core::units::DurationMs;
use agatehold_core::units::StoreEra;
use agatehold_core::units::StoreRevision;

use crate::clock::duration;

use super::member::MEMBERS_PREFIX;
use super::messages::Fetched;
use super::store::StoreClient;
use super::store::StoreError;

/// The interval at which some watch of the fleet ends its wait for changes. If the
/// store has lost the watches of all daemons, the first of them that times out
/// reveals what was missed.
const WATCH_TURN_MS: DurationMs = DurationMs(800);

/// The limits of how long a watch call waits for changes. The store allows 30 s.
const WATCH_WAIT_MIN_MS: DurationMs = DurationMs(1_600);
const WATCH_WAIT_MAX_MS: DurationMs = DurationMs(10_000);

/// The timeout of a watch call is its wait plus this margin.
const WATCH_MARGIN: Duration = Duration::from_millis(800);

/// The timeout of all other calls.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The pause after a change before the next watch call, so that further changes are
/// received as one batch.
const BATCH_DELAY: Duration = Duration::from_millis(350);

/// The initial backoff after a failed call.
const BACKOFF_INITIAL: Duration = Duration::from_millis(250);

/// The maximum backoff after a failed call; also about the time until a recovered
/// store is detected.
const BACKOFF_MAX: Duration = Duration::from_millis(1_000);

/// The TTL of the lease that holds the daemon's registration.
const LEASE_TTL_MS: DurationMs = DurationMs(5_000);

/// The interval between lease renewals of a daemon that does not watch the store. The
/// renewals also check that the store responds.
pub(crate) const RENEWAL_INTERVAL: Duration = Duration::from_millis(2_200);

/// The interval at which a daemon reads the registered daemons if it sends
/// heartbeats or receives none.
pub(crate) const MEMBERS_POLL_INTERVAL: Duration = Duration::from_millis(1_500);

/// The interval at which an entry daemon reads the registered daemons if it only receives
/// heartbeats. It hears of changes from them, and finds here that its own entry is lost.
pub(crate) const MEMBERS_POLL_INTERVAL_WITH_HEARTBEATS: Duration = Duration::from_millis(8_000);

/// The same interval of a daemon that is no entry daemon, whose entry matters less.
pub(crate) const MEMBERS_POLL_INTERVAL_AS_RESERVE: Duration = Duration::from_millis(24_000);

/// The maximum random delay before the first read of the registered daemons, which
/// spreads the reads when a whole fleet starts.
const FIRST_POLL_JITTER: Duration = Duration::from_millis(300);

/// The maximum random delay before a daemon registers in a new era of the store, of which a
/// whole fleet may hear at the same moment. Its entry is kept by others for 2.2 s.
const NEW_ERA_JITTER: Duration = Duration::from_millis(300);

/// The groups of keys that are read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyGroup {
    /// The operators' configuration.
    Configuration,
    /// The registered targets.
    Targets,
    /// The registered daemons.
    Members,
}

impl KeyGroup {
    /// Returns the common prefix of the keys.
    pub(crate) const fn prefix(self) -> &'static str {
        match self {
            Self::Configuration => agatehold_platform::CONFIGURATION_KEY,
            Self::Targets => agatehold_platform::TARGETS_PREFIX,
            Self::Members => MEMBERS_PREFIX,
        }
    }

    /// Returns the name used in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Targets => "targets",
            Self::Members => "members",
        }
    }
}

impl From<WatchedGroup> for KeyGroup {
    fn from(group: WatchedGroup) -> Self {
        match group {
            WatchedGroup::Configuration => Self::Configuration,
            WatchedGroup::Targets => Self::Targets,
        }
    }
}

/// The place of this daemon among those that watch the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct WatchTurn {
    /// The position of the daemon; less than `watchers`.
    pub(crate) rank: u64,
    /// The number of daemons that watch the store.
    pub(crate) watchers: u64,
}

impl WatchTurn {
    /// Returns how long a watch call waits for changes.
    ///
    /// A change ends the waits of all daemons at the same time. The waits that
    /// follow differ, so that one of them ends in each [`WATCH_TURN_MS`].
    fn wait(self, follows_change: bool) -> DurationMs {
        let turns = if follows_change {
            self.rank + 1
        } else {
            self.watchers
        };
        let wait_ms = WATCH_TURN_MS.times(turns);
        wait_ms.clamp(WATCH_WAIT_MIN_MS, WATCH_WAIT_MAX_MS)
    }
}

/// An event that the store tasks send to the control loop.
pub(crate) enum StoreEvent {
    /// A complete listing of a key group, as of a revision of the store.
    Listed(KeyGroup, Vec<Item>, StoreRevision),
    /// Changes of a key group, in order, up to the present.
    Changed(WatchedGroup, Vec<Item>),
    /// The call with this name failed.
    CallFailed(&'static str, StoreError),
    /// The lease was renewed, or the registration written.
    LeaseKept,
    /// The store has had nothing newer of a key group than was sent before, as its answer
    /// to a listing or a watch shows.
    Confirmed(WatchedGroup),
    /// Contents fetched from the daemon at this address.
    Fetched(SocketAddr, Box<Fetched>),
    /// A read of the configuration and the targets ended.
    ReadEnded,
    /// A fetch from another daemon ended.
    FetchEnded {
        /// That daemon's host if the fetch failed.
        failed_host: Option<HostId>,
    },
}

/// The daemon's own entry in the store, as last written.
///
/// The store may execute a write of an earlier process on this host late, and the entry
/// then goes away with that process's lease. The daemon sees it in the listings of the
/// registered daemons that it reads anyway.
pub(crate) struct OwnEntry {
    /// The key of the entry.
    key: Box<str>,
    /// The revision of the last write; `None` until a write is acknowledged, and while
    /// another one may be executed.
    revision: Cell<Option<StoreRevision>>,
    /// Notified when the entry is found to be missing or replaced.
    lost: Notify,
}

impl OwnEntry {
    /// Creates the row of an entry that is not written yet.
    pub(crate) fn new(key: &str) -> Self {
        Self {
            key: key.into(),
            revision: Cell::new(None),
            lost: Notify::new(),
        }
    }

    /// Compares the entry with a listing as of `revision`. One that is older than the
    /// last write tells nothing.
    fn check(&self, listed: &[Item], revision: StoreRevision) {
        let Some(written) = self.revision.get() else {
            return;
        };
        if revision < written {
            return;
        }
        let found = listed.iter().find(|item| item.key == self.key);
        if found.is_some_and(|item| item.revision <= written) {
            return;
        }
        log::warn!(
            "event=registration_lost written={written} found={} listed={revision}",
            found.map_or(StoreRevision::ZERO, |item| item.revision)
        );
        metrics::counter!("agatehold_registrations_lost_total").increment(1);
        self.revision.set(None);
        self.lost.notify_one();
    }
}

/// Exponential backoff with jitter: the pause doubles after each failure.
struct Backoff {
    next: Duration,
}

impl Backoff {
    const fn new() -> Self {
        Self {
            next: BACKOFF_INITIAL,
        }
    }

    fn reset(&mut self) {
        self.next = BACKOFF_INITIAL;
    }

    async fn pause(&mut self) {
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(BACKOFF_MAX);
    }
}

/// Lists the keys of a group and then watches them, forever. `is_waiting` is true while a
/// watch waits for changes, so that other answers of the store show that there are none.
pub(crate) async fn list_and_watch(
    store: Rc<StoreClient>,
    group: WatchedGroup,
    turn: Rc<Cell<WatchTurn>>,
    is_waiting: Rc<Cell<bool>>,
    events: Sender<StoreEvent>,
) {
    let key_group = KeyGroup::from(group);
    let mut backoff = Backoff::new();
    loop {
        let listed = list(&store, key_group, false).await;
        let (items, revision) = match listed {
            Ok(listed) => listed,
            Err(error) => {
                let _ = events
                    .send(StoreEvent::CallFailed(key_group.name(), error))
                    .await;
                backoff.pause().await;
                continue;
            }
        };
        backoff.reset();
        let _ = events
            .send(StoreEvent::Listed(key_group, items, revision))
            .await;
        let _ = events.send(StoreEvent::Confirmed(group)).await;
        watch_changes(&store, group, revision, &turn, &is_waiting, &events).await;
        // A replica that lags behind could send each listing back to a new one.
        tokio::time::sleep(BACKOFF_INITIAL).await;
    }
}

/// Watches a key group from `revision` on; returns when the store no longer has the
/// history since then, or has come back from an older copy: the revision means nothing in
/// the new era, where it may have been given out again.
async fn watch_changes(
    store: &StoreClient,
    group: WatchedGroup,
    mut revision: StoreRevision,
    turn: &Cell<WatchTurn>,
    is_waiting: &Cell<bool>,
    events: &Sender<StoreEvent>,
) {
    let key_group = KeyGroup::from(group);
    let mut backoff = Backoff::new();
    let mut follows_change = true;
    loop {
        let wait_ms = turn.get().wait(follows_change);
        let call = watch(key_group.prefix(), revision, wait_ms);
        let timeout = duration(wait_ms) + WATCH_MARGIN;
        is_waiting.set(true);
        let response = store.call(call, timeout).await;
        is_waiting.set(false);
        let watched = match response {
            Ok(response) if response.era != revision.era() => return,
            Ok(response) => {
                decode_watch_response(&response.body, response.era).map_err(StoreError::from)
            }
            Err(error) => Err(error),
        };
        match watched {
            Ok(watched) => {
                backoff.reset();
                revision = revision.max(watched.store_revision);
                follows_change = !watched.changes.is_empty();
                if watched.changes.is_empty() {
                    let _ = events.send(StoreEvent::Confirmed(group)).await;
                    continue;
                }
                let changed = StoreEvent::Changed(group, watched.changes);
                let _ = events.send(changed).await;
                tokio::time::sleep(BATCH_DELAY).await;
            }
            Err(StoreError::Status(StoreStatus::HistoryGone)) => {
                log::info!(
                    "event=history_gone subject={} revision={revision}",
                    key_group.name()
                );
                return;
            }
            Err(error) => {
                let _ = events
                    .send(StoreEvent::CallFailed(key_group.name(), error))
                    .await;
                backoff.pause().await;
            }
        }
    }
}

/// Reads all keys of a group. Reads that may be stale are repeated as others if a replica
/// of an older era answers, which may stay in it.
async fn list(
    store: &StoreClient,
    key_group: KeyGroup,
    may_be_stale: bool,
) -> Result<(Vec<Item>, StoreRevision), StoreError> {
    match list_pages(store, key_group, may_be_stale).await {
        Err(StoreError::OldEra(_)) if may_be_stale => list_pages(store, key_group, false).await,
        listed => listed,
    }
}

/// Reads all keys of a group, page by page. Returns the revision of the first page:
/// a watch that starts there misses no change.
async fn list_pages(
    store: &StoreClient,
    key_group: KeyGroup,
    may_be_stale: bool,
) -> Result<(Vec<Item>, StoreRevision), StoreError> {
    let mut items: Vec<Item> = Vec::new();
    let mut revision: Option<StoreRevision> = None;
    loop {
        let after = items.last().map(|item| item.key.clone());
        let call = read_page(key_group.prefix(), after.as_deref(), may_be_stale);
        let response = store.call(call, CALL_TIMEOUT).await?;
        let page = decode_page(&response.body, response.era)?;
        if revision.is_some_and(|oldest| oldest.era() != response.era) {
            // The pages before are of the older era.
            items.clear();
            revision = None;
            continue;
        }
        // Pages are no snapshot, and a later one may be the older one if it may be stale.
        let oldest = revision.map_or(page.store_revision, |oldest| {
            oldest.min(page.store_revision)
        });
        revision = Some(oldest);
        let is_last = !page.has_more || page.items.is_empty();
        items.extend(page.items);
        if is_last {
            return Ok((items, oldest));
        }
    }
}

/// Reads the configuration and the targets from the store, for a daemon that gets
/// them from no other daemon.
///
/// The targets may be stale if the daemon has just started, which is cheaper for the
/// store while a whole fleet starts. It learns what is newer from the next heartbeat,
/// or reads the store again if none arrives. The configuration is always current.
pub(crate) async fn read_all(store: Rc<StoreClient>, is_start: bool, events: Sender<StoreEvent>) {
    for key_group in [KeyGroup::Configuration, KeyGroup::Targets] {
        let may_be_stale = is_start && key_group == KeyGroup::Targets;
        match list(&store, key_group, may_be_stale).await {
            Ok((items, revision)) => {
                let listed = StoreEvent::Listed(key_group, items, revision);
                let _ = events.send(listed).await;
            }
            Err(error) => {
                let failed = StoreEvent::CallFailed(key_group.name(), error);
                let _ = events.send(failed).await;
                break;
            }
        }
    }
    let _ = events.send(StoreEvent::ReadEnded).await;
}

/// Polls the registered daemons, forever. The reads may return stale data, which is
/// cheap for the store: a caller that gets the address of a stopped daemon tries
/// another one.
pub(crate) async fn poll_members(
    store: Rc<StoreClient>,
    own_entry: Rc<OwnEntry>,
    mut pause: tokio::sync::watch::Receiver<Duration>,
    events: Sender<StoreEvent>,
) {
    let jitter = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(FIRST_POLL_JITTER.mul_f64(jitter)).await;
    loop {
        let event = match list(&store, KeyGroup::Members, true).await {
            Ok((items, revision)) => {
                own_entry.check(&items, revision);
                StoreEvent::Listed(KeyGroup::Members, items, revision)
            }
            Err(error) => StoreEvent::CallFailed(KeyGroup::Members.name(), error),
        };
        let _ = events.send(event).await;
        let length = *pause.borrow_and_update();
        // A change of the interval ends the pause early.
        let _ = tokio::time::timeout(length, pause.changed()).await;
    }
}

/// Registers the daemon and renews its lease, forever; updates the record in the
/// store whenever it changes.
pub(crate) async fn stay_registered(
    store: Rc<StoreClient>,
    own_entry: Rc<OwnEntry>,
    mut record: tokio::sync::watch::Receiver<Vec<u8>>,
    renewal_interval: tokio::sync::watch::Receiver<Duration>,
    events: Sender<StoreEvent>,
) {
    let mut backoff = Backoff::new();
    loop {
        let (lease, era) = match obtain_lease(&store).await {
            Ok(obtained) => obtained,
            Err(error) => {
                let _ = events.send(StoreEvent::CallFailed("lease", error)).await;
                backoff.pause().await;
                continue;
            }
        };
        backoff.reset();
        keep_lease(
            &store,
            lease,
            era,
            &own_entry,
            &mut record,
            &renewal_interval,
            &events,
        )
        .await;
    }
}

async fn obtain_lease(store: &StoreClient) -> Result<(Lease, StoreEra), StoreError> {
    let response = store.call(create_lease(LEASE_TTL_MS), CALL_TIMEOUT).await?;
    Ok((decode_lease(&response.body)?, response.era))
}

/// Writes the record and renews the lease until the store reports that it has expired, or
/// has come back from an older copy: the number of a lease of the era before may have been
/// given to another daemon since.
///
/// Writes the record again whenever it changes, or its entry is lost.
///
/// A write without an answer is repeated with the same lease: the store may execute it
/// seconds later, and the key then belongs to the lease of the last write. With a lease
/// that is no longer renewed the key would go away.
async fn keep_lease(
    store: &StoreClient,
    lease: Lease,
    era: StoreEra,
    own_entry: &OwnEntry,
    record: &mut tokio::sync::watch::Receiver<Vec<u8>>,
    renewal_interval: &tokio::sync::watch::Receiver<Duration>,
    events: &Sender<StoreEvent>,
) {
    let mut backoff = Backoff::new();
    let mut is_registered = false;
    let mut is_written = false;
    let mut newest_era = store.watch_era();
    loop {
        if is_written {
            let interval = *renewal_interval.borrow();
            is_written = tokio::select! {
                _ = record.changed() => false,
                () = own_entry.lost.notified() => false,
                _ = newest_era.wait_for(|newest| *newest > era) => false,
                () = tokio::time::sleep(interval) => true,
            };
        }
        if store.era() > era {
            log::info!("event=lease_dropped lease={} era={era}", lease.id);
            own_entry.revision.set(None);
            let jitter = rand::rng().random_range(0.0..1.0);
            tokio::time::sleep(NEW_ERA_JITTER.mul_f64(jitter)).await;
            return;
        }
        let call = if is_written {
            renew_lease(lease.id)
        } else {
            let value = record.borrow_and_update().clone();
            own_entry.revision.set(None);
            write(&own_entry.key, &value, lease.id)
        };
        match store.call(call, CALL_TIMEOUT).await {
            Ok(response) => {
                if !is_written {
                    // Without the revision, a lost entry is not noticed.
                    own_entry
                        .revision
                        .set(decode_write(&response.body, response.era).ok());
                }
                is_written = true;
                backoff.reset();
                if !std::mem::replace(&mut is_registered, true) {
                    log::info!("event=registered lease={} ttl={}", lease.id, lease.ttl_ms);
                }
                let _ = events.send(StoreEvent::LeaseKept).await;
            }
            Err(StoreError::Status(StoreStatus::NotFound)) => {
                log::warn!("event=lease_ended lease={}", lease.id);
                own_entry.revision.set(None);
                return;
            }
            Err(error) => {
                let _ = events.send(StoreEvent::CallFailed("lease", error)).await;
                if !is_written {
                    backoff.pause().await;
                }
            }
        }
    }
}

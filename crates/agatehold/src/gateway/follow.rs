//! Tasks that watch or poll keys in the platform's store, and the task that keeps
//! the daemon registered there under a lease.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::mpsc::Sender;

use agatehold_platform::Item;
use agatehold_platform::Lease;
use agatehold_platform::StoreStatus;
use agatehold_platform::create_lease;
use agatehold_platform::decode_lease;
use agatehold_platform::decode_page;
use agatehold_platform::decode_watched;
use agatehold_platform::read_page;
use agatehold_platform::renew_lease;
use agatehold_platform::watch;
use agatehold_platform::write;

use agatehold_core::ids::HostId;
use agatehold_core::units::DurationMs;

use crate::clock::duration;

use super::member::MEMBERS_PREFIX;
use super::news::Fetched;
use super::store::StoreClient;
use super::store::StoreFault;

/// How long a watch call waits for changes. The store allows 30 s; the shorter wait
/// bounds the time until a watch that the store has lost is detected by its timeout
/// if nothing else reveals it.
const WATCH_WAIT_MS: DurationMs = DurationMs(10_000);

/// The time added to the wait of a watch call for its timeout.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// The timeout of all other calls.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The pause after a change before the next watch call, so that further changes are
/// received as one batch.
const GATHER: Duration = Duration::from_millis(350);

/// The initial backoff after a failed call.
const BACKOFF_FIRST: Duration = Duration::from_millis(250);

/// The maximum backoff after a failed call; also about the time until a recovered
/// store is detected.
const BACKOFF_LAST: Duration = Duration::from_millis(1_000);

/// The TTL of the lease that holds the daemon's registration.
const LEASE_TTL_MS: DurationMs = DurationMs(5_000);

/// The interval between lease renewals, which also check that the store responds.
const RENEWAL: Duration = Duration::from_millis(1_500);

/// The interval at which a daemon reads the registered daemons if it sends
/// heartbeats or receives none.
pub(crate) const MEMBERS_POLL: Duration = Duration::from_millis(1_500);

/// The interval at which a daemon reads the registered daemons if it only receives
/// heartbeats.
pub(crate) const MEMBERS_POLL_TOLD: Duration = Duration::from_millis(8_000);

/// The maximum random delay before the first read of the registered daemons, which
/// spreads the reads when a whole fleet starts.
const FIRST_POLL: Duration = Duration::from_millis(300);

/// The groups of keys that are read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Subject {
    /// The operators' configuration.
    Configuration,
    /// The registered targets.
    Targets,
    /// The registered daemons.
    Members,
}

impl Subject {
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

/// An event that the store tasks send to the control loop.
pub(crate) enum StoreNews {
    /// A complete listing of a key group, as of a revision of the store.
    Listed(Subject, Vec<Item>, u64),
    /// Changes of a key group, in order.
    Changed(Subject, Vec<Item>),
    /// The call with this name failed.
    Failed(&'static str, StoreFault),
    /// A call succeeded.
    Answered,
    /// A complete read of the store has succeeded.
    Read,
    /// Contents fetched from the daemon at this address.
    Fetched(SocketAddr, Fetched),
    /// A fetch from another daemon or a read of the store ended; holds the
    /// daemon's host if the fetch failed.
    Refreshed(Option<HostId>),
}

/// Exponential backoff with jitter.
struct Backoff {
    next: Duration,
}

impl Backoff {
    const fn new() -> Self {
        Self {
            next: BACKOFF_FIRST,
        }
    }

    fn reset(&mut self) {
        self.next = BACKOFF_FIRST;
    }

    async fn pause(&mut self) {
        let spread = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.next.mul_f64(spread)).await;
        self.next = (self.next * 2).min(BACKOFF_LAST);
    }
}

/// Lists the keys of a group and then watches them, forever.
pub(crate) async fn follow(store: Rc<StoreClient>, subject: Subject, news: Sender<StoreNews>) {
    let mut backoff = Backoff::new();
    loop {
        let listed = list(&store, subject, false).await;
        let (items, revision) = match listed {
            Ok(listed) => listed,
            Err(fault) => {
                let _ = news.send(StoreNews::Failed(subject.name(), fault)).await;
                backoff.pause().await;
                continue;
            }
        };
        backoff.reset();
        let _ = news.send(StoreNews::Listed(subject, items, revision)).await;
        watch_from(&store, subject, revision, &news).await;
    }
}

/// Watches a key group from `revision` on; returns when the store no longer has the
/// history since then.
async fn watch_from(
    store: &StoreClient,
    subject: Subject,
    mut revision: u64,
    news: &Sender<StoreNews>,
) {
    let mut backoff = Backoff::new();
    loop {
        let call = watch(subject.prefix(), revision, WATCH_WAIT_MS);
        let timeout = duration(WATCH_WAIT_MS) + WATCH_MARGIN;
        let answer = store.call(call, timeout).await;
        let watched = match answer {
            Ok(body) => decode_watched(&body).map_err(StoreFault::from),
            Err(fault) => Err(fault),
        };
        match watched {
            Ok(watched) => {
                backoff.reset();
                revision = revision.max(watched.store_revision);
                if watched.changes.is_empty() {
                    let _ = news.send(StoreNews::Answered).await;
                    continue;
                }
                let _ = news
                    .send(StoreNews::Changed(subject, watched.changes))
                    .await;
                tokio::time::sleep(GATHER).await;
            }
            Err(StoreFault::Status(StoreStatus::HistoryGone)) => {
                log::info!(
                    "event=history_gone subject={} revision={revision}",
                    subject.name()
                );
                return;
            }
            Err(fault) => {
                let _ = news.send(StoreNews::Failed(subject.name(), fault)).await;
                backoff.pause().await;
            }
        }
    }
}

/// Reads all keys of a group, page by page. Returns the revision of the first page:
/// a watch that starts there misses no change.
async fn list(
    store: &StoreClient,
    subject: Subject,
    may_be_stale: bool,
) -> Result<(Vec<Item>, u64), StoreFault> {
    let mut items: Vec<Item> = Vec::new();
    let mut revision = None;
    loop {
        let after = items.last().map(|item| item.key.clone());
        let call = read_page(subject.prefix(), after.as_deref(), may_be_stale);
        let body = store.call(call, CALL_TIMEOUT).await?;
        let page = decode_page(&body)?;
        let first = *revision.get_or_insert(page.store_revision);
        let is_last = !page.has_more || page.items.is_empty();
        items.extend(page.items);
        if is_last {
            return Ok((items, first));
        }
    }
}

/// Reads the configuration and the targets from the store, for a daemon that gets
/// them from no other daemon.
pub(crate) async fn read_all(store: Rc<StoreClient>, news: Sender<StoreNews>) {
    let mut failed = false;
    for subject in [Subject::Configuration, Subject::Targets] {
        let told = match list(&store, subject, false).await {
            Ok((items, revision)) => StoreNews::Listed(subject, items, revision),
            Err(fault) => {
                failed = true;
                StoreNews::Failed(subject.name(), fault)
            }
        };
        let _ = news.send(told).await;
        if failed {
            break;
        }
    }
    if !failed {
        let _ = news.send(StoreNews::Read).await;
    }
    let _ = news.send(StoreNews::Refreshed(None)).await;
}

/// Polls the registered daemons, forever. The reads may return stale data, which is
/// cheap for the store: a caller that gets the address of a stopped daemon tries
/// another one.
pub(crate) async fn poll_members(
    store: Rc<StoreClient>,
    mut pause: tokio::sync::watch::Receiver<Duration>,
    news: Sender<StoreNews>,
) {
    let spread = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(FIRST_POLL.mul_f64(spread)).await;
    loop {
        let told = match list(&store, Subject::Members, true).await {
            Ok((items, revision)) => StoreNews::Listed(Subject::Members, items, revision),
            Err(fault) => StoreNews::Failed(Subject::Members.name(), fault),
        };
        let _ = news.send(told).await;
        let length = *pause.borrow_and_update();
        // A change of the interval ends the pause early.
        let _ = tokio::time::timeout(length, pause.changed()).await;
    }
}

/// Registers the daemon and renews its lease, forever; updates the record in the
/// store whenever it changes.
pub(crate) async fn stay_registered(
    store: Rc<StoreClient>,
    key: String,
    mut record: tokio::sync::watch::Receiver<Vec<u8>>,
    news: Sender<StoreNews>,
) {
    let mut backoff = Backoff::new();
    loop {
        let value = record.borrow_and_update().clone();
        let lease = match register(&store, &key, &value).await {
            Ok(lease) => lease,
            Err(fault) => {
                let _ = news.send(StoreNews::Failed("lease", fault)).await;
                backoff.pause().await;
                continue;
            }
        };
        backoff.reset();
        log::info!("event=registered lease={} ttl={}", lease.id, lease.ttl_ms);
        keep_lease(&store, lease, &key, &mut record, &news).await;
    }
}

async fn register(store: &StoreClient, key: &str, value: &[u8]) -> Result<Lease, StoreFault> {
    let body = store.call(create_lease(LEASE_TTL_MS), CALL_TIMEOUT).await?;
    let lease = decode_lease(&body)?;
    store
        .call(write(key, value, lease.id), CALL_TIMEOUT)
        .await?;
    Ok(lease)
}

/// Renews the lease until the store reports that it has expired.
async fn keep_lease(
    store: &StoreClient,
    lease: Lease,
    key: &str,
    record: &mut tokio::sync::watch::Receiver<Vec<u8>>,
    news: &Sender<StoreNews>,
) {
    loop {
        let changed = tokio::time::timeout(RENEWAL, record.changed())
            .await
            .is_ok();
        let call = if changed {
            let value = record.borrow_and_update().clone();
            write(key, &value, lease.id)
        } else {
            renew_lease(lease.id)
        };
        match store.call(call, CALL_TIMEOUT).await {
            Ok(_) => {
                let _ = news.send(StoreNews::Answered).await;
            }
            Err(StoreFault::Status(StoreStatus::NotFound)) => {
                log::warn!("event=lease_ended lease={}", lease.id);
                return;
            }
            Err(fault) => {
                if changed {
                    record.mark_changed();
                }
                let _ = news.send(StoreNews::Failed("lease", fault)).await;
            }
        }
    }
}

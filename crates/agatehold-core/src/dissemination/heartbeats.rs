//! The heartbeats in which daemons report the revisions of the store that they
//! know.

use crate::addresses::rendezvous_score;
use crate::ids::HostId;
use crate::table::Table;
use crate::units::DurationMs;
use crate::units::StoreEra;
use crate::units::StoreRevision;
use crate::units::TimeMs;

use super::HEARTBEAT_TIMEOUT_MS;
use super::STORE_ANSWER_AGE_MAX_MS;

/// How much the clocks of two hosts may drift apart between two heartbeats: 0.17%.
const DRIFT_MS: i64 = 1;

/// The number of senders whose clocks are remembered. A daemon hears three at a time.
const CLOCKS_MAX: usize = 64;

/// The newest revisions of the store's contents that a daemon knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Revisions {
    /// The revision of the operators' configuration.
    pub configuration: StoreRevision,
    /// The revision of the last change to the registered targets.
    pub targets: StoreRevision,
    /// The revision of the last change to the registered daemons.
    pub members: StoreRevision,
}

impl Revisions {
    /// Orders revisions by what is most urgent: the configuration, then the
    /// targets, then the members.
    pub(super) const fn by_urgency(&self) -> (StoreRevision, StoreRevision, StoreRevision) {
        (self.configuration, self.targets, self.members)
    }

    /// Returns whether any revision in `self` is higher than in `other`.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.configuration > other.configuration
            || self.targets > other.targets
            || self.members > other.members
    }

    /// Returns whether `self` has a newer configuration or newer targets than `other`. The
    /// registered daemons don't count: a request is handled as before without them.
    pub fn has_newer_contents_than(&self, other: &Self) -> bool {
        self.configuration > other.configuration || self.targets > other.targets
    }

    /// Returns the newest era of any revision.
    pub fn era(&self) -> StoreEra {
        let newest = self.configuration.max(self.targets).max(self.members);
        newest.era()
    }
}

/// A heartbeat message of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreHeartbeat {
    /// The sender's host.
    pub host: HostId,
    /// The revisions that the sender knows.
    pub revisions: Revisions,
    /// How long ago the store last showed the sender that its contents are current.
    pub store_age_ms: DurationMs,
    /// When the heartbeat was sent; `None` in those of daemons that don't tell.
    pub sent: Option<SentTime>,
}

/// A point in time by the clock of another process, which goes on while its host is
/// suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentTime {
    /// A mark of the process that the one before on its host hardly has. It is short, since
    /// heartbeats are sent to the whole fleet all the time.
    pub process: u16,
    /// The time since an origin that the process has chosen.
    pub at: TimeMs,
}

/// How far the local clock is ahead of the clock of a sender.
#[derive(Clone, Copy, Debug)]
struct SenderClock {
    /// The mark of the sender's process.
    process: u16,
    /// The least difference between the time of arrival and the time of sending, which is
    /// that of a heartbeat without delay.
    offset_ms: i64,
}

impl SenderClock {
    /// Returns how much longer a heartbeat was on its way than the fastest ones of its
    /// sender, and takes it into account. Clocks may drift apart by [`DRIFT_MS`] from one
    /// heartbeat to the next.
    fn delay(clock: &mut Option<Self>, sent: SentTime, now: TimeMs) -> DurationMs {
        let signed_ms = |time: TimeMs| i64::try_from(time.0).unwrap_or(i64::MAX);
        let offset_ms = signed_ms(now) - signed_ms(sent.at);
        let known = clock.filter(|clock| clock.process == sent.process);
        let least_ms = known.map_or(offset_ms, |clock| {
            offset_ms.min(clock.offset_ms.saturating_add(DRIFT_MS))
        });
        *clock = Some(Self {
            process: sent.process,
            offset_ms: least_ms,
        });
        DurationMs(offset_ms.abs_diff(least_ms))
    }
}

/// The last heartbeat received from a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedHeartbeat {
    /// The revisions that the sender knew.
    pub revisions: Revisions,
    /// When the store had last answered the sender, by the local clock; the delay of the
    /// heartbeat is taken off.
    pub store_answered_at: TimeMs,
    /// When the heartbeat arrived.
    pub heard_at: TimeMs,
}

impl ReceivedHeartbeat {
    /// Returns until when the heartbeat shows that its sender reaches the store.
    pub(super) fn recent_until(&self) -> TimeMs {
        let heard_until = self.heard_at + HEARTBEAT_TIMEOUT_MS;
        heard_until.min(self.store_answered_at + STORE_ANSWER_AGE_MAX_MS)
    }
}

/// The last received heartbeats by host.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatTable {
    /// The heartbeats.
    pub rows: Table<HostId, ReceivedHeartbeat>,
    /// The receiving host's id; makes the order of equal sources differ between
    /// daemons.
    salt: Box<str>,
    /// The newest era of the store that is known; it never decreases.
    newest_era: StoreEra,
    /// The clocks of the senders.
    clocks: Table<HostId, Option<SenderClock>>,
    /// Until when heartbeats that have been replaced since, or are not needed any more,
    /// confirm the daemon's own contents; of the newest era.
    confirmed_until: TimeMs,
}

impl HeartbeatTable {
    /// Creates an empty table for the daemon on `host`.
    pub fn new(host: &HostId) -> Self {
        Self {
            rows: Table::new(),
            salt: host.as_str().into(),
            newest_era: StoreEra(0),
            clocks: Table::new(),
            confirmed_until: TimeMs(0),
        }
    }

    /// Records a received heartbeat.
    pub fn record(&mut self, heartbeat: &StoreHeartbeat, now: TimeMs) {
        let delay_ms = heartbeat
            .sent
            .map_or(DurationMs(0), |sent| self.delay(&heartbeat.host, sent, now));
        let heard = ReceivedHeartbeat {
            revisions: heartbeat.revisions,
            store_answered_at: now - heartbeat.store_age_ms - delay_ms,
            heard_at: now,
        };
        self.raise_era(heartbeat.revisions.era());
        self.rows.insert(heartbeat.host.clone(), heard);
    }

    /// Returns how long the heartbeat of a host was delayed.
    fn delay(&mut self, host: &HostId, sent: SentTime, now: TimeMs) -> DurationMs {
        if self.clocks.len() >= CLOCKS_MAX && !self.clocks.contains(host) {
            // Learned again with the next heartbeats.
            self.clocks = Table::new();
        }
        let clock = self.clocks.get_or_insert(host.clone(), || None);
        SenderClock::delay(clock, sent, now)
    }

    /// Keeps until when the heartbeats confirm the contents `own`. It is called at each
    /// heartbeat and each change of the contents, since the next heartbeat of the same
    /// sender replaces the row.
    pub fn confirm(&mut self, own: &Revisions) {
        self.confirmed_until = self.confirmed_until(own);
    }

    /// Returns until when heartbeats confirm the contents `own`.
    pub(super) fn confirmed_until(&self, own: &Revisions) -> TimeMs {
        let mut until = self.confirmed_until;
        for heartbeat in self.rows_of_newest_era() {
            if heartbeat.revisions.has_newer_contents_than(own) {
                continue;
            }
            until = until.max(heartbeat.recent_until());
        }
        until
    }

    /// Returns the heartbeats whose senders know the newest era. Another sender may be
    /// served by an old replica of the store.
    pub(super) fn rows_of_newest_era(&self) -> impl Iterator<Item = &ReceivedHeartbeat> {
        let rows = self.rows.rows().map(|(_, heartbeat)| heartbeat);
        rows.filter(|heartbeat| heartbeat.revisions.era() >= self.newest_era)
    }

    /// Returns the heartbeats that have arrived recently, with their senders.
    pub fn recent_rows(&self, now: TimeMs) -> impl Iterator<Item = (&HostId, &ReceivedHeartbeat)> {
        let rows = self.rows.rows();
        rows.filter(move |(_, row)| now.since(row.heard_at) <= HEARTBEAT_TIMEOUT_MS)
    }

    /// Returns the newest era of the store that is known from any source.
    pub const fn newest_era(&self) -> StoreEra {
        self.newest_era
    }

    /// Records an era that is known from another source than a heartbeat. Returns whether
    /// it is newer than all known ones.
    pub fn raise_era(&mut self, era: StoreEra) -> bool {
        let is_newer = era > self.newest_era;
        if is_newer {
            self.newest_era = era;
            self.confirmed_until = TimeMs(0);
        }
        is_newer
    }

    /// Returns the rank of a source among sources with equal revisions, so that
    /// the daemons that hear of a change at once don't all fetch from one.
    pub(super) fn source_rank(&self, host: &HostId) -> u64 {
        rendezvous_score(&[&self.salt], host.as_str())
    }
}

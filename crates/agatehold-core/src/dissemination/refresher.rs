//! Decides when a daemon reads the store and when it fetches from other daemons.

use crate::ids::HostId;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::HEARTBEAT_TIMEOUT_MS;
use super::HeartbeatTable;
use super::Revisions;
use super::fetch_sources;
use super::read_due_at;

/// The timeout of a fetch from another daemon.
pub const FETCH_TIMEOUT_MS: DurationMs = DurationMs(400);

/// How long a daemon puts off fetching from another failure domain, so that one in its
/// own learns of the change first. A watch pauses for 350 ms after each change.
const FAR_FETCH_DELAY_MS: DurationMs = DurationMs(450);

/// What a fetch takes as a rule. A longer allowance ended most of the waits for a near source
/// early, so that the bytes between failure domains grew.
const FETCH_ALLOWANCE_MS: DurationMs = DurationMs(100);

/// The minimum time between the end of a read of the store and the next one. A read takes
/// longer than [`HEARTBEAT_TIMEOUT_MS`] while a fleet starts on slow hosts or the store is
/// slow; without a pause each of these daemons would read it all the time.
const READ_PAUSE_MS: DurationMs = DurationMs(650);

/// How a daemon gets newer contents of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refresh {
    /// It does nothing now.
    Nothing,
    /// It fetches from these daemons.
    Fetch(Vec<HostId>),
    /// It reads the store.
    ReadStore(ReadReason),
}

/// Why a daemon that does not watch the store reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadReason {
    /// No daemon that reaches the store has confirmed the contents lately.
    NotConfirmed,
    /// A fetch failed: the sources may be too slow for a large configuration, or gone.
    FetchFailed,
}

impl ReadReason {
    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotConfirmed => "not_confirmed",
            Self::FetchFailed => "fetch_failed",
        }
    }
}

/// What the decision depends on besides heartbeats.
pub struct RefreshInputs<'a> {
    /// The revisions up to which the daemon's contents are complete.
    pub own: Revisions,
    /// Before this time the store is not read for lack of a confirmation.
    pub read_not_before: TimeMs,
    /// Whether the store answers this daemon, as far as is known.
    pub is_store_available: bool,
    /// Whether the daemon fetches rather than reads the store as long as it has sources: it
    /// has just started, and the others have started with it as a rule.
    pub prefers_fetch: bool,
    /// Whether the daemon may wait for a source in its own failure domain.
    pub may_wait_for_near: bool,
    /// Whether a host is in the daemon's own failure domain.
    pub is_near: &'a dyn Fn(&HostId) -> bool,
    /// Whether the address from which a host's daemon serves others is known.
    pub has_address: &'a dyn Fn(&HostId) -> bool,
}

/// The running fetches and reads of a daemon.
///
/// A read of the store that is due does not depend on fetches: whether what other daemons
/// announce can be fetched may turn out only after the time in which a change must be known.
/// Reads begin at least [`HEARTBEAT_TIMEOUT_MS`] apart, since each call has a price.
#[derive(Clone, Debug, Default)]
pub struct Refresher {
    /// The number of running fetches; 0 as soon as one has succeeded.
    running_fetches: usize,
    /// Whether the last fetch failed, so that the next one asks several daemons.
    last_fetch_failed: bool,
    /// Whether a read of the store is running.
    is_reading: bool,
    /// When the last read of the store began.
    read_at: TimeMs,
    /// When the last read of the store ended.
    read_ended_at: TimeMs,
    /// Since when only daemons in other failure domains are known to be ahead.
    far_ahead_since: Option<TimeMs>,
}

impl Refresher {
    /// Returns until when a daemon without a configuration waits after a read that did not
    /// bring it. It has no contents that can be too old, and others may be about to send
    /// heartbeats.
    pub fn first_contents_pause_ends(&self) -> TimeMs {
        self.read_ended_at + HEARTBEAT_TIMEOUT_MS
    }

    /// Returns when the last read of the store began; zero if there was none.
    pub const fn read_at(&self) -> TimeMs {
        self.read_at
    }

    /// Returns whether nothing is running.
    pub const fn is_idle(&self) -> bool {
        self.running_fetches == 0 && !self.is_reading
    }

    /// Lets the next read wait as if one had begun now.
    pub fn put_off_read(&mut self, now: TimeMs) {
        self.read_at = self.read_at.max(now);
    }

    /// Records that a read of the store has ended.
    pub const fn end_read(&mut self, now: TimeMs) {
        self.is_reading = false;
        self.read_ended_at = now;
    }

    /// Records that a fetch has ended. Other fetches that run may still succeed if it
    /// failed, and need not be awaited otherwise.
    pub const fn end_fetch(&mut self, has_failed: bool) {
        self.last_fetch_failed = has_failed;
        self.running_fetches = match has_failed {
            true => self.running_fetches.saturating_sub(1),
            false => 0,
        };
    }

    /// Records that the daemon does not need others, since it relies on its own watch.
    pub const fn follow_own_watch(&mut self) {
        self.far_ahead_since = None;
    }

    /// Returns the next time at which [`Self::decide`] may begin something if no event comes
    /// before.
    pub fn next_due(
        &self,
        heartbeats: &HeartbeatTable,
        own: &Revisions,
        read_not_before: TimeMs,
        prefers_fetch: bool,
    ) -> Option<TimeMs> {
        let read_due_at = self.read_due_at(heartbeats, own, read_not_before);
        let awaits_fetch = prefers_fetch && self.running_fetches > 0;
        let due = (!self.is_reading && !awaits_fetch).then_some(read_due_at);
        let Some(since) = self.far_ahead_since else {
            return due;
        };
        if self.running_fetches > 0 {
            return due;
        }
        let fetch_due = far_wait_ends(since, read_due_at).max(self.fetch_not_before());
        Some(due.map_or(fetch_due, |due| due.min(fetch_due)))
    }

    /// Decides what to do now, and records that it is begun.
    pub fn decide(
        &mut self,
        heartbeats: &HeartbeatTable,
        inputs: &RefreshInputs<'_>,
        now: TimeMs,
    ) -> Refresh {
        let read_due_at = self.read_due_at(heartbeats, &inputs.own, inputs.read_not_before);
        let mut sources = fetch_sources(heartbeats, &inputs.own, inputs.has_address, now);
        let fetches_first = inputs.prefers_fetch && !sources.is_empty();
        if now >= read_due_at && !self.is_reading && !fetches_first {
            return self.begin_read(ReadReason::NotConfirmed, now);
        }
        if sources.is_empty() {
            self.far_ahead_since = None;
            return Refresh::Nothing;
        }
        if self.running_fetches > 0 || now < self.fetch_not_before() {
            return Refresh::Nothing;
        }
        if self.needs_read_after_failure(heartbeats, inputs, &sources, now) {
            self.last_fetch_failed = false;
            return self.begin_read(ReadReason::FetchFailed, now);
        }
        // Bytes between failure domains cost bandwidth.
        sources.sort_by_key(|host| !(inputs.is_near)(host));
        if self.waits_for_near(&sources[0], inputs, read_due_at, now) {
            return Refresh::Nothing;
        }
        if !self.last_fetch_failed {
            sources.truncate(1);
        }
        self.running_fetches = sources.len();
        Refresh::Fetch(sources)
    }

    /// Returns whether to read the store since a fetch has failed, rather than to fetch from
    /// `sources`. A read that began after a change brought it, so that none is needed within
    /// [`HEARTBEAT_TIMEOUT_MS`]; the registered daemons come by other reads.
    fn needs_read_after_failure(
        &self,
        heartbeats: &HeartbeatTable,
        inputs: &RefreshInputs<'_>,
        sources: &[HostId],
        now: TimeMs,
    ) -> bool {
        let may_read = !self.is_reading && now.since(self.read_at) > HEARTBEAT_TIMEOUT_MS;
        if !self.last_fetch_failed || !inputs.is_store_available || !may_read {
            return false;
        }
        let mut rows = sources.iter().filter_map(|host| heartbeats.rows.get(host));
        rows.any(|row| row.revisions.has_newer_contents_than(&inputs.own))
    }

    fn begin_read(&mut self, reason: ReadReason, now: TimeMs) -> Refresh {
        self.is_reading = true;
        self.read_at = now;
        self.far_ahead_since = None;
        Refresh::ReadStore(reason)
    }

    /// Returns when the next read of the store is due if no further heartbeat arrives.
    fn read_due_at(
        &self,
        heartbeats: &HeartbeatTable,
        own: &Revisions,
        read_not_before: TimeMs,
    ) -> TimeMs {
        let pause_ends = self.read_ended_at + READ_PAUSE_MS;
        let due_at = read_due_at(heartbeats, own, self.read_at);
        due_at.max(read_not_before).max(pause_ends)
    }

    /// Returns the time before which no fetch is begun. A read that runs brings the same
    /// contents, unless the store does not answer it.
    fn fetch_not_before(&self) -> TimeMs {
        if self.is_reading {
            return self.read_at + HEARTBEAT_TIMEOUT_MS;
        }
        TimeMs(0)
    }

    /// Returns whether to wait until a daemon in the own failure domain is ahead too, given
    /// the nearest one that is ahead now.
    fn waits_for_near(
        &mut self,
        nearest: &HostId,
        inputs: &RefreshInputs<'_>,
        read_due_at: TimeMs,
        now: TimeMs,
    ) -> bool {
        if (inputs.is_near)(nearest) || !inputs.may_wait_for_near {
            self.far_ahead_since = None;
            return false;
        }
        let since = *self.far_ahead_since.get_or_insert(now);
        if now < far_wait_ends(since, read_due_at) {
            return true;
        }
        self.far_ahead_since = None;
        false
    }
}

/// Returns when to stop waiting for a daemon in the own failure domain, given since when
/// others are ahead: early enough that a fetch can spare the next read of the store.
fn far_wait_ends(since: TimeMs, read_due_at: TimeMs) -> TimeMs {
    (since + FAR_FETCH_DELAY_MS).min(read_due_at - FETCH_ALLOWANCE_MS)
}

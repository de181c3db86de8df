//! The progress of a planned stop in the traffic thread, and the caller connections that
//! it waits for.

use std::cell::Cell;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::watch;

use agatehold_core::dispatch::StopPhase;
use agatehold_core::dispatch::may_start_attempt;
use agatehold_core::dispatch::may_take_request;
use agatehold_core::dispatch::stop_phase;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

use super::endpoint::Endpoint;
use super::shared::GatewayShared;

/// How long a daemon that exits waits for its callers to close their connections.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// The progress of a planned stop.
pub(super) struct Shutdown {
    shared: Arc<GatewayShared>,
    /// What is done with the requests of callers; never goes back to an earlier phase.
    phase: watch::Sender<StopPhase>,
    /// The number of open caller connections.
    connections: Cell<u64>,
    /// When the last caller connection was accepted.
    last_connection_at: Cell<TimeMs>,
    /// Until when callers may use the connections that they keep, as far as they were told.
    connections_kept_until: Cell<TimeMs>,
    /// Notified when the last caller connection closes.
    connections_closed: Notify,
}

impl Shutdown {
    /// Creates the state of a daemon that serves.
    pub(super) fn new(shared: &Arc<GatewayShared>) -> Self {
        Self {
            shared: Arc::clone(shared),
            phase: watch::Sender::default(),
            connections: Cell::new(0),
            last_connection_at: Cell::new(TimeMs(0)),
            connections_kept_until: Cell::new(TimeMs(0)),
            connections_closed: Notify::new(),
        }
    }

    /// Counts a newly accepted caller connection.
    pub(super) fn count_connection(&self, endpoint: Endpoint) {
        if endpoint != Endpoint::Callers {
            return;
        }
        self.connections.set(self.connections.get() + 1);
        self.last_connection_at.set(self.shared.clock.now());
    }

    /// Counts a caller connection as closed.
    pub(super) fn count_close(&self, endpoint: Endpoint) {
        if endpoint != Endpoint::Callers {
            return;
        }
        self.connections
            .set(self.connections.get().saturating_sub(1));
        if self.connections.get() == 0 {
            self.connections_closed.notify_one();
        }
    }

    /// Records that a caller was told to keep its connection while it is idle for no longer
    /// than `idle_ms`.
    pub(super) fn note_kept_connection(&self, idle_ms: DurationMs) {
        let until = self.shared.clock.now() + idle_ms;
        let latest = until.max(self.connections_kept_until.get());
        self.connections_kept_until.set(latest);
    }

    /// Returns whether a request with `remaining_ms` until its deadline is refused
    /// because the daemon is shutting down.
    pub(super) fn refuses_new(&self, remaining_ms: DurationMs) -> bool {
        !self.allows(|stopping_ms, stop_limit_ms| {
            may_take_request(stopping_ms, remaining_ms, stop_limit_ms)
        })
    }

    /// Returns whether a request may still be sent to a target, where it is expected to run
    /// for `expected_run_ms`.
    pub(super) fn may_start_attempt(&self, expected_run_ms: DurationMs) -> bool {
        self.allows(|stopping_ms, stop_limit_ms| {
            may_start_attempt(stopping_ms, expected_run_ms, stop_limit_ms)
        })
    }

    /// Returns what `rule` says to the time since the stop signal and the stop limit; true
    /// before the signal, and false once requests that have not ended are refused.
    fn allows(&self, rule: impl FnOnce(DurationMs, DurationMs) -> bool) -> bool {
        let Some(since) = self.shared.stopping_since() else {
            return true;
        };
        let stopping_ms = self.shared.clock.now().since(since);
        *self.phase.borrow() == StopPhase::Serving
            && rule(stopping_ms, self.shared.bounds.stop_limit_ms)
    }

    /// Waits until the stop has reached a phase.
    pub(super) async fn reached(&self, phase: StopPhase) {
        let mut receiver = self.phase.subscribe();
        // The sender is a part of this state, so that this can't fail.
        let _ = receiver.wait_for(|reached| *reached >= phase).await;
    }

    /// Moves the stop to the phase that is due, and returns that phase.
    pub(super) fn advance(&self, now: TimeMs) -> StopPhase {
        let Some(since) = self.shared.stopping_since() else {
            return StopPhase::Serving;
        };
        let in_flight = self.shared.in_flight.load(Ordering::Acquire);
        let used_at = self.last_connection_at.get();
        let quiet_ms = now.since(used_at.max(self.connections_kept_until.get()));
        let stop_limit_ms = self.shared.bounds.stop_limit_ms;
        let due = stop_phase(now.since(since), in_flight, quiet_ms, stop_limit_ms);
        self.phase.send_if_modified(|phase| {
            let is_later = due > *phase;
            *phase = due.max(*phase);
            is_later
        });
        due
    }

    /// Waits a moment until callers have closed their connections, which have been shut
    /// down. What they still send is read meanwhile: bytes that are unread when the process
    /// exits would reset the connection, and the caller could lose an answer.
    pub(super) async fn wait_for_closed_connections(&self) {
        let closed = async {
            while self.connections.get() > 0 {
                self.connections_closed.notified().await;
            }
        };
        // After the timeout the process exits in any case.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, closed).await;
    }
}

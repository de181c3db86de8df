//! The state of the platform stand-in, owned by its state thread.

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use tokio::sync::oneshot;

use agatehold_core::table::Table;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;
use agatehold_wire::platform::HostListRow;
use agatehold_wire::platform::LeaseId;
use agatehold_wire::platform::PlatformKey;
use agatehold_wire::platform::PlatformRequest;
use agatehold_wire::platform::ValueVersion;

use crate::common::ControlEvent;

/// An event for the state thread.
#[derive(Debug)]
pub(super) enum Event {
    /// A call of the platform API.
    Call(Call),
    /// A request to the control port.
    Control(ControlEvent),
}

/// A call of the platform API that waits for its response.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) request: PlatformRequest,
    /// Receives the action.
    pub(super) reply: oneshot::Sender<CallAction>,
}

/// What the traffic thread does with a call.
#[derive(Debug)]
pub(super) enum CallAction {
    /// Sends the response after a delay.
    Respond(Response<Full<Bytes>>, DurationMs),
    /// Closes the connection without a response.
    Close,
}

/// A value with its version, and the lease it is bound to, if any.
#[derive(Clone, Debug)]
pub(super) struct ValueRow {
    pub(super) version: ValueVersion,
    pub(super) value: Bytes,
    pub(super) lease: Option<LeaseId>,
}

/// A lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseRow {
    pub(super) ttl_ms: DurationMs,
    pub(super) expires_at: TimeMs,
}

/// A watch that waits for a version later than `after`, until the time `until`.
#[derive(Debug)]
pub(super) struct WatchRow {
    pub(super) key: PlatformKey,
    pub(super) after: ValueVersion,
    pub(super) until: TimeMs,
    pub(super) reply: oneshot::Sender<CallAction>,
}

/// A saved state that can be restored.
#[derive(Clone, Debug)]
pub(super) struct SavedRow {
    pub(super) values: Table<PlatformKey, ValueRow>,
    pub(super) leases: Table<LeaseId, LeaseRow>,
    pub(super) revision: u64,
    pub(super) saved_at: TimeMs,
}

/// A host list that becomes visible at the time `visible_at`.
#[derive(Clone, Debug)]
pub(super) struct HostListEntry {
    pub(super) visible_at: TimeMs,
    pub(super) rows: Vec<HostListRow>,
}

/// The injected faults.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Faults {
    /// Calls are held, and take effect when the pause ends.
    pub(super) paused: bool,
    /// The connection of each call is closed, and the call takes no effect.
    pub(super) down: bool,
    /// The delay of each response, after the call took effect.
    pub(super) delay_ms: DurationMs,
    /// The number of next writes that take effect but get no response.
    pub(super) lose_answers: u32,
}

/// The tables of the platform stand-in.
#[derive(Debug, Default)]
pub(super) struct Tables {
    pub(super) values: Table<PlatformKey, ValueRow>,
    pub(super) leases: Table<LeaseId, LeaseRow>,
    /// The version of the last write. Versions are counted over all keys, so
    /// that a key that is deleted and created again gets a new version.
    pub(super) revision: u64,
    /// The number of leases created. A restore doesn't reset it, so that lease
    /// ids stay unique.
    pub(super) lease_count: u64,
    pub(super) watches: Table<u64, WatchRow>,
    pub(super) watch_count: u64,
    pub(super) held_calls: Vec<Call>,
    pub(super) saved: Table<Box<str>, SavedRow>,
    /// The host lists in order of `visible_at`. The last visible one is served.
    pub(super) host_lists: Vec<HostListEntry>,
    pub(super) host_lag_ms: DurationMs,
    /// The number of calls by kind, including those that have no effect because
    /// of a fault.
    pub(super) calls: Table<&'static str, u64>,
    pub(super) faults: Faults,
}

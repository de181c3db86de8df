//! The state of the platform, owned by one thread.

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

/// An event for the owner of the tables.
#[derive(Debug)]
pub(super) enum Event {
    /// A call at the platform's address.
    Call(Call),
    /// A request at the control port.
    Control(ControlEvent),
}

/// One call that waits for its answer.
#[derive(Debug)]
pub(super) struct Call {
    /// What the caller asks.
    pub(super) request: PlatformRequest,
    /// Takes the answer.
    pub(super) reply: oneshot::Sender<Verdict>,
}

/// What the traffic thread does with a call.
#[derive(Debug)]
pub(super) enum Verdict {
    /// Answers after a delay.
    Answer(Response<Full<Bytes>>, DurationMs),
    /// Closes the connection without an answer.
    Close,
}

/// A value with its version.
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

/// A watch that waits.
#[derive(Debug)]
pub(super) struct WatchRow {
    pub(super) key: PlatformKey,
    pub(super) after: ValueVersion,
    pub(super) until: TimeMs,
    pub(super) reply: oneshot::Sender<Verdict>,
}

/// A saved state, for a later restore.
#[derive(Clone, Debug)]
pub(super) struct SavedRow {
    pub(super) values: Table<PlatformKey, ValueRow>,
    pub(super) leases: Table<LeaseId, LeaseRow>,
    pub(super) revision: u64,
    pub(super) saved_at: TimeMs,
}

/// A host list that becomes visible at a time.
#[derive(Clone, Debug)]
pub(super) struct HostListEntry {
    pub(super) visible_at: TimeMs,
    pub(super) rows: Vec<HostListRow>,
}

/// The switched faults.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Faults {
    /// Calls wait, and take effect when the pause ends.
    pub(super) paused: bool,
    /// Connections are closed and calls take no effect.
    pub(super) down: bool,
    /// How long each answer is held back, after the call took effect.
    pub(super) delay_ms: DurationMs,
    /// The number of writes to come that take effect and are not answered.
    pub(super) lose_answers: u32,
}

/// The tables of the platform.
#[derive(Debug, Default)]
pub(super) struct Tables {
    pub(super) values: Table<PlatformKey, ValueRow>,
    pub(super) leases: Table<LeaseId, LeaseRow>,
    /// The number of the last write; every version is taken from it, so that
    /// a key that is removed and created again has a new version.
    pub(super) revision: u64,
    /// The number of leases made; not restored, so that no lease comes twice.
    pub(super) lease_count: u64,
    pub(super) watches: Table<u64, WatchRow>,
    pub(super) watch_count: u64,
    pub(super) held: Vec<Call>,
    pub(super) saved: Table<Box<str>, SavedRow>,
    /// In order of time; the last visible one is shown.
    pub(super) host_lists: Vec<HostListEntry>,
    pub(super) host_lag_ms: DurationMs,
    /// The calls by kind, also those that a fault kept from taking effect.
    pub(super) calls: Table<&'static str, u64>,
    pub(super) faults: Faults,
}

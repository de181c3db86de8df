//! The state of the targets, owned by the state thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use bytes::Bytes;
use http::Request;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use agatehold_core::table::Table;
use agatehold_core::units::DurationMs;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TimeMs;

use crate::common::ControlEvent;
use crate::history::RunEnd;
use crate::history::RunRecord;

use super::faults::ConnectionFaults;
use super::faults::Faults;

/// The index of a target in its process, from 0.
pub(super) type TargetIndex = usize;

/// An event for the state thread.
#[derive(Debug)]
pub(super) enum Event {
    /// A connection was accepted.
    Opened {
        target: TargetIndex,
        reply: oneshot::Sender<OpenedConnection>,
    },
    /// The listener of a crashed target was closed.
    ListenerClosed { target: TargetIndex },
    /// A connection was closed.
    Ended { connection: u64 },
    /// A complete request has arrived.
    Arrived {
        connection: u64,
        request: Box<Request<Bytes>>,
        reply: oneshot::Sender<RequestAction>,
    },
    /// The run time of a run is over. `end` is the one from `RequestAction::Run`.
    RunEnded {
        run: u64,
        end: RunEnd,
        reply: oneshot::Sender<OutgoingResponse>,
    },
    /// A request to the control port.
    Control(ControlEvent),
}

/// A command to the traffic thread.
#[derive(Clone, Copy, Debug)]
pub(super) enum TrafficCommand {
    /// Refuses connections to a target for the duration `down_ms`.
    RefuseConnections {
        target: TargetIndex,
        down_ms: DurationMs,
    },
}

/// The id of an accepted connection and its faults.
#[derive(Debug)]
pub(super) struct OpenedConnection {
    pub(super) connection: u64,
    pub(super) fault_updates: watch::Receiver<ConnectionFaults>,
}

/// What the traffic thread does with a request.
#[derive(Debug)]
pub(super) enum RequestAction {
    /// Responds without running the request.
    Respond(OutgoingResponse),
    /// Runs the request for the duration `for_ms`, after which the run ends
    /// with `end`.
    Run {
        run: u64,
        for_ms: DurationMs,
        end: RunEnd,
    },
    /// Never responds. A run that has started ends when the connection closes.
    Hang,
}

/// A response, and how the traffic thread sends it.
#[derive(Debug)]
pub(super) struct OutgoingResponse {
    pub(super) response: http::Response<Bytes>,
    /// The delay before the response is sent.
    pub(super) late_ms: DurationMs,
    /// Whether the response is sent twice.
    pub(super) is_sent_twice: bool,
}

/// The state of a target.
#[derive(Debug)]
pub(super) struct TargetRow {
    pub(super) address: SocketAddr,
    pub(super) slots: SlotCount,
    pub(super) in_flight: u32,
    /// When the target started. In the future while a crashed target refuses
    /// connections.
    pub(super) started_at: TimeMs,
    pub(super) faults: Faults,
    pub(super) faults_set_at: TimeMs,
    pub(super) cuts_left: Arc<AtomicU32>,
    /// The request id and response body of the last finished run, which the
    /// fault `cross_next` sends in response to another request.
    pub(super) last_response: (Box<str>, Bytes),
    pub(super) counts: TargetCounts,
}

/// Counts of a target since its start-up; a crash doesn't reset them.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct TargetCounts {
    pub(super) connections: u64,
    pub(super) started: u64,
    pub(super) finished: u64,
    pub(super) failed: u64,
    pub(super) deadline: u64,
    pub(super) cancelled: u64,
    pub(super) crashed: u64,
    pub(super) shed: u64,
    pub(super) probes: u64,
    pub(super) crashes: u64,
}

/// An open connection.
#[derive(Debug)]
pub(super) struct ConnectionRow {
    pub(super) target: TargetIndex,
    pub(super) fault_updates: watch::Sender<ConnectionFaults>,
    /// The id of the last run. HTTP/1 has at most one request in flight on a
    /// connection.
    pub(super) run: Option<u64>,
}

/// A run of a request.
#[derive(Clone, Debug)]
pub(super) struct RunRow {
    pub(super) record: RunRecord,
    /// The request body; emptied when the run ends.
    pub(super) body: Bytes,
}

/// The tables of the targets.
#[derive(Debug)]
pub(super) struct Tables {
    pub(super) targets: Vec<TargetRow>,
    pub(super) connections: Table<u64, ConnectionRow>,
    pub(super) connection_count: u64,
    pub(super) runs: Table<u64, RunRow>,
    pub(super) run_count: u64,
    pub(super) warm_up_ms: DurationMs,
    pub(super) traffic: mpsc::UnboundedSender<TrafficCommand>,
}

//! The state of the targets, owned by one thread.

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

use super::faults::ConnectionOrder;
use super::faults::Faults;

/// The number of a target in its process, from 0.
pub(super) type TargetIndex = usize;

/// An event for the owner of the tables.
#[derive(Debug)]
pub(super) enum Event {
    /// A connection was accepted.
    Opened {
        target: TargetIndex,
        reply: oneshot::Sender<OpenedConnection>,
    },
    /// The listener of a crashed target has closed.
    ListenerClosed { target: TargetIndex },
    /// A connection has ended.
    Ended { connection: u64 },
    /// A whole request has arrived.
    Arrived {
        connection: u64,
        request: Box<Request<Bytes>>,
        reply: oneshot::Sender<Verdict>,
    },
    /// A run has reached the end that its verdict gave.
    RunEnded {
        run: u64,
        end: RunEnd,
        reply: oneshot::Sender<Answer>,
    },
    /// A request at the control port.
    Control(ControlEvent),
}

/// An order to the traffic thread.
#[derive(Clone, Copy, Debug)]
pub(super) enum TrafficOrder {
    /// Refuses connections to a target for a time.
    RefuseConnections {
        target: TargetIndex,
        down_ms: DurationMs,
    },
}

/// The connection's number and its orders.
#[derive(Debug)]
pub(super) struct OpenedConnection {
    pub(super) connection: u64,
    pub(super) orders: watch::Receiver<ConnectionOrder>,
}

/// What the traffic thread does with a request.
#[derive(Debug)]
pub(super) enum Verdict {
    /// Answers at once; the request does not run.
    Answer(Answer),
    /// Runs for a time, then ends so.
    Run {
        run: u64,
        for_ms: DurationMs,
        end: RunEnd,
    },
    /// Never answers; the connection's end ends the run too.
    Hang,
}

/// An answer, and how the traffic thread sends it.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) response: http::Response<Bytes>,
    /// How long it is held back.
    pub(super) late_ms: DurationMs,
    /// Whether it is sent twice.
    pub(super) is_double: bool,
}

/// One target.
#[derive(Debug)]
pub(super) struct TargetRow {
    pub(super) address: SocketAddr,
    pub(super) slots: SlotCount,
    pub(super) in_flight: u32,
    /// When it started; ahead while a crashed target refuses connections.
    pub(super) started_at: TimeMs,
    pub(super) faults: Faults,
    pub(super) switched_at: TimeMs,
    pub(super) cuts_left: Arc<AtomicU32>,
    /// The request id and answer body before the present one, to cross with.
    pub(super) last_answer: (Box<str>, Bytes),
    pub(super) counts: TargetCounts,
}

/// What a target counts.
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

/// One open connection.
#[derive(Debug)]
pub(super) struct ConnectionRow {
    pub(super) target: TargetIndex,
    pub(super) orders: watch::Sender<ConnectionOrder>,
    /// The newest run; HTTP/1 has at most one at a time on a connection.
    pub(super) run: Option<u64>,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub(super) struct RunRow {
    pub(super) record: RunRecord,
    /// The request body, dropped at the end of the run.
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
    pub(super) traffic: mpsc::UnboundedSender<TrafficOrder>,
}

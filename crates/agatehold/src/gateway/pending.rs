//! The requests of a connection that have been read and are not answered yet, and the
//! record of those that never are.

use std::collections::VecDeque;
use std::fmt;

use http::HeaderValue;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;

use super::endpoint::IncomingRequest;
use super::endpoint::Response;
use super::serve::request_id_text;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// The caller closed or reset the connection.
    CallerLeft,
    /// A response could not be written.
    WriteFailed,
    /// The caller did not read a response in time.
    WriteTimedOut,
    /// A response was written that closes the connection.
    ClosingResponse,
    /// A request ended without a response although its caller had not left.
    NoResponse,
    /// The process exited.
    Exit,
}

impl ConnectionEnd {
    /// Returns the name for logs and metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::CallerLeft => "caller-left",
            Self::WriteFailed => "write-failed",
            Self::WriteTimedOut => "write-timed-out",
            Self::ClosingResponse => "closing-response",
            Self::NoResponse => "no-response",
            Self::Exit => "exit",
        }
    }
}

impl fmt::Display for ConnectionEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A request that has been started.
struct PendingRequest {
    id: Option<HeaderValue>,
    response: oneshot::Receiver<Response>,
    /// Whether its response has been taken and is being written.
    is_writing: bool,
}

/// The requests of a connection that have been read and are not answered yet, in the
/// order in which they are answered.
pub(super) struct PendingRequests {
    /// The requests that have been started; the first is answered next.
    started: VecDeque<PendingRequest>,
    /// A complete request that can't start before the earlier ones are answered.
    pub(super) deferred: Option<IncomingRequest>,
    /// Why the connection ended; [`ConnectionEnd::Exit`] until it does, since a process
    /// that exits drops its connections where they are.
    end: ConnectionEnd,
}

impl PendingRequests {
    /// Creates the state of a connection without requests.
    pub(super) const fn new() -> Self {
        Self {
            started: VecDeque::new(),
            deferred: None,
            end: ConnectionEnd::Exit,
        }
    }

    /// Adds a request that has been started.
    pub(super) fn push(&mut self, id: Option<HeaderValue>, response: oneshot::Receiver<Response>) {
        self.started.push_back(PendingRequest {
            id,
            response,
            is_writing: false,
        });
    }

    /// Returns the number of started requests.
    pub(super) fn len(&self) -> usize {
        self.started.len()
    }

    /// Returns whether no request has been started.
    pub(super) fn is_empty(&self) -> bool {
        self.started.is_empty()
    }

    /// Returns whether the first request is the only one that has been read.
    pub(super) fn is_last(&self) -> bool {
        self.started.len() == 1 && self.deferred.is_none()
    }

    /// Waits for the response to the first request; `None` if its task ended without one.
    /// Never ends without requests. [`Self::remove_written`] follows.
    pub(super) async fn next_response(&mut self) -> Option<Response> {
        let Some(first) = self.started.front_mut() else {
            return std::future::pending().await;
        };
        let response = (&mut first.response).await.ok()?;
        first.is_writing = true;
        Some(response)
    }

    /// Removes the first request, whose response has been written.
    pub(super) fn remove_written(&mut self) {
        self.started.pop_front();
    }

    /// Cancels the requests and records them as unanswered.
    pub(super) fn close(mut self, end: ConnectionEnd) {
        self.end = end;
    }

    fn record_unanswered(&mut self) {
        let (mut writing, mut ready, mut running) = (0_u64, 0_u64, 0_u64);
        let mut ids = String::new();
        for request in &mut self.started {
            match request.response.try_recv() {
                _ if request.is_writing => writing += 1,
                Ok(_) => ready += 1,
                Err(TryRecvError::Empty) => running += 1,
                // Its task has ended because the caller left.
                Err(TryRecvError::Closed) => continue,
            }
            if !ids.is_empty() {
                ids.push(',');
            }
            ids += &request_id_text(request.id.as_ref()).to_string();
        }
        let deferred = u64::from(self.deferred.is_some());
        if writing + ready + running + deferred == 0 {
            return;
        }
        let end = self.end;
        for (state, count) in [
            ("writing", writing),
            ("ready", ready),
            ("running", running),
            ("deferred", deferred),
        ] {
            metrics::counter!("agatehold_unanswered_requests_total",
                "end" => end.as_str(), "state" => state)
            .increment(count);
        }
        // Callers leave all the time; the lines of their requests tell it.
        if end == ConnectionEnd::CallerLeft {
            return;
        }
        log::warn!(
            "event=unanswered end={end} writing={writing} ready={ready} running={running} deferred={deferred} ids={ids}"
        );
    }
}

impl Drop for PendingRequests {
    fn drop(&mut self) {
        self.record_unanswered();
    }
}

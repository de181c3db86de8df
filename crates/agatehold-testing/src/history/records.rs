//! The records that the checks read.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use agatehold_core::ids::HostId;
use agatehold_core::note::Head;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::refusal::RefusalOutcome;
use agatehold_core::units::TimeMs;

/// How a target's run of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// The target sent a successful response.
    Finished,
    /// The target responded with status 500.
    Failed,
    /// The deadline of the request passed; the target responded with status
    /// 504.
    Deadline,
    /// The connection closed during the run.
    Cancelled,
    /// The target crashed during the run.
    Crashed,
}

/// One run of a request at a target: a target has accepted the request and
/// started to process it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The index of the target in its process, from 0.
    pub target: usize,
    /// The request id that the daemon assigned.
    pub request_id: Option<Box<str>>,
    /// The idempotency key, if the request had one.
    pub idempotency_key: Option<Box<str>>,
    /// The HTTP method.
    pub method: Box<str>,
    /// The path with query.
    pub path: Box<str>,
    /// The Unix time of the start, in milliseconds.
    pub started_ms: u64,
    /// The Unix time of the end, in milliseconds; `None` during the run.
    pub ended_ms: Option<u64>,
    /// How the run ended; `None` during the run.
    pub end: Option<RunEnd>,
    /// Whether the target was announcing that it is leaving when the request
    /// arrived.
    pub while_leaving: bool,
}

/// How an attempt of a caller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The caller received the complete response of a target.
    Answered,
    /// The daemon refused the request.
    Refused(RefusalOutcome),
    /// Nothing was sent: no address was known, or the request can't be
    /// encoded as HTTP.
    NotSent,
    /// No connection to the daemon could be opened.
    ConnectFailed,
    /// The connection closed before the response was complete.
    Lost,
    /// The response was not complete within the caller's response timeout.
    TimedOut,
}

/// One attempt of a request, as its caller saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRecord {
    /// The number of the request at its caller, from 1.
    pub number: u64,
    /// The number of the attempt of this request, from 1.
    pub attempt: u32,
    /// The time at which the caller sent the attempt.
    pub sent_at: TimeMs,
    /// The request id that the daemon assigned to the attempt.
    pub request_id: Option<Box<str>>,
    /// The idempotency key, if any.
    pub key: Option<Box<str>>,
    /// Whether the request must run at most once.
    pub is_non_idempotent: bool,
    /// The address that the attempt was sent to.
    pub address: SocketAddr,
    /// The target that the response names.
    pub target: Option<Box<str>>,
    /// The HTTP status, if there was a response.
    pub status: Option<u16>,
    /// The kind of refusal, if the daemon refused the request.
    pub refusal: Option<RefusalKind>,
    /// How the attempt ended.
    pub outcome: CallOutcome,
    /// The duration of the attempt, in microseconds.
    pub total_us: u64,
    /// The latency that the daemon reports to have added, in microseconds.
    pub added_us: Option<u64>,
    /// The HTTP method.
    pub method: Box<str>,
    /// The path with query.
    pub path: Box<str>,
    /// The request body.
    pub request_body: Box<[u8]>,
    /// The response body; empty if there was no complete response.
    pub body: Box<[u8]>,
}

impl CallRecord {
    /// Returns whether the attempt got a 2xx response of a target.
    pub fn is_success(&self) -> bool {
        self.outcome == CallOutcome::Answered
            && self
                .status
                .is_some_and(|status| (200..300).contains(&status))
    }

    /// Returns whether the caller knows that no target ran this attempt.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self.outcome,
            CallOutcome::Refused(RefusalOutcome::NotRun)
                | CallOutcome::NotSent
                | CallOutcome::ConnectFailed
        )
    }
}

/// An observation of the note in force at a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadObservation {
    /// The host of the daemon.
    pub daemon: HostId,
    /// The note in force.
    pub head: Head,
}

/// Returns the request marker, the value of `n` in the query. All attempts of a
/// request have the same marker, and different requests have different ones.
pub fn request_marker(path: &str) -> Option<&str> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix("n="))
}

/// Parses the runs from the response to `GET /control/runs` of a target
/// stand-in.
pub fn parse_runs(answer: &Value) -> Result<Vec<RunRecord>, serde_json::Error> {
    serde_json::from_value(answer["runs"].clone())
}

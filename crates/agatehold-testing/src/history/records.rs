//! The records that the checks run over.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use agatehold_core::ids::HostId;
use agatehold_core::note::Head;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::refusal::RefusalOutcome;
use agatehold_core::units::TimeMs;

/// How a run at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// With a successful answer.
    Finished,
    /// With status 500.
    Failed,
    /// At the request's deadline, with status 504.
    Deadline,
    /// Because the connection closed.
    Cancelled,
    /// Because the target crashed.
    Crashed,
}

/// One run of a request at a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The number of the target in its process.
    pub target: usize,
    /// The id that the daemon gave the request.
    pub request_id: Option<Box<str>>,
    /// The idempotency key, if the request had one.
    pub idempotency_key: Option<Box<str>>,
    /// The method.
    pub method: Box<str>,
    /// The path with query.
    pub path: Box<str>,
    /// When it started, in Unix milliseconds.
    pub started_ms: u64,
    /// When it ended, in Unix milliseconds; absent while it runs.
    pub ended_ms: Option<u64>,
    /// How it ended; absent while it runs.
    pub end: Option<RunEnd>,
    /// Whether the target said that it was leaving when the request came.
    pub while_leaving: bool,
}

/// How one attempt of a caller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The answer of a target, passed on whole.
    Answered,
    /// A refusal by agatehold.
    Refused(RefusalOutcome),
    /// Nothing was sent: no address was known, or the request can't be
    /// written as HTTP.
    NotSent,
    /// No connection to the daemon could be opened.
    ConnectFailed,
    /// The connection ended before the answer's end.
    Lost,
    /// No whole answer came within the caller's patience.
    TimedOut,
}

/// One attempt of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRecord {
    /// The number of the request at its caller.
    pub number: u64,
    /// The attempt for this request, from 1.
    pub attempt: u32,
    /// When it was sent.
    pub sent_at: TimeMs,
    /// The id that the daemon gave the attempt.
    pub request_id: Option<Box<str>>,
    /// The idempotency key, if any.
    pub key: Option<Box<str>>,
    /// Whether the request must run at most once.
    pub is_non_idempotent: bool,
    /// The address that it was sent to.
    pub address: SocketAddr,
    /// The target that the daemon names.
    pub target: Option<Box<str>>,
    /// The HTTP status.
    pub status: Option<u16>,
    /// The kind of refusal.
    pub refusal: Option<RefusalKind>,
    /// How it ended.
    pub outcome: CallOutcome,
    /// The time from sending to the end, in microseconds.
    pub total_us: u64,
    /// The time that the daemon says it added, in microseconds.
    pub added_us: Option<u64>,
    /// The method.
    pub method: Box<str>,
    /// The path with query.
    pub path: Box<str>,
    /// The body of the request.
    pub request_body: Box<[u8]>,
    /// The body of the answer, as far as it came.
    pub body: Box<[u8]>,
}

impl CallRecord {
    /// Returns whether the attempt had a successful answer of a target.
    pub fn is_success(&self) -> bool {
        self.outcome == CallOutcome::Answered
            && self
                .status
                .is_some_and(|status| (200..300).contains(&status))
    }

    /// Returns whether the caller knows that this attempt did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self.outcome,
            CallOutcome::Refused(RefusalOutcome::NotRun)
                | CallOutcome::NotSent
                | CallOutcome::ConnectFailed
        )
    }
}

/// The note that a daemon had in force at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadObservation {
    /// The host of the daemon.
    pub daemon: HostId,
    /// The note in force.
    pub head: Head,
}

/// Returns the part of a path that names the request at its caller: the value
/// of `n` in the query.
pub fn request_marker(path: &str) -> Option<&str> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix("n="))
}

/// Reads the runs from the answer to `GET /control/runs` of targets.
pub fn parse_runs(answer: &Value) -> Result<Vec<RunRecord>, serde_json::Error> {
    serde_json::from_value(answer["runs"].clone())
}

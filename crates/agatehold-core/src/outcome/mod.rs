//! Reports of traffic threads on the requests that they send to targets.

use std::fmt;
use std::str::FromStr;

use crate::ids::Digest;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::units::DurationMs;
use crate::units::TimeMs;

/// How one attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// The target answered without a server error.
    Answered,
    /// The target answered with a server error.
    Failed,
    /// The target answered that it did not run the request.
    Shed,
    /// No connection could be opened.
    ConnectFailed,
    /// A pooled connection was closed before anything was written.
    NotWritten,
    /// The request is still in flight and has run longer than the slow bound of
    /// its service.
    Overdue,
    /// The deadline passed before the answer was complete.
    TimedOut,
    /// The connection was lost before the answer began.
    ConnectionLost,
    /// The answer ended early, or is malformed.
    Cut,
    /// The answer carried another request's id.
    Mismatched,
    /// No byte arrived in time on a connection that had been idle before.
    Silent,
    /// The caller disconnected before the attempt ended.
    Cancelled,
}

impl AttemptOutcome {
    /// The outcomes and the names that they have in metrics and logs.
    const NAMES: [(Self, &'static str); 12] = [
        (Self::Answered, "answered"),
        (Self::Failed, "failed"),
        (Self::Shed, "shed"),
        (Self::ConnectFailed, "connect-failed"),
        (Self::NotWritten, "not-written"),
        (Self::Overdue, "overdue"),
        (Self::TimedOut, "timed-out"),
        (Self::ConnectionLost, "connection-lost"),
        (Self::Cut, "cut"),
        (Self::Mismatched, "mismatched"),
        (Self::Silent, "silent"),
        (Self::Cancelled, "cancelled"),
    ];

    /// Returns whether the target certainly did not run the request.
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::Shed | Self::ConnectFailed | Self::NotWritten)
    }

    /// Returns the name for metrics and logs.
    pub fn as_str(self) -> &'static str {
        for (outcome, name) in Self::NAMES {
            if outcome == self {
                return name;
            }
        }
        "unknown"
    }
}

impl fmt::Display for AttemptOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for AttemptOutcome {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        for (outcome, name) in Self::NAMES {
            if name == text {
                return Ok(outcome);
            }
        }
        Err(())
    }
}

/// Returns whether a status code is valid in a response: 100 to 599 (RFC 9110,
/// section 15). A target that sends another one is in trouble, and its response is
/// malformed.
pub const fn is_valid_status(status: u16) -> bool {
    matches!(status, 100..=599)
}

/// The report of one attempt at a target.
#[derive(Clone, Debug, PartialEq)]
pub struct OutcomeReport {
    /// The service of the request.
    pub service: ServiceName,
    /// The target of the attempt.
    pub target: TargetName,
    /// How the attempt ended, or that it is overdue.
    pub outcome: AttemptOutcome,
    /// The time from sending the request to the end of the attempt, or to the
    /// report if it is overdue.
    pub elapsed_ms: DurationMs,
    /// When the report was made.
    pub at: TimeMs,
    /// The fingerprint by which poisoned requests are recognised.
    pub fingerprint: Digest,
    /// Whether the target says that it is leaving.
    pub leaving: bool,
    /// Whether the target says that it is still warming up.
    pub warming: bool,
}

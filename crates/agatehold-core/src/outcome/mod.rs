//! What traffic threads report about the requests they sent.

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
    /// The target said that it did not run the request.
    Shed,
    /// No connection could be opened.
    ConnectFailed,
    /// A pooled connection was closed before anything was written.
    NotWritten,
    /// The request is still in flight after the slow bound of its service.
    Overdue,
    /// The deadline passed without a whole answer.
    TimedOut,
    /// The connection was lost before the answer began.
    ConnectionLost,
    /// The answer ended early.
    Cut,
    /// The answer carried another request's id.
    Mismatched,
    /// A connection that had been idle delivered nothing within the bound.
    Silent,
    /// The caller went away first.
    Cancelled,
}

impl AttemptOutcome {
    const WORDS: [(Self, &'static str); 12] = [
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

    /// Returns the word for metrics and logs.
    pub fn as_str(self) -> &'static str {
        for (outcome, word) in Self::WORDS {
            if outcome == self {
                return word;
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
        for (outcome, word) in Self::WORDS {
            if word == text {
                return Ok(outcome);
            }
        }
        Err(())
    }
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
    /// The time from sending to the end, or to now if overdue.
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

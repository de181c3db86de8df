//! The table of requests that were running on a target when it crashed.

use crate::ids::Digest;
use crate::ids::HostId;
use crate::ids::TargetName;
use crate::table::Table;
use crate::units::TimeMs;

/// A report that a target crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashMark {
    /// The fingerprint of the request.
    pub fingerprint: Digest,
    /// The target that crashed.
    pub target: TargetName,
    /// The host of the daemon that sent the request and reported the crash.
    pub reporter: HostId,
    /// When the target crashed, on this daemon's clock. For a mark from a peer:
    /// the time of arrival less the age that the peer gave.
    pub at: TimeMs,
    /// Whether the reporter has revoked the mark, because the request was
    /// answered since or the target had not crashed.
    pub cleared: bool,
}

/// The crash marks of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoisonRow {
    /// The marks, oldest first, one for each crash.
    pub marks: Vec<CrashMark>,
    /// When this daemon resent the request to another target; reset when a mark is
    /// added and when this daemon clears its marks.
    pub resent_at: Option<TimeMs>,
}

/// The crash marks of all requests; the number of rows is limited.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoisonTable {
    /// The rows by fingerprint.
    pub rows: Table<Digest, PoisonRow>,
}

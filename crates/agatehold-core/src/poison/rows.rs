//! The table of requests that were running on a target when it crashed, or when it
//! closed their connection.

use crate::ids::Digest;
use crate::ids::HostId;
use crate::ids::TargetName;
use crate::table::Table;
use crate::units::TimeMs;

/// A report that a target closed the connection on which it ran a request. The target may
/// have crashed, or may have closed this connection only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// The target that closed the connection.
    pub target: TargetName,
    /// The host of the daemon that sent the request and checks the target.
    pub reporter: HostId,
    /// When the connection was lost, on this daemon's clock. For a suspicion from a peer:
    /// the time of arrival.
    pub at: TimeMs,
    /// Whether the target has not crashed, or the request was answered since. Late copies
    /// of a withdrawn suspicion don't count.
    pub withdrawn: bool,
}

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

/// The crash marks and the suspicions of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoisonRow {
    /// The marks, oldest first, one for each crash.
    pub marks: Vec<CrashMark>,
    /// The lost connections of which it is not known yet whether the target has crashed,
    /// oldest first. A crash is never both here and in `marks`, unless withdrawn.
    pub suspicions: Vec<Suspicion>,
    /// When this daemon resent the request to another target; reset when a mark or a
    /// suspicion is added and when this daemon clears its marks.
    pub resent_at: Option<TimeMs>,
}

/// The crash marks of all requests; the number of rows is limited.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoisonTable {
    /// The rows by fingerprint.
    pub rows: Table<Digest, PoisonRow>,
}

//! The table of fingerprints that were in a target when it crashed.

use crate::ids::Digest;
use crate::ids::HostId;
use crate::ids::TargetName;
use crate::table::Table;
use crate::units::TimeMs;

/// One crash of a target while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashMark {
    /// The request.
    pub fingerprint: Digest,
    /// The target that crashed.
    pub target: TargetName,
    /// The daemon that sent the request.
    pub reporter: HostId,
    /// When it crashed, on this daemon's clock (arrival less age).
    pub at: TimeMs,
    /// Whether the reporter has since had the request answered, so that it is
    /// not the cause.
    pub cleared: bool,
}

/// The crashes of one fingerprint, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoisonRow {
    /// The crashes, each counted once.
    pub marks: Vec<CrashMark>,
    /// When this daemon sent the request to a further target, while it waits
    /// for the outcome.
    pub trial_since: Option<TimeMs>,
}

/// The fingerprints by digest, bounded in number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoisonTable {
    /// The rows.
    pub rows: Table<Digest, PoisonRow>,
}

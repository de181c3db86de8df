//! Permit records, and each daemon's copy of them.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::table::Table;
use crate::units::DurationMs;
use crate::units::TimeMs;

/// The version number of a permit record. The first version is 1; 0 means that
/// there is no record yet.
///
/// It is stored in the record itself, since the platform's own versions need
/// not be consecutive and go back when the platform is restored from a backup.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PermitNumber(pub u64);

impl PermitNumber {
    /// Returns the number after this one.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for PermitNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for PermitNumber {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseIdError::Number)
    }
}

/// The state of an ejection permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PermitState {
    /// Daemons whose copy of the record is confirmed exclude the target.
    Ejected,
    /// Daemons that have read this version no longer exclude the target. Others
    /// may exclude it until their confirmation of an earlier version expires.
    Returning,
}

impl fmt::Display for PermitState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ejected => "ejected",
            Self::Returning => "returning",
        })
    }
}

impl FromStr for PermitState {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "ejected" => Ok(Self::Ejected),
            "returning" => Ok(Self::Returning),
            _ => Err(ParseIdError::Name),
        }
    }
}

/// The ejection permit of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitEntry {
    /// The state of the permit.
    pub state: PermitState,
    /// The record version that added the entry; entries are ordered by it.
    pub added: PermitNumber,
    /// The record version that set the state.
    pub since: PermitNumber,
    /// The minimum time that the target stays ejected.
    pub hold_ms: DurationMs,
}

/// The ejection permits of one service, as stored in the platform.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PermitRecord {
    /// The version of the record.
    pub number: PermitNumber,
    /// The permits by target.
    pub entries: Table<TargetName, PermitEntry>,
}

/// The targets of a service that a daemon counts as capacity.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LiveView {
    /// Configured targets that are live, warm, reachable, not leaving and not
    /// withdrawn, including ejected ones.
    pub targets: BTreeSet<TargetName>,
    /// When the read of the host list that the view is based on began.
    pub as_of: TimeMs,
}

/// A daemon's copy of the permit record of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeldRecord {
    /// The latest version that the daemon has read.
    pub record: PermitRecord,
    /// When the latest read that returned this version began; for one by a peer,
    /// the earliest time at which it may have begun (see [`confirm_record`]).
    pub confirmed_at: TimeMs,
    /// When this daemon first held a record of the service.
    pub followed_since: TimeMs,
    /// For each entry, the version that set its present state and when this
    /// daemon first saw the entry in that state.
    pub seen: Table<TargetName, (PermitNumber, TimeMs)>,
}

/// A daemon's copies of the permit records.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PermitTables {
    /// The records by service.
    pub records: Table<ServiceName, HeldRecord>,
}

impl PermitTables {
    /// Returns the state of a target's permit, or `None` if it has none.
    pub fn state_of(&self, service: &ServiceName, target: &TargetName) -> Option<PermitState> {
        let held = self.records.get(service)?;
        held.record.entries.get(target).map(|entry| entry.state)
    }

    /// Returns whether the hold time of the target's permit is over, on this
    /// daemon's clock.
    pub fn is_hold_time_over(
        &self,
        service: &ServiceName,
        target: &TargetName,
        now: TimeMs,
    ) -> bool {
        let Some(held) = self.records.get(service) else {
            return false;
        };
        let (Some(entry), Some((_, seen_at))) =
            (held.record.entries.get(target), held.seen.get(target))
        else {
            return false;
        };
        now.since(*seen_at) >= entry.hold_ms
    }
}

/// Merges a record that was read from the platform or received from a peer, and
/// returns whether its version is new to this daemon.
///
/// `read_started_at` is when this daemon sent the request to the platform. For a
/// record from a peer, it is when the exchange began, less the age that the peer
/// gave for its own confirmation. With the time of arrival instead, a delayed
/// message would count as fresh. A version older than the held one changes
/// nothing.
pub fn confirm_record(
    tables: &mut PermitTables,
    service: &ServiceName,
    record: &PermitRecord,
    read_started_at: TimeMs,
    now: TimeMs,
) -> bool {
    let is_first = !tables.records.contains(service);
    let held = tables
        .records
        .get_or_insert(service.clone(), || HeldRecord {
            followed_since: now,
            ..HeldRecord::default()
        });
    if record.number < held.record.number {
        return false;
    }
    if record.number == held.record.number && !is_first {
        held.confirmed_at = held.confirmed_at.max(read_started_at);
        return false;
    }
    held.record = record.clone();
    held.confirmed_at = read_started_at;
    held.seen
        .retain(|target, _| record.entries.contains(target));
    for (target, entry) in record.entries.rows() {
        let seen = held
            .seen
            .get_or_insert(target.clone(), || (entry.since, now));
        if seen.0 != entry.since {
            *seen = (entry.since, now);
        }
    }
    true
}

//! Permit records and what a daemon knows about them.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::table::Table;
use crate::units::DurationMs;
use crate::units::TimeMs;

/// The number of a permit record's version; the first one is 1, 0 is empty.
///
/// It is kept in the record, since the platform's versions need not be
/// consecutive and fall back when the platform is restored.
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

/// The state of a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PermitState {
    /// Daemons that hold a fresh record exclude the target.
    Ejected,
    /// No daemon that reads the record excludes the target, but others may
    /// for as long as an earlier confirmation lasts.
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

/// The permit of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitEntry {
    /// The state.
    pub state: PermitState,
    /// The record version that added the entry; it orders the entries.
    pub added: PermitNumber,
    /// The record version that set the state.
    pub since: PermitNumber,
    /// How long the target stays ejected at least.
    pub hold_ms: DurationMs,
}

/// The permits of one service, as stored in the platform.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PermitRecord {
    /// The version.
    pub number: PermitNumber,
    /// The permits by target.
    pub entries: Table<TargetName, PermitEntry>,
}

/// The targets of a service that a daemon counts as capacity.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LiveView {
    /// Targets in force that are live, warm, reachable, not leaving and not
    /// withdrawn, ejected ones included.
    pub targets: BTreeSet<TargetName>,
    /// The start of the read of the host list that the view rests on, or of the
    /// exchange by which it came, less the age that the peer gives for it.
    pub as_of: TimeMs,
}

/// What a daemon knows about the record of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeldRecord {
    /// The record.
    pub record: PermitRecord,
    /// The start of the latest read that returned this version.
    pub confirmed_at: TimeMs,
    /// When this daemon first held a record of the service.
    pub followed_since: TimeMs,
    /// When each entry was first seen in its present state.
    pub seen: Table<TargetName, (PermitNumber, TimeMs)>,
}

/// The records that a daemon holds, by service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PermitTables {
    /// The records by service.
    pub records: Table<ServiceName, HeldRecord>,
}

impl PermitTables {
    /// Returns the state of a target's permit.
    pub fn state_of(&self, service: &ServiceName, target: &TargetName) -> Option<PermitState> {
        let held = self.records.get(service)?;
        held.record.entries.get(target).map(|entry| entry.state)
    }

    /// Returns whether the target has been ejected for its hold time, on the
    /// clock of this daemon.
    pub fn is_hold_over(&self, service: &ServiceName, target: &TargetName, now: TimeMs) -> bool {
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

/// Takes a record that a read returned.
///
/// `read_started_at` is when this daemon began the read: the request to the
/// platform, or the exchange with a peer less the age that the peer gave for
/// its own confirmation. The time of arrival would count a message that was
/// delayed on its way as fresh. Returns whether the record is new; an older
/// version than the one held changes nothing.
pub fn confirm_record(
    tables: &mut PermitTables,
    service: &ServiceName,
    record: &PermitRecord,
    read_started_at: TimeMs,
    now: TimeMs,
) -> bool {
    let first = !tables.records.contains(service);
    let held = tables
        .records
        .get_or_insert(service.clone(), || HeldRecord {
            followed_since: now,
            ..HeldRecord::default()
        });
    if record.number < held.record.number {
        return false;
    }
    if record.number == held.record.number && !first {
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

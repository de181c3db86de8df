//! The state of the control thread.

use std::sync::Arc;

use crate::addresses::EntryRow;
use crate::ejection::PermitTables;
use crate::health::Evaluation;
use crate::health::HealthTables;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::membership::HostPhase;
use crate::membership::Membership;
use crate::outcome::OutcomeReport;
use crate::poison::CrashMark;
use crate::replication::NoteReplication;
use crate::routing::Preference;
use crate::routing::TargetCell;
use crate::table::Table;
use crate::units::TimeMs;

use super::PermitVersion;
use super::StopState;

/// The platform calls for the permit record of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PermitCalls {
    /// The platform's version of the held record; 0 if there is none.
    pub version: PermitVersion,
    /// When the write that is under way was sent, if there is one.
    pub writing_since: Option<TimeMs>,
    /// When the read that is under way was sent, if there is one.
    pub reading_since: Option<TimeMs>,
    /// The earliest time for the next write; [`TimeMs::default`] if no delay has
    /// been drawn.
    pub write_after: TimeMs,
}

/// The state of the control thread.
///
/// Only the control thread can access it; other threads read what the control
/// thread publishes.
#[derive(Debug)]
pub struct ControlTables {
    /// The hosts of the fleet.
    pub membership: Membership,
    /// The release notes and the configuration that they put in force.
    pub replication: NoteReplication,
    /// The evidence about the health of targets.
    pub health: HealthTables,
    /// This daemon's copies of the permit records.
    pub permits: PermitTables,
    /// The platform calls for permit records, by service.
    pub permit_calls: Table<ServiceName, PermitCalls>,
    /// When the permit records were last listed; `None` before the first.
    pub permits_listed_at: Option<TimeMs>,
    /// The live state of the targets, shared with the traffic threads.
    pub cells: Table<TargetName, Arc<TargetCell>>,
    /// The targets in the platform's host list, and whether they are leaving.
    pub listed_targets: Table<TargetName, bool>,
    /// The targets that are leaving according to the host list or their own
    /// answers, at this daemon or at a peer, and when one of these last said so.
    pub leaving: Table<TargetName, TimeMs>,
    /// When the last successful read of the host list began.
    pub host_list_as_of: Option<TimeMs>,
    /// When the host list was last requested.
    pub host_list_requested_at: Option<TimeMs>,
    /// When the lease for claim records was last requested.
    pub claim_lease_requested_at: Option<TimeMs>,
    /// When the current lease for claim records was requested; the platform created it
    /// then or later.
    pub claim_lease_created_at: Option<TimeMs>,
    /// The health verdicts of the last tick.
    pub evaluation: Evaluation,
    /// The entry hosts of the services.
    pub entries: Table<ServiceName, EntryRow>,
    /// Whether the entry hosts have to be chosen again.
    pub entries_outdated: bool,
    /// When the entry hosts were last chosen.
    pub entries_chosen_at: Option<TimeMs>,
    /// When the latencies above which answers count as slow were last published.
    pub slow_bounds_published_at: Option<TimeMs>,
    /// The reports of request outcomes to process in the next tick.
    pub reports: Vec<OutcomeReport>,
    /// The crash marks to include in digests, newest last.
    pub marks: Vec<CrashMark>,
    /// The target preferences that were last logged.
    pub logged_preferences: Table<TargetName, Preference>,
    /// The targets that were last logged as leaving.
    pub logged_leaving: Table<TargetName, ()>,
    /// The phase that was last published.
    pub published_phase: Option<HostPhase>,
    /// The state of the planned stop.
    pub stop: StopState,
}

impl ControlTables {
    /// Creates the state of a daemon that is starting.
    pub fn new(membership: Membership) -> Self {
        Self {
            membership,
            replication: NoteReplication::default(),
            health: HealthTables::default(),
            permits: PermitTables::default(),
            permit_calls: Table::new(),
            permits_listed_at: None,
            cells: Table::new(),
            listed_targets: Table::new(),
            leaving: Table::new(),
            host_list_as_of: None,
            host_list_requested_at: None,
            claim_lease_requested_at: None,
            claim_lease_created_at: None,
            evaluation: Evaluation::default(),
            entries: Table::new(),
            entries_outdated: true,
            entries_chosen_at: None,
            slow_bounds_published_at: None,
            reports: Vec::new(),
            marks: Vec::new(),
            logged_preferences: Table::new(),
            logged_leaving: Table::new(),
            published_phase: None,
            stop: StopState::default(),
        }
    }
}

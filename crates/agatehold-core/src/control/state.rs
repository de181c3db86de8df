//! The tables of the control thread.

use std::sync::Arc;

use crate::addresses::EntryRow;
use crate::ejection::PermitTables;
use crate::health::HealthTables;
use crate::health::Judgement;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::membership::HostPhase;
use crate::membership::Membership;
use crate::outcome::OutcomeReport;
use crate::poison::CrashMark;
use crate::routing::Preference;
use crate::routing::TargetCell;
use crate::spread::Spread;
use crate::table::Table;
use crate::units::TimeMs;

use super::PermitVersion;
use super::StopRow;

/// The work on the permit record of one service that is under way.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PermitWork {
    /// The platform's version of the record that is held; 0 if none.
    pub version: PermitVersion,
    /// When a write was sent whose end is not known, `None` if there is none.
    pub writing_since: Option<TimeMs>,
    /// When a read was sent that is not answered, `None` if there is none.
    pub reading_since: Option<TimeMs>,
    /// The earliest time for the next write.
    pub write_after: TimeMs,
}

/// The tables of the control thread.
///
/// Only the control thread has them; other threads see what it publishes.
#[derive(Debug)]
pub struct ControlTables {
    /// The hosts of the fleet.
    pub membership: Membership,
    /// The release notes and the configuration in force.
    pub spread: Spread,
    /// The evidence about targets.
    pub health: HealthTables,
    /// The permit records.
    pub permits: PermitTables,
    /// The work on permit records.
    pub permit_work: Table<ServiceName, PermitWork>,
    /// When the permit records were last listed; `None` before the first.
    pub permits_listed_at: Option<TimeMs>,
    /// The live state of the targets, shared with the traffic threads.
    pub cells: Table<TargetName, Arc<TargetCell>>,
    /// The targets in the platform's host list, and whether they are leaving.
    pub listed_targets: Table<TargetName, bool>,
    /// The targets that are leaving, and when the list or an answer, here or
    /// at a peer, last said so.
    pub leaving: Table<TargetName, TimeMs>,
    /// The start of the last read of the host list that was answered.
    pub hosts_as_of: Option<TimeMs>,
    /// When the host list was last asked for.
    pub hosts_asked_at: Option<TimeMs>,
    /// When the lease for claims was last asked for.
    pub claim_lease_asked_at: Option<TimeMs>,
    /// When the lease for claims in use was created.
    pub claim_lease_at: Option<TimeMs>,
    /// The verdicts of the last tick.
    pub judgement: Judgement,
    /// The entries of the services.
    pub entries: Table<ServiceName, EntryRow>,
    /// Whether the entries have to be chosen anew.
    pub entries_outdated: bool,
    /// When the entries were last chosen.
    pub entries_at: Option<TimeMs>,
    /// When the slow bounds were last published.
    pub slow_bounds_at: Option<TimeMs>,
    /// Reports that wait for the next tick.
    pub reports: Vec<OutcomeReport>,
    /// Crash marks to tell peers, newest last.
    pub marks: Vec<CrashMark>,
    /// The orders of choice that were last logged.
    pub logged: Table<TargetName, Preference>,
    /// The targets that were last logged as leaving.
    pub logged_leaving: Table<TargetName, ()>,
    /// The phase that was last published.
    pub published_phase: Option<HostPhase>,
    /// The planned stop.
    pub stop: StopRow,
}

impl ControlTables {
    /// Creates the tables of a daemon that starts.
    pub fn new(membership: Membership) -> Self {
        Self {
            membership,
            spread: Spread::default(),
            health: HealthTables::default(),
            permits: PermitTables::default(),
            permit_work: Table::new(),
            permits_listed_at: None,
            cells: Table::new(),
            listed_targets: Table::new(),
            leaving: Table::new(),
            hosts_as_of: None,
            hosts_asked_at: None,
            claim_lease_asked_at: None,
            claim_lease_at: None,
            judgement: Judgement::default(),
            entries: Table::new(),
            entries_outdated: true,
            entries_at: None,
            slow_bounds_at: None,
            reports: Vec::new(),
            marks: Vec::new(),
            logged: Table::new(),
            logged_leaving: Table::new(),
            published_phase: None,
            stop: StopRow::default(),
        }
    }
}

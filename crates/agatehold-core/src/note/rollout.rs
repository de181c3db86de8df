//! Judges how far an accepted note has spread.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::ids::FailureDomain;
use crate::ids::HostId;
use crate::ids::NoteNumber;
use crate::table::Table;

use super::Head;

/// The number of daemons that an accepted note is pushed to (section 4 of the
/// design page).
const PUSH_DAEMONS: usize = 3;

/// What a daemon reports about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonReport {
    /// The daemon's host.
    pub host: HostId,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// The note in force; the default head where there is none.
    pub head: Head,
    /// Whether the daemon has a proof that its head is current.
    pub confirmed: bool,
    /// Whether the daemon stops as planned.
    pub leaving: bool,
}

/// The daemons by admin address; `None` stands for one that did not answer.
pub type DaemonReports = Table<SocketAddr, Option<DaemonReport>>;

/// A host and its note as the daemons' gossip tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostNote {
    /// The host.
    pub host: HostId,
    /// The number of the note that the host reported last.
    pub note: NoteNumber,
}

/// How far a note has spread.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutProgress {
    /// The daemons that have the note or a newer one in force.
    pub in_force: usize,
    /// The daemons that have an older note, or none, in force.
    pub behind: Vec<HostId>,
    /// The daemons that hold another note of the same number.
    pub diverged: Vec<HostId>,
    /// The admin addresses that did not answer.
    pub silent: Vec<SocketAddr>,
    /// The serving hosts that only gossip tells of and that are behind.
    pub gossiped_behind: Vec<HostId>,
}

impl RolloutProgress {
    /// Returns whether the note is in force everywhere.
    pub fn is_complete(&self) -> bool {
        self.behind.is_empty()
            && self.diverged.is_empty()
            && self.silent.is_empty()
            && self.gossiped_behind.is_empty()
    }
}

/// Compares what the daemons report with the accepted head.
///
/// A higher number counts as in force, since daemons take descendants only.
/// A leaving daemon need not take the note.
pub fn progress(accepted: Head, reports: &DaemonReports, gossiped: &[HostNote]) -> RolloutProgress {
    let mut progress = RolloutProgress::default();
    let mut reported = BTreeSet::new();
    for (address, report) in reports.rows() {
        let Some(report) = report else {
            progress.silent.push(*address);
            continue;
        };
        reported.insert(&report.host);
        if report.head.number > accepted.number || report.head == accepted {
            progress.in_force += 1;
            continue;
        }
        if report.leaving {
            continue;
        }
        if report.head.number == accepted.number {
            progress.diverged.push(report.host.clone());
            continue;
        }
        progress.behind.push(report.host.clone());
    }
    for host in gossiped {
        if host.note >= accepted.number || reported.contains(&host.host) {
            continue;
        }
        progress.gossiped_behind.push(host.host.clone());
    }
    progress
}

/// Returns the daemons to push a note to: three that answer, in different
/// failure domains as far as there are that many.
pub fn push_addresses(reports: &DaemonReports) -> Vec<SocketAddr> {
    let mut chosen = Vec::new();
    let mut others = Vec::new();
    let mut domains = BTreeSet::new();
    for (address, report) in reports.rows() {
        let Some(report) = report else {
            continue;
        };
        if report.leaving {
            continue;
        }
        if domains.insert(&report.failure_domain) {
            chosen.push(*address);
        } else {
            others.push(*address);
        }
    }
    chosen.extend(others);
    chosen.truncate(PUSH_DAEMONS);
    chosen
}

/// Returns the numbers of confirmed and of all daemons where at most half are
/// confirmed.
///
/// A note that is released then reaches a minority and leaves the others on
/// the old configuration until the partition ends.
pub fn lacks_majority(reports: &DaemonReports) -> Option<(usize, usize)> {
    let all = reports.len();
    let confirmed = reports
        .rows()
        .filter(|(_, report)| report.as_ref().is_some_and(|report| report.confirmed))
        .count();
    if confirmed * 2 > all {
        return None;
    }
    Some((confirmed, all))
}

/// Returns the newest head that a daemon reports, the default head for none.
pub fn newest_head(reports: &DaemonReports) -> Head {
    let heads = reports.rows().filter_map(|(_, report)| report.as_ref());
    let newest = heads.max_by_key(|report| report.head.number);
    newest.map(|report| report.head).unwrap_or_default()
}

//! Determines which daemons have an accepted note in force.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::ids::FailureDomain;
use crate::ids::HostId;
use crate::ids::NoteNumber;
use crate::table::Table;

use super::Head;

/// The number of daemons that an accepted note is pushed to (section 4 of the
/// design document).
const PUSH_DAEMONS: usize = 3;

/// The status that a daemon reports about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonReport {
    /// The daemon's host.
    pub host: HostId,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// The note in force; the default head if there is none.
    pub head: Head,
    /// Whether the daemon has confirmed that its head is current.
    pub confirmed: bool,
    /// Whether the daemon is shutting down on request.
    pub leaving: bool,
}

/// The reports by admin address; `None` for a daemon that did not answer.
pub type DaemonReports = Table<SocketAddr, Option<DaemonReport>>;

/// A host and its note, as learned from the daemons' gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipedNote {
    /// The host.
    pub host: HostId,
    /// The note number in the host's last report.
    pub note: NoteNumber,
}

/// The progress of a note's rollout over the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutProgress {
    /// The number of daemons that have the note or a newer one in force.
    pub in_force: usize,
    /// The daemons that have an older note, or none, in force.
    pub behind: Vec<HostId>,
    /// The daemons that have a different note with the same number in force.
    pub diverged: Vec<HostId>,
    /// The admin addresses that did not answer.
    pub silent: Vec<SocketAddr>,
    /// The serving hosts known from gossip only that have an older note in
    /// force.
    pub gossiped_behind: Vec<HostId>,
}

impl RolloutProgress {
    /// Returns whether the note is in force on every daemon that must have it.
    pub fn is_complete(&self) -> bool {
        self.behind.is_empty()
            && self.diverged.is_empty()
            && self.silent.is_empty()
            && self.gossiped_behind.is_empty()
    }
}

/// Compares the daemons' reports with the accepted head.
///
/// A daemon with a higher note number counts as having the note in force, since
/// daemons accept only descendants of their current note. A daemon that is
/// leaving does not need the note.
pub fn progress(
    accepted: Head,
    reports: &DaemonReports,
    gossiped: &[GossipedNote],
) -> RolloutProgress {
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

/// Returns the daemons to push a note to: up to three that answered and are not
/// leaving, in different failure domains where possible.
pub fn push_addresses(reports: &DaemonReports) -> Vec<SocketAddr> {
    let mut chosen = Vec::new();
    let mut same_domain = Vec::new();
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
            same_domain.push(*address);
        }
    }
    chosen.extend(same_domain);
    chosen.truncate(PUSH_DAEMONS);
    chosen
}

/// Returns the numbers of confirmed daemons and of all daemons if at most half
/// of them are confirmed.
///
/// A note that is released in this state reaches only a minority; the other
/// daemons keep the old configuration until the network partition ends.
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

/// Returns the newest head that a daemon reports, or the default head if none
/// answered.
pub fn newest_head(reports: &DaemonReports) -> Head {
    let heads = reports.rows().filter_map(|(_, report)| report.as_ref());
    let newest = heads.max_by_key(|report| report.head.number);
    newest.map(|report| report.head).unwrap_or_default()
}

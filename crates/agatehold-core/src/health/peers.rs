//! The exchange of evidence against targets between daemons.

use crate::config::ConfigTables;
use crate::ids::HostId;
use crate::ids::TargetName;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::HealthTables;
use super::LogLikelihood;
use super::alarm_threshold;

/// The share of the alarm threshold from which evidence is sent to peers.
///
/// With a lower share, daemons would gossip about single background errors.
const SENT_THRESHOLD_SHARE: f64 = 0.75;

/// The maximum age at which evidence is used.
pub(super) const EVIDENCE_AGE_MAX_MS: DurationMs = DurationMs(15_000);

/// The evidence of one daemon against one target.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerEvidence {
    /// The target.
    pub target: TargetName,
    /// The host of the daemon that made the observations.
    pub reporter: HostId,
    /// The largest statistic at the reporter.
    pub evidence: LogLikelihood,
    /// When the reporter last observed something, on this daemon's clock. For
    /// evidence from a peer: the time of arrival less the reported age.
    pub at: TimeMs,
}

/// Returns the evidence of this daemon that is sent to its peers: recent and at
/// least [`SENT_THRESHOLD_SHARE`] of the alarm threshold.
pub fn reportable_evidence(
    tables: &HealthTables,
    config: &ConfigTables,
    own: &HostId,
    now: TimeMs,
) -> Vec<PeerEvidence> {
    let mut found = Vec::new();
    for (name, row) in tables.targets.rows() {
        let Some(service) = config.services.get(&row.service) else {
            continue;
        };
        let Some(at) = row.observed_at else {
            continue;
        };
        let threshold = alarm_threshold(&service.detection);
        if row.evidence() < threshold.scaled(SENT_THRESHOLD_SHARE) {
            continue;
        }
        if now.since(at) > EVIDENCE_AGE_MAX_MS {
            continue;
        }
        found.push(PeerEvidence {
            target: name.clone(),
            reporter: own.clone(),
            evidence: row.evidence(),
            at,
        });
    }
    found
}

/// Merges evidence of other daemons: keeps the newest of each reporter for a
/// target and drops what is too old.
pub fn merge_peer_evidence(tables: &mut HealthTables, offered: &[PeerEvidence], now: TimeMs) {
    for row in offered {
        let key = (row.target.clone(), row.reporter.clone());
        if tables.peers.get(&key).is_some_and(|held| held.at >= row.at) {
            continue;
        }
        tables.peers.insert(key, row.clone());
    }
    tables
        .peers
        .retain(|_, row| now.since(row.at) <= EVIDENCE_AGE_MAX_MS);
}

/// Drops the evidence of a daemon.
pub fn drop_reporter(tables: &mut HealthTables, reporter: &HostId) {
    tables.peers.retain(|key, _| key.1 != *reporter);
}

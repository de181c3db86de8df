//! Tells a fault of the daemon's own path, or an overload, from bad targets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::config::ConfigTables;
use crate::ids::FailureDomain;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::HealthTables;
use super::LogLikelihood;
use super::Standing;
use super::TargetHealth;
use super::alarm_threshold;
use super::peers::EVIDENCE_LIFETIME_MS;

/// How long the onset of a bad target counts for the own-path rule.
pub(super) const OBSERVED_WINDOW_MS: DurationMs = DurationMs(10_000);

/// Targets of several services that become bad within this time point to the
/// daemon's own path.
pub(super) const ONSET_WINDOW_MS: DurationMs = DurationMs(3_000);

/// The share of the threshold from which a target counts as suspicious for
/// the own-path rule; waiting for alarms would come after the first holds.
const SUSPICIOUS_SHARE: f64 = 0.35;

/// What this daemon has to blame on something else than single targets.
#[derive(Debug, Default)]
pub(super) struct Suspicion {
    /// Services of which most targets look bad to this daemon.
    pub(super) suspect_services: BTreeSet<ServiceName>,
    /// Services of which most targets look suspicious to some daemon: an
    /// overload of the whole service, which ejections would make worse.
    pub(super) troubled_services: BTreeSet<ServiceName>,
    /// Whether the daemon suspects its own network path.
    pub(super) own_path: bool,
}

impl Suspicion {
    /// Returns whether holds of the service's targets are not their fault.
    pub(super) fn covers(&self, service: &ServiceName) -> bool {
        self.own_path || self.suspect_services.contains(service)
    }
}

/// The targets of one service.
#[derive(Default)]
struct Counts {
    suspicious: usize,
    suspicious_to_some: usize,
    observed: usize,
}

/// Applies the own-path rule: most targets of a service, or targets of several
/// services and failure domains, became bad at once.
///
/// Targets of one failure domain that fail together are no sign of the
/// daemon's own path, since a rack or domain may have failed.
pub(super) fn suspect(tables: &mut HealthTables, config: &ConfigTables, now: TimeMs) -> Suspicion {
    let mut blamed_by_peers: BTreeSet<&TargetName> = BTreeSet::new();
    for ((target, _), peer) in tables.peers.rows() {
        if now.since(peer.at) <= EVIDENCE_LIFETIME_MS {
            blamed_by_peers.insert(target);
        }
    }
    let mut thresholds: BTreeMap<&ServiceName, LogLikelihood> = BTreeMap::new();
    let mut counts: BTreeMap<&ServiceName, Counts> = BTreeMap::new();
    let mut onsets: Vec<(TimeMs, &ServiceName, &FailureDomain)> = Vec::new();
    for (name, row) in tables.targets.rows_mut() {
        if row.leaving_at.is_some() || row.observed_at.is_none() {
            continue;
        }
        let Some(target) = config.targets.get(name) else {
            continue;
        };
        let service = &target.service;
        let Some(policy) = config.services.get(service) else {
            continue;
        };
        let threshold = *thresholds
            .entry(service)
            .or_insert_with(|| alarm_threshold(&policy.detection));
        let evidence = row.evidence();
        let bad = is_bad(row, threshold);
        let suspicious = bad || evidence >= threshold.scaled(SUSPICIOUS_SHARE);
        let count = counts.entry(service).or_default();
        count.suspicious += usize::from(suspicious);
        count.suspicious_to_some += usize::from(suspicious || blamed_by_peers.contains(name));
        count.observed += 1;
        if !bad {
            row.bad_since = None;
            continue;
        }
        let since = *row.bad_since.get_or_insert(now);
        if now.since(since) <= OBSERVED_WINDOW_MS {
            onsets.push((since, service, &target.failure_domain));
        }
    }
    let mut suspicion = Suspicion::default();
    for (service, count) in counts {
        if count.suspicious >= 2 && count.suspicious * 2 > count.observed {
            suspicion.suspect_services.insert(service.clone());
        }
        if count.suspicious_to_some * 2 > count.observed {
            suspicion.troubled_services.insert(service.clone());
        }
    }
    suspicion.own_path =
        suspicion.suspect_services.len() >= 2 || spans_services_and_domains(&mut onsets);
    suspicion
}

fn is_bad(row: &TargetHealth, threshold: LogLikelihood) -> bool {
    let avoided = matches!(
        row.standing,
        Standing::Held { .. } | Standing::OnTrial { .. }
    );
    avoided || row.evidence() >= threshold
}

fn spans_services_and_domains(onsets: &mut [(TimeMs, &ServiceName, &FailureDomain)]) -> bool {
    onsets.sort();
    for (position, (start, service, domain)) in onsets.iter().enumerate() {
        let together = onsets[position..]
            .iter()
            .take_while(|onset| onset.0.since(*start) <= ONSET_WINDOW_MS);
        let (mut services, mut domains) = (false, false);
        for onset in together {
            services |= onset.1 != *service;
            domains |= onset.2 != *domain;
        }
        if services && domains {
            return true;
        }
    }
    false
}

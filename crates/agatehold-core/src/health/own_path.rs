//! Distinguishes a fault of the daemon's own network path, or an overload of a
//! service, from faults of single targets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::config::ConfigTables;
use crate::ids::FailureDomain;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::BreakerState;
use super::HealthTables;
use super::LogLikelihood;
use super::TargetHealth;
use super::alarm_threshold;
use super::peers::EVIDENCE_AGE_MAX_MS;

/// How long after it became bad a target is considered by the own-path rule (see
/// [`detect_common_cause`]).
pub(super) const ONSET_AGE_MAX_MS: DurationMs = DurationMs(10_000);

/// If targets of several services and failure domains become bad within this
/// time, the daemon suspects its own network path.
pub(super) const ONSET_WINDOW_MS: DurationMs = DurationMs(3_000);

/// The share of the alarm threshold from which a target counts as suspicious for
/// the own-path rule. With the full threshold, the rule would apply only after
/// the first targets are on hold.
const SUSPICIOUS_THRESHOLD_SHARE: f64 = 0.35;

/// Failures that have a common cause and are not attributed to single targets.
#[derive(Debug, Default)]
pub(super) struct CommonCause {
    /// Services of which most targets look suspicious to this daemon.
    pub(super) suspect_services: BTreeSet<ServiceName>,
    /// Services of which most targets look suspicious to this daemon or have
    /// evidence from a peer against them. This indicates an overload of the whole
    /// service, which ejections would make worse.
    pub(super) troubled_services: BTreeSet<ServiceName>,
    /// Whether this daemon suspects its own network path.
    pub(super) own_path: bool,
}

impl CommonCause {
    /// Returns whether failures of the service's targets are attributed to a
    /// common cause, so that holds of these targets are short and not counted.
    pub(super) fn covers(&self, service: &ServiceName) -> bool {
        self.own_path || self.suspect_services.contains(service)
    }
}

/// The number of targets of one service by what is observed of them.
#[derive(Default)]
struct TargetCounts {
    /// Targets that look suspicious to this daemon.
    suspicious: usize,
    /// Targets that look suspicious to this daemon or that a peer has sent
    /// evidence against.
    suspicious_or_reported: usize,
    /// Targets that are not leaving and that this daemon has evidence on.
    observed: usize,
}

/// Determines the services whose targets fail for a common cause, and applies the
/// own-path rule: the daemon suspects its own network path if most targets of
/// each of two services look suspicious, or if targets of several services and
/// failure domains became bad at about the same time.
///
/// Targets of a single failure domain that fail together are not attributed to
/// the daemon's own path, since a rack or the domain may have failed.
pub(super) fn detect_common_cause(
    tables: &mut HealthTables,
    config: &ConfigTables,
    now: TimeMs,
) -> CommonCause {
    let mut reported_by_peers: BTreeSet<&TargetName> = BTreeSet::new();
    for ((target, _), peer) in tables.peers.rows() {
        if now.since(peer.at) <= EVIDENCE_AGE_MAX_MS {
            reported_by_peers.insert(target);
        }
    }
    let mut thresholds: BTreeMap<&ServiceName, LogLikelihood> = BTreeMap::new();
    let mut counts: BTreeMap<&ServiceName, TargetCounts> = BTreeMap::new();
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
        let suspicious = bad || evidence >= threshold.scaled(SUSPICIOUS_THRESHOLD_SHARE);
        let count = counts.entry(service).or_default();
        count.suspicious += usize::from(suspicious);
        count.suspicious_or_reported += usize::from(suspicious || reported_by_peers.contains(name));
        count.observed += 1;
        if !bad {
            row.bad_since = None;
            continue;
        }
        let since = *row.bad_since.get_or_insert(now);
        if now.since(since) <= ONSET_AGE_MAX_MS {
            onsets.push((since, service, &target.failure_domain));
        }
    }
    let mut common_cause = CommonCause::default();
    for (service, count) in counts {
        if count.suspicious >= 2 && count.suspicious * 2 > count.observed {
            common_cause.suspect_services.insert(service.clone());
        }
        if count.suspicious_or_reported * 2 > count.observed {
            common_cause.troubled_services.insert(service.clone());
        }
    }
    common_cause.own_path =
        common_cause.suspect_services.len() >= 2 || spans_services_and_domains(&mut onsets);
    common_cause
}

/// Returns whether the target is on hold or on trial, or the evidence against it
/// has reached the alarm threshold.
fn is_bad(row: &TargetHealth, threshold: LogLikelihood) -> bool {
    let avoided = matches!(
        row.breaker,
        BreakerState::Held { .. } | BreakerState::OnTrial { .. }
    );
    avoided || row.evidence() >= threshold
}

/// Returns whether targets of several services and several failure domains
/// became bad within [`ONSET_WINDOW_MS`].
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

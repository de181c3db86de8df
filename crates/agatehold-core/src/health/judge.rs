//! Judges all targets once a tick.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::config::ConfigTables;
use crate::config::ServiceRow;
use crate::config::TargetState;
use crate::ejection::PermitState;
use crate::ejection::PermitTables;
use crate::ids::FailureDomain;
use crate::ids::HostId;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::routing::Preference;
use crate::routing::TargetCell;
use crate::table::Table;
use crate::units::DurationMs;
use crate::units::Percent;
use crate::units::TimeMs;

use super::HealthTables;
use super::LogLikelihood;
use super::Standing;
use super::TargetHealth;
use super::alarm_threshold;
use super::peers::EVIDENCE_LIFETIME_MS;
use super::rows::ramp_share;

/// The length of the ramp after a trial or a cold start.
const RAMP_MS: DurationMs = DurationMs(30_000);

/// How long evidence from one's own traffic counts for the own-path rule.
const OBSERVED_WINDOW_MS: DurationMs = DurationMs(10_000);

/// Targets of several services that become bad within this time point to the
/// daemon's own path.
const ONSET_WINDOW_MS: DurationMs = DurationMs(3_000);

/// How long the mark of a leaving target lasts unless the host list or a note
/// confirms it; a drain that was called off would else be final.
const LEAVING_MARK_MS: DurationMs = DurationMs(600_000);

/// The part of the threshold that the statistics start from after a hold, so
/// that a target which fails again is found sooner (Lucas and Crosier 1982).
const HEAD_START: f64 = 0.5;

/// The hold while the daemon suspects its own path; it leaves no memory.
const SUSPECT_HOLD_MS: DurationMs = DurationMs(1_000);

/// The failure domains whose daemons have to agree on an ejection.
const LEAST_DOMAINS: usize = 2;

/// What a daemon wants changed in the permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    /// The target should be ejected for at least the hold time.
    Eject {
        /// The hold time.
        hold_ms: DurationMs,
    },
    /// The ejected target should return.
    Return,
}

/// The verdict on one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// The order of choice.
    pub preference: Preference,
    /// The share of its work that the target gets; below 100 while ramping.
    pub share: Percent,
    /// Whether one idempotent request may try the target.
    pub trial: bool,
    /// Whether the target's own answers say that it is leaving.
    pub leaving: bool,
    /// Whether the target counts as capacity: reachable, warm, not leaving.
    pub capable: bool,
    /// How strong the evidence against the target is.
    pub evidence: LogLikelihood,
    /// What should change in the permits.
    pub wish: Option<Wish>,
}

/// The verdicts of one tick.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Judgement {
    /// The verdicts by target.
    pub verdicts: Table<TargetName, Verdict>,
    /// Services of which most targets look bad, so that none is ejected.
    pub suspect_services: BTreeSet<ServiceName>,
    /// Whether the daemon suspects its own network path; its peers drop its
    /// evidence while it does.
    pub own_path_suspected: bool,
}

/// Judges all targets that this daemon knows anything about.
///
/// A target without a verdict is preferred; most of 9,900 targets get no work
/// from any one daemon, and a row for each would cost more than the judging.
///
/// `domain_of` returns the failure domain of a host that runs a daemon. Where
/// there are several, evidence from a single one may be a fault of that
/// domain's network and ejects nothing.
pub fn judge(
    tables: &mut HealthTables,
    config: &ConfigTables,
    permits: &PermitTables,
    own: &HostId,
    now: TimeMs,
    domain_of: impl Fn(&HostId) -> Option<FailureDomain>,
) -> Judgement {
    let mut judgement = Judgement::default();
    let least_domains = least_domains(config);
    suspect_own_path(tables, config, &mut judgement, now);
    for name in names_to_judge(tables, permits) {
        let Some(target) = config.targets.get(&name) else {
            continue;
        };
        let Some(service) = config.services.get(&target.service) else {
            continue;
        };
        let row = tables
            .targets
            .get_or_insert(name.clone(), || TargetHealth::new(target.service.clone()));
        let suspected =
            judgement.own_path_suspected || judgement.suspect_services.contains(&target.service);
        let permit = permits.state_of(&target.service, &name);
        let threshold = alarm_threshold(&service.detection);
        advance(row, threshold, permit, suspected, now);
        let wish = match permit {
            Some(PermitState::Ejected) => {
                (!matches!(row.standing, Standing::Held { .. })).then_some(Wish::Return)
            }
            _ if suspected || target.state == TargetState::Leaving => None,
            _ => {
                let hold_ms = row.holds.last_hold();
                let (nats, domains) =
                    fleet_evidence(tables, &name, threshold, own, now, &domain_of);
                let agreed = nats >= 2.0 * threshold.get() && domains >= least_domains;
                agreed.then_some(Wish::Eject { hold_ms })
            }
        };
        if let Some(row) = tables.targets.get(&name) {
            let verdict = verdict(row, wish, now);
            judgement.verdicts.insert(name, verdict);
        }
    }
    judgement
}

/// Returns the failure domains whose daemons have to agree on an ejection:
/// `LEAST_DOMAINS`, or fewer where the targets have fewer.
fn least_domains(config: &ConfigTables) -> usize {
    let mut domains = BTreeSet::new();
    for (_, target) in config.targets.rows() {
        domains.insert(&target.failure_domain);
        if domains.len() >= LEAST_DOMAINS {
            break;
        }
    }
    domains.len()
}

fn names_to_judge(tables: &HealthTables, permits: &PermitTables) -> BTreeSet<TargetName> {
    let mut names: BTreeSet<TargetName> = tables.targets.keys().cloned().collect();
    for (_, held) in permits.records.rows() {
        names.extend(held.record.entries.keys().cloned());
    }
    names
}

fn is_bad(row: &TargetHealth, service: &ServiceRow) -> bool {
    matches!(
        row.standing,
        Standing::Held { .. } | Standing::OnTrial { .. }
    ) || row.evidence() >= alarm_threshold(&service.detection)
}

/// Applies the own-path rule: most targets of a service, or targets of several
/// services and failure domains, became bad at once.
///
/// Targets of one failure domain that fail together are no sign of the
/// daemon's own path, since a rack or domain may have failed.
fn suspect_own_path(
    tables: &mut HealthTables,
    config: &ConfigTables,
    judgement: &mut Judgement,
    now: TimeMs,
) {
    let mut counts: BTreeMap<&ServiceName, (usize, usize)> = BTreeMap::new();
    let mut onsets: Vec<(TimeMs, &ServiceName, &FailureDomain)> = Vec::new();
    for (name, row) in tables.targets.rows_mut() {
        let Some(target) = config.targets.get(name) else {
            continue;
        };
        let Some(service) = config.services.get(&target.service) else {
            continue;
        };
        let count = counts.entry(&target.service).or_default();
        if row.leaving_at.is_some() || row.observed_at.is_none() {
            continue;
        }
        count.1 += 1;
        if !is_bad(row, service) {
            row.bad_since = None;
            continue;
        }
        count.0 += 1;
        let since = *row.bad_since.get_or_insert(now);
        if now.since(since) <= OBSERVED_WINDOW_MS {
            onsets.push((since, &target.service, &target.failure_domain));
        }
    }
    for (service, (bad, observed)) in counts {
        if bad >= 2 && bad * 2 > observed {
            judgement.suspect_services.insert(service.clone());
        }
    }
    judgement.own_path_suspected =
        judgement.suspect_services.len() >= 2 || spans_services_and_domains(&mut onsets);
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

/// Moves the target to its next standing.
fn advance(
    row: &mut TargetHealth,
    threshold: LogLikelihood,
    permit: Option<PermitState>,
    suspected: bool,
    now: TimeMs,
) {
    if row
        .leaving_at
        .is_some_and(|at| now.since(at) > LEAVING_MARK_MS)
    {
        row.leaving_at = None;
    }
    let alarmed = row.evidence() >= threshold;
    match row.standing {
        Standing::Held { until } if now >= until => {
            row.standing = Standing::OnTrial { passed: 0 };
            row.overdue = 0;
            row.reset_evidence(threshold.scaled(HEAD_START));
        }
        Standing::Held { .. } => {}
        _ if alarmed && suspected => {
            let until = now + SUSPECT_HOLD_MS;
            row.standing = Standing::Held { until };
        }
        _ if alarmed
            || (permit == Some(PermitState::Ejected) && row.standing == Standing::Serving) =>
        {
            let hold = row.holds.begin(now);
            row.standing = Standing::Held { until: now + hold };
        }
        Standing::Ramping { since } if now.since(since) >= RAMP_MS => {
            row.standing = Standing::Serving;
        }
        Standing::Serving if row.warming => {
            row.standing = Standing::Ramping { since: now };
        }
        Standing::Ramping { .. } if row.warming => {
            row.standing = Standing::Ramping { since: now };
        }
        _ => {}
    }
}

/// Returns the sum of the evidence of all daemons in nats and the number of
/// failure domains it comes from; 0 where this daemon does not avoid the target.
///
/// Each daemon counts up to the threshold, so that twice the threshold takes
/// at least two daemons, whatever one of them saw.
fn fleet_evidence(
    tables: &HealthTables,
    target: &TargetName,
    threshold: LogLikelihood,
    own: &HostId,
    now: TimeMs,
    domain_of: &impl Fn(&HostId) -> Option<FailureDomain>,
) -> (f64, usize) {
    let Some(row) = tables.targets.get(target) else {
        return (0.0, 0);
    };
    let is_fresh = |at: TimeMs| now.since(at) <= EVIDENCE_LIFETIME_MS;
    if !row.observed_at.is_some_and(is_fresh) || row.evidence() < threshold {
        return (0.0, 0);
    }
    let mut nats = threshold.get();
    let mut domains = BTreeSet::from([domain_of(own)]);
    for ((_, reporter), peer) in tables.peers.rows().filter(|(key, _)| key.0 == *target) {
        if reporter == own || !is_fresh(peer.at) {
            continue;
        }
        nats += peer.evidence.get().min(threshold.get());
        domains.insert(domain_of(reporter));
    }
    (nats, domains.len())
}

fn verdict(row: &TargetHealth, wish: Option<Wish>, now: TimeMs) -> Verdict {
    let (preference, share) = match row.standing {
        Standing::Serving => (Preference::Preferred, Percent::HUNDRED),
        Standing::Held { .. } | Standing::OnTrial { .. } => {
            (Preference::Avoided, Percent::default())
        }
        Standing::Ramping { since } => (Preference::Ramping, ramp_share(now.since(since), RAMP_MS)),
    };
    Verdict {
        preference,
        share,
        trial: matches!(row.standing, Standing::OnTrial { .. }) && row.overdue == 0,
        leaving: row.leaving_at.is_some(),
        capable: row.leaving_at.is_none() && !row.warming && row.connects_failed == 0,
        evidence: row.evidence(),
        wish,
    }
}

/// Writes the verdicts to the cells that traffic threads read.
///
/// The mark of a leaving target is not written, since the note and the host
/// list decide about it too.
pub fn write_verdicts(judgement: &Judgement, cells: &Table<TargetName, Arc<TargetCell>>) {
    for (name, verdict) in judgement.verdicts.rows() {
        let Some(cell) = cells.get(name) else {
            continue;
        };
        cell.set_ramp_share(verdict.share);
        cell.set_preference(verdict.preference);
        cell.set_trial(verdict.trial);
    }
}

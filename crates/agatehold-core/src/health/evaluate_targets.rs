//! Evaluates the evidence against all targets once per tick.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::config::ConfigTables;
use crate::config::TargetRow;
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

use super::BreakerState;
use super::HealthTables;
use super::LogLikelihood;
use super::PeerEvidence;
use super::TargetHealth;
use super::alarm_threshold;
use super::own_path::ONSET_AGE_MAX_MS;
use super::own_path::ONSET_WINDOW_MS;
use super::own_path::detect_common_cause;
use super::peers::EVIDENCE_AGE_MAX_MS;
use super::rows::ramp_share;

/// How long a target ramps up after it has passed its trials or has last said
/// that it is warming up.
const RAMP_MS: DurationMs = DurationMs(30_000);

/// How long a target counts as leaving after its last answer that said so, unless
/// the host list or a release note also says so. Without this limit, a target
/// whose drain was cancelled would count as leaving forever.
const LEAVING_MARK_MAX_MS: DurationMs = DurationMs(600_000);

/// The share of the alarm threshold at which the statistics start after a hold,
/// so that a target that fails again is detected sooner (Lucas and Crosier 1982).
const RESTART_THRESHOLD_SHARE: f64 = 0.5;

/// The length of a hold while failures are attributed to the daemon's own
/// network path or to an overload. Such a hold does not lengthen later ones.
const COMMON_CAUSE_HOLD_MS: DurationMs = DurationMs(1_000);

/// How long an overdue trial keeps further trials from being sent.
const OVERDUE_TRIAL_MAX_MS: DurationMs = DurationMs(1_000);

/// An ejection needs evidence from daemons in this many failure domains, or in
/// all of them if the targets have fewer.
const EJECTION_DOMAINS_MIN: usize = 2;

/// The evidence needed for an ejection, as a multiple of the alarm threshold;
/// each daemon contributes at most the threshold. In an overload, two of twelve
/// daemons agree on a false ejection 2.5 times per million observations, three
/// of them once (`docs/MEASUREMENTS.md`).
const EJECTION_REPORTERS_MIN: f64 = 3.0;

/// The lower limit of the evidence needed for an ejection, in nats. With the low
/// threshold of the `detection-first` policy, three daemons are too few: at 1%
/// background errors they would agree by chance.
const EJECTION_EVIDENCE_MIN_NATS: f64 = 24.0;

/// A change that a daemon requests in the ejection permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitProposal {
    /// Eject the target for at least the hold time.
    Eject {
        /// The hold time.
        hold_ms: DurationMs,
    },
    /// End the ejection of the target.
    Return,
}

/// The result of the evaluation of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// The preference with which the target is chosen.
    pub preference: Preference,
    /// The share of its usual requests that the target gets; 100 if it serves
    /// without restriction, 0 if it is avoided.
    pub share: Percent,
    /// Whether one idempotent request may be sent to the target as a trial.
    pub trial: bool,
    /// Whether the target's own answers say that it is leaving.
    pub leaving: bool,
    /// Whether the target counts as capacity: reachable, warm and not leaving.
    pub capable: bool,
    /// The evidence against the target.
    pub evidence: LogLikelihood,
    /// The requested change of the permits.
    pub permit_proposal: Option<PermitProposal>,
}

impl Verdict {
    /// Returns whether the verdict is the default one: that of a target for
    /// which none is given.
    fn is_default(&self) -> bool {
        self.preference == Preference::Preferred
            && self.capable
            && !self.leaving
            && self.permit_proposal.is_none()
    }
}

/// The result of one tick.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evaluation {
    /// The verdicts by target.
    pub verdicts: Table<TargetName, Verdict>,
    /// Services of which most targets look bad, so that none of them is ejected.
    pub suspect_services: BTreeSet<ServiceName>,
    /// Whether the daemon suspects its own network path; it sends no evidence of
    /// its own to peers while it does.
    pub own_path_suspected: bool,
}

/// Evaluates all targets that this daemon has evidence on or that are ejected.
///
/// A target whose verdict is the default one, both now and at the last tick, has
/// no entry in the result: storing the verdicts of thousands of healthy targets
/// would cost more than computing them. Faults of the daemon's own network path
/// are detected by `detect_common_cause`.
///
/// `domain_of` returns the failure domain of a host that runs a daemon. If there
/// are several failure domains, evidence from a single one does not eject a
/// target, since it may be due to a fault of that domain's network.
pub fn evaluate_targets(
    tables: &mut HealthTables,
    config: &ConfigTables,
    permits: &PermitTables,
    own: &HostId,
    now: TimeMs,
    domain_of: impl Fn(&HostId) -> Option<FailureDomain>,
) -> Evaluation {
    for (service, held) in permits.records.rows() {
        for target in held.record.entries.keys() {
            let new_row = || TargetHealth::new(service.clone());
            tables.targets.get_or_insert(target.clone(), new_row);
        }
    }
    let common_cause = detect_common_cause(tables, config, now);
    let mut evaluation = Evaluation {
        own_path_suspected: common_cause.own_path,
        ..Evaluation::default()
    };
    let HealthTables { targets, peers, .. } = tables;
    for (name, row) in targets.rows_mut() {
        let Some(service) = config.services.get(&row.service) else {
            continue;
        };
        let has_common_cause = common_cause.covers(&row.service);
        let permit = permits.state_of(&row.service, name);
        let threshold = alarm_threshold(&service.detection);
        update_breaker(row, threshold, permit, has_common_cause, now);
        let permit_proposal = match permit {
            Some(PermitState::Ejected) => {
                let is_held = matches!(row.breaker, BreakerState::Held { .. });
                let is_due = permits.is_hold_time_over(&row.service, name, now);
                (is_due && !is_held).then_some(PermitProposal::Return)
            }
            _ if has_common_cause || common_cause.troubled_services.contains(&row.service) => None,
            _ if !has_lasting_alarm(row, threshold, now) => None,
            _ => {
                let fleet = fleet_evidence(peers, name, threshold, own, now, &domain_of);
                may_eject(config, name, threshold, fleet).then(|| PermitProposal::Eject {
                    hold_ms: row.holds.last_hold(),
                })
            }
        };
        let verdict = verdict(row, permit_proposal, now);
        let is_default = verdict.is_default();
        if !(is_default && row.had_default_verdict) {
            evaluation.verdicts.insert(name.clone(), verdict);
        }
        row.had_default_verdict = is_default;
    }
    evaluation.suspect_services = common_cause.suspect_services;
    evaluation
}

/// Returns whether the evidence has reached the threshold and is recent, and the
/// target has been bad for [`ONSET_WINDOW_MS`], the time in which an overload or a
/// fault of the daemon's own path becomes visible.
fn has_lasting_alarm(row: &TargetHealth, threshold: LogLikelihood, now: TimeMs) -> bool {
    let lasts = |since: TimeMs| now.since(since) >= ONSET_WINDOW_MS;
    let is_fresh = |at: TimeMs| now.since(at) <= EVIDENCE_AGE_MAX_MS;
    row.evidence() >= threshold
        && row.bad_since.is_some_and(lasts)
        && row.observed_at.is_some_and(is_fresh)
}

/// Returns the sum of the evidence of all daemons in nats and the number of
/// failure domains that it comes from. The evidence of this daemon has reached
/// the threshold.
///
/// The evidence of each daemon is limited to the threshold, so that a larger sum
/// always needs several daemons.
fn fleet_evidence(
    peers: &Table<(TargetName, HostId), PeerEvidence>,
    target: &TargetName,
    threshold: LogLikelihood,
    own: &HostId,
    now: TimeMs,
    domain_of: &impl Fn(&HostId) -> Option<FailureDomain>,
) -> (f64, usize) {
    let mut nats = threshold.get();
    let mut domains = BTreeSet::from([domain_of(own)]);
    for ((_, reporter), peer) in peers.rows().filter(|(key, _)| key.0 == *target) {
        if reporter == own || now.since(peer.at) > EVIDENCE_AGE_MAX_MS {
            continue;
        }
        nats += peer.evidence.get().min(threshold.get());
        domains.insert(domain_of(reporter));
    }
    (nats, domains.len())
}

/// Returns whether a serving target may be ejected, given the evidence of the
/// fleet (see [`fleet_evidence`]).
fn may_eject(
    config: &ConfigTables,
    target: &TargetName,
    threshold: LogLikelihood,
    (nats, reporter_domains): (f64, usize),
) -> bool {
    let needed = (EJECTION_REPORTERS_MIN * threshold.get()).max(EJECTION_EVIDENCE_MIN_NATS);
    let serving = |row: &TargetRow| row.state == TargetState::Serving;
    if nats < needed || !config.targets.get(target).is_some_and(serving) {
        return false;
    }
    let rows = config.targets.rows();
    let domains: BTreeSet<_> = rows.map(|(_, row)| &row.failure_domain).collect();
    reporter_domains >= domains.len().min(EJECTION_DOMAINS_MIN)
}

/// Moves the target to its next breaker state.
///
/// `has_common_cause` tells whether failures of the target are attributed to a common
/// cause.
fn update_breaker(
    row: &mut TargetHealth,
    threshold: LogLikelihood,
    permit: Option<PermitState>,
    has_common_cause: bool,
    now: TimeMs,
) {
    if row
        .leaving_at
        .is_some_and(|at| now.since(at) > LEAVING_MARK_MAX_MS)
    {
        row.leaving_at = None;
    }
    let failed = std::mem::take(&mut row.trial_failed) || row.evidence() >= threshold;
    let ejected = permit == Some(PermitState::Ejected);
    match row.breaker {
        BreakerState::Held { until } if now >= until => {
            row.breaker = BreakerState::OnTrial { passed: 0 };
            row.overdue = 0;
            let restart_share = if row.hold_counted {
                RESTART_THRESHOLD_SHARE
            } else {
                0.0
            };
            row.reset_evidence(threshold.scaled(restart_share));
        }
        BreakerState::Held { until }
            if has_common_cause && row.hold_counted && is_recent(row, now) =>
        {
            // The hold began before the common cause was detected.
            row.holds.undo();
            row.hold_counted = false;
            let until = until.min(now + COMMON_CAUSE_HOLD_MS);
            row.breaker = BreakerState::Held { until };
        }
        BreakerState::Held { .. } => {}
        _ if failed && has_common_cause => {
            row.hold_counted = false;
            let until = now + COMMON_CAUSE_HOLD_MS;
            row.breaker = BreakerState::Held { until };
        }
        _ if failed || (ejected && row.breaker == BreakerState::Serving) => {
            row.hold_counted = true;
            let hold = row.holds.begin(now);
            row.breaker = BreakerState::Held { until: now + hold };
        }
        BreakerState::Ramping { since } if now.since(since) >= RAMP_MS => {
            row.breaker = BreakerState::Serving;
        }
        BreakerState::Serving if row.warming => {
            row.breaker = BreakerState::Ramping { since: now };
        }
        BreakerState::Ramping { .. } if row.warming => {
            row.breaker = BreakerState::Ramping { since: now };
        }
        _ => {}
    }
}

/// Returns whether the target became bad recently.
fn is_recent(row: &TargetHealth, now: TimeMs) -> bool {
    row.bad_since
        .is_some_and(|since| now.since(since) <= ONSET_AGE_MAX_MS)
}

/// Returns whether a trial is overdue and was reported so within
/// [`OVERDUE_TRIAL_MAX_MS`]. An older report is ignored, since the end of the trial may
/// have gone unreported because a channel was full.
fn is_trial_overdue(row: &TargetHealth, now: TimeMs) -> bool {
    let recent = |at: TimeMs| now.since(at) < OVERDUE_TRIAL_MAX_MS;
    row.overdue > 0 && row.observed_at.is_some_and(recent)
}

/// Returns the verdict on a target in its current breaker state.
fn verdict(row: &TargetHealth, permit_proposal: Option<PermitProposal>, now: TimeMs) -> Verdict {
    let (preference, share) = match row.breaker {
        BreakerState::Serving => (Preference::Preferred, Percent::HUNDRED),
        BreakerState::Held { .. } | BreakerState::OnTrial { .. } => {
            (Preference::Avoided, Percent::default())
        }
        BreakerState::Ramping { since } => {
            (Preference::Ramping, ramp_share(now.since(since), RAMP_MS))
        }
    };
    Verdict {
        preference,
        share,
        trial: matches!(row.breaker, BreakerState::OnTrial { .. }) && !is_trial_overdue(row, now),
        leaving: row.leaving_at.is_some(),
        capable: row.leaving_at.is_none() && !row.warming && row.connects_failed == 0,
        evidence: row.evidence(),
        permit_proposal,
    }
}

/// Writes the verdicts to the cells that traffic threads read.
///
/// Whether the target is leaving is not written here, since that also depends on
/// the release note and the host list.
pub fn write_verdicts(evaluation: &Evaluation, cells: &Table<TargetName, Arc<TargetCell>>) {
    for (name, verdict) in evaluation.verdicts.rows() {
        let Some(cell) = cells.get(name) else {
            continue;
        };
        cell.set_ramp_share(verdict.share);
        cell.set_preference(verdict.preference);
        cell.set_trial(verdict.trial);
    }
}

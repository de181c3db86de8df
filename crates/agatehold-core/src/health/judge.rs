//! Judges all targets once a tick.

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

use super::HealthTables;
use super::LogLikelihood;
use super::PeerEvidence;
use super::Standing;
use super::TargetHealth;
use super::alarm_threshold;
use super::own_path::OBSERVED_WINDOW_MS;
use super::own_path::ONSET_WINDOW_MS;
use super::own_path::suspect;
use super::peers::EVIDENCE_LIFETIME_MS;
use super::rows::ramp_share;

/// The length of the ramp after a trial or a cold start.
const RAMP_MS: DurationMs = DurationMs(30_000);

/// How long the mark of a leaving target lasts unless the host list or a note
/// confirms it; a drain that was called off would else be final.
const LEAVING_MARK_MS: DurationMs = DurationMs(600_000);

/// The part of the threshold that the statistics start from after a hold, so
/// that a target which fails again is found sooner (Lucas and Crosier 1982).
const HEAD_START: f64 = 0.5;

/// The hold while the daemon suspects its own path; it leaves no memory.
const SUSPECT_HOLD_MS: DurationMs = DurationMs(1_000);

/// How long an overdue trial keeps others from being sent.
const OPEN_TRIAL_MS: DurationMs = DurationMs(1_000);

/// The failure domains whose daemons have to agree on an ejection.
const LEAST_DOMAINS: usize = 2;

/// The daemons with full evidence that an ejection needs. In an overload two of
/// twelve wish a false ejection 2.5 times for each million observations, three
/// once (`docs/MEASUREMENTS.md`).
const LEAST_REPORTERS: f64 = 3.0;

/// The least sum of evidence in nats for an ejection. With the low threshold of
/// `detection-first` three daemons are too few: at 1% background errors they
/// agree by chance.
const LEAST_EJECTION_NATS: f64 = 24.0;

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

impl Verdict {
    /// Returns whether the verdict is that of a target without one.
    fn is_plain(&self) -> bool {
        self.preference == Preference::Preferred
            && self.capable
            && !self.leaving
            && self.wish.is_none()
    }
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
/// A target that is preferred and was so at the last tick gets no verdict, since
/// the verdicts of thousands of healthy targets would cost more than judging
/// them. The own-path rule is in `suspect`.
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
    for (service, held) in permits.records.rows() {
        for target in held.record.entries.keys() {
            let new_row = || TargetHealth::new(service.clone());
            tables.targets.get_or_insert(target.clone(), new_row);
        }
    }
    let suspicion = suspect(tables, config, now);
    let mut judgement = Judgement {
        own_path_suspected: suspicion.own_path,
        ..Judgement::default()
    };
    let HealthTables { targets, peers, .. } = tables;
    for (name, row) in targets.rows_mut() {
        let Some(service) = config.services.get(&row.service) else {
            continue;
        };
        let suspected = suspicion.covers(&row.service);
        let permit = permits.state_of(&row.service, name);
        let threshold = alarm_threshold(&service.detection);
        advance(row, threshold, permit, suspected, now);
        let wish = match permit {
            Some(PermitState::Ejected) => {
                let is_held = matches!(row.standing, Standing::Held { .. });
                let is_due = permits.is_hold_over(&row.service, name, now);
                (is_due && !is_held).then_some(Wish::Return)
            }
            _ if suspected || suspicion.troubled_services.contains(&row.service) => None,
            _ if !has_lasting_alarm(row, threshold, now) => None,
            _ => {
                let fleet = fleet_evidence(peers, name, threshold, own, now, &domain_of);
                may_eject(config, name, threshold, fleet).then(|| Wish::Eject {
                    hold_ms: row.holds.last_hold(),
                })
            }
        };
        let verdict = verdict(row, wish, now);
        let is_plain = verdict.is_plain();
        if !(is_plain && row.settled) {
            judgement.verdicts.insert(name.clone(), verdict);
        }
        row.settled = is_plain;
    }
    judgement.suspect_services = suspicion.suspect_services;
    judgement
}

/// Returns whether this daemon has avoided the target for the time in which an
/// overload or a fault of its own path would show.
fn has_lasting_alarm(row: &TargetHealth, threshold: LogLikelihood, now: TimeMs) -> bool {
    let lasts = |since: TimeMs| now.since(since) >= ONSET_WINDOW_MS;
    let is_fresh = |at: TimeMs| now.since(at) <= EVIDENCE_LIFETIME_MS;
    row.evidence() >= threshold
        && row.bad_since.is_some_and(lasts)
        && row.observed_at.is_some_and(is_fresh)
}

/// Returns the sum of the evidence of all daemons in nats and the number of
/// failure domains it comes from; this daemon holds evidence of the threshold.
///
/// Each daemon counts up to the threshold, so that a sum above it takes several
/// daemons, whatever one of them saw.
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
        if reporter == own || now.since(peer.at) > EVIDENCE_LIFETIME_MS {
            continue;
        }
        nats += peer.evidence.get().min(threshold.get());
        domains.insert(domain_of(reporter));
    }
    (nats, domains.len())
}

fn may_eject(
    config: &ConfigTables,
    target: &TargetName,
    threshold: LogLikelihood,
    (nats, reporter_domains): (f64, usize),
) -> bool {
    let needed = (LEAST_REPORTERS * threshold.get()).max(LEAST_EJECTION_NATS);
    let serving = |row: &TargetRow| row.state == TargetState::Serving;
    if nats < needed || !config.targets.get(target).is_some_and(serving) {
        return false;
    }
    let rows = config.targets.rows();
    let domains: BTreeSet<_> = rows.map(|(_, row)| &row.failure_domain).collect();
    reporter_domains >= domains.len().min(LEAST_DOMAINS)
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
    let failed = std::mem::take(&mut row.trial_failed) || row.evidence() >= threshold;
    let ejected = permit == Some(PermitState::Ejected);
    match row.standing {
        Standing::Held { until } if now >= until => {
            row.standing = Standing::OnTrial { passed: 0 };
            row.overdue = 0;
            let head_start = if row.hold_counted { HEAD_START } else { 0.0 };
            row.reset_evidence(threshold.scaled(head_start));
        }
        Standing::Held { until } if suspected && row.hold_counted && is_recent(row, now) => {
            // The hold began before the daemon suspected its own path.
            row.holds.undo();
            row.hold_counted = false;
            let until = until.min(now + SUSPECT_HOLD_MS);
            row.standing = Standing::Held { until };
        }
        Standing::Held { .. } => {}
        _ if failed && suspected => {
            row.hold_counted = false;
            let until = now + SUSPECT_HOLD_MS;
            row.standing = Standing::Held { until };
        }
        _ if failed || (ejected && row.standing == Standing::Serving) => {
            row.hold_counted = true;
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

fn is_recent(row: &TargetHealth, now: TimeMs) -> bool {
    row.bad_since
        .is_some_and(|since| now.since(since) <= OBSERVED_WINDOW_MS)
}

/// Returns whether a trial is overdue, for as long as that is news: its end may
/// go unreported when a channel is full.
fn is_trial_open(row: &TargetHealth, now: TimeMs) -> bool {
    let recent = |at: TimeMs| now.since(at) < OPEN_TRIAL_MS;
    row.overdue > 0 && row.observed_at.is_some_and(recent)
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
        trial: matches!(row.standing, Standing::OnTrial { .. }) && !is_trial_open(row, now),
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

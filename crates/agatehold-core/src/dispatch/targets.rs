//! The table of targets that a traffic thread sends to.

use std::collections::HashMap;

use crate::addresses::rendezvous_fraction;
use crate::config::TargetState;
use crate::ids::HostId;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::roster::TargetRecord;
use crate::table::Table;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::Suspicion;
use super::pick::share_score;

/// The time after which half of a load report counts as outdated: about the
/// run time of a request, after which as many have come as have ended.
const REPORT_HALF_LIFE_MS: DurationMs = DurationMs(250);

/// A target's report of its own load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait in the target.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

impl LoadReport {
    /// Returns whether the target could run another request at once.
    pub const fn has_free_slot(&self) -> bool {
        self.running.saturating_add(self.waiting) < self.slots
    }
}

/// A target and what this daemon knows of it.
#[derive(Clone, Debug)]
pub struct LiveTarget {
    /// What the target registered.
    pub record: TargetRecord,
    /// Until when the target is slow after its start.
    pub warm_at: TimeMs,
    /// Requests that this daemon has sent and that have not ended.
    pub in_flight: u32,
    /// Of these, the ones that take much longer than usual.
    pub overdue: u32,
    /// Requests of other daemons by the last report.
    reported_others: u32,
    /// When the report came.
    reported_at: TimeMs,
    /// Evidence that the target fails.
    pub suspicion: Suspicion,
    /// Whether the target is leaving, by its registration or its own word.
    pub leaving: bool,
    /// The count of choices when this target was chosen last, 0 if it never
    /// was; orders targets that are equal otherwise.
    pub chosen_number: u64,
    /// When this target was last used, by this daemon or one that told of it.
    pub chosen_at: TimeMs,
    /// When this daemon last used it; 0 if it never did.
    pub(super) claimed_at: TimeMs,
    /// Says which daemon keeps the target in use.
    pub(super) share_score: u64,
    /// Orders targets that are equal throughout; from 0 to 1.
    pub tie_break: f64,
}

impl LiveTarget {
    fn new(record: TargetRecord, tie_break: f64, seen_at: TimeMs) -> Self {
        let warm_at = seen_at + record.warmup_left_ms;
        let leaving = record.state == TargetState::Leaving;
        let share_score = share_score(&record.identity.name);
        Self {
            record,
            warm_at,
            in_flight: 0,
            overdue: 0,
            reported_others: 0,
            reported_at: TimeMs(0),
            suspicion: Suspicion::default(),
            leaving,
            chosen_number: 0,
            chosen_at: seen_at,
            claimed_at: TimeMs(0),
            share_score,
            tie_break,
        }
    }

    /// Stores the target's load report.
    ///
    /// It counts this daemon's requests, the one that it came with included,
    /// which still counts as in flight here.
    pub fn report_load(&mut self, report: LoadReport, now: TimeMs) {
        let in_target = report.running.saturating_add(report.waiting);
        self.reported_others = in_target.saturating_sub(self.in_flight);
        self.reported_at = now;
    }

    /// Returns the estimated number of requests in the target: the own ones
    /// and those of others by the last report, less for each half-life of its
    /// age.
    pub fn estimated_load(&self, now: TimeMs) -> f64 {
        let weight = now
            .since(self.reported_at)
            .half_life_weight(REPORT_HALF_LIFE_MS);
        f64::from(self.in_flight) + f64::from(self.reported_others) * weight
    }

    /// Returns whether an estimated slot is free.
    pub fn has_free_slot(&self, now: TimeMs) -> bool {
        self.estimated_load(now) + 0.5 < f64::from(self.record.slots.0)
    }
}

/// That a daemon has sent a request to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetUse {
    /// The target.
    pub target: TargetName,
    /// How long ago.
    pub age_ms: DurationMs,
}

/// The targets of the daemon and their order by service.
#[derive(Clone, Debug, Default)]
pub struct LiveTargets {
    /// The targets by name.
    pub rows: Table<TargetName, LiveTarget>,
    /// The names by service; holds each target of `rows` exactly once.
    by_service: HashMap<ServiceName, Vec<TargetName>>,
    /// What the tie-breaks of this daemon differ by from those of others.
    salt: Box<str>,
    /// The number of choices made so far.
    choices: u64,
}

impl LiveTargets {
    /// Creates an empty table for the daemon on `host`.
    pub fn new(host: &HostId) -> Self {
        Self {
            salt: host.as_str().into(),
            ..Self::default()
        }
    }

    /// Takes over the registered targets; `records` are the rows and when each
    /// was seen.
    ///
    /// What is known of a target stays as long as it is the same start of it.
    pub fn sync<'a>(&mut self, records: impl Iterator<Item = (&'a TargetRecord, TimeMs)>) {
        let mut held = std::mem::take(&mut self.rows);
        self.by_service.clear();
        for (record, seen_at) in records {
            let name = record.identity.name.clone();
            let row = match held.remove(&name) {
                Some(mut row) if row.record.identity == record.identity => {
                    if row.record != *record {
                        // A target that calls itself ready again has taken its
                        // leave back; one that was known as leaving by its own
                        // answers before it registered that stays leaving.
                        row.leaving = record.state == TargetState::Leaving
                            || (row.leaving && row.record.state == record.state);
                        row.warm_at = seen_at + record.warmup_left_ms;
                        row.record = record.clone();
                    }
                    row
                }
                _ => {
                    let tie_break = rendezvous_fraction(&[&self.salt], name.as_str());
                    LiveTarget::new(record.clone(), tie_break, seen_at)
                }
            };
            self.by_service
                .entry(record.service.clone())
                .or_default()
                .push(name.clone());
            self.rows.insert(name, row);
        }
    }

    /// Returns the targets of a service.
    pub fn of_service(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&TargetName, &LiveTarget)> {
        let names = self.by_service.get(service).into_iter().flatten();
        names.filter_map(|name| Some((name, self.rows.get(name)?)))
    }

    /// Returns the targets of a service that this daemon has used since a time,
    /// and how long ago.
    pub fn used_since(&self, service: &ServiceName, since: TimeMs, now: TimeMs) -> Vec<TargetUse> {
        let mut used = Vec::new();
        for (name, row) in self.of_service(service) {
            if row.claimed_at < since {
                continue;
            }
            used.push(TargetUse {
                target: name.clone(),
                age_ms: now.since(row.claimed_at),
            });
        }
        used
    }

    /// Records that another daemon has used targets.
    pub fn note_use(&mut self, used: &[TargetUse], now: TimeMs) {
        for one in used {
            let Some(row) = self.rows.get_mut(&one.target) else {
                continue;
            };
            row.chosen_at = row.chosen_at.max(now - one.age_ms);
        }
    }

    /// Counts a request as sent to a target.
    pub fn claim(&mut self, name: &TargetName, now: TimeMs) {
        self.choices += 1;
        let number = self.choices;
        let Some(row) = self.rows.get_mut(name) else {
            return;
        };
        row.in_flight += 1;
        row.chosen_number = number;
        row.chosen_at = now;
        row.claimed_at = now;
        row.suspicion.note_choice();
    }

    /// Counts a request as ended at a target.
    pub fn release(&mut self, name: &TargetName) {
        let Some(row) = self.rows.get_mut(name) else {
            return;
        };
        row.in_flight = row.in_flight.saturating_sub(1);
    }

    /// Returns whether a target of a service beside those in `tried` takes new
    /// work.
    pub fn takes_work(&self, service: &ServiceName, tried: &[TargetName]) -> bool {
        self.of_service(service)
            .any(|(name, row)| !tried.contains(name) && !row.leaving)
    }
}

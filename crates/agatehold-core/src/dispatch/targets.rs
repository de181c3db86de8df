//! The table of registered targets and their live state in this daemon.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::addresses::rendezvous_fraction;
use crate::config::TargetState;
use crate::ids::FailureDomain;
use crate::ids::HostId;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::table::Table;
use crate::target_registry::ProcessMark;
use crate::target_registry::TargetIdentity;
use crate::target_registry::TargetRecord;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::EntryDaemon;
use super::FailureDetector;
use super::LoadReport;
use super::RequestCounts;
use super::choose_homes;
use super::cost::ServiceWork;
use super::cost::TargetSpeed;
use super::pick::default_home;
use super::statements::Statement;
use super::statements::Statements;

/// The time after which the weight of a load report has halved. It is about the
/// run time of a request, after which other requests run in the target.
const LOAD_REPORT_HALF_LIFE_MS: DurationMs = DurationMs(250);

/// The limit on the bodies that this daemon has under way to one target process. A
/// target holds them until it has answered, and crashes if they exceed its memory.
const BODY_BYTES_MAX: u64 = 8 * 1024 * 1024;

/// The bytes of other bodies at a target beside which a body may exceed the limit, so
/// that a body that is larger than the limit can be sent at all.
const SMALL_BODY_BYTES: u64 = 128 * 1024;

/// A target and what this daemon knows of it.
#[derive(Clone, Debug)]
pub struct LiveTarget {
    /// What the target registered.
    pub record: TargetRecord,
    /// When the target has warmed up after its start.
    pub warm_at: TimeMs,
    /// The requests that this daemon has sent and that have not ended.
    pub counts: RequestCounts,
    /// The number of requests of other daemons according to the last load report.
    reported_others: u32,
    /// When the last load report arrived.
    reported_at: TimeMs,
    /// How fast the target runs requests.
    pub(super) speed: TargetSpeed,
    /// Detects that the target fails or can't be reached.
    pub failure_detector: FailureDetector,
    /// Whether the target is leaving according to its registration or its own
    /// answers.
    pub leaving: bool,
    /// Until when the target wants no requests from this daemon; 0 if it never asked for
    /// a pause.
    pub paused_until: TimeMs,
    /// The value of the table's choice counter when this daemon last chose the
    /// target, 0 if it never did; orders targets of equal cost.
    pub chosen_number: u64,
    /// When the target was last used by this daemon or, according to peer
    /// reports, by another one; until then, when its registration was seen.
    pub used_at: TimeMs,
    /// When this daemon itself last used the target; 0 if it never did.
    pub(super) own_used_at: TimeMs,
    /// The position of the target's home among the entry daemons, modulo their
    /// number (see `DaemonRank`).
    pub(super) home: u64,
    /// Orders targets that are equal otherwise; from 0 to 1, different in each
    /// daemon.
    pub tie_break: f64,
}

impl LiveTarget {
    fn new(record: TargetRecord, tie_break: f64, counts: RequestCounts, seen_at: TimeMs) -> Self {
        let warm_at = seen_at + record.warmup_left_ms;
        let leaving = record.state == TargetState::Leaving;
        let home = default_home(&record.identity.name);
        Self {
            record,
            warm_at,
            counts,
            reported_others: 0,
            reported_at: TimeMs(0),
            speed: TargetSpeed::default(),
            failure_detector: FailureDetector::default(),
            leaving,
            paused_until: TimeMs(0),
            chosen_number: 0,
            used_at: seen_at,
            own_used_at: TimeMs(0),
            home,
            tie_break,
        }
    }

    /// Stores the target's load report.
    ///
    /// The report includes this daemon's own requests. The one whose answer
    /// carried the report is among them and still counts as in flight here.
    pub fn report_load(&mut self, report: LoadReport, now: TimeMs) {
        let in_target = report.running.saturating_add(report.waiting);
        self.reported_others = in_target.saturating_sub(self.counts.in_flight);
        self.reported_at = now;
    }

    /// Returns the estimated number of requests in the target: those of this
    /// daemon, plus those of others according to the last report, halved for each
    /// half-life of the report's age.
    pub fn estimated_load(&self, now: TimeMs) -> f64 {
        let weight = now
            .since(self.reported_at)
            .half_life_weight(LOAD_REPORT_HALF_LIFE_MS);
        f64::from(self.counts.in_flight) + f64::from(self.reported_others) * weight
    }

    /// Applies what the target has said of itself.
    fn apply_statement(&mut self, statement: &Statement) {
        self.leaving |= statement.is_leaving;
        self.paused_until = statement.paused_until;
    }

    /// Returns whether the target has asked this daemon for a pause that has not ended.
    pub fn is_paused(&self, now: TimeMs) -> bool {
        now < self.paused_until
    }

    /// Returns whether the target has a free slot according to the estimated load.
    pub fn has_free_slot(&self, now: TimeMs) -> bool {
        self.estimated_load(now) + 0.5 < f64::from(self.record.slots.0)
    }
}

impl RequestCounts {
    /// Returns whether a body may be sent to the target beside those under way: the sum
    /// stays within the limit, or the body is alone.
    pub const fn has_room_for(&self, body_bytes: u64) -> bool {
        body_bytes == 0
            || self.body_bytes <= SMALL_BODY_BYTES
            || self.body_bytes.saturating_add(body_bytes) <= BODY_BYTES_MAX
    }
}

/// A report that a daemon has sent a request to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetUse {
    /// The target.
    pub target: TargetName,
    /// The process that was used; `None` if the other daemon does not tell.
    pub process: Option<ProcessMark>,
    /// The time since the request was sent.
    pub age_ms: DurationMs,
}

/// All registered targets, with an index by service.
#[derive(Clone, Debug, Default)]
pub struct LiveTargets {
    /// The targets by name.
    pub rows: Table<TargetName, LiveTarget>,
    /// The requests in flight at processes that are not in `rows`, since they were
    /// replaced or their registration has lapsed; holds no process without any.
    unregistered: Table<TargetIdentity, RequestCounts>,
    /// The target names by service; holds each target of `rows` exactly once.
    by_service: HashMap<ServiceName, Vec<TargetName>>,
    /// The host's id; makes the tie-breaks differ between daemons.
    salt: Box<str>,
    /// What the targets have said in their answers. It outlives `rows`: a target whose
    /// registration lapses and returns must not be taken back.
    statements: Statements,
    /// The number of times that a target was chosen so far.
    choices: u64,
    /// Whether targets are chosen by expected work.
    pub(super) uses_expected_work: bool,
    /// The mean work and speed of each service that had an answer; empty unless targets
    /// are chosen by expected work.
    pub(super) service_work: HashMap<ServiceName, ServiceWork>,
    /// The number of requests whose work was recorded so far.
    pub(super) work_ids: u64,
}

impl LiveTargets {
    /// Creates an empty table for the daemon on `host`.
    pub fn new(host: &HostId) -> Self {
        Self {
            salt: host.as_str().into(),
            ..Self::default()
        }
    }

    /// Replaces the table by the registered targets; `records` yields each
    /// registration and the time when it was seen.
    ///
    /// The live state of a target is kept as long as its identity is the same,
    /// that is, as long as it has not been restarted.
    pub fn sync<'a>(&mut self, records: impl Iterator<Item = (&'a TargetRecord, TimeMs)>) {
        let mut held = std::mem::take(&mut self.rows);
        let mut replaced = Vec::new();
        self.by_service.clear();
        for (record, seen_at) in records {
            let name = record.identity.name.clone();
            let mut row = match held.remove(&name) {
                Some(mut row) if row.record.identity == record.identity => {
                    if row.record != *record {
                        // A target that registers as serving after it was
                        // registered as leaving no longer leaves. If its state
                        // is unchanged, an earlier answer that said that it is
                        // leaving still counts.
                        row.leaving = record.state == TargetState::Leaving
                            || (row.leaving && row.record.state == record.state);
                        row.warm_at = seen_at + record.warmup_left_ms;
                        row.record = record.clone();
                    }
                    row
                }
                previous => {
                    replaced.extend(previous);
                    let tie_break = rendezvous_fraction(&[&self.salt], name.as_str());
                    let counts = self.unregistered.remove(&record.identity);
                    let counts = counts.unwrap_or_default();
                    LiveTarget::new(record.clone(), tie_break, counts, seen_at)
                }
            };
            if let Some(statement) = self.statements.get(&record.identity) {
                row.apply_statement(statement);
            }
            self.by_service
                .entry(record.service.clone())
                .or_default()
                .push(name.clone());
            self.rows.insert(name, row);
        }
        for row in held.rows().map(|(_, row)| row).chain(&replaced) {
            if row.counts.in_flight > 0 {
                let identity = row.record.identity.clone();
                self.unregistered.insert(identity, row.counts.clone());
            }
        }
    }

    /// Sets the homes of a service's targets, by the entry daemons of the service
    /// in the order that all daemons use.
    pub fn set_homes(&mut self, service: &ServiceName, entries: &[EntryDaemon<'_>]) {
        if entries.is_empty() {
            return;
        }
        let targets: Vec<(&TargetName, &FailureDomain)> = self
            .of_service(service)
            .map(|(name, row)| (name, &row.record.failure_domain))
            .collect();
        let homes = choose_homes(entries, &targets);
        let names = self.by_service.get(service).into_iter().flatten();
        for (name, home) in names.zip(homes) {
            if let Some(row) = self.rows.get_mut(name) {
                row.home = u64::from(home);
            }
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

    /// Returns the targets of a service that this daemon has used at or after
    /// `since`, and how long ago it used each.
    pub fn used_since(&self, service: &ServiceName, since: TimeMs, now: TimeMs) -> Vec<TargetUse> {
        let mut used = Vec::new();
        for (name, row) in self.of_service(service) {
            if row.own_used_at < since {
                continue;
            }
            used.push(TargetUse {
                target: name.clone(),
                process: Some(row.record.identity.mark()),
                age_ms: now.since(row.own_used_at),
            });
        }
        used
    }

    /// Records the targets that another daemon reports as used.
    pub fn record_peer_use(&mut self, used: &[TargetUse], now: TimeMs) {
        for one in used {
            let Some(row) = self.rows.get_mut(&one.target) else {
                continue;
            };
            // The other daemon may not know of the next process yet.
            let mark = row.record.identity.mark();
            if one.process.is_some_and(|process| process != mark) {
                continue;
            }
            row.used_at = row.used_at.max(now - one.age_ms);
        }
    }

    /// Records that a request was sent to a target process.
    pub fn claim(&mut self, identity: &TargetIdentity, now: TimeMs) {
        self.choices += 1;
        let number = self.choices;
        let Some(row) = row_of_mut(&mut self.rows, identity) else {
            return;
        };
        row.counts.in_flight += 1;
        row.chosen_number = number;
        row.used_at = now;
        row.own_used_at = now;
        row.failure_detector.record_send();
    }

    /// Records that a request at a target process has ended.
    pub fn release(&mut self, identity: &TargetIdentity) {
        let Some(counts) = self.counts_mut(identity) else {
            return;
        };
        counts.in_flight = counts.in_flight.saturating_sub(1);
        if counts.in_flight == 0 {
            self.unregistered.remove(identity);
        }
    }

    /// Changes the number of requests at a target process that take much longer than
    /// usual.
    pub fn add_overdue(&mut self, identity: &TargetIdentity, change: i32) {
        if let Some(counts) = self.counts_mut(identity) {
            counts.overdue = counts.overdue.saturating_add_signed(change);
        }
    }

    /// Adds the body of a request that was claimed for a target process.
    pub fn add_body(&mut self, identity: &TargetIdentity, body_bytes: u64) {
        if let Some(counts) = self.counts_mut(identity) {
            counts.body_bytes = counts.body_bytes.saturating_add(body_bytes);
        }
    }

    /// Removes the body of a request that is about to be released.
    pub fn remove_body(&mut self, identity: &TargetIdentity, body_bytes: u64) {
        if let Some(counts) = self.counts_mut(identity) {
            counts.body_bytes = counts.body_bytes.saturating_sub(body_bytes);
        }
    }

    pub(super) fn counts_mut(&mut self, identity: &TargetIdentity) -> Option<&mut RequestCounts> {
        match row_of_mut(&mut self.rows, identity) {
            Some(row) => Some(&mut row.counts),
            None => self.unregistered.get_mut(identity),
        }
    }

    /// Gives back a slot that was claimed for a request which was not sent. If it was to
    /// be a trial of a suspected target, another request may be one.
    pub fn release_unused(&mut self, identity: &TargetIdentity) {
        self.release(identity);
        let Some(row) = row_of_mut(&mut self.rows, identity) else {
            return;
        };
        // With other requests in flight the trial may be one of them, whose end is
        // recorded.
        if row.counts.in_flight == 0 {
            row.failure_detector.cancel_trial();
        }
    }

    /// Records that a target said in an answer that it is leaving. Returns whether that
    /// is new.
    pub fn record_leaving(&mut self, identity: &TargetIdentity, now: TimeMs) -> bool {
        let is_new = self.statements.record_leaving(identity, now);
        self.apply_statement(identity);
        is_new
    }

    /// Returns the targets that said that they are leaving, at most `most`, those whose
    /// registration was seen last first.
    pub fn leaving_targets(&self, most: usize) -> Vec<&TargetIdentity> {
        self.statements.leaving(most)
    }

    /// Returns the number of targets whose statements are kept.
    pub fn statement_count(&self) -> usize {
        self.statements.len()
    }

    /// Records that a target wants no requests from this daemon for `pause_ms`. Returns
    /// the end of the pause.
    pub fn record_pause(
        &mut self,
        identity: &TargetIdentity,
        pause_ms: DurationMs,
        now: TimeMs,
    ) -> TimeMs {
        let until = self.statements.record_pause(identity, now + pause_ms, now);
        self.apply_statement(identity);
        until
    }

    /// Applies what a target has said to its row, if it is registered.
    fn apply_statement(&mut self, identity: &TargetIdentity) {
        let row = row_of_mut(&mut self.rows, identity);
        if let (Some(row), Some(statement)) = (row, self.statements.get(identity)) {
            row.apply_statement(statement);
        }
    }

    /// Returns whether a target process is registered.
    pub fn is_registered(&self, identity: &TargetIdentity) -> bool {
        row_of(&self.rows, identity).is_some()
    }

    /// Returns whether a target process is leaving, or is not registered any more.
    pub fn has_left(&self, identity: &TargetIdentity) -> bool {
        row_of(&self.rows, identity).is_none_or(|row| row.leaving)
    }

    /// Returns the service of a target process; `None` if it is not registered.
    pub fn service_of(&self, identity: &TargetIdentity) -> Option<&ServiceName> {
        row_of(&self.rows, identity).map(|row| &row.record.service)
    }

    /// Returns the address of a target process; `None` if it is not registered.
    pub fn address_of(&self, identity: &TargetIdentity) -> Option<SocketAddr> {
        row_of(&self.rows, identity).map(|row| row.record.address)
    }

    /// Returns whether a request may be written to a target process now.
    pub fn takes_requests(&self, identity: &TargetIdentity, now: TimeMs) -> bool {
        row_of(&self.rows, identity).is_some_and(|row| !row.leaving && !row.is_paused(now))
    }

    /// Drops what targets have said that have not been registered for a long time.
    /// Returns the number of targets whose statements are kept.
    pub fn expire_statements(&mut self, now: TimeMs) -> usize {
        let rows = &self.rows;
        self.statements
            .expire(|identity| row_of(rows, identity).is_some(), now);
        self.statements.len()
    }

    /// Returns whether a service has a target that is neither leaving, pausing nor in
    /// `tried`.
    pub fn takes_work(&self, service: &ServiceName, tried: &[TargetName], now: TimeMs) -> bool {
        self.of_service(service)
            .any(|(name, row)| !tried.contains(name) && !row.leaving && !row.is_paused(now))
    }
}

/// Returns the row of a target process, `None` if it is not registered.
fn row_of<'a>(
    rows: &'a Table<TargetName, LiveTarget>,
    identity: &TargetIdentity,
) -> Option<&'a LiveTarget> {
    rows.get(&identity.name)
        .filter(|row| row.record.identity == *identity)
}

/// As [`row_of`], for changes.
fn row_of_mut<'a>(
    rows: &'a mut Table<TargetName, LiveTarget>,
    identity: &TargetIdentity,
) -> Option<&'a mut LiveTarget> {
    rows.get_mut(&identity.name)
        .filter(|row| row.record.identity == *identity)
}

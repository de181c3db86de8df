//! Decides when to list, read and write the permit records in the platform.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use rand::Rng;
use rand::RngExt;

use crate::config::TargetState;
use crate::ejection;
use crate::ejection::LiveView;
use crate::ejection::PermitChange;
use crate::ejection::PermitRecord;
use crate::ejection::PermitState;
use crate::ejection::confirm_record;
use crate::ejection::merge_restored_record;
use crate::ejection::next_record;
use crate::ejection::remove_returned_entries;
use crate::health::PermitProposal;
use crate::ids::ParseIdError;
use crate::ids::ServiceName;
use crate::replication::watcher_rank;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::Command;
use super::ControlTables;
use super::PermitCalls;
use super::StateChange;

/// The interval at which a watcher lists the permit records. One list confirms
/// all records that have not changed; without a new confirmation, an exclusion
/// ends after 15 s.
const LIST_PERIOD_MS: DurationMs = DurationMs(3_000);

/// The age of a record's confirmation at which a daemon that is not a watcher
/// lists the records itself.
const CONFIRM_AGE_MS: DurationMs = DurationMs(9_000);

/// How long a platform call may stay unanswered before it counts as failed.
const CALL_TIMEOUT_MS: DurationMs = DurationMs(3_000);

/// The upper limit of the random delay before a write. Without it, daemons that
/// reach the same verdict at the same time would all write, and the
/// compare-and-swap of all but one would fail.
const WRITE_JITTER_MAX_MS: u64 = 300;

/// The platform's version of a permit record; 0 if there is no record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PermitVersion(pub u64);

impl fmt::Display for PermitVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for PermitVersion {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseIdError::Number)
    }
}

/// A write of a permit record by compare-and-swap.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitWrite {
    /// The service.
    pub service: ServiceName,
    /// The platform's version that the write expects and replaces.
    pub version: PermitVersion,
    /// The new record.
    pub record: PermitRecord,
    /// When the write was decided.
    pub decided_at: TimeMs,
}

impl PermitWrite {
    /// Returns whether the write may no longer be sent.
    ///
    /// Check this right before sending it: the process may have been paused after the
    /// decision. The evidence and the list of live targets that it rests on are then
    /// old, while the record may still have the expected version.
    pub fn is_outdated(&self, now: TimeMs) -> bool {
        now.since(self.decided_at) >= CALL_TIMEOUT_MS
    }
}

/// Lists and writes permit records where due, and writes the exclusions that
/// follow from them to the target cells.
pub(super) fn run(
    tables: &mut ControlTables,
    now: TimeMs,
    rng: &mut impl Rng,
    commands: &mut Vec<Command>,
) {
    let config = &tables.replication.log.config;
    tables
        .permits
        .records
        .retain(|service, _| config.services.contains(service));
    tables
        .permit_calls
        .retain(|service, _| config.services.contains(service));
    list_records(tables, now, commands);
    write_changes(tables, now, rng, commands);
    let permits = &tables.permits;
    let config = &tables.replication.log.config;
    ejection::write_exclusions(permits, config, &tables.cells, now, |service| {
        live_view(tables, service)
    });
}

/// Returns the targets of a service that count as capacity, or `None` before the
/// first read of the host list.
///
/// If the host list contains any targets, a target that is missing from it counts
/// as gone.
fn live_view(tables: &ControlTables, service: &ServiceName) -> Option<LiveView> {
    let as_of = tables.host_list_as_of?;
    let mut targets = BTreeSet::new();
    for (name, target) in tables.replication.log.config.targets.rows() {
        if target.service != *service || target.state == TargetState::Leaving {
            continue;
        }
        let is_gone = !tables.listed_targets.is_empty() && !tables.listed_targets.contains(name);
        if is_gone || tables.leaving.contains(name) {
            continue;
        }
        let capable = tables
            .evaluation
            .verdicts
            .get(name)
            .is_none_or(|verdict| verdict.capable);
        if capable {
            targets.insert(name.clone());
        }
    }
    Some(LiveView { targets, as_of })
}

/// Returns whether this daemon is an entry host of a service that has permit
/// entries.
///
/// Such a daemon reads the host list often enough to exclude ejected targets.
/// Other daemons avoid these targets without excluding them, so that the number
/// of reads of the host list does not grow with the fleet.
pub(super) fn is_entry_host_with_ejections(tables: &ControlTables) -> bool {
    let own = &tables.membership.own.id;
    tables.permits.records.rows().any(|(service, held)| {
        let is_entry_host = tables
            .entries
            .get(service)
            .is_some_and(|row| row.hosts.iter().any(|entry| entry.host == *own));
        is_entry_host && !held.record.entries.is_empty()
    })
}

fn list_records(tables: &mut ControlTables, now: TimeMs, commands: &mut Vec<Command>) {
    if !tables.replication.start.done {
        return;
    }
    let age = tables.permits_listed_at.map(|at| now.since(at));
    if age.is_some_and(|age| age < LIST_PERIOD_MS) {
        return;
    }
    let is_watcher = watcher_rank(&tables.membership).is_some();
    let has_outdated = tables.permits.records.rows().any(|(_, held)| {
        !held.record.entries.is_empty() && now.since(held.confirmed_at) >= CONFIRM_AGE_MS
    });
    let has_proposal = tables
        .evaluation
        .verdicts
        .rows()
        .any(|(_, verdict)| verdict.permit_proposal.is_some());
    // Every daemon lists the records once at its start, since it may eject only
    // after it has followed them for some time.
    let is_first = tables.permits_listed_at.is_none();
    if !is_watcher && !has_outdated && !has_proposal && !is_first {
        return;
    }
    tables.permits_listed_at = Some(now);
    commands.push(Command::ListPermits);
}

/// Merges a list of the permit records with their versions.
///
/// The list confirms each record whose version equals the held one; the others
/// have to be read.
pub fn merge_permit_list(
    tables: &mut ControlTables,
    listed: &[(ServiceName, PermitVersion)],
    read_started_at: TimeMs,
    now: TimeMs,
) -> Vec<Command> {
    let mut commands = Vec::new();
    for (service, version) in listed {
        if !tables.replication.log.config.services.contains(service) {
            continue;
        }
        let calls = tables
            .permit_calls
            .get_or_insert(service.clone(), PermitCalls::default);
        if calls.version == *version
            && let Some(held) = tables.permits.records.get(service)
        {
            let record = held.record.clone();
            confirm_record(&mut tables.permits, service, &record, read_started_at, now);
            continue;
        }
        request_read(calls, service, now, &mut commands);
    }
    merge_unlisted(tables, listed, read_started_at, now, &mut commands);
    commands
}

/// Handles the services that are missing from the list: either they never had a
/// record, or the platform was restored from a backup and has lost it.
fn merge_unlisted(
    tables: &mut ControlTables,
    listed: &[(ServiceName, PermitVersion)],
    read_started_at: TimeMs,
    now: TimeMs,
    commands: &mut Vec<Command>,
) {
    let listed_services: BTreeSet<&ServiceName> =
        listed.iter().map(|(service, _)| service).collect();
    for service in tables.replication.log.config.services.keys() {
        if listed_services.contains(service) {
            continue;
        }
        let is_lost = tables
            .permits
            .records
            .get(service)
            .is_some_and(|held| held.record != PermitRecord::default());
        if !is_lost {
            let empty = PermitRecord::default();
            confirm_record(&mut tables.permits, service, &empty, read_started_at, now);
            continue;
        }
        let calls = tables
            .permit_calls
            .get_or_insert(service.clone(), PermitCalls::default);
        request_read(calls, service, now, commands);
    }
}

/// Records that the list of permit records could not be read.
pub fn record_permit_list_failure(tables: &mut ControlTables, now: TimeMs) {
    tables.permits_listed_at = Some(now);
}

fn request_read(
    calls: &mut PermitCalls,
    service: &ServiceName,
    now: TimeMs,
    commands: &mut Vec<Command>,
) {
    let is_reading = calls
        .reading_since
        .is_some_and(|since| now.since(since) < CALL_TIMEOUT_MS);
    if is_reading {
        return;
    }
    calls.reading_since = Some(now);
    commands.push(Command::ReadPermit(service.clone()));
}

/// Merges the platform's answer to the read of a permit record.
///
/// `answer` is `None` if the read failed. If the platform returned a version
/// older than the held one, because it was restored from a backup, the held
/// record is written back together with the entries that only the platform has.
pub fn merge_permit(
    tables: &mut ControlTables,
    service: &ServiceName,
    answer: Option<(PermitVersion, PermitRecord)>,
    read_started_at: TimeMs,
    now: TimeMs,
) -> Vec<Command> {
    let mut commands = Vec::new();
    if !tables.replication.log.config.services.contains(service) {
        return commands;
    }
    let calls = tables
        .permit_calls
        .get_or_insert(service.clone(), PermitCalls::default);
    calls.reading_since = None;
    let Some((version, record)) = answer else {
        return commands;
    };
    calls.version = version;
    if let Some(held) = tables.permits.records.get(service)
        && let Some(restored) = merge_restored_record(held, &record)
    {
        calls.writing_since = Some(now);
        commands.push(Command::WritePermit(Box::new(PermitWrite {
            service: service.clone(),
            version,
            record: restored,
            decided_at: now,
        })));
        return commands;
    }
    if confirm_record(&mut tables.permits, service, &record, read_started_at, now) {
        let change = StateChange::Permits(service.clone(), record.entries.len());
        commands.push(Command::Log(change));
    }
    commands
}

/// Merges the result of a write.
///
/// `version` is the new version, or `None` if the write failed or its answer was
/// lost; the record is then read before the next write. `sent_at` is when the
/// write was sent.
pub fn merge_permit_write(
    tables: &mut ControlTables,
    write: &PermitWrite,
    version: Option<PermitVersion>,
    sent_at: TimeMs,
    now: TimeMs,
) -> Vec<Command> {
    let mut commands = Vec::new();
    if let Some(version) = version {
        let answer = Some((version, write.record.clone()));
        commands = merge_permit(tables, &write.service, answer, sent_at, now);
    }
    let Some(calls) = tables.permit_calls.get_mut(&write.service) else {
        return commands;
    };
    calls.writing_since = None;
    if version.is_none() {
        request_read(calls, &write.service, now, &mut commands);
    }
    commands
}

fn write_changes(
    tables: &mut ControlTables,
    now: TimeMs,
    rng: &mut impl Rng,
    commands: &mut Vec<Command>,
) {
    let proposals = proposed_changes(tables);
    for (service, changes) in proposals {
        let Some(policy) = tables.replication.log.config.services.get(&service) else {
            continue;
        };
        let floor = policy.floor;
        let Some(view) = live_view(tables, &service) else {
            continue;
        };
        let Some(held) = tables.permits.records.get(&service) else {
            continue;
        };
        let next = changes
            .iter()
            .find_map(|change| next_record(held, change, &view, floor, now))
            .or_else(|| remove_returned_entries(held, now));
        let calls = tables
            .permit_calls
            .get_or_insert(service.clone(), PermitCalls::default);
        let Some(record) = next else {
            calls.write_after = TimeMs::default();
            continue;
        };
        if !is_write_due(calls, now, rng) {
            continue;
        }
        calls.writing_since = Some(now);
        calls.write_after = TimeMs::default();
        commands.push(Command::WritePermit(Box::new(PermitWrite {
            service,
            version: calls.version,
            record,
            decided_at: now,
        })));
    }
}

/// Returns whether a change may be written now: no call for the record is under
/// way, and a random delay, drawn when the change is first wanted, has passed.
fn is_write_due(calls: &mut PermitCalls, now: TimeMs, rng: &mut impl Rng) -> bool {
    let is_under_way =
        |since: Option<TimeMs>| since.is_some_and(|at| now.since(at) < CALL_TIMEOUT_MS);
    if is_under_way(calls.writing_since) || is_under_way(calls.reading_since) {
        return false;
    }
    if calls.write_after == TimeMs::default() {
        calls.write_after = now + DurationMs(rng.random_range(0..=WRITE_JITTER_MAX_MS));
    }
    now >= calls.write_after
}

/// Returns the changes to permits that the verdicts propose, by service, those
/// with the strongest evidence first.
///
/// Services with `returning` entries are included even without a proposed change,
/// because those entries have to be removed once their targets have returned.
fn proposed_changes(tables: &ControlTables) -> Vec<(ServiceName, Vec<PermitChange>)> {
    let mut proposals: Vec<(ServiceName, f64, PermitChange)> = Vec::new();
    for (name, verdict) in tables.evaluation.verdicts.rows() {
        let Some(target) = tables.replication.log.config.targets.get(name) else {
            continue;
        };
        let change = match verdict.permit_proposal {
            Some(PermitProposal::Eject { hold_ms }) => PermitChange::Eject {
                target: name.clone(),
                hold_ms,
            },
            Some(PermitProposal::Return) => PermitChange::Return {
                target: name.clone(),
            },
            None => continue,
        };
        proposals.push((target.service.clone(), verdict.evidence.get(), change));
    }
    proposals.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| b.1.total_cmp(&a.1)));
    let mut services: Vec<(ServiceName, Vec<PermitChange>)> = Vec::new();
    for (service, _, change) in proposals {
        match services.last_mut() {
            Some((last, changes)) if *last == service => changes.push(change),
            _ => services.push((service, vec![change])),
        }
    }
    for (service, held) in tables.permits.records.rows() {
        let returning = held
            .record
            .entries
            .rows()
            .any(|(_, entry)| entry.state == PermitState::Returning);
        if returning && !services.iter().any(|(name, _)| name == service) {
            services.push((service.clone(), Vec::new()));
        }
    }
    services
}

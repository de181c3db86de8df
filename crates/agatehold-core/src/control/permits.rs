//! The ejection permits: reads, writes and confirmations.

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
use crate::ejection::next_record;
use crate::ejection::restored_record;
use crate::ejection::returned_record;
use crate::health::Wish;
use crate::ids::ParseIdError;
use crate::ids::ServiceName;
use crate::spread::watcher_rank;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::Command;
use super::ControlTables;
use super::PermitWork;
use super::StateChange;

/// The time between two lists of the permit records by a watcher. One list
/// confirms all records; an exclusion lasts 15 s without a confirmation.
const LIST_PERIOD_MS: DurationMs = DurationMs(3_000);

/// The age of a confirmation from which any daemon lists the records itself.
const CONFIRM_AGE_MS: DurationMs = DurationMs(9_000);

/// The time after which a call without an answer is given up.
const CALL_TIMEOUT_MS: DurationMs = DurationMs(3_000);

/// The longest random delay before a write. Daemons that reach the same
/// verdict at once would otherwise all write, and all but one in vain.
const WRITE_SPREAD_MS: u64 = 300;

/// The platform's version of a permit record; 0 stands for a missing record.
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
    /// The version that the record replaces.
    pub version: PermitVersion,
    /// The record.
    pub record: PermitRecord,
}

/// Lists, reads and writes permit records where this is due.
pub(super) fn run(
    tables: &mut ControlTables,
    now: TimeMs,
    rng: &mut impl Rng,
    commands: &mut Vec<Command>,
) {
    let config = &tables.spread.log.config;
    tables
        .permits
        .records
        .retain(|service, _| config.services.contains(service));
    tables
        .permit_work
        .retain(|service, _| config.services.contains(service));
    list_records(tables, now, commands);
    make_changes(tables, now, rng, commands);
    let permits = &tables.permits;
    let config = &tables.spread.log.config;
    ejection::write_exclusions(permits, config, &tables.cells, now, |service| {
        live_view(tables, service)
    });
}

/// Returns the targets of a service that count as capacity; `None` before the
/// host list was read.
///
/// Where the host list names targets, one that it does not name is gone.
fn live_view(tables: &ControlTables, service: &ServiceName) -> Option<LiveView> {
    let as_of = tables.hosts_as_of?;
    let mut targets = BTreeSet::new();
    for (name, target) in tables.spread.log.config.targets.rows() {
        if target.service != *service || target.state == TargetState::Leaving {
            continue;
        }
        let is_gone = !tables.listed_targets.is_empty() && !tables.listed_targets.contains(name);
        if is_gone || tables.leaving.contains(name) {
            continue;
        }
        let capable = tables
            .judgement
            .verdicts
            .get(name)
            .is_none_or(|verdict| verdict.capable);
        if capable {
            targets.insert(name.clone());
        }
    }
    Some(LiveView { targets, as_of })
}

/// Returns whether a service that callers enter through this daemon has
/// ejected targets. Other daemons avoid such targets and exclude none, so that
/// the reads of the host list do not grow with the fleet.
pub(super) fn is_entry_of_ejection(tables: &ControlTables) -> bool {
    let own = &tables.membership.own.id;
    tables.permits.records.rows().any(|(service, held)| {
        let is_entry = tables
            .entries
            .get(service)
            .is_some_and(|row| row.hosts.iter().any(|entry| entry.host == *own));
        is_entry && !held.record.entries.is_empty()
    })
}

fn list_records(tables: &mut ControlTables, now: TimeMs, commands: &mut Vec<Command>) {
    if !tables.spread.start.done {
        return;
    }
    let age = tables.permits_listed_at.map(|at| now.since(at));
    if age.is_some_and(|age| age < LIST_PERIOD_MS) {
        return;
    }
    let is_watcher = watcher_rank(&tables.membership).is_some();
    let outdated = tables.permits.records.rows().any(|(_, held)| {
        !held.record.entries.is_empty() && now.since(held.confirmed_at) >= CONFIRM_AGE_MS
    });
    let wishes = tables
        .judgement
        .verdicts
        .rows()
        .any(|(_, verdict)| verdict.wish.is_some());
    // Every daemon lists the records once, since it may eject only after it
    // has followed them for a while.
    let is_first = tables.permits_listed_at.is_none();
    if !is_watcher && !outdated && !wishes && !is_first {
        return;
    }
    tables.permits_listed_at = Some(now);
    commands.push(Command::ListPermits);
}

/// Merges a list of the permit records with their versions.
///
/// A record whose version is the one held is confirmed by the list; the
/// others have to be read.
pub fn merge_permit_list(
    tables: &mut ControlTables,
    listed: &[(ServiceName, PermitVersion)],
    read_started_at: TimeMs,
    now: TimeMs,
) -> Vec<Command> {
    let mut commands = Vec::new();
    for (service, version) in listed {
        if !tables.spread.log.config.services.contains(service) {
            continue;
        }
        let work = tables
            .permit_work
            .get_or_insert(service.clone(), PermitWork::default);
        if work.version == *version
            && let Some(held) = tables.permits.records.get(service)
        {
            let record = held.record.clone();
            confirm_record(&mut tables.permits, service, &record, read_started_at, now);
            continue;
        }
        request_read(work, service, now, &mut commands);
    }
    take_unlisted(tables, listed, read_started_at, now, &mut commands);
    commands
}

/// Takes the services that the list does not name: they have no record, or a
/// platform that was restored has lost it.
fn take_unlisted(
    tables: &mut ControlTables,
    listed: &[(ServiceName, PermitVersion)],
    read_started_at: TimeMs,
    now: TimeMs,
    commands: &mut Vec<Command>,
) {
    let named: BTreeSet<&ServiceName> = listed.iter().map(|(service, _)| service).collect();
    for service in tables.spread.log.config.services.keys() {
        if named.contains(service) {
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
        let work = tables
            .permit_work
            .get_or_insert(service.clone(), PermitWork::default);
        request_read(work, service, now, commands);
    }
}

/// Notes that the records could not be listed.
pub fn list_failed(tables: &mut ControlTables, now: TimeMs) {
    tables.permits_listed_at = Some(now);
}

fn request_read(
    work: &mut PermitWork,
    service: &ServiceName,
    now: TimeMs,
    commands: &mut Vec<Command>,
) {
    let waiting = work
        .reading_since
        .is_some_and(|since| now.since(since) < CALL_TIMEOUT_MS);
    if waiting {
        return;
    }
    work.reading_since = Some(now);
    commands.push(Command::ReadPermit(service.clone()));
}

/// Merges the platform's answer to the read of a permit record; `None` if the
/// read failed.
pub fn merge_permit(
    tables: &mut ControlTables,
    service: &ServiceName,
    answer: Option<(PermitVersion, PermitRecord)>,
    read_started_at: TimeMs,
    now: TimeMs,
) -> Vec<Command> {
    let mut commands = Vec::new();
    if !tables.spread.log.config.services.contains(service) {
        return commands;
    }
    let work = tables
        .permit_work
        .get_or_insert(service.clone(), PermitWork::default);
    work.reading_since = None;
    let Some((version, record)) = answer else {
        return commands;
    };
    work.version = version;
    if let Some(held) = tables.permits.records.get(service)
        && let Some(restored) = restored_record(held, &record)
    {
        work.writing_since = Some(now);
        commands.push(Command::WritePermit(Box::new(PermitWrite {
            service: service.clone(),
            version,
            record: restored,
        })));
        return commands;
    }
    if confirm_record(&mut tables.permits, service, &record, read_started_at, now) {
        let change = StateChange::Permits(service.clone(), record.entries.len());
        commands.push(Command::Log(change));
    }
    commands
}

/// Notes the end of a write: the new version, or `None` if it failed or its
/// answer was lost. Either way the record is read before the next write.
pub fn write_ended(
    tables: &mut ControlTables,
    write: &PermitWrite,
    version: Option<PermitVersion>,
    written_from: TimeMs,
    now: TimeMs,
) -> Vec<Command> {
    let mut commands = Vec::new();
    if let Some(version) = version {
        let answer = Some((version, write.record.clone()));
        commands = merge_permit(tables, &write.service, answer, written_from, now);
    }
    let Some(work) = tables.permit_work.get_mut(&write.service) else {
        return commands;
    };
    work.writing_since = None;
    if version.is_none() {
        request_read(work, &write.service, now, &mut commands);
    }
    commands
}

fn make_changes(
    tables: &mut ControlTables,
    now: TimeMs,
    rng: &mut impl Rng,
    commands: &mut Vec<Command>,
) {
    let wishes = wishes_by_service(tables);
    for (service, changes) in wishes {
        let Some(policy) = tables.spread.log.config.services.get(&service) else {
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
            .or_else(|| returned_record(held, now));
        let work = tables
            .permit_work
            .get_or_insert(service.clone(), PermitWork::default);
        let Some(record) = next else {
            work.write_after = TimeMs::default();
            continue;
        };
        if !is_write_due(work, now, rng) {
            continue;
        }
        work.writing_since = Some(now);
        work.write_after = TimeMs::default();
        commands.push(Command::WritePermit(Box::new(PermitWrite {
            service,
            version: work.version,
            record,
        })));
    }
}

/// Draws a delay for a new wish; the wish is written when it has passed.
fn is_write_due(work: &mut PermitWork, now: TimeMs, rng: &mut impl Rng) -> bool {
    let waiting = |since: Option<TimeMs>| since.is_some_and(|at| now.since(at) < CALL_TIMEOUT_MS);
    if waiting(work.writing_since) || waiting(work.reading_since) {
        return false;
    }
    if work.write_after == TimeMs::default() {
        work.write_after = now + DurationMs(rng.random_range(0..=WRITE_SPREAD_MS));
    }
    now >= work.write_after
}

/// Collects the changes that this daemon wishes, strongest evidence first.
///
/// Services with entries that return are in the list even without a wish,
/// because an entry that has returned has to be removed.
fn wishes_by_service(tables: &ControlTables) -> Vec<(ServiceName, Vec<PermitChange>)> {
    let mut wishes: Vec<(ServiceName, f64, PermitChange)> = Vec::new();
    for (name, verdict) in tables.judgement.verdicts.rows() {
        let Some(target) = tables.spread.log.config.targets.get(name) else {
            continue;
        };
        let change = match verdict.wish {
            Some(Wish::Eject { hold_ms }) => PermitChange::Eject {
                target: name.clone(),
                hold_ms,
            },
            Some(Wish::Return) => PermitChange::Return {
                target: name.clone(),
            },
            None => continue,
        };
        wishes.push((target.service.clone(), verdict.evidence.get(), change));
    }
    wishes.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| b.1.total_cmp(&a.1)));
    let mut services: Vec<(ServiceName, Vec<PermitChange>)> = Vec::new();
    for (service, _, change) in wishes {
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

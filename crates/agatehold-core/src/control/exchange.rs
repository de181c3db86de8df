//! Builds and merges the gossip digests that daemons exchange, and merges the
//! platform's host list.

use crate::ejection::confirm_record;
use crate::health::LogLikelihood;
use crate::health::PeerEvidence;
use crate::health::drop_reporter;
use crate::health::merge_peer_evidence;
use crate::health::reportable_evidence;
use crate::ids::HostId;
use crate::ids::TargetName;
use crate::membership;
use crate::membership::EvidenceUpdate;
use crate::membership::ListedHost;
use crate::membership::PeerDigest;
use crate::membership::PermitUpdate;
use crate::membership::PoisonUpdate;
use crate::poison::CrashMark;
use crate::poison::is_known_crash;
use crate::replication;
use crate::table::Table;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::Command;
use super::ControlTables;
use super::StateChange;
use super::leaving;

/// The maximum number of rows of each kind in a digest, not counting hosts. It
/// keeps a daemon within its gossip bandwidth of 2 KB/s.
pub(super) const DIGEST_ROWS_MAX: usize = 8;

/// How long after the crash a mark is included in digests; by then gossip has
/// spread it to all daemons.
const MARK_GOSSIP_MS: DurationMs = DurationMs(30_000);

/// Builds the digest to send to the host `to`.
pub fn build_digest(tables: &mut ControlTables, to: &HostId, now: TimeMs) -> PeerDigest {
    let head = tables.replication.log.head;
    let confirmed_at = tables.replication.confirmed_at();
    let mut digest = membership::digest(&mut tables.membership, to, head, confirmed_at, now);
    digest.permits = permit_updates(tables, now);
    digest.evidence = evidence_updates(tables, now);
    digest.poisoned = poison_updates(tables, now);
    digest.leaving = leaving::digest_updates(tables, now);
    digest
}

fn permit_updates(tables: &ControlTables, now: TimeMs) -> Vec<PermitUpdate> {
    let mut updates = Vec::new();
    for (service, held) in tables.permits.records.rows() {
        if held.record.entries.is_empty() {
            continue;
        }
        updates.push(PermitUpdate {
            service: service.clone(),
            record: held.record.clone(),
            age: now.since(held.confirmed_at),
        });
    }
    updates.sort_by_key(|row| row.age);
    updates.truncate(DIGEST_ROWS_MAX);
    updates
}

fn evidence_updates(tables: &ControlTables, now: TimeMs) -> Vec<EvidenceUpdate> {
    let own = &tables.membership.own.id;
    let mut updates = Vec::new();
    if !tables.evaluation.own_path_suspected {
        let config = &tables.replication.log.config;
        for row in reportable_evidence(&tables.health, config, own, now) {
            updates.push(evidence_update(&row, now));
        }
    }
    for (_, row) in tables.health.peers.rows() {
        updates.push(evidence_update(row, now));
    }
    updates.sort_by_key(|row| row.age);
    updates.truncate(DIGEST_ROWS_MAX);
    updates
}

fn evidence_update(row: &PeerEvidence, now: TimeMs) -> EvidenceUpdate {
    EvidenceUpdate {
        target: row.target.clone(),
        observer: row.reporter.clone(),
        log_likelihood_ratio: row.evidence.get(),
        age: now.since(row.at),
    }
}

fn poison_updates(tables: &mut ControlTables, now: TimeMs) -> Vec<PoisonUpdate> {
    tables
        .marks
        .retain(|mark| now.since(mark.at) <= MARK_GOSSIP_MS);
    let mut updates = Vec::new();
    for mark in tables.marks.iter().rev().take(DIGEST_ROWS_MAX) {
        updates.push(PoisonUpdate {
            fingerprint: mark.fingerprint,
            target: mark.target.clone(),
            reporter: mark.reporter.clone(),
            cleared: mark.cleared,
            age: now.since(mark.at),
        });
    }
    updates
}

/// Merges a digest received directly from its sender.
///
/// If the digest answers a message of this daemon, `round_trip` is the time
/// since that message was sent. Only such a digest can confirm records, because
/// its delay on the network is known to be at most `round_trip`. Returns the
/// actions to perform and the crash marks that are new to this daemon.
pub fn merge_digest(
    tables: &mut ControlTables,
    digest: &PeerDigest,
    round_trip: Option<DurationMs>,
    now: TimeMs,
) -> (Vec<Command>, Vec<CrashMark>) {
    let mut commands = Vec::new();
    for change in membership::merge(&mut tables.membership, digest, now) {
        record_peer_change(tables, change, &mut commands);
    }
    replication::merge_head(&mut tables.replication, digest, round_trip, now);
    if let Some(round_trip) = round_trip {
        merge_permits(tables, digest, round_trip, now, &mut commands);
    }
    merge_evidence(tables, digest, now);
    leaving::merge(tables, &digest.leaving, now);
    let marks = merge_marks(tables, digest, now);
    (commands, marks)
}

/// Logs a change of the peer table, drops what is stored about a forgotten host,
/// and marks the entry hosts as outdated.
pub(super) fn record_peer_change(
    tables: &mut ControlTables,
    change: membership::PeerChange,
    commands: &mut Vec<Command>,
) {
    if let membership::PeerChange::Forgotten(host) = &change {
        replication::forget_host(&mut tables.replication, host);
        drop_reporter(&mut tables.health, host);
    }
    tables.entries_outdated = true;
    commands.push(Command::Log(StateChange::Peer(change)));
}

fn merge_permits(
    tables: &mut ControlTables,
    digest: &PeerDigest,
    round_trip: DurationMs,
    now: TimeMs,
    commands: &mut Vec<Command>,
) {
    for update in &digest.permits {
        if !tables
            .replication
            .log
            .config
            .services
            .contains(&update.service)
        {
            continue;
        }
        let read_started_at = now - update.age - round_trip;
        let is_new = confirm_record(
            &mut tables.permits,
            &update.service,
            &update.record,
            read_started_at,
            now,
        );
        if is_new {
            let count = update.record.entries.len();
            let change = StateChange::Permits(update.service.clone(), count);
            commands.push(Command::Log(change));
        }
    }
}

fn merge_evidence(tables: &mut ControlTables, digest: &PeerDigest, now: TimeMs) {
    let mut rows = Vec::new();
    for update in &digest.evidence {
        if update.observer == tables.membership.own.id {
            continue;
        }
        rows.push(PeerEvidence {
            target: update.target.clone(),
            reporter: update.observer.clone(),
            evidence: LogLikelihood::from_nats(update.log_likelihood_ratio),
            at: now - update.age,
        });
    }
    merge_peer_evidence(&mut tables.health, &rows, now);
}

/// Adds crash marks that this daemon made or cleared to those that its digests carry.
pub fn record_own_marks(tables: &mut ControlTables, marks: Vec<CrashMark>) {
    for mark in marks {
        match find_mark(&mut tables.marks, &mark) {
            Some(held) => held.cleared |= mark.cleared,
            None => tables.marks.push(mark),
        }
    }
}

/// Returns the mark of the crash that `mark` reports, if its reporter has told of it.
fn find_mark<'a>(marks: &'a mut [CrashMark], mark: &CrashMark) -> Option<&'a mut CrashMark> {
    marks.iter_mut().find(|held| {
        held.fingerprint == mark.fingerprint
            && held.reporter == mark.reporter
            && is_known_crash(held, mark)
    })
}

fn merge_marks(tables: &mut ControlTables, digest: &PeerDigest, now: TimeMs) -> Vec<CrashMark> {
    let mut new = Vec::new();
    for update in &digest.poisoned {
        let mark = CrashMark {
            fingerprint: update.fingerprint,
            target: update.target.clone(),
            reporter: update.reporter.clone(),
            at: now - update.age,
            cleared: update.cleared,
        };
        match find_mark(&mut tables.marks, &mark) {
            Some(held) if held.cleared || !mark.cleared => continue,
            Some(held) => held.cleared = true,
            None => tables.marks.push(mark.clone()),
        }
        new.push(mark);
    }
    new
}

/// Merges the platform's host list: the hosts that run daemons, and the targets,
/// each with whether it is leaving.
///
/// `read_started_at` is when the read of the list began.
pub fn merge_hosts(
    tables: &mut ControlTables,
    hosts: &[ListedHost],
    targets: Table<TargetName, bool>,
    read_started_at: TimeMs,
    now: TimeMs,
) -> Vec<Command> {
    let mut commands = Vec::new();
    for change in membership::merge_host_list(&mut tables.membership, hosts, now) {
        record_peer_change(tables, change, &mut commands);
    }
    tables.entries_outdated = true;
    tables.listed_targets = targets;
    tables.host_list_as_of = tables.host_list_as_of.max(Some(read_started_at));
    commands
}

//! Builds and merges what daemons tell each other.

use crate::ejection::confirm_record;
use crate::health::LogLikelihood;
use crate::health::PeerEvidence;
use crate::health::drop_reporter;
use crate::health::exceptional_evidence;
use crate::health::merge_peer_evidence;
use crate::ids::HostId;
use crate::ids::TargetName;
use crate::membership;
use crate::membership::EvidenceNews;
use crate::membership::ListedHost;
use crate::membership::PeerDigest;
use crate::membership::PermitNews;
use crate::membership::PoisonNews;
use crate::poison::CrashMark;
use crate::spread;
use crate::table::Table;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::Command;
use super::ControlTables;
use super::StateChange;
use super::leaving;

/// The most rows of each kind that a digest carries beside the hosts, so that
/// a digest stays within the bandwidth of a daemon (2 KB/s).
pub(super) const NEWS_MAX: usize = 8;

/// How long a crash mark is told to peers; by then gossip has spread it.
const MARK_NEWS_MS: DurationMs = DurationMs(30_000);

/// Builds the digest for `to`.
pub fn answer_digest(tables: &mut ControlTables, to: &HostId, now: TimeMs) -> PeerDigest {
    let head = tables.spread.log.head;
    let confirmed_at = tables.spread.confirmed_at();
    let mut digest = membership::digest(&mut tables.membership, to, head, confirmed_at, now);
    digest.permits = permit_news(tables, now);
    digest.evidence = evidence_news(tables, now);
    digest.poisoned = poison_news(tables, now);
    digest.leaving = leaving::news(tables, now);
    digest
}

fn permit_news(tables: &ControlTables, now: TimeMs) -> Vec<PermitNews> {
    let mut news = Vec::new();
    for (service, held) in tables.permits.records.rows() {
        if held.record.entries.is_empty() {
            continue;
        }
        news.push(PermitNews {
            service: service.clone(),
            record: held.record.clone(),
            age: now.since(held.confirmed_at),
        });
    }
    news.sort_by_key(|row| row.age);
    news.truncate(NEWS_MAX);
    news
}

fn evidence_news(tables: &ControlTables, now: TimeMs) -> Vec<EvidenceNews> {
    let own = &tables.membership.own.id;
    let mut news = Vec::new();
    if !tables.judgement.own_path_suspected {
        let config = &tables.spread.log.config;
        for row in exceptional_evidence(&tables.health, config, own, now) {
            news.push(evidence_row(&row, now));
        }
    }
    for (_, row) in tables.health.peers.rows() {
        news.push(evidence_row(row, now));
    }
    news.sort_by_key(|row| row.age);
    news.truncate(NEWS_MAX);
    news
}

fn evidence_row(row: &PeerEvidence, now: TimeMs) -> EvidenceNews {
    EvidenceNews {
        target: row.target.clone(),
        observer: row.reporter.clone(),
        log_likelihood_ratio: row.evidence.get(),
        age: now.since(row.at),
    }
}

fn poison_news(tables: &mut ControlTables, now: TimeMs) -> Vec<PoisonNews> {
    tables
        .marks
        .retain(|mark| now.since(mark.at) <= MARK_NEWS_MS);
    let mut news = Vec::new();
    for mark in tables.marks.iter().rev().take(NEWS_MAX) {
        news.push(PoisonNews {
            fingerprint: mark.fingerprint,
            target: mark.target.clone(),
            reporter: mark.reporter.clone(),
            cleared: mark.cleared,
            age: now.since(mark.at),
        });
    }
    news
}

/// Merges a digest that came straight from its sender.
///
/// `round_trip` is the time since the own message was sent, where the digest
/// is the answer to it; only then are the ages in it known well enough to
/// confirm anything. Returns the crash marks that are new to this daemon.
pub fn merge_digest(
    tables: &mut ControlTables,
    digest: &PeerDigest,
    round_trip: Option<DurationMs>,
    now: TimeMs,
) -> (Vec<Command>, Vec<CrashMark>) {
    let mut commands = Vec::new();
    for change in membership::merge(&mut tables.membership, digest, now) {
        note_peer_change(tables, change, &mut commands);
    }
    spread::merge_head(&mut tables.spread, digest, round_trip, now);
    if let Some(round_trip) = round_trip {
        merge_permits(tables, digest, round_trip, now, &mut commands);
    }
    merge_evidence(tables, digest, now);
    leaving::merge(tables, &digest.leaving, now);
    let marks = merge_marks(tables, digest, now);
    (commands, marks)
}

/// Notes a change of the peer table for the log and the entries.
pub(super) fn note_peer_change(
    tables: &mut ControlTables,
    change: membership::PeerChange,
    commands: &mut Vec<Command>,
) {
    if let membership::PeerChange::Forgotten(host) = &change {
        spread::forget_host(&mut tables.spread, host);
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
    for news in &digest.permits {
        if !tables.spread.log.config.services.contains(&news.service) {
            continue;
        }
        let read_started_at = now - news.age - round_trip;
        let is_new = confirm_record(
            &mut tables.permits,
            &news.service,
            &news.record,
            read_started_at,
            now,
        );
        if is_new {
            let count = news.record.entries.len();
            let change = StateChange::Permits(news.service.clone(), count);
            commands.push(Command::Log(change));
        }
    }
}

fn merge_evidence(tables: &mut ControlTables, digest: &PeerDigest, now: TimeMs) {
    let mut rows = Vec::new();
    for news in &digest.evidence {
        if news.observer == tables.membership.own.id {
            continue;
        }
        rows.push(PeerEvidence {
            target: news.target.clone(),
            reporter: news.observer.clone(),
            evidence: LogLikelihood::from_nats(news.log_likelihood_ratio),
            at: now - news.age,
        });
    }
    merge_peer_evidence(&mut tables.health, &rows, now);
}

fn merge_marks(tables: &mut ControlTables, digest: &PeerDigest, now: TimeMs) -> Vec<CrashMark> {
    let mut new = Vec::new();
    for news in &digest.poisoned {
        let mark = CrashMark {
            fingerprint: news.fingerprint,
            target: news.target.clone(),
            reporter: news.reporter.clone(),
            at: now - news.age,
            cleared: news.cleared,
        };
        let known = tables.marks.iter_mut().find(|held| {
            held.fingerprint == mark.fingerprint
                && held.target == mark.target
                && held.reporter == mark.reporter
        });
        match known {
            Some(held) if held.cleared || !mark.cleared => continue,
            Some(held) => held.cleared = true,
            None => tables.marks.push(mark.clone()),
        }
        new.push(mark);
    }
    new
}

/// Merges the platform's host list: entry hosts and leaving targets.
pub fn merge_hosts(
    tables: &mut ControlTables,
    hosts: &[ListedHost],
    targets: Table<TargetName, bool>,
    read_started_at: TimeMs,
    now: TimeMs,
) -> Vec<Command> {
    let mut commands = Vec::new();
    for change in membership::merge_host_list(&mut tables.membership, hosts, now) {
        note_peer_change(tables, change, &mut commands);
    }
    tables.entries_outdated = true;
    tables.listed_targets = targets;
    tables.hosts_as_of = tables.hosts_as_of.max(Some(read_started_at));
    commands
}

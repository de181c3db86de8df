//! When a daemon reads or watches the platform's head, and when it writes lost
//! state back to a restored platform.

use crate::addresses::rendezvous_score;
use crate::ids::FailureDomain;
use crate::ids::HostId;
use crate::membership::HostPhase;
use crate::membership::Membership;
use crate::membership::Standing;
use crate::membership::ring_position;
use crate::note::Head;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::NoteReplication;
use super::ReplicationCommand;
use super::WriteBack;
use crate::note::StoredNote;

/// The number of daemons in each failure domain that watch the platform's head.
const WATCHERS_PER_DOMAIN: usize = 2;

/// How long a watch of the head waits for a change. The head is confirmed only
/// when a watch ends, so that this bounds the age of the confirmation; with
/// 30 s, the head of every daemon would stay unconfirmed for longer than the
/// isolation time.
pub const WATCH_WAIT: DurationMs = DurationMs(3_000);

/// The timeout of a read or watch, in addition to [`WATCH_WAIT`].
const READ_TIMEOUT: DurationMs = DurationMs(2_000);

/// The retry interval while the platform does not answer.
const RETRY_PAUSE: DurationMs = DurationMs(1_000);

/// The age of the confirmation from which a daemon that is not a watcher reads
/// the head itself.
const READ_AGE: DurationMs = DurationMs(6_000);

/// The time between two write-backs by the first watcher; later watchers wait
/// this long times their rank, counted from 1.
const WRITE_BACK_PAUSE: DurationMs = DurationMs(2_000);

/// Returns the rank of this daemon among the watchers of its failure domain,
/// from 0, or `None` if it is not a watcher.
///
/// The watchers are the hosts with the highest rendezvous scores in each
/// failure domain. Daemons that agree on the membership therefore agree on
/// which host replaces a lost watcher.
pub fn watcher_rank(membership: &Membership) -> Option<usize> {
    let own = &membership.own;
    if own.phase == HostPhase::Leaving {
        return None;
    }
    let own_score = score(&own.failure_domain, &own.id);
    let mut rank = 0;
    for (id, row) in membership.peers.rows() {
        let eligible = matches!(row.phase, HostPhase::Serving | HostPhase::Isolated)
            && matches!(row.standing, Standing::Alive | Standing::Accused { .. })
            && !row.listed_leaving;
        if !eligible || row.failure_domain != own.failure_domain {
            continue;
        }
        if score(&row.failure_domain, id) > own_score {
            rank += 1;
        }
    }
    (rank < WATCHERS_PER_DOMAIN).then_some(rank)
}

fn score(domain: &FailureDomain, host: &HostId) -> (u64, HostId) {
    let score = rendezvous_score(&["head", domain.as_str()], host.as_str());
    (score, host.clone())
}

/// Issues a read or watch of the platform's head if one is due.
pub(super) fn read_platform(
    replication: &mut NoteReplication,
    membership: &Membership,
    in_contact: bool,
    now: TimeMs,
    commands: &mut Vec<ReplicationCommand>,
) {
    let row = &mut replication.platform;
    let age = row.asked_at.map(|at| now.since(at));
    if row.waiting && age.is_some_and(|age| age < WATCH_WAIT + READ_TIMEOUT) {
        return;
    }
    let starting = !replication.start.done;
    if starting {
        if age.is_none_or(|age| age >= RETRY_PAUSE) {
            issue_read(replication, now, ReplicationCommand::ReadHead, commands);
        }
        return;
    }
    let answered = row.answered_at >= row.asked_at;
    if watcher_rank(membership).is_some() {
        if answered || age.is_none_or(|age| age >= RETRY_PAUSE) {
            let watch = ReplicationCommand::WatchHead {
                wait_ms: WATCH_WAIT,
            };
            issue_read(replication, now, watch, commands);
        }
        return;
    }
    let confirmed = replication.confirmed_at();
    if confirmed.is_some_and(|at| now.since(at) < READ_AGE) {
        return;
    }
    // A daemon in contact with the fleet relies on the watchers and reads the
    // platform rarely: the fleet as a whole makes at most four such reads a second.
    let period = if in_contact {
        let hosts = u64::try_from(membership.peers.len() + 1).unwrap_or(u64::MAX);
        DurationMs(250).times(hosts).max(WATCH_WAIT)
    } else {
        WATCH_WAIT
    };
    // Daemons read at different times within the period, so that an outage
    // causes no burst of reads.
    let offset_ms = ring_position(&membership.own.id) % period.0;
    let period_index = |at: TimeMs| at.0.saturating_add(offset_ms) / period.0;
    let last = *replication.platform.asked_at.get_or_insert(now);
    if period_index(now) != period_index(last) {
        issue_read(replication, now, ReplicationCommand::ReadHead, commands);
    }
}

fn issue_read(
    replication: &mut NoteReplication,
    now: TimeMs,
    command: ReplicationCommand,
    commands: &mut Vec<ReplicationCommand>,
) {
    replication.platform.asked_at = Some(now);
    replication.platform.waiting = true;
    commands.push(command);
}

/// Issues a write-back if the platform was restored to an ancestor of the
/// current head and this daemon is a watcher.
pub(super) fn write_back(
    replication: &mut NoteReplication,
    membership: &Membership,
    now: TimeMs,
    commands: &mut Vec<ReplicationCommand>,
) {
    let Some(head) = replication.platform.head else {
        return;
    };
    let log = &replication.log;
    if head.number >= log.head.number || !log.is_ancestor(head) {
        return;
    }
    let Some(rank) = watcher_rank(membership) else {
        return;
    };
    let multiplier = u64::try_from(rank + 1).unwrap_or(1);
    let pause = WRITE_BACK_PAUSE.times(multiplier);
    let last = replication.platform.written_back_at;
    let Some(last) = last else {
        // The first watcher writes immediately, the second after its delay.
        replication.platform.written_back_at = Some(now);
        if rank == 0 {
            commands.push(write_back_command(replication, head));
        }
        return;
    };
    if now.since(last) < pause {
        return;
    }
    replication.platform.written_back_at = Some(now);
    commands.push(write_back_command(replication, head));
}

fn write_back_command(replication: &NoteReplication, expected: Head) -> ReplicationCommand {
    let log = &replication.log;
    let mut records = Vec::new();
    let mut number = expected.number.next();
    let mut complete = true;
    while number <= log.head.number {
        match (log.header(number), log.body(number)) {
            (Some(header), Some(body)) => records.push(StoredNote {
                header: header.clone(),
                text: body.into(),
            }),
            _ => complete = false,
        }
        number = number.next();
    }
    ReplicationCommand::WriteBack(Box::new(WriteBack {
        expected,
        records,
        snapshot: if complete {
            None
        } else {
            log.snapshot().cloned()
        },
        head: log.head,
    }))
}

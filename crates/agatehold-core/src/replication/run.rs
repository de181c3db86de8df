//! The periodic work of note replication, run on each tick.

use rand::Rng;
use rand::RngExt;

use crate::membership;
use crate::membership::HostPhase;
use crate::membership::Membership;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::NoteReplication;
use super::NoteSource;
use super::NotesRequest;
use super::PendingRequest;
use super::ReplicationCommand;
use super::start;
use super::watch;

/// The time without a confirmed head after which a daemon is isolated, unless
/// it is in contact with a majority of hosts.
pub const ISOLATION_TIME: DurationMs = DurationMs(9_000);

/// The time without contact to a majority after which contact counts as lost.
/// Accusations take up to 6 s to reach a daemon, so that a daemon on the
/// minority side is isolated about 9 s after a partition.
const CONTACT_LOSS_TIME: DurationMs = DurationMs(3_000);

/// How long to wait for the answer to a request for notes.
const REQUEST_TIMEOUT: DurationMs = DurationMs(1_500);

/// The number of neighbours to which a new head is sent immediately.
const PUSH_NEIGHBOURS: usize = 2;

/// Runs note replication for one tick and returns the resulting commands.
///
/// Also sets this daemon's phase: it serves once it has found its first
/// configuration, and is isolated while it can neither confirm its head nor
/// reach a majority.
pub fn run(
    replication: &mut NoteReplication,
    membership: &mut Membership,
    now: TimeMs,
    rng: &mut impl Rng,
) -> Vec<ReplicationCommand> {
    let mut commands = Vec::new();
    start::update(
        &mut replication.start,
        membership,
        &replication.platform,
        replication.log.head,
    );
    let ran_at = replication.ran_at.replace(now);
    if ran_at.is_some_and(|at| now.since(at) >= ISOLATION_TIME) {
        // The process was paused.
        replication.majority_at = None;
        membership::forget_contact(membership, now);
    }
    let in_contact = update_contact(replication, membership, now);
    update_phase(replication, membership, in_contact, now, rng);
    publish(replication, membership, rng, &mut commands);
    watch::read_platform(replication, membership, in_contact, now, &mut commands);
    watch::write_back(replication, membership, now, &mut commands);
    request_notes(replication, now, rng, &mut commands);
    commands
}

/// Returns whether the daemon was recently in contact with more than half of
/// the known hosts.
fn update_contact(replication: &mut NoteReplication, membership: &Membership, now: TimeMs) -> bool {
    let contact = membership::contact(membership, now);
    if contact.is_majority() {
        replication.majority_at = Some(now);
    }
    // `hears_enough` counts messages over the isolation time or longer, so
    // that it needs no delay of its own.
    contact.hears_enough()
        && replication
            .majority_at
            .is_some_and(|at| now.since(at) < CONTACT_LOSS_TIME)
}

fn update_phase(
    replication: &mut NoteReplication,
    membership: &mut Membership,
    in_contact: bool,
    now: TimeMs,
    rng: &mut impl Rng,
) {
    if !replication.start.done {
        return;
    }
    let confirmed_until = replication.confirmed_at().map(|at| at + ISOLATION_TIME);
    let majority_at = replication.majority_at.filter(|_| in_contact);
    let contact_until = majority_at.map(|at| at + CONTACT_LOSS_TIME);
    replication.serving_until = confirmed_until.max(contact_until).unwrap_or_default();
    let phase = if now < replication.serving_until {
        HostPhase::Serving
    } else {
        HostPhase::Isolated
    };
    membership::set_phase(membership, phase, rng);
}

fn publish(
    replication: &mut NoteReplication,
    membership: &mut Membership,
    rng: &mut impl Rng,
    commands: &mut Vec<ReplicationCommand>,
) {
    let head = replication.log.head;
    if !replication.start.done || replication.published == Some(head) {
        return;
    }
    replication.published = Some(head);
    commands.push(ReplicationCommand::PublishConfig { head });
    membership::queue_urgent_exchanges(membership, PUSH_NEIGHBOURS, rng);
}

fn request_notes(
    replication: &mut NoteReplication,
    now: TimeMs,
    rng: &mut impl Rng,
    commands: &mut Vec<ReplicationCommand>,
) {
    if let Some(request) = &replication.request {
        if now.since(request.sent_at) < REQUEST_TIMEOUT {
            return;
        }
        let source = request.source.clone();
        super::request_failed(replication, &source);
    }
    let starting = replication.log.head.number.0 == 0;
    if starting
        && !replication
            .start
            .may_apply_first_config(&replication.platform)
    {
        return;
    }
    let Some(source) = choose_source(replication, rng) else {
        return;
    };
    replication.request = Some(PendingRequest {
        source: source.clone(),
        sent_at: now,
    });
    let after = replication.log.head.number;
    match source {
        NoteSource::Platform => commands.push(ReplicationCommand::ReadNotes { after }),
        NoteSource::Peer(host) => {
            let chunk = replication.partial.as_ref().and_then(|partial| {
                let same = partial.source == NoteSource::Peer(host.clone());
                same.then_some((partial.header.number, partial.chunks))
            });
            let request = NotesRequest { after, chunk };
            commands.push(ReplicationCommand::AskPeer { host, request });
        }
        NoteSource::Tool => {}
    }
}

/// Chooses the source to ask for notes: the one that a partial snapshot comes
/// from, else a random one of those with the highest head.
fn choose_source(replication: &NoteReplication, rng: &mut impl Rng) -> Option<NoteSource> {
    if let Some(partial) = &replication.partial
        && replication.newer_heads.contains(&partial.source)
    {
        return Some(partial.source.clone());
    }
    let mut best: Vec<&NoteSource> = Vec::new();
    let mut highest = replication.log.head.number;
    for (source, row) in replication.newer_heads.rows() {
        if row.head.number > highest {
            highest = row.head.number;
            best.clear();
        }
        if row.head.number == highest {
            best.push(source);
        }
    }
    if best.is_empty() {
        return None;
    }
    Some(best[rng.random_range(0..best.len())].clone())
}

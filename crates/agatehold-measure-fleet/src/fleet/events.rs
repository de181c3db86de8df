//! Runs the simulation: schedules and handles the events of a fleet.

use prost::Message as _;
use rand::RngExt;

use agatehold_core::config::config_digest;
use agatehold_core::ids::HostId;
use agatehold_core::ids::NoteId;
use agatehold_core::membership;
use agatehold_core::membership::PeerDigest;
use agatehold_core::note::Note;
use agatehold_core::note::NoteHeader;
use agatehold_core::note::StoredNote;
use agatehold_core::note::apply;
use agatehold_core::note::body_digest;
use agatehold_core::replication;
use agatehold_core::replication::NoteSource;
use agatehold_core::replication::NotesAnswer;
use agatehold_core::replication::NotesRequest;
use agatehold_core::replication::ReplicationCommand;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;
use agatehold_wire::peers;
use agatehold_wire::peers::EnvelopeHeader;
use agatehold_wire::peers::Method;
use agatehold_wire::peers::PeerKey;

use crate::configs;

use super::setup;
use super::state::Call;
use super::state::Event;
use super::state::Fleet;
use super::state::WaitingWatch;

/// The one-way latency of a message: 1.5 ms, rounded up.
const MESSAGE_LATENCY: DurationMs = DurationMs(2);

/// The timeout of an exchange between daemons.
const EXCHANGE_TIMEOUT: DurationMs = DurationMs(500);

/// The timeout of a call to the platform.
const PLATFORM_TIMEOUT: DurationMs = DurationMs(1_000);

/// How long the platform's host list still contains a stopped host.
const HOST_LIST_LAG: DurationMs = DurationMs(10_000);

/// The interval between ticks of a daemon's control thread.
const TICK: DurationMs = DurationMs(100);

/// Schedules `event` at the time `at`.
pub(super) fn schedule(fleet: &mut Fleet, at: TimeMs, event: Event) {
    fleet.sequence += 1;
    fleet.queue.insert((at, fleet.sequence), event);
}

/// Handles all events up to the time `until`.
pub fn advance(fleet: &mut Fleet, until: TimeMs) {
    while let Some(entry) = fleet.queue.first_entry() {
        let at = entry.key().0;
        if at > until {
            break;
        }
        let event = entry.remove();
        fleet.now = at;
        handle_event(fleet, event);
    }
    fleet.now = until;
}

/// Stores a note in the platform, as the operators' tool does when it releases
/// one, and answers the waiting watches of hosts that reach the platform.
///
/// # Panics
///
/// Panics if the note can't be applied to the platform's configuration.
pub fn release_note(fleet: &mut Fleet, text: &str, note: Note) -> StoredNote {
    let platform = &mut fleet.platform;
    let next = match apply(&platform.config, &note) {
        Ok(next) => next,
        Err(errors) => panic!("{}", errors[0]),
    };
    let head = platform.head();
    let record = StoredNote {
        header: NoteHeader {
            number: head.number.next(),
            id: NoteId(fleet.rng.random()),
            prev: head.hash,
            body: body_digest(text),
            config: config_digest(&next),
            author: note.author.clone(),
        },
        text: text.into(),
    };
    platform.config = next;
    platform.records.push(record.clone());
    fleet.notes_by_text.insert(text.into(), note);
    for watch in std::mem::take(&mut fleet.platform.waiting) {
        if !fleet.platform.up || fleet.faults.platform_cut_hosts.contains(&watch.host) {
            continue;
        }
        let head = record.header.head();
        let answer = Event::PlatformHead(
            watch.host,
            watch.process_number,
            head,
            watch.sent_at,
            DurationMs(0),
        );
        let at = fleet.now + MESSAGE_LATENCY;
        schedule(fleet, at, answer);
    }
    record
}

/// Sends a released note to a daemon, as the operators' tool does.
pub fn push_note(fleet: &mut Fleet, host: &HostId, record: &StoredNote) {
    let Some(row) = fleet.daemons.get(host) else {
        return;
    };
    let process_number = row.process_number;
    let answer = NotesAnswer {
        records: vec![record.clone()],
        ..NotesAnswer::default()
    };
    let event = Event::Notes(
        host.clone(),
        process_number,
        NoteSource::Tool,
        Box::new(answer),
    );
    let at = fleet.now + MESSAGE_LATENCY;
    schedule(fleet, at, event);
}

fn handle_event(fleet: &mut Fleet, event: Event) {
    match event {
        Event::Tick(host, process_number) => tick(fleet, &host, process_number),
        Event::Request(call, digest) => handle_request(fleet, call, &digest),
        Event::Answer(call, digest) => handle_answer(fleet, &call, &digest),
        Event::TimedOut(call) => handle_timeout(fleet, &call),
        Event::NotesRequest(call, request) => handle_notes_request(fleet, &call, request),
        Event::Notes(host, process_number, source, answer) => {
            handle_notes(fleet, &host, process_number, &source, &answer);
        }
        Event::PlatformHead(host, process_number, head, sent_at, waited) => {
            let now = fleet.now;
            if let Some(row) = running_daemon(fleet, &host, process_number) {
                replication::platform_head(&mut row.replication, head, sent_at, waited, now);
            }
        }
        Event::WatchEnds(host, process_number, sent_at) => {
            end_watch(fleet, &host, process_number, sent_at)
        }
        Event::PlatformFailed(host, process_number) => {
            if let Some(row) = running_daemon(fleet, &host, process_number) {
                replication::platform_failed(&mut row.replication);
            }
        }
    }
}

/// Returns the daemon on `host` if its process with this number still runs.
fn running_daemon<'a>(
    fleet: &'a mut Fleet,
    host: &HostId,
    process_number: u32,
) -> Option<&'a mut super::DaemonRow> {
    fleet
        .daemons
        .get_mut(host)
        .filter(|row| row.running && row.process_number == process_number)
}

fn tick(fleet: &mut Fleet, host: &HostId, process_number: u32) {
    let now = fleet.now;
    let Some(row) = fleet
        .daemons
        .get_mut(host)
        .filter(|row| row.running && row.process_number == process_number)
    else {
        return;
    };
    let commands = replication::run(
        &mut row.replication,
        &mut row.membership,
        now,
        &mut fleet.rng,
    );
    let (partners, _) = membership::run(&mut row.membership, now, &mut fleet.rng);
    schedule(fleet, now + TICK, Event::Tick(host.clone(), process_number));
    read_host_list(fleet, host, process_number);
    for partner in partners {
        start_exchange(fleet, host, process_number, &partner);
    }
    for command in commands {
        execute_command(fleet, host, process_number, command);
    }
}

/// Merges the platform's host list if the daemon is due to read it.
fn read_host_list(fleet: &mut Fleet, host: &HostId, process_number: u32) {
    let now = fleet.now;
    let Some(row) = running_daemon(fleet, host, process_number) else {
        return;
    };
    if now < row.host_list_at {
        return;
    }
    let is_watcher = replication::watcher_rank(&row.membership).is_some();
    row.host_list_at = now + membership::host_list_period(&row.membership, is_watcher);
    if !fleet.platform.up || fleet.faults.platform_cut_hosts.contains(host) {
        return;
    }
    fleet.platform.calls.read_hosts += 1;
    let mut list = Vec::new();
    for (_, row) in fleet.daemons.rows() {
        if row.running || now.since(row.stopped_at) < HOST_LIST_LAG {
            list.push(setup::host_list_entry(&row.membership.own));
        }
    }
    if let Some(row) = running_daemon(fleet, host, process_number) {
        membership::merge_host_list(&mut row.membership, &list, now);
    }
}

/// Sends a digest to `partner`, which answers with its own.
fn start_exchange(fleet: &mut Fleet, host: &HostId, process_number: u32, partner: &HostId) {
    let now = fleet.now;
    let Some(row) = running_daemon(fleet, host, process_number) else {
        return;
    };
    let head = row.replication.log.head;
    let confirmed = row.replication.confirmed_at();
    let digest = membership::digest(&mut row.membership, partner, head, confirmed, now);
    row.exchanges += 1;
    fleet.sequence += 1;
    let call = Call {
        id: fleet.sequence,
        from: host.clone(),
        from_process_number: process_number,
        to: partner.clone(),
        sent_at: now,
    };
    fleet.open_calls.insert(call.id);
    schedule(fleet, now + EXCHANGE_TIMEOUT, Event::TimedOut(call.clone()));
    if is_delivered(fleet, host, partner) {
        count_bytes(fleet, host, partner, &digest, false);
        let event = Event::Request(call, Box::new(digest));
        schedule(fleet, now + MESSAGE_LATENCY, event);
    }
}

/// Decides whether a message reaches its receiver in spite of the network faults.
fn is_delivered(fleet: &mut Fleet, from: &HostId, to: &HostId) -> bool {
    let faults = &fleet.faults;
    if faults.loss > 0.0 && fleet.rng.random_bool(faults.loss) {
        return false;
    }
    if faults.partitioned_hosts.contains(from) != faults.partitioned_hosts.contains(to) {
        return false;
    }
    !faults.cut_links.contains(&(from.clone(), to.clone()))
}

/// Adds the size of a message to the counts of sender and receiver.
///
/// The message is sealed as in production, so that names and tag have their real
/// sizes.
fn count_bytes(
    fleet: &mut Fleet,
    from: &HostId,
    to: &HostId,
    digest: &PeerDigest,
    is_answer: bool,
) {
    if !fleet.measure_bytes {
        return;
    }
    let Ok(key) = PeerKey::new("a secret of the fleet") else {
        return;
    };
    let header = EnvelopeHeader {
        sender: from.clone(),
        receiver: to.clone(),
        incarnation: digest.sender.incarnation,
        // The number of messages in about a week, for the encoded size that a
        // long-running daemon would send.
        sequence: 1_200_000,
        answers: is_answer.then_some((digest.sender.incarnation, 1_200_000)),
    };
    let body = peers::encode_digest(digest);
    let envelope = peers::seal(&key, Method::Exchange, &header, body);
    let bytes = u64::try_from(envelope.encoded_len()).unwrap_or(u64::MAX);
    if let Some(row) = fleet.daemons.get_mut(from) {
        row.sent_bytes += bytes;
    }
    if let Some(row) = fleet.daemons.get_mut(to) {
        row.received_bytes += bytes;
    }
}

fn handle_request(fleet: &mut Fleet, call: Call, digest: &PeerDigest) {
    let now = fleet.now;
    let Some(row) = fleet.daemons.get_mut(&call.to).filter(|row| row.running) else {
        return;
    };
    membership::merge(&mut row.membership, digest, now);
    replication::merge_head(&mut row.replication, digest, None, now);
    let head = row.replication.log.head;
    let confirmed = row.replication.confirmed_at();
    let answer = membership::digest(&mut row.membership, &call.from, head, confirmed, now);
    if is_delivered(fleet, &call.to, &call.from) {
        count_bytes(fleet, &call.to, &call.from, &answer, true);
        schedule(
            fleet,
            now + MESSAGE_LATENCY,
            Event::Answer(call, Box::new(answer)),
        );
    }
}

fn handle_answer(fleet: &mut Fleet, call: &Call, digest: &PeerDigest) {
    let now = fleet.now;
    if !fleet.open_calls.remove(&call.id) {
        return;
    }
    let Some(row) = running_daemon(fleet, &call.from, call.from_process_number) else {
        return;
    };
    membership::merge(&mut row.membership, digest, now);
    let round_trip = now.since(call.sent_at);
    replication::merge_head(&mut row.replication, digest, Some(round_trip), now);
}

fn handle_timeout(fleet: &mut Fleet, call: &Call) {
    let now = fleet.now;
    if !fleet.open_calls.remove(&call.id) {
        return;
    }
    let Some(row) = running_daemon(fleet, &call.from, call.from_process_number) else {
        return;
    };
    membership::record_unreachable(&mut row.membership, &call.to, call.sent_at, now);
}

fn handle_notes_request(fleet: &mut Fleet, call: &Call, request: NotesRequest) {
    let now = fleet.now;
    let Some(row) = fleet.daemons.get_mut(&call.to).filter(|row| row.running) else {
        return;
    };
    let notes_by_text = &mut fleet.notes_by_text;
    let number = row.replication.log.head.number;
    let answer = replication::answer_request(&mut row.replication.log, request, |config| {
        let text: Box<str> = format!("snapshot {number}").into();
        notes_by_text.insert(text.clone(), configs::snapshot_note(config));
        text
    });
    if is_delivered(fleet, &call.to, &call.from) {
        let source = NoteSource::Peer(call.to.clone());
        let event = Event::Notes(
            call.from.clone(),
            call.from_process_number,
            source,
            Box::new(answer),
        );
        schedule(fleet, now + MESSAGE_LATENCY, event);
    }
}

fn handle_notes(
    fleet: &mut Fleet,
    host: &HostId,
    process_number: u32,
    source: &NoteSource,
    answer: &NotesAnswer,
) {
    let Some(row) = fleet
        .daemons
        .get_mut(host)
        .filter(|row| row.running && row.process_number == process_number)
    else {
        return;
    };
    let notes_by_text = &fleet.notes_by_text;
    replication::merge_notes(&mut row.replication, source, answer, |text| {
        notes_by_text.get(&Box::from(text)).cloned()
    });
}

/// Ends a watch whose wait time is over, unless the platform has answered it.
fn end_watch(fleet: &mut Fleet, host: &HostId, process_number: u32, sent_at: TimeMs) {
    let waiting = &mut fleet.platform.waiting;
    let before = waiting.len();
    waiting.retain(|watch| watch.host != *host || watch.sent_at != sent_at);
    if waiting.len() == before {
        return;
    }
    if !fleet.platform.up || fleet.faults.platform_cut_hosts.contains(host) {
        let at = fleet.now + PLATFORM_TIMEOUT;
        schedule(
            fleet,
            at,
            Event::PlatformFailed(host.clone(), process_number),
        );
        return;
    }
    let head = fleet.platform.head();
    let waited = fleet.now.since(sent_at);
    let answer = Event::PlatformHead(host.clone(), process_number, head, sent_at, waited);
    let at = fleet.now + MESSAGE_LATENCY;
    schedule(fleet, at, answer);
}

fn execute_command(
    fleet: &mut Fleet,
    host: &HostId,
    process_number: u32,
    command: ReplicationCommand,
) {
    let now = fleet.now;
    match command {
        ReplicationCommand::PublishConfig { .. } => {}
        ReplicationCommand::AskPeer { host: to, request } => {
            if is_delivered(fleet, host, &to) {
                let call = Call {
                    id: 0,
                    from: host.clone(),
                    from_process_number: process_number,
                    to,
                    sent_at: now,
                };
                schedule(
                    fleet,
                    now + MESSAGE_LATENCY,
                    Event::NotesRequest(call, request),
                );
            }
        }
        ReplicationCommand::ReadHead
        | ReplicationCommand::WatchHead { .. }
        | ReplicationCommand::ReadNotes { .. }
        | ReplicationCommand::WriteBack(_) => call_platform(fleet, host, process_number, command),
    }
}

fn call_platform(
    fleet: &mut Fleet,
    host: &HostId,
    process_number: u32,
    command: ReplicationCommand,
) {
    let now = fleet.now;
    if !fleet.platform.up || fleet.faults.platform_cut_hosts.contains(host) {
        let event = Event::PlatformFailed(host.clone(), process_number);
        schedule(fleet, now + PLATFORM_TIMEOUT, event);
        return;
    }
    let platform = &mut fleet.platform;
    let head = platform.head();
    match command {
        ReplicationCommand::ReadHead => {
            platform.calls.read_head += 1;
            let answer =
                Event::PlatformHead(host.clone(), process_number, head, now, DurationMs(0));
            schedule(fleet, now + MESSAGE_LATENCY + MESSAGE_LATENCY, answer);
        }
        ReplicationCommand::WatchHead { wait_ms } => {
            platform.calls.watch_head += 1;
            let Some(row) = fleet.daemons.get(host) else {
                return;
            };
            let known = row.replication.platform.head.unwrap_or_default();
            if known != head {
                let answer =
                    Event::PlatformHead(host.clone(), process_number, head, now, DurationMs(0));
                schedule(fleet, now + MESSAGE_LATENCY + MESSAGE_LATENCY, answer);
                return;
            }
            fleet.platform.waiting.push(WaitingWatch {
                host: host.clone(),
                process_number,
                sent_at: now,
                known,
            });
            let ends = Event::WatchEnds(host.clone(), process_number, now);
            schedule(fleet, now + wait_ms, ends);
        }
        ReplicationCommand::ReadNotes { after } => {
            platform.calls.read_notes += 1;
            let answer = NotesAnswer {
                records: platform.after(after),
                ..NotesAnswer::default()
            };
            let event = Event::Notes(
                host.clone(),
                process_number,
                NoteSource::Platform,
                Box::new(answer),
            );
            schedule(fleet, now + MESSAGE_LATENCY + MESSAGE_LATENCY, event);
        }
        ReplicationCommand::WriteBack(write) => {
            platform.calls.write_back += 1;
            if head == write.expected {
                platform.records.extend(write.records);
            }
        }
        ReplicationCommand::AskPeer { .. } | ReplicationCommand::PublishConfig { .. } => {}
    }
}

//! What other threads tell the control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam::channel::Sender;
use tokio::sync::oneshot;

use agatehold_core::control;
use agatehold_core::control::PermitVersion;
use agatehold_core::control::PermitWrite;
use agatehold_core::control::StopStep;
use agatehold_core::control::StopTimes;
use agatehold_core::control::TrafficCounts;
use agatehold_core::ejection::PermitRecord;
use agatehold_core::ids::HostId;
use agatehold_core::ids::ServiceName;
use agatehold_core::membership;
use agatehold_core::membership::ListedHost;
use agatehold_core::membership::PeerDigest;
use agatehold_core::note::Head;
use agatehold_core::note::Note;
use agatehold_core::poison::CrashMark;
use agatehold_core::poison::mark_crash;
use agatehold_core::replication;
use agatehold_core::replication::Acceptance;
use agatehold_core::replication::NoteSource;
use agatehold_core::replication::NotesAnswer;
use agatehold_core::replication::NotesRequest;
use agatehold_core::table::Table;
use agatehold_core::units::TimeMs;
use agatehold_settings::note::parse_note;
use agatehold_settings::note::snapshot_note;
use agatehold_settings::note::write_note;
use agatehold_wire::admin::HeadJson;
use agatehold_wire::platform::HostListRow;
use agatehold_wire::platform::LeaseId;
use agatehold_wire::platform::ListedName;
use agatehold_wire::platform::ListedState;

use super::ControlLoop;

/// The neighbours that are told at once of a crash mark; each tells as many.
const MARK_PUSHES: usize = 4;

/// A question of the admin address, with the channel for its answer.
#[derive(Clone, Debug)]
pub(crate) enum AdminQuestion {
    /// The state of the daemon.
    Status(Sender<agatehold_wire::admin::StatusAnswer>),
    /// The hosts of the fleet.
    Hosts(Sender<agatehold_wire::admin::HostsAnswer>),
    /// The targets.
    Targets(Sender<agatehold_wire::admin::TargetsAnswer>),
    /// The ejections and the capacity of the services.
    Ejections(Sender<agatehold_wire::admin::EjectionsAnswer>),
    /// Notes that the operators' tool pushes; the answer says what came of
    /// the offer, whether the last note is held, and the note in force.
    Notes(
        Box<NotesAnswer>,
        Sender<(Acceptance, bool, Option<HeadJson>)>,
    ),
    /// A planned stop.
    Drain(Sender<agatehold_wire::admin::DrainAnswer>),
}

/// One input of the control thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A digest from a peer, with the channel for the answer.
    Digest(Box<PeerDigest>, oneshot::Sender<PeerDigest>),
    /// The end of an own exchange; `None` if it failed.
    Exchanged {
        host: HostId,
        answer: Option<Box<PeerDigest>>,
        sent_at: TimeMs,
    },
    /// A peer asks for notes.
    NotesAsked(NotesRequest, oneshot::Sender<NotesAnswer>),
    /// The end of an own request for notes to a peer.
    PeerNotes(HostId, Option<NotesAnswer>),
    /// The end of a read of notes from the platform.
    PlatformNotes(Option<NotesAnswer>),
    /// The end of a read or watch of the platform's head.
    HeadRead { head: Option<Head>, sent_at: TimeMs },
    /// The platform's host list.
    HostsRead {
        rows: Option<Vec<HostListRow>>,
        sent_at: TimeMs,
    },
    /// The permit records with their versions.
    PermitsListed {
        listed: Option<Vec<(ServiceName, PermitVersion)>>,
        sent_at: TimeMs,
    },
    /// A permit record.
    PermitRead {
        service: ServiceName,
        answer: Option<(PermitVersion, PermitRecord)>,
        sent_at: TimeMs,
    },
    /// The end of the write of a permit record.
    PermitWritten {
        write: Box<PermitWrite>,
        version: Option<PermitVersion>,
        sent_at: TimeMs,
    },
    /// The lease for claims; `None` if it could not be created.
    ClaimLease(Option<LeaseId>),
    /// A question of the admin address.
    Admin(AdminQuestion),
    /// A planned stop was asked for.
    Stop,
    /// The process ends.
    Close,
}

/// Parses the text of a note that was checked when it was released.
fn parse(text: &str) -> Option<Note> {
    parse_note("note", text).ok().map(|parsed| parsed.note)
}

impl ControlLoop {
    /// Merges an input into the tables.
    pub(super) fn take_input(&mut self, input: Input) {
        let now = self.shared.clock.now();
        match input {
            Input::Digest(digest, reply) => self.answer_digest(&digest, reply, now),
            Input::Exchanged {
                host,
                answer,
                sent_at,
            } => self.end_exchange(&host, answer.as_deref(), sent_at, now),
            Input::NotesAsked(request, reply) => {
                let number = self.tables.replication.log.head.number;
                let log = &mut self.tables.replication.log;
                let answer = replication::answer_request(log, request, |config| {
                    write_note(&snapshot_note(config, "agatehold", number), None).into()
                });
                // An asker that went away asks again.
                let _ = reply.send(answer);
            }
            Input::PeerNotes(host, answer) => self.take_notes(&NoteSource::Peer(host), answer),
            Input::PlatformNotes(answer) => self.take_notes(&NoteSource::Platform, answer),
            Input::HeadRead { head, sent_at } => match head {
                Some(head) => replication::platform_head(
                    &mut self.tables.replication,
                    head,
                    sent_at,
                    Default::default(),
                    now,
                ),
                None => replication::platform_failed(&mut self.tables.replication),
            },
            Input::HostsRead { rows, sent_at } => self.take_hosts(rows, sent_at, now),
            Input::PermitsListed { listed, sent_at } => match listed {
                Some(listed) => {
                    let tables = &mut self.tables;
                    let commands = control::merge_permit_list(tables, &listed, sent_at, now);
                    self.apply(commands);
                }
                None => control::record_permit_list_failure(&mut self.tables, now),
            },
            Input::PermitRead {
                service,
                answer,
                sent_at,
            } => {
                let tables = &mut self.tables;
                let commands = control::merge_permit(tables, &service, answer, sent_at, now);
                self.apply(commands);
            }
            Input::PermitWritten {
                write,
                version,
                sent_at,
            } => {
                let tables = &mut self.tables;
                let commands = control::merge_permit_write(tables, &write, version, sent_at, now);
                self.apply(commands);
            }
            Input::ClaimLease(lease) => {
                if let Some(lease) = lease {
                    self.tables.claim_lease_created_at = Some(now);
                    self.shared.claim_lease.store(Some(Arc::new(lease)));
                }
            }
            Input::Admin(question) => self.answer_admin(question),
            Input::Stop => self.begin_stop(),
            Input::Close => {}
        }
    }

    fn answer_digest(
        &mut self,
        digest: &PeerDigest,
        reply: oneshot::Sender<PeerDigest>,
        now: TimeMs,
    ) {
        self.merge_digest(digest, None, now);
        let answer = control::build_digest(&mut self.tables, &digest.sender.host, now);
        // A peer that went away hears of it in its next exchange.
        let _ = reply.send(answer);
    }

    fn end_exchange(
        &mut self,
        host: &HostId,
        answer: Option<&PeerDigest>,
        sent_at: TimeMs,
        now: TimeMs,
    ) {
        if let Some(digest) = answer {
            self.merge_digest(digest, Some(sent_at), now);
            return;
        }
        metrics::counter!("agatehold_exchanges_failed_total").increment(1);
        for change in
            membership::record_unreachable(&mut self.tables.membership, host, sent_at, now)
        {
            self.apply(vec![control::Command::Log(control::StateChange::Peer(
                change,
            ))]);
        }
    }

    fn merge_digest(&mut self, digest: &PeerDigest, sent_at: Option<TimeMs>, now: TimeMs) {
        let round_trip = sent_at.map(|sent_at| now.since(sent_at));
        let (commands, marks) = control::merge_digest(&mut self.tables, digest, round_trip, now);
        self.apply(commands);
        if marks.is_empty() {
            return;
        }
        {
            let mut poison = self.shared.poison();
            for mark in &marks {
                mark_crash(&mut poison, mark.clone(), now);
            }
        }
        self.tell_neighbours();
    }

    /// Tells neighbours at once, since a caller may already be sending a
    /// request that crashes targets to another daemon.
    fn tell_neighbours(&mut self) {
        membership::queue_urgent_exchanges(&mut self.tables.membership, MARK_PUSHES, &mut self.rng);
        self.tick();
    }

    /// Tells peers at once of crash marks that this daemon made.
    pub(super) fn push_marks(&mut self, marks: Vec<CrashMark>) {
        for mark in marks {
            let held = self.tables.marks.iter_mut().find(|held| {
                held.fingerprint == mark.fingerprint
                    && held.target == mark.target
                    && held.reporter == mark.reporter
            });
            match held {
                Some(held) => held.cleared |= mark.cleared,
                None => self.tables.marks.push(mark),
            }
        }
        self.tell_neighbours();
    }

    fn take_notes(&mut self, source: &NoteSource, answer: Option<NotesAnswer>) {
        let Some(answer) = answer else {
            replication::request_failed(&mut self.tables.replication, source);
            return;
        };
        let acceptance = self.offer_notes(source, &answer);
        if let Some(fault) = acceptance.fault {
            log::warn!("notes refused: source={source:?} reason={}", fault.name());
        }
    }

    /// Offers notes to the log and returns what came of it.
    pub(super) fn offer_notes(&mut self, source: &NoteSource, answer: &NotesAnswer) -> Acceptance {
        let acceptance =
            replication::merge_notes(&mut self.tables.replication, source, answer, parse);
        if let Some(fault) = acceptance.fault {
            metrics::counter!("agatehold_notes_refused_total", "reason" => fault.name())
                .increment(1);
        }
        if acceptance.accepted > 0 {
            // The note has to be in force soon, not at the next tick.
            self.tick();
        }
        acceptance
    }

    fn take_hosts(&mut self, rows: Option<Vec<HostListRow>>, sent_at: TimeMs, now: TimeMs) {
        let Some(rows) = rows else {
            return;
        };
        let mut hosts = Vec::new();
        let mut targets = Table::new();
        for row in rows {
            match row.name {
                ListedName::Entry(id) => hosts.push(ListedHost {
                    peer_address: self.peer_address_of(&id, row.address),
                    id,
                    failure_domain: row.failure_domain,
                    caller_address: Some(row.address),
                    leaving: row.state == ListedState::Leaving,
                }),
                ListedName::Target(name) => {
                    targets.insert(name, row.state == ListedState::Leaving);
                }
            }
        }
        let commands = control::merge_hosts(&mut self.tables, &hosts, targets, sent_at, now);
        self.apply(commands);
    }

    /// Returns where a listed host takes exchanges. The list has the callers'
    /// address only; hosts that the settings don't name use the same port for
    /// peers as this one.
    fn peer_address_of(&self, id: &HostId, callers: SocketAddr) -> SocketAddr {
        if let Some(row) = self.tables.membership.peers.get(id) {
            return row.peer_address;
        }
        SocketAddr::new(callers.ip(), self.shared.settings.listen.peers.port())
    }

    fn begin_stop(&mut self) {
        let now = self.shared.clock.now();
        control::begin_stop(&mut self.tables, now, &mut self.rng);
        self.tick();
    }

    /// Decides how a planned stop goes on.
    pub(super) fn next_stop_step(&self) -> StopStep {
        let limits = &self.shared.settings.limits;
        let counts = TrafficCounts {
            in_flight: self
                .shared
                .in_flight
                .load(std::sync::atomic::Ordering::Acquire),
            last_connection_at: self.shared.last_connection_at(),
        };
        let times = StopTimes {
            serve_ms: limits.address_ttl_ms,
            quiet_ms: limits.quiet_ms,
            limit_ms: limits.stop_limit_ms,
        };
        let now = self.shared.clock.now();
        control::next_stop_step(self.tables.stop, counts, times, now)
    }
}

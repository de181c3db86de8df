//! The rows of a fleet on virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand_pcg::Pcg64;

use agatehold_core::config::ConfigTables;
use agatehold_core::ids::HostId;
use agatehold_core::ids::NoteNumber;
use agatehold_core::membership::Membership;
use agatehold_core::membership::PeerDigest;
use agatehold_core::note::Head;
use agatehold_core::note::Note;
use agatehold_core::note::StoredNote;
use agatehold_core::replication::NoteReplication;
use agatehold_core::replication::NoteSource;
use agatehold_core::replication::NotesAnswer;
use agatehold_core::replication::NotesRequest;
use agatehold_core::table::Table;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

/// How a fleet is laid out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetPlan {
    /// The number of daemons.
    pub daemons: u32,
    /// The number of failure domains.
    pub domains: u32,
    /// The share of messages that get lost.
    pub loss: f64,
    /// The seed of the fleet's random numbers.
    pub seed: u64,
}

/// One daemon.
#[derive(Clone, Debug)]
pub struct DaemonRow {
    /// Its peer table.
    pub membership: Membership,
    /// Its note log.
    pub replication: NoteReplication,
    /// Whether the process runs.
    pub running: bool,
    /// Counts the starts of the process; messages to an earlier one are lost.
    pub start: u32,
    /// When the process ended, if it does not run.
    pub stopped_at: TimeMs,
    /// When it next reads the host list.
    pub host_list_at: TimeMs,
    /// The bytes of the bodies that it sent, if they are measured.
    pub sent_bytes: u64,
    /// The bytes of the bodies that it received.
    pub received_bytes: u64,
    /// The exchanges that it began.
    pub exchanges: u64,
}

/// What goes wrong on the network.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The share of messages that get lost.
    pub loss: f64,
    /// Pairs of sender and receiver between which nothing arrives.
    pub cut: BTreeSet<(HostId, HostId)>,
    /// Hosts that can't reach the hosts outside the set, nor be reached.
    pub apart: BTreeSet<HostId>,
    /// Hosts that can't reach the platform.
    pub platform_cut: BTreeSet<HostId>,
}

/// A watch that waits at the platform.
#[derive(Clone, Debug)]
pub struct WaitingWatch {
    /// Who waits.
    pub host: HostId,
    /// The start of the process that waits.
    pub start: u32,
    /// When the call was sent.
    pub sent_at: TimeMs,
    /// The head that the caller knows.
    pub known: Head,
}

/// The platform's calls by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformCalls {
    /// Reads of the head.
    pub read_head: u64,
    /// Watches of the head.
    pub watch_head: u64,
    /// Reads of notes.
    pub read_notes: u64,
    /// Writes back of the state in force.
    pub write_back: u64,
    /// Reads of the host list.
    pub read_hosts: u64,
}

/// The platform's part that the fleet needs.
#[derive(Clone, Debug, Default)]
pub struct PlatformDouble {
    /// Whether it answers.
    pub up: bool,
    /// The notes in order.
    pub records: Vec<StoredNote>,
    /// The configuration after the last note.
    pub config: ConfigTables,
    /// The watches that wait.
    pub waiting: Vec<WaitingWatch>,
    /// The calls so far.
    pub calls: PlatformCalls,
}

impl PlatformDouble {
    /// Returns the head.
    pub fn head(&self) -> Head {
        self.records
            .last()
            .map_or_else(Head::default, |record| record.header.head())
    }

    /// Returns the notes after `number`.
    pub fn after(&self, number: NoteNumber) -> Vec<StoredNote> {
        let mut records = Vec::new();
        for record in &self.records {
            if record.header.number > number {
                records.push(record.clone());
            }
        }
        records
    }
}

/// Something that happens at a point in virtual time.
#[derive(Clone, Debug)]
pub enum Happening {
    /// A daemon's ticker fires.
    Tick(HostId, u32),
    /// A digest arrives that asks for an answer.
    Request(Call, Box<PeerDigest>),
    /// A digest arrives that answers a call.
    Answer(Call, Box<PeerDigest>),
    /// A caller stops waiting for an answer.
    TimedOut(Call),
    /// A request for notes arrives.
    NotesRequest(Call, NotesRequest),
    /// Notes arrive.
    Notes(HostId, u32, NoteSource, Box<NotesAnswer>),
    /// The platform's answer about the head arrives.
    PlatformHead(HostId, u32, Head, TimeMs, DurationMs),
    /// The platform gives up the waiting watches that began then.
    WatchEnds(HostId, u32, TimeMs),
    /// A call to the platform fails.
    PlatformFailed(HostId, u32),
}

/// A call between two daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Distinguishes the call.
    pub id: u64,
    /// Who calls.
    pub from: HostId,
    /// The start of the caller.
    pub from_start: u32,
    /// Who is called.
    pub to: HostId,
    /// When the call was sent.
    pub sent_at: TimeMs,
}

/// The daemons, the platform and the network between them.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The virtual time.
    pub now: TimeMs,
    /// The daemons by name.
    pub daemons: Table<HostId, DaemonRow>,
    /// The platform.
    pub platform: PlatformDouble,
    /// What goes wrong.
    pub faults: Faults,
    /// The notes by their text, in place of a parser.
    pub texts: Table<Box<str>, Note>,
    /// Whether the bytes of messages are measured.
    pub measure_bytes: bool,
    /// The calls without an answer so far.
    pub open_calls: BTreeSet<u64>,
    /// What is going to happen, in order.
    pub queue: BTreeMap<(TimeMs, u64), Happening>,
    /// Numbers calls and happenings.
    pub sequence: u64,
    /// The source of randomness.
    pub rng: Pcg64,
}

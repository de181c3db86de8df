//! The state of a simulated fleet.

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

/// The parameters of a simulated fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetPlan {
    /// The number of daemons.
    pub daemons: u32,
    /// The number of failure domains.
    pub domains: u32,
    /// The share of messages that are lost.
    pub loss: f64,
    /// The seed of the random number generator.
    pub seed: u64,
}

/// A simulated daemon.
#[derive(Clone, Debug)]
pub struct DaemonRow {
    /// The peers that the daemon knows.
    pub membership: Membership,
    /// The note log and the state of its replication.
    pub replication: NoteReplication,
    /// Whether the process runs.
    pub running: bool,
    /// The number of the current process, which changes when the daemon is killed
    /// or restarted. Events for an earlier process are dropped.
    pub process_number: u32,
    /// When the process last ended; only meaningful while it does not run.
    pub stopped_at: TimeMs,
    /// When the daemon next reads the host list.
    pub host_list_at: TimeMs,
    /// The encoded bytes of delivered messages from the daemon, counted while
    /// `Fleet::measure_bytes` is set.
    pub sent_bytes: u64,
    /// The encoded bytes of delivered messages to the daemon, counted while
    /// `Fleet::measure_bytes` is set.
    pub received_bytes: u64,
    /// The number of exchanges that the daemon started.
    pub exchanges: u64,
}

/// The network faults of a simulated fleet.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The share of messages that are lost.
    pub loss: f64,
    /// Pairs of sender and receiver whose messages are all lost, in this direction
    /// only.
    pub cut_links: BTreeSet<(HostId, HostId)>,
    /// The hosts on one side of a network partition: messages between them and all
    /// other hosts are lost in both directions.
    pub partitioned_hosts: BTreeSet<HostId>,
    /// The hosts that can't reach the platform.
    pub platform_cut_hosts: BTreeSet<HostId>,
}

/// A long-polling watch of the head that the platform has not answered yet.
#[derive(Clone, Debug)]
pub struct WaitingWatch {
    /// The host that watches.
    pub host: HostId,
    /// The `DaemonRow::process_number` of the process that watches.
    pub process_number: u32,
    /// When the call was sent.
    pub sent_at: TimeMs,
    /// The last head that the daemon knew when it sent the call.
    pub known: Head,
}

/// The numbers of calls to the platform by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformCalls {
    /// Reads of the head.
    pub read_head: u64,
    /// Watches of the head.
    pub watch_head: u64,
    /// Reads of notes.
    pub read_notes: u64,
    /// Writes of notes that a restored platform lacks.
    pub write_back: u64,
    /// Reads of the host list.
    pub read_hosts: u64,
}

/// A test double of the platform that implements what the fleet needs.
#[derive(Clone, Debug, Default)]
pub struct SimulatedPlatform {
    /// Whether the platform answers.
    pub up: bool,
    /// The notes in order of their numbers.
    pub records: Vec<StoredNote>,
    /// The configuration after the last note.
    pub config: ConfigTables,
    /// The watches that are not answered yet.
    pub waiting: Vec<WaitingWatch>,
    /// The numbers of calls since the last reset.
    pub calls: PlatformCalls,
}

impl SimulatedPlatform {
    /// Returns the head of the note log, or the default without any note.
    pub fn head(&self) -> Head {
        self.records
            .last()
            .map_or_else(Head::default, |record| record.header.head())
    }

    /// Returns the notes with a higher number than `number`.
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

/// An event of the simulation. A host with a number names a process by its
/// `DaemonRow::process_number`.
#[derive(Clone, Debug)]
pub enum Event {
    /// A daemon's ticker fires.
    Tick(HostId, u32),
    /// The digest that starts an exchange arrives.
    Request(Call, Box<PeerDigest>),
    /// The digest that answers an exchange arrives.
    Answer(Call, Box<PeerDigest>),
    /// The timeout of an exchange ends.
    TimedOut(Call),
    /// A request for notes arrives.
    NotesRequest(Call, NotesRequest),
    /// Notes arrive.
    Notes(HostId, u32, NoteSource, Box<NotesAnswer>),
    /// The platform's answer about the head arrives. The times are when the call
    /// was sent and how long the platform held it.
    PlatformHead(HostId, u32, Head, TimeMs, DurationMs),
    /// The wait time of a watch that was sent at the given time ends.
    WatchEnds(HostId, u32, TimeMs),
    /// A daemon finds that its call to the platform failed.
    PlatformFailed(HostId, u32),
}

/// A call from one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Identifies an exchange; 0 for other calls.
    pub id: u64,
    /// The host that sends the call.
    pub from: HostId,
    /// The `DaemonRow::process_number` of the process that sends the call.
    pub from_process_number: u32,
    /// The host that receives the call.
    pub to: HostId,
    /// When the call was sent.
    pub sent_at: TimeMs,
}

/// The simulated daemons, the platform and the network between them.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The current virtual time.
    pub now: TimeMs,
    /// The daemons by host.
    pub daemons: Table<HostId, DaemonRow>,
    /// The platform.
    pub platform: SimulatedPlatform,
    /// The network faults.
    pub faults: Faults,
    /// The notes by their text; looked up instead of parsing the text.
    pub notes_by_text: Table<Box<str>, Note>,
    /// Whether the sizes of messages are counted.
    pub measure_bytes: bool,
    /// The IDs of the exchanges that were neither answered nor timed out.
    pub open_calls: BTreeSet<u64>,
    /// The future events by time and sequence number.
    pub queue: BTreeMap<(TimeMs, u64), Event>,
    /// The last number given to a call or an event.
    pub sequence: u64,
    /// The random number generator.
    pub rng: Pcg64,
}

//! Creates a simulated fleet, and starts and stops its daemons.

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use agatehold_core::ids::HostId;
use agatehold_core::ids::Incarnation;
use agatehold_core::membership;
use agatehold_core::membership::Heartbeat;
use agatehold_core::membership::HostPhase;
use agatehold_core::membership::ListedHost;
use agatehold_core::membership::Membership;
use agatehold_core::membership::OwnRow;
use agatehold_core::membership::PeerRow;
use agatehold_core::membership::Standing;
use agatehold_core::note::Note;
use agatehold_core::replication;
use agatehold_core::replication::HeadConfirmation;
use agatehold_core::replication::NoteReplication;
use agatehold_core::table::Table;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

use crate::configs;
use crate::configs::ConfigSize;

use super::events;
use super::state::DaemonRow;
use super::state::Event;
use super::state::Faults;
use super::state::Fleet;
use super::state::FleetPlan;
use super::state::SimulatedPlatform;

/// The virtual time at which every simulation begins. It is not 0, so that times
/// before the beginning can be computed.
const BEGIN: TimeMs = TimeMs(100_000);

/// The ports for peers and for callers.
const PORTS: (u16, u16) = (7901, 7900);

fn own_row(number: u32, domains: u32, unix_ms: u64, rng: &mut Pcg64) -> OwnRow {
    OwnRow {
        id: configs::host(number),
        failure_domain: configs::domain(number % domains),
        peer_address: configs::address(number, PORTS.0),
        caller_address: configs::address(number, PORTS.1),
        incarnation: membership::new_incarnation(unix_ms, rng),
        heartbeat: Heartbeat(0),
        phase: HostPhase::Serving,
    }
}

/// Returns a daemon's entry in settings and in the platform's host list.
pub fn host_list_entry(own: &OwnRow) -> ListedHost {
    ListedHost {
        id: own.id.clone(),
        failure_domain: own.failure_domain.clone(),
        peer_address: own.peer_address,
        caller_address: Some(own.caller_address),
        leaving: false,
    }
}

/// Creates a fleet in which all daemons serve the configuration of `base` and
/// know each other.
///
/// # Panics
///
/// Panics if `base` can't be applied to an empty configuration.
pub fn converged_fleet(plan: FleetPlan, base: &Note) -> Fleet {
    let mut fleet = Fleet {
        now: BEGIN,
        daemons: Table::new(),
        platform: SimulatedPlatform {
            up: true,
            ..SimulatedPlatform::default()
        },
        faults: Faults {
            loss: plan.loss,
            ..Faults::default()
        },
        notes_by_text: Table::new(),
        measure_bytes: false,
        open_calls: Default::default(),
        queue: Default::default(),
        sequence: 0,
        rng: Pcg64::seed_from_u64(plan.seed),
    };
    events::release_note(&mut fleet, "base", base.clone());
    let mut log = NoteReplication::default();
    let notes_by_text = &fleet.notes_by_text;
    let (taken, fault) = replication::accept(&mut log.log, &fleet.platform.records, |text| {
        notes_by_text.get(&Box::from(text)).cloned()
    });
    assert_eq!((taken, fault), (1, None), "the base note must be accepted");
    log.start.done = true;
    log.published = Some(log.log.head);
    log.majority_at = Some(BEGIN);
    log.confirmation = Some(HeadConfirmation {
        head: log.log.head,
        at: BEGIN,
    });
    let mut owns = Vec::new();
    for number in 0..plan.daemons {
        owns.push(own_row(number, plan.domains, BEGIN.0, &mut fleet.rng));
    }
    let mut peers = Table::new();
    for own in &owns {
        peers.insert(own.id.clone(), peer_row(own, &log));
    }
    for own in owns {
        let mut membership = membership::start(own.clone(), &[], BEGIN);
        membership.peers = peers.clone();
        membership.peers.remove(&own.id);
        membership.ring_changed = true;
        membership.last_contact = Some(BEGIN);
        // The daemons' exchanges are spread over time, as if the daemons had
        // started at different times.
        membership.plan.next_at = BEGIN + DurationMs(fleet.rng.random_range(0..1_000));
        membership.plan.turn = fleet.rng.random_range(0..64);
        add_daemon(&mut fleet, membership, log.clone(), 0);
    }
    fleet
}

/// Creates a fleet like [`converged_fleet`] with the configuration size of
/// Certiverde and runs it for five seconds, so that the daemons have exchanged
/// digests.
pub fn warmed_up_fleet(plan: FleetPlan) -> Fleet {
    let mut fleet = converged_fleet(plan, &configs::base_note(&ConfigSize::certiverde()));
    let warmed_up_at = fleet.now + DurationMs(5_000);
    events::advance(&mut fleet, warmed_up_at);
    fleet
}

fn peer_row(own: &OwnRow, log: &NoteReplication) -> PeerRow {
    PeerRow {
        failure_domain: own.failure_domain.clone(),
        peer_address: own.peer_address,
        caller_address: Some(own.caller_address),
        incarnation: own.incarnation,
        heartbeat: own.heartbeat,
        phase: own.phase,
        standing: Standing::Alive,
        head: log.log.head.number,
        last_heard: Some(BEGIN),
        last_contact: Some(BEGIN),
        own_failure: None,
        listed: true,
        listed_leaving: false,
        sends_left: 0,
        ring_position: membership::ring_position(&own.id),
    }
}

fn add_daemon(
    fleet: &mut Fleet,
    membership: Membership,
    replication: NoteReplication,
    process_number: u32,
) {
    let id = membership.own.id.clone();
    // Daemons read the host list at different times of the period.
    let period = membership::host_list_period(&membership, false).0;
    let row = DaemonRow {
        membership,
        replication,
        running: true,
        process_number,
        stopped_at: TimeMs(0),
        host_list_at: fleet.now + DurationMs(fleet.rng.random_range(0..period)),
        sent_bytes: 0,
        received_bytes: 0,
        exchanges: 0,
    };
    fleet.daemons.insert(id.clone(), row);
    let first_tick_ms = fleet.rng.random_range(0..100);
    let at = fleet.now + DurationMs(first_tick_ms);
    events::schedule(fleet, at, Event::Tick(id, process_number));
}

/// Kills a daemon; messages on their way to it are lost.
pub fn kill(fleet: &mut Fleet, host: &HostId) {
    let now = fleet.now;
    if let Some(row) = fleet.daemons.get_mut(host) {
        row.stopped_at = now;
        row.running = false;
        row.process_number += 1;
    }
}

/// Starts a daemon again without state and with the same addresses.
///
/// Its settings list all other hosts of the fleet.
pub fn restart(fleet: &mut Fleet, host: &HostId) {
    let Some(row) = fleet.daemons.get(host) else {
        return;
    };
    let process_number = row.process_number + 1;
    let mut own = row.membership.own.clone();
    own.incarnation = membership::new_incarnation(fleet.now.0, &mut fleet.rng);
    own.incarnation = own.incarnation.max(Incarnation(1));
    own.heartbeat = Heartbeat(0);
    own.phase = HostPhase::Starting;
    let mut known = Vec::new();
    for (id, other) in fleet.daemons.rows() {
        if id != host {
            known.push(host_list_entry(&other.membership.own));
        }
    }
    let membership = membership::start(own, &known, fleet.now);
    add_daemon(
        fleet,
        membership,
        NoteReplication::default(),
        process_number,
    );
}

//! Tests the floor: whatever the interleaving of reads, writes, gossip, pauses
//! and lost targets, the daemons together never exclude so many targets that
//! fewer than the floor's number of live ones remain in use.

use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use agatehold_core::config::ConfigTables;
use agatehold_core::config::ServiceRow;
use agatehold_core::ejection::LiveView;
use agatehold_core::ejection::PermitChange;
use agatehold_core::ejection::PermitRecord;
use agatehold_core::ejection::PermitState;
use agatehold_core::ejection::PermitTables;
use agatehold_core::ejection::confirm_record;
use agatehold_core::ejection::next_record;
use agatehold_core::ejection::remove_returned_entries;
use agatehold_core::ejection::write_exclusions;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TargetName;
use agatehold_core::routing::TargetCell;
use agatehold_core::table::Table;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TargetCount;
use agatehold_core::units::TimeMs;

const DAEMONS: usize = 48;
const TARGETS: u8 = 6;
const FLOOR: TargetCount = TargetCount(3);
const SECOND_MS: u64 = 1_000;
/// How long until the loss of a target affects all exclusions: the host list lags
/// by 10 s, and an exclusion may be based on a view of up to 15 s of age.
const LOSS_KNOWN_MS: DurationMs = DurationMs(25_000);
const LIST_LAG_MS: DurationMs = DurationMs(10_000);

/// One step of the fleet; `mask` selects the daemons that take part.
#[derive(Clone, Debug)]
enum Step {
    Wait(u8),
    Read {
        mask: u64,
        delay_s: u8,
    },
    Gossip {
        mask: u64,
        offset: u8,
        delay_s: u8,
    },
    /// The daemons in `mask` read the host list. Those in `blind` can't reach one
    /// of the targets.
    List {
        mask: u64,
        lag_s: u8,
        delay_s: u8,
        blind: u64,
    },
    Write(RequestedChange, Writer),
    Pause {
        mask: u64,
        length_s: u8,
    },
    /// The daemons begin no read and no exchange for a time.
    Disconnect {
        mask: u64,
        length_s: u8,
    },
    Platform {
        up: bool,
    },
    /// A target crashes.
    LoseTarget(u8),
    /// A lost target is live again.
    RecoverTarget(u8),
}

#[derive(Clone, Copy, Debug)]
enum RequestedChange {
    Eject(u8),
    Return(u8),
    Remove,
}

/// The daemon that writes, whether it reads the record first, how long the write
/// is delayed and whether its answer is lost.
#[derive(Clone, Copy, Debug)]
struct Writer {
    daemon: u8,
    reads: bool,
    delay_s: u8,
    lost: bool,
}

fn writer() -> impl Strategy<Value = Writer> {
    let daemon = 0..u8::try_from(DAEMONS).expect("at most 255 daemons");
    let draw = (daemon, prop::bool::weighted(0.8), delay(), any::<bool>());
    draw.prop_map(|(daemon, reads, delay_s, lost)| Writer {
        daemon,
        reads,
        delay_s,
        lost,
    })
}

fn delay() -> impl Strategy<Value = u8> {
    prop_oneof![4 => Just(0u8), 1 => 0..30u8]
}

fn requested_change() -> impl Strategy<Value = RequestedChange> {
    prop_oneof![
        3 => (0..TARGETS).prop_map(RequestedChange::Eject),
        2 => (0..TARGETS).prop_map(RequestedChange::Return),
        3 => Just(RequestedChange::Remove),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let few = || (any::<u64>(), any::<u64>(), any::<u64>()).prop_map(|(a, b, c)| a & b & c);
    let most = || (any::<u64>(), any::<u64>()).prop_map(|(a, b)| a | b);
    prop_oneof![
        8 => (1..5u8).prop_map(Step::Wait),
        4 => (most(), delay()).prop_map(|(mask, delay_s)| Step::Read { mask, delay_s }),
        2 => (any::<u64>(), 1..48u8, delay())
            .prop_map(|(mask, offset, delay_s)| Step::Gossip { mask, offset, delay_s }),
        4 => (most(), 0..10u8, delay(), few()).prop_map(|(mask, lag_s, delay_s, blind)| Step::List { mask, lag_s, delay_s, blind }),
        12 => (requested_change(), writer()).prop_map(|(requested, writer)| Step::Write(requested, writer)),
        1 => (few(), 1..40u8).prop_map(|(mask, length_s)| Step::Pause { mask, length_s }),
        1 => (few(), 1..25u8).prop_map(|(mask, length_s)| Step::Disconnect { mask, length_s }),
        1 => prop::bool::weighted(0.8).prop_map(|up| Step::Platform { up }),
        1 => (0..TARGETS).prop_map(Step::LoseTarget),
        1 => (0..TARGETS).prop_map(Step::RecoverTarget),
    ]
}

/// A message in transit to a daemon or to the platform.
#[derive(Clone)]
enum Message {
    Record {
        record: PermitRecord,
        started_at: TimeMs,
    },
    List(LiveView),
    Write {
        base: PermitRecord,
        next: PermitRecord,
        started_at: TimeMs,
        lost: bool,
    },
}

struct Daemon {
    permits: PermitTables,
    view: Option<LiveView>,
    cells: Table<TargetName, Arc<TargetCell>>,
    paused_until: TimeMs,
    /// Until this time the daemon begins no read and no exchange.
    disconnected_until: TimeMs,
}

struct Fleet {
    now: TimeMs,
    config: ConfigTables,
    service: ServiceName,
    platform: PermitRecord,
    platform_up: bool,
    daemons: Vec<Daemon>,
    /// Messages in transit, with their arrival time and receiver (for a write, the
    /// daemon that sent it).
    in_transit: Vec<(TimeMs, usize, Message)>,
    /// When each lost target was lost.
    lost_at: Table<TargetName, TimeMs>,
    /// When each live target became live.
    live_since: Table<TargetName, TimeMs>,
    ejections: usize,
}

fn target(number: u8) -> TargetName {
    format!("certificates-{number}")
        .parse()
        .expect("a valid name")
}

fn selected(mask: u64) -> impl Iterator<Item = usize> {
    (0..DAEMONS).filter(move |daemon| (mask >> daemon) & 1 == 1)
}

/// Returns one of the targets whose entry in `record` has `state`, or, for
/// `None`, one of the targets without an entry.
fn choose(record: &PermitRecord, state: Option<PermitState>, choice: u8) -> Option<TargetName> {
    let candidates: Vec<_> = (0..TARGETS)
        .map(target)
        .filter(|name| record.entries.get(name).map(|entry| entry.state) == state)
        .collect();
    candidates
        .get(usize::from(choice) % candidates.len().max(1))
        .cloned()
}

impl Fleet {
    fn new() -> Self {
        let service: ServiceName = "certificates".parse().expect("a valid name");
        let mut config = ConfigTables::default();
        let row = ServiceRow {
            floor: FLOOR,
            ..ServiceRow::default()
        };
        config.services.insert(service.clone(), row);
        let mut fleet = Self {
            now: TimeMs(100_000),
            config,
            service,
            platform: PermitRecord::default(),
            platform_up: true,
            daemons: Vec::new(),
            in_transit: Vec::new(),
            lost_at: Table::new(),
            live_since: (0..TARGETS)
                .map(|number| (target(number), TimeMs(0)))
                .collect(),
            ejections: 0,
        };
        for _ in 0..DAEMONS {
            fleet.daemons.push(Daemon {
                permits: PermitTables::default(),
                view: None,
                cells: (0..TARGETS)
                    .map(|number| (target(number), Arc::default()))
                    .collect(),
                paused_until: TimeMs(0),
                disconnected_until: TimeMs(0),
            });
        }
        for daemon in 0..DAEMONS {
            fleet.send_list(daemon, 0, 0, false);
            let record = PermitRecord::default();
            fleet.deliver(
                daemon,
                Message::Record {
                    record,
                    started_at: TimeMs(70_000),
                },
            );
        }
        fleet.now = TimeMs(130_000);
        fleet
    }

    /// Returns the targets that are live or were lost after `at`.
    fn live_at(&self, at: TimeMs) -> BTreeSet<TargetName> {
        let live = self.live_since.keys().cloned();
        let lost = self.lost_at.rows().filter(|(_, lost_at)| **lost_at > at);
        live.chain(lost.map(|(name, _)| name.clone())).collect()
    }

    fn send(&mut self, to: usize, delay_s: u8, message: Message) {
        let at = self.now + DurationMs(u64::from(delay_s) * SECOND_MS);
        self.in_transit.push((at, to, message));
    }

    fn send_list(&mut self, daemon: usize, lag_s: u8, delay_s: u8, blind: bool) {
        let lag = DurationMs(u64::from(lag_s) * SECOND_MS).min(LIST_LAG_MS);
        let mut targets = self.live_at(self.now - lag);
        if blind {
            targets.remove(&target(u8::try_from(daemon).unwrap_or(0) % TARGETS));
        }
        let view = LiveView {
            targets,
            as_of: self.now,
        };
        self.send(daemon, delay_s, Message::List(view));
    }

    fn deliver(&mut self, to: usize, message: Message) {
        let now = self.now;
        match message {
            Message::Write {
                base,
                next,
                started_at,
                lost,
            } => {
                if !self.platform_up || self.platform != base {
                    return;
                }
                self.ejections += next.entries.len().saturating_sub(base.entries.len());
                self.platform = next.clone();
                if !lost {
                    self.send(
                        to,
                        0,
                        Message::Record {
                            record: next,
                            started_at,
                        },
                    );
                }
            }
            Message::Record { record, started_at } => {
                let permits = &mut self.daemons[to].permits;
                confirm_record(permits, &self.service, &record, started_at, now);
            }
            Message::List(view) => {
                let held = &mut self.daemons[to].view;
                if held.as_ref().is_none_or(|held| held.as_of < view.as_of) {
                    *held = Some(view);
                }
            }
        }
    }

    /// Delivers the messages that are due and updates the exclusions of every
    /// daemon that is not paused.
    fn tick(&mut self) {
        let now = self.now;
        let mut position = 0;
        while position < self.in_transit.len() {
            let (at, to, message) = &self.in_transit[position];
            let to_platform = matches!(message, Message::Write { .. });
            if *at > now || (!to_platform && self.daemons[*to].paused_until > now) {
                position += 1;
                continue;
            }
            let (_, to, message) = self.in_transit.remove(position);
            self.deliver(to, message);
        }
        for daemon in &self.daemons {
            if daemon.paused_until <= now {
                let view_of = |_: &ServiceName| daemon.view.clone();
                write_exclusions(&daemon.permits, &self.config, &daemon.cells, now, view_of);
            }
        }
    }

    /// Checks that enough live targets are excluded by no daemon.
    fn check(&self) -> Result<(), TestCaseError> {
        let mut excluded = BTreeSet::new();
        for daemon in &self.daemons {
            if daemon.paused_until > self.now {
                continue;
            }
            let cells = daemon.cells.rows();
            excluded.extend(
                cells
                    .filter(|(_, cell)| cell.is_excluded(self.now))
                    .map(|(name, _)| name),
            );
        }
        let live = self.live_at(self.now - LOSS_KNOWN_MS);
        let capacity = live.iter().filter(|name| !excluded.contains(name)).count();
        let floor = usize::try_from(FLOOR.0)
            .expect("a small floor")
            .min(live.len());
        prop_assert!(
            capacity >= floor,
            "only {capacity} of {} live targets are in use at {}, excluded: {excluded:?}",
            live.len(),
            self.now
        );
        Ok(())
    }

    fn run(&mut self, step: &Step) -> Result<(), TestCaseError> {
        let now = self.now;
        match *step {
            Step::Wait(seconds) => {
                for _ in 0..seconds {
                    self.now = self.now + DurationMs(SECOND_MS);
                    // A daemon that resumes from a pause may choose targets before
                    // its next tick.
                    self.check()?;
                    self.tick();
                    self.check()?;
                }
            }
            Step::Read { mask, delay_s } => {
                for daemon in selected(mask) {
                    if self.reaches_platform(daemon) {
                        let (record, started_at) = (self.platform.clone(), now);
                        self.send(daemon, delay_s, Message::Record { record, started_at });
                    }
                }
            }
            Step::Gossip {
                mask,
                offset,
                delay_s,
            } => {
                for daemon in selected(mask) {
                    let peer = &self.daemons[(daemon + usize::from(offset)) % DAEMONS];
                    let awake =
                        peer.paused_until <= now && self.daemons[daemon].disconnected_until <= now;
                    let Some(held) = peer.permits.records.get(&self.service).filter(|_| awake)
                    else {
                        continue;
                    };
                    let record = held.record.clone();
                    let started_at = held.confirmed_at;
                    self.send(daemon, delay_s, Message::Record { record, started_at });
                }
            }
            Step::List {
                mask,
                lag_s,
                delay_s,
                blind,
            } => {
                for daemon in selected(mask) {
                    self.send_list(daemon, lag_s, delay_s, (blind >> daemon) & 1 == 1);
                }
            }
            Step::Write(requested, writer) => self.write(requested, writer),
            Step::Disconnect { mask, length_s } => {
                for daemon in selected(mask) {
                    self.daemons[daemon].disconnected_until =
                        now + DurationMs(u64::from(length_s) * SECOND_MS);
                }
            }
            Step::Pause { mask, length_s } => {
                for daemon in selected(mask) {
                    self.daemons[daemon].paused_until =
                        now + DurationMs(u64::from(length_s) * SECOND_MS);
                }
            }
            Step::Platform { up } => self.platform_up = up,
            Step::LoseTarget(number) => {
                if self.live_since.remove(&target(number)).is_some() {
                    self.lost_at.insert(target(number), now);
                }
            }
            Step::RecoverTarget(number) => {
                self.lost_at.remove(&target(number));
                self.live_since.insert(target(number), now);
            }
        }
        self.tick();
        self.check()
    }

    /// Lets a daemon build the next record from its copy and write it.
    fn write(&mut self, requested: RequestedChange, writer: Writer) {
        let daemon = usize::from(writer.daemon);
        let now = self.now;
        if writer.reads && self.reaches_platform(daemon) {
            let (record, started_at) = (self.platform.clone(), now);
            self.deliver(daemon, Message::Record { record, started_at });
        }
        let state = &self.daemons[daemon];
        let (Some(held), Some(view)) = (state.permits.records.get(&self.service), &state.view)
        else {
            return;
        };
        let change = match requested {
            RequestedChange::Eject(choice) => {
                // A returning target may be ejected again.
                let outside = choose(&held.record, None, choice);
                let returning = choose(&held.record, Some(PermitState::Returning), choice);
                let target = if choice == 0 {
                    returning.or(outside)
                } else {
                    outside
                };
                target.map(|target| PermitChange::Eject {
                    target,
                    hold_ms: DurationMs(0),
                })
            }
            RequestedChange::Return(choice) => {
                choose(&held.record, Some(PermitState::Ejected), choice)
                    .map(|target| PermitChange::Return { target })
            }
            RequestedChange::Remove => None,
        };
        let next = match change {
            Some(change) => next_record(held, &change, view, FLOOR, now),
            None => remove_returned_entries(held, now),
        };
        let Some(next) = next else {
            return;
        };
        let message = Message::Write {
            base: held.record.clone(),
            next,
            started_at: now,
            lost: writer.lost,
        };
        self.send(daemon, writer.delay_s, message);
    }

    fn reaches_platform(&self, daemon: usize) -> bool {
        let state = &self.daemons[daemon];
        self.platform_up && state.paused_until <= self.now && state.disconnected_until <= self.now
    }
}

fn config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        max_shrink_iters: 2_000,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(160, 8))]

    /// Guards against the fleet excluding more targets than the floor allows when
    /// the platform is unavailable, answers are lost, daemons are paused and
    /// messages are delayed or reordered, whatever changes daemons want and
    /// whichever targets are lost.
    #[test]
    fn exclusions_keep_the_floor(steps in vec(step(), 60..200)) {
        let mut fleet = Fleet::new();
        for step in &steps {
            fleet.run(step)?;
        }
    }
}

/// Checks that the simulation reaches the maximum number of ejections; otherwise
/// the property test above would hold without testing anything.
#[test]
fn interleavings_reach_full_ejection() {
    let mut fleet = Fleet::new();
    let all = u64::MAX;
    for number in 0..TARGETS {
        let writer = Writer {
            daemon: number,
            reads: true,
            delay_s: 0,
            lost: false,
        };
        fleet
            .run(&Step::List {
                mask: all,
                lag_s: 0,
                delay_s: 0,
                blind: 0,
            })
            .unwrap();
        fleet
            .run(&Step::Write(RequestedChange::Eject(number), writer))
            .unwrap();
        fleet.run(&Step::Wait(1)).unwrap();
    }
    assert_eq!(fleet.ejections, 3);
    assert_eq!(fleet.platform.entries.len(), 3);
}

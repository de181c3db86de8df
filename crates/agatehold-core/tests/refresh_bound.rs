//! Tests that a daemon which the store serves knows each change in time, and does not read
//! the store too often, whatever other daemons announce.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use agatehold_core::dissemination::Confirmations;
use agatehold_core::dissemination::FETCH_TIMEOUT_MS;
use agatehold_core::dissemination::HEARTBEAT_INTERVAL_MS;
use agatehold_core::dissemination::HEARTBEAT_TIMEOUT_MS;
use agatehold_core::dissemination::HeartbeatTable;
use agatehold_core::dissemination::ReadReason;
use agatehold_core::dissemination::Refresh;
use agatehold_core::dissemination::RefreshInputs;
use agatehold_core::dissemination::Refresher;
use agatehold_core::dissemination::Revisions;
use agatehold_core::dissemination::STORE_CHECK_INTERVAL_MS;
use agatehold_core::dissemination::SentTime;
use agatehold_core::dissemination::StoreHeartbeat;
use agatehold_core::dissemination::WatchedGroup;
use agatehold_core::dissemination::read_due_at;
use agatehold_core::ids::HostId;
use agatehold_core::units::DurationMs;
use agatehold_core::units::StoreEra;
use agatehold_core::units::StoreRevision;
use agatehold_core::units::TimeMs;

/// The time within which a daemon that the store serves must know a change
/// (`config_propagation` and `drain` of the smallest deployments).
const PROPAGATION_MS: u64 = 2_000;

/// The longest read of the store: a page each of the configuration and the targets, and
/// decoding them on a fifth of a core.
const READ_MS_MAX: u64 = 400;

/// The maximum time between two iterations of the control loop.
const TICK_MS: u64 = 500;

/// The time at which a simulation starts, and how long it takes.
const START_MS: u64 = 100_000;
const LENGTH_MS: u64 = 30_000;

/// How long delayed heartbeats are on their way.
const DELAY_MS: u64 = 1_500;

/// How far the senders' clocks are ahead.
const CLOCK_OFFSET_MS: u64 = 7_000_000;

/// What is wrong with a sender of heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sender {
    /// Nothing: the store serves it, and it answers.
    Served,
    /// The store turns it away since a while, and it answers.
    TurnedAway,
    /// The store turns it away since a while, and its heartbeats are delayed by then.
    Delayed,
    /// It is always ahead, and its address is unknown.
    WithoutAddress,
    /// It is always ahead, and its host is down: connections are reset.
    Gone,
    /// It is always ahead, and fetches from it time out.
    Slow,
    /// It is ahead with its registered daemons only, and fetches from it time out.
    SlowAheadWithMembers,
    /// It sends nothing.
    Silent,
    /// It knows an older era of the store only.
    OfOlderEra,
}

const FAULTS: [Sender; 8] = [
    Sender::TurnedAway,
    Sender::Delayed,
    Sender::WithoutAddress,
    Sender::Gone,
    Sender::Slow,
    Sender::SlowAheadWithMembers,
    Sender::Silent,
    Sender::OfOlderEra,
];

impl Sender {
    /// Returns whether it announces newer contents than any that exist.
    const fn is_always_ahead(self) -> bool {
        matches!(self, Self::WithoutAddress | Self::Gone | Self::Slow)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Heartbeat(usize),
    Tick,
    Wake,
    ReadEnded { revision: u64 },
    Fetched { revision: u64 },
    FetchFailed(usize),
    Changed { revision: u64 },
}

/// What a simulated daemon did.
struct Outcome {
    /// The longest time from a change until the daemon knew it.
    known_after_ms: u64,
    /// The number of reads of the store.
    reads: u64,
    /// The shortest time between the begins of two reads.
    read_gap_ms: u64,
}

fn at(revision: u64) -> StoreRevision {
    StoreRevision::new(StoreEra(1), revision).expect("a revision")
}

fn of_older_era() -> StoreRevision {
    StoreRevision::new(StoreEra(0), 9_000).expect("a revision")
}

fn name(number: usize) -> HostId {
    format!("sender-{number}").parse().expect("a name")
}

/// Simulates a daemon that hears `senders`, of which the first half is in its own failure
/// domain, while the store's contents change at `changes`.
fn simulate(senders: &[Sender], changes: &[u64], rng: &mut Pcg64Mcg) -> Outcome {
    let own_host: HostId = "own".parse().expect("a name");
    let mut heartbeats = HeartbeatTable::new(&own_host);
    heartbeats.raise_era(StoreEra(1));
    let mut refresher = Refresher::default();
    refresher.put_off_read(TimeMs(START_MS));
    let mut queue = BinaryHeap::new();
    queue.push(Reverse((START_MS, Event::Tick)));
    for (number, change_ms) in changes.iter().enumerate() {
        let revision = number as u64 + 2;
        queue.push(Reverse((*change_ms, Event::Changed { revision })));
    }
    let mut phases = Vec::new();
    for (number, sender) in senders.iter().enumerate() {
        // When the store last answers those that it turns away, and the phase of the
        // heartbeats and renewals of all.
        let phase_ms = rng.random_range(0..LENGTH_MS);
        if *sender != Sender::Silent {
            let first_ms = START_MS + phase_ms % HEARTBEAT_INTERVAL_MS.0;
            queue.push(Reverse((first_ms, Event::Heartbeat(number))));
        }
        phases.push(phase_ms);
    }
    let (mut stored, mut known) = (1, 1);
    let mut changed_at_ms = START_MS;
    let mut woken_at_ms = 0;
    let mut outcome = Outcome {
        known_after_ms: 0,
        reads: 0,
        read_gap_ms: u64::MAX,
    };
    while let Some(Reverse((now_ms, event))) = queue.pop() {
        if now_ms > START_MS + LENGTH_MS {
            break;
        }
        let now = TimeMs(now_ms);
        let known_before = known;
        match event {
            Event::Changed { revision } => {
                assert_eq!(known, stored, "changes are further apart than the bound");
                stored = revision;
                changed_at_ms = now_ms;
                for (number, sender) in senders.iter().enumerate() {
                    if *sender == Sender::Served {
                        queue.push(Reverse((now_ms + 10, Event::Heartbeat(number))));
                    }
                }
                continue;
            }
            Event::Tick => queue.push(Reverse((now_ms + TICK_MS, Event::Tick))),
            Event::Wake => {}
            Event::ReadEnded { revision } => {
                refresher.end_read(now);
                known = known.max(revision);
            }
            Event::Fetched { revision } => {
                refresher.end_fetch(false);
                known = known.max(revision);
            }
            Event::FetchFailed(sender) => {
                refresher.end_fetch(true);
                heartbeats.rows.remove(&name(sender));
            }
            Event::Heartbeat(number) => {
                let sender = senders[number];
                let is_regular = (now_ms - START_MS) % HEARTBEAT_INTERVAL_MS.0
                    == phases[number] % HEARTBEAT_INTERVAL_MS.0;
                if is_regular {
                    let next_ms = now_ms + HEARTBEAT_INTERVAL_MS.0;
                    queue.push(Reverse((next_ms, Event::Heartbeat(number))));
                }
                let lost_at_ms = START_MS + phases[number];
                let is_lost_now = now_ms > lost_at_ms;
                let sent_ms = match sender == Sender::Delayed && is_lost_now {
                    true => now_ms - DELAY_MS,
                    false => now_ms,
                };
                let is_turned_away =
                    matches!(sender, Sender::TurnedAway | Sender::Delayed) && sent_ms > lost_at_ms;
                let answered_ms = match is_turned_away {
                    true => lost_at_ms,
                    false => sent_ms - (sent_ms + phases[number]) % STORE_CHECK_INTERVAL_MS.0,
                };
                // A sender that watches knows a change at once.
                let known_to_ms = if is_turned_away { lost_at_ms } else { sent_ms };
                let sees_change = changed_at_ms <= known_to_ms;
                let contents = match sees_change {
                    true => stored,
                    false => stored - 1,
                };
                let contents = match sender {
                    _ if sender.is_always_ahead() => at(1_000 + now_ms),
                    Sender::OfOlderEra => of_older_era(),
                    _ => at(contents),
                };
                let members = match sender {
                    Sender::SlowAheadWithMembers => at(1_000 + now_ms),
                    Sender::OfOlderEra => of_older_era(),
                    _ => at(1),
                };
                let heartbeat = StoreHeartbeat {
                    host: name(number),
                    revisions: Revisions {
                        configuration: contents,
                        targets: contents,
                        members,
                    },
                    store_age_ms: DurationMs(sent_ms - answered_ms),
                    sent: Some(SentTime {
                        process: number as u16,
                        at: TimeMs(sent_ms + CLOCK_OFFSET_MS),
                    }),
                };
                heartbeats.record(&heartbeat, now);
            }
        }
        if known > known_before {
            outcome.known_after_ms = outcome.known_after_ms.max(now_ms - changed_at_ms);
        }
        let own = Revisions {
            configuration: at(known),
            targets: at(known),
            members: at(1),
        };
        heartbeats.confirm(&own);
        let number_of = |host: &HostId| {
            let numbered = (0..senders.len()).find(|number| name(*number) == *host);
            numbered.expect("a sender")
        };
        let inputs = RefreshInputs {
            own,
            read_not_before: TimeMs(0),
            is_store_available: true,
            prefers_fetch: false,
            may_wait_for_near: true,
            is_near: &|host| number_of(host) < senders.len() / 2,
            has_address: &|host| senders[number_of(host)] != Sender::WithoutAddress,
        };
        let read_at = refresher.read_at();
        match refresher.decide(&heartbeats, &inputs, now) {
            Refresh::Nothing => {}
            Refresh::ReadStore(_) => {
                outcome.reads += 1;
                outcome.read_gap_ms = outcome.read_gap_ms.min(now.since(read_at).0);
                let end_ms = now_ms + rng.random_range(8..=READ_MS_MAX);
                let revision = stored;
                queue.push(Reverse((end_ms, Event::ReadEnded { revision })));
            }
            Refresh::Fetch(hosts) => {
                for host in hosts {
                    let sender = number_of(&host);
                    let (end_ms, event) = match senders[sender] {
                        Sender::Gone => (now_ms + 1, Event::FetchFailed(sender)),
                        Sender::Slow | Sender::SlowAheadWithMembers => {
                            (now_ms + FETCH_TIMEOUT_MS.0, Event::FetchFailed(sender))
                        }
                        _ => (now_ms + 10, Event::Fetched { revision: stored }),
                    };
                    queue.push(Reverse((end_ms, event)));
                }
            }
        }
        // The control loop wakes when a read is due.
        let due = refresher.next_due(&heartbeats, &own, TimeMs(0), false);
        if let Some(due) = due.filter(|due| *due > now && now_ms > woken_at_ms) {
            woken_at_ms = now_ms;
            queue.push(Reverse((due.0, Event::Wake)));
        }
    }
    outcome
}

/// Returns times of changes that are further apart than the bound.
fn changes(rng: &mut Pcg64Mcg) -> Vec<u64> {
    let mut changes = Vec::new();
    let mut change_ms = START_MS + rng.random_range(1_000..4_000);
    while change_ms < START_MS + LENGTH_MS - PROPAGATION_MS {
        changes.push(change_ms);
        change_ms += PROPAGATION_MS + rng.random_range(1..3_000);
    }
    changes
}

/// The pattern: the store serves the daemon and none of those that send it heartbeats, or
/// these can't be fetched from. What a daemon hears does not grow with the fleet
/// (`every_daemon_hears_of_two_or_three_watching_daemons`); daemons that the others have not
/// registered yet come on top. Guards against a daemon that knows that its contents may be
/// too old and waits for others.
#[test]
fn a_served_daemon_knows_changes_in_time_whatever_others_announce() {
    let mut rng = Pcg64Mcg::seed_from_u64(5_011);
    for round in 0..400 {
        let count = rng.random_range(1..=8);
        let senders: Vec<Sender> = (0..count)
            .map(|_| FAULTS[rng.random_range(0..FAULTS.len())])
            .collect();
        let changes = changes(&mut rng);
        let outcome = simulate(&senders, &changes, &mut rng);
        let context = format!("round {round}, {senders:?}");
        assert!(
            outcome.known_after_ms <= PROPAGATION_MS,
            "{context}: known after {} ms",
            outcome.known_after_ms
        );
        // Each read has a price, however many daemons announce something.
        assert!(
            outcome.read_gap_ms > HEARTBEAT_TIMEOUT_MS.0,
            "{context}: reads {} ms apart",
            outcome.read_gap_ms
        );
    }
}

/// Guards against a fleet that reads the store in calm, or because others are turned away,
/// although each daemon hears from one that the store serves and can be fetched from.
#[test]
fn a_daemon_with_a_served_sender_does_not_read_the_store() {
    let harmless = [Sender::TurnedAway, Sender::Silent, Sender::OfOlderEra];
    let mut rng = Pcg64Mcg::seed_from_u64(5_012);
    for round in 0..200 {
        let mut senders = vec![Sender::Served];
        for _ in 0..rng.random_range(0..4) {
            senders.push(harmless[rng.random_range(0..harmless.len())]);
        }
        let changes = changes(&mut rng);
        let outcome = simulate(&senders, &changes, &mut rng);
        let context = format!("round {round}, {senders:?}");
        assert!(outcome.known_after_ms <= PROPAGATION_MS, "{context}");
        assert_eq!(outcome.reads, 0, "{context}");
    }
}

fn sent_heartbeat(process: u16, sent_ms: u64) -> StoreHeartbeat {
    StoreHeartbeat {
        host: name(0),
        revisions: Revisions::default(),
        store_age_ms: DurationMs(100),
        sent: Some(SentTime {
            process,
            at: TimeMs(sent_ms),
        }),
    }
}

/// Guards against a sender that counts as delayed for good, so that all its receivers read
/// the store: after it was started again with a clock of its own, after its receiver was
/// suspended, or because their clocks drift apart.
#[test]
fn only_a_delay_makes_a_heartbeat_old() {
    let own: HostId = "own".parse().expect("a name");
    let mut heartbeats = HeartbeatTable::new(&own);
    let mut age = |process, sent_ms, heard_ms| {
        let now = TimeMs(heard_ms);
        heartbeats.record(&sent_heartbeat(process, sent_ms), now);
        let row = heartbeats.rows.get(&name(0)).expect("a heartbeat");
        now.since(row.store_answered_at).0
    };
    assert_eq!(age(1, 50_000, 100_000), 100);
    assert_eq!(age(1, 50_600, 100_900), 399, "299 ms more than before");
    assert_eq!(age(1, 51_200, 101_202), 100, "the clock may drift");
    assert_eq!(age(2, 1_000, 102_000), 100, "another process");
    assert_eq!(age(2, 31_000, 102_600), 100, "the receiver was suspended");
    assert_eq!(age(2, 31_600, 103_700), 599, "499 ms more than before");
    let (mut sent_ms, mut heard_ms) = (40_000, 200_000);
    for _ in 0..10_000 {
        sent_ms += 600;
        heard_ms += 601;
        assert!(
            age(3, sent_ms, heard_ms) <= 101,
            "a clock that drifts by 0.17%"
        );
    }
}

/// How long a watch pauses after a change.
const WATCH_PAUSE_MS: u64 = 350;

/// A sender renews its lease while its watch pauses, and the store turns it away before the
/// watch asks again. Guards against a renewal that confirms contents which have changed in
/// the pause: receivers read the store up to 350 ms too late.
#[test]
fn a_renewal_while_the_watch_pauses_confirms_nothing() {
    let mut rng = Pcg64Mcg::seed_from_u64(5_013);
    let own: HostId = "own".parse().expect("a name");
    for round in 0..500 {
        let first_change_ms = START_MS;
        let second_change_ms = first_change_ms + rng.random_range(1..WATCH_PAUSE_MS);
        let mut confirmations = Confirmations::default();
        let mut renewed_ms = START_MS - rng.random_range(0..STORE_CHECK_INTERVAL_MS.0);
        let groups = [WatchedGroup::Configuration, WatchedGroup::Targets];
        for group in groups {
            confirmations.record_other_answer(group, true, TimeMs(renewed_ms));
        }
        confirmations.record_answer(WatchedGroup::Configuration, TimeMs(first_change_ms));
        renewed_ms += STORE_CHECK_INTERVAL_MS.0;
        if renewed_ms < first_change_ms + WATCH_PAUSE_MS {
            for (group, is_waiting) in groups.into_iter().zip([false, true]) {
                confirmations.record_other_answer(group, is_waiting, TimeMs(renewed_ms));
            }
        }
        // The change is heard of at once, and the heartbeats after it say how old it is.
        let mut heartbeats = HeartbeatTable::new(&own);
        let mut sent_ms = first_change_ms;
        while sent_ms < START_MS + 5_000 {
            let store_age_ms = TimeMs(sent_ms).since(confirmations.oldest());
            let heartbeat = StoreHeartbeat {
                store_age_ms,
                sent: None,
                ..sent_heartbeat(0, 0)
            };
            heartbeats.record(&heartbeat, TimeMs(sent_ms));
            heartbeats.confirm(&Revisions::default());
            sent_ms += HEARTBEAT_INTERVAL_MS.0;
        }
        let due_at = read_due_at(&heartbeats, &Revisions::default(), TimeMs(0));
        let read_ms = due_at.0.saturating_sub(second_change_ms) + READ_MS_MAX;
        assert!(read_ms <= PROPAGATION_MS, "round {round}: {read_ms} ms");
    }
}

/// Guards against daemons that read the store all the time while a fleet starts on slow
/// hosts, where a read takes longer than its contents count as current.
#[test]
fn a_daemon_pauses_after_a_slow_read() {
    let own_host: HostId = "own".parse().expect("a name");
    let heartbeats = HeartbeatTable::new(&own_host);
    let mut refresher = Refresher::default();
    let inputs = RefreshInputs {
        own: Revisions::default(),
        read_not_before: TimeMs(0),
        is_store_available: true,
        prefers_fetch: false,
        may_wait_for_near: false,
        is_near: &|_| false,
        has_address: &|_| false,
    };
    let mut decide = |now_ms| {
        let refresh = refresher.decide(&heartbeats, &inputs, TimeMs(now_ms));
        if now_ms == START_MS {
            refresher.end_read(TimeMs(START_MS + 2_000));
        }
        refresh
    };
    let read = Refresh::ReadStore(ReadReason::NotConfirmed);
    assert_eq!(decide(START_MS), read);
    assert_eq!(decide(START_MS + 2_600), Refresh::Nothing);
    assert_eq!(decide(START_MS + 2_700), read);
}

/// Guards against a fleet in which all daemons read the store at once while it starts,
/// although others have the contents already, and against one that waits for these only.
#[test]
fn a_daemon_that_starts_fetches_before_it_reads_the_store() {
    let own_host: HostId = "own".parse().expect("a name");
    let mut heartbeats = HeartbeatTable::new(&own_host);
    let mut ahead = sent_heartbeat(1, START_MS);
    ahead.revisions.configuration = at(5);
    heartbeats.record(&ahead, TimeMs(START_MS));
    let inputs = |prefers_fetch, address_known: &'static dyn Fn(&HostId) -> bool| RefreshInputs {
        own: Revisions::default(),
        read_not_before: TimeMs(0),
        is_store_available: true,
        prefers_fetch,
        may_wait_for_near: false,
        is_near: &|_| false,
        has_address: address_known,
    };
    let decide = |inputs: &RefreshInputs<'_>| {
        let mut refresher = Refresher::default();
        let first = refresher.decide(&heartbeats, inputs, TimeMs(START_MS + 1));
        // A read that is due must not wake a daemon that awaits a fetch all the time.
        let due = refresher.next_due(&heartbeats, &inputs.own, TimeMs(0), inputs.prefers_fetch);
        assert_eq!(due, None, "{first:?}");
        refresher.end_fetch(true);
        [
            first,
            refresher.decide(&heartbeats, inputs, TimeMs(START_MS + 2)),
        ]
    };
    let fetch = Refresh::Fetch(vec![name(0)]);
    let read = Refresh::ReadStore;
    let starting = inputs(true, &|_| true);
    assert_eq!(decide(&starting), [fetch, read(ReadReason::FetchFailed)]);
    let without_source = inputs(true, &|_| false);
    assert_eq!(decide(&without_source)[0], read(ReadReason::NotConfirmed));
    let started = inputs(false, &|_| true);
    assert_eq!(decide(&started)[0], read(ReadReason::NotConfirmed));
}

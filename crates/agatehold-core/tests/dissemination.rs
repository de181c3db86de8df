//! Tests how daemons bring each other up to date: updates that hold only what has
//! changed, who sends heartbeats to whom, and how soon a change reaches a large fleet.

mod support;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use agatehold_core::directory::EntryDemand;
use agatehold_core::directory::MemberRecord;
use agatehold_core::directory::entry_daemons;
use agatehold_core::dissemination::FETCH_TIMEOUT_MS;
use agatehold_core::dissemination::HEARTBEAT_INTERVAL_MS;
use agatehold_core::dissemination::HEARTBEAT_TIMEOUT_MS;
use agatehold_core::dissemination::HeartbeatTable;
use agatehold_core::dissemination::KeyChange;
use agatehold_core::dissemination::Refresh;
use agatehold_core::dissemination::RefreshInputs;
use agatehold_core::dissemination::Refresher;
use agatehold_core::dissemination::Replica;
use agatehold_core::dissemination::Revisions;
use agatehold_core::dissemination::STORE_CHECK_INTERVAL_MS;
use agatehold_core::dissemination::StoreHeartbeat;
use agatehold_core::dissemination::has_recent_heartbeat;
use agatehold_core::dissemination::heartbeat_recipients;
use agatehold_core::dissemination::pull_sources;
use agatehold_core::dissemination::read_due_at;
use agatehold_core::dissemination::watching_daemons;
use agatehold_core::ids::HostId;
use agatehold_core::ids::Incarnation;
use agatehold_core::table::Table;
use agatehold_core::target_registry::StoreMirror;
use agatehold_core::units::DurationMs;
use agatehold_core::units::StoreRevision;
use agatehold_core::units::TimeMs;

fn rev(revision: u64) -> StoreRevision {
    StoreRevision::from_packed(revision)
}

fn change(key: u8, revision: u64, value: Option<u8>) -> KeyChange {
    KeyChange {
        key: format!("key-{key}").into(),
        revision: rev(revision),
        value: value.map(|value| [value].as_slice().into()),
    }
}

fn contents(replica: &Replica) -> Vec<(Box<str>, u64)> {
    let rows = replica.rows().rows();
    rows.map(|(key, row)| (key.clone(), row.revision.packed()))
        .collect()
}

proptest! {
    #![proptest_config(support::settings(256))]

    /// Guards against updates that lack a change or a deletion: a daemon would keep
    /// using a target that has left. Three daemons watch, list or fetch in any order;
    /// whoever fetches knows at least what its source knew.
    #[test]
    fn whoever_fetches_ends_with_what_its_source_knows(
        steps in prop::collection::vec((0_u8..6, 0_u8..12, 0_usize..3, 0_usize..3), 1..120),
    ) {
        let mut store: BTreeMap<u8, u64> = BTreeMap::new();
        let mut history: Vec<KeyChange> = Vec::new();
        let mut revision = 1;
        let mut replicas = vec![Replica::default(); 3];
        for (kind, key, one, other) in steps {
            match kind {
                0 | 1 => {
                    revision += 1;
                    store.insert(key, revision);
                    history.push(change(key, revision, Some(key)));
                }
                2 => {
                    revision += 1;
                    if store.remove(&key).is_some() {
                        history.push(change(key, revision, None));
                    }
                }
                3 if replicas[one].complete_to() > StoreRevision::ZERO => {
                    let known = replicas[one].complete_to();
                    let missed: Vec<KeyChange> = history
                        .iter()
                        .filter(|change| change.revision > known)
                        .cloned()
                        .collect();
                    replicas[one].apply_changes(&missed);
                }
                3 | 4 => {
                    let listed: Vec<KeyChange> = store
                        .iter()
                        .map(|(key, revision)| change(*key, *revision, Some(*key)))
                        .collect();
                    replicas[one].apply_listing(&listed, rev(revision));
                }
                _ if one != other => {
                    let source = replicas[other].clone();
                    let known = replicas[one].complete_to();
                    if let Some(update) = source.update_since(known) {
                        replicas[one].apply_update(&update);
                        prop_assert_eq!(contents(&replicas[one]), contents(&source));
                        prop_assert!(replicas[one].complete_to() >= source.complete_to());
                    }
                }
                _ => {}
            }
        }
        // At the end everyone watches again, and all must know what the store has.
        for replica in &mut replicas {
            if replica.complete_to() == StoreRevision::ZERO {
                continue;
            }
            let known = replica.complete_to();
            let missed: Vec<KeyChange> = history
                .iter()
                .filter(|change| change.revision > known)
                .cloned()
                .collect();
            replica.apply_changes(&missed);
            let expected: BTreeSet<Box<str>> =
                store.keys().map(|key| format!("key-{key}").into()).collect();
            let known: BTreeSet<Box<str>> = replica.rows().keys().cloned().collect();
            prop_assert_eq!(known, expected);
        }
    }
}

/// A listing may be older than what a watch has added since. It must neither remove the
/// newer row nor bring a deleted one back.
#[test]
fn an_older_listing_changes_nothing() {
    let mut replica = Replica::default();
    replica.apply_listing(&[change(1, 30, Some(1)), change(2, 31, Some(1))], rev(40));
    replica.apply_changes(&[change(1, 45, None), change(3, 50, Some(1))]);
    let before = replica.clone();
    let older = [change(1, 30, Some(1)), change(2, 31, Some(1))];
    assert_eq!(replica.apply_listing(&older, rev(42)), []);
    assert_eq!(replica, before);
    // The first page was read before the change, so that the listing counts as of then,
    // and is none the less as new as what is known.
    let same_age = [change(2, 31, Some(1)), change(3, 50, Some(1))];
    assert_eq!(replica.apply_listing(&same_age, rev(50)), []);
    let newer = replica.apply_listing(&[], rev(60));
    assert_eq!(newer, [change(2, 60, None), change(3, 60, None)]);
}

proptest! {
    #![proptest_config(support::settings(256))]

    /// Guards against a target that has left and is in use again: a daemon that starts
    /// asks its seeds and the store at once, and the older of the answers came last.
    /// Listings, updates and watched changes of any age arrive in any order; what they
    /// are said to change must lead to the same rows as the replica holds, and no key
    /// may return without a newer write.
    #[test]
    fn deleted_keys_do_not_return_with_older_contents(
        writes in prop::collection::vec((0_u8..5, prop::bool::weighted(0.4)), 2..40),
        deliveries in prop::collection::vec((any::<prop::sample::Index>(), any::<prop::sample::Index>(), 0_u8..3), 1..12),
    ) {
        let mut store: BTreeMap<u8, u64> = BTreeMap::new();
        let mut history: Vec<KeyChange> = Vec::new();
        // The daemon elsewhere that follows every change, as of each revision.
        let mut source = Replica::default();
        source.apply_listing(&[], rev(1));
        let mut past = vec![(store.clone(), source.clone(), 1)];
        for (number, (key, is_deletion)) in writes.into_iter().enumerate() {
            let revision = number as u64 + 2;
            if is_deletion {
                store.remove(&key);
            } else {
                store.insert(key, revision);
            }
            let change = change(key, revision, (!is_deletion).then_some(key));
            source.apply_changes(std::slice::from_ref(&change));
            history.push(change);
            past.push((store.clone(), source.clone(), revision));
        }
        let mut replica = Replica::default();
        let mut mirror: StoreMirror<Box<str>, StoreRevision> = StoreMirror::new();
        let mut newest = StoreRevision::ZERO;
        for (at, asked_at, kind) in deliveries {
            let (rows, source, revision) = &past[at.index(past.len())];
            let applied = match kind {
                0 => {
                    let listed: Vec<KeyChange> =
                        rows.iter().map(|(key, at)| change(*key, *at, Some(*key))).collect();
                    replica.apply_listing(&listed, rev(*revision))
                }
                // Asked when less was known than now.
                1 => {
                    let known = rev(past[asked_at.index(past.len())].2).min(replica.complete_to());
                    match source.update_since(known) {
                        Some(update) => replica.apply_update(&update),
                        None => continue,
                    }
                }
                _ if replica.complete_to() == StoreRevision::ZERO => continue,
                _ => {
                    let known = rev(past[asked_at.index(past.len())].2).min(replica.complete_to());
                    let watched: Vec<KeyChange> = history
                        .iter()
                        .filter(|change| change.revision > known && change.revision <= rev(*revision))
                        .cloned()
                        .collect();
                    replica.apply_changes(&watched)
                }
            };
            newest = newest.max(replica.complete_to());
            prop_assert_eq!(replica.complete_to(), newest);
            for change in applied {
                if change.value.is_some() {
                    mirror.put(change.key.clone(), change.revision, change.revision, TimeMs(1));
                } else {
                    mirror.delete(&change.key, change.revision, TimeMs(1));
                }
            }
            let mirrored: Vec<(Box<str>, u64)> =
                mirror.rows.rows().map(|(key, row)| (key.clone(), row.content.packed())).collect();
            prop_assert_eq!(&mirrored, &contents(&replica));
            if replica.complete_to() > StoreRevision::ZERO {
                let (rows, _, _) = past
                    .iter()
                    .rev()
                    .find(|(_, _, revision)| rev(*revision) == replica.complete_to())
                    .expect("a revision");
                let expected: Vec<(Box<str>, u64)> = rows
                    .iter()
                    .map(|(key, revision)| (format!("key-{key}").into(), *revision))
                    .collect();
                prop_assert_eq!(mirrored, expected);
            }
        }
    }
}

/// Guards against transferring all targets at each change: at 293 hosts and 480
/// targets, 1,200 such transfers a second filled the links of small hosts.
#[test]
fn an_update_holds_only_what_has_changed() {
    let mut source = Replica::default();
    let listed: Vec<KeyChange> = (0..200)
        .map(|key| change(key, u64::from(key) + 1, Some(1)))
        .collect();
    source.apply_listing(&listed, rev(500));
    let mut receiver = Replica::default();
    receiver.apply_update(&source.update_since(rev(0)).expect("a listing"));
    assert_eq!(receiver.complete_to(), rev(500));
    assert_eq!(contents(&receiver), contents(&source));
    assert_eq!(source.update_since(receiver.complete_to()), None);
    source.apply_changes(&[change(3, 501, Some(2)), change(4, 502, None)]);
    let update = source
        .update_since(receiver.complete_to())
        .expect("changes");
    assert!(!update.is_listing);
    assert_eq!(update.changes.len(), 2);
    receiver.apply_update(&update);
    assert_eq!(contents(&receiver), contents(&source));
    // A daemon that has listed the keys later does not know which were deleted before;
    // it sends the names of the unchanged keys without their values.
    let mut late = Replica::default();
    let listed: Vec<KeyChange> = (10..200)
        .map(|key| change(key, u64::from(key) + 1, Some(1)))
        .collect();
    late.apply_listing(&listed, rev(600));
    let update = late
        .update_since(receiver.complete_to())
        .expect("a listing");
    assert!(update.is_listing && update.changes.is_empty());
    receiver.apply_update(&update);
    assert_eq!(contents(&receiver), contents(&late));
}

/// Guards against fetches by the whole fleet each time that a daemon lists what it
/// knows.
#[test]
fn a_listing_without_a_difference_is_no_news() {
    let listed = [change(1, 7, Some(1)), change(2, 9, Some(1))];
    let mut replica = Replica::default();
    replica.apply_listing(&listed, rev(20));
    replica.apply_listing(&listed, rev(90));
    assert_eq!(replica.changed_at(), rev(20));
    assert_eq!(replica.complete_to(), rev(90));
    assert_eq!(replica.update_since(rev(20)), None);
}

fn member(number: usize, domains: usize, strong: usize) -> (HostId, MemberRecord) {
    let address = format!("10.0.{}.{}:8000", number / 250, number % 250 + 1)
        .parse()
        .expect("an address");
    let record = MemberRecord {
        failure_domain: format!("domain-{}", number % domains)
            .parse()
            .expect("a domain"),
        callers: address,
        news: address,
        evidence: address,
        incarnation: Incarnation::default(),
        leaving: false,
        capacity_millicores: if number < strong { 500 } else { 100 },
    };
    (format!("host-{number}").parse().expect("a name"), record)
}

fn fleet(hosts: usize, domains: usize) -> Table<HostId, MemberRecord> {
    let mut members = Table::new();
    for number in 0..hosts {
        let (host, record) = member(number, domains, hosts / 20);
        members.insert(host, record);
    }
    members
}

/// Guards against a failure domain whose daemons hear of no change, and each read the
/// store every 1.3 s, because no entry daemon is in it; and against heartbeats that grow
/// with the fleet.
#[test]
fn every_daemon_hears_of_two_or_three_watching_daemons() {
    for (hosts, domains, millicores) in [(30, 3, 0), (300, 5, 1_900), (880, 7, 30_000)] {
        let members = fleet(hosts, domains);
        let demand = EntryDemand {
            least: 3,
            capacity_millicores: millicores,
        };
        let chosen = entry_daemons(members.rows(), "archive", demand);
        let entries = watching_daemons(&chosen);
        assert!(entries.len() <= domains.max(3), "{hosts}: {entries:?}");
        let mut senders: BTreeMap<&HostId, usize> = BTreeMap::new();
        for (entry, _) in &entries {
            for recipient in heartbeat_recipients(entry, members.rows(), &entries) {
                *senders.entry(recipient).or_default() += 1;
            }
        }
        for host in members.keys() {
            let count = senders.get(host).copied().unwrap_or(0);
            assert!((2..=3).contains(&count), "{host} of {hosts}: {count}");
        }
    }
}

/// Strong and weak hosts are entry daemons. Guards against a weak host that watches the
/// store for its failure domain: at 10 Mbit/s its answers to the fetches of 40 daemons
/// took longer than these wait, and each of them read the store instead.
#[test]
fn the_strongest_entry_daemon_of_each_domain_watches() {
    let members = fleet(126, 3);
    let demand = EntryDemand {
        least: 3,
        capacity_millicores: 7_000,
    };
    let chosen = entry_daemons(members.rows(), "archive", demand);
    assert!(chosen.len() > 10, "weak hosts are among the entry daemons");
    for (host, _) in watching_daemons(&chosen) {
        let member = members.get(host).expect("a member");
        assert_eq!(member.capacity_millicores, 500, "{host}");
    }
}

/// How a change spread through a simulated fleet.
struct Spread {
    /// When the last daemon that the store serves knew the change.
    served_ms: u64,
    /// When the last daemon that the store turns away knew it.
    rejected_ms: u64,
    /// The largest number of fetches that one daemon made before it knew it.
    fetches_max: u32,
    /// The largest number of fetches that one daemon answered within 100 ms.
    answered_max: u32,
    /// The largest number of times that one daemon read the store.
    reads_max: u32,
    /// When the simulation ended.
    ended_ms: u64,
}

/// Which daemons the store turns away when the contents change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TurnedAway {
    /// 35% of the hosts, whose registrations have been revoked. It serves those that watch.
    Unregistered,
    /// All that watch. It serves the 35% again that were unregistered: three of them still
    /// watch and send heartbeats to everyone, and nobody knows their addresses.
    Watching,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Heartbeat {
        from: usize,
        to: usize,
        revision: u64,
    },
    Beat(usize),
    Tick(usize),
    /// A read of the store is due.
    Wake(usize),
    Answer {
        from: usize,
        to: usize,
    },
    Timeout(usize),
    ReadRejected(usize),
}

const TICK_MS: u64 = 500;

/// Simulates one change of the configuration at time 0, while the store turns daemons away
/// and 5% of the datagrams and of the fetches are lost.
fn simulate(hosts: usize, domains: usize, turned_away: TurnedAway, seed: u64) -> Spread {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let all = fleet(hosts, domains);
    let names: Vec<HostId> = all.keys().cloned().collect();
    let number_of: BTreeMap<&HostId, usize> = names
        .iter()
        .enumerate()
        .map(|(number, name)| (name, number))
        .collect();
    let mut rejected: Vec<bool> = (0..hosts).map(|_| rng.random_bool(0.35)).collect();
    let mut registered: Table<HostId, MemberRecord> = Table::new();
    for (host, record) in all.rows() {
        if !rejected[number_of[host]] {
            registered.insert(host.clone(), record.clone());
        }
    }
    let demand = EntryDemand {
        least: 3,
        capacity_millicores: u32::try_from(hosts).expect("a number") * 10,
    };
    let chosen = entry_daemons(registered.rows(), "archive", demand);
    let entries = watching_daemons(&chosen);
    let mut recipients: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
    for (entry, _) in &entries {
        let list = heartbeat_recipients(entry, registered.rows(), &entries);
        let list = list.into_iter().map(|host| number_of[host]).collect();
        recipients.insert(number_of[*entry], list);
    }
    if turned_away == TurnedAway::Watching {
        let returned = (0..hosts).filter(|number| rejected[*number]);
        let senders: Vec<usize> = returned.take(3).collect();
        rejected.fill(false);
        for entry in recipients.keys() {
            rejected[*entry] = true;
        }
        for sender in senders {
            recipients.insert(sender, (0..hosts).filter(|to| *to != sender).collect());
        }
    }
    let mut revisions = vec![1_u64; hosts];
    let mut heartbeats: Vec<HeartbeatTable> = names.iter().map(HeartbeatTable::new).collect();
    let mut refreshers = vec![Refresher::default(); hosts];
    let mut rounds = vec![0_u64; hosts];
    let mut fetches = vec![0_u32; hosts];
    let mut answered: BTreeMap<(usize, u64), u32> = BTreeMap::new();
    let mut known_at = vec![None; hosts];
    let mut unaware = hosts;
    let mut queue: BinaryHeap<Reverse<(u64, Event)>> = BinaryHeap::new();
    for (number, is_rejected) in rejected.iter().enumerate() {
        queue.push(Reverse((rng.random_range(0..TICK_MS), Event::Tick(number))));
        if recipients.contains_key(&number) {
            let beat_ms = rng.random_range(0..HEARTBEAT_INTERVAL_MS.0);
            queue.push(Reverse((beat_ms, Event::Beat(number))));
        }
        if recipients.contains_key(&number) && !is_rejected {
            // Watches that paused after an earlier change see this one late.
            let seen_ms = 10 + rng.random_range(0..350);
            queue.push(Reverse((
                seen_ms,
                Event::Answer {
                    from: number,
                    to: number,
                },
            )));
        }
    }
    let mut reads = vec![0_u32; hosts];
    let mut wakes_at = vec![0; hosts];
    let mut ended_ms = 0;
    while let Some(Reverse((now_ms, event))) = queue.pop() {
        if now_ms > 30_000 || unaware == 0 {
            break;
        }
        ended_ms = now_ms;
        let now = TimeMs(now_ms);
        let decides = match event {
            Event::Beat(from) => {
                for to in &recipients[&from] {
                    if rng.random_bool(0.95) {
                        let revision = revisions[from];
                        let heartbeat = Event::Heartbeat {
                            from,
                            to: *to,
                            revision,
                        };
                        queue.push(Reverse((now_ms + 2, heartbeat)));
                    }
                }
                queue.push(Reverse((
                    now_ms + HEARTBEAT_INTERVAL_MS.0,
                    Event::Beat(from),
                )));
                continue;
            }
            Event::Heartbeat { from, to, revision } => {
                let heartbeat = StoreHeartbeat {
                    host: names[from].clone(),
                    revisions: Revisions {
                        configuration: rev(revision),
                        targets: rev(1),
                        members: rev(1),
                    },
                    store_age_ms: DurationMs(if rejected[from] { now_ms } else { 100 }),
                    sent: None,
                };
                heartbeats[to].record(&heartbeat, now);
                to
            }
            Event::Tick(number) => {
                queue.push(Reverse((now_ms + TICK_MS, Event::Tick(number))));
                number
            }
            Event::Wake(number) => number,
            Event::Answer { from, to } => {
                let revision = if from == to { 2 } else { revisions[from] };
                match from == to {
                    true => refreshers[to].end_read(now),
                    false => refreshers[to].end_fetch(false),
                }
                if revision > revisions[to] {
                    revisions[to] = revision;
                    known_at[to] = Some(now_ms);
                    unaware -= 1;
                    if recipients.contains_key(&to) {
                        queue.push(Reverse((now_ms, Event::Beat(to))));
                    }
                }
                to
            }
            Event::Timeout(number) => {
                refreshers[number].end_fetch(true);
                number
            }
            Event::ReadRejected(number) => {
                refreshers[number].end_read(now);
                number
            }
        };
        if recipients.contains_key(&decides) && !rejected[decides] {
            continue;
        }
        let own = Revisions {
            configuration: rev(revisions[decides]),
            targets: rev(1),
            members: rev(1),
        };
        heartbeats[decides].confirm(&own);
        let due = refreshers[decides].next_due(&heartbeats[decides], &own, TimeMs(0), false);
        if let Some(due) = due.filter(|due| due.0 > wakes_at[decides].max(now_ms)) {
            wakes_at[decides] = due.0;
            queue.push(Reverse((due.0, Event::Wake(decides))));
        }
        let inputs = RefreshInputs {
            own,
            read_not_before: TimeMs(0),
            is_store_available: !rejected[decides],
            prefers_fetch: false,
            may_wait_for_near: false,
            is_near: &|_| false,
            has_address: &|host| registered.contains(host),
        };
        let sources: Vec<usize> =
            match refreshers[decides].decide(&heartbeats[decides], &inputs, now) {
                Refresh::Nothing => continue,
                Refresh::Fetch(sources) => sources.iter().map(|host| number_of[host]).collect(),
                Refresh::ReadStore(_) => {
                    reads[decides] += 1;
                    if !rejected[decides] {
                        let answer = Event::Answer {
                            from: decides,
                            to: decides,
                        };
                        queue.push(Reverse((now_ms + 10, answer)));
                        continue;
                    }
                    queue.push(Reverse((now_ms + 10, Event::ReadRejected(decides))));
                    rounds[decides] += 1;
                    let sources = pull_sources(&names[decides], all.keys(), rounds[decides]);
                    sources.into_iter().map(|host| number_of[host]).collect()
                }
            };
        for from in sources {
            fetches[decides] += u32::from(revisions[decides] < 2);
            *answered.entry((from, now_ms / 100)).or_default() += 1;
            let event = if rng.random_bool(0.95) {
                (now_ms + 10, Event::Answer { from, to: decides })
            } else {
                heartbeats[decides].rows.remove(&names[from]);
                (now_ms + FETCH_TIMEOUT_MS.0, Event::Timeout(decides))
            };
            queue.push(Reverse(event));
        }
    }
    let latest = |is_rejected: bool| {
        let of_kind = (0..hosts).filter(|number| rejected[*number] == is_rejected);
        of_kind
            .map(|number| known_at[number].unwrap_or(u64::MAX))
            .max()
            .unwrap_or(0)
    };
    Spread {
        served_ms: latest(false),
        rejected_ms: latest(true),
        fetches_max: fetches.iter().copied().max().unwrap_or(0),
        answered_max: answered.values().copied().max().unwrap_or(0),
        reads_max: reads.iter().copied().max().unwrap_or(0),
        ended_ms,
    }
}

/// Checks the bounds of the smallest deployments: 2 s for a daemon that the store serves,
/// and 5 s more for one that it turns away.
fn assert_known_in_time(spread: &Spread, context: &str) {
    assert!(
        spread.served_ms <= PROPAGATION_MS,
        "{context}: {} ms",
        spread.served_ms
    );
    assert!(
        spread.rejected_ms <= 7_000,
        "{context}: {} ms",
        spread.rejected_ms
    );
}

/// The pattern: the store turns a third of a large fleet away and a configuration
/// changes meanwhile. A daemon that the store serves must know it within the 2 s of the
/// smallest deployments, one that is turned away within the 5 s more that these allow.
#[test]
fn a_change_reaches_a_large_fleet_while_the_store_turns_hosts_away() {
    for (hosts, domains) in [(30, 3), (300, 5), (880, 7)] {
        for seed in 1..=5 {
            let spread = simulate(hosts, domains, TurnedAway::Unregistered, seed);
            let context = format!("{hosts} hosts, seed {seed}");
            assert_known_in_time(&spread, &context);
            // A configuration of 3 KB for each of them takes a link of 200 Mbit/s for
            // less than half of the 100 ms.
            assert!(
                spread.answered_max <= 400,
                "{context}: {}",
                spread.answered_max
            );
            // The store is asked once, then three daemons each 1.3 s.
            assert!(
                spread.fetches_max <= 18,
                "{context}: {}",
                spread.fetches_max
            );
        }
    }
}

/// The pattern: the store turns the daemons away that watch it, and those that it serves
/// again after an outage of their own announce a change from addresses that nobody knows.
/// Guards against daemons that prefer these to the store, and against reads that grow with
/// what is announced.
#[test]
fn a_change_reaches_a_large_fleet_while_only_unknown_daemons_announce_it() {
    for (hosts, domains) in [(30, 3), (300, 5), (880, 7)] {
        for seed in 1..=5 {
            let spread = simulate(hosts, domains, TurnedAway::Watching, seed);
            let context = format!("{hosts} hosts, seed {seed}");
            assert_known_in_time(&spread, &context);
            let reads_allowed = spread.ended_ms / HEARTBEAT_TIMEOUT_MS.0 + 1;
            assert!(
                u64::from(spread.reads_max) <= reads_allowed,
                "{context}: {} reads in {} ms",
                spread.reads_max,
                spread.ended_ms
            );
        }
    }
}

/// The time within which a daemon that the store serves must know a change
/// (`config_propagation` and `drain` of the smallest deployments).
const PROPAGATION_MS: u64 = 2_000;

/// The part of it left for the read itself: a page each of the configuration and the
/// targets, and decoding them on a fifth of a core.
const READ_ALLOWANCE_MS: u64 = 400;

fn heartbeat_of(host: &str, store_age_ms: u64) -> StoreHeartbeat {
    StoreHeartbeat {
        host: host.parse().expect("a name"),
        revisions: Revisions {
            configuration: rev(1),
            targets: rev(1),
            members: rev(1),
        },
        store_age_ms: DurationMs(store_age_ms),
        sent: None,
    }
}

/// Guards against daemons that follow heartbeats of senders which the store has begun to
/// turn away: the store serves them, and yet they kept an old configuration and targets
/// that had left for over two seconds.
#[test]
fn served_daemons_read_the_store_in_time_when_all_their_senders_are_turned_away() {
    let mut rng = Pcg64Mcg::seed_from_u64(2_801);
    let own_revisions = heartbeat_of("own", 0).revisions;
    for round in 0..500 {
        let own: HostId = "own".parse().expect("a name");
        let mut heartbeats = HeartbeatTable::new(&own);
        // The change is confirmed right after the last answers that the senders get.
        let changed_at = 60_000;
        let mut beats = Vec::new();
        for sender in ["a", "b", "c"] {
            let answered_at = changed_at - rng.random_range(0..STORE_CHECK_INTERVAL_MS.0);
            let mut sent_at = answered_at + rng.random_range(0..HEARTBEAT_INTERVAL_MS.0);
            while sent_at < changed_at + 10_000 {
                beats.push((sent_at, sender, sent_at - answered_at));
                sent_at += HEARTBEAT_INTERVAL_MS.0;
            }
        }
        beats.sort_unstable();
        let mut read_at = None;
        let own_answer_at = TimeMs(1_000);
        for (beat, next) in beats.iter().zip(&beats[1..]) {
            heartbeats.record(&heartbeat_of(beat.1, beat.2), TimeMs(beat.0));
            let due_at = read_due_at(&heartbeats, &own_revisions, own_answer_at);
            let due_at = due_at.max(TimeMs(beat.0));
            if beat.0 < changed_at || due_at.0 >= next.0 {
                continue;
            }
            let is_due = read_due_at(&heartbeats, &own_revisions, own_answer_at) <= due_at;
            assert!(is_due, "round {round}");
            read_at = Some(due_at.0 - changed_at);
            break;
        }
        let read_at = read_at.expect("a read");
        assert!(
            read_at + READ_ALLOWANCE_MS <= PROPAGATION_MS,
            "round {round}: read {read_at} ms after the change"
        );
    }
}

/// Guards against a fleet that reads the store although it hears from a daemon that the
/// store serves: the reads of all daemons would load the store in calm.
#[test]
fn heartbeats_of_a_served_sender_stay_recent_although_one_is_lost() {
    let check = STORE_CHECK_INTERVAL_MS.0;
    for phase_ms in (0..check).step_by(20) {
        let own: HostId = "own".parse().expect("a name");
        let mut heartbeats = HeartbeatTable::new(&own);
        let mut sent_at = 10_000 + phase_ms;
        while sent_at < 20_000 {
            let store_age_ms = sent_at % check;
            heartbeats.record(&heartbeat_of("a", store_age_ms), TimeMs(sent_at));
            sent_at += HEARTBEAT_INTERVAL_MS.0;
            let just_before = TimeMs(sent_at - 1);
            assert!(has_recent_heartbeat(&heartbeats, just_before));
            let own = heartbeat_of("own", 0).revisions;
            let is_due = read_due_at(&heartbeats, &own, TimeMs(0)) <= just_before;
            assert!(!is_due, "phase {phase_ms}");
        }
        // Of three senders, the two others are lost for one more interval.
        heartbeats.record(
            &heartbeat_of("b", 0),
            TimeMs(sent_at - HEARTBEAT_INTERVAL_MS.0),
        );
        let after_a_lost_one = TimeMs(sent_at + HEARTBEAT_INTERVAL_MS.0 - 1);
        assert!(has_recent_heartbeat(&heartbeats, after_a_lost_one));
    }
}

/// A listing of several pages may hold a row that is newer than its first page, which is
/// the revision that counts. Guards against a source that tells of a revision that
/// nobody gets complete to by fetching from it: all that hear it fetch without end.
#[test]
fn a_fetch_leaves_nothing_of_which_its_source_tells() {
    let mut source = Replica::default();
    source.apply_listing(&[change(1, 5, Some(1))], rev(5));
    source.apply_listing(&[change(1, 5, Some(1)), change(2, 7, Some(2))], rev(6));
    let mut receiver = Replica::default();
    for _ in 0..3 {
        let Some(update) = source.update_since(receiver.complete_to()) else {
            break;
        };
        receiver.apply_update(&update);
    }
    assert_eq!(contents(&receiver), contents(&source));
    assert!(
        source.changed_at() <= receiver.complete_to(),
        "the source tells of {}, a fetch completes to {}",
        source.changed_at(),
        receiver.complete_to()
    );
}

/// Two listings run at once, and the page with the target's row is read by one before and
/// by the other after the target has left. Guards against a target that is in use again
/// since the older page comes last.
#[test]
fn a_page_that_is_older_than_a_known_deletion_brings_nothing_back() {
    let mut replica = Replica::default();
    let both = [change(1, 2, Some(1)), change(7, 3, Some(1))];
    replica.apply_listing(&both, rev(6));
    let applied = replica.apply_listing(&[change(1, 2, Some(1))], rev(6));
    assert_eq!(applied, [change(7, 6, None)]);
    assert_eq!(replica.apply_listing(&both, rev(6)), []);
    assert_eq!(contents(&replica), [("key-1".into(), 2)]);
}

/// The first key of the second page of a listing.
const SECOND_PAGE: u8 = 6;

/// A listing whose first page is read and whose second one is not.
#[derive(Clone)]
struct StartedListing {
    revision: u64,
    first_page: Vec<KeyChange>,
}

fn listed_keys(store: &BTreeMap<u8, u64>, keys: std::ops::Range<u8>) -> Vec<KeyChange> {
    let rows = store.range(keys);
    rows.map(|(key, revision)| change(*key, *revision, Some(*key)))
        .collect()
}

proptest! {
    #![proptest_config(support::settings(512))]

    /// The second page of a listing is read later than the first, whose revision counts.
    /// Guards against rows that become older again, against replicas that lack a change
    /// up to the revision to which they are complete, and against sources that tell of a
    /// revision to which nobody gets by fetching from them.
    #[test]
    fn replicas_are_complete_although_pages_differ_in_age(
        steps in prop::collection::vec((0_u8..8, 0_u8..12, 0_usize..3, 0_usize..3), 1..100),
    ) {
        let mut store: BTreeMap<u8, u64> = BTreeMap::new();
        let mut changed_at: BTreeMap<u8, u64> = BTreeMap::new();
        let mut history: Vec<KeyChange> = Vec::new();
        let mut revision = 1;
        let mut replicas = vec![Replica::default(); 3];
        let mut started: Vec<Option<StartedListing>> = vec![None; 3];
        // The newest revision of each key that each replica has held.
        let mut newest_held: Vec<BTreeMap<Box<str>, u64>> = vec![BTreeMap::new(); 3];
        for (kind, key, one, other) in steps {
            let before = replicas.clone();
            match kind {
                0 | 1 => {
                    revision += 1;
                    store.insert(key, revision);
                    changed_at.insert(key, revision);
                    history.push(change(key, revision, Some(key)));
                }
                2 if store.remove(&key).is_some() => {
                    revision += 1;
                    changed_at.insert(key, revision);
                    history.push(change(key, revision, None));
                }
                3 if replicas[one].complete_to() > StoreRevision::ZERO => {
                    let known = replicas[one].complete_to();
                    let missed: Vec<KeyChange> = history
                        .iter()
                        .filter(|change| change.revision > known)
                        .cloned()
                        .collect();
                    replicas[one].apply_changes(&missed);
                }
                4 => {
                    started[one] = Some(StartedListing {
                        revision,
                        first_page: listed_keys(&store, 0..SECOND_PAGE),
                    });
                }
                5 => {
                    let Some(listing) = started[one].take() else {
                        continue;
                    };
                    let mut listed = listing.first_page;
                    listed.extend(listed_keys(&store, SECOND_PAGE..u8::MAX));
                    replicas[one].apply_listing(&listed, rev(listing.revision));
                }
                6 | 7 if one != other => {
                    let source = replicas[other].clone();
                    let Some(update) = source.update_since(replicas[one].complete_to()) else {
                        continue;
                    };
                    replicas[one].apply_update(&update);
                    prop_assert!(
                        source.changed_at() <= replicas[one].complete_to(),
                        "the source tells of {}, a fetch completes to {}",
                        source.changed_at(),
                        replicas[one].complete_to()
                    );
                }
                _ => {}
            }
            let numbered = replicas.iter().zip(&before).zip(&mut newest_held);
            for ((replica, before), newest_held) in numbered {
                prop_assert!(replica.changed_at() <= replica.complete_to());
                for (key, row) in replica.rows().rows() {
                    let newest = newest_held.entry(key.clone()).or_default();
                    let is_same_age = before.complete_to() == replica.complete_to();
                    let is_absent = before.rows().get(key).is_none();
                    let is_back = is_same_age && is_absent && row.revision.packed() <= *newest;
                    prop_assert!(!is_back, "{key} is back with {}", row.revision);
                    prop_assert!(row.revision.packed() >= *newest, "{key} was {newest}, is {}", row.revision);
                    *newest = row.revision.packed();
                    let is_told = row.revision <= replica.changed_at();
                    prop_assert!(is_told || row.revision > replica.complete_to(), "{key} is not told");
                }
                for (key, at) in &changed_at {
                    if rev(*at) > replica.complete_to() {
                        continue;
                    }
                    let name: Box<str> = format!("key-{key}").into();
                    let held = replica.rows().get(&name).map(|row| row.revision);
                    prop_assert_eq!(held.map(StoreRevision::packed), store.get(key).copied(), "{}", name);
                }
            }
        }
    }
}

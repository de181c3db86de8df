//! Tests that a store which comes back from an older copy of itself takes nothing back
//! from the daemons, and that daemons which see different eras agree in the end.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use agatehold_core::dissemination::HeartbeatTable;
use agatehold_core::dissemination::KeyChange;
use agatehold_core::dissemination::Replica;
use agatehold_core::dissemination::Revisions;
use agatehold_core::dissemination::StoreHeartbeat;
use agatehold_core::dissemination::fetch_sources;
use agatehold_core::dissemination::has_recent_heartbeat;
use agatehold_core::dissemination::read_due_at;
use agatehold_core::ids::HostId;
use agatehold_core::target_registry::EndedRegistration;
use agatehold_core::target_registry::MISSING_ROW_GRACE_MS;
use agatehold_core::target_registry::RegistrationMark;
use agatehold_core::target_registry::StoreMirror;
use agatehold_core::units::DurationMs;
use agatehold_core::units::StoreEra;
use agatehold_core::units::StoreRevision;
use agatehold_core::units::TimeMs;

const START: TimeMs = TimeMs(60_000);

fn at(era: u16, revision: u64) -> StoreRevision {
    StoreRevision::new(StoreEra(era), revision).expect("a revision")
}

fn mark(started_unix_ms: u64, sequence: u64, is_leaving: bool) -> Option<RegistrationMark> {
    Some(RegistrationMark {
        started_unix_ms,
        sequence,
        is_leaving,
    })
}

/// Guards against an order by revision alone, and against a text or a number that another
/// daemon reads as another position.
#[test]
fn eras_come_before_revisions_and_survive_encoding() {
    let order = [at(0, 7), at(0, 90), at(1, 3), at(2, 1)];
    assert!(order.is_sorted());
    for position in order {
        assert_eq!(position.to_string().parse(), Ok(position));
        assert_eq!(StoreRevision::from_packed(position.packed()), position);
    }
    assert_eq!(at(0, 90).packed(), 90, "a plain number means era 0");
    assert_eq!(at(1, 3).to_string(), "1.3");
    assert_eq!(StoreRevision::new(StoreEra(0), 1 << 48), None);
    for text in ["", "1.", ".1", "65536.1", "1.281474976710656", "1.2.3"] {
        assert!(text.parse::<StoreRevision>().is_err(), "{text}");
    }
}

/// Guards against requests to a target that has left, and to one that is leaving, because
/// the copy lists it as it was before.
#[test]
fn ended_and_leaving_registrations_return_only_when_registered_again() {
    let mut rows: StoreMirror<u32, &str> = StoreMirror::new();
    for row in [1, 2, 3] {
        rows.put_registration(row, "ready", mark(5, 4, false), at(0, 10), START);
    }
    assert!(rows.delete(&1, at(0, 20), START));
    rows.put_registration(2, "draining", mark(5, 4, true), at(0, 21), START);
    rows.put_registration(3, "new", mark(9, 1, false), at(0, 22), START);
    // Twice, as listed by the store and then told by another daemon.
    for revision in [12, 13] {
        for row in [1, 2, 3] {
            rows.put_registration(row, "ready", mark(5, 4, false), at(1, revision), START);
        }
    }
    let content =
        |rows: &StoreMirror<u32, &'static str>, row| rows.rows.get(&row).map(|row| row.content);
    assert_eq!(content(&rows, 1), None, "it was gone");
    assert_eq!(content(&rows, 2), Some("draining"));
    assert_eq!(
        content(&rows, 3),
        Some("new"),
        "another process replaced it"
    );
    assert!(rows.put_registration(1, "again", mark(5, 5, false), at(1, 14), START));
    assert!(rows.put_registration(2, "again", mark(6, 1, false), at(1, 15), START));
    assert_eq!(content(&rows, 1), Some("again"), "a higher sequence");
    assert_eq!(content(&rows, 2), Some("again"), "another process");
}

/// Guards against requests to a target that has left by a daemon which has not heard of it
/// and takes the entry from the copy.
#[test]
fn daemons_tell_each_other_which_registrations_had_ended() {
    let mut knows: StoreMirror<u32, &str> = StoreMirror::new();
    knows.put_registration(1, "ready", mark(5, 4, false), at(0, 10), START);
    assert!(knows.delete(&1, at(0, 20), START));
    assert_eq!(knows.ended_before_era().count(), 0, "no copy can list it");
    knows.put_registration(1, "ready", mark(5, 4, false), at(1, 10), START);
    let told: Vec<_> = knows.ended_before_era().cloned().collect();
    assert_eq!(told.len(), 1);
    for (sequence, is_removed) in [(4, true), (5, false)] {
        let mut rows: StoreMirror<u32, &str> = StoreMirror::new();
        rows.put_registration(1, "ready", mark(5, sequence, false), at(1, 10), START);
        assert_eq!(rows.confirm_ended(&told[0]), is_removed);
        assert!(!rows.confirm_ended(&told[0]), "known");
        let returns = rows.put_registration(1, "copy", mark(5, 4, false), at(1, 11), START);
        assert!(!returns, "{sequence}");
        assert_eq!(rows.rows.contains(&1), !is_removed, "{sequence}");
    }
}

/// Guards against the loss of targets that the copy lacks, and against keeping them for
/// ever.
#[test]
fn rows_that_the_copy_lacks_are_kept_for_the_grace_period() {
    let mut rows: StoreMirror<u32, &str> = StoreMirror::new();
    for row in [1, 2] {
        rows.put_registration(row, "ready", mark(5, 1, false), at(0, 50), START);
        assert!(!rows.delete(&row, at(1, 30), START), "row {row}");
    }
    assert!(rows.put_registration(1, "ready", mark(5, 2, false), at(1, 31), START));
    assert!(!rows.sweep(START + MISSING_ROW_GRACE_MS - DurationMs(1)));
    assert!(rows.sweep(START + MISSING_ROW_GRACE_MS));
    assert!(rows.rows.contains(&1) && !rows.rows.contains(&2));
}

/// Guards against a daemon that follows senders which an old replica of the store serves.
#[test]
fn heartbeats_of_an_older_era_are_not_recent_and_not_newer() {
    let mut heartbeats = HeartbeatTable::default();
    let beat = |host: &str, revision| StoreHeartbeat {
        host: host.parse().expect("a name"),
        revisions: Revisions {
            configuration: revision,
            targets: revision,
            members: revision,
        },
        store_age_ms: DurationMs(0),
        sent: None,
    };
    heartbeats.record(&beat("a", at(0, 900)), START);
    assert!(has_recent_heartbeat(&heartbeats, START));
    let own = beat("own", at(1, 5)).revisions;
    assert!(heartbeats.raise_era(own.era()));
    assert!(!has_recent_heartbeat(&heartbeats, START));
    let sources = fetch_sources(&heartbeats, &own, &|_| true, START);
    assert_eq!(sources, [], "a knows nothing newer");
    assert!(read_due_at(&heartbeats, &own, START) > START);
    let due_at = read_due_at(&heartbeats, &own, TimeMs(0));
    assert!(due_at < START, "a confirms nothing of the new era");
    heartbeats.record(&beat("b", at(2, 1)), START);
    let newest: HostId = "b".parse().expect("a name");
    let sources = fetch_sources(&heartbeats, &own, &|_| true, START);
    assert_eq!(sources, [newest]);
    assert!(read_due_at(&heartbeats, &own, START) > START);
}

/// What a target writes to the store: its process, sequence, and whether it is leaving.
type Entry = (u64, u64, bool);

fn encode((started, sequence, is_leaving): Entry) -> Vec<u8> {
    vec![started as u8, sequence as u8, u8::from(is_leaving)]
}

#[derive(Clone, Default)]
struct Store {
    era: u16,
    revision: u64,
    rows: BTreeMap<usize, (Entry, u64)>,
}

impl Store {
    fn write(&mut self, target: usize, entry: Option<Entry>) {
        self.revision += 1;
        match entry {
            Some(entry) => self.rows.insert(target, (entry, self.revision)),
            None => self.rows.remove(&target),
        };
    }

    fn list(&self) -> (Vec<KeyChange>, StoreRevision) {
        let rows = self.rows.iter();
        let listed = rows.map(|(target, (entry, revision))| KeyChange {
            key: target.to_string().into(),
            revision: at(self.era, *revision),
            value: Some(encode(*entry).into()),
        });
        (listed.collect(), at(self.era, self.revision))
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Access {
    Served,
    OldReplica,
    TurnedAway,
}

struct Daemon {
    replica: Replica,
    mirror: StoreMirror<usize, Entry>,
    /// The highest sequence that each process had when it was last known as gone or as
    /// leaving.
    out: BTreeMap<(usize, u64), u64>,
}

impl Daemon {
    fn apply(&mut self, changes: &[KeyChange], now: TimeMs) {
        for change in changes {
            let target: usize = change.key.parse().expect("a number");
            let Some(value) = &change.value else {
                self.mirror.delete(&target, change.revision, now);
                continue;
            };
            let entry = (u64::from(value[0]), u64::from(value[1]), value[2] == 1);
            let mark = mark(entry.0, entry.1, entry.2);
            self.mirror
                .put_registration(target, entry, mark, change.revision, now);
        }
    }

    /// Checks the rows against those of before a step.
    fn check(&mut self, before: &[(usize, Entry)], context: &str) {
        for (target, (started, sequence, is_leaving)) in before {
            let row = self.mirror.rows.get(target);
            let is_same = row.is_some_and(|row| row.content.0 == *started);
            if *is_leaving || !is_same {
                let out = self.out.entry((*target, *started)).or_default();
                *out = (*out).max(*sequence);
            }
        }
        for (target, row) in self.mirror.rows.rows() {
            let (started, sequence, is_leaving) = row.content;
            let out = self.out.get(&(*target, started));
            let has_returned = !is_leaving && out.is_some_and(|out| sequence <= *out);
            assert!(
                !has_returned,
                "{context}: {target} is back as {:?}",
                row.content
            );
        }
    }
}

/// Simulates two returns from older copies: targets change, leave and start; some daemons
/// read an old replica for three seconds, a third is turned away and fetches from others.
fn simulate(daemons: usize, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let targets = 40;
    let mut store = Store::default();
    // What each target means to be registered as; `None` if it has left.
    let mut meant: Vec<Option<Entry>> = vec![Some((1, 1, false)); targets];
    for (target, entry) in meant.iter().enumerate() {
        store.write(target, *entry);
    }
    let mut access: Vec<Access> = Vec::new();
    let mut fleet: Vec<Daemon> = Vec::new();
    let mut steps = BinaryHeap::new();
    for number in 0..daemons {
        access.push(match rng.random_range(0..100) {
            _ if number == 0 => Access::Served,
            0..35 => Access::TurnedAway,
            35..55 => Access::OldReplica,
            _ => Access::Served,
        });
        fleet.push(Daemon {
            replica: Replica::default(),
            mirror: StoreMirror::new(),
            out: BTreeMap::new(),
        });
        steps.push(Reverse((rng.random_range(0..400_u64), number)));
    }
    let restores = [8_000, 16_000];
    let mut copy = store.clone();
    let mut old = store.clone();
    let mut rewrites: Vec<(u64, usize)> = Vec::new();
    for now_ms in (0..30_000_u64).step_by(50) {
        let now = START + DurationMs(now_ms);
        if restores.contains(&(now_ms + 3_000)) {
            copy = store.clone();
        }
        if restores.contains(&now_ms) {
            old = store.clone();
            let era = store.era + 1;
            store = Store {
                era,
                ..copy.clone()
            };
            for (target, entry) in meant.iter().enumerate() {
                // The entry of a target that has left goes away with its lease.
                let until = if entry.is_some() {
                    200..2_000
                } else {
                    3_500..4_000
                };
                rewrites.push((now_ms + rng.random_range(until), target));
            }
        }
        for (_, target) in rewrites.extract_if(.., |(due_ms, _)| *due_ms <= now_ms) {
            if let Some(entry) = &mut meant[target] {
                entry.1 += 1;
            }
            store.write(target, meant[target]);
        }
        if now_ms < 20_000 && rng.random_bool(0.1) {
            let target = rng.random_range(0..targets);
            meant[target] = match (meant[target], rng.random_range(0..3)) {
                (None, _) => Some((now_ms / 100 + 2, 1, false)),
                (Some(_), 0) => None,
                (Some((started, sequence, _)), 1) => Some((started, sequence + 1, true)),
                (Some((started, sequence, _)), _) => Some((started, sequence + 1, false)),
            };
            store.write(target, meant[target]);
        }
        while let Some(Reverse((due_ms, number))) = steps.peek().copied() {
            if due_ms > now_ms {
                break;
            }
            steps.pop();
            steps.push(Reverse((now_ms + rng.random_range(100..600), number)));
            let is_old = restores
                .iter()
                .any(|at| (*at..at + 3_000).contains(&now_ms));
            let before: Vec<(usize, Entry)> = {
                let rows = fleet[number].mirror.rows.rows();
                rows.map(|(target, row)| (*target, row.content)).collect()
            };
            let from = rng.random_range(0..daemons);
            if access[number] == Access::TurnedAway || rng.random_bool(0.3) {
                let known = fleet[number].replica.complete_to();
                let update = fleet[from].replica.update_since(known);
                let ended: Vec<EndedRegistration<usize>> =
                    fleet[from].mirror.ended_before_era().cloned().collect();
                let daemon = &mut fleet[number];
                if let Some(update) = update.filter(|_| from != number) {
                    let applied = daemon.replica.apply_update(&update);
                    daemon.apply(&applied, now);
                }
                for ended in &ended {
                    daemon.mirror.confirm_ended(ended);
                }
            } else {
                let is_old = is_old && access[number] == Access::OldReplica;
                let (listed, revision) = if is_old { old.list() } else { store.list() };
                let daemon = &mut fleet[number];
                let applied = daemon.replica.apply_listing(&listed, revision);
                daemon.apply(&applied, now);
            }
            fleet[number].mirror.sweep(now);
            fleet[number].check(
                &before,
                &format!("{daemons} daemons, seed {seed}, {now_ms} ms"),
            );
        }
    }
    let expected: Vec<(usize, Entry)> = meant
        .iter()
        .enumerate()
        .filter_map(|(target, entry)| Some((target, (*entry)?)))
        .collect();
    for (number, daemon) in fleet.iter().enumerate() {
        assert_eq!(daemon.replica.complete_to().era(), StoreEra(2));
        let rows = daemon.mirror.rows.rows();
        let known: Vec<(usize, Entry)> = rows.map(|(target, row)| (*target, row.content)).collect();
        assert_eq!(known, expected, "daemon {number} of {daemons}, seed {seed}");
    }
}

/// Guards against targets that return with an older copy, and against daemons that stay
/// apart because some of them saw a new era before the others.
#[test]
fn daemons_that_see_different_eras_agree_in_the_end() {
    for (daemons, seeds) in [(30, 1..=20), (300, 1..=4)] {
        for seed in seeds {
            simulate(daemons, seed);
        }
    }
}

//! Plays the requests of a service through several daemons and checks that the
//! targets that count for a floor have work at all times.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use agatehold_core::config::TargetState;
use agatehold_core::dispatch::Choice;
use agatehold_core::dispatch::LiveTargets;
use agatehold_core::dispatch::PickRequest;
use agatehold_core::dispatch::ServiceRecord;
use agatehold_core::dispatch::TargetShare;
use agatehold_core::dispatch::pick_live_target;
use agatehold_core::ids::FailureDomain;
use agatehold_core::ids::HostId;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TargetName;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::roster::TargetIdentity;
use agatehold_core::roster::TargetRecord;
use agatehold_core::units::DurationMs;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TimeMs;

const START: TimeMs = TimeMs(3_600_000);

/// How long a day of the fleet lasts.
const DAY_MS: u64 = 30_000;

/// The time in which the fleet comes to know its targets.
const WARM_UP_MS: u64 = 4_000;

/// The span of a floor, and the time after which a target that failed by itself
/// counts as sound again.
const FLOOR_SPAN_MS: u64 = 2_000;

/// The share of the sound targets that a floor wants in use.
const FLOOR_SHARE: f64 = 0.7;

/// How long a target is healthy or gray, the share that is gray, and the share of
/// requests that fail there and at healthy ones.
const GRAY_SPAN_MS: u64 = 9_000;
const GRAY_SHARE: f64 = 0.3;
const GRAY_FAILS: f64 = 0.75;
const HEALTHY_FAILS: f64 = 0.012;

/// How long a request runs, and how soon a failure is answered.
const RUN_MS: u64 = 240;
const FAILURE_MS: u64 = 3;

#[derive(Clone, Copy)]
struct Scene {
    targets: usize,
    daemons: u32,
    requests_per_s: f64,
    /// The share of requests that may run more than once.
    idempotent_share: f64,
    /// The daemons without callers.
    idle_daemons: u32,
    seed: u64,
}

struct Daemon {
    targets: LiveTargets,
    record: ServiceRecord,
}

struct Running {
    daemon: usize,
    target: TargetName,
    is_failure: bool,
    run_ms: u64,
}

/// What happened at the targets, in milliseconds from the start.
#[derive(Default)]
struct History {
    arrivals_ms: BTreeMap<TargetName, Vec<u64>>,
    failures_ms: BTreeMap<TargetName, Vec<u64>>,
    failed: u32,
    requests: u32,
}

fn service() -> ServiceName {
    "billing".parse().expect("a name")
}

fn record(number: usize) -> TargetRecord {
    let domain = ["east", "west", "north", "centre"][number % 4];
    TargetRecord {
        identity: TargetIdentity {
            name: format!("target-{number}").parse().expect("a name"),
            started_unix_ms: 1,
        },
        service: service(),
        address: format!("10.0.{}.{}:8080", number / 200, number % 200 + 1)
            .parse()
            .expect("an address"),
        failure_domain: domain.parse().expect("a name"),
        slots: SlotCount(3),
        state: TargetState::Serving,
        warmup_left_ms: DurationMs(0),
    }
}

fn is_gray(number: usize, at_ms: u64, seed: u64) -> bool {
    let phase_ms = number as u64 * 977 % GRAY_SPAN_MS;
    let span = (at_ms + phase_ms) / GRAY_SPAN_MS;
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (number as u64) << 32 ^ span << 8);
    rng.random_bool(GRAY_SHARE)
}

fn play(scene: &Scene) -> History {
    let records: Vec<TargetRecord> = (0..scene.targets).map(record).collect();
    let numbers: BTreeMap<TargetName, usize> = records
        .iter()
        .enumerate()
        .map(|(number, record)| (record.identity.name.clone(), number))
        .collect();
    let domains: Vec<FailureDomain> = records
        .iter()
        .take(4)
        .map(|record| record.failure_domain.clone())
        .collect();
    let mut daemons = Vec::new();
    for rank in 0..scene.daemons {
        let host: HostId = format!("entry-{rank}").parse().expect("a name");
        let mut targets = LiveTargets::new(&host);
        targets.sync(records.iter().map(|record| (record, START)));
        daemons.push(Daemon {
            targets,
            record: ServiceRecord::default(),
        });
    }
    let mut rng = Pcg64Mcg::seed_from_u64(scene.seed);
    let mut history = History::default();
    let mut running: BTreeMap<u64, Vec<Running>> = BTreeMap::new();
    for at_ms in 0..DAY_MS {
        let now = START + DurationMs(at_ms);
        for ended in running.remove(&at_ms).unwrap_or_default() {
            end(&mut daemons, &ended, &mut history, at_ms, &mut rng);
        }
        if !rng.random_bool(scene.requests_per_s / 1_000.0) {
            continue;
        }
        let busy = scene.daemons - scene.idle_daemons;
        let rank = rng.random_range(0..busy);
        let idempotent = rng.random_bool(scene.idempotent_share);
        let daemon = &mut daemons[rank as usize];
        daemon.record.record_arrival(idempotent, now);
        history.requests += 1;
        let request = PickRequest {
            service: &service(),
            failure_domain: &domains[rank as usize % domains.len()],
            tried: &[],
            may_try: daemon.record.may_try(idempotent, now),
            may_gamble: false,
            is_pressed: daemon.record.is_pressed(),
            share: Some(TargetShare {
                rank,
                daemons: scene.daemons,
            }),
            accepts_full: false,
        };
        let Choice::Target(target) = pick_live_target(&daemon.targets, &request, now) else {
            history.failed += 1;
            continue;
        };
        daemon.targets.claim(&target, now);
        history
            .arrivals_ms
            .entry(target.clone())
            .or_default()
            .push(at_ms);
        let fails = if is_gray(numbers[&target], at_ms, scene.seed) {
            GRAY_FAILS
        } else {
            HEALTHY_FAILS
        };
        let is_failure = rng.random_bool(fails);
        let run_ms = if is_failure { FAILURE_MS } else { RUN_MS };
        let ended = Running {
            daemon: rank as usize,
            target,
            is_failure,
            run_ms,
        };
        running.entry(at_ms + run_ms).or_default().push(ended);
    }
    history
}

/// Ends a request; the daemons tell each other what concerns a target that has
/// failed.
fn end(
    daemons: &mut [Daemon],
    ended: &Running,
    history: &mut History,
    at_ms: u64,
    rng: &mut Pcg64Mcg,
) {
    let now = START + DurationMs(at_ms);
    let outcome = if ended.is_failure {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Answered
    };
    if ended.is_failure {
        history.failed += 1;
        history
            .failures_ms
            .entry(ended.target.clone())
            .or_default()
            .push(at_ms);
    }
    let own = &mut daemons[ended.daemon];
    own.targets.release(&ended.target);
    own.record.record_end(!ended.is_failure, now);
    let row = own.targets.rows.get(&ended.target).expect("a target");
    let is_news = ended.is_failure || row.suspicion.nats() > 0.0;
    for (rank, daemon) in daemons.iter_mut().enumerate() {
        if rank != ended.daemon && !is_news {
            continue;
        }
        let row = daemon.targets.rows.get_mut(&ended.target);
        let row = row.expect("a target");
        let spread = rng.random();
        row.suspicion
            .record(outcome, DurationMs(ended.run_ms), spread, now);
        if rank != ended.daemon {
            row.chosen_at = now;
        }
    }
    report(daemons, ended.daemon, now);
}

/// Tells the other daemons how requests end and which targets were used, if a
/// report is due.
fn report(daemons: &mut [Daemon], reporter: usize, now: TimeMs) {
    let own = &mut daemons[reporter];
    let Some(report) = own.record.take_report(now) else {
        return;
    };
    let used = own.targets.used_since(&service(), report.since, now);
    for (rank, daemon) in daemons.iter_mut().enumerate() {
        if rank == reporter {
            continue;
        }
        daemon
            .record
            .note_report(report.counts, report.is_pressed, now);
        daemon.targets.note_use(&used, now);
    }
}

/// Returns the sound targets of the window that begins at a time, and those of
/// them without a request in it.
fn sound_and_unused(history: &History, scene: &Scene, from_ms: u64) -> (usize, Vec<TargetName>) {
    let until_ms = from_ms + FLOOR_SPAN_MS;
    let mut sound = 0;
    let mut unused = Vec::new();
    for number in 0..scene.targets {
        let name = record(number).identity.name;
        let failures = history.failures_ms.get(&name);
        let has_failed = failures.into_iter().flatten().any(|at| {
            let counts_until = *at + FLOOR_SPAN_MS;
            *at <= until_ms && counts_until > from_ms
        });
        if has_failed {
            continue;
        }
        sound += 1;
        let arrivals = history.arrivals_ms.get(&name);
        let is_used = arrivals
            .into_iter()
            .flatten()
            .any(|at| (from_ms..=until_ms).contains(at));
        if !is_used {
            unused.push(name);
        }
    }
    (sound, unused)
}

/// Plays a scene and checks that enough of the sound targets are in use at all times.
fn assert_floor(scene: &Scene) {
    let history = play(scene);
    let (daemons, seed) = (scene.daemons, scene.seed);
    for from_ms in windows() {
        let (sound, unused) = sound_and_unused(&history, scene, from_ms);
        let used = sound - unused.len();
        assert!(
            used as f64 >= FLOOR_SHARE * sound as f64,
            "{daemons} daemons, seed {seed}, from {from_ms} ms: {} of {sound} sound targets got nothing",
            unused.len()
        );
    }
}

fn windows() -> impl Iterator<Item = u64> {
    (WARM_UP_MS..DAY_MS - FLOOR_SPAN_MS).step_by(100)
}

/// Guards against sound targets without work in a service that is calm until
/// all requests in flight are lost at once: the loss is seen only when the time
/// without work has passed. Which targets count is not known to the daemons, so
/// that none may be without work.
#[test]
fn no_sound_target_is_without_work_before_requests_are_lost() {
    for (idempotent_share, seed) in [(0.0, 1), (0.0, 2), (0.2, 3), (0.9, 4)] {
        let scene = Scene {
            targets: 117,
            daemons: 6,
            requests_per_s: 465.0,
            idempotent_share,
            idle_daemons: 0,
            seed,
        };
        let history = play(&scene);
        for from_ms in windows() {
            let (sound, unused) = sound_and_unused(&history, &scene, from_ms);
            assert!(
                unused.is_empty(),
                "seed {seed}, from {from_ms} ms: {} of {sound} sound targets got nothing: {unused:?}",
                unused.len()
            );
        }
    }
}

/// The same where one of the entry daemons has no callers: its share of the
/// targets falls to the others.
#[test]
fn the_floor_holds_though_one_daemon_has_no_callers() {
    for (targets, daemons, requests_per_s) in [(13, 3, 52.0), (117, 6, 465.0), (109, 25, 450.0)] {
        let scene = Scene {
            targets,
            daemons,
            requests_per_s,
            idempotent_share: 0.0,
            idle_daemons: 1,
            seed: 5,
        };
        assert_floor(&scene);
    }
}

/// Guards against trials and pressure that take the requests of a service with few of
/// them for each target: sound targets went without work, and most of the requests
/// that were left failed at targets on trial.
#[test]
fn trials_leave_the_requests_that_sound_targets_need() {
    for seed in 1..=4 {
        let scene = Scene {
            targets: 48,
            daemons: 6,
            requests_per_s: 60.0,
            idempotent_share: 0.0,
            idle_daemons: 0,
            seed,
        };
        assert_floor(&scene);
    }
}

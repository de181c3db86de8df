//! Simulates the requests of a service through several daemons and checks that
//! enough of the targets that count for a floor get requests at all times.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use agatehold_core::config::TargetState;
use agatehold_core::dispatch::Choice;
use agatehold_core::dispatch::DaemonRank;
use agatehold_core::dispatch::LiveTargets;
use agatehold_core::dispatch::PickRequest;
use agatehold_core::dispatch::ServiceStats;
use agatehold_core::dispatch::pick_live_target;
use agatehold_core::ids::FailureDomain;
use agatehold_core::ids::HostId;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TargetName;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::target_registry::TargetIdentity;
use agatehold_core::target_registry::TargetRecord;
use agatehold_core::units::DurationMs;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TimeMs;

const START: TimeMs = TimeMs(3_600_000);

/// How long the simulation runs.
const RUN_LENGTH_MS: u64 = 30_000;

/// The time at the start that is not checked, since the daemons don't know yet
/// which targets fail.
const WARM_UP_MS: u64 = 4_000;

/// The time span over which a floor is measured, and the time after which a target
/// that failed by itself counts as sound again.
const FLOOR_SPAN_MS: u64 = 2_000;

/// The share of the sound targets that must be in use for a floor.
const FLOOR_SHARE: f64 = 0.7;

/// How long a target stays healthy or gray before its state is drawn again.
const GRAY_SPAN_MS: u64 = 9_000;

/// The share of targets that are gray at a time.
const GRAY_SHARE: f64 = 0.3;

/// The share of requests that fail at a gray target.
const GRAY_FAILURE_RATE: f64 = 0.75;

/// The share of requests that fail at a healthy target.
const HEALTHY_FAILURE_RATE: f64 = 0.012;

/// How long a successful request runs.
const SUCCESS_RUN_MS: u64 = 240;

/// The time after which a failure is answered.
const FAILURE_RUN_MS: u64 = 3;

/// How long a target takes or rejects requests before its state is drawn again.
const REJECTING_SPAN_MS: u64 = 2_000;

/// The pause that a target asks for when it rejects a request.
const PAUSE_MS: u64 = 3_000;

/// The parameters of a simulation.
#[derive(Clone, Copy)]
struct Scenario {
    targets: usize,
    daemons: u32,
    requests_per_s: f64,
    /// The share of idempotent requests.
    idempotent_share: f64,
    /// The number of daemons without callers.
    idle_daemons: u32,
    /// The share of targets that reject requests at a time and ask for a pause.
    rejecting_share: f64,
    seed: u64,
}

struct Daemon {
    targets: LiveTargets,
    stats: ServiceStats,
}

/// A request in flight and how it will end.
struct InFlight {
    daemon: usize,
    target: TargetIdentity,
    is_failure: bool,
    /// Whether the target rejects the request and asks for a pause.
    is_rejected: bool,
    run_ms: u64,
}

/// The times of the requests and failures at each target, in milliseconds from
/// the start, and the totals.
#[derive(Default)]
struct History {
    arrivals_ms: BTreeMap<TargetName, Vec<u64>>,
    failures_ms: BTreeMap<TargetName, Vec<u64>>,
    /// The times of the answers that ask for a pause, with the daemon that got them.
    rejections_ms: BTreeMap<TargetName, Vec<(usize, u64)>>,
    /// The requests that a daemon sent to a target within a pause that it asked for.
    sent_in_pause: u32,
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

/// Returns whether a target is gray at a time.
fn is_gray(number: usize, at_ms: u64, seed: u64) -> bool {
    let phase_ms = number as u64 * 977 % GRAY_SPAN_MS;
    let span = (at_ms + phase_ms) / GRAY_SPAN_MS;
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (number as u64) << 32 ^ span << 8);
    rng.random_bool(GRAY_SHARE)
}

/// Returns whether a target rejects requests at a time.
fn is_rejecting(number: usize, at_ms: u64, scenario: &Scenario) -> bool {
    let phase_ms = number as u64 * 613 % REJECTING_SPAN_MS;
    let span = (at_ms + phase_ms) / REJECTING_SPAN_MS;
    let seed = scenario.seed ^ (number as u64) << 40 ^ span << 4;
    Pcg64Mcg::seed_from_u64(seed).random_bool(scenario.rejecting_share)
}

/// Returns whether a target has asked a daemon for a pause that has not ended.
fn is_paused(history: &History, target: &TargetName, daemon: usize, at_ms: u64) -> bool {
    let rejections = history.rejections_ms.get(target);
    rejections
        .into_iter()
        .flatten()
        .any(|(asked, from_ms)| *asked == daemon && (*from_ms..from_ms + PAUSE_MS).contains(&at_ms))
}

/// Runs a simulation.
fn simulate(scenario: &Scenario) -> History {
    let records: Vec<TargetRecord> = (0..scenario.targets).map(record).collect();
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
    for rank in 0..scenario.daemons {
        let host: HostId = format!("entry-{rank}").parse().expect("a name");
        let mut targets = LiveTargets::new(&host);
        targets.sync(records.iter().map(|record| (record, START)));
        daemons.push(Daemon {
            targets,
            stats: ServiceStats::default(),
        });
    }
    let mut rng = Pcg64Mcg::seed_from_u64(scenario.seed);
    let mut history = History::default();
    let mut running: BTreeMap<u64, Vec<InFlight>> = BTreeMap::new();
    for at_ms in 0..RUN_LENGTH_MS {
        let now = START + DurationMs(at_ms);
        for ended in running.remove(&at_ms).unwrap_or_default() {
            end_request(&mut daemons, &ended, &mut history, at_ms, &mut rng);
        }
        if !rng.random_bool(scenario.requests_per_s / 1_000.0) {
            continue;
        }
        let active_daemons = scenario.daemons - scenario.idle_daemons;
        let rank = rng.random_range(0..active_daemons);
        let idempotent = rng.random_bool(scenario.idempotent_share);
        let daemon = &mut daemons[rank as usize];
        daemon.stats.record_arrival(idempotent, now);
        history.requests += 1;
        let request = PickRequest {
            service: &service(),
            failure_domain: &domains[rank as usize % domains.len()],
            tried: &[],
            may_try: daemon.stats.may_try(idempotent, now),
            may_risk_failure: false,
            daemon_rank: Some(DaemonRank {
                rank,
                daemons: scenario.daemons,
            }),
            accepts_full: false,
            body_bytes: 0,
        };
        let Choice::Target(target) = pick_live_target(&daemon.targets, &request, now) else {
            history.failed += 1;
            continue;
        };
        daemon.targets.claim(&target, now);
        history.sent_in_pause += u32::from(is_paused(&history, &target.name, rank as usize, at_ms));
        history
            .arrivals_ms
            .entry(target.name.clone())
            .or_default()
            .push(at_ms);
        let failure_rate = if is_gray(numbers[&target.name], at_ms, scenario.seed) {
            GRAY_FAILURE_RATE
        } else {
            HEALTHY_FAILURE_RATE
        };
        let is_rejected = is_rejecting(numbers[&target.name], at_ms, scenario);
        let is_failure = rng.random_bool(failure_rate) && !is_rejected;
        let run_ms = if is_failure || is_rejected {
            FAILURE_RUN_MS
        } else {
            SUCCESS_RUN_MS
        };
        let ended = InFlight {
            daemon: rank as usize,
            target,
            is_failure,
            is_rejected,
            run_ms,
        };
        running.entry(at_ms + run_ms).or_default().push(ended);
    }
    history
}

/// Ends a request. The outcome is reported to the other daemons if the request
/// failed or the target has failed recently.
fn end_request(
    daemons: &mut [Daemon],
    ended: &InFlight,
    history: &mut History,
    at_ms: u64,
    rng: &mut Pcg64Mcg,
) {
    let now = START + DurationMs(at_ms);
    if ended.is_rejected {
        end_rejected(daemons, ended, history, at_ms);
        return;
    }
    let outcome = if ended.is_failure {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Answered
    };
    if ended.is_failure {
        history.failed += 1;
        history
            .failures_ms
            .entry(ended.target.name.clone())
            .or_default()
            .push(at_ms);
    }
    let own = &mut daemons[ended.daemon];
    own.targets.release(&ended.target);
    own.stats.record_end(!ended.is_failure, now);
    let row = own.targets.rows.get(&ended.target.name).expect("a target");
    let is_reported = ended.is_failure || row.failure_detector.nats() > 0.0;
    for (rank, daemon) in daemons.iter_mut().enumerate() {
        if rank != ended.daemon && !is_reported {
            continue;
        }
        let row = daemon.targets.rows.get_mut(&ended.target.name);
        let row = row.expect("a target");
        let spread = rng.random();
        row.failure_detector
            .record(outcome, DurationMs(ended.run_ms), spread, now);
        if rank != ended.daemon {
            row.used_at = now;
        }
    }
    send_report(daemons, ended.daemon, now);
}

/// Ends a request that its target has rejected, asking the daemon for a pause.
fn end_rejected(daemons: &mut [Daemon], ended: &InFlight, history: &mut History, at_ms: u64) {
    let now = START + DurationMs(at_ms);
    history
        .rejections_ms
        .entry(ended.target.name.clone())
        .or_default()
        .push((ended.daemon, at_ms));
    let own = &mut daemons[ended.daemon];
    own.targets.release(&ended.target);
    own.stats.record_end(false, now);
    let row = own
        .targets
        .rows
        .get_mut(&ended.target.name)
        .expect("a target");
    let run_ms = DurationMs(ended.run_ms);
    row.failure_detector
        .record(AttemptOutcome::Shed, run_ms, 0.0, now);
    let identity = row.record.identity.clone();
    own.targets
        .record_pause(&identity, DurationMs(PAUSE_MS), now);
    send_report(daemons, ended.daemon, now);
}

/// Sends the request counts and the used targets of a daemon to the others if a
/// report is due.
fn send_report(daemons: &mut [Daemon], reporter: usize, now: TimeMs) {
    let own = &mut daemons[reporter];
    let Some(report) = own.stats.take_report(now) else {
        return;
    };
    let used = own.targets.used_since(&service(), report.since, now);
    for (rank, daemon) in daemons.iter_mut().enumerate() {
        if rank == reporter {
            continue;
        }
        daemon
            .stats
            .record_peer_report(report.counts, report.is_pressed, now);
        daemon.targets.record_peer_use(&used, now);
    }
}

/// Returns the number of sound targets in the window that begins at `from_ms`, and
/// those of them that got no request in it. A target is sound unless it failed in
/// the window or less than [`FLOOR_SPAN_MS`] before it, or a pause that it asked for
/// lies in the window.
fn sound_and_unused(
    history: &History,
    scenario: &Scenario,
    from_ms: u64,
) -> (usize, Vec<TargetName>) {
    let until_ms = from_ms + FLOOR_SPAN_MS;
    let mut sound = 0;
    let mut unused = Vec::new();
    for number in 0..scenario.targets {
        let name = record(number).identity.name;
        let failures = history.failures_ms.get(&name);
        let has_failed = failures.into_iter().flatten().any(|at| {
            let counts_until = *at + FLOOR_SPAN_MS;
            *at <= until_ms && counts_until > from_ms
        });
        let rejections = history.rejections_ms.get(&name);
        let has_paused = rejections
            .into_iter()
            .flatten()
            .any(|(_, at)| *at <= until_ms && at + PAUSE_MS > from_ms);
        if has_failed || has_paused {
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

/// Runs a simulation and checks that enough of the sound targets are in use in
/// each window.
fn assert_floor(scenario: &Scenario) {
    let history = simulate(scenario);
    let (daemons, seed) = (scenario.daemons, scenario.seed);
    for from_ms in windows() {
        let (sound, unused) = sound_and_unused(&history, scenario, from_ms);
        let used = sound - unused.len();
        assert!(
            used as f64 >= FLOOR_SHARE * sound as f64,
            "{daemons} daemons, seed {seed}, from {from_ms} ms: {} of {sound} sound targets got no request",
            unused.len()
        );
    }
}

/// Returns the start times of the windows that are checked.
fn windows() -> impl Iterator<Item = u64> {
    (WARM_UP_MS..RUN_LENGTH_MS - FLOOR_SPAN_MS).step_by(100)
}

/// Guards against sound targets without requests in a service that is not under
/// pressure. If all its requests in flight are lost at once, a floor is measured
/// over the time before the loss. The daemons don't know which targets count, so
/// every sound target needs requests.
#[test]
fn every_sound_target_gets_requests_before_requests_are_lost() {
    for (idempotent_share, seed) in [(0.0, 1), (0.0, 2), (0.2, 3), (0.9, 4)] {
        let scenario = Scenario {
            targets: 117,
            daemons: 6,
            requests_per_s: 465.0,
            idempotent_share,
            idle_daemons: 0,
            rejecting_share: 0.0,
            seed,
        };
        let history = simulate(&scenario);
        for from_ms in windows() {
            let (sound, unused) = sound_and_unused(&history, &scenario, from_ms);
            assert!(
                unused.is_empty(),
                "seed {seed}, from {from_ms} ms: {} of {sound} sound targets got no request: {unused:?}",
                unused.len()
            );
        }
    }
}

/// Guards against targets that stay unused because the entry daemon that they are
/// assigned to has no callers. The other daemons have to use them.
#[test]
fn floor_holds_if_one_daemon_has_no_callers() {
    for (targets, daemons, requests_per_s) in [(13, 3, 52.0), (117, 6, 465.0), (109, 25, 450.0)] {
        let scenario = Scenario {
            targets,
            daemons,
            requests_per_s,
            idempotent_share: 0.0,
            idle_daemons: 1,
            rejecting_share: 0.0,
            seed: 5,
        };
        assert_floor(&scenario);
    }
}

/// Guards against trials that take the requests of a service with few requests per
/// target. Under pressure, sound targets would then get no requests, and most
/// requests would fail at targets on trial.
#[test]
fn trials_leave_enough_requests_for_sound_targets() {
    for seed in 1..=4 {
        let scenario = Scenario {
            targets: 48,
            daemons: 6,
            requests_per_s: 60.0,
            idempotent_share: 0.0,
            idle_daemons: 0,
            rejecting_share: 0.0,
            seed,
        };
        assert_floor(&scenario);
    }
}

/// Targets reject requests and ask for pauses while others fail. Guards against sound
/// targets that get no requests since trials, uses that are due or the length of holds
/// take paused targets for capacity, and against any request within a pause.
#[test]
fn floor_holds_over_the_targets_that_do_not_pause() {
    for (targets, daemons, requests_per_s, seed) in
        [(117, 6, 465.0, 1), (48, 6, 190.0, 2), (109, 25, 450.0, 3)]
    {
        let scenario = Scenario {
            targets,
            daemons,
            requests_per_s,
            idempotent_share: 0.2,
            idle_daemons: 0,
            rejecting_share: 0.15,
            seed,
        };
        let history = simulate(&scenario);
        let rejections: usize = history.rejections_ms.values().map(Vec::len).sum();
        assert!(rejections > 100, "only {rejections} rejections");
        assert_eq!(history.sent_in_pause, 0, "seed {seed}");
        assert_floor(&scenario);
    }
}

//! Measures how often healthy targets are avoided or ejected by mistake.

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use agatehold_core::health::PermitProposal;
use agatehold_core::health::TargetHealth;
use agatehold_core::health::drop_reporter;
use agatehold_core::health::merge_peer_evidence;
use agatehold_core::health::reportable_evidence;
use agatehold_core::ids::Digest;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::outcome::OutcomeReport;
use agatehold_core::routing::Preference;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

use crate::simulation::Daemon;
use crate::simulation::MEDIAN_MS;
use crate::simulation::Profile;
use crate::simulation::TARGETS;
use crate::simulation::TICK_MS;
use crate::simulation::TIMEOUT_MS;
use crate::simulation::draw_interarrival_ms;
use crate::simulation::draw_latency;
use crate::table::markdown;

/// The seed of every run.
pub const SEED: u64 = 802;

/// The number of entry daemons, which send requests to the service.
const DAEMONS: usize = 12;

/// The mean time between requests from one daemon to one target.
const GAP_MS: f64 = 100.0;

/// The minimum number of observations per scenario.
const OBSERVATIONS: u64 = 4_000_000;

/// The period after which a scenario's disturbance repeats.
const PERIOD_MS: u64 = 180_000;

/// The age at which a hold, the time that a target is avoided, counts as lasting.
/// By then, a daemon that suspects its own network path has revoked the hold.
const LASTING_HOLD_MS: DurationMs = DurationMs(3_000);

/// A disturbance after which healthy targets must not be ejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Scenario {
    /// This share of all requests fails at random.
    Errors(f64),
    /// For the first minute of each period, all targets shed three requests in
    /// ten and are three times slower.
    Overload,
    /// One target restarts: it is unreachable for 2 s, then 4 times slower for
    /// 15 s, during which it reports that it is warming up.
    ColdStart,
    /// For the first minute of each period, one daemon loses six in ten requests
    /// on its own network path.
    OwnPath,
    /// Every minute, a request crashes a target: other requests in flight lose
    /// their connections, and the target is unreachable for 2 s.
    CrashingRequest,
}

/// The scenarios with their names in the report.
pub const SCENARIOS: [(&str, Scenario); 6] = [
    ("0.1% errors", Scenario::Errors(0.001)),
    ("1% errors", Scenario::Errors(0.01)),
    ("overload with shed", Scenario::Overload),
    ("cold start", Scenario::ColdStart),
    ("own path at fault", Scenario::OwnPath),
    ("crashing request", Scenario::CrashingRequest),
];

/// The results for one scenario.
#[derive(Clone, Copy, Debug, Default)]
pub struct Results {
    /// The number of observations.
    pub observations: u64,
    /// How often a daemon began to avoid a reachable target.
    pub avoided: u64,
    /// How often such a hold lasted `LASTING_HOLD_MS` and is counted, so that it
    /// lengthens the next one.
    pub held: u64,
    /// How often daemons proposed to eject a target. A proposal within 30 s of
    /// the last one for the same target isn't counted again.
    pub ejected: u64,
}

impl Results {
    /// Returns `count` per million observations.
    pub fn per_million(&self, count: u64) -> f64 {
        count as f64 * 1e6 / self.observations.max(1) as f64
    }
}

/// The simulated end of one request to a target.
struct SimulatedAnswer {
    outcome: AttemptOutcome,
    elapsed: DurationMs,
    warming: bool,
}

fn draw_answer(
    scenario: Scenario,
    daemon: usize,
    target: usize,
    ms: u64,
    rng: &mut Pcg64,
) -> SimulatedAnswer {
    let phase_ms = ms % PERIOD_MS;
    let disturbed_target = (ms / PERIOD_MS) as usize % TARGETS;
    let mut answer = SimulatedAnswer {
        outcome: AttemptOutcome::Answered,
        elapsed: draw_latency(MEDIAN_MS, rng),
        warming: false,
    };
    match scenario {
        Scenario::Errors(share) if rng.random_bool(share) => {
            answer.outcome = AttemptOutcome::Failed;
        }
        Scenario::Overload if phase_ms < 60_000 => {
            answer.elapsed = draw_latency(MEDIAN_MS * 3.0, rng);
            if rng.random_bool(0.3) {
                answer.outcome = AttemptOutcome::Shed;
                answer.elapsed = DurationMs(1);
            }
        }
        Scenario::ColdStart if target == disturbed_target && phase_ms < 2_000 => {
            answer.outcome = AttemptOutcome::ConnectFailed;
            answer.elapsed = DurationMs(1);
        }
        Scenario::ColdStart if target == disturbed_target && phase_ms < 17_000 => {
            answer.elapsed = draw_latency(MEDIAN_MS * 4.0, rng);
            answer.warming = true;
        }
        Scenario::OwnPath if daemon == 0 && phase_ms < 60_000 && rng.random_bool(0.6) => {
            answer.outcome = AttemptOutcome::TimedOut;
            answer.elapsed = DurationMs(TIMEOUT_MS);
        }
        Scenario::CrashingRequest if target == disturbed_target => {
            let since_crash_ms = phase_ms % 60_000;
            if since_crash_ms < 100 {
                answer.outcome = AttemptOutcome::ConnectionLost;
            } else if since_crash_ms < 2_000 {
                answer.outcome = AttemptOutcome::ConnectFailed;
                answer.elapsed = DurationMs(1);
            }
        }
        _ => {}
    }
    answer
}

/// A daemon with its state per target.
struct DaemonState {
    daemon: Daemon,
    next_request_at_ms: [f64; TARGETS],
    avoided: [bool; TARGETS],
    /// Whether one trial request may be sent although the target is avoided.
    trial_allowed: [bool; TARGETS],
}

/// Measures one scenario with at least `observations` observations.
pub fn measure(profile: Profile, scenario: Scenario, observations: u64) -> Results {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let mut nodes = Vec::new();
    for number in 0..DAEMONS {
        let mut daemon = Daemon::new(number, profile, TARGETS);
        daemon.warm_up(&mut rng);
        nodes.push(DaemonState {
            daemon,
            next_request_at_ms: [0.0; TARGETS],
            avoided: [false; TARGETS],
            trial_allowed: [false; TARGETS],
        });
    }
    let mut results = Results::default();
    let mut proposed_at = [None; TARGETS];
    let mut ms = 0;
    while results.observations < observations {
        ms += TICK_MS;
        // `warm_up` covers the first 40 s of virtual time.
        let now = TimeMs(40_000 + ms);
        for (number, node) in nodes.iter_mut().enumerate() {
            for target in 0..TARGETS {
                send_due_requests(
                    node,
                    number,
                    target,
                    scenario,
                    ms,
                    now,
                    &mut rng,
                    &mut results,
                );
            }
            evaluate_and_count(node, now, &mut proposed_at, &mut results);
        }
        if ms.is_multiple_of(1_000) {
            exchange_evidence(&mut nodes, now);
        }
    }
    results
}

#[expect(clippy::too_many_arguments, reason = "one step of the simulation")]
fn send_due_requests(
    node: &mut DaemonState,
    number: usize,
    target: usize,
    scenario: Scenario,
    ms: u64,
    now: TimeMs,
    rng: &mut Pcg64,
    results: &mut Results,
) {
    let mut due = 0;
    while node.next_request_at_ms[target] <= ms as f64 {
        node.next_request_at_ms[target] += draw_interarrival_ms(GAP_MS, rng);
        due += 1;
    }
    if node.avoided[target] {
        due = u32::from(std::mem::take(&mut node.trial_allowed[target]));
    }
    for _ in 0..due {
        let answer = draw_answer(scenario, number, target, ms, rng);
        results.observations += 1;
        let bound = node.daemon.slow_bound();
        let report = |outcome, elapsed_ms| OutcomeReport {
            service: node.daemon.service.clone(),
            target: node.daemon.targets[target].clone(),
            outcome,
            elapsed_ms,
            at: now,
            fingerprint: Digest::default(),
            leaving: false,
            warming: answer.warming,
        };
        let mut reports = Vec::new();
        let mut overdue = bound;
        while overdue < answer.elapsed {
            reports.push(report(AttemptOutcome::Overdue, overdue));
            overdue = overdue.times(2);
        }
        reports.push(report(answer.outcome, answer.elapsed));
        for report in &reports {
            node.daemon.record_report(report);
        }
    }
}

fn evaluate_and_count(
    node: &mut DaemonState,
    now: TimeMs,
    proposed_at: &mut [Option<TimeMs>; TARGETS],
    results: &mut Results,
) {
    let evaluation = node.daemon.evaluate_targets(now);
    for (target, proposed_at) in proposed_at.iter_mut().enumerate() {
        let name = &node.daemon.targets[target];
        let Some(verdict) = evaluation.verdicts.get(name) else {
            continue;
        };
        let avoided = verdict.preference == Preference::Avoided;
        let row = node.daemon.health.targets.get(name);
        let reachable = row.is_some_and(|row| row.connects_failed == 0);
        if avoided && !node.avoided[target] && reachable {
            results.avoided += 1;
        }
        // Equality counts each hold once, at the tick at which it becomes lasting.
        let became_lasting = |row: &TargetHealth| {
            let bad_for = row.bad_since.map(|since| now.since(since));
            row.hold_counted && bad_for == Some(LASTING_HOLD_MS)
        };
        results.held += u64::from(row.is_some_and(became_lasting));
        node.avoided[target] = avoided;
        node.trial_allowed[target] = verdict.trial;
        if matches!(verdict.permit_proposal, Some(PermitProposal::Eject { .. })) {
            let last = proposed_at.replace(now);
            if last.is_none_or(|last: TimeMs| now.since(last) > DurationMs(30_000)) {
                results.ejected += 1;
            }
        }
    }
}

/// Delivers the evidence of each daemon to all others without delay: the case in
/// which false evidence adds up most.
fn exchange_evidence(nodes: &mut [DaemonState], now: TimeMs) {
    for from in 0..nodes.len() {
        let daemon = &mut nodes[from].daemon;
        let host = daemon.host.clone();
        let suspected = daemon.evaluate_targets(now).own_path_suspected;
        let offered = reportable_evidence(&daemon.health, &daemon.config, &host, now);
        for (to, node) in nodes.iter_mut().enumerate() {
            if to == from {
                continue;
            }
            if suspected {
                drop_reporter(&mut node.daemon.health, &host);
            } else {
                merge_peer_evidence(&mut node.daemon.health, &offered, now);
            }
        }
    }
}

/// Measures all scenarios and returns the table.
pub fn report() -> String {
    let mut rows = Vec::new();
    for profile in Profile::ALL {
        for (name, scenario) in SCENARIOS {
            let results = measure(profile, scenario, OBSERVATIONS);
            rows.push(vec![
                profile.as_str().to_owned(),
                name.to_owned(),
                results.observations.to_string(),
                format!("{:.1}", results.per_million(results.avoided)),
                format!("{:.1}", results.per_million(results.held)),
                format!("{:.1}", results.per_million(results.ejected)),
            ]);
        }
    }
    let headers = [
        "profile",
        "scenario",
        "observations",
        "avoided per million",
        "of these lasting",
        "ejections wished per million",
    ];
    markdown(&headers, &rows)
}

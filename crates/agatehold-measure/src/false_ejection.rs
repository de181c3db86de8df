//! How often healthy targets are avoided or ejected by mistake.

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use agatehold_core::health::PermitProposal;
use agatehold_core::health::TargetHealth;
use agatehold_core::health::drop_reporter;
use agatehold_core::health::exceptional_evidence;
use agatehold_core::health::merge_peer_evidence;
use agatehold_core::ids::Digest;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::outcome::OutcomeReport;
use agatehold_core::routing::Preference;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

use crate::stream::Daemon;
use crate::stream::MEDIAN_MS;
use crate::stream::Profile;
use crate::stream::TARGETS;
use crate::stream::TICK_MS;
use crate::stream::TIMEOUT_MS;
use crate::stream::gap;
use crate::stream::latency;
use crate::table::markdown;

/// The seed of all streams.
pub const SEED: u64 = 802;

/// The daemons that send to the service: its entry points.
const DAEMONS: usize = 12;

/// The mean time between requests of one daemon to one target.
const GAP_MS: f64 = 100.0;

/// The observations of each scenario, at least.
const OBSERVATIONS: u64 = 4_000_000;

/// The period in which a scenario's disturbance begins again.
const PERIOD_MS: u64 = 180_000;

/// The age at which a hold counts as lasting; by then a daemon that suspects
/// its own path has taken it back.
const LASTING_MS: DurationMs = DurationMs(3_000);

/// What disturbs healthy targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Scenario {
    /// A share of all requests fails in the background.
    Errors(f64),
    /// All targets shed three requests in ten and slow down threefold for a
    /// minute.
    Overload,
    /// One target restarts: unreachable for 2 s, then 4 times slower for 15 s
    /// while it says that it is warming up.
    ColdStart,
    /// Six in ten requests of one daemon are lost on its path for a minute.
    OwnPath,
    /// A request crashes a target every minute; it takes other requests along
    /// and leaves the target unreachable for 2 s.
    CrashingRequest,
}

/// The scenarios by name.
pub const SCENARIOS: [(&str, Scenario); 6] = [
    ("0.1% errors", Scenario::Errors(0.001)),
    ("1% errors", Scenario::Errors(0.01)),
    ("overload with shed", Scenario::Overload),
    ("cold start", Scenario::ColdStart),
    ("own path at fault", Scenario::OwnPath),
    ("crashing request", Scenario::CrashingRequest),
];

/// The figures of one scenario.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Observations of healthy targets.
    pub observations: u64,
    /// Times a daemon began to avoid a healthy, reachable target.
    pub avoided: u64,
    /// Of these, those that lasted and lengthen the next hold.
    pub held: u64,
    /// Times the fleet wished to eject a healthy target.
    pub ejected: u64,
}

impl Figures {
    /// Returns `count` for each million observations.
    pub fn per_million(&self, count: u64) -> f64 {
        count as f64 * 1e6 / self.observations.max(1) as f64
    }
}

/// How a request to a target ends.
struct Answer {
    outcome: AttemptOutcome,
    elapsed: DurationMs,
    warming: bool,
}

fn answer(scenario: Scenario, daemon: usize, target: usize, ms: u64, rng: &mut Pcg64) -> Answer {
    let phase = ms % PERIOD_MS;
    let disturbed = (ms / PERIOD_MS) as usize % TARGETS;
    let mut answer = Answer {
        outcome: AttemptOutcome::Answered,
        elapsed: latency(MEDIAN_MS, rng),
        warming: false,
    };
    match scenario {
        Scenario::Errors(share) if rng.random_bool(share) => {
            answer.outcome = AttemptOutcome::Failed;
        }
        Scenario::Overload if phase < 60_000 => {
            answer.elapsed = latency(MEDIAN_MS * 3.0, rng);
            if rng.random_bool(0.3) {
                answer.outcome = AttemptOutcome::Shed;
                answer.elapsed = DurationMs(1);
            }
        }
        Scenario::ColdStart if target == disturbed && phase < 2_000 => {
            answer.outcome = AttemptOutcome::ConnectFailed;
            answer.elapsed = DurationMs(1);
        }
        Scenario::ColdStart if target == disturbed && phase < 17_000 => {
            answer.elapsed = latency(MEDIAN_MS * 4.0, rng);
            answer.warming = true;
        }
        Scenario::OwnPath if daemon == 0 && phase < 60_000 && rng.random_bool(0.6) => {
            answer.outcome = AttemptOutcome::TimedOut;
            answer.elapsed = DurationMs(TIMEOUT_MS);
        }
        Scenario::CrashingRequest if target == disturbed => {
            let since_crash = phase % 60_000;
            if since_crash < 100 {
                answer.outcome = AttemptOutcome::ConnectionLost;
            } else if since_crash < 2_000 {
                answer.outcome = AttemptOutcome::ConnectFailed;
                answer.elapsed = DurationMs(1);
            }
        }
        _ => {}
    }
    answer
}

struct Node {
    daemon: Daemon,
    next_at: [f64; TARGETS],
    avoided: [bool; TARGETS],
    trial: [bool; TARGETS],
}

/// Measures one scenario with at least `observations` observations.
pub fn measure(profile: Profile, scenario: Scenario, observations: u64) -> Figures {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let mut nodes = Vec::new();
    for number in 0..DAEMONS {
        let mut daemon = Daemon::new(number, profile, TARGETS);
        daemon.warm_up(&mut rng);
        nodes.push(Node {
            daemon,
            next_at: [0.0; TARGETS],
            avoided: [false; TARGETS],
            trial: [false; TARGETS],
        });
    }
    let mut figures = Figures::default();
    let mut wished_at = [None; TARGETS];
    let mut ms = 0;
    while figures.observations < observations {
        ms += TICK_MS;
        // The warm-up took 40 s.
        let now = TimeMs(40_000 + ms);
        for (number, node) in nodes.iter_mut().enumerate() {
            for target in 0..TARGETS {
                send_tick(
                    node,
                    number,
                    target,
                    scenario,
                    ms,
                    now,
                    &mut rng,
                    &mut figures,
                );
            }
            judge_tick(node, now, &mut wished_at, &mut figures);
        }
        if ms.is_multiple_of(1_000) {
            gossip(&mut nodes, now);
        }
    }
    figures
}

#[expect(clippy::too_many_arguments, reason = "one step of one scripted stream")]
fn send_tick(
    node: &mut Node,
    number: usize,
    target: usize,
    scenario: Scenario,
    ms: u64,
    now: TimeMs,
    rng: &mut Pcg64,
    figures: &mut Figures,
) {
    let mut due = 0;
    while node.next_at[target] <= ms as f64 {
        node.next_at[target] += gap(GAP_MS, rng);
        due += 1;
    }
    if node.avoided[target] {
        due = u32::from(std::mem::take(&mut node.trial[target]));
    }
    for _ in 0..due {
        let answer = answer(scenario, number, target, ms, rng);
        figures.observations += 1;
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

fn judge_tick(
    node: &mut Node,
    now: TimeMs,
    wished_at: &mut [Option<TimeMs>; TARGETS],
    figures: &mut Figures,
) {
    let evaluation = node.daemon.evaluate_targets(now);
    for (target, wished_at) in wished_at.iter_mut().enumerate() {
        let name = &node.daemon.targets[target];
        let Some(verdict) = evaluation.verdicts.get(name) else {
            continue;
        };
        let avoided = verdict.preference == Preference::Avoided;
        let row = node.daemon.health.targets.get(name);
        let reachable = row.is_some_and(|row| row.connects_failed == 0);
        if avoided && !node.avoided[target] && reachable {
            figures.avoided += 1;
        }
        let lasts = |row: &TargetHealth| {
            let since = row.bad_since.map(|since| now.since(since));
            row.hold_counted && since == Some(LASTING_MS)
        };
        figures.held += u64::from(row.is_some_and(lasts));
        node.avoided[target] = avoided;
        node.trial[target] = verdict.trial;
        if matches!(verdict.permit_proposal, Some(PermitProposal::Eject { .. })) {
            let since = wished_at.replace(now);
            if since.is_none_or(|since: TimeMs| now.since(since) > DurationMs(30_000)) {
                figures.ejected += 1;
            }
        }
    }
}

/// Tells the evidence of each daemon to all others at once, which is the case
/// in which mistakes add up most.
fn gossip(nodes: &mut [Node], now: TimeMs) {
    for from in 0..nodes.len() {
        let daemon = &mut nodes[from].daemon;
        let host = daemon.host.clone();
        let suspected = daemon.evaluate_targets(now).own_path_suspected;
        let offered = exceptional_evidence(&daemon.health, &daemon.config, &host, now);
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

/// Measures all scenarios and prints the table.
pub fn print() -> String {
    let mut rows = Vec::new();
    for profile in Profile::ALL {
        for (name, scenario) in SCENARIOS {
            let figures = measure(profile, scenario, OBSERVATIONS);
            rows.push(vec![
                profile.as_str().to_owned(),
                name.to_owned(),
                figures.observations.to_string(),
                format!("{:.1}", figures.per_million(figures.avoided)),
                format!("{:.1}", figures.per_million(figures.held)),
                format!("{:.1}", figures.per_million(figures.ejected)),
            ]);
        }
    }
    let heads = [
        "profile",
        "scenario",
        "observations",
        "avoided per million",
        "of these lasting",
        "ejections wished per million",
    ];
    markdown(&heads, &rows)
}

//! Measures how many targets one poison request crashes.

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use agatehold_core::ids::Digest;
use agatehold_core::ids::HostId;
use agatehold_core::ids::TargetName;
use agatehold_core::poison::Admission;
use agatehold_core::poison::CrashMark;
use agatehold_core::poison::PoisonTable;
use agatehold_core::poison::admit;
use agatehold_core::poison::mark_crash;
use agatehold_core::units::TimeMs;

use crate::simulation::parse_name;
use crate::table::markdown;
use crate::table::mean;
use crate::table::quantile;

/// The seed of every run.
pub const SEED: u64 = 803;

/// The number of daemons in the fleet.
const DAEMONS: usize = 48;

/// The number of targets of the service.
const TARGETS: usize = 6;

/// How long the request runs before the target crashes.
const CRASH_MS: u64 = 5;

/// The share of pushed crash marks that are lost and arrive later with gossip.
const PUSH_LOSS: f64 = 0.01;

/// The maximum number of times the caller sends the request again.
const RESENDS: u32 = 60;

/// The rule by which daemons admit a request that has crashed targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// After the first crash, only the daemon that reported it may send the
    /// request once more. This is `admit`, which the daemon uses.
    Reporter,
    /// Any daemon may send the request while it knows of fewer than two crashes.
    AnyDaemon,
}

/// How the caller sends the request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller {
    /// Sequentially: this many milliseconds after each refusal.
    Sequential(u64),
    /// First to this many daemons at once, then 100 ms after each refusal.
    Parallel(u32),
}

/// The callers with their names in the report.
pub const CALLERS: [(&str, Caller); 4] = [
    ("resends after 1 ms", Caller::Sequential(1)),
    ("resends after 100 ms", Caller::Sequential(100)),
    ("resends after 5 s", Caller::Sequential(5_000)),
    ("sends 3 at once", Caller::Parallel(3)),
];

#[derive(Clone, Debug)]
enum Event {
    RequestArrives(usize),
    TargetCrashes { daemon: usize, target: usize },
    MarkArrives { daemon: usize, mark: CrashMark },
}

/// Returns the number of crashes that one request causes, per trial.
pub fn measure(rule: Rule, caller: Caller, trials: u32) -> Vec<f64> {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let mut crashes = Vec::new();
    for _ in 0..trials {
        crashes.push(f64::from(run_trial(rule, caller, &mut rng)));
    }
    crashes
}

fn run_trial(rule: Rule, caller: Caller, rng: &mut Pcg64) -> u32 {
    let fingerprint = Digest::of_parts(&[b"certificates", b"GET", b"/crash"]);
    let mut tables = vec![PoisonTable::default(); DAEMONS];
    let mut events: Vec<(u64, Event)> = Vec::new();
    let (pause_ms, parallel) = match caller {
        Caller::Sequential(pause_ms) => (pause_ms, 1),
        Caller::Parallel(parallel) => (100, parallel),
    };
    for _ in 0..parallel {
        events.push((0, Event::RequestArrives(rng.random_range(0..DAEMONS))));
    }
    let (mut crashes, mut resends) = (0, 0);
    let mut crashed: Vec<(usize, u64)> = Vec::new();
    while let Some(first) = (0..events.len()).min_by_key(|position| events[*position].0) {
        let (now, event) = events.swap_remove(first);
        match event {
            Event::RequestArrives(daemon) => {
                let admitted = admits(rule, &mut tables[daemon], &fingerprint, daemon, now);
                let up: Vec<usize> = (0..TARGETS)
                    .filter(|target| !is_down(&crashed, *target, now))
                    .collect();
                if admitted && !up.is_empty() {
                    let target = up[rng.random_range(0..up.len())];
                    events.push((now + CRASH_MS, Event::TargetCrashes { daemon, target }));
                } else if resends < RESENDS {
                    // The refusal and the next attempt take 3 ms each on the network.
                    resends += 1;
                    let at = now + 6 + pause_ms;
                    events.push((at, Event::RequestArrives(rng.random_range(0..DAEMONS))));
                }
            }
            Event::TargetCrashes { daemon, target } => {
                crashes += 1;
                crashed.push((target, now));
                let mark = CrashMark {
                    fingerprint,
                    target: target_name(target),
                    reporter: host(daemon),
                    at: TimeMs(now),
                    cleared: false,
                };
                mark_crash(&mut tables[daemon], mark.clone(), TimeMs(now));
                for peer in (0..DAEMONS).filter(|peer| *peer != daemon) {
                    let delay = draw_push_delay_ms(rng);
                    let mark = mark.clone();
                    events.push((now + delay, Event::MarkArrives { daemon: peer, mark }));
                }
                // The daemon itself retries an idempotent request as soon as its
                // rule permits.
                let wait_ms = if rule == Rule::Reporter { 50 } else { 0 };
                events.push((now + wait_ms, Event::RequestArrives(daemon)));
            }
            Event::MarkArrives { daemon, mark } => {
                mark_crash(&mut tables[daemon], mark, TimeMs(now));
            }
        }
    }
    crashes
}

fn admits(
    rule: Rule,
    table: &mut PoisonTable,
    fingerprint: &Digest,
    daemon: usize,
    now: u64,
) -> bool {
    match rule {
        Rule::Reporter => matches!(
            admit(table, fingerprint, &host(daemon), TimeMs(now)),
            Admission::Admitted | Admission::AdmittedOnce
        ),
        Rule::AnyDaemon => table
            .rows
            .get(fingerprint)
            .is_none_or(|row| row.marks.len() < 2),
    }
}

fn is_down(crashed: &[(usize, u64)], target: usize, now: u64) -> bool {
    let recent = |(name, at): &(usize, u64)| *name == target && now < at + 2_000;
    crashed.iter().any(recent)
}

/// Draws the time until a crash mark reaches a peer: 1 to 3 ms by push, or 1 to
/// 6 s by gossip if the push is lost.
fn draw_push_delay_ms(rng: &mut impl Rng) -> u64 {
    if rng.random_bool(PUSH_LOSS) {
        return rng.random_range(1_000..6_000);
    }
    rng.random_range(1..=3)
}

fn host(number: usize) -> HostId {
    parse_name(&format!("host-{number}"))
}

fn target_name(number: usize) -> TargetName {
    parse_name(&format!("target-{number}"))
}

/// Measures all rules and callers and returns the table.
pub fn report(trials: u32) -> String {
    let mut rows = Vec::new();
    let rules = [
        ("only the reporter tries again", Rule::Reporter),
        ("any daemon with fewer than two marks", Rule::AnyDaemon),
    ];
    for (rule_name, rule) in rules {
        for (caller_name, caller) in CALLERS {
            let mut crashes = measure(rule, caller, trials);
            let above = crashes.iter().filter(|count| **count > 2.0).count();
            rows.push(vec![
                rule_name.to_owned(),
                caller_name.to_owned(),
                format!("{:.2}", mean(&crashes)),
                format!("{:.0}", quantile(&mut crashes, 0.99)),
                format!("{:.0}", quantile(&mut crashes, 1.0)),
                format!("{:.2}%", 100.0 * above as f64 / f64::from(trials)),
            ]);
        }
    }
    let headers = ["rule", "caller", "mean crashes", "p99", "most", "above 2"];
    markdown(&headers, &rows)
}

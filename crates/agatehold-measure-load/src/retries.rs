//! Measures the attempts per request while targets fail, with and without the
//! retry budget.

use rand::RngExt;
use rand_pcg::Pcg64;

use agatehold_core::idempotency::KeyState;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::refusal::RefusalOutcome;
use agatehold_core::retry::Attempts;
use agatehold_core::retry::NextStep;
use agatehold_core::retry::RequestFacts;
use agatehold_core::retry::RetryBudget;
use agatehold_core::retry::next_step;
use agatehold_core::units::DurationMs;
use agatehold_core::units::Percent;
use agatehold_core::units::TimeMs;

use crate::table_text::markdown;
use crate::table_text::percent;

/// The seed of every run.
pub const SEED: u64 = 23;

/// The number of targets of the service.
const TARGETS: usize = 6;

/// The length of one run.
const RUN_S: u64 = 120;

/// A fault that some targets have during the whole run.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// The name in the report.
    pub name: &'static str,
    /// The number of targets with the fault.
    pub targets: usize,
    /// The outcome of every attempt at these targets.
    pub outcome: AttemptOutcome,
}

/// The measured faults.
pub const FAULTS: [Fault; 5] = [
    Fault {
        name: "one of 6 loses connections",
        targets: 1,
        outcome: AttemptOutcome::ConnectionLost,
    },
    Fault {
        name: "one of 6 refuses connections",
        targets: 1,
        outcome: AttemptOutcome::ConnectFailed,
    },
    Fault {
        name: "all lose connections",
        targets: TARGETS,
        outcome: AttemptOutcome::ConnectionLost,
    },
    Fault {
        name: "all shed",
        targets: TARGETS,
        outcome: AttemptOutcome::Shed,
    },
    Fault {
        name: "all refuse connections",
        targets: TARGETS,
        outcome: AttemptOutcome::ConnectFailed,
    },
];

/// The result of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryResult {
    /// The number of requests from callers.
    pub requests: u32,
    /// The number of attempts at targets.
    pub attempts: u32,
    /// The highest ratio of attempts to requests in any second.
    pub worst_second: f64,
    /// The number of requests that a target answered.
    pub answered: u32,
    /// The number of requests refused with outcome not-run.
    pub not_run: u32,
    /// The number of requests refused with outcome unknown.
    pub unknown: u32,
}

impl RetryResult {
    /// Returns the mean number of attempts per request.
    pub fn ratio(&self) -> f64 {
        f64::from(self.attempts) / f64::from(self.requests)
    }
}

/// Runs evenly spaced idempotent requests at `rate_per_s` against targets with
/// `fault`. No target is avoided. `limited` enables the retry budget.
pub fn measure(fault: &Fault, rate_per_s: u64, limited: bool) -> RetryResult {
    let mut rng = Pcg64::new(u128::from(SEED), 2);
    let mut budget = RetryBudget::new(Percent::TEN, TimeMs(0));
    let mut result = RetryResult::default();
    for second in 0..RUN_S {
        let before = result.attempts;
        for number in 0..rate_per_s {
            let now = TimeMs(second * 1_000 + number * 1_000 / rate_per_s);
            budget.record_request(now);
            result.requests += 1;
            run_request(fault, limited, now, &mut budget, &mut rng, &mut result);
        }
        let of_second = f64::from(result.attempts - before) / rate_per_s as f64;
        result.worst_second = result.worst_second.max(of_second);
    }
    result
}

fn run_request(
    fault: &Fault,
    limited: bool,
    now: TimeMs,
    budget: &mut RetryBudget,
    rng: &mut Pcg64,
    result: &mut RetryResult,
) {
    let facts = RequestFacts {
        idempotent: true,
        key: KeyState::NoKey,
        crashed: false,
        crashes: 0,
        passed_on: false,
        remaining_ms: DurationMs(1_000),
    };
    let mut attempts = Attempts::default();
    let mut untried: Vec<usize> = (0..TARGETS).collect();
    loop {
        let target = untried.swap_remove(rng.random_range(0..untried.len()));
        let outcome = if target < fault.targets {
            fault.outcome
        } else {
            AttemptOutcome::Answered
        };
        result.attempts += 1;
        let next = if limited {
            next_step(outcome, &facts, &mut attempts, budget, now)
        } else {
            // A new budget for each attempt always permits a retry.
            let mut fresh = RetryBudget::new(Percent::TEN, now);
            next_step(outcome, &facts, &mut attempts, &mut fresh, now)
        };
        match next {
            NextStep::SendAgain => continue,
            NextStep::Refuse {
                outcome: RefusalOutcome::NotRun,
                ..
            } => result.not_run += 1,
            NextStep::Refuse { .. } => result.unknown += 1,
            _ => result.answered += 1,
        }
        return;
    }
}

/// Measures all faults, rates and budgets and returns the table.
pub fn report() -> String {
    let mut rows = Vec::new();
    for fault in FAULTS {
        for rate_per_s in [1, 140] {
            for limited in [true, false] {
                let result = measure(&fault, rate_per_s, limited);
                let requests = f64::from(result.requests);
                rows.push(vec![
                    fault.name.to_owned(),
                    format!("{rate_per_s}/s"),
                    if limited { "10%" } else { "none" }.to_owned(),
                    format!("{:.3}", result.ratio()),
                    format!("{:.3}", result.worst_second),
                    percent(f64::from(result.answered), requests),
                    percent(f64::from(result.not_run), requests),
                    percent(f64::from(result.unknown), requests),
                ]);
            }
        }
    }
    let header = [
        "fault",
        "requests",
        "budget",
        "attempts to requests",
        "worst second",
        "answered",
        "refused not-run",
        "refused unknown",
    ];
    format!("Seed {SEED}, {RUN_S} s, no target is avoided.\n\n") + &markdown(&header, &rows)
}

//! Compares the choice of targets by expected work, by request count and by two random
//! choices on fixed traces.

mod simulate;
mod trace;

use crate::table::markdown;

pub use simulate::Policy;
pub use simulate::Results;
pub use simulate::Setup;
pub use simulate::simulate;
pub use trace::Trace;

/// The number of targets; each has four slots.
const TARGETS: usize = 64;

/// The simulated time of each run, of which the first part is not counted.
const LENGTH_MS: u64 = 60_000;

/// The seeds of the runs behind each row of the report.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Simulates a setup with several seeds and returns the results together.
pub fn simulate_seeds(setup: &Setup, seeds: &[u64]) -> Results {
    let mut all = Results::default();
    for seed in seeds {
        all.append(simulate(setup, *seed));
    }
    all
}

/// Measures all policies and returns the table.
pub fn report() -> String {
    let mut rows = Vec::new();
    for trace in Trace::ALL {
        for daemons in [1, 8] {
            for load in [0.5, 0.8, 0.95] {
                for policy in Policy::ALL {
                    let setup = Setup {
                        trace,
                        policy,
                        daemons,
                        targets: TARGETS,
                        load,
                        length_ms: LENGTH_MS,
                    };
                    let results = simulate_seeds(&setup, &SEEDS);
                    rows.push(vec![
                        trace.to_string(),
                        daemons.to_string(),
                        format!("{load}"),
                        policy.to_string(),
                        results.quantile(0.5).to_string(),
                        results.quantile(0.99).to_string(),
                        format!("{:.3}%", results.late_share() * 100.0),
                        format!("{:.2}%", results.full_share() * 100.0),
                        format!("{:.2}", results.log_error),
                    ]);
                }
            }
        }
    }
    let headers = [
        "trace",
        "daemons",
        "load",
        "choice by",
        "p50 ms",
        "p99 ms",
        "after 1.2 s",
        "met a full target",
        "log error",
    ];
    markdown(&headers, &rows)
}

//! A summary of a caller's records.

use std::fmt;

use agatehold_core::table::Table;

use crate::history::CallOutcome;
use crate::history::CallRecord;

/// Counts and latencies of a caller's records.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// The number of attempts.
    pub attempts: usize,
    /// The number of requests.
    pub requests: usize,
    /// The number of requests that succeeded.
    pub succeeded: usize,
    /// The number of attempts by result: an HTTP status, a kind of refusal, or
    /// a connection error.
    pub ends: Table<Box<str>, usize>,
    /// The durations of successful attempts in microseconds, sorted.
    pub total_us: Vec<u64>,
    /// The latencies that daemons added to successful attempts in microseconds,
    /// sorted.
    pub added_us: Vec<u64>,
}

/// Summarises records.
pub fn summarise(records: &[CallRecord]) -> Summary {
    let mut requests: Table<u64, bool> = Table::new();
    let mut summary = Summary {
        attempts: records.len(),
        requests: 0,
        succeeded: 0,
        ends: Table::new(),
        total_us: Vec::new(),
        added_us: Vec::new(),
    };
    for record in records {
        let end = match (record.outcome, record.refusal, record.status) {
            (CallOutcome::NotSent, _, _) => "not-sent".into(),
            (CallOutcome::ConnectFailed, _, _) => "connect-failed".into(),
            (CallOutcome::Lost, _, _) => "lost".into(),
            (CallOutcome::TimedOut, _, _) => "timed-out".into(),
            (_, Some(kind), _) => kind.to_string().into(),
            (_, None, status) => status.unwrap_or(0).to_string().into(),
        };
        *summary.ends.get_or_insert(end, || 0) += 1;
        *requests.get_or_insert(record.number, || false) |= record.is_success();
        if record.is_success() {
            summary.total_us.push(record.total_us);
            summary.added_us.extend(record.added_us);
        }
    }
    summary.requests = requests.len();
    summary.succeeded = requests
        .rows()
        .filter(|(_, is_success)| **is_success)
        .count();
    summary.total_us.sort_unstable();
    summary.added_us.sort_unstable();
    summary
}

/// Returns a percentile of the sorted `values` by the nearest-rank method, 0 if
/// there are none.
fn percentile(values: &[u64], percent: usize) -> u64 {
    let rank = (values.len() * percent).div_ceil(100);
    values.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "requests {}", self.requests)?;
        writeln!(f, "succeeded {}", self.succeeded)?;
        writeln!(f, "attempts {}", self.attempts)?;
        for (end, count) in self.ends.rows() {
            writeln!(f, "end {end} {count}")?;
        }
        for (name, values) in [("total", &self.total_us), ("added", &self.added_us)] {
            for percent in [50, 90, 99, 100] {
                writeln!(f, "{name}_p{percent}_us {}", percentile(values, percent))?;
            }
        }
        Ok(())
    }
}

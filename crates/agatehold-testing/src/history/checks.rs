//! Functions from records to violations of the guarantees.

use std::fmt;

use agatehold_core::ids::Digest;
use agatehold_core::ids::HostId;
use agatehold_core::ids::NoteNumber;
use agatehold_core::note::Head;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::refusal::RefusalOutcome;
use agatehold_core::table::Table;
use agatehold_core::units::TimeMs;

use crate::answer::answer_body;

use super::CallOutcome;
use super::CallRecord;
use super::HeadObservation;
use super::RunRecord;
use super::request_marker;

/// A guarantee that a history breaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A key of a non-idempotent request ran more than once.
    KeyRanAgain {
        /// The key.
        key: Box<str>,
        /// The number of runs.
        runs: usize,
    },
    /// A non-idempotent request ran more than once, whatever its keys.
    RequestRanAgain {
        /// The value of `n` in the request's path.
        marker: Box<str>,
        /// The number of runs.
        runs: usize,
    },
    /// A request was answered `not-run` and stands in a target's record.
    RanThoughNotRun {
        /// The id or marker of the request.
        request: Box<str>,
    },
    /// A key that had run before was answered `not-run`.
    KeyRefusedAfterRun {
        /// The key.
        key: Box<str>,
        /// The kind of the refusal.
        kind: Option<RefusalKind>,
    },
    /// A refusal has no request id, so that it can't be compared.
    RefusalWithoutId {
        /// The path of the request.
        path: Box<str>,
    },
    /// A success carries a body that does not belong to its request.
    ForeignAnswer {
        /// The path of the request.
        path: Box<str>,
        /// The beginning of the body.
        body: Box<str>,
    },
    /// A daemon had an older note in force than before.
    HeadWentBack {
        /// The host of the daemon.
        daemon: HostId,
        /// The note before.
        from: Head,
        /// The note after.
        to: Head,
    },
    /// Two different notes of the same number were in force.
    HeadsForked {
        /// The number of both notes.
        number: NoteNumber,
        /// The hash that was seen first.
        first: Digest,
        /// The hash that was seen later.
        second: Digest,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::KeyRanAgain { key, runs } => {
                write!(f, "the idempotency key {key} ran {runs} times")
            }
            Self::RequestRanAgain { marker, runs } => {
                write!(f, "the request n={marker} ran {runs} times")
            }
            Self::RanThoughNotRun { request } => {
                write!(f, "the request {request} was answered not-run and ran")
            }
            Self::KeyRefusedAfterRun { key, kind } => {
                write!(
                    f,
                    "the key {key} had run and was answered not-run ({kind:?})"
                )
            }
            Self::RefusalWithoutId { path } => {
                write!(f, "the refusal of {path} has no request id")
            }
            Self::ForeignAnswer { path, body } => {
                write!(f, "the answer to {path} belongs to another request: {body}")
            }
            Self::HeadWentBack { daemon, from, to } => {
                write!(f, "{daemon} went back from note {from} to {to}")
            }
            Self::HeadsForked {
                number,
                first,
                second,
            } => write!(f, "note {number} was in force as {first} and as {second}"),
        }
    }
}

/// What became of the requests of callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// All of them, each with all its attempts.
    pub requests: usize,
    /// Those that were answered with success.
    pub succeeded: usize,
    /// Those without success that a target ran.
    pub unknown_and_ran: usize,
    /// Those that were refused as `not-run` each time and that no target ran.
    pub refused_not_run: usize,
    /// Those that the caller has to look up although no target ran them.
    pub unknown_not_run: usize,
}

/// The longest part of a foreign body in a violation.
const BODY_SHOWN_BYTES: usize = 120;

/// Checks that no non-idempotent request ran more than once at all targets
/// together, by key and by the request's marker.
///
/// Every start counts as a run, whatever its end.
pub fn check_at_most_once(calls: &[CallRecord], runs: &[RunRecord]) -> Vec<Violation> {
    let mut runs_by_key: Table<&str, usize> = Table::new();
    let mut runs_by_marker: Table<&str, usize> = Table::new();
    for run in runs {
        if let Some(key) = &run.idempotency_key {
            *runs_by_key.get_or_insert(key, || 0) += 1;
        }
        if let Some(marker) = request_marker(&run.path) {
            *runs_by_marker.get_or_insert(marker, || 0) += 1;
        }
    }
    let mut keys: Table<&str, usize> = Table::new();
    let mut markers: Table<&str, usize> = Table::new();
    for call in calls {
        if !call.is_non_idempotent {
            continue;
        }
        if let Some(key) = call.key.as_deref() {
            keys.insert(key, runs_by_key.get(&key).copied().unwrap_or(0));
        }
        if let Some(marker) = request_marker(&call.path) {
            markers.insert(marker, runs_by_marker.get(&marker).copied().unwrap_or(0));
        }
    }
    let mut violations = Vec::new();
    for (key, runs) in keys.rows().filter(|(_, runs)| **runs > 1) {
        violations.push(Violation::KeyRanAgain {
            key: (*key).into(),
            runs: *runs,
        });
    }
    for (marker, runs) in markers.rows().filter(|(_, runs)| **runs > 1) {
        violations.push(Violation::RequestRanAgain {
            marker: (*marker).into(),
            runs: *runs,
        });
    }
    violations
}

/// Checks that no request that was answered `not-run` stands in a target's
/// record: by the id of each refused attempt, and by the marker of requests
/// of which every attempt is known not to have run.
pub fn check_not_run(calls: &[CallRecord], runs: &[RunRecord]) -> Vec<Violation> {
    let mut run_ids: Table<&str, ()> = Table::new();
    let mut run_markers: Table<&str, ()> = Table::new();
    for run in runs {
        if let Some(id) = &run.request_id {
            run_ids.insert(id, ());
        }
        if let Some(marker) = request_marker(&run.path) {
            run_markers.insert(marker, ());
        }
    }
    let mut violations = Vec::new();
    let mut never_run: Table<&str, bool> = Table::new();
    for call in calls {
        if let Some(marker) = request_marker(&call.path) {
            *never_run.get_or_insert(marker, || true) &= call.is_not_run();
        }
        if call.outcome != CallOutcome::Refused(RefusalOutcome::NotRun) {
            continue;
        }
        let Some(id) = call.request_id.as_deref() else {
            violations.push(Violation::RefusalWithoutId {
                path: call.path.clone(),
            });
            continue;
        };
        if run_ids.contains(&id) {
            violations.push(Violation::RanThoughNotRun { request: id.into() });
        }
    }
    for (marker, is_never_run) in never_run.rows() {
        if *is_never_run && run_markers.contains(marker) {
            violations.push(Violation::RanThoughNotRun {
                request: (*marker).into(),
            });
        }
    }
    violations
}

/// Checks that no later arrival of a key that had run was answered `not-run`,
/// on which the caller would send the request again under a new key.
pub fn check_key_refusals(calls: &[CallRecord], runs: &[RunRecord]) -> Vec<Violation> {
    let mut first_runs: Table<&str, TimeMs> = Table::new();
    for run in runs {
        let Some(key) = run.idempotency_key.as_deref() else {
            continue;
        };
        let started = TimeMs(run.started_ms);
        let first = first_runs.get_or_insert(key, || started);
        *first = started.min(*first);
    }
    let mut violations = Vec::new();
    for call in calls {
        let Some(key) = call.key.as_deref() else {
            continue;
        };
        let had_run = first_runs.get(&key).is_some_and(|at| *at < call.sent_at);
        if had_run && call.outcome == CallOutcome::Refused(RefusalOutcome::NotRun) {
            violations.push(Violation::KeyRefusedAfterRun {
                key: key.into(),
                kind: call.refusal,
            });
        }
    }
    violations
}

/// Counts requests by their markers and what became of them.
pub fn count_requests(calls: &[CallRecord], runs: &[RunRecord]) -> RequestCounts {
    let mut run_markers: Table<&str, ()> = Table::new();
    for run in runs {
        if let Some(marker) = request_marker(&run.path) {
            run_markers.insert(marker, ());
        }
    }
    let mut requests: Table<&str, (bool, bool)> = Table::new();
    for call in calls {
        let Some(marker) = request_marker(&call.path) else {
            continue;
        };
        let (succeeded, not_run) = requests.get_or_insert(marker, || (false, true));
        *succeeded |= call.is_success();
        *not_run &= call.is_not_run();
    }
    let mut counts = RequestCounts::default();
    for (marker, (succeeded, not_run)) in requests.rows() {
        counts.requests += 1;
        if *succeeded {
            counts.succeeded += 1;
        } else if run_markers.contains(marker) {
            counts.unknown_and_ran += 1;
        } else if *not_run {
            counts.refused_not_run += 1;
        } else {
            counts.unknown_not_run += 1;
        }
    }
    counts
}

/// Counts the refused attempts by kind.
pub fn count_refusals(calls: &[CallRecord]) -> Vec<(RefusalKind, usize)> {
    let mut counts: Table<RefusalKind, usize> = Table::new();
    for call in calls {
        if let Some(kind) = call.refusal {
            *counts.get_or_insert(kind, || 0) += 1;
        }
    }
    counts.rows().map(|(kind, count)| (*kind, *count)).collect()
}

/// Checks that every success carries the whole body of its own request.
pub fn check_own_answer(calls: &[CallRecord]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for call in calls {
        if !call.is_success() {
            continue;
        }
        let own = answer_body(&call.method, &call.path, &call.request_body);
        if *own == *call.body {
            continue;
        }
        let shown = &call.body[..call.body.len().min(BODY_SHOWN_BYTES)];
        violations.push(Violation::ForeignAnswer {
            path: call.path.clone(),
            body: String::from_utf8_lossy(shown).into(),
        });
    }
    violations
}

/// Checks that no daemon went back to an older note, and that no number was
/// in force with two hashes; observations are in order of time.
pub fn check_heads(observations: &[HeadObservation]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut newest: Table<&HostId, Head> = Table::new();
    let mut hashes: Table<NoteNumber, Digest> = Table::new();
    for seen in observations {
        let head = seen.head;
        let first = *hashes.get_or_insert(head.number, || head.hash);
        if first != head.hash {
            violations.push(Violation::HeadsForked {
                number: head.number,
                first,
                second: head.hash,
            });
        }
        let before = newest.insert(&seen.daemon, head).unwrap_or(head);
        if head.number < before.number {
            violations.push(Violation::HeadWentBack {
                daemon: seen.daemon.clone(),
                from: before,
                to: head,
            });
        }
    }
    violations
}

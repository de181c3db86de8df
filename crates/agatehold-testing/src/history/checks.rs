//! Checks that find violations of the guarantees in recorded calls and runs.

use std::fmt;

use agatehold_core::ids::Digest;
use agatehold_core::ids::HostId;
use agatehold_core::ids::NoteNumber;
use agatehold_core::note::Head;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::refusal::RefusalOutcome;
use agatehold_core::table::Table;
use agatehold_core::units::TimeMs;

use crate::response_body::generate_response_body;

use super::CallOutcome;
use super::CallRecord;
use super::HeadObservation;
use super::RunRecord;
use super::request_marker;

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Targets ran non-idempotent requests with the same idempotency key more
    /// than once.
    KeyRanAgain {
        /// The idempotency key.
        key: Box<str>,
        /// The number of runs with this key at all targets.
        runs: usize,
    },
    /// Targets ran a non-idempotent request more than once, with the same or
    /// with different idempotency keys.
    RequestRanAgain {
        /// The request marker: the value of `n` in the query.
        marker: Box<str>,
        /// The number of runs of this request at all targets.
        runs: usize,
    },
    /// A request was refused with outcome `not-run`, but a target ran it.
    RanDespiteNotRun {
        /// The request id, or the request marker.
        request: Box<str>,
    },
    /// A request was refused with outcome `not-run` after a request with the
    /// same idempotency key had run.
    KeyRefusedAfterRun {
        /// The idempotency key.
        key: Box<str>,
        /// The kind of refusal.
        kind: Option<RefusalKind>,
    },
    /// A refusal has no request id, so that it can't be matched with runs.
    RefusalWithoutId {
        /// The path of the request.
        path: Box<str>,
    },
    /// The body of a successful response is not the one that a target generates
    /// for this request.
    UnexpectedBody {
        /// The path of the request.
        path: Box<str>,
        /// The beginning of the response body.
        body: Box<str>,
    },
    /// A daemon replaced the note in force by an older one.
    HeadRolledBack {
        /// The host of the daemon.
        daemon: HostId,
        /// The newer note, in force before.
        from: Head,
        /// The older note, in force afterwards.
        to: Head,
    },
    /// Two different notes with the same number were in force.
    HeadsForked {
        /// The number of both notes.
        number: NoteNumber,
        /// The hash that was observed first.
        first: Digest,
        /// The different hash that was observed later.
        second: Digest,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::KeyRanAgain { key, runs } => {
                write!(
                    f,
                    "requests with the idempotency key {key} ran {runs} times"
                )
            }
            Self::RequestRanAgain { marker, runs } => {
                write!(f, "the non-idempotent request n={marker} ran {runs} times")
            }
            Self::RanDespiteNotRun { request } => {
                write!(
                    f,
                    "the request {request} was refused as not-run, but a target ran it"
                )
            }
            Self::KeyRefusedAfterRun { key, kind } => {
                write!(
                    f,
                    "a request with the idempotency key {key} was refused as not-run ({kind:?}) \
                     after a request with this key had run"
                )
            }
            Self::RefusalWithoutId { path } => {
                write!(f, "the refusal of the request {path} has no request id")
            }
            Self::UnexpectedBody { path, body } => {
                write!(
                    f,
                    "the response to {path} has an unexpected body, starting with: {body}"
                )
            }
            Self::HeadRolledBack { daemon, from, to } => {
                write!(f, "{daemon} replaced note {from} by the older note {to}")
            }
            Self::HeadsForked {
                number,
                first,
                second,
            } => write!(
                f,
                "two notes with number {number} were in force, with hashes {first} and {second}"
            ),
        }
    }
}

/// The number of requests by result. A request includes all its attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// All requests.
    pub requests: usize,
    /// Requests with a successful response.
    pub succeeded: usize,
    /// Requests without a successful response that a target ran.
    pub unknown_and_ran: usize,
    /// Requests that no target ran, and of which the caller knows that no
    /// attempt ran.
    pub refused_not_run: usize,
    /// Requests that no target ran, although the caller can't tell whether an
    /// attempt ran.
    pub unknown_not_run: usize,
}

/// The number of bytes of an unexpected response body that a violation shows.
const SHOWN_BODY_BYTES: usize = 120;

/// Checks that no non-idempotent request ran more than once, counted over all
/// targets, by idempotency key and by request marker.
///
/// Every run that started counts, however it ended.
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

/// Checks that no target ran a request that was refused with outcome `not-run`.
///
/// Runs are looked up by the request id of each refused attempt, and by the
/// marker of each request of which every attempt is known not to have run.
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
    let mut known_not_run: Table<&str, bool> = Table::new();
    for call in calls {
        if let Some(marker) = request_marker(&call.path) {
            *known_not_run.get_or_insert(marker, || true) &= call.is_not_run();
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
            violations.push(Violation::RanDespiteNotRun { request: id.into() });
        }
    }
    for (marker, is_known_not_run) in known_not_run.rows() {
        if *is_known_not_run && run_markers.contains(marker) {
            violations.push(Violation::RanDespiteNotRun {
                request: (*marker).into(),
            });
        }
    }
    violations
}

/// Checks that once a request with some idempotency key has run, no later
/// request with this key is refused with outcome `not-run`. The caller would
/// take this to mean that the request never ran, and send it again under a new
/// key.
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

/// Counts the requests by result. Attempts belong to the same request if they
/// have the same marker.
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

/// Counts the refused attempts by kind of refusal.
pub fn count_refusals(calls: &[CallRecord]) -> Vec<(RefusalKind, usize)> {
    let mut counts: Table<RefusalKind, usize> = Table::new();
    for call in calls {
        if let Some(kind) = call.refusal {
            *counts.get_or_insert(kind, || 0) += 1;
        }
    }
    counts.rows().map(|(kind, count)| (*kind, *count)).collect()
}

/// Checks that every successful response has exactly the body that a target
/// generates for its request.
pub fn check_response_bodies(calls: &[CallRecord]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for call in calls {
        if !call.is_success() {
            continue;
        }
        let own = generate_response_body(&call.method, &call.path, &call.request_body);
        if *own == *call.body {
            continue;
        }
        let shown = &call.body[..call.body.len().min(SHOWN_BODY_BYTES)];
        violations.push(Violation::UnexpectedBody {
            path: call.path.clone(),
            body: String::from_utf8_lossy(shown).into(),
        });
    }
    violations
}

/// Checks that no daemon replaced the note in force by an older one, and that
/// no two notes with the same number and different hashes were in force.
/// `observations` must be in order of time.
pub fn check_note_heads(observations: &[HeadObservation]) -> Vec<Violation> {
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
            violations.push(Violation::HeadRolledBack {
                daemon: seen.daemon.clone(),
                from: before,
                to: head,
            });
        }
    }
    violations
}

//! The times at which refused callers are told to return.

use crate::config::TrafficClass;
use crate::units::DurationMs;
use crate::units::TimeMs;

/// The share of the capacity that is expected to be free for callers that return. The
/// rest serves new requests.
const RETURN_SHARE: f64 = 0.25;

/// The shortest time after which a caller is told to return.
const SHORTEST_MS: DurationMs = DurationMs(100);

/// The longest time, also where the caller's own limit is not known.
const LONGEST_MS: DurationMs = DurationMs(60_000);

/// The part of the time it has left that a caller waits before it returns.
const TIME_LEFT_DIVISOR: u64 = 3;

/// A refused request whose caller may return.
#[derive(Clone, Copy, Debug)]
pub(super) struct RefusedWork {
    /// The class of the request.
    pub(super) class: TrafficClass,
    /// The time in which all slots together serve the request.
    pub(super) service_ms: f64,
    /// The estimated time until the work that waits now has been served.
    pub(super) backlog_ms: DurationMs,
    /// The time that the caller has left, if known.
    pub(super) time_left_ms: Option<DurationMs>,
}

/// When the work of the callers that were told to return will have been served, by
/// class.
#[derive(Clone, Debug, Default)]
pub(super) struct ReturnSchedule {
    /// By class: when the refused work told to return so far will have been served.
    served_until: [f64; 3],
}

impl ReturnSchedule {
    /// Returns how long a refused caller waits, and reserves the time that its request
    /// takes.
    ///
    /// The wait ends when the waiting work and the refused work of the same and of
    /// higher classes will have been served. Where the caller can't wait that long, the
    /// times are spread over what it can wait: with one common limit, callers refused
    /// together would return together.
    pub(super) fn next(&mut self, work: RefusedWork, now: TimeMs) -> DurationMs {
        let now = now.0 as f64;
        let own = work.class as usize;
        let mut ahead_ms = 0.0;
        for served_until in &self.served_until[..=own] {
            ahead_ms += (served_until - now).max(0.0);
        }
        let longest = LONGEST_MS.0 as f64;
        let served_until = self.served_until[own].max(now) + work.service_ms / RETURN_SHARE;
        self.served_until[own] = served_until.min(now + longest);
        let cap_ms = match work.time_left_ms {
            Some(left_ms) => DurationMs(left_ms.0 / TIME_LEFT_DIVISOR),
            None => LONGEST_MS,
        };
        let cap_ms = cap_ms.clamp(SHORTEST_MS, LONGEST_MS).0 as f64;
        let shortest = SHORTEST_MS.0 as f64;
        let from_ms = (work.backlog_ms.0 as f64).max(shortest);
        if from_ms + ahead_ms <= cap_ms {
            return DurationMs((from_ms + ahead_ms) as u64);
        }
        // At least the later half of the time is used to spread the returns.
        let from_ms = from_ms.min(shortest.max(cap_ms / 2.0));
        let span_ms = cap_ms - from_ms;
        if span_ms < 1.0 {
            return DurationMs(cap_ms as u64);
        }
        DurationMs((from_ms + ahead_ms % span_ms) as u64)
    }
}

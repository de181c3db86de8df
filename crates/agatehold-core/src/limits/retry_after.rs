//! Random `Retry-After` delays, so that refused callers don't all retry at once.

use rand::Rng;
use rand::RngExt;

use crate::units::DurationMs;

/// The shortest delay; `Retry-After` is in whole seconds.
const SHORTEST_MS: DurationMs = DurationMs(1_000);

/// The upper limit of [`RetryWindow::from_ms`].
const LONGEST_MS: DurationMs = DurationMs(60_000);

/// The range from which the delay of one refused caller is drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryWindow {
    /// The shortest delay.
    pub from_ms: DurationMs,
    /// The longest delay.
    pub to_ms: DurationMs,
}

impl RetryWindow {
    /// Creates the range for a refusal whose cause is expected to last
    /// `cause_ms`.
    ///
    /// The range begins at `cause_ms`, clamped to 1 s to 60 s, and ends at three
    /// times that delay, so that callers refused together don't retry together.
    pub fn after(cause_ms: DurationMs) -> Self {
        let from_ms = cause_ms.clamp(SHORTEST_MS, LONGEST_MS);
        Self {
            from_ms,
            to_ms: from_ms.times(3),
        }
    }

    /// Creates the range of one delay, for a caller that was given a time of its own.
    pub const fn exactly(delay_ms: DurationMs) -> Self {
        Self {
            from_ms: delay_ms,
            to_ms: delay_ms,
        }
    }
}

/// Draws a delay for `Retry-After` in whole seconds.
pub fn spread_retry_after(window: RetryWindow, rng: &mut impl Rng) -> DurationMs {
    let from_s = window.from_ms.0.div_ceil(1_000);
    let to_s = window.to_ms.0.div_ceil(1_000).max(from_s);
    DurationMs(rng.random_range(from_s..=to_s)).times(1_000)
}

/// The shortest delay for callers that understand fractions of a second.
const SHORTEST_FRACTION_MS: DurationMs = DurationMs(100);

/// The minimum length of the range for callers that understand fractions of a
/// second.
const SPREAD_FRACTION_MS: DurationMs = DurationMs(250);

/// Draws a delay in milliseconds for callers that understand fractions of a
/// second and whose total time for a request is only seconds.
///
/// `backlog_ms` is the estimated time until a request could be admitted. The
/// range from which the delay is drawn begins at `backlog_ms` and ends at twice
/// that, with lower limits of 100 ms and 250 ms for its start and its length, so
/// that callers refused together retry one after the other.
pub fn spread_retry_after_fraction(backlog_ms: DurationMs, rng: &mut impl Rng) -> DurationMs {
    let from_ms = backlog_ms.max(SHORTEST_FRACTION_MS);
    let spread_ms = from_ms.max(SPREAD_FRACTION_MS);
    DurationMs(rng.random_range(from_ms.0..=from_ms.0 + spread_ms.0))
}

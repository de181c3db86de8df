//! The rows of the health tables.

use std::fmt;
use std::str::FromStr;

use crate::ids::HostId;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::table::Table;
use crate::units::DurationMs;
use crate::units::ParseUnitError;
use crate::units::Percent;
use crate::units::TimeMs;

use super::Cusum;
use super::MedianEstimate;
use super::PeerEvidence;

/// The length of the first hold.
const INITIAL_HOLD_MS: DurationMs = DurationMs(10_000);

/// The longest hold.
const HOLD_MAX_MS: DurationMs = DurationMs(600_000);

/// The maximum time between the starts of two holds for the first to lengthen the
/// second.
const HOLD_HISTORY_MS: DurationMs = DurationMs(3_600_000);

/// A log likelihood ratio in nats; never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct LogLikelihood(f64);

impl LogLikelihood {
    /// Creates a ratio; a negative or undefined value counts as 0.
    pub const fn from_nats(nats: f64) -> Self {
        if nats > 0.0 { Self(nats) } else { Self(0.0) }
    }

    /// Returns the ratio in nats.
    pub const fn get(self) -> f64 {
        self.0
    }

    /// Returns this ratio times `factor`.
    pub const fn scaled(self, factor: f64) -> Self {
        Self::from_nats(self.0 * factor)
    }
}

impl fmt::Display for LogLikelihood {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}nat", self.0)
    }
}

impl FromStr for LogLikelihood {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let expected = "a log likelihood ratio in nats";
        let nats: f64 = text
            .strip_suffix("nat")
            .unwrap_or(text)
            .parse()
            .map_err(|_| ParseUnitError::NotANumber(expected))?;
        if !nats.is_finite() || nats < 0.0 {
            return Err(ParseUnitError::OutOfRange(expected));
        }
        Ok(Self(nats))
    }
}

/// The state of a target in this daemon, as in a circuit breaker with slow start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BreakerState {
    /// The target gets its full share of requests.
    #[default]
    Serving,
    /// The target is on hold: it is avoided until a time.
    Held {
        /// When trials may begin.
        until: TimeMs,
    },
    /// The target is avoided, but idempotent requests are sent to it one at a
    /// time as trials.
    OnTrial {
        /// The number of trials that have passed so far.
        passed: u32,
    },
    /// The target gets a growing share of its usual requests.
    Ramping {
        /// When the ramp began.
        since: TimeMs,
    },
}

/// The earlier holds of a target, for exponential backoff: each hold is twice as
/// long as the last one, up to `HOLD_MAX_MS`, unless the last one began more
/// than an hour ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HoldHistory {
    /// The number of holds that lengthen the next one.
    count: u32,
    /// When the last one began.
    last_at: TimeMs,
}

impl HoldHistory {
    /// Returns the length of a hold that would begin at `now`.
    pub fn hold_at(&self, now: TimeMs) -> DurationMs {
        if self.count == 0 || now.since(self.last_at) > HOLD_HISTORY_MS {
            return INITIAL_HOLD_MS;
        }
        let factor = 1u64 << self.count.min(16);
        INITIAL_HOLD_MS.times(factor).min(HOLD_MAX_MS)
    }

    /// Returns the length of the latest hold.
    pub fn last_hold(&self) -> DurationMs {
        let factor = 1u64 << self.count.saturating_sub(1).min(16);
        INITIAL_HOLD_MS.times(factor).min(HOLD_MAX_MS)
    }

    /// Stops counting the latest hold.
    pub fn undo(&mut self) {
        self.count = self.count.saturating_sub(1);
    }

    /// Records a hold that begins at `now` and returns its length.
    pub fn begin(&mut self, now: TimeMs) -> DurationMs {
        let hold = self.hold_at(now);
        if now.since(self.last_at) > HOLD_HISTORY_MS {
            self.count = 0;
        }
        self.count = self.count.saturating_add(1);
        self.last_at = now;
        hold
    }
}

/// What this daemon knows about one target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetHealth {
    /// The service of the target.
    pub service: ServiceName,
    /// Statistics on failures, one for each assumed failure rate of a failing
    /// target.
    pub failures: [Cusum; 3],
    /// The statistic on slowness.
    pub slowness: Cusum,
    /// The median latency.
    pub median: MedianEstimate,
    /// The moving average of the share of failures.
    pub failure_share: f64,
    /// The moving average of the share of slow samples.
    pub slow_share: f64,
    /// Whether the target serves, is avoided or is ramping up.
    pub breaker: BreakerState,
    /// Whether the target has failed a trial since the last tick.
    pub trial_failed: bool,
    /// The earlier holds, which lengthen the next one.
    pub holds: HoldHistory,
    /// Whether the current or last hold is counted in `holds`.
    pub hold_counted: bool,
    /// Whether the last verdict was the default one, see `evaluate_targets`.
    pub had_default_verdict: bool,
    /// When the last evidence was observed, `None` before the first.
    pub observed_at: Option<TimeMs>,
    /// When the target became bad, `None` while it is not.
    pub bad_since: Option<TimeMs>,
    /// The number of connection attempts that failed since the last answer.
    pub connects_failed: u32,
    /// The number of requests in flight that were reported as overdue.
    pub overdue: u32,
    /// When a connection was last lost before its answer began.
    pub lost_at: Option<TimeMs>,
    /// When a connection last went silent, `None` after the next answer.
    pub silent_at: Option<TimeMs>,
    /// When an answer of the target last said that it is leaving.
    pub leaving_at: Option<TimeMs>,
    /// Whether the last answer said that the target is warming up.
    pub warming: bool,
    /// Until when a target that was unreachable is assumed to be warming up.
    pub cold_until: Option<TimeMs>,
}

impl TargetHealth {
    /// Creates the row of a target that nothing is known about.
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            failures: [Cusum::default(); 3],
            slowness: Cusum::default(),
            median: MedianEstimate::default(),
            failure_share: 0.0,
            slow_share: 0.0,
            breaker: BreakerState::Serving,
            trial_failed: false,
            holds: HoldHistory::default(),
            hold_counted: false,
            had_default_verdict: true,
            observed_at: None,
            bad_since: None,
            connects_failed: 0,
            overdue: 0,
            lost_at: None,
            silent_at: None,
            leaving_at: None,
            warming: false,
            cold_until: None,
        }
    }

    /// Returns the evidence against the target: the largest of its statistics.
    pub fn evidence(&self) -> LogLikelihood {
        let mut largest = self.slowness.value();
        for statistic in &self.failures {
            if statistic.value() > largest {
                largest = statistic.value();
            }
        }
        largest
    }

    /// Sets all statistics to `value`.
    pub fn reset_evidence(&mut self, value: LogLikelihood) {
        for statistic in &mut self.failures {
            statistic.reset_to(value);
        }
        self.slowness.reset_to(value);
    }
}

/// The usual latency and failure rates of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceBaseline {
    /// The latency above which a sample is slow; traffic threads report a
    /// request as overdue once it has run this long.
    pub slow_bound_ms: DurationMs,
    /// The failure rate of a healthy target, at least 0.01.
    pub failure_rate: f64,
    /// The share of slow samples of a healthy target, at least 0.05.
    pub slow_rate: f64,
}

/// The tables of the failure detector.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthTables {
    /// What this daemon knows about each target.
    pub targets: Table<TargetName, TargetHealth>,
    /// The baseline of each service.
    pub services: Table<ServiceName, ServiceBaseline>,
    /// Evidence of other daemons by target and reporter.
    pub peers: Table<(TargetName, HostId), PeerEvidence>,
}

/// Returns the share of its usual requests that a ramping target gets after
/// `elapsed` of a ramp of `length`.
pub(super) fn ramp_share(elapsed: DurationMs, length: DurationMs) -> Percent {
    let share = elapsed.0.saturating_mul(100) / length.0.max(1);
    let share = u8::try_from(share.min(100)).unwrap_or(100);
    Percent::new(share).unwrap_or_default()
}

//! Simulated targets with faults, and a daemon that sends requests to them.

use std::collections::VecDeque;
use std::f64::consts::TAU;

use rand::Rng;
use rand::RngExt;

use agatehold_core::config::ConfigTables;
use agatehold_core::config::DetectionPolicy;
use agatehold_core::config::ServiceRow;
use agatehold_core::config::TargetRow;
use agatehold_core::config::TargetState;
use agatehold_core::ejection::PermitTables;
use agatehold_core::health::Evaluation;
use agatehold_core::health::HealthTables;
use agatehold_core::health::evaluate_targets;
use agatehold_core::health::next_overdue_at;
use agatehold_core::health::record_outcomes;
use agatehold_core::health::refresh_baselines;
use agatehold_core::ids::Digest;
use agatehold_core::ids::FailureDomain;
use agatehold_core::ids::HostId;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TargetName;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::outcome::OutcomeReport;
use agatehold_core::units::DurationMs;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TargetCount;
use agatehold_core::units::TimeMs;

/// The median latency of a healthy target.
pub const MEDIAN_MS: f64 = 20.0;

/// The standard deviation of the logarithm of the latency. With it, about one
/// answer in thirty takes more than 2.5 times the median.
const LATENCY_SIGMA: f64 = 0.5;

/// The timeout of a request.
pub const TIMEOUT_MS: u64 = 10_000;

/// The interval between ticks of a daemon's control thread.
pub const TICK_MS: u64 = 100;

/// The number of targets, as in the services certificates and dispatch.
pub const TARGETS: usize = 6;

/// The detection profile and slots of the smallest service of each of the two
/// users (section 1.1 of the design).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// Puertas del Plata, dispatch: 3 slots, detection time weighs more.
    DetectionFirst,
    /// Certiverde, certificates: 4 slots, false ejections weigh more.
    FalseEjectionFirst,
}

impl Profile {
    /// Both profiles.
    pub const ALL: [Self; 2] = [Self::DetectionFirst, Self::FalseEjectionFirst];

    /// Returns the name of the profile in release notes.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::DetectionFirst => "detection-first",
            Self::FalseEjectionFirst => "false-ejection-first",
        }
    }

    /// Returns the error rates that the failure detector must keep.
    pub fn policy(self) -> DetectionPolicy {
        match self {
            Self::DetectionFirst => DetectionPolicy::detection_first(),
            Self::FalseEjectionFirst => DetectionPolicy::false_ejection_first(),
        }
    }

    /// Returns the number of slots per target.
    pub const fn slots(self) -> SlotCount {
        match self {
            Self::DetectionFirst => SlotCount(3),
            Self::FalseEjectionFirst => SlotCount(4),
        }
    }
}

/// The fault of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// This share of the requests fails.
    Fails(f64),
    /// No request is answered.
    Hangs,
    /// Answers take this many times as long.
    Slower(f64),
    /// All requests fail in every second period, beginning with the first.
    Flaps {
        /// The length of a period.
        period_ms: u64,
    },
}

/// Draws a standard normal number with the Box-Muller transform (1958).
fn draw_standard_normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (TAU * rng.random::<f64>()).cos()
}

/// Draws a log-normal latency with median `median_ms`.
pub fn draw_latency(median_ms: f64, rng: &mut impl Rng) -> DurationMs {
    let ms = median_ms * (LATENCY_SIGMA * draw_standard_normal(rng)).exp();
    DurationMs((ms.round() as u64).clamp(1, TIMEOUT_MS))
}

/// Draws the time to the next arrival of a Poisson process.
pub fn draw_interarrival_ms(mean_ms: f64, rng: &mut impl Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() * mean_ms
}

/// Draws the outcome and latency of a request sent `at_ms` after `fault` began.
pub fn draw_answer(fault: Fault, at_ms: u64, rng: &mut impl Rng) -> (AttemptOutcome, DurationMs) {
    let share = match fault {
        Fault::Hangs => return (AttemptOutcome::TimedOut, DurationMs(TIMEOUT_MS)),
        Fault::Slower(factor) => {
            let elapsed = draw_latency(MEDIAN_MS * factor, rng);
            return (AttemptOutcome::Answered, elapsed);
        }
        Fault::Fails(share) => share,
        Fault::Flaps { period_ms } if (at_ms / period_ms) % 2 == 1 => 0.0,
        Fault::Flaps { .. } => 1.0,
    };
    let outcome = if rng.random_bool(share) {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Answered
    };
    (outcome, draw_latency(MEDIAN_MS, rng))
}

/// One daemon and the service that it sends requests to.
#[derive(Clone)]
pub struct Daemon {
    /// The host that the daemon runs on.
    pub host: HostId,
    /// The configuration in force.
    pub config: ConfigTables,
    /// The state of the failure detector.
    pub health: HealthTables,
    /// The permits for ejections; always empty here.
    pub permits: PermitTables,
    /// The service.
    pub service: ServiceName,
    /// The targets of the service.
    pub targets: Vec<TargetName>,
}

impl Daemon {
    /// Creates the daemon of host `number` and a service with `targets` targets.
    pub fn new(number: usize, profile: Profile, targets: usize) -> Self {
        let service: ServiceName = parse_name("certificates");
        let mut config = ConfigTables::default();
        let row = ServiceRow {
            floor: TargetCount(4),
            detection: profile.policy(),
            timeout_ms: DurationMs(TIMEOUT_MS),
            ..ServiceRow::default()
        };
        config.services.insert(service.clone(), row);
        let mut names = Vec::new();
        for position in 0..targets {
            let target: TargetName = parse_name(&format!("target-{position}"));
            let row = TargetRow {
                service: service.clone(),
                address: ([127, 0, 0, 1], 80).into(),
                failure_domain: domain(position),
                slots: profile.slots(),
                max_connections: 400,
                state: TargetState::Serving,
            };
            config.targets.insert(target.clone(), row);
            names.push(target);
        }
        Self {
            host: parse_name(&format!("host-{number}")),
            config,
            health: HealthTables::default(),
            permits: PermitTables::default(),
            service,
            targets: names,
        }
    }

    /// Records 40 s of healthy answers from all targets, so that the latency
    /// baselines are known.
    pub fn warm_up(&mut self, rng: &mut impl Rng) {
        for round in 0..400u64 {
            for position in 0..self.targets.len() {
                let elapsed = draw_latency(MEDIAN_MS, rng);
                let at = TimeMs(round * TICK_MS);
                self.record(position, AttemptOutcome::Answered, elapsed, at);
            }
            refresh_baselines(&mut self.health, &self.config);
        }
    }

    /// Records the outcome of one attempt at the target at `position`.
    pub fn record(
        &mut self,
        position: usize,
        outcome: AttemptOutcome,
        elapsed_ms: DurationMs,
        at: TimeMs,
    ) {
        let report = OutcomeReport {
            service: self.service.clone(),
            target: self.targets[position].clone(),
            outcome,
            elapsed_ms,
            at,
            fingerprint: Digest::default(),
            leaving: false,
            warming: false,
        };
        self.record_report(&report);
    }

    /// Records the outcome of one attempt.
    pub fn record_report(&mut self, report: &OutcomeReport) {
        let reports = std::slice::from_ref(report);
        record_outcomes(&mut self.health, &self.config, reports, |_| false);
    }

    /// Evaluates all targets, as the control thread does at each tick.
    pub fn evaluate_targets(&mut self, now: TimeMs) -> Evaluation {
        refresh_baselines(&mut self.health, &self.config);
        evaluate_targets(
            &mut self.health,
            &self.config,
            &self.permits,
            &self.host,
            now,
            host_domain,
        )
    }

    /// Returns the latency above which an answer of the service counts as slow.
    pub fn slow_bound(&self) -> DurationMs {
        let baseline = self.health.services.get(&self.service);
        baseline.map_or(DurationMs(TIMEOUT_MS), |row| row.slow_bound_ms)
    }
}

/// Parses a name that must be valid.
pub fn parse_name<T: std::str::FromStr>(text: &str) -> T {
    match text.parse() {
        Ok(name) => name,
        Err(_) => panic!("{text} is not a valid name"),
    }
}

/// Returns the failure domain of the target or host at `position`; there are
/// three, assigned in turn.
pub fn domain(position: usize) -> FailureDomain {
    parse_name(["a", "b", "c"][position % 3])
}

/// Returns the failure domain of a host.
pub fn host_domain(host: &HostId) -> Option<FailureDomain> {
    let number: usize = host.as_str().strip_prefix("host-")?.parse().ok()?;
    Some(domain(number))
}

/// A request in flight at a target.
#[derive(Clone, Debug)]
pub struct InFlightRequest {
    /// The position of the target.
    pub position: usize,
    /// When the request was sent.
    pub sent_at: u64,
    /// When the request ends.
    pub ends_at: u64,
    /// The outcome of the request.
    pub outcome: AttemptOutcome,
    /// When the request is next reported as overdue.
    pub overdue_at: u64,
}

/// The requests in flight from one daemon.
#[derive(Clone, Debug, Default)]
pub struct InFlightRequests {
    requests: VecDeque<InFlightRequest>,
}

impl InFlightRequests {
    /// Returns the number of requests in flight at the target at `position`.
    pub fn at_target(&self, position: usize) -> usize {
        self.requests
            .iter()
            .filter(|request| request.position == position)
            .count()
    }

    /// Sends a request to the target at `position`; `answer` is its outcome and
    /// latency.
    pub fn send(
        &mut self,
        position: usize,
        now: u64,
        answer: (AttemptOutcome, DurationMs),
        slow_bound: DurationMs,
    ) {
        self.requests.push_back(InFlightRequest {
            position,
            sent_at: now,
            ends_at: now + answer.1.0,
            outcome: answer.0,
            overdue_at: now + next_overdue_at(DurationMs(0), slow_bound).0,
        });
    }

    /// Returns the reports due at `now` as target position, outcome and elapsed
    /// time, and removes the requests that have ended.
    pub fn advance(
        &mut self,
        now: u64,
        slow_bound: DurationMs,
    ) -> Vec<(usize, AttemptOutcome, DurationMs)> {
        let mut reports = Vec::new();
        self.requests.retain_mut(|request| {
            let elapsed = DurationMs(now - request.sent_at);
            if now >= request.ends_at {
                let elapsed = DurationMs(request.ends_at - request.sent_at);
                reports.push((request.position, request.outcome, elapsed));
                return false;
            }
            if now >= request.overdue_at {
                reports.push((request.position, AttemptOutcome::Overdue, elapsed));
                request.overdue_at = request.sent_at + next_overdue_at(elapsed, slow_bound).0;
            }
            true
        });
        reports
    }
}

//! Scripted targets, their answers, and the service they belong to.

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

/// The spread of the logarithm of the latency; about one answer in thirty
/// then takes over 2.5 times the median.
const LATENCY_SIGMA: f64 = 0.5;

/// The timeout of a request.
pub const TIMEOUT_MS: u64 = 10_000;

/// The period of the control thread.
pub const TICK_MS: u64 = 100;

/// The targets of the certificates and dispatch services.
pub const TARGETS: usize = 6;

/// The two users and their smallest service (section 1.1 of the design).
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

    /// Returns the word of the release note.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::DetectionFirst => "detection-first",
            Self::FalseEjectionFirst => "false-ejection-first",
        }
    }

    /// Returns the error rates.
    pub fn policy(self) -> DetectionPolicy {
        match self {
            Self::DetectionFirst => DetectionPolicy::detection_first(),
            Self::FalseEjectionFirst => DetectionPolicy::false_ejection_first(),
        }
    }

    /// Returns the slots of a target.
    pub const fn slots(self) -> SlotCount {
        match self {
            Self::DetectionFirst => SlotCount(3),
            Self::FalseEjectionFirst => SlotCount(4),
        }
    }
}

/// What is wrong with a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A share of the requests fails.
    Fails(f64),
    /// No request is answered.
    Hangs,
    /// Answers take longer by a factor.
    Slower(f64),
    /// All requests fail in every second period.
    Flaps {
        /// The length of a period.
        period_ms: u64,
    },
}

/// Draws a standard normal number (Box and Muller 1958).
fn normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (TAU * rng.random::<f64>()).cos()
}

/// Draws a latency around `median_ms`.
pub fn latency(median_ms: f64, rng: &mut impl Rng) -> DurationMs {
    let ms = median_ms * (LATENCY_SIGMA * normal(rng)).exp();
    DurationMs((ms.round() as u64).clamp(1, TIMEOUT_MS))
}

/// Draws the time to the next arrival of a Poisson stream.
pub fn gap(mean_ms: f64, rng: &mut impl Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() * mean_ms
}

/// Draws how a request ends that is sent `at_ms` after the fault began.
pub fn answer(fault: Fault, at_ms: u64, rng: &mut impl Rng) -> (AttemptOutcome, DurationMs) {
    let share = match fault {
        Fault::Hangs => return (AttemptOutcome::TimedOut, DurationMs(TIMEOUT_MS)),
        Fault::Slower(factor) => {
            let elapsed = latency(MEDIAN_MS * factor, rng);
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
    (outcome, latency(MEDIAN_MS, rng))
}

/// One daemon and the service it sends requests to.
#[derive(Clone)]
pub struct Daemon {
    /// The name of the daemon.
    pub host: HostId,
    /// The configuration in force.
    pub config: ConfigTables,
    /// The failure detector.
    pub health: HealthTables,
    /// Permits, which stay empty here.
    pub permits: PermitTables,
    /// The service.
    pub service: ServiceName,
    /// Its targets.
    pub targets: Vec<TargetName>,
}

impl Daemon {
    /// Creates a daemon before a service of `targets` targets.
    pub fn new(number: usize, profile: Profile, targets: usize) -> Self {
        let service: ServiceName = name("certificates");
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
            let target: TargetName = name(&format!("target-{position}"));
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
            host: name(&format!("host-{number}")),
            config,
            health: HealthTables::default(),
            permits: PermitTables::default(),
            service,
            targets: names,
        }
    }

    /// Sends healthy work to all targets until what is normal is known.
    pub fn warm_up(&mut self, rng: &mut impl Rng) {
        for round in 0..400u64 {
            for position in 0..self.targets.len() {
                let elapsed = latency(MEDIAN_MS, rng);
                let at = TimeMs(round * TICK_MS);
                self.record(position, AttemptOutcome::Answered, elapsed, at);
            }
            refresh_baselines(&mut self.health, &self.config);
        }
    }

    /// Records one report about the target at `position`.
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

    /// Records one report.
    pub fn record_report(&mut self, report: &OutcomeReport) {
        let reports = std::slice::from_ref(report);
        record_outcomes(&mut self.health, &self.config, reports, |_| false);
    }

    /// Judges all targets.
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

    /// Returns the slow bound of the service.
    pub fn slow_bound(&self) -> DurationMs {
        let baseline = self.health.services.get(&self.service);
        baseline.map_or(DurationMs(TIMEOUT_MS), |row| row.slow_bound_ms)
    }
}

/// Parses a name that is known to be valid.
pub fn name<T: std::str::FromStr>(text: &str) -> T {
    match text.parse() {
        Ok(name) => name,
        Err(_) => panic!("{text} is not a valid name"),
    }
}

/// Returns the failure domain at `position` of three.
pub fn domain(position: usize) -> FailureDomain {
    name(["a", "b", "c"][position % 3])
}

/// Returns the failure domain of a daemon by its name.
pub fn host_domain(host: &HostId) -> Option<FailureDomain> {
    let number: usize = host.as_str().strip_prefix("host-")?.parse().ok()?;
    Some(domain(number))
}

/// A request in flight at a target.
#[derive(Clone, Debug)]
pub struct Flight {
    /// The target's position.
    pub position: usize,
    /// When it was sent.
    pub sent_at: u64,
    /// When it ends.
    pub ends_at: u64,
    /// How it ends.
    pub outcome: AttemptOutcome,
    /// When it is next reported as overdue.
    pub overdue_at: u64,
}

/// Requests in flight of one daemon.
#[derive(Clone, Debug, Default)]
pub struct Flights {
    flights: VecDeque<Flight>,
}

impl Flights {
    /// Returns the number in flight at a target.
    pub fn at_target(&self, position: usize) -> usize {
        self.flights
            .iter()
            .filter(|flight| flight.position == position)
            .count()
    }

    /// Sends a request.
    pub fn send(
        &mut self,
        position: usize,
        now: u64,
        ends: (AttemptOutcome, DurationMs),
        slow_bound: DurationMs,
    ) {
        self.flights.push_back(Flight {
            position,
            sent_at: now,
            ends_at: now + ends.1.0,
            outcome: ends.0,
            overdue_at: now + next_overdue_at(DurationMs(0), slow_bound).0,
        });
    }

    /// Returns what there is to report at `now`, each with its target.
    pub fn advance(
        &mut self,
        now: u64,
        slow_bound: DurationMs,
    ) -> Vec<(usize, AttemptOutcome, DurationMs)> {
        let mut reports = Vec::new();
        self.flights.retain_mut(|flight| {
            let elapsed = DurationMs(now - flight.sent_at);
            if now >= flight.ends_at {
                let elapsed = DurationMs(flight.ends_at - flight.sent_at);
                reports.push((flight.position, flight.outcome, elapsed));
                return false;
            }
            if now >= flight.overdue_at {
                reports.push((flight.position, AttemptOutcome::Overdue, elapsed));
                flight.overdue_at = flight.sent_at + next_overdue_at(elapsed, slow_bound).0;
            }
            true
        });
        reports
    }
}

//! Tests what counts as evidence against a target and what follows from it.

use agatehold_core::config::ConfigTables;
use agatehold_core::config::ServiceRow;
use agatehold_core::config::TargetRow;
use agatehold_core::config::TargetState;
use agatehold_core::ejection::PermitTables;
use agatehold_core::health::Evaluation;
use agatehold_core::health::HealthTables;
use agatehold_core::health::LogLikelihood;
use agatehold_core::health::PeerEvidence;
use agatehold_core::health::PermitProposal;
use agatehold_core::health::Verdict;
use agatehold_core::health::drop_reporter;
use agatehold_core::health::evaluate_targets;
use agatehold_core::health::merge_peer_evidence;
use agatehold_core::health::record_outcomes;
use agatehold_core::health::refresh_baselines;
use agatehold_core::ids::Digest;
use agatehold_core::ids::HostId;
use agatehold_core::ids::TargetName;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::outcome::OutcomeReport;
use agatehold_core::routing::Preference;
use agatehold_core::units::DurationMs;
use agatehold_core::units::Percent;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TimeMs;

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

fn target(service: usize, number: usize) -> TargetName {
    name(&format!("target-{service}-{number}"))
}

struct Daemon {
    config: ConfigTables,
    health: HealthTables,
    now: TimeMs,
}

impl Daemon {
    /// Creates a daemon with two services, each of six targets in three failure
    /// domains.
    fn new() -> Self {
        let mut config = ConfigTables::default();
        for service in 0..2 {
            let row = ServiceRow::default();
            config
                .services
                .insert(name(&format!("service-{service}")), row);
            for number in 0..6 {
                let row = TargetRow {
                    service: name(&format!("service-{service}")),
                    address: ([127, 0, 0, 1], 80).into(),
                    failure_domain: name(["a", "b", "c"][number % 3]),
                    slots: SlotCount(4),
                    max_connections: 400,
                    state: TargetState::Serving,
                };
                config.targets.insert(target(service, number), row);
            }
        }
        let health = HealthTables::default();
        let now = TimeMs(100_000);
        let mut daemon = Self {
            config,
            health,
            now,
        };
        for service in 0..2 {
            for number in 0..6 {
                daemon.report(service, number, AttemptOutcome::Answered, 20);
            }
        }
        daemon
    }

    /// Records the outcome of a number of requests at a target.
    fn report(&mut self, service: usize, number: usize, outcome: AttemptOutcome, times: usize) {
        let report = OutcomeReport {
            service: name(&format!("service-{service}")),
            target: target(service, number),
            outcome,
            elapsed_ms: DurationMs(20),
            at: self.now,
            fingerprint: Digest::default(),
            leaving: false,
            warming: false,
        };
        self.record(&vec![report; times]);
    }

    fn record(&mut self, reports: &[OutcomeReport]) {
        record_outcomes(&mut self.health, &self.config, reports, |_| false);
    }

    fn evaluate_targets(&mut self) -> Evaluation {
        refresh_baselines(&mut self.health, &self.config);
        let permits = PermitTables::default();
        let domain_of = |host: &HostId| host.as_str().get(..1).map(name);
        let (health, config) = (&mut self.health, &self.config);
        evaluate_targets(health, config, &permits, &name("a1"), self.now, domain_of)
    }

    /// Returns the verdict of this tick on a target of the first service, or the
    /// default verdict if there is none.
    fn verdict(&mut self, number: usize) -> Verdict {
        let name = target(0, number);
        let verdict = self.evaluate_targets().verdicts.get(&name).copied();
        verdict.unwrap_or(Verdict {
            preference: Preference::Preferred,
            share: Percent::HUNDRED,
            trial: false,
            leaving: false,
            capable: true,
            evidence: self.health.targets.get(&name).expect("a row").evidence(),
            permit_proposal: None,
        })
    }

    fn wait(&mut self, ms: u64) {
        self.now = self.now + DurationMs(ms);
    }

    /// Merges strong evidence of another daemon against the first target.
    fn merge_evidence_from(&mut self, reporter: &str) {
        let evidence = PeerEvidence {
            target: target(0, 0),
            reporter: name(reporter),
            evidence: LogLikelihood::from_nats(50.0),
            at: self.now,
        };
        merge_peer_evidence(&mut self.health, &[evidence], self.now);
    }
}

/// Requests that the target did not run, or that ended for another reason, must not
/// make a healthy target look bad.
#[test]
fn shed_and_cancelled_requests_are_no_evidence() {
    let mut daemon = Daemon::new();
    for outcome in [
        AttemptOutcome::Shed,
        AttemptOutcome::Cancelled,
        AttemptOutcome::NotWritten,
        AttemptOutcome::Silent,
    ] {
        daemon.report(0, 0, outcome, 50);
    }
    assert_eq!(daemon.verdict(0).preference, Preference::Preferred);
    assert_eq!(daemon.verdict(0).evidence, LogLikelihood::default());
}

/// Connections lost in one crash count as one observation: a request that crashes the
/// target interrupts up to three others.
#[test]
fn one_crash_is_one_observation() {
    let mut daemon = Daemon::new();
    daemon.report(0, 0, AttemptOutcome::ConnectionLost, 4);
    assert_eq!(daemon.verdict(0).preference, Preference::Preferred);
}

/// A silent connection is attributed to the network path, unless a new connection to
/// the target fails too.
#[test]
fn silence_counts_only_with_a_failed_connect() {
    let mut daemon = Daemon::new();
    daemon.report(0, 0, AttemptOutcome::Silent, 1);
    daemon.report(0, 0, AttemptOutcome::ConnectFailed, 1);
    daemon.report(0, 1, AttemptOutcome::ConnectFailed, 1);
    assert!(daemon.verdict(0).evidence > LogLikelihood::default());
    assert_eq!(daemon.verdict(1).evidence, LogLikelihood::default());
}

/// An unreachable target must get no more requests immediately, and later return by
/// trials and a ramp rather than at its full share.
#[test]
fn an_unreachable_target_returns_by_trials_and_a_ramp() {
    let mut daemon = Daemon::new();
    daemon.report(0, 0, AttemptOutcome::ConnectFailed, 1);
    let verdict = daemon.verdict(0);
    assert_eq!(
        (verdict.preference, verdict.trial, verdict.capable),
        (Preference::Avoided, false, false)
    );
    daemon.wait(1_000);
    assert!(daemon.verdict(0).trial);
    daemon.report(0, 0, AttemptOutcome::Answered, 5);
    assert_eq!(daemon.verdict(0).preference, Preference::Ramping);
    daemon.wait(15_000);
    assert_eq!(daemon.verdict(0).share.get(), 50);
    daemon.wait(15_000);
    assert_eq!(daemon.verdict(0).preference, Preference::Preferred);
}

/// A target that fails each time it returns must be tried less often each time.
#[test]
fn holds_double_and_are_remembered() {
    let mut daemon = Daemon::new();
    for hold_ms in [10_000, 20_000, 40_000] {
        daemon.report(0, 0, AttemptOutcome::Failed, 5);
        assert!(!daemon.verdict(0).trial);
        daemon.wait(hold_ms - 100);
        assert!(!daemon.verdict(0).trial);
        daemon.wait(100);
        assert!(daemon.verdict(0).trial);
    }
}

/// Evidence of one daemon, or of daemons in one failure domain, may come from a fault
/// of their network path and must not eject a target.
#[test]
fn an_ejection_needs_several_daemons_and_domains() {
    let mut daemon = Daemon::new();
    daemon.report(0, 0, AttemptOutcome::Failed, 5);
    assert_eq!(daemon.verdict(0).preference, Preference::Avoided);
    daemon.wait(3_000);
    daemon.merge_evidence_from("a2");
    daemon.merge_evidence_from("a3");
    assert_eq!(daemon.verdict(0).permit_proposal, None);
    daemon.merge_evidence_from("b1");
    assert!(matches!(
        daemon.verdict(0).permit_proposal,
        Some(PermitProposal::Eject { .. })
    ));
    for reporter in ["a2", "a3"] {
        drop_reporter(&mut daemon.health, &name(reporter));
    }
    assert_eq!(daemon.verdict(0).permit_proposal, None);
}

/// A fault of the daemon's own network path must not eject targets or lengthen later
/// holds.
#[test]
fn a_fault_of_the_own_path_is_detected() {
    let mut daemon = Daemon::new();
    for service in 0..2 {
        for number in 0..4 {
            daemon.report(service, number, AttemptOutcome::TimedOut, 1);
            daemon.report(service, number, AttemptOutcome::Failed, 5);
        }
    }
    let evaluation = daemon.evaluate_targets();
    assert!(evaluation.own_path_suspected);
    for reporter in ["a2", "b1", "c1"] {
        daemon.merge_evidence_from(reporter);
    }
    daemon.wait(1_000);
    let verdict = daemon.verdict(0);
    assert_eq!((verdict.permit_proposal, verdict.trial), (None, true));
}

/// If a failure domain fails, targets of several services fail together. A daemon in
/// another failure domain must not attribute this to its own network path.
#[test]
fn a_failed_domain_is_not_taken_for_the_own_path() {
    let mut daemon = Daemon::new();
    for service in 0..2 {
        for number in [0, 3] {
            daemon.report(service, number, AttemptOutcome::Failed, 5);
        }
    }
    let evaluation = daemon.evaluate_targets();
    assert!(!evaluation.own_path_suspected);
    assert!(evaluation.suspect_services.is_empty());
}

/// A target that says that it is leaving no longer counts as capacity, and its failures
/// while it drains are no evidence against it.
#[test]
fn a_leaving_target_is_marked_by_its_own_answer() {
    let mut daemon = Daemon::new();
    let report = OutcomeReport {
        service: name("service-0"),
        target: target(0, 0),
        outcome: AttemptOutcome::Failed,
        elapsed_ms: DurationMs(20),
        at: daemon.now,
        fingerprint: Digest::default(),
        leaving: true,
        warming: false,
    };
    daemon.record(&vec![report; 10]);
    let verdict = daemon.verdict(0);
    assert!(verdict.leaving && !verdict.capable);
    assert_eq!(verdict.preference, Preference::Preferred);
}

//! Tests the decision after each attempt and the retry budget.

use proptest::arbitrary::any;
use proptest::collection::vec;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use agatehold_core::idempotency::KeyState;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::refusal::RefusalOutcome;
use agatehold_core::retry::ATTEMPTS_MAX;
use agatehold_core::retry::Attempts;
use agatehold_core::retry::NextStep;
use agatehold_core::retry::RequestFacts;
use agatehold_core::retry::RetryBudget;
use agatehold_core::retry::next_forward_step;
use agatehold_core::retry::next_step;
use agatehold_core::units::DurationMs;
use agatehold_core::units::Percent;
use agatehold_core::units::TimeMs;

/// The outcomes of an attempt that has ended, each with whether the target crashed.
const OUTCOMES: [(AttemptOutcome, bool); 11] = [
    (AttemptOutcome::Answered, false),
    (AttemptOutcome::Failed, false),
    (AttemptOutcome::Shed, false),
    (AttemptOutcome::ConnectFailed, false),
    (AttemptOutcome::NotWritten, false),
    (AttemptOutcome::TimedOut, false),
    (AttemptOutcome::ConnectionLost, false),
    (AttemptOutcome::ConnectionLost, true),
    (AttemptOutcome::Cut, false),
    (AttemptOutcome::Mismatched, false),
    (AttemptOutcome::Silent, false),
];

/// Returns whether an attempt with this outcome may have run; independent of the code
/// under test.
fn may_run(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::Shed | AttemptOutcome::ConnectFailed | AttemptOutcome::NotWritten
    )
}

/// A sequence of attempts at one arrival of a request.
struct Sequence {
    facts: RequestFacts,
    attempts: Attempts,
    /// The number of attempts that may have run.
    ran: u32,
    /// The number of attempts.
    sent: u32,
    /// The number of targets that other arrivals of the request have crashed.
    crashes_elsewhere: u32,
}

/// Checks the decision after every possible next attempt of a sequence, and does so
/// recursively while the request is sent again.
fn explore(sequence: &Sequence, checked: &mut u32) {
    for (outcome, crashed) in OUTCOMES {
        let mut facts = sequence.facts;
        facts.crashed = crashed;
        facts.crashes += u32::from(crashed);
        let mut attempts = sequence.attempts;
        let ran = sequence.ran + u32::from(may_run(outcome));
        let sent = sequence.sent + 1;
        let mut budget = RetryBudget::new(Percent::TEN, TimeMs(0));
        let next = next_step(outcome, &facts, &mut attempts, &mut budget, TimeMs(0));
        let case = format!("{outcome} crashed {crashed} {facts:?} ran {ran} sent {sent}");
        *checked += 1;
        match next {
            NextStep::SendAgain => {
                assert!(ran == 0 || facts.idempotent, "may run twice: {case}");
                assert!(ran <= 1 && sent < ATTEMPTS_MAX, "too many attempts: {case}");
                assert!(facts.crashes < 2, "may crash a third target: {case}");
                let is_allowed = facts.idempotent || facts.crashes == 0;
                assert!(
                    is_allowed,
                    "non-idempotent request sent again after a crash: {case}"
                );
                assert!(facts.remaining_ms.0 > 0, "sent after the deadline: {case}");
                let continued = Sequence {
                    facts,
                    attempts,
                    ran,
                    sent,
                    crashes_elsewhere: sequence.crashes_elsewhere,
                };
                explore(&continued, checked);
            }
            NextStep::Refuse {
                outcome: stated, ..
            } => {
                let certainly_not_run = ran == 0
                    && facts.key != KeyState::MayHaveRun
                    && sequence.crashes_elsewhere == 0;
                if stated == RefusalOutcome::NotRun {
                    assert!(
                        certainly_not_run,
                        "refused as not-run, but may have run: {case}"
                    );
                } else {
                    assert!(
                        !certainly_not_run,
                        "refused as unknown, but has certainly not run: {case}"
                    );
                }
            }
            NextStep::Answer => {
                let answered = matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Failed);
                assert!(answered, "the target sent no answer to pass on: {case}");
            }
            other => panic!("{other:?}: {case}"),
        }
    }
}

/// Guards against a second run of a non-idempotent request and against a wrong `not-run`,
/// after which the caller sends the request again. Either would duplicate, for example,
/// a certificate or a call-out.
#[test]
fn every_sequence_of_attempts_ends_in_a_correct_answer() {
    let mut checked = 0;
    for idempotent in [false, true] {
        for key in [KeyState::NoKey, KeyState::NeverRun, KeyState::MayHaveRun] {
            for crashes in 0..3 {
                for remaining_ms in [0, 500] {
                    let facts = RequestFacts {
                        idempotent,
                        key,
                        crashed: false,
                        crashes,
                        passed_on: false,
                        remaining_ms: DurationMs(remaining_ms),
                    };
                    let sequence = Sequence {
                        facts,
                        attempts: Attempts::default(),
                        ran: 0,
                        sent: 0,
                        crashes_elsewhere: crashes,
                    };
                    explore(&sequence, &mut checked);
                }
            }
        }
    }
    println!("{checked} outcomes of attempts checked");
}

/// A daemon that forwards a request must not refuse it as `not-run` or send it again,
/// since the owner of the key may have run it. An answer that was partly sent to the
/// caller can't be followed by a refusal.
#[test]
fn forwarded_requests_and_partial_answers_end_safely() {
    for (outcome, _) in OUTCOMES {
        let next = next_forward_step(outcome);
        let is_unsafe = matches!(
            next,
            NextStep::SendAgain
                | NextStep::Refuse {
                    outcome: RefusalOutcome::NotRun,
                    ..
                }
        );
        assert!(!is_unsafe, "{outcome}: {next:?}");
    }
    let facts = RequestFacts {
        idempotent: true,
        key: KeyState::NoKey,
        crashed: false,
        crashes: 0,
        passed_on: true,
        remaining_ms: DurationMs(500),
    };
    let mut budget = RetryBudget::new(Percent::TEN, TimeMs(0));
    let mut attempts = Attempts::default();
    let next = next_step(
        AttemptOutcome::Cut,
        &facts,
        &mut attempts,
        &mut budget,
        TimeMs(0),
    );
    assert_eq!(next, NextStep::Abort);
}

/// Guards against retries beyond the budget, which spread an outage of some targets to
/// all of them.
///
/// While an outage lasts, every attempt fails and asks for a retry. The attempts must be
/// at most 1.2 times the requests, plus the one retry that is always saved up. Within one
/// second, the retries may be a tenth of the requests of that second and of the one before,
/// whose attempts may end in it.
#[test]
fn attempts_stay_within_the_budget() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = vec((1..60_u32, 0..1_500_u64, any::<bool>()), 1..80);
    let result = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut budget = RetryBudget::new(Percent::new(50).unwrap(), TimeMs(0));
        let mut now = TimeMs(0);
        let mut log: Vec<(TimeMs, u32, u32)> = Vec::new();
        for (burst, pause_ms, outage) in steps {
            now = now + DurationMs(pause_ms);
            let mut retries = 0;
            for _ in 0..burst {
                budget.record_request(now);
                retries += u32::from(outage && budget.take(now));
            }
            log.push((now, burst, retries));
            let since = |span_ms: u64| {
                let recent = log
                    .iter()
                    .filter(move |(at, ..)| now.since(*at).0 < span_ms);
                recent.fold((0, 0), |(a, b), (_, burst, retries)| {
                    (a + burst, b + retries)
                })
            };
            let (requests, retries) = since(u64::MAX);
            // At most 1.2 times the requests from the tenth request on.
            let retries_max = 0.1 * f64::from(requests) + 1.0;
            assert!(
                f64::from(retries) <= retries_max,
                "{retries} retries for {requests} requests"
            );
            let (requests, retries) = (since(2_100).0, since(1_000).1);
            let retries_max = 0.1 * f64::from(requests) + 1.0;
            assert!(
                f64::from(retries) <= retries_max,
                "{retries} retries in 1 s for {requests} requests"
            );
        }
        Ok(())
    });
    result.unwrap();
}

/// A service with few requests must still get a retry.
#[test]
fn little_traffic_gets_a_retry() {
    let mut budget = RetryBudget::new(Percent::TEN, TimeMs(0));
    budget.record_request(TimeMs(0));
    assert!(budget.take(TimeMs(0)));
    let mut retries = 0;
    for minute in 1..=100_u64 {
        budget.record_request(TimeMs(minute * 60_000));
        retries += u32::from(budget.take(TimeMs(minute * 60_000)));
    }
    assert!((9..=10).contains(&retries), "{retries} retries");
}

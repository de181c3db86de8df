//! Guards the table from attempts to answers and the retry budget.

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
use agatehold_core::retry::Next;
use agatehold_core::retry::RequestFacts;
use agatehold_core::retry::RetryBudget;
use agatehold_core::retry::next_forward_step;
use agatehold_core::retry::next_step;
use agatehold_core::units::DurationMs;
use agatehold_core::units::Percent;
use agatehold_core::units::TimeMs;

/// Attempts that ended, with whether the target crashed.
const ENDS: [(AttemptOutcome, bool); 11] = [
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

/// Whether an attempt may have run, written apart from the code under test.
fn may_run(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::Shed | AttemptOutcome::ConnectFailed | AttemptOutcome::NotWritten
    )
}

struct Sequence {
    facts: RequestFacts,
    attempts: Attempts,
    ran: u32,
    sent: u32,
    crashes_elsewhere: u32,
}

/// Follows every continuation of a sequence of attempts to its end.
fn explore(sequence: &Sequence, checked: &mut u32) {
    for (outcome, crashed) in ENDS {
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
            Next::SendAgain => {
                assert!(ran == 0 || facts.idempotent, "second run: {case}");
                assert!(ran <= 1 && sent < ATTEMPTS_MAX, "too many attempts: {case}");
                assert!(facts.crashes < 2, "third crash: {case}");
                let cautious = facts.idempotent || facts.crashes == 0;
                assert!(cautious, "non-idempotent after a crash: {case}");
                assert!(facts.remaining_ms.0 > 0, "past the deadline: {case}");
                let longer = Sequence {
                    facts,
                    attempts,
                    ran,
                    sent,
                    crashes_elsewhere: sequence.crashes_elsewhere,
                };
                explore(&longer, checked);
            }
            Next::Refuse { outcome: said, .. } => {
                let certain = ran == 0
                    && facts.key != KeyState::MayHaveRun
                    && sequence.crashes_elsewhere == 0;
                if said == RefusalOutcome::NotRun {
                    assert!(certain, "not-run is not certain: {case}");
                } else {
                    assert!(!certain, "a certain not-run was not said: {case}");
                }
            }
            Next::Answer => {
                let answered = matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Failed);
                assert!(answered, "no answer to pass on: {case}");
            }
            other => panic!("{other:?}: {case}"),
        }
    }
}

/// A second run or a wrong `not-run` duplicates a certificate or a call-out.
#[test]
fn every_sequence_of_attempts_is_answered_accurately() {
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
    println!("{checked} ends of attempts checked");
}

/// A forwarding daemon that says `not-run` or sends again hides the owner's
/// run; part of an answer can't be followed by a refusal.
#[test]
fn forwarding_and_started_answers_end_safely() {
    for (outcome, _) in ENDS {
        let next = next_forward_step(outcome);
        let unsafe_end = matches!(
            next,
            Next::SendAgain
                | Next::Refuse {
                    outcome: RefusalOutcome::NotRun,
                    ..
                }
        );
        assert!(!unsafe_end, "{outcome}: {next:?}");
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
    assert_eq!(next, Next::Abort);
}

/// Retries beyond the budget turn an outage of some targets into one of all.
///
/// While an outage lasts, every attempt fails and asks for a retry. The aim is
/// at most 1.2 times the requests, plus the floor's one. Over one second this
/// is a tenth of the requests of that second and of the one before, whose
/// attempts may end in it.
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
            let most = 0.1 * f64::from(requests) + 1.0;
            assert!(f64::from(retries) <= most, "{retries} for {requests}");
            let (requests, retries) = (since(2_100).0, since(1_000).1);
            let most = 0.1 * f64::from(requests) + 1.0;
            assert!(
                f64::from(retries) <= most,
                "{retries} for {requests} in 1 s"
            );
        }
        Ok(())
    });
    result.unwrap();
}

/// A service with little traffic must still get a retry.
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
    assert!((9..=10).contains(&retries), "{retries}");
}

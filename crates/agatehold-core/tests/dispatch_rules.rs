//! Tests when a request is sent again, the resend budget, the distribution of a
//! route's requests among services, the timeout of an attempt and the reports
//! under pressure.

use proptest::prelude::*;

use agatehold_core::catalog::WeightedService;
use agatehold_core::dispatch::AttemptFacts;
use agatehold_core::dispatch::Decision;
use agatehold_core::dispatch::ResendBudget;
use agatehold_core::dispatch::ResendPolicy;
use agatehold_core::dispatch::ServiceStats;
use agatehold_core::dispatch::WeightedRoundRobin;
use agatehold_core::dispatch::after_attempt;
use agatehold_core::dispatch::attempt_timeout;
use agatehold_core::dispatch::may_exit;
use agatehold_core::dispatch::may_send_beside;
use agatehold_core::dispatch::may_take_request;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::refusal::RefusalOutcome;
use agatehold_core::retry::Attempts;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

const START: TimeMs = TimeMs(3_600_000);

/// A time so long before [`START`] that what happened then no longer counts.
const LONG_BEFORE_START: TimeMs = TimeMs(0);

const POLICY: ResendPolicy = ResendPolicy {
    ratio: 0.2,
    slack: 64,
    window_ms: DurationMs(10_000),
};

const OUTCOMES: [AttemptOutcome; 9] = [
    AttemptOutcome::Failed,
    AttemptOutcome::Shed,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::NotWritten,
    AttemptOutcome::TimedOut,
    AttemptOutcome::ConnectionLost,
    AttemptOutcome::Cut,
    AttemptOutcome::Mismatched,
    AttemptOutcome::Silent,
];

fn facts(idempotent: bool, tries: u32) -> AttemptFacts {
    AttemptFacts {
        idempotent,
        answer_claims_not_run: false,
        attempts_max: 2,
        tries,
        running: 0,
        is_crash_suspected: false,
        is_poisoned: false,
        remaining_ms: DurationMs(1_000),
    }
}

proptest! {
    /// Guards at-most-once execution: a request that is not idempotent is never
    /// sent again after an attempt that may have run, whatever the outcomes.
    #[test]
    fn a_request_that_may_have_run_is_not_sent_again(
        outcomes in prop::collection::vec(0..OUTCOMES.len(), 1..6),
    ) {
        let mut attempts = Attempts::default();
        let mut may_have_run = false;
        for (tries, end) in outcomes.iter().enumerate() {
            let outcome = OUTCOMES[*end];
            may_have_run |= !outcome.is_not_run();
            let facts = facts(false, tries as u32 + 1);
            let decision = after_attempt(outcome, &facts, &mut attempts, || true);
            if may_have_run {
                prop_assert_ne!(decision, Decision::SendAgain);
                if let Decision::Refuse(kind) = decision {
                    prop_assert_eq!(kind.outcome(), RefusalOutcome::Unknown);
                }
                break;
            }
            if decision != Decision::SendAgain {
                break;
            }
        }
    }

    /// However the requests of a service are distributed among daemons, and
    /// whatever fails, the resends in any window stay within the fleet's bound.
    #[test]
    fn the_fleet_stays_within_the_budget_at_any_distribution(
        entries in 1_u32..12,
        others in 0_usize..40,
        arrivals in prop::collection::vec((0_usize..52, 0_u64..60), 50..800),
    ) {
        let mut budgets = Vec::new();
        for number in 0..entries as usize + others {
            let mut budget = ResendBudget::new(POLICY);
            let is_entry = number < entries as usize;
            budget.set_entries(if is_entry { entries } else { 0 }, LONG_BEFORE_START);
            budgets.push(budget);
        }
        let mut now = START;
        let mut sent: Vec<(TimeMs, bool)> = Vec::new();
        for (daemon, pause_ms) in arrivals {
            now = now + DurationMs(pause_ms);
            let position = daemon % budgets.len();
            let budget = &mut budgets[position];
            budget.record_request(now);
            sent.push((now, false));
            // All attempts fail, and each would be sent again.
            while budget.take(now) {
                sent.push((now, true));
            }
        }
        for (end, _) in &sent {
            let within = |at: &TimeMs, from: TimeMs| *at > from && at <= end;
            let window_from = *end - POLICY.window_ms;
            let resends = sent
                .iter()
                .filter(|(at, again)| *again && within(at, window_from))
                .count();
            // The bound applies to the number of requests in this window, in
            // the one half a window earlier or in the one before, whichever is
            // largest.
            let mut requests = 0;
            for shift_ms in [0, 5_000, 10_000] {
                let to = *end - DurationMs(shift_ms);
                let from = to - POLICY.window_ms;
                let count = sent
                    .iter()
                    .filter(|(at, again)| !*again && *at > from && *at <= to)
                    .count();
                requests = requests.max(count);
            }
            let bound = POLICY.ratio * requests as f64 + f64::from(POLICY.slack);
            prop_assert!(resends as f64 <= bound, "{} resends over the bound of {}", resends, bound);
        }
    }

    /// In any sequence of consecutive requests, each service gets its share, with
    /// an error of at most one request at either end of the sequence.
    #[test]
    fn each_service_gets_its_share_over_any_run(
        weights in prop::collection::vec(1_u32..100, 2..4),
        offset in 0_u32..1_000,
        skipped in 0_usize..50,
        length in 20_usize..300,
    ) {
        let services: Vec<WeightedService> = weights
            .iter()
            .enumerate()
            .map(|(number, weight)| WeightedService {
                service: format!("service-{number}").parse().expect("a name"),
                weight: *weight,
            })
            .collect();
        let total: u32 = weights.iter().sum();
        let mut cursor = WeightedRoundRobin::starting_at(&services, offset);
        for _ in 0..skipped {
            cursor.next(&services);
        }
        let mut counts = vec![0_u32; weights.len()];
        for _ in 0..length {
            counts[cursor.next(&services)] += 1;
        }
        for (count, weight) in counts.iter().zip(&weights) {
            let share = length as f64 * f64::from(*weight) / f64::from(total);
            prop_assert!((f64::from(*count) - share).abs() <= 2.0, "{} requests for a share of {}", count, share);
        }
    }
}

/// Guards against a traffic thread that stands still for seconds while it looks for the
/// start of a split with large weights: it served no route meanwhile.
#[test]
fn large_weights_are_as_cheap_as_small_ones() {
    let service = |name: &str, weight| WeightedService {
        service: name.parse().expect("a name"),
        weight,
    };
    let services = [service("a", u32::MAX), service("b", u32::MAX - 1)];
    let mut counts = [0; 2];
    for offset in 0..1_000 {
        let mut cursor = WeightedRoundRobin::starting_at(&services, u32::MAX - offset);
        counts[cursor.next(&services)] += 1;
    }
    assert_eq!(counts, [500, 500], "daemons start at different services");
}

/// A target can't be reached because of a network partition. The request never
/// reached it, so sending it to another target takes nothing from the budget.
#[test]
fn an_unreachable_target_takes_no_resend() {
    let mut attempts = Attempts::default();
    for tries in 1..4 {
        let decision = after_attempt(
            AttemptOutcome::ConnectFailed,
            &facts(false, tries),
            &mut attempts,
            || panic!("a resend was taken from the budget"),
        );
        assert_eq!(decision, Decision::SendAgain);
    }
    let decision = after_attempt(
        AttemptOutcome::ConnectFailed,
        &facts(false, 4),
        &mut attempts,
        || true,
    );
    assert_eq!(decision, Decision::Refuse(RefusalKind::TargetUnreachable));
}

/// Guards against a request that is sent to one target after the other while all of
/// them fail.
#[test]
fn an_idempotent_request_reaches_no_more_targets_than_its_route_allows() {
    let mut attempts = Attempts::default();
    let first = after_attempt(
        AttemptOutcome::Failed,
        &facts(true, 1),
        &mut attempts,
        || true,
    );
    assert_eq!(first, Decision::SendAgain);
    let second = after_attempt(
        AttemptOutcome::Failed,
        &facts(true, 2),
        &mut attempts,
        || true,
    );
    assert_eq!(
        second,
        Decision::Answer,
        "the target's own error answer is passed on"
    );
}

/// Guards against resends beyond the budget, which multiply the load in an outage.
#[test]
fn a_failure_is_final_if_no_resend_is_left() {
    let mut attempts = Attempts::default();
    let decision = after_attempt(
        AttemptOutcome::ConnectionLost,
        &facts(true, 1),
        &mut attempts,
        || false,
    );
    assert_eq!(decision, Decision::Refuse(RefusalKind::TargetFailed));
}

/// The statuses 408, 421, 429 and 503 promise that a request has not run and never
/// will. A refusal with an unknown outcome must not use them: the caller could then
/// send the request again and run it twice.
#[test]
fn refusals_promise_only_what_is_known() {
    for answer in agatehold_core::refusal::REFUSAL_ANSWERS {
        let unknown = answer.kind.status_by_outcome(RefusalOutcome::Unknown);
        assert!(
            !matches!(unknown, 408 | 421 | 429 | 503),
            "{} promises with status {unknown} that the request has not run",
            answer.name
        );
        let not_run = answer.kind.status_by_outcome(RefusalOutcome::NotRun);
        assert!(
            not_run < 500 || not_run == 503,
            "{} does not promise with status {not_run} that the request has not run",
            answer.name
        );
    }
}

/// A target runs a request that must not run twice and then answers with a status that
/// callers take as the promise that it has not run. Guards against passing that on: the
/// caller would send the request again.
#[test]
fn an_answer_that_claims_too_much_is_refused_if_the_request_must_not_run_twice() {
    for outcome in [AttemptOutcome::Answered, AttemptOutcome::Failed] {
        let mut attempts = Attempts::default();
        let claiming = AttemptFacts {
            answer_claims_not_run: true,
            ..facts(false, 1)
        };
        let decision = after_attempt(outcome, &claiming, &mut attempts, || true);
        assert_eq!(decision, Decision::Refuse(RefusalKind::TargetFailed));
        assert_eq!(attempts.may_have_run, 1, "{outcome}");
        let honest = after_attempt(outcome, &facts(false, 1), &mut Attempts::default(), || true);
        assert_eq!(honest, Decision::Answer, "{outcome}");
    }
    let repeatable = AttemptFacts {
        answer_claims_not_run: true,
        ..facts(true, 2)
    };
    let decision = after_attempt(
        AttemptOutcome::Failed,
        &repeatable,
        &mut Attempts::default(),
        || false,
    );
    assert_eq!(decision, Decision::Answer, "a request that may run again");
}

/// Guards against a first attempt that uses up the whole time of a request, so that
/// it can't be sent to another target, and against one that ends before a usual
/// answer arrives.
#[test]
fn an_attempt_leaves_time_for_a_second_one() {
    let usual = DurationMs(120);
    let objective = DurationMs(400);
    let limit = attempt_timeout(usual, objective, DurationMs(1_500));
    assert!(
        limit >= usual.times(2),
        "{limit} is too short for usual answers"
    );
    assert!(limit + usual <= DurationMs(1_500));
    let short = attempt_timeout(usual, objective, DurationMs(500));
    assert!(short < limit);
}

/// Two of three entry daemons are replaced by two others while all requests fail.
/// The resends of the previous ones still count in the window.
#[test]
fn the_fleet_stays_within_the_budget_while_its_entry_daemons_change() {
    let mut budgets: Vec<ResendBudget> = (0..5).map(|_| ResendBudget::new(POLICY)).collect();
    let set = |budgets: &mut Vec<ResendBudget>, entries: [usize; 3], now: TimeMs| {
        for (number, budget) in budgets.iter_mut().enumerate() {
            let count = if entries.contains(&number) { 3 } else { 0 };
            budget.set_entries(count, now);
        }
    };
    set(&mut budgets, [0, 1, 2], LONG_BEFORE_START);
    let mut requests = 0;
    let mut resends = 0;
    let mut spend = |budgets: &mut Vec<ResendBudget>, entries: [usize; 3], now: TimeMs| {
        for number in entries {
            budgets[number].record_request(now);
            requests += 1;
            while budgets[number].take(now) {
                resends += 1;
            }
        }
    };
    spend(&mut budgets, [0, 1, 2], START);
    let changed_at = START + DurationMs(2_000);
    set(&mut budgets, [2, 3, 4], changed_at);
    for after_ms in (0..7_000).step_by(100) {
        spend(&mut budgets, [2, 3, 4], changed_at + DurationMs(after_ms));
    }
    let bound = POLICY.ratio * f64::from(requests) + f64::from(POLICY.slack);
    assert!(
        f64::from(resends) <= bound,
        "{resends} resends over the bound of {bound}"
    );
}

/// The time after which a larger part of the slack applies: the window in which other
/// daemons may have spent it, and 3 s in which they may not know that it is no longer
/// theirs.
const LARGER_SLACK_AFTER_MS: DurationMs = DurationMs(13_000);

/// A new entry daemon gets a few resends immediately, and its full share of the slack
/// once other daemons can't have spent it within the window. All entry daemons together
/// use 75% of the slack, since the rest is for new ones and for outdated views.
#[test]
fn a_new_entry_daemon_gets_its_share_of_the_slack_after_a_window() {
    let spent_at = |now: TimeMs| {
        let mut budget = ResendBudget::new(POLICY);
        budget.set_entries(1, START);
        // An update that changes nothing must not start the window anew.
        budget.set_entries(1, START + DurationMs(9_000));
        let mut spent = 0;
        while budget.take(now) {
            spent += 1;
        }
        spent
    };
    assert_eq!(spent_at(START), POLICY.slack / 10);
    let later = START + LARGER_SLACK_AFTER_MS;
    assert_eq!(spent_at(later - DurationMs(1)), POLICY.slack / 10);
    assert_eq!(spent_at(later), POLICY.slack * 75 / 100);
}

/// The number of entry daemons changes more often than a larger part of the slack takes
/// to apply. Guards against a daemon that never gets it.
#[test]
fn a_part_of_the_slack_that_keeps_changing_applies_all_the_same() {
    let mut budget = ResendBudget::new(POLICY);
    let mut now = START;
    for entries in [6, 7, 6, 7] {
        budget.set_entries(entries, now);
        now = now + DurationMs(9_000);
    }
    let mut spent = 0;
    while budget.take(now) {
        spent += 1;
    }
    assert_eq!(spent, POLICY.slack * 75 / 100 / 7);
}

/// Guards against a smaller part of the slack that waits, while the daemons that share
/// it already use theirs.
#[test]
fn a_smaller_part_of_the_slack_applies_at_once() {
    let mut budget = ResendBudget::new(POLICY);
    budget.set_entries(1, LONG_BEFORE_START);
    budget.set_entries(6, START);
    let mut spent = 0;
    while budget.take(START) {
        spent += 1;
    }
    assert_eq!(spent, POLICY.slack * 75 / 100 / 6);
}

/// Guards against savings that outlast the requests that they were saved for, whatever
/// part of a bucket they came in.
#[test]
fn savings_end_with_the_requests_that_they_were_saved_for() {
    for offset_ms in [0, 1, 250, 499] {
        let mut budget = ResendBudget::new(POLICY);
        let at = START + DurationMs(offset_ms);
        for _ in 0..4_000 {
            budget.record_request(at);
        }
        let before = budget.clone().state(at + DurationMs(9_000)).saved;
        assert!(before >= 150.0, "{before}");
        assert!(!budget.take(at + POLICY.window_ms), "{offset_ms}");
    }
}

/// A process was suspended with resends saved up. Guards against spending them after it,
/// when the requests that they were saved for lie before the last two windows.
#[test]
fn what_was_saved_before_a_suspension_is_not_spent_after_it() {
    let mut budget = ResendBudget::new(POLICY);
    budget.set_entries(1, LONG_BEFORE_START);
    for request in 0..1_000 {
        budget.record_request(START + DurationMs(request));
    }
    let resumed_at = START + DurationMs(1_000);
    budget.clear_saved(resumed_at);
    assert!(!budget.take(resumed_at));
    for request in 0..24 {
        budget.record_request(resumed_at + DurationMs(request));
    }
    let mut spent = 0;
    while budget.take(resumed_at + DurationMs(24)) {
        spent += 1;
    }
    assert_eq!(spent, 1, "24 requests allow to save one resend");
}

/// Guards against pressure that is not noticed, or that does not end when requests
/// succeed again.
#[test]
fn a_service_is_under_pressure_while_many_recent_requests_fail() {
    let mut stats = ServiceStats::default();
    let mut now = START;
    for number in 0..100 {
        now = now + DurationMs(20);
        stats.record_end(number % 5 != 0, now);
    }
    assert!(stats.is_pressed());
    for _ in 0..200 {
        now = now + DurationMs(20);
        stats.record_end(true, now);
    }
    assert!(!stats.is_pressed());
}

/// Each of six entry daemons receives a sixth of the requests, and only some of them
/// see failures. The others must learn from reports that the service is under
/// pressure.
#[test]
fn daemons_under_pressure_report_how_requests_end() {
    let mut failing = ServiceStats::default();
    let mut sound = ServiceStats::default();
    let mut now = START;
    for number in 0..20 {
        now = now + DurationMs(20);
        failing.record_end(number % 2 == 0, now);
        sound.record_end(true, now);
    }
    let calm = sound.take_report(now).expect("the first report");
    assert!(!calm.is_pressed);
    assert_eq!((calm.counts.served, calm.counts.unserved), (20, 0));
    assert!(sound.take_report(now + DurationMs(499)).is_none());
    let report = failing.take_report(now).expect("pressure");
    assert_eq!((report.counts.served, report.counts.unserved), (10, 10));
    assert!(!sound.is_pressed());
    sound.record_peer_report(report.counts, report.is_pressed, now);
    assert!(
        sound.is_pressed(),
        "a quarter of the requests is not served"
    );
    now = now + DurationMs(250);
    sound.record_end(true, now);
    let answer = sound.take_report(now).expect("pressure");
    assert_eq!((answer.counts.served, answer.counts.unserved), (1, 0));
}

/// A daemon with few requests sees a single failure and reports pressure. The requests
/// that the other daemons report as served end it.
#[test]
fn one_failure_of_few_requests_does_not_keep_a_service_under_pressure() {
    let mut one = ServiceStats::default();
    let mut other = ServiceStats::default();
    let mut now = START;
    for number in 0..8 {
        now = now + DurationMs(20);
        one.record_end(number > 0, now);
        other.record_end(true, now);
        other.record_end(true, now);
    }
    let reported = one.take_report(now).expect("pressure");
    assert!(reported.is_pressed);
    other.record_peer_report(reported.counts, reported.is_pressed, now);
    assert!(!other.is_pressed());
    let answer = other.take_report(now).expect("an answer to pressure");
    assert!(!answer.is_pressed);
    one.record_peer_report(answer.counts, answer.is_pressed, now);
    assert!(!one.is_pressed());
    // Neither daemon sends reports as often as under pressure any more.
    now = now + DurationMs(300);
    one.record_end(true, now);
    assert!(one.take_report(now).is_none());
    now = now + DurationMs(1_000);
    other.record_end(true, now);
    assert!(
        other
            .take_report(now)
            .is_some_and(|report| !report.is_pressed)
    );
    now = now + DurationMs(499);
    other.record_end(true, now);
    assert!(other.take_report(now).is_none());
}

/// Guards against a report with each request under pressure, and against a failure
/// that is counted twice because two reports include it.
#[test]
fn reports_are_rate_limited_and_count_each_request_once() {
    let mut stats = ServiceStats::default();
    stats.record_end(false, START);
    let first = stats.take_report(START).expect("pressure");
    assert_eq!(first.counts.unserved, 1);
    stats.record_end(false, START + DurationMs(10));
    assert!(stats.take_report(START + DurationMs(10)).is_none());
    let second = stats.take_report(START + DurationMs(300));
    let second = second.expect("pressure");
    assert_eq!(second.counts.unserved, 1);
    assert_eq!(second.since, START);
}

/// A report after a time without requests must not include old requests.
#[test]
fn a_report_covers_only_the_last_second() {
    let mut stats = ServiceStats::default();
    for _ in 0..100 {
        stats.record_end(true, START);
    }
    let later = START + DurationMs(20_000);
    stats.record_end(false, later);
    let report = stats.take_report(later).expect("pressure");
    assert_eq!((report.counts.served, report.counts.unserved), (0, 1));
    assert!(report.since >= START + DurationMs(19_000));
}

/// A trial may fail, so trials are left to idempotent requests. If a service has had
/// none recently, its other requests must try targets after a hold; otherwise these
/// targets would stay unused.
#[test]
fn trials_are_left_to_idempotent_requests_while_there_are_any() {
    let mut stats = ServiceStats::default();
    stats.record_arrival(true, START);
    assert!(!stats.may_try(false, START + DurationMs(500)));
    assert!(stats.may_try(true, START + DurationMs(500)));
    assert!(stats.may_try(false, START + DurationMs(3_000)));
}

/// Guards against requests that are cut at the end of a planned stop, with the grace
/// periods of small and large deployments, and against a process that waits until it is
/// killed although nothing is left to do.
#[test]
fn a_stopping_daemon_takes_only_requests_that_end_before_it_does() {
    for limit_ms in [6_000, 10_000] {
        let limit = DurationMs(limit_ms);
        for remaining_ms in [500, 2_500, 5_000, 12_000] {
            let remaining = DurationMs(remaining_ms);
            for stopping_ms in (0..limit_ms).step_by(50) {
                let stopping = DurationMs(stopping_ms);
                let is_taken = may_take_request(stopping, remaining, limit);
                let ends = stopping + remaining;
                let is_cut = ends < limit
                    && may_exit(ends.saturating_sub(DurationMs(1)), 1, DurationMs(0), limit);
                assert!(
                    !is_taken || (ends < limit && !is_cut),
                    "{stopping} {remaining}"
                );
                let has_room = ends + DurationMs(1_000) <= limit;
                assert!(is_taken || !has_room, "{stopping} {remaining}");
            }
        }
        assert!(may_exit(DurationMs(3_000), 0, DurationMs(1_000), limit));
        assert!(!may_exit(DurationMs(3_000), 1, DurationMs(1_000), limit));
    }
}

/// An attempt that runs is not given up for one that fails, whatever its outcome: the
/// caller would get a refusal although its time is not over and a target is at work.
#[test]
fn a_failed_attempt_leaves_the_other_one_running() {
    for outcome in OUTCOMES {
        let facts = AttemptFacts {
            running: 1,
            ..facts(true, 2)
        };
        let mut attempts = Attempts::default();
        let decision = after_attempt(outcome, &facts, &mut attempts, || false);
        assert_eq!(decision, Decision::Wait, "{outcome}");
        let last = AttemptFacts {
            running: 0,
            ..facts
        };
        let decision = after_attempt(AttemptOutcome::Answered, &last, &mut attempts, || false);
        assert_eq!(decision, Decision::Answer, "{outcome}");
    }
}

/// Guards against a request that reaches more targets than its route allows, since the
/// attempts that run are not among those that have ended.
#[test]
fn running_attempts_count_against_the_limit_of_targets() {
    let running = |running| AttemptFacts {
        running,
        ..facts(true, 2)
    };
    let mut attempts = Attempts::default();
    assert!(may_send_beside(&running(1), &attempts));
    assert!(!may_send_beside(&running(2), &attempts));
    // The second target was not reached, so that another one may be.
    let unreached = AttemptOutcome::ConnectFailed;
    let decision = after_attempt(unreached, &running(1), &mut attempts, || true);
    assert_eq!(decision, Decision::SendAgain);
    // Now it was, which makes two of two.
    let shed = AttemptOutcome::Shed;
    let decision = after_attempt(shed, &running(1), &mut attempts, || true);
    assert_eq!(decision, Decision::Wait);
    assert!(!may_send_beside(&running(1), &attempts));
}

/// Guards against sends beside a running attempt that the retry budget does not cover.
#[test]
fn a_send_beside_a_running_attempt_takes_from_the_budget() {
    let facts = AttemptFacts {
        running: 1,
        ..facts(true, 2)
    };
    let mut attempts = Attempts::default();
    let mut taken = 0;
    let decision = after_attempt(AttemptOutcome::ConnectFailed, &facts, &mut attempts, || {
        taken += 1;
        true
    });
    assert_eq!((decision, taken), (Decision::SendAgain, 1));
}

/// Guards against a second run at the same time of a request that must not run twice, that
/// may crash its targets, or whose time is over.
#[test]
fn only_harmless_requests_are_sent_beside_a_running_attempt() {
    let usual = AttemptFacts {
        running: 1,
        ..facts(true, 1)
    };
    let attempts = Attempts::default();
    assert!(may_send_beside(&usual, &attempts));
    let others = [
        AttemptFacts {
            idempotent: false,
            ..usual
        },
        AttemptFacts {
            is_crash_suspected: true,
            ..usual
        },
        AttemptFacts {
            is_poisoned: true,
            ..usual
        },
        AttemptFacts {
            remaining_ms: DurationMs(0),
            ..usual
        },
        AttemptFacts { tries: 4, ..usual },
        AttemptFacts {
            attempts_max: 1,
            ..usual
        },
    ];
    for facts in others {
        assert!(!may_send_beside(&facts, &attempts), "{facts:?}");
    }
    // Its connection was lost, and the other target may crash next.
    let suspect = AttemptFacts {
        is_crash_suspected: true,
        ..usual
    };
    let lost = AttemptOutcome::ConnectionLost;
    let decision = after_attempt(lost, &suspect, &mut Attempts::default(), || true);
    assert_eq!(decision, Decision::Wait);
}

/// Guards against a request that is not sent to a third target, as its route allows, while
/// the first two hang.
#[test]
fn a_further_target_is_tried_while_two_hang() {
    let hanging = AttemptFacts {
        attempts_max: 3,
        running: 2,
        ..facts(true, 2)
    };
    let attempts = Attempts::default();
    assert!(may_send_beside(&hanging, &attempts));
    let all = AttemptFacts {
        running: 3,
        tries: 3,
        ..hanging
    };
    assert!(!may_send_beside(&all, &attempts));
}

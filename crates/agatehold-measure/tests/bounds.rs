//! Checks the results of the measurements against the project's targets.

use agatehold_core::units::SlotCount;

use agatehold_measure::balance;
use agatehold_measure::balance::Policy;
use agatehold_measure::detection;
use agatehold_measure::detection::FAULTS;
use agatehold_measure::false_ejection;
use agatehold_measure::false_ejection::SCENARIOS;
use agatehold_measure::false_ejection::Scenario;
use agatehold_measure::flapping;
use agatehold_measure::leaving;
use agatehold_measure::leaving::Way;
use agatehold_measure::poison;
use agatehold_measure::poison::Caller;
use agatehold_measure::poison::Rule;
use agatehold_measure::simulation::Fault;
use agatehold_measure::simulation::Profile;
use agatehold_measure::table::mean;
use agatehold_measure::table::quantile;

const TRIALS: u32 = 400;

/// The maximum ratio of the mean number of observations to Wald's lower bound.
const MAX_WALD_RATIO: f64 = 1.5;

const TEN_TIMES_SLOWER: Fault = Fault::Slower(10.0);

/// Returns the ratio of the mean number of observations to Wald's lower bound, or
/// `None` for a fault without one.
fn wald_ratio(profile: Profile, fault: Fault) -> Option<f64> {
    let bound = detection::wald_bound(profile, fault)?;
    let results = detection::measure(profile, fault, TRIALS, false);
    assert_eq!(results.missed, 0, "{fault:?}");
    Some(mean(&results.observations) / bound)
}

/// A detector that needs far more observations than its error rates require keeps
/// sending requests to a failing target.
#[test]
fn detection_is_near_the_bound() {
    for profile in Profile::ALL {
        for (name, fault) in FAULTS {
            if (profile, fault) == (Profile::DetectionFirst, TEN_TIMES_SLOWER) {
                continue;
            }
            if let Some(ratio) = wald_ratio(profile, fault) {
                assert!(
                    ratio <= MAX_WALD_RATIO,
                    "{} {name}: {ratio:.2} times Wald's bound",
                    profile.as_str()
                );
            }
        }
    }
}

/// The case that `detection_is_near_the_bound` leaves out: the one with the fewest
/// observations.
#[test]
fn detection_first_is_near_the_bound_at_ten_times_slower() {
    let ratio =
        wald_ratio(Profile::DetectionFirst, TEN_TIMES_SLOWER).expect("the fault has a Wald bound");
    assert!(
        ratio <= MAX_WALD_RATIO,
        "{ratio:.2} times Wald's bound, at most {MAX_WALD_RATIO} allowed"
    );
}

/// A hang must be detected while requests are in flight, not only when they time
/// out.
#[test]
fn a_hang_is_noticed_before_the_timeout() {
    for profile in Profile::ALL {
        let mut results = detection::measure(profile, Fault::Hangs, TRIALS, false);
        assert_eq!(results.missed, 0);
        let p99_ms = quantile(&mut results.elapsed_ms, 0.99);
        assert!(p99_ms < 10_000.0, "p99 {p99_ms} ms until avoided");
    }
}

/// The false-ejection rate of the profile limits how often healthy targets are
/// avoided under background errors, and ejected in every scenario.
#[test]
fn false_ejections_stay_within_the_profile() {
    for profile in Profile::ALL {
        let allowed = profile.policy().max_false_ejection.get() * 1e6;
        for (name, scenario) in SCENARIOS {
            let results = false_ejection::measure(profile, scenario, 150_000);
            let ejected = results.per_million(results.ejected);
            assert!(
                ejected <= allowed,
                "{} {name}: {ejected} ejected per million",
                profile.as_str()
            );
            if matches!(scenario, Scenario::Errors(_)) {
                let avoided = results.per_million(results.avoided);
                assert!(
                    avoided <= allowed,
                    "{} {name}: {avoided} avoided per million",
                    profile.as_str()
                );
            }
        }
    }
}

/// A poison request that its caller sends again must not crash a third target.
#[test]
fn a_resent_request_crashes_at_most_two_targets() {
    for pause_ms in [1, 100, 5_000] {
        let mut crashes = poison::measure(Rule::Reporter, Caller::Sequential(pause_ms), TRIALS);
        assert!(quantile(&mut crashes, 0.99) <= 2.0);
    }
}

/// A poison request that its caller sends to three daemons at once must not crash
/// a third target.
#[test]
fn a_request_sent_thrice_at_once_crashes_at_most_two_targets() {
    let mut crashes = poison::measure(Rule::Reporter, Caller::Parallel(3), TRIALS);
    let p99 = quantile(&mut crashes, 0.99);
    assert!(p99 <= 2.0, "p99 {p99} crashes");
}

/// If holds didn't grow longer, a flapping target would get as many requests in
/// each flap.
#[test]
fn later_flaps_get_less_work() {
    for profile in Profile::ALL {
        for period_ms in flapping::PERIODS_MS {
            let results = flapping::measure(profile, period_ms, 5);
            let later = mean(&results.failed[10..]);
            assert!(
                later < results.failed[0] / 2.0,
                "period {period_ms} ms: {later} failed requests in later flaps"
            );
        }
    }
}

/// The policy that the daemon uses must misplace the smallest share of requests.
#[test]
fn the_balancing_in_use_is_the_best() {
    for daemons in [12, 36, 48] {
        let slots = SlotCount(4);
        let share = |policy| balance::measure(policy, daemons, slots, 20.0, 60_000);
        let used_share = share(Policy::LeastEstimated);
        for (name, policy) in balance::POLICIES {
            assert!(
                used_share <= share(policy),
                "{daemons} daemons, {name} is better"
            );
        }
    }
}

/// Guards against daemons that send requests to a target which has told another daemon
/// that it is leaving. Without a datagram each of them sends it one, as long as the store
/// doesn't tell.
#[test]
fn a_datagram_saves_the_requests_to_a_leaving_target() {
    let never = leaving::STORE_DELAYS_MS[2];
    for service in &leaving::SERVICES[..2] {
        let sent = |way| {
            let trials = leaving::measure(service, never, way, 20);
            assert!(trials.iter().all(|trial| trial.sent_knowing == 0));
            let sent: Vec<f64> = trials
                .iter()
                .map(|trial| f64::from(trial.sent_after_first))
                .collect();
            mean(&sent)
        };
        let told = sent(Way::Datagrams(0.0));
        assert!(told <= 0.1, "{}: {told} requests", service.name);
        let alone = sent(Way::Alone);
        assert!(alone >= 1.0, "{}: {alone} requests", service.name);
    }
}

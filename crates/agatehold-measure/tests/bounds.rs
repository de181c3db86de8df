//! Regression bounds on the figures in virtual time, taken from the aims.

use agatehold_core::units::SlotCount;

use agatehold_measure::balance;
use agatehold_measure::balance::Policy;
use agatehold_measure::detection;
use agatehold_measure::detection::FAULTS;
use agatehold_measure::false_ejection;
use agatehold_measure::false_ejection::SCENARIOS;
use agatehold_measure::false_ejection::Scenario;
use agatehold_measure::flapping;
use agatehold_measure::poison;
use agatehold_measure::poison::Caller;
use agatehold_measure::poison::Rule;
use agatehold_measure::stream::Fault;
use agatehold_measure::stream::Profile;
use agatehold_measure::table::mean;
use agatehold_measure::table::quantile;

const TRIALS: u32 = 400;

/// The mean number of observations may be at most this multiple of Wald's
/// lower bound.
const WALD_AIM: f64 = 1.5;

const SLOWEST: Fault = Fault::Slower(10.0);

fn ratio(profile: Profile, fault: Fault) -> Option<f64> {
    let bound = detection::wald_bound(profile, fault)?;
    let figures = detection::measure(profile, fault, TRIALS, false);
    assert_eq!(figures.missed, 0, "{fault:?}");
    Some(mean(&figures.observations) / bound)
}

/// Detection that needs far more observations than the error rates require
/// would leave a failing target with work.
#[test]
fn detection_is_near_the_bound() {
    for profile in Profile::ALL {
        for (name, fault) in FAULTS {
            if (profile, fault) == (Profile::DetectionFirst, SLOWEST) {
                continue;
            }
            if let Some(ratio) = ratio(profile, fault) {
                assert!(ratio <= WALD_AIM, "{} {name}: {ratio:.2}", profile.as_str());
            }
        }
    }
}

/// The case of `detection_is_near_the_bound` with the least observations.
#[test]
fn detection_first_is_near_the_bound_at_ten_times_slower() {
    let ratio = ratio(Profile::DetectionFirst, SLOWEST).expect("a bound");
    assert!(ratio <= WALD_AIM, "{ratio:.2}");
}

/// A hang must be noticed while requests are in flight, not at their timeout.
#[test]
fn a_hang_is_noticed_before_the_timeout() {
    for profile in Profile::ALL {
        let mut figures = detection::measure(profile, Fault::Hangs, TRIALS, false);
        assert_eq!(figures.missed, 0);
        let p99_ms = quantile(&mut figures.elapsed_ms, 0.99);
        assert!(p99_ms < 10_000.0, "{p99_ms}");
    }
}

/// The rates of the profile bound the mistakes: avoidance under background
/// errors, and ejection under every disturbance.
#[test]
fn false_ejections_stay_within_the_profile() {
    for profile in Profile::ALL {
        let allowed = profile.policy().max_false_ejection.get() * 1e6;
        for (name, scenario) in SCENARIOS {
            let figures = false_ejection::measure(profile, scenario, 150_000);
            let ejected = figures.per_million(figures.ejected);
            assert!(
                ejected <= allowed,
                "{} {name}: {ejected} ejected",
                profile.as_str()
            );
            if matches!(scenario, Scenario::Errors(_)) {
                let avoided = figures.per_million(figures.avoided);
                assert!(
                    avoided <= allowed,
                    "{} {name}: {avoided} avoided",
                    profile.as_str()
                );
            }
        }
    }
}

/// A request that its caller resends must not crash a third target.
#[test]
fn a_resent_request_crashes_at_most_two_targets() {
    for pause_ms in [1, 100, 5_000] {
        let mut crashes = poison::measure(Rule::Reporter, Caller::Patient(pause_ms), TRIALS);
        assert!(quantile(&mut crashes, 0.99) <= 2.0);
    }
}

/// Nor must one that its caller sends to several daemons at once.
#[test]
fn a_request_sent_thrice_at_once_crashes_at_most_two_targets() {
    let mut crashes = poison::measure(Rule::Reporter, Caller::Parallel(3), TRIALS);
    let p99 = quantile(&mut crashes, 0.99);
    assert!(p99 <= 2.0, "{p99}");
}

/// Holds that don't grow would give a flapping target the same work each time.
#[test]
fn later_flaps_get_less_work() {
    for profile in Profile::ALL {
        for period_ms in flapping::PERIODS_MS {
            let figures = flapping::measure(profile, period_ms, 5);
            let later = mean(&figures.failed[10..]);
            assert!(later < figures.failed[0] / 2.0, "{period_ms}: {later}");
        }
    }
}

/// The balancing in use must be the best of those considered.
#[test]
fn the_balancing_in_use_is_the_best() {
    for daemons in [12, 36, 48] {
        let slots = SlotCount(4);
        let share = |policy| balance::measure(policy, daemons, slots, 20.0, 60_000);
        let used = share(Policy::LeastEstimated);
        for (name, policy) in balance::POLICIES {
            assert!(used <= share(policy), "{daemons} daemons, {name}");
        }
    }
}

//! Tests that a suspension of the host is noticed from two clocks.

use agatehold_core::dispatch::ClockReading;
use agatehold_core::dispatch::SuspensionDetector;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

/// A host that has been suspended for a day since its start.
const START: ClockReading = ClockReading {
    steady: TimeMs(50_000),
    with_suspensions: TimeMs(86_450_000),
};

/// Returns a reading `steady_ms` and `suspended_ms` after the start.
fn reading(steady_ms: u64, suspended_ms: u64) -> ClockReading {
    ClockReading {
        steady: START.steady + DurationMs(steady_ms),
        with_suspensions: START.with_suspensions + DurationMs(steady_ms + suspended_ms),
    }
}

/// Guards against a suspension that is missed, and against one that is found again at
/// each later check, which would leave the daemon without resends for good.
#[test]
fn each_suspension_is_found_once() {
    let mut detector = SuspensionDetector::new(START);
    assert_eq!(detector.check(reading(1_000, 0)), None);
    assert_eq!(
        detector.check(reading(1_001, 4_000)),
        Some(DurationMs(4_000))
    );
    assert_eq!(detector.check(reading(1_001, 4_000)), None);
    assert_eq!(detector.check(reading(900_000, 4_000)), None);
    assert_eq!(
        detector.check(reading(900_000, 4_500)),
        Some(DurationMs(500))
    );
}

/// Guards against taking suspensions before the process started, or a process that was
/// only stopped by a signal or busy, for a suspension.
#[test]
fn neither_an_earlier_suspension_nor_a_pause_of_the_process_counts() {
    let mut detector = SuspensionDetector::new(START);
    assert_eq!(detector.check(START), None);
    assert_eq!(detector.check(reading(3_600_000, 0)), None);
}

/// The thread was descheduled between the two readings, and then was not. Guards against
/// a fault at a clock that seems to go back, and against missing a suspension after it.
#[test]
fn a_delay_between_the_readings_hides_no_later_suspension() {
    let mut detector = SuspensionDetector::new(START);
    assert_eq!(detector.check(reading(1_000, 60)), None);
    assert_eq!(detector.check(reading(2_000, 0)), None);
    assert_eq!(
        detector.check(reading(3_000, 2_000)),
        Some(DurationMs(2_000))
    );
}

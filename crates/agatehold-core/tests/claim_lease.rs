//! Tests for how long claims of idempotency keys are bound to a lease.

use agatehold_core::control::CLAIM_LEASE_TTL_MS;
use agatehold_core::control::may_use_claim_lease;
use agatehold_core::idempotency::CLAIM_RETENTION_MS;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

const REQUESTED_AT: TimeMs = TimeMs(3_600_000);
const HOUR_MS: u64 = 3_600_000;

/// A process was paused, or the platform created no lease, for hours or days. Guards against
/// binding a claim to a lease that ends before the claim may: the request could run again.
#[test]
fn every_claim_is_kept_for_its_whole_time() {
    let mut used = 0;
    for age_ms in (0..=CLAIM_LEASE_TTL_MS.0).step_by(60_000) {
        let now = REQUESTED_AT + DurationMs(age_ms);
        if !may_use_claim_lease(REQUESTED_AT, now) {
            continue;
        }
        used += 1;
        // The platform created the lease when it was requested or later.
        let left_ms = CLAIM_LEASE_TTL_MS.0 - age_ms;
        assert!(left_ms >= CLAIM_RETENTION_MS.0, "claim after {age_ms} ms");
    }
    assert!(used > 60, "{used}");
}

/// A lease is requested each hour. Guards against claims without a lease, whose records
/// the platform keeps for good, between the end of that hour and the next lease.
#[test]
fn a_lease_is_used_until_the_next_one_is_there() {
    for age_ms in [0, HOUR_MS, HOUR_MS + 60_000] {
        let now = REQUESTED_AT + DurationMs(age_ms);
        assert!(may_use_claim_lease(REQUESTED_AT, now), "{age_ms}");
    }
}

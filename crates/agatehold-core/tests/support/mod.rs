//! Shared configuration of the property tests that simulate fleets.

use proptest::test_runner::Config as ProptestConfig;
use proptest::test_runner::RngSeed;

/// Returns the proptest configuration: a fixed seed, so that failures can be
/// reproduced, and few shrinking steps, since each simulates a whole fleet
/// again.
pub(crate) fn settings(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        max_shrink_iters: 64,
        ..ProptestConfig::default()
    }
}

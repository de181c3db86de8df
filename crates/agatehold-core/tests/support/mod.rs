//! What the property tests of simulated fleets share.

use proptest::test_runner::Config as ProptestConfig;
use proptest::test_runner::RngSeed;

/// Returns the settings of a property: a fixed seed, so that a failure repeats,
/// and few shrinking steps, since each runs a fleet again.
pub(crate) fn settings(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        max_shrink_iters: 64,
        ..ProptestConfig::default()
    }
}

//! Property test of the account of the memory held for callers and targets.

// The daemon is a program without a library, so that the account is compiled into the
// test.
#[allow(dead_code, unreachable_pub)]
#[path = "../src/gateway/memory.rs"]
mod memory;

use proptest::prelude::*;

use memory::MemoryAccount;
use memory::MemoryHold;
use memory::MemoryKind;
use memory::MemoryLimits;

/// The number of bodies at one time.
const PLACES: usize = 100;

const MB: usize = 1024 * 1024;

/// The size up to which a body is kept beyond the limit.
const SMALL_BYTES: usize = 128 * 1024;

/// Guards against a bound that many small bodies exceed, which are kept beyond the limit
/// for large ones.
#[test]
fn small_bodies_are_bounded_too() {
    let account = MemoryAccount::new(MemoryLimits::of_host(Some(64)));
    let mut holds = Vec::new();
    for _ in 0..400 {
        let hold = account.open_connection().hold(MemoryKind::Read);
        if hold.resize(SMALL_BYTES) {
            holds.push(hold);
        }
    }
    let held_bytes = account.held_bytes(MemoryKind::Read);
    assert_eq!(
        held_bytes,
        24 * MB,
        "16 MB, and half as much for small ones"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Bodies of many connections grow, change their kind and end in any order; one that
    /// is refused ends at once. Guards against a total beyond the bound, and against
    /// memory that is never given back or given back twice.
    #[test]
    fn the_total_is_bounded_and_returns_to_zero(
        steps in prop::collection::vec(
            (0..PLACES, 0..3_usize, prop_oneof![0..=SMALL_BYTES, 0..3 * MB], 0..10_u32),
            1..500,
        ),
    ) {
        // 64 MB of memory: 16 MB for bodies, 24 MB with small ones.
        let account = MemoryAccount::new(MemoryLimits::of_host(Some(64)));
        let connections: Vec<_> = (0..4).map(|_| account.open_connection()).collect();
        let mut holds: Vec<Option<MemoryHold>> = (0..PLACES).map(|_| None).collect();
        for (place, kind, size_bytes, dice) in steps {
            let kind = MemoryKind::ALL[kind];
            let hold = match holds[place].take() {
                Some(_) if dice == 0 => continue,
                Some(hold) => hold,
                None => connections[place % 4].hold(kind),
            };
            // What is read is never made larger by being kept for the caller.
            if kind == MemoryKind::Unwritten {
                let kept_bytes = size_bytes.min(hold.size_bytes());
                hold.change(kind, kept_bytes);
                holds[place] = Some(hold);
            } else if hold.resize(size_bytes) {
                holds[place] = Some(hold);
            } else {
                drop(hold);
            }
            let total_bytes: usize = MemoryKind::ALL.iter().map(|kind| account.held_bytes(*kind)).sum();
            let kept = holds.iter().flatten().map(MemoryHold::size_bytes);
            prop_assert_eq!(total_bytes, kept.sum::<usize>());
            prop_assert!(total_bytes <= 24 * MB, "{} bytes", total_bytes);
            let large = holds.iter().flatten().map(MemoryHold::size_bytes);
            let large: usize = large.filter(|size_bytes| *size_bytes > SMALL_BYTES).sum();
            prop_assert!(large <= 16 * MB, "{} bytes of large bodies", large);
        }
        holds.clear();
        for kind in MemoryKind::ALL {
            prop_assert_eq!(account.held_bytes(kind), 0);
        }
        prop_assert!(connections.iter().all(|connection| connection.has_room_for(2 * MB)));
        prop_assert!(!connections[0].has_room_for(2 * MB + 1));
    }
}

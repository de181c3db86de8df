//! Rendezvous hashing (highest random weight, Thaler and Ravishankar 1998).

/// Returns the score of `host` for the hash key formed by `parts`.
///
/// The hash is FNV-1a with the finaliser of MurmurHash3. It is not
/// cryptographic: the score must only be evenly distributed, and is computed
/// for each pair of service and host.
pub fn rendezvous_score(parts: &[&str], host: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for part in parts.iter().copied().chain([host]) {
        for byte in part.bytes().chain([0]) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Returns [`rendezvous_score`] as a number between 0 and 1.
pub fn rendezvous_fraction(parts: &[&str], host: &str) -> f64 {
    // An `f64` holds the upper 53 bits exactly; adding 0.5 excludes 0, which
    // has no logarithm.
    ((rendezvous_score(parts, host) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}

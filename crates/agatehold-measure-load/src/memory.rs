//! The resident size of this process.

use std::fs;

/// The page size that `/proc/self/statm` counts in (proc(5)).
const PAGE_BYTES: u64 = 4096;

/// Returns the resident size in bytes, 0 where the system doesn't tell.
pub fn resident_bytes() -> u64 {
    let Ok(text) = fs::read_to_string("/proc/self/statm") else {
        return 0;
    };
    let pages = text.split_whitespace().nth(1).and_then(|n| n.parse().ok());
    pages.map_or(0, |pages: u64| pages * PAGE_BYTES)
}

//! Reads the resident memory of this process.

use std::fs;

/// The assumed page size; `/proc/self/statm` counts pages (see proc(5)).
const PAGE_BYTES: u64 = 4096;

/// Returns the resident memory of this process in bytes, or 0 if it can't be read.
pub fn resident_bytes() -> u64 {
    let Ok(text) = fs::read_to_string("/proc/self/statm") else {
        return 0;
    };
    let pages = text.split_whitespace().nth(1).and_then(|n| n.parse().ok());
    pages.map_or(0, |pages: u64| pages * PAGE_BYTES)
}

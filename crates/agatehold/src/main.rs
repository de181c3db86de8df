//! TBD.

fn main() {}

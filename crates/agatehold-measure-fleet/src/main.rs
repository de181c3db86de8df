//! Measures the fleet's control work and prints Markdown tables.

fn main() {}

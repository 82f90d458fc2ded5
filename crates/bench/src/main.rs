//! See docs/ARCHITECTURE.md.

fn main() {}

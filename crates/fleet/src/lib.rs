//! See docs/ARCHITECTURE.md.

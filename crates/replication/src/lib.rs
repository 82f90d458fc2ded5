//! See docs/ARCHITECTURE.md.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

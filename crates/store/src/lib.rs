//! The store process and the client that every other process reads and writes shared state with.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod access;
mod memory;

pub use access::{StateAccess, Unavailable};
pub use memory::MemoryState;

//! The two replicated state machines: `meta` and `shard`.
//!
//! Pure, deterministic and total: the same commands in the same order give the same state and the
//! same replies on every replica. Each command is idempotent by its key, so a lost answer is met by
//! sending the command again.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod machine;
pub mod meta;
pub mod shard;

pub use machine::{FrozenState, MachineError, StateMachine, decode, encode};

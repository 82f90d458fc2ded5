//! The two replicated state machines of a cluster: `meta` and `shard`.
//!
//! Both are pure, deterministic and total: the same commands in the same order produce the same
//! state and the same replies on every replica. Each command is idempotent by its key, so a client
//! whose reply was lost can send the command again.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod machine;
pub mod meta;
pub mod shard;

use machine::decode_prefix;
pub use machine::{FrozenState, MachineError, StateMachine, decode, encode};

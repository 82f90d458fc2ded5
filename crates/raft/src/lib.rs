//! Consensus without I/O: messages and ticks in, [`Ready`] out.
//!
//! No clock, no network, no global randomness, so that a whole group runs in a simulator and a
//! failing seed replays exactly.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod message;
pub mod ready;

pub use message::{ConfChange, ConfState, Entry, EntryKind, HardState, Message, MessageBody};
pub use ready::{Ready, Role, Snapshot, SnapshotMeta};

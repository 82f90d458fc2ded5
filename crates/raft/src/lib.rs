//! Consensus without I/O: messages and ticks in, [`Ready`] out.
//!
//! No clock, no network, no global randomness, so that a whole group runs in a simulator and a
//! failing seed replays exactly. The design follows the Raft dissertation (Ongaro, 2014).

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod conf_change;
pub mod config;
mod election;
pub mod error;
mod leader;
pub mod membership;
pub mod message;
pub mod node;
pub mod progress;
pub mod raft_log;
pub mod read_only;
pub mod ready;
mod replication;
#[cfg(feature = "simulation")]
pub mod simulation;
pub mod status;
mod step;

pub use config::{Config, Restored};
pub use error::{ProposeError, RaftError};
pub use message::{
    AppendHint, ConfChange, ConfState, Entry, EntryKind, HardState, Message, MessageBody,
};
pub use node::RawNode;
pub use ready::{ReadState, Ready, Role, Snapshot, SnapshotMeta};
pub use status::{LogPosition, ReplicaProgress, Status};

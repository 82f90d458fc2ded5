//! Raft consensus as a state machine without I/O: messages and ticks go in, [`Ready`] comes out.
//!
//! The crate uses no clock, no network and no global randomness, so a complete group can run in a
//! simulator and a failing seed replays exactly. The design follows the Raft dissertation (Ongaro,
//! 2014); choices that it leaves open are documented in `docs/notes/replication-and-repair.md`.
//!
//! The I/O layer that owns a [`RawNode`], called the driver, uses it as follows:
//!
//! 1. Call [`RawNode::tick`] at fixed intervals, [`RawNode::step`] for each received message, and
//!    [`RawNode::propose`] and [`RawNode::read_index`] for client requests. These calls are allowed
//!    at any time, also between steps 2 and 4.
//! 2. While [`RawNode::has_ready`] is true, call [`RawNode::ready`] and process the result in the
//!    order that [`Ready`] documents. A hard state in which only the commit index changed needs no
//!    sync.
//! 3. Apply `committed`; call [`RawNode::apply_conf_change`] for each membership change.
//! 4. Call [`RawNode::advance`]. It may produce more work: a sole voter commits in it.
//!
//! For each node in [`Ready::snapshot_requests`] the driver sends a snapshot at its applied index
//! and then calls [`RawNode::report_snapshot`], whether or not the transfer succeeded. A replica
//! that joins a running group starts without members; the initial voters of a new group all start
//! with the same members.

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
#[cfg(any(test, feature = "simulation"))]
pub mod simulation;
pub mod status;
mod step;

pub use config::{Config, Restored};
pub use error::{ProposeError, RaftError};
pub use message::{
    AppendHint, ConfChange, ConfState, Entry, EntryKind, HardState, Message, MessageBody,
};
pub use node::RawNode;
pub use progress::ProgressState;
pub use ready::{ReadState, Ready, Role, Snapshot, SnapshotMeta};
pub use status::{LogPosition, ReplicaProgress, Status};

//! Consensus without I/O: messages and ticks in, [`Ready`] out.
//!
//! No clock, no network, no global randomness, so that a whole group runs in a simulator and a
//! failing seed replays exactly. The design follows the Raft dissertation (Ongaro, 2014); what was
//! chosen where it leaves a choice stands in `docs/notes/replication-and-repair.md`.
//!
//! A shell drives a [`RawNode`] so:
//!
//! 1. [`RawNode::tick`] on its clock, [`RawNode::step`] for each message, [`RawNode::propose`] and
//!    [`RawNode::read_index`] for callers. These may come at any time, also between 2 and 4.
//! 2. While [`RawNode::has_ready`], take [`RawNode::ready`] and do its work in the order that
//!    [`Ready`] states. A hard state with only a newer commit index needs no sync.
//! 3. Apply `committed`; for a membership change call [`RawNode::apply_conf_change`].
//! 4. [`RawNode::advance`], which may itself give more to do: a sole voter commits there.
//!
//! For each node in [`Ready::snapshots_wanted`] the shell sends a snapshot at its applied index and
//! then calls [`RawNode::report_snapshot`], whether it arrived or not. A replica that joins a
//! running group starts without members; a new group's first voters all start with the same ones.

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

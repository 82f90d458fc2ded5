//! Runs the raft groups of a process: consensus, persistence, application and transport.
//!
//! A single driver thread owns all replicas: it ticks them, steps messages and dispatches the work
//! of each `Ready`. The log writer syncs entries of many groups together, applier threads own the
//! state machines, and one task per peer store sends the queued messages in shared frames.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod addresses;
mod applier;
mod clock_source;
mod command_batch;
mod dispatch;
mod driver;
mod error;
mod handle;
mod input;
mod lifecycle;
mod metrics;
mod pending_reads;
mod proposals;
mod replica;
mod replica_work;
mod reply;
mod settings;
mod snapshot_inbox;
mod snapshot_sender;
mod snapshot_thread;
mod start;
mod transport;

pub use addresses::AddressBook;
pub use clock_source::{ClockFactory, ClockSource, StepOccasion};
pub use command_batch::{MAX_BATCH_BYTES, MAX_BATCH_COMMANDS, split_batch};
pub use error::{OpenError, ReplicationError};
pub use handle::{ConfirmedRead, ReplicaDigest, Replicator};
pub use replica::Replica;
pub use replica_work::{CommittedEntry, ReadWaiter, ReplicaWork};
pub use reply::{Outcome, Reply};
pub use settings::ReplicationSettings;
pub use start::{GroupFactory, MachineFactory, StartContext};

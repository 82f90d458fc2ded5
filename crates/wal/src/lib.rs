//! Segmented, checksummed write-ahead log shared by all raft groups of a process, and the groups'
//! snapshot files.
//!
//! Appends are group-committed: a writer thread takes all queued appends, writes them as one block
//! and syncs once. After a failed write or sync the log acknowledges nothing any more, since the
//! operating system may have dropped the dirty pages.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod block;
mod error;
mod files;
mod log;
mod oldest_segment;
mod record;
mod recovery;
mod segment;
mod snapshot;
mod writer;

pub use block::{Block, DecodeError};
pub use error::WalError;
pub use files::{Files, LogFile, OsFiles, replace_file};
pub use log::{AppendCallback, Wal, WalOptions};
pub use record::{GroupRecord, Record};
pub use recovery::{Recovered, RecoveredGroup};
pub use snapshot::SnapshotStore;

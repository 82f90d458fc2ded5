//! One segmented, checksummed log for all groups of a process, and their snapshot files.
//!
//! Many appends share one sync: a writer thread takes all that is queued, writes it as one block and
//! syncs once. After a failed write or sync the log acknowledges nothing any more, since the system
//! may have dropped the dirty pages.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod block;
mod error;
mod files;
mod log;
mod record;
mod recovery;
mod segment;
mod snapshot;
mod writer;

pub use block::{Block, DecodeFault};
pub use error::WalError;
pub use files::{Files, LogFile, OsFiles, replace_file};
pub use log::{Done, Wal, WalOptions};
pub use record::{GroupRecord, Record};
pub use recovery::{Recovered, RecoveredGroup};
pub use snapshot::SnapshotStore;

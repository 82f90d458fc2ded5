//! Errors of opening and running a store.

use std::path::PathBuf;

use hooklug_replication::OpenError;
use hooklug_types::NodeId;
use hooklug_wal::WalError;

/// Error that prevents a store from running. All variants except [`StoreError::DriverExited`] and
/// [`StoreError::DiskFailed`] recur when the store is restarted.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No data folder is configured.
    #[error("data_folder is not set; a store needs one")]
    NoDataFolder,
    /// Another process uses the folder.
    #[error("{} is in use by another process", folder.display())]
    FolderInUse {
        /// The folder.
        folder: PathBuf,
    },
    /// A file or folder of the data folder cannot be used, for example because a checksum differs.
    #[error("cannot use {}: {reason}", path.display())]
    Damaged {
        /// The file or folder.
        path: PathBuf,
        /// Why it cannot be used.
        reason: String,
    },
    /// Another build wrote the folder, in a data format that this build cannot read.
    #[error(
        "{} has data format {format}; this build reads and writes format {}",
        folder.display(),
        crate::DATA_FORMAT
    )]
    FormatMismatch {
        /// The folder.
        folder: PathBuf,
        /// Data format of the folder.
        format: u32,
    },
    /// The node id of the process's identity differs from the one in the data folder.
    #[error("the data folder belongs to node {folder}, not to node {identity}")]
    NodeMismatch {
        /// Node id in the folder.
        folder: NodeId,
        /// Node id of the identity.
        identity: NodeId,
    },
    /// The disk refused an operation.
    #[error(transparent)]
    Disk(#[from] WalError),
    /// The thread that runs the raft groups panicked. All acknowledged data is on the disk.
    #[error("the thread that runs the raft groups has exited unexpectedly")]
    DriverExited,
    /// The disk failed, and the settings request that the process ends then, to be restarted.
    #[error("the disk has failed: {0}")]
    DiskFailed(String),
    /// The log or the snapshots of the raft groups could not be opened.
    #[error(transparent)]
    Groups(#[from] OpenError),
}

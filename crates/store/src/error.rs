//! Why a store cannot run.

use std::path::PathBuf;

use hooklug_replication::OpenError;
use hooklug_types::NodeId;
use hooklug_wal::WalError;

/// Why a store cannot run. All but [`StoreError::DriverEnded`] and [`StoreError::Failed`] come again when it is started again.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A store needs a data folder.
    #[error("data_folder is not set; a store needs one")]
    NoDataFolder,
    /// Another process uses the folder.
    #[error("{} is in use by another process", folder.display())]
    FolderInUse {
        /// The folder.
        folder: PathBuf,
    },
    /// A file of the folder is not what was written.
    #[error("{}: {reason}", path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// What does not fit.
        reason: String,
    },
    /// Another build wrote the folder, in a layout that this one would misread.
    #[error(
        "{} has data format {format}; this build reads and writes format {}",
        folder.display(),
        crate::DATA_FORMAT
    )]
    OtherFormat {
        /// The folder.
        folder: PathBuf,
        /// Its format.
        format: u32,
    },
    /// The identity names another node than the data folder does.
    #[error("the data folder belongs to node {folder}, not to node {identity}")]
    OtherNode {
        /// Node id in the folder.
        folder: NodeId,
        /// Node id of the identity.
        identity: NodeId,
    },
    /// The disk refused an operation.
    #[error(transparent)]
    Disk(#[from] WalError),
    /// The thread that runs the groups ended without being told to: it panicked. What was acknowledged is
    /// on the disk.
    #[error("the thread that runs the groups has ended")]
    DriverEnded,
    /// The disk failed, and the settings ask for the process to be started again then.
    #[error("the disk has failed: {0}")]
    Failed(String),
    /// The groups could not be opened.
    #[error(transparent)]
    Groups(#[from] OpenError),
}

//! What can go wrong with the log.

use std::io;
use std::path::{Path, PathBuf};

/// Why the log could not be opened, or does not acknowledge.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WalError {
    /// The system refused an operation on a file.
    #[error("{operation} of {}: {reason}", path.display())]
    Io {
        /// What was tried.
        operation: &'static str,
        /// On which file or folder.
        path: PathBuf,
        /// The system's words.
        reason: String,
    },
    /// Bytes that were synced are not what was written. Nothing is repaired: the store must not serve.
    #[error("{} is corrupt at offset {offset}: {reason}", path.display())]
    Corrupt {
        /// Which file.
        path: PathBuf,
        /// Where, in bytes from its start.
        offset: u64,
        /// What does not fit.
        reason: String,
    },
    /// An earlier write or sync failed; nothing is acknowledged any more.
    #[error("the log failed: {reason}")]
    Failed {
        /// The first failure.
        reason: String,
    },
}

impl WalError {
    pub(crate) fn io(operation: &'static str, path: &Path, error: &io::Error) -> Self {
        Self::Io { operation, path: path.to_owned(), reason: error.to_string() }
    }

    pub(crate) fn corrupt(path: &Path, offset: u64, reason: impl Into<String>) -> Self {
        Self::Corrupt { path: path.to_owned(), offset, reason: reason.into() }
    }
}

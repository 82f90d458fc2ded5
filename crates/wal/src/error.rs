//! Errors of the write-ahead log.

use std::io;
use std::path::{Path, PathBuf};

/// Error of opening the log or of appending to it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WalError {
    /// A file operation failed.
    #[error("can't {operation} {}: {reason}", path.display())]
    Io {
        /// The operation, as a verb.
        operation: &'static str,
        /// The file or directory.
        path: PathBuf,
        /// The operating system's error message.
        reason: String,
    },
    /// Synced bytes differ from what was written. Nothing is repaired; the store must not serve.
    #[error("{} is corrupt at offset {offset}: {reason}", path.display())]
    Corrupt {
        /// The corrupt file.
        path: PathBuf,
        /// Offset of the corruption from the start of the file, in bytes.
        offset: u64,
        /// Description of the corruption.
        reason: String,
    },
    /// An earlier write or sync failed; the log acknowledges no further appends.
    #[error("write-ahead log failed: {reason}")]
    Failed {
        /// The first error.
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

//! The durable number of the oldest segment that is needed.
//!
//! Removed files may come back after a loss of power, each by itself. So the number is made durable
//! before the segments below it are removed: whatever is found of them is ignored, and a segment from
//! that number on that is not found is missing.

use std::path::{Path, PathBuf};

use crate::{Files, WalError, replace_file};

const FILE_NAME: &str = "oldest-segment";

fn path(folder: &Path) -> PathBuf {
    folder.join(FILE_NAME)
}

/// Reads the number; `None` if the log was never opened by a build that writes it.
pub(crate) fn read(files: &dyn Files, folder: &Path) -> Result<Option<u64>, WalError> {
    let path = path(folder);
    let listed = files.list(folder).map_err(|e| WalError::io("list", folder, &e))?;
    if !listed.contains(&path) {
        return Ok(None);
    }
    let bytes = files.read(&path).map_err(|e| WalError::io("read", &path, &e))?;
    let number = std::str::from_utf8(&bytes).ok().and_then(|text| text.trim_end().parse().ok());
    let invalid = || WalError::corrupt(&path, 0, "it does not hold the number of a segment");
    number.map(Some).ok_or_else(invalid)
}

/// Replaces the number; it lasts when this returns.
pub(crate) fn write(files: &dyn Files, folder: &Path, number: u64) -> Result<(), WalError> {
    replace_file(files, &path(folder), format!("{number}\n").as_bytes())
}

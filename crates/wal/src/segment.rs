//! Segment files: naming and reading.

use std::path::{Path, PathBuf};

use tracing::warn;

use crate::block::{Block, DecodeError, is_known_synced};
use crate::{Files, GroupRecord, WalError};

const EXTENSION: &str = "segment";

/// Path of a segment file.
pub(crate) fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:016}.{EXTENSION}"))
}

/// Numbers of the segments in a directory, in order.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct SegmentNumbers {
    /// Segments that were removed before and have come back.
    pub(crate) removed: Vec<u64>,
    /// Segments that hold the log, without a gap.
    pub(crate) needed: Vec<u64>,
}

/// Finds the segments in a directory. `oldest` is the number of the oldest one that is needed, if it is
/// known.
///
/// # Errors
/// If the directory can't be read or a needed segment is missing.
pub(crate) fn numbers(
    files: &dyn Files,
    folder: &Path,
    oldest: Option<u64>,
) -> Result<SegmentNumbers, WalError> {
    let paths = files.list(folder).map_err(|e| WalError::io("list", folder, &e))?;
    let mut numbers: Vec<u64> = paths.iter().filter_map(|path| number(path)).collect();
    numbers.sort_unstable();
    let (removed, needed): (Vec<u64>, Vec<u64>) =
        numbers.into_iter().partition(|number| oldest.is_some_and(|oldest| *number < oldest));
    let expected = oldest.or(needed.first().copied()).unwrap_or_default()..;
    // An empty log has no segment yet; a known oldest one must exist.
    let count = needed.len().max(usize::from(oldest.is_some()));
    let missing = expected.take(count).find(|number| !needed.contains(number));
    match missing {
        Some(number) => Err(WalError::corrupt(&path(folder, number), 0, "the segment is missing")),
        None => Ok(SegmentNumbers { removed, needed }),
    }
}

fn number(path: &Path) -> Option<u64> {
    if path.extension()?.to_str()? != EXTENSION {
        return None;
    }
    path.file_stem()?.to_str()?.parse().ok()
}

/// Content of a segment.
#[derive(Debug, Default)]
pub(crate) struct SegmentContent {
    /// The records, in order.
    pub(crate) records: Vec<GroupRecord>,
    /// Offset of the end of the last complete block.
    pub(crate) length: u64,
}

/// Reads a segment. A torn tail is ignored in the last segment; any other corruption is an error.
pub(crate) fn read(
    files: &dyn Files,
    path: &Path,
    is_last: bool,
) -> Result<SegmentContent, WalError> {
    let bytes = files.read(path).map_err(|e| WalError::io("read", path, &e))?;
    let mut content = SegmentContent::default();
    let mut at = 0;
    while at < bytes.len() {
        match Block::decode(&bytes[at..]) {
            Ok((block, length)) => {
                content.records.extend(block.records);
                at += length;
            }
            Err(fault) if is_last && is_torn(&fault, &bytes, at) => {
                let (offset, cut) = (at, bytes.len() - at);
                warn!(
                    path = %path.display(), offset, cut, %fault,
                    "discarding the torn tail of a log segment"
                );
                break;
            }
            Err(fault) => return Err(WalError::corrupt(path, at as u64, fault.to_string())),
        }
    }
    content.length = at as u64;
    Ok(content)
}

/// Whether the invalid bytes at offset `at` were never synced.
fn is_torn(fault: &DecodeError, bytes: &[u8], at: usize) -> bool {
    !matches!(fault, DecodeError::Body(_)) && !is_known_synced(bytes, at)
}

//! Snapshot files, named by group and by the last index that they cover.
//!
//! Layout: magic number (8 bytes), CRC-32 of the data (u32), data. A file is written under a
//! temporary name, synced and renamed; then its directory is synced.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use hooklug_types::GroupId;

use crate::files::replace_file;
use crate::{Files, WalError};

const MAGIC: [u8; 8] = *b"hkSnap1\n";
const HEADER_BYTES: usize = 12;
const EXTENSION: &str = "snapshot";

/// The snapshot files in a directory. Cheap to clone.
#[derive(Debug, Clone)]
pub struct SnapshotStore {
    files: Arc<dyn Files>,
    folder: PathBuf,
}

impl SnapshotStore {
    /// Opens the directory, which is created if missing.
    ///
    /// # Errors
    /// [`WalError::Io`].
    pub fn open(files: Arc<dyn Files>, folder: &Path) -> Result<Self, WalError> {
        files.create_folder(folder).map_err(|e| WalError::io("create", folder, &e))?;
        Ok(Self { files, folder: folder.to_owned() })
    }

    /// Writes a group's snapshot, which is durable when this returns. Blocks on disk I/O.
    ///
    /// # Errors
    /// [`WalError::Io`]; earlier snapshots are not affected.
    pub fn write(&self, group: GroupId, index: u64, data: &[u8]) -> Result<(), WalError> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + data.len());
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&crc32fast::hash(data).to_le_bytes());
        bytes.extend_from_slice(data);
        replace_file(self.files.as_ref(), &self.path(group, index), &bytes)
    }

    /// Reads a group's snapshot. Blocks on disk I/O.
    ///
    /// # Errors
    /// [`WalError::Io`] if the file can't be read, [`WalError::Corrupt`] if its content is invalid.
    pub fn read(&self, group: GroupId, index: u64) -> Result<Vec<u8>, WalError> {
        let path = self.path(group, index);
        let mut bytes = self.files.read(&path).map_err(|e| WalError::io("read", &path, &e))?;
        let header = bytes.get(..HEADER_BYTES).filter(|header| header[..8] == MAGIC);
        let Some(header) = header else {
            return Err(WalError::corrupt(&path, 0, "the snapshot header is invalid"));
        };
        let expected = [header[8], header[9], header[10], header[11]];
        let data = bytes.split_off(HEADER_BYTES);
        if crc32fast::hash(&data).to_le_bytes() != expected {
            return Err(WalError::corrupt(
                &path,
                HEADER_BYTES as u64,
                "the snapshot checksum does not match",
            ));
        }
        Ok(data)
    }

    /// Removes a group's snapshots that end before an index.
    ///
    /// # Errors
    /// [`WalError::Io`]; the remaining files are removed by the next call.
    pub fn remove_before(&self, group: GroupId, index: u64) -> Result<(), WalError> {
        let folder = &self.folder;
        let paths = self.files.list(folder).map_err(|e| WalError::io("list", folder, &e))?;
        for path in paths {
            if parse(&path).is_some_and(|(owner, covered)| owner == group && covered < index) {
                self.files.remove(&path).map_err(|e| WalError::io("remove", &path, &e))?;
            }
        }
        Ok(())
    }

    /// Last indexes of a group's snapshot files, in ascending order.
    ///
    /// # Errors
    /// [`WalError::Io`].
    pub fn indexes(&self, group: GroupId) -> Result<Vec<u64>, WalError> {
        let folder = &self.folder;
        let paths = self.files.list(folder).map_err(|e| WalError::io("list", folder, &e))?;
        let mut indexes: Vec<u64> = paths
            .iter()
            .filter_map(|path| parse(path))
            .filter(|(owner, _)| *owner == group)
            .map(|(_, index)| index)
            .collect();
        indexes.sort_unstable();
        Ok(indexes)
    }

    fn path(&self, group: GroupId, index: u64) -> PathBuf {
        self.folder.join(format!("{:05}-{index:016}.{EXTENSION}", group.0))
    }
}

fn parse(path: &Path) -> Option<(GroupId, u64)> {
    if path.extension()?.to_str()? != EXTENSION {
        return None;
    }
    let (group, index) = path.file_stem()?.to_str()?.split_once('-')?;
    Some((GroupId(group.parse().ok()?), index.parse().ok()?))
}

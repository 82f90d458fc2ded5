//! Snapshot files: one a group, named by the index that it covers.
//!
//! Layout: mark (8 bytes), CRC-32 of the data (u32), data. Written to a temporary name,
//! synced, renamed, folder synced.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use hooklug_types::GroupId;

use crate::files::replace_file;
use crate::{Files, WalError};

const MARK: [u8; 8] = *b"hkSnap1\n";
const HEADER_BYTES: usize = 12;
const EXTENSION: &str = "snapshot";

/// Snapshot files of one folder. Cheap to clone.
#[derive(Debug, Clone)]
pub struct SnapshotStore {
    files: Arc<dyn Files>,
    folder: PathBuf,
}

impl SnapshotStore {
    /// Opens the folder, making it if need be.
    ///
    /// # Errors
    /// [`WalError::Io`].
    pub fn open(files: Arc<dyn Files>, folder: &Path) -> Result<Self, WalError> {
        files.create_folder(folder).map_err(|e| WalError::io("create", folder, &e))?;
        Ok(Self { files, folder: folder.to_owned() })
    }

    /// Writes a group's snapshot; durable when this returns. Blocks on the disk.
    ///
    /// # Errors
    /// [`WalError::Io`]; earlier snapshots still stand.
    pub fn write(&self, group: GroupId, index: u64, data: &[u8]) -> Result<(), WalError> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + data.len());
        bytes.extend_from_slice(&MARK);
        bytes.extend_from_slice(&crc32fast::hash(data).to_le_bytes());
        bytes.extend_from_slice(data);
        replace_file(self.files.as_ref(), &self.path(group, index), &bytes)
    }

    /// Reads a group's snapshot. Blocks on the disk.
    ///
    /// # Errors
    /// [`WalError::Io`] when it is not there, [`WalError::Corrupt`] when it is not what was written.
    pub fn read(&self, group: GroupId, index: u64) -> Result<Vec<u8>, WalError> {
        let path = self.path(group, index);
        let mut bytes = self.files.read(&path).map_err(|e| WalError::io("read", &path, &e))?;
        let head = bytes.get(..HEADER_BYTES).filter(|head| head[..8] == MARK);
        let Some(head) = head else {
            return Err(WalError::corrupt(&path, 0, "no snapshot starts here"));
        };
        let expected = [head[8], head[9], head[10], head[11]];
        let data = bytes.split_off(HEADER_BYTES);
        if crc32fast::hash(&data).to_le_bytes() != expected {
            return Err(WalError::corrupt(&path, HEADER_BYTES as u64, "the checksum differs"));
        }
        Ok(data)
    }

    /// Removes a group's snapshots that cover less than an index, and files left half written.
    ///
    /// # Errors
    /// [`WalError::Io`]; what is left is removed the next time.
    pub fn remove_before(&self, group: GroupId, index: u64) -> Result<(), WalError> {
        let folder = &self.folder;
        let paths = self.files.list(folder).map_err(|e| WalError::io("list", folder, &e))?;
        for path in paths {
            if parse(&path).is_some_and(|(of, covers)| of == group && covers < index) {
                self.files.remove(&path).map_err(|e| WalError::io("remove", &path, &e))?;
            }
        }
        Ok(())
    }

    /// Indexes that a group's snapshot files cover, in order.
    ///
    /// # Errors
    /// [`WalError::Io`].
    pub fn indexes(&self, group: GroupId) -> Result<Vec<u64>, WalError> {
        let folder = &self.folder;
        let paths = self.files.list(folder).map_err(|e| WalError::io("list", folder, &e))?;
        let mut indexes: Vec<u64> = paths
            .iter()
            .filter_map(|path| parse(path))
            .filter(|(of, _)| *of == group)
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

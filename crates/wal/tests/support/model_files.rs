//! A file system in memory that can lose power. Bytes last once they are synced, a new file with its
//! first sync, and renamed and removed names with a sync of their folder; until then each may be kept or
//! lost by itself.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use hooklug_wal::{Files, LogFile};

type Names = BTreeMap<PathBuf, usize>;

#[derive(Debug, Clone, Default)]
struct Inode {
    bytes: Vec<u8>,
    synced: usize,
}

/// A change of names that may be lost.
#[derive(Debug, Clone)]
enum NameChange {
    Remove(PathBuf),
    Rename(PathBuf, PathBuf),
}

/// What a disk holds, and what a loss of power may take from it.
#[derive(Debug, Clone, Default)]
pub struct Disk {
    inodes: Vec<Inode>,
    /// Names as processes see them.
    names: Names,
    /// Names that last.
    lasting: Names,
    unsynced: Vec<NameChange>,
}

impl Disk {
    /// Number of changes of names that may be lost.
    pub fn unsynced(&self) -> usize {
        self.unsynced.len()
    }

    /// The disk after a loss of power. Of the unsynced changes of names those are kept whose bit is
    /// set.
    pub fn after_power_loss(&self, kept: usize) -> Self {
        let mut names = self.lasting.clone();
        for (number, change) in self.unsynced.iter().enumerate() {
            if kept & (1 << number) != 0 {
                change.apply(&mut names);
            }
        }
        let mut inodes = self.inodes.clone();
        inodes.iter_mut().for_each(|inode| inode.bytes.truncate(inode.synced));
        Self { inodes, lasting: names.clone(), names, unsynced: Vec::new() }
    }

    fn change(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.unsynced.push(change);
    }
}

impl NameChange {
    fn apply(&self, names: &mut Names) {
        match self {
            Self::Remove(path) => drop(names.remove(path)),
            Self::Rename(from, to) => {
                if let Some(inode) = names.remove(from) {
                    names.insert(to.clone(), inode);
                }
            }
        }
    }
}

/// The file system. Clones share the disk.
#[derive(Debug, Clone, Default)]
pub struct ModelFiles {
    disk: Arc<Mutex<Disk>>,
    /// The disk after each operation, if they are recorded.
    history: Option<Arc<Mutex<Vec<Disk>>>>,
}

impl ModelFiles {
    pub fn new(disk: Disk) -> Self {
        Self { disk: Arc::new(Mutex::new(disk)), history: None }
    }

    /// A file system on an empty disk that records each state of it.
    pub fn recording() -> Self {
        Self { disk: Arc::default(), history: Some(Arc::default()) }
    }

    /// Number of recorded states.
    pub fn recorded(&self) -> usize {
        self.history.as_ref().map_or(0, |history| history.lock().unwrap().len())
    }

    pub fn history(&self) -> Vec<Disk> {
        self.history.as_ref().map_or_else(Vec::new, |history| history.lock().unwrap().clone())
    }

    fn operate<T>(&self, operation: impl FnOnce(&mut Disk) -> io::Result<T>) -> io::Result<T> {
        let mut disk = self.disk.lock().unwrap();
        let result = operation(&mut disk)?;
        if let Some(history) = &self.history {
            history.lock().unwrap().push(disk.clone());
        }
        Ok(result)
    }

    fn open_file(&self, path: &Path, inode: usize) -> Box<dyn LogFile> {
        Box::new(ModelFile { files: self.clone(), path: path.to_owned(), inode })
    }
}

fn missing() -> io::Error {
    io::Error::from(io::ErrorKind::NotFound)
}

struct ModelFile {
    files: ModelFiles,
    path: PathBuf,
    inode: usize,
}

impl LogFile for ModelFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.files.operate(|disk| {
            disk.inodes[self.inode].bytes.extend_from_slice(bytes);
            Ok(())
        })
    }

    fn sync(&mut self) -> io::Result<()> {
        self.files.operate(|disk| {
            let inode = &mut disk.inodes[self.inode];
            inode.synced = inode.bytes.len();
            if disk.names.get(&self.path) == Some(&self.inode) {
                disk.lasting.insert(self.path.clone(), self.inode);
            }
            Ok(())
        })
    }
}

impl Files for ModelFiles {
    fn create_folder(&self, _: &Path) -> io::Result<()> {
        Ok(())
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<PathBuf>> {
        let disk = self.disk.lock().unwrap();
        Ok(disk.names.keys().filter(|path| path.parent() == Some(folder)).cloned().collect())
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let disk = self.disk.lock().unwrap();
        let inode = disk.names.get(path).ok_or_else(missing)?;
        Ok(disk.inodes[*inode].bytes.clone())
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn LogFile>> {
        let inode = self.operate(|disk| {
            disk.inodes.push(Inode::default());
            let inode = disk.inodes.len() - 1;
            disk.names.insert(path.to_owned(), inode);
            Ok(inode)
        })?;
        Ok(self.open_file(path, inode))
    }

    fn open_truncated(&self, path: &Path, length: u64) -> io::Result<Box<dyn LogFile>> {
        let inode = self.operate(|disk| {
            let inode = *disk.names.get(path).ok_or_else(missing)?;
            let bytes = &mut disk.inodes[inode].bytes;
            bytes.truncate(usize::try_from(length).expect("a short file"));
            Ok(inode)
        })?;
        Ok(self.open_file(path, inode))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.operate(|disk| {
            disk.change(NameChange::Rename(from.to_owned(), to.to_owned()));
            Ok(())
        })
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.operate(|disk| {
            if !disk.names.contains_key(path) {
                return Err(missing());
            }
            disk.change(NameChange::Remove(path.to_owned()));
            Ok(())
        })
    }

    fn sync_folder(&self, _: &Path) -> io::Result<()> {
        self.operate(|disk| {
            // Files that were created and never synced do not last.
            let unsynced = std::mem::take(&mut disk.unsynced);
            unsynced.iter().for_each(|change| change.apply(&mut disk.lasting));
            Ok(())
        })
    }
}

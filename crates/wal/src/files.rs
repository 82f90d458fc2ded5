//! The file operations that the log needs, behind a trait so that tests can make them fail.

use std::fmt::Debug;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::WalError;

/// A file open for appending.
pub trait LogFile: Send {
    /// Appends all bytes.
    ///
    /// # Errors
    /// The system's; a part may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes all that was appended durable.
    ///
    /// # Errors
    /// The system's; what was appended may be lost even if a later sync succeeds.
    fn sync(&mut self) -> io::Result<()>;
}

/// Files and folders.
pub trait Files: Send + Sync + Debug {
    /// Makes a folder and its parents.
    ///
    /// # Errors
    /// The system's.
    fn create_folder(&self, folder: &Path) -> io::Result<()>;

    /// Paths of a folder's files.
    ///
    /// # Errors
    /// The system's.
    fn list(&self, folder: &Path) -> io::Result<Vec<PathBuf>>;

    /// A file's bytes.
    ///
    /// # Errors
    /// The system's.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Makes an empty file, replacing what is there.
    ///
    /// # Errors
    /// The system's.
    fn create(&self, path: &Path) -> io::Result<Box<dyn LogFile>>;

    /// Opens a file for appending, cut to a length.
    ///
    /// # Errors
    /// The system's.
    fn open_cut(&self, path: &Path, length: u64) -> io::Result<Box<dyn LogFile>>;

    /// Renames a file, replacing what is there.
    ///
    /// # Errors
    /// The system's.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// The system's.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Makes creations, renames and removals in a folder durable.
    ///
    /// # Errors
    /// The system's.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
}

/// The system's files.
#[derive(Debug, Clone, Copy, Default)]
pub struct OsFiles;

impl LogFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

impl Files for OsFiles {
    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        std::fs::create_dir_all(folder)
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<PathBuf>> {
        std::fs::read_dir(folder)?.map(|entry| Ok(entry?.path())).collect()
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        std::fs::read(path)
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn LogFile>> {
        Ok(Box::new(File::create(path)?))
    }

    fn open_cut(&self, path: &Path, length: u64) -> io::Result<Box<dyn LogFile>> {
        let file = OpenOptions::new().append(true).open(path)?;
        file.set_len(length)?;
        Ok(Box::new(file))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        std::fs::remove_file(path)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }
}

/// Puts a file in place as a whole: a reader finds the old bytes or the new ones, also after power loss.
///
/// # Errors
/// [`WalError::Io`]; the old file then still stands.
pub fn replace_file(files: &dyn Files, path: &Path, bytes: &[u8]) -> Result<(), WalError> {
    let folder = path.parent().unwrap_or_else(|| Path::new("."));
    let temporary = path.with_extension("tmp");
    let failed = |operation, at: &Path| {
        let at = at.to_owned();
        move |error: io::Error| WalError::io(operation, &at, &error)
    };
    let mut file = files.create(&temporary).map_err(failed("create", &temporary))?;
    file.append(bytes).map_err(failed("write", &temporary))?;
    file.sync().map_err(failed("sync", &temporary))?;
    drop(file);
    files.rename(&temporary, path).map_err(failed("rename", &temporary))?;
    files.sync_folder(folder).map_err(failed("sync", folder))
}

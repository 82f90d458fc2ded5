//! File system operations used by the log, behind a trait so that tests can inject failures.

use std::fmt::Debug;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::WalError;

/// A file open for appending.
pub trait LogFile: Send {
    /// Appends all of `bytes`.
    ///
    /// # Errors
    /// The operating system's error; some of the bytes may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes all appended bytes durable.
    ///
    /// # Errors
    /// The operating system's error; the appended bytes may be lost even if a later sync succeeds.
    fn sync(&mut self) -> io::Result<()>;
}

/// A file system.
pub trait Files: Send + Sync + Debug {
    /// Creates a directory and its parents.
    ///
    /// # Errors
    /// The operating system's error.
    fn create_folder(&self, folder: &Path) -> io::Result<()>;

    /// Lists the paths of a directory's files.
    ///
    /// # Errors
    /// The operating system's error.
    fn list(&self, folder: &Path) -> io::Result<Vec<PathBuf>>;

    /// Reads a file.
    ///
    /// # Errors
    /// The operating system's error.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Creates an empty file, replacing an existing one.
    ///
    /// # Errors
    /// The operating system's error.
    fn create(&self, path: &Path) -> io::Result<Box<dyn LogFile>>;

    /// Truncates a file to a length and opens it for appending.
    ///
    /// # Errors
    /// The operating system's error.
    fn open_truncated(&self, path: &Path, length: u64) -> io::Result<Box<dyn LogFile>>;

    /// Renames a file, replacing an existing one.
    ///
    /// # Errors
    /// The operating system's error.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// The operating system's error.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Makes file creations, renames and removals in a directory durable.
    ///
    /// # Errors
    /// The operating system's error.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
}

/// The operating system's file system.
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

    fn open_truncated(&self, path: &Path, length: u64) -> io::Result<Box<dyn LogFile>> {
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

/// Atomically replaces the content of a file: readers find either the old or the new bytes, also
/// after a power loss.
///
/// # Errors
/// [`WalError::Io`]; the file then has either the old or the new content.
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

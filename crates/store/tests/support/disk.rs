//! A file system that can discard unsynced data and inject failures.

use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use hooklug_wal::{Files, LogFile, OsFiles};

#[derive(Debug, Default)]
struct Disk {
    /// Synced length of each file, in bytes.
    synced: Mutex<BTreeMap<PathBuf, u64>>,
    /// Log segments that were removed, in order, with their content.
    removed_segments: Mutex<Vec<(PathBuf, Vec<u8>)>>,
    fails: AtomicBool,
    panicking_thread: Mutex<Option<&'static str>>,
}

/// File system of one machine. Clones share the disk.
#[derive(Debug, Clone, Default)]
pub struct TestDisk {
    disk: Arc<Disk>,
}

impl TestDisk {
    /// Truncates every file to its synced length, as a loss of power may do.
    pub fn lose_power(&self) {
        for (path, length) in self.disk.synced.lock().unwrap().iter() {
            if let Ok(file) = OpenOptions::new().write(true).open(path) {
                assert!(file.metadata().unwrap().len() >= *length, "{}", path.display());
                file.set_len(*length).unwrap();
            }
        }
    }

    /// Number of log segments that were removed.
    pub fn removed_segments(&self) -> usize {
        self.disk.removed_segments.lock().unwrap().len()
    }

    /// Puts back the removed log segments whose number in the order of removals is chosen, as a loss of
    /// power may do.
    pub fn put_back_segments(&self, is_chosen: impl Fn(usize) -> bool) {
        let removed = self.disk.removed_segments.lock().unwrap();
        let chosen = removed.iter().enumerate().filter(|(number, _)| is_chosen(*number));
        for (_, (path, bytes)) in chosen {
            std::fs::write(path, bytes).unwrap();
        }
    }

    /// Makes every sync fail from now on.
    pub fn fail(&self) {
        self.disk.fails.store(true, Ordering::SeqCst);
    }

    /// Makes the thread with this name panic when it creates its next file.
    pub fn panic_in(&self, thread: &'static str) {
        *self.disk.panicking_thread.lock().unwrap() = Some(thread);
    }

    fn open(&self, inner: Box<dyn LogFile>, path: &Path, length: u64) -> Box<dyn LogFile> {
        self.disk.synced.lock().unwrap().insert(path.to_owned(), length);
        let (disk, path) = (self.disk.clone(), path.to_owned());
        Box::new(TestFile { inner, disk, path, length })
    }
}

struct TestFile {
    inner: Box<dyn LogFile>,
    disk: Arc<Disk>,
    path: PathBuf,
    length: u64,
}

impl LogFile for TestFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.inner.append(bytes)?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        if self.disk.fails.load(Ordering::SeqCst) {
            return Err(io::Error::other("injected sync failure"));
        }
        self.inner.sync()?;
        self.disk.synced.lock().unwrap().insert(self.path.clone(), self.length);
        Ok(())
    }
}

impl Files for TestDisk {
    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        OsFiles.create_folder(folder)
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<PathBuf>> {
        OsFiles.list(folder)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        OsFiles.read(path)
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn LogFile>> {
        let panicking_thread = *self.disk.panicking_thread.lock().unwrap();
        let must_panic =
            panicking_thread.is_some() && std::thread::current().name() == panicking_thread;
        assert!(!must_panic, "injected panic");
        Ok(self.open(OsFiles.create(path)?, path, 0))
    }

    fn open_truncated(&self, path: &Path, length: u64) -> io::Result<Box<dyn LogFile>> {
        Ok(self.open(OsFiles.open_truncated(path, length)?, path, length))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        OsFiles.rename(from, to)?;
        let mut synced = self.disk.synced.lock().unwrap();
        if let Some(length) = synced.remove(from) {
            synced.insert(to.to_owned(), length);
        }
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.disk.synced.lock().unwrap().remove(path);
        if path.extension().is_some_and(|extension| extension == "segment") {
            let bytes = OsFiles.read(path)?;
            self.disk.removed_segments.lock().unwrap().push((path.to_owned(), bytes));
        }
        OsFiles.remove(path)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        OsFiles.sync_folder(folder)
    }
}

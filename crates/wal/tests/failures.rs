//! Disk failures: no append is acknowledged after one.

mod support;

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use hooklug_types::GroupId;
use hooklug_wal::{Files, LogFile, OsFiles, WalError};
use support::{append, open, open_with, write};

/// Failures to inject, shared with the open files.
#[derive(Debug, Default)]
struct Faults {
    fail_sync: AtomicBool,
    full: AtomicBool,
    syncs: AtomicU64,
}

#[derive(Debug, Clone, Default)]
struct FailingFiles {
    faults: Arc<Faults>,
}

struct FailingFile {
    inner: Box<dyn LogFile>,
    faults: Arc<Faults>,
}

impl LogFile for FailingFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.faults.full.load(Ordering::SeqCst) {
            self.inner.append(&bytes[..bytes.len() / 2])?;
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        self.inner.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.faults.syncs.fetch_add(1, Ordering::SeqCst);
        if self.faults.fail_sync.load(Ordering::SeqCst) {
            return Err(io::Error::other("sync failed"));
        }
        self.inner.sync()
    }
}

impl Files for FailingFiles {
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
        let inner = OsFiles.create(path)?;
        Ok(Box::new(FailingFile { inner, faults: self.faults.clone() }))
    }
    fn open_truncated(&self, path: &Path, length: u64) -> io::Result<Box<dyn LogFile>> {
        let inner = OsFiles.open_truncated(path, length)?;
        Ok(Box::new(FailingFile { inner, faults: self.faults.clone() }))
    }
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        OsFiles.rename(from, to)
    }
    fn remove(&self, path: &Path) -> io::Result<()> {
        OsFiles.remove(path)
    }
    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        OsFiles.sync_folder(folder)
    }
}

#[test]
fn nothing_is_acknowledged_after_a_failed_sync() {
    let folder = tempfile::tempdir().unwrap();
    let files = FailingFiles::default();
    let (wal, _) = open_with(Arc::new(files.clone()), folder.path(), 1 << 20).unwrap();
    write(&wal, vec![append(1, 1..=1, 1)]).unwrap();
    files.faults.fail_sync.store(true, Ordering::SeqCst);
    assert!(matches!(write(&wal, vec![append(1, 2..=2, 1)]), Err(WalError::Failed { .. })));
    files.faults.fail_sync.store(false, Ordering::SeqCst);
    let later = write(&wal, vec![append(1, 3..=3, 1)]);
    assert!(matches!(later, Err(WalError::Failed { reason }) if reason.contains("sync failed")));
}

#[test]
fn a_full_disk_keeps_what_was_acknowledged() {
    let folder = tempfile::tempdir().unwrap();
    let files = FailingFiles::default();
    let (wal, _) = open_with(Arc::new(files.clone()), folder.path(), 1 << 20).unwrap();
    write(&wal, vec![append(1, 1..=4, 1)]).unwrap();
    files.faults.full.store(true, Ordering::SeqCst);
    assert!(write(&wal, vec![append(1, 5..=9, 1)]).is_err());
    files.faults.full.store(false, Ordering::SeqCst);
    assert!(write(&wal, vec![append(1, 10..=10, 1)]).is_err());
    wal.close();
    let (_, recovered) = open(folder.path(), 1 << 20).unwrap();
    assert_eq!(recovered.groups[&GroupId(1)].entries.len(), 4);
}

#[test]
fn queued_appends_share_one_sync() {
    let folder = tempfile::tempdir().unwrap();
    let files = FailingFiles::default();
    let (wal, _) = open_with(Arc::new(files.clone()), folder.path(), 1 << 20).unwrap();
    // The callback of the first append blocks the writer until all the others are queued.
    let (release, released) = std::sync::mpsc::channel::<()>();
    let hold = move |_| released.recv().unwrap();
    wal.append(vec![append(1, 1..=1, 1)], true, Box::new(hold));
    let (done, results) = std::sync::mpsc::channel();
    for group in 2..102 {
        let done = done.clone();
        let report = move |outcome: Result<(), WalError>| done.send(outcome).unwrap();
        wal.append(vec![append(group, 1..=1, 1)], true, Box::new(report));
    }
    let before = files.faults.syncs.load(Ordering::SeqCst);
    release.send(()).unwrap();
    assert!((0..100).all(|_| results.recv().unwrap().is_ok()));
    let syncs = files.faults.syncs.load(Ordering::SeqCst) - before;
    assert!(syncs <= 2, "{syncs} syncs for 100 appends");
}

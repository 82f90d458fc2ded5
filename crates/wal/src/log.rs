//! Handle of the write-ahead log, and the code that opens the log.

use std::path::{Path, PathBuf};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

use hooklug_types::GroupId;
use tracing::info;

use crate::recovery::GroupMeta;
use crate::writer::{SegmentIndex, SegmentSpan, SharedIndex, Writer};
use crate::{Files, GroupRecord, Record, Recovered, WalError, oldest_segment, segment};

/// Options of the log.
#[derive(Debug, Clone)]
pub struct WalOptions {
    /// Length in bytes at which a segment is sealed and the next one is started (default 32 MiB).
    pub segment_bytes: u64,
}

impl Default for WalOptions {
    fn default() -> Self {
        Self { segment_bytes: 32 << 20 }
    }
}

/// Callback of an append, called with its result on the writer thread. Must not block.
pub type AppendCallback = Box<dyn FnOnce(Result<(), WalError>) + Send>;

/// A queued append.
pub(crate) struct QueuedAppend {
    pub(crate) records: Vec<GroupRecord>,
    pub(crate) sync: bool,
    pub(crate) done: AppendCallback,
}

/// The write-ahead log of a process.
#[derive(Debug)]
pub struct Wal {
    queue: Sender<QueuedAppend>,
    index: SharedIndex,
    writer: JoinHandle<()>,
}

impl Wal {
    /// Opens the log in a directory, which is created if missing, and recovers its content.
    ///
    /// # Errors
    /// [`WalError::Corrupt`] if synced bytes are corrupt, with file and offset.
    pub fn open(
        files: Arc<dyn Files>,
        folder: &Path,
        options: WalOptions,
    ) -> Result<(Self, Recovered), WalError> {
        files.create_folder(folder).map_err(|e| WalError::io("create", folder, &e))?;
        let mut opener = LogOpener { files, folder: folder.to_owned(), options };
        let (writer, recovered) = opener.open()?;
        let index = writer.index.clone();
        let (queue, appends) = channel();
        let writer = std::thread::Builder::new()
            .name("wal-writer".to_owned())
            .spawn(move || writer.run(&appends))
            .map_err(|e| WalError::io("start the writer thread for the log in", folder, &e))?;
        Ok((Self { queue, index, writer }, recovered))
    }

    /// Waits until all queued appends are written, and stops the writer.
    pub fn close(self) {
        drop(self.queue);
        // If the writer panicked, it acknowledged nothing further, so there is nothing to report.
        let _ = self.writer.join();
    }

    /// Queues records. `done` is called after they are written and, if `sync` is set, synced.
    /// Appends are written in the order in which they are queued.
    pub fn append(&self, records: Vec<GroupRecord>, sync: bool, done: AppendCallback) {
        if let Err(refused) = self.queue.send(QueuedAppend { records, sync, done }) {
            let reason = "the writer thread has exited".to_owned();
            (refused.0.done)(Err(WalError::Failed { reason }));
        }
    }

    /// If there are more than `allowed_segments` sealed segments, returns the groups whose entries
    /// prevent the removal of the oldest one. They should take a snapshot.
    #[must_use]
    pub fn groups_pinning_oldest(&self, allowed_segments: usize) -> Vec<GroupId> {
        let index = self.index.lock().unwrap_or_else(PoisonError::into_inner);
        if index.sealed.len() <= allowed_segments {
            Vec::new()
        } else {
            index.groups_pinning_oldest()
        }
    }

    /// Number of segments on disk.
    #[must_use]
    pub fn segments(&self) -> usize {
        self.index.lock().unwrap_or_else(PoisonError::into_inner).sealed.len() + 1
    }
}

struct LogOpener {
    files: Arc<dyn Files>,
    folder: PathBuf,
    options: WalOptions,
}

impl LogOpener {
    fn open(&mut self) -> Result<(Writer, Recovered), WalError> {
        let oldest = oldest_segment::read(self.files.as_ref(), &self.folder)?;
        let found = segment::numbers(self.files.as_ref(), &self.folder, oldest)?;
        self.remove_again(&found.removed)?;
        let numbers = found.needed;
        let mut recovered = Recovered::default();
        let mut index = SegmentIndex::default();
        let mut active = None;
        for number in &numbers {
            let is_last = Some(number) == numbers.last();
            let path = segment::path(&self.folder, *number);
            let content = segment::read(self.files.as_ref(), &path, is_last)?;
            let span = span_of(&content.records);
            content.records.into_iter().for_each(|record| recovered.apply(record));
            if is_last {
                active = Some((*number, content.length, span));
            } else {
                index.sealed.insert(*number, span);
            }
        }
        self.check_contiguous(&recovered)?;
        let group_metas = recovered
            .groups
            .iter()
            .map(|(group, state)| (*group, GroupMeta::from_recovered(state)));
        index.group_metas = group_metas.collect();
        let mut writer = self.writer(active, Arc::new(Mutex::new(index)))?;
        writer.start_segment()?;
        if oldest.is_none() {
            let first = numbers.first().copied().unwrap_or(writer.number);
            oldest_segment::write(self.files.as_ref(), &self.folder, first)?;
        }
        Ok((writer, recovered))
    }

    /// Removes segments that were removed before a loss of power and have come back.
    fn remove_again(&self, numbers: &[u64]) -> Result<(), WalError> {
        for number in numbers {
            let path = segment::path(&self.folder, *number);
            info!(path = %path.display(), "removing a log segment again that has come back");
            self.files.remove(&path).map_err(|e| WalError::io("remove", &path, &e))?;
        }
        Ok(())
    }

    /// Fails if the entries of a group have a gap. Such a group must not vote or lead.
    fn check_contiguous(&self, recovered: &Recovered) -> Result<(), WalError> {
        let Some((group, entry)) = recovered.gap() else { return Ok(()) };
        let reason = format!("entry {entry} of group {group} is missing");
        Err(WalError::corrupt(&self.folder, 0, reason))
    }

    fn writer(
        &self,
        active: Option<(u64, u64, SegmentSpan)>,
        index: SharedIndex,
    ) -> Result<Writer, WalError> {
        let (number, length, span) = active.unwrap_or((1, 0, SegmentSpan::new()));
        let path = segment::path(&self.folder, number);
        let opened = if length == 0 {
            self.files.create(&path)
        } else {
            self.files.open_truncated(&path, length)
        };
        let mut file = opened.map_err(|e| WalError::io("open", &path, &e))?;
        // The recovered records are relied on from now on, so they must be durable.
        file.sync().map_err(|e| WalError::io("sync", &path, &e))?;
        let folder = self.folder.clone();
        self.files.sync_folder(&folder).map_err(|e| WalError::io("sync", &folder, &e))?;
        let (files, options) = (self.files.clone(), self.options.clone());
        Ok(Writer { files, folder, options, index, file, number, length, synced: length, span })
    }
}

fn span_of(records: &[GroupRecord]) -> SegmentSpan {
    let mut span = SegmentSpan::new();
    for GroupRecord { group, record } in records {
        let Record::Append(entries) = record else { continue };
        let last = entries.last().map_or(0, |entry| entry.index);
        let highest = span.entry(*group).or_default();
        *highest = last.max(*highest);
    }
    span
}

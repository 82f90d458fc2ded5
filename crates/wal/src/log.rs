//! The log's handle, and opening it.

use std::path::{Path, PathBuf};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

use hooklug_types::GroupId;

use crate::recovery::GroupHead;
use crate::writer::{SegmentIndex, SegmentSpan, SharedIndex, Writer};
use crate::{Files, GroupRecord, Record, Recovered, WalError, segment};

/// How the log behaves.
#[derive(Debug, Clone)]
pub struct WalOptions {
    /// Length at which a segment is closed and the next one begun, in bytes (default 32 MiB; ours).
    pub segment_bytes: u64,
}

impl Default for WalOptions {
    fn default() -> Self {
        Self { segment_bytes: 32 << 20 }
    }
}

/// Told from the writer's thread when an append is durable, or never will be. Must not block.
pub type Done = Box<dyn FnOnce(Result<(), WalError>) + Send>;

/// Records that wait for the writer.
pub(crate) struct Append {
    pub(crate) records: Vec<GroupRecord>,
    pub(crate) sync: bool,
    pub(crate) done: Done,
}

/// The log.
#[derive(Debug)]
pub struct Wal {
    queue: Sender<Append>,
    index: SharedIndex,
    writer: JoinHandle<()>,
}

impl Wal {
    /// Opens the log in a folder, making it if need be, and reads back what it holds.
    ///
    /// # Errors
    /// [`WalError::Corrupt`] names the file and offset of damage to synced bytes.
    pub fn open(
        files: Arc<dyn Files>,
        folder: &Path,
        options: WalOptions,
    ) -> Result<(Self, Recovered), WalError> {
        files.create_folder(folder).map_err(|e| WalError::io("create", folder, &e))?;
        let mut opening = Opening { files, folder: folder.to_owned(), options };
        let (writer, recovered) = opening.open()?;
        let index = writer.index.clone();
        let (queue, appends) = channel();
        let writer = std::thread::Builder::new()
            .name("wal-writer".to_owned())
            .spawn(move || writer.run(&appends))
            .map_err(|e| WalError::io("start the writer", folder, &e))?;
        Ok((Self { queue, index, writer }, recovered))
    }

    /// Waits until all that is queued is written, and ends the writer.
    pub fn close(self) {
        drop(self.queue);
        // A writer that panicked has acknowledged nothing more; there is nothing to add to that.
        let _ = self.writer.join();
    }

    /// Queues records. `done` is told when they are written, and synced if `sync` is set. Appends are
    /// written in the order in which they are queued.
    pub fn append(&self, records: Vec<GroupRecord>, sync: bool, done: Done) {
        if let Err(refused) = self.queue.send(Append { records, sync, done }) {
            let reason = "the writer has ended".to_owned();
            (refused.0.done)(Err(WalError::Failed { reason }));
        }
    }

    /// Groups whose entries keep the oldest segment, when there are more than so many closed ones.
    /// They should take a snapshot.
    #[must_use]
    pub fn holders_of_oldest(&self, allowed_segments: usize) -> Vec<GroupId> {
        let index = self.index.lock().unwrap_or_else(PoisonError::into_inner);
        if index.sealed.len() <= allowed_segments { Vec::new() } else { index.holders_of_oldest() }
    }

    /// Segments on the disk.
    #[must_use]
    pub fn segments(&self) -> usize {
        self.index.lock().unwrap_or_else(PoisonError::into_inner).sealed.len() + 1
    }
}

struct Opening {
    files: Arc<dyn Files>,
    folder: PathBuf,
    options: WalOptions,
}

impl Opening {
    fn open(&mut self) -> Result<(Writer, Recovered), WalError> {
        let numbers = segment::numbers(self.files.as_ref(), &self.folder)?;
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
        self.check(&recovered)?;
        let heads = recovered.groups.iter().map(|(group, state)| (*group, GroupHead::of(state)));
        index.heads = heads.collect();
        let mut writer = self.writer(active, Arc::new(Mutex::new(index)))?;
        writer.begin_segment()?;
        Ok((writer, recovered))
    }

    /// A group whose entries are not whole must not vote or lead.
    fn check(&self, recovered: &Recovered) -> Result<(), WalError> {
        let Some((group, entry)) = recovered.gap() else { return Ok(()) };
        let reason = format!("entry {entry} of {group} is missing");
        Err(WalError::corrupt(&self.folder, 0, reason))
    }

    fn writer(
        &self,
        active: Option<(u64, u64, SegmentSpan)>,
        index: SharedIndex,
    ) -> Result<Writer, WalError> {
        let (number, length, span) = active.unwrap_or((1, 0, SegmentSpan::new()));
        let path = segment::path(&self.folder, number);
        let opened =
            if length == 0 { self.files.create(&path) } else { self.files.open_cut(&path, length) };
        let mut file = opened.map_err(|e| WalError::io("open", &path, &e))?;
        // What was read back counts from now on, so it has to be durable now.
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

//! The writer thread: writes all queued appends as one block and syncs once.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hooklug_types::GroupId;
use tracing::error;

use crate::block::Block;
use crate::log::{QueuedAppend, WalOptions};
use crate::recovery::GroupMeta;
use crate::{Files, GroupRecord, LogFile, Record, Recovered, WalError, oldest_segment, segment};

/// Maximum number of appends in one block; limits the time to the first acknowledgement.
const MAX_BLOCK_APPENDS: usize = 4096;

/// Highest entry index of each group in a segment.
pub(crate) type SegmentSpan = BTreeMap<GroupId, u64>;

/// The existing segments and their content; shared with the log's handle.
#[derive(Debug, Default)]
pub(crate) struct SegmentIndex {
    /// All segments except the active one, by number.
    pub(crate) sealed: BTreeMap<u64, SegmentSpan>,
    /// Persistent state of each group without its entries.
    pub(crate) group_metas: BTreeMap<GroupId, GroupMeta>,
}

impl SegmentIndex {
    /// Groups whose entries prevent the removal of the oldest sealed segment.
    pub(crate) fn groups_pinning_oldest(&self) -> Vec<GroupId> {
        self.sealed.values().next().map_or_else(Vec::new, |span| self.groups_pinning(span))
    }

    /// The oldest sealed segments that no group needs, in order.
    fn covered_prefix(&self) -> Vec<u64> {
        let covered =
            self.sealed.iter().take_while(|(_, span)| self.groups_pinning(span).is_empty());
        covered.map(|(number, _)| *number).collect()
    }

    fn groups_pinning(&self, span: &SegmentSpan) -> Vec<GroupId> {
        let holds = |(group, last): &(&GroupId, &u64)| !self.is_covered(**group, **last);
        span.iter().filter(holds).map(|(group, _)| *group).collect()
    }

    fn is_covered(&self, group: GroupId, index: u64) -> bool {
        self.group_metas.get(&group).is_some_and(|meta| index <= meta.covered_index())
    }
}

pub(crate) type SharedIndex = Arc<Mutex<SegmentIndex>>;

pub(crate) struct Writer {
    pub(crate) files: Arc<dyn Files>,
    pub(crate) folder: PathBuf,
    pub(crate) options: WalOptions,
    pub(crate) index: SharedIndex,
    pub(crate) file: Box<dyn LogFile>,
    pub(crate) number: u64,
    pub(crate) length: u64,
    pub(crate) synced: u64,
    pub(crate) span: SegmentSpan,
}

impl Writer {
    /// Runs until all handles are dropped. After the first failure every append is rejected.
    pub(crate) fn run(mut self, queue: &Receiver<QueuedAppend>) {
        let mut failure: Option<WalError> = None;
        while let Ok(first) = queue.recv() {
            let mut appends = vec![first];
            appends.extend(queue.try_iter().take(MAX_BLOCK_APPENDS - 1));
            if failure.is_none() {
                failure = self.write(&mut appends).err().map(|error| {
                    error!(%error, "write-ahead log failed; rejecting all further appends");
                    WalError::Failed { reason: error.to_string() }
                });
            }
            for append in appends {
                (append.done)(failure.clone().map_or(Ok(()), Err));
            }
        }
    }

    fn write(&mut self, appends: &mut [QueuedAppend]) -> Result<(), WalError> {
        let sync = appends.iter().any(|append| append.sync);
        let records = appends.iter_mut().flat_map(|a| std::mem::take(&mut a.records)).collect();
        self.append(records)?;
        if sync {
            self.sync()?;
        }
        if self.length >= self.options.segment_bytes {
            self.rotate()?;
        }
        self.remove_covered()
    }

    fn append(&mut self, records: Vec<GroupRecord>) -> Result<(), WalError> {
        let block = Block { synced: self.synced, records };
        let path = segment::path(&self.folder, self.number);
        let written = block.encode().and_then(|bytes| {
            self.file.append(&bytes)?;
            Ok(bytes.len() as u64)
        });
        let written = written.map_err(|e| WalError::io("write", &path, &e))?;
        metrics::counter!("hooklug_wal_bytes_total").increment(written);
        self.length += written;
        self.index_records(&block.records);
        Ok(())
    }

    fn index_records(&mut self, records: &[GroupRecord]) {
        let mut index = self.index.lock().unwrap_or_else(PoisonError::into_inner);
        for GroupRecord { group, record } in records {
            index.group_metas.entry(*group).or_default().apply(record);
            if let Record::Append(entries) = record {
                let last = entries.last().map_or(0, |entry| entry.index);
                let highest = self.span.entry(*group).or_default();
                *highest = last.max(*highest);
            }
        }
    }

    fn sync(&mut self) -> Result<(), WalError> {
        let path = segment::path(&self.folder, self.number);
        self.file.sync().map_err(|e| WalError::io("sync", &path, &e))?;
        metrics::counter!("hooklug_wal_syncs_total").increment(1);
        self.synced = self.length;
        Ok(())
    }

    /// Seals the active segment and starts a new one.
    fn rotate(&mut self) -> Result<(), WalError> {
        self.sync()?;
        let number = self.number + 1;
        let path = segment::path(&self.folder, number);
        self.file = self.files.create(&path).map_err(|e| WalError::io("create", &path, &e))?;
        let sealed = std::mem::take(&mut self.span);
        self.lock_index().sealed.insert(self.number, sealed);
        (self.number, self.length, self.synced) = (number, 0, 0);
        self.start_segment()
    }

    /// Writes the state of every group without its entries into an empty segment, so that older
    /// segments are only needed for entries.
    pub(crate) fn start_segment(&mut self) -> Result<(), WalError> {
        if self.length > 0 {
            return Ok(());
        }
        let checkpoint = Recovered::checkpoint(&self.lock_index().group_metas);
        self.append(checkpoint)?;
        self.sync()?;
        self.files.sync_folder(&self.folder).map_err(|e| WalError::io("sync", &self.folder, &e))
    }

    /// Removes the oldest segments while snapshots cover all their entries. Only a prefix may be
    /// removed: a later segment may replace entries of an earlier one.
    fn remove_covered(&mut self) -> Result<(), WalError> {
        let covered = self.lock_index().covered_prefix();
        let Some(last) = covered.last() else { return Ok(()) };
        // The records that made the segments removable must be durable first.
        if self.synced < self.length {
            self.sync()?;
        }
        oldest_segment::write(self.files.as_ref(), &self.folder, last + 1)?;
        for number in covered {
            let path = segment::path(&self.folder, number);
            self.files.remove(&path).map_err(|e| WalError::io("remove", &path, &e))?;
            self.lock_index().sealed.remove(&number);
        }
        Ok(())
    }

    fn lock_index(&self) -> MutexGuard<'_, SegmentIndex> {
        self.index.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

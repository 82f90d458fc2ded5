//! The owner table: a bounded cache of the shards' session records, read for every message. The
//! shard's record is authoritative; a stale entry costs one refusal and is then corrected.

use std::collections::HashMap;

use hooklug_state::shard::SessionRecord;
use hooklug_types::{
    EngineIncarnation, ServiceName, ServiceVersion, SessionEpoch, SessionKey, SessionLocation,
};

/// Capacity of the table.
pub const OWNER_TABLE_ENTRIES: usize = 65_536;

/// A session's owner as cached by this gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerEntry {
    /// The owner.
    pub owner: EngineIncarnation,
    /// The epoch under which it owns the session.
    pub epoch: SessionEpoch,
    /// Service of the session.
    pub service: ServiceName,
    /// Version of the owner.
    pub version: ServiceVersion,
}

impl OwnerEntry {
    /// Creates the entry for a record; `None` when the session has no owner.
    #[must_use]
    pub fn of(record: &SessionRecord) -> Option<Self> {
        if record.closed {
            return None;
        }
        Some(Self {
            owner: record.owner.clone()?,
            epoch: record.epoch,
            service: record.service.clone(),
            version: record.version.clone(),
        })
    }

    /// Returns the session, owner and epoch that messages to the owner carry.
    #[must_use]
    pub fn location(&self, key: &SessionKey) -> SessionLocation {
        SessionLocation { key: key.clone(), owner: self.owner.clone(), epoch: self.epoch }
    }
}

#[derive(Debug)]
struct Slot {
    entry: OwnerEntry,
    used: u64,
}

/// The cache. Pure: it orders entries by a use counter instead of a clock.
#[derive(Debug)]
pub struct OwnerTable {
    slots: HashMap<SessionKey, Slot>,
    capacity: usize,
    uses: u64,
}

impl OwnerTable {
    /// Creates an empty table with a capacity of at least one.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { slots: HashMap::new(), capacity: capacity.max(1), uses: 0 }
    }

    /// Returns the entry of a session.
    pub fn get(&mut self, key: &SessionKey) -> Option<OwnerEntry> {
        self.uses += 1;
        let slot = self.slots.get_mut(key)?;
        slot.used = self.uses;
        Some(slot.entry.clone())
    }

    /// Updates the table from a record. A record with an older epoch than the cached one is
    /// ignored; a record without an owner removes the entry.
    pub fn learn(&mut self, record: &SessionRecord) {
        let known = self.slots.get(&record.key).map(|slot| slot.entry.epoch);
        if known.is_some_and(|epoch| epoch > record.epoch) {
            return;
        }
        match OwnerEntry::of(record) {
            Some(entry) => self.insert(record.key.clone(), entry),
            None => self.forget(&record.key),
        }
    }

    /// Removes a session's entry.
    pub fn forget(&mut self, key: &SessionKey) {
        self.slots.remove(key);
    }

    /// Removes a session's entry if it has the given epoch.
    pub fn forget_epoch(&mut self, key: &SessionKey, epoch: SessionEpoch) {
        if self.slots.get(key).is_some_and(|slot| slot.entry.epoch == epoch) {
            self.slots.remove(key);
        }
    }

    /// Returns the number of sessions in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    fn insert(&mut self, key: SessionKey, entry: OwnerEntry) {
        self.uses += 1;
        self.slots.insert(key, Slot { entry, used: self.uses });
        if self.slots.len() > self.capacity {
            self.evict();
        }
    }

    /// Evicts the least recently used half. This is rare, so the common path needs no ordered
    /// index.
    fn evict(&mut self) {
        let mut used: Vec<u64> = self.slots.values().map(|slot| slot.used).collect();
        let middle = used.len() / 2;
        let (_, median, _) = used.select_nth_unstable(middle);
        let median = *median;
        self.slots.retain(|_, slot| slot.used >= median);
    }
}

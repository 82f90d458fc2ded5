//! The owner table: a bounded cache of the shards' session records (design note: looked up for every
//! message). The shard's record is the truth; a wrong entry costs one refusal and is then corrected.

use std::collections::HashMap;

use hooklug_state::shard::SessionRecord;
use hooklug_types::{
    EngineIncarnation, ServiceName, ServiceVersion, SessionEpoch, SessionKey, SessionPlace,
};

/// Sessions that one gateway remembers (ours).
pub const OWNER_TABLE_ENTRIES: usize = 65_536;

/// Where a session is, as far as this gateway knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerEntry {
    /// The owner.
    pub owner: EngineIncarnation,
    /// The epoch that it holds the session under.
    pub epoch: SessionEpoch,
    /// Service that the session runs on.
    pub service: ServiceName,
    /// Version of the owner.
    pub version: ServiceVersion,
}

impl OwnerEntry {
    /// The entry of a record; `None` when nobody owns the session.
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

    /// The place that messages to the owner carry.
    #[must_use]
    pub fn place(&self, key: &SessionKey) -> SessionPlace {
        SessionPlace { key: key.clone(), owner: self.owner.clone(), epoch: self.epoch }
    }
}

#[derive(Debug)]
struct Slot {
    entry: OwnerEntry,
    used: u64,
}

/// The cache. Pure: it counts its own uses in place of a clock.
#[derive(Debug)]
pub struct OwnerTable {
    slots: HashMap<SessionKey, Slot>,
    capacity: usize,
    uses: u64,
}

impl OwnerTable {
    /// An empty table for so many sessions, at least one.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { slots: HashMap::new(), capacity: capacity.max(1), uses: 0 }
    }

    /// The entry of a session.
    pub fn get(&mut self, key: &SessionKey) -> Option<OwnerEntry> {
        self.uses += 1;
        let slot = self.slots.get_mut(key)?;
        slot.used = self.uses;
        Some(slot.entry.clone())
    }

    /// Notes what a record says. An older epoch than the known one changes nothing; a record
    /// without an owner drops the entry.
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

    /// Drops a session's entry.
    pub fn forget(&mut self, key: &SessionKey) {
        self.slots.remove(key);
    }

    /// Drops a session's entry if it still names an epoch.
    pub fn forget_epoch(&mut self, key: &SessionKey, epoch: SessionEpoch) {
        if self.slots.get(key).is_some_and(|slot| slot.entry.epoch == epoch) {
            self.slots.remove(key);
        }
    }

    /// Sessions in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether the table is empty.
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

    /// Drops the older half by last use: rare, so that the common path needs no ordered index.
    fn evict(&mut self) {
        let mut used: Vec<u64> = self.slots.values().map(|slot| slot.used).collect();
        let middle = used.len() / 2;
        let (_, median, _) = used.select_nth_unstable(middle);
        let median = *median;
        self.slots.retain(|_, slot| slot.used >= median);
    }
}

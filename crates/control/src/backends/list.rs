//! List of backends, and the difference between two lists. Pure: no I/O.

use std::collections::BTreeMap;
use std::sync::Arc;

use hooklug_protocol::backends::{BackendListItem, ListedBackend};
use hooklug_types::EngineId;

/// Backends by id. Cheap to clone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BackendList {
    entries: BTreeMap<EngineId, Arc<ListedBackend>>,
}

impl BackendList {
    /// Creates a list of backends.
    #[must_use]
    pub fn new(backends: impl IntoIterator<Item = ListedBackend>) -> Self {
        let entries = backends.into_iter().map(|b| (b.id.clone(), Arc::new(b))).collect();
        Self { entries }
    }

    /// Iterates over all backends, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<ListedBackend>> {
        self.entries.values()
    }

    /// Returns a backend by its id.
    #[must_use]
    pub fn get(&self, id: &EngineId) -> Option<&Arc<ListedBackend>> {
        self.entries.get(id)
    }

    /// Returns the number of backends.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the list is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns a stream item with the full list.
    #[must_use]
    pub fn full(&self) -> BackendListItem {
        BackendListItem::Full(self.iter().map(|backend| ListedBackend::clone(backend)).collect())
    }

    /// Returns a stream item with the changes that turn `earlier` into this list.
    #[must_use]
    pub fn changes_since(&self, earlier: &Self) -> BackendListItem {
        let differs = |b: &&Arc<ListedBackend>| earlier.entries.get(&b.id) != Some(*b);
        let changed = self.iter().filter(differs).map(|b| ListedBackend::clone(b)).collect();
        let is_removed = |id: &&EngineId| !self.entries.contains_key(*id);
        let removed = earlier.entries.keys().filter(is_removed).cloned().collect();
        BackendListItem::Changes { changed, removed }
    }

    /// Applies a stream item and returns whether the list changed.
    pub fn apply(&mut self, item: BackendListItem) -> bool {
        match item {
            BackendListItem::Full(backends) => {
                let next = Self::new(backends);
                let differs = *self != next;
                *self = next;
                differs
            }
            BackendListItem::Changes { changed, removed } => {
                let differs = !changed.is_empty() || !removed.is_empty();
                for id in &removed {
                    self.entries.remove(id);
                }
                self.entries.extend(changed.into_iter().map(|b| (b.id.clone(), Arc::new(b))));
                differs
            }
        }
    }
}

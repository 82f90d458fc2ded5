//! The list as a value, and the difference of two. Pure.

use std::collections::BTreeMap;
use std::sync::Arc;

use hooklug_protocol::backends::{BackendsItem, ListedBackend};
use hooklug_types::EngineId;

/// Back ends by id. Cheap to clone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BackendList {
    entries: BTreeMap<EngineId, Arc<ListedBackend>>,
}

impl BackendList {
    /// A list of these back ends.
    #[must_use]
    pub fn new(backends: impl IntoIterator<Item = ListedBackend>) -> Self {
        let entries = backends.into_iter().map(|b| (b.id.clone(), Arc::new(b))).collect();
        Self { entries }
    }

    /// All back ends, by id.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<ListedBackend>> {
        self.entries.values()
    }

    /// A back end by its id.
    #[must_use]
    pub fn get(&self, id: &EngineId) -> Option<&Arc<ListedBackend>> {
        self.entries.get(id)
    }

    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The whole list as an item.
    #[must_use]
    pub fn whole(&self) -> BackendsItem {
        BackendsItem::Whole(self.iter().map(|backend| ListedBackend::clone(backend)).collect())
    }

    /// What leads a follower that holds `earlier` to this list.
    #[must_use]
    pub fn changes_since(&self, earlier: &Self) -> BackendsItem {
        let differs = |b: &&Arc<ListedBackend>| earlier.entries.get(&b.id) != Some(*b);
        let changed = self.iter().filter(differs).map(|b| ListedBackend::clone(b)).collect();
        let is_gone = |id: &&EngineId| !self.entries.contains_key(*id);
        let gone = earlier.entries.keys().filter(is_gone).cloned().collect();
        BackendsItem::Changes { changed, gone }
    }

    /// Applies an item; whether anything changed.
    pub fn apply(&mut self, item: BackendsItem) -> bool {
        match item {
            BackendsItem::Whole(backends) => {
                let next = Self::new(backends);
                let differs = *self != next;
                *self = next;
                differs
            }
            BackendsItem::Changes { changed, gone } => {
                let differs = !changed.is_empty() || !gone.is_empty();
                for id in &gone {
                    self.entries.remove(id);
                }
                self.entries.extend(changed.into_iter().map(|b| (b.id.clone(), Arc::new(b))));
                differs
            }
        }
    }
}

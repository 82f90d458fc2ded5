//! The store machines of the cluster.

use hooklug_types::NodeId;

use super::command::{MetaRefusal, MetaReply};
use super::machine::{CommandResult, MetaMachine};
use super::record::{StoreRecord, StoreState};

impl MetaMachine {
    /// Registers a store's address and run. A removed store is refused, and an older run does not
    /// replace a newer one.
    pub(super) fn register_store(&mut self, store: StoreRecord) -> CommandResult {
        let stores = &mut self.state.meta.stores;
        match stores.binary_search_by_key(&store.node, |s| s.node) {
            Err(index) => stores.insert(index, StoreRecord { state: StoreState::Active, ..store }),
            Ok(index) if stores[index].state == StoreState::Removed => {
                return Err(MetaRefusal::NoStore);
            }
            Ok(index) => stores[index].update(store),
        }
        Ok(MetaReply::Done)
    }

    /// Records the name of a store's machine. After its disk was emptied, the same name refers to a
    /// new store.
    pub(super) fn name_store(&mut self, node: NodeId, name: String) -> MetaReply {
        self.state.meta.store_names.insert(name, node);
        MetaReply::Done
    }

    /// Starts to retire a store. A repeated request changes nothing.
    pub(super) fn retire_store(&mut self, node: NodeId, min_remaining: u32) -> CommandResult {
        let stores = &mut self.state.meta.stores;
        let remaining = stores.iter().filter(|s| s.state == StoreState::Active && s.node != node);
        let remaining = remaining.count();
        let store = stores.iter_mut().find(|s| s.node == node).ok_or(MetaRefusal::NoStore)?;
        if store.state != StoreState::Active {
            return Ok(MetaReply::Done);
        }
        if remaining < min_remaining as usize {
            return Err(MetaRefusal::TooFewStores { left: remaining });
        }
        store.state = StoreState::Retiring;
        Ok(MetaReply::Done)
    }

    /// Changes the membership state of a store. Removal is permanent.
    pub(super) fn set_store_state(&mut self, node: NodeId, state: StoreState) -> CommandResult {
        let stores = &mut self.state.meta.stores;
        let store = stores.iter_mut().find(|s| s.node == node).ok_or(MetaRefusal::NoStore)?;
        if store.state == StoreState::Removed && state != StoreState::Removed {
            return Err(MetaRefusal::NoStore);
        }
        store.state = state;
        Ok(MetaReply::Done)
    }
}

impl StoreRecord {
    /// Applies a registration, unless it is from an older run of the store's process.
    fn update(&mut self, registered: Self) {
        if registered.incarnation >= self.incarnation {
            *self = Self { state: self.state, ..registered };
        }
    }
}

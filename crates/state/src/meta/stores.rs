//! Store machines of the cluster.

use hooklug_types::NodeId;

use super::command::{MetaRefusal, MetaReply};
use super::machine::{MetaMachine, Outcome};
use super::record::{StoreRecord, StoreState};

impl MetaMachine {
    /// Records a store's address and run. A removed store's id never comes back, and an older run
    /// does not replace a newer one.
    pub(super) fn register_store(&mut self, store: StoreRecord) -> Outcome {
        let stores = &mut self.state.meta.stores;
        match stores.binary_search_by_key(&store.node, |s| s.node) {
            Err(place) => stores.insert(place, StoreRecord { state: StoreState::Active, ..store }),
            Ok(place) if stores[place].state == StoreState::Removed => {
                return Err(MetaRefusal::NoStore);
            }
            Ok(place) => stores[place].renew(store),
        }
        Ok(MetaReply::Done)
    }

    /// Notes the name of a store's machine; a machine with an empty disk is a new store under the same name.
    pub(super) fn name_store(&mut self, node: NodeId, name: String) -> MetaReply {
        self.state.meta.store_names.insert(name, node);
        MetaReply::Done
    }

    /// Begins to empty a store at an operator's word. Asked again it changes nothing.
    pub(super) fn retire_store(&mut self, node: NodeId, least_left: u32) -> Outcome {
        let stores = &mut self.state.meta.stores;
        let left = stores.iter().filter(|s| s.state == StoreState::Active && s.node != node);
        let left = left.count();
        let store = stores.iter_mut().find(|s| s.node == node).ok_or(MetaRefusal::NoStore)?;
        if store.state != StoreState::Active {
            return Ok(MetaReply::Done);
        }
        if left < least_left as usize {
            return Err(MetaRefusal::TooFewStores { left });
        }
        store.state = StoreState::Retiring;
        Ok(MetaReply::Done)
    }

    /// Changes what a store is to the cluster; removal is for ever.
    pub(super) fn set_store_state(&mut self, node: NodeId, state: StoreState) -> Outcome {
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
    fn renew(&mut self, told: Self) {
        if told.incarnation >= self.incarnation {
            *self = Self { state: self.state, ..told };
        }
    }
}

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

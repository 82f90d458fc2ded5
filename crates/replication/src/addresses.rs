//! Addresses of the stores, by node id.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use hooklug_types::{Incarnation, NodeId};

/// Addresses of the stores. The address of a newer incarnation replaces that of an older one. Cheap
/// to clone.
#[derive(Debug, Clone, Default)]
pub struct AddressBook {
    entries: Arc<RwLock<BTreeMap<NodeId, (Incarnation, SocketAddr)>>>,
}

impl AddressBook {
    /// Records the address of a store. An address of an older incarnation is ignored.
    pub fn record(&self, node: NodeId, incarnation: Incarnation, address: SocketAddr) {
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        let known = entries.entry(node).or_insert((incarnation, address));
        if incarnation >= known.0 {
            *known = (incarnation, address);
        }
    }

    /// Address of a store, if known.
    #[must_use]
    pub fn get(&self, node: NodeId) -> Option<SocketAddr> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.get(&node).map(|(_, address)| *address)
    }

    /// Addresses of all known stores.
    #[must_use]
    pub fn all(&self) -> Vec<(NodeId, SocketAddr)> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.iter().map(|(node, (_, address))| (*node, *address)).collect()
    }
}

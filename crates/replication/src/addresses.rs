//! Where the stores listen, by node id.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use hooklug_types::{Incarnation, NodeId};

/// Addresses of stores; a newer run of a process replaces an older one's. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct AddressBook {
    entries: Arc<RwLock<BTreeMap<NodeId, (Incarnation, SocketAddr)>>>,
}

impl AddressBook {
    /// Notes where a run of a store listens; an older run changes nothing.
    pub fn note(&self, node: NodeId, incarnation: Incarnation, address: SocketAddr) {
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        let known = entries.entry(node).or_insert((incarnation, address));
        if incarnation >= known.0 {
            *known = (incarnation, address);
        }
    }

    /// Where a store listens, as far as it is known.
    #[must_use]
    pub fn get(&self, node: NodeId) -> Option<SocketAddr> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.get(&node).map(|(_, address)| *address)
    }

    /// All known stores.
    #[must_use]
    pub fn all(&self) -> Vec<(NodeId, SocketAddr)> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.iter().map(|(node, (_, address))| (*node, *address)).collect()
    }
}

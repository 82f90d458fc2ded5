//! Which other processes a node knows. Pure.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hooklug_protocol::control::{ClusterView, MemberHealth, NodeAddress};
use hooklug_state::meta::StoreState;
use hooklug_types::{NodeId, NodeRole};

/// The processes that a node knows, itself included.
#[derive(Debug, Clone)]
pub struct Peers {
    own: NodeAddress,
    known: BTreeMap<NodeId, NodeAddress>,
    /// Stores that the meta group lists; they may not have been met yet.
    listed_stores: Vec<SocketAddr>,
}

impl Peers {
    /// Only the node itself.
    #[must_use]
    pub fn new(own: NodeAddress) -> Self {
        Self { own, known: BTreeMap::new(), listed_stores: Vec::new() }
    }

    /// Learns of a process. An earlier run changes nothing; a process at the same address that started
    /// earlier is forgotten, since the address was reused.
    pub fn learn(&mut self, address: NodeAddress) {
        if address.node == self.own.node || address.rpc == self.own.rpc {
            return;
        }
        let newer = |known: &NodeAddress| known.incarnation > address.incarnation;
        let outdated = self.known.get(&address.node).is_some_and(newer)
            || self.known.values().any(|k| k.rpc == address.rpc && newer(k));
        if outdated {
            return;
        }
        self.known.retain(|node, k| *node == address.node || k.rpc != address.rpc);
        self.known.insert(address.node, address);
    }

    /// Follows the cluster view: learns its members, forgets those that are given up.
    pub fn follow_view(&mut self, view: &ClusterView) {
        for member in view.members.values() {
            let address = &member.address;
            if member.health == MemberHealth::Dead {
                let same = |k: &NodeAddress| k.incarnation <= address.incarnation;
                if self.known.get(&address.node).is_some_and(same) {
                    self.known.remove(&address.node);
                }
            } else {
                self.learn(address.clone());
            }
        }
        let stores = view.meta.stores.iter();
        self.listed_stores =
            stores.filter(|s| s.state != StoreState::Removed).map(|s| s.address).collect();
        for removed in view.meta.stores.iter().filter(|s| s.state == StoreState::Removed) {
            self.known.remove(&removed.node);
        }
    }

    /// Forgets a process that did not answer, unless it started anew since.
    pub fn forget(&mut self, gone: &NodeAddress) {
        if self.known.get(&gone.node).is_some_and(|k| k.incarnation <= gone.incarnation) {
            self.known.remove(&gone.node);
        }
    }

    /// All known processes, this one first.
    #[must_use]
    pub fn known(&self) -> Vec<NodeAddress> {
        std::iter::once(&self.own).chain(self.known.values()).cloned().collect()
    }

    /// How many others are known.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.known.len() as u64
    }

    /// All other processes.
    #[must_use]
    pub fn others(&self) -> Vec<NodeAddress> {
        self.known.values().cloned().collect()
    }

    /// Rpc addresses of all processes of a role, this one included if it has the role; sorted.
    #[must_use]
    pub fn addresses(&self, role: NodeRole) -> Vec<SocketAddr> {
        let met = self.known.values().filter(|a| a.role == role).map(|a| a.rpc);
        let own = (self.own.role == role).then_some(self.own.rpc);
        let mut addresses: Vec<SocketAddr> = met.chain(own).collect();
        if role == NodeRole::Store {
            addresses.extend(&self.listed_stores);
        }
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }
}

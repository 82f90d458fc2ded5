//! Table of the processes that a node knows. Pure: no I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use hooklug_protocol::control::{Member, MemberHealth, NodeAddress};
use hooklug_state::meta::{StoreRecord, StoreState};
use hooklug_types::{NodeId, NodeRole};
use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};

/// Gateways and engines named in a discovery reply, in addition to all stores and cores.
const MAX_OTHERS_IN_REPLY: usize = 8;

/// The processes that a node knows, including itself.
#[derive(Debug, Clone)]
pub struct Peers {
    own: NodeAddress,
    known: BTreeMap<NodeId, NodeAddress>,
    /// The node that listens at an address; the same nodes as in `known`.
    by_address: BTreeMap<SocketAddr, NodeId>,
    /// RPC addresses of the processes of each role; the same nodes as in `known`.
    by_role: BTreeMap<NodeRole, BTreeSet<SocketAddr>>,
    /// Stores that the meta group lists; they may not have been contacted yet.
    listed_stores: Vec<SocketAddr>,
}

impl Peers {
    /// Creates a table that contains only the node itself.
    #[must_use]
    pub fn new(own: NodeAddress) -> Self {
        Self {
            own,
            known: BTreeMap::new(),
            by_address: BTreeMap::new(),
            listed_stores: Vec::new(),
            by_role: BTreeMap::new(),
        }
    }

    /// Adds a process. An earlier incarnation of a known process is ignored. A process that started
    /// earlier at the same address is removed, since the address was reused.
    pub fn learn(&mut self, address: NodeAddress) {
        if address.node == self.own.node || address.rpc == self.own.rpc {
            return;
        }
        if self.known.get(&address.node) == Some(&address) {
            return;
        }
        let newer = |known: &NodeAddress| known.incarnation > address.incarnation;
        let holder = self.by_address.get(&address.rpc).copied();
        if [Some(address.node), holder]
            .into_iter()
            .flatten()
            .any(|n| self.known.get(&n).is_some_and(newer))
        {
            return;
        }
        for outdated in [Some(address.node), holder].into_iter().flatten() {
            self.remove(outdated);
        }
        self.by_address.insert(address.rpc, address.node);
        self.by_role.entry(address.role).or_default().insert(address.rpc);
        self.known.insert(address.node, address);
    }

    fn remove(&mut self, node: NodeId) {
        if let Some(removed) = self.known.remove(&node) {
            self.by_address.remove(&removed.rpc);
            self.by_role.entry(removed.role).or_default().remove(&removed.rpc);
        }
    }

    /// Applies added and changed members of the view: adds live ones and removes dead ones.
    pub fn update_members<'a>(&mut self, members: impl IntoIterator<Item = &'a Member>) {
        for member in members {
            let address = &member.address;
            if member.health == MemberHealth::Dead {
                let same = |k: &NodeAddress| k.incarnation <= address.incarnation;
                if self.known.get(&address.node).is_some_and(same) {
                    self.remove(address.node);
                }
            } else {
                self.learn(address.clone());
            }
        }
    }

    /// Replaces the stores known from the meta group; stores removed from the cluster are
    /// forgotten.
    pub fn set_listed_stores(&mut self, stores: &[StoreRecord]) {
        let (removed, listed): (Vec<&StoreRecord>, Vec<&StoreRecord>) =
            stores.iter().partition(|s| s.state == StoreState::Removed);
        self.listed_stores = listed.into_iter().map(|s| s.address).collect();
        removed.into_iter().for_each(|store| self.remove(store.node));
    }

    /// Returns the reply to a discovery request: this node, all stores and cores, and a few random
    /// others. The requester learns the rest from the view; sending all nodes to all nodes each
    /// second would grow with the square of the cluster size.
    pub fn discovery_reply(&self, rng: &mut impl Rng) -> Vec<NodeAddress> {
        let (central, others): (Vec<&NodeAddress>, Vec<&NodeAddress>) =
            self.known.values().partition(|a| matches!(a.role, NodeRole::Store | NodeRole::Core));
        let sampled = others.sample(rng, MAX_OTHERS_IN_REPLY).copied();
        std::iter::once(&self.own).chain(central).chain(sampled).cloned().collect()
    }

    /// Returns the number of other known processes.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.known.len() as u64
    }

    /// Returns whether another process is known to listen at an address.
    #[must_use]
    pub fn is_known(&self, address: SocketAddr) -> bool {
        self.by_address.contains_key(&address)
    }

    /// Returns copies of the addresses of all other processes.
    #[must_use]
    pub fn others(&self) -> Vec<NodeAddress> {
        self.known.values().cloned().collect()
    }

    /// Returns the RPC addresses of a few random other processes.
    #[must_use]
    pub fn sample(&self, count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        self.by_address.keys().copied().sample(rng, count)
    }

    /// Returns the sorted RPC addresses of all processes of a role, including this one if it has
    /// the role.
    #[must_use]
    pub fn addresses(&self, role: NodeRole) -> Vec<SocketAddr> {
        let known = self.by_role.get(&role).into_iter().flatten().copied();
        let own = (self.own.role == role).then_some(self.own.rpc);
        let mut addresses: Vec<SocketAddr> = known.chain(own).collect();
        if role == NodeRole::Store {
            addresses.extend(&self.listed_stores);
        }
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }
}

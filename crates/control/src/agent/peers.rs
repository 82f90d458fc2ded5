//! Which other processes a node knows. Pure.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hooklug_protocol::control::{ClusterView, MemberHealth, NodeAddress};
use hooklug_protocol::member_map::MemberMap;
use hooklug_state::meta::StoreState;
use hooklug_types::{NodeId, NodeRole};
use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};

/// Gateways and engines that a node that asks is told of, beside all stores and cores (ours).
const OTHERS_INTRODUCED: usize = 8;

/// The processes that a node knows, itself included.
#[derive(Debug, Clone)]
pub struct Peers {
    own: NodeAddress,
    known: BTreeMap<NodeId, NodeAddress>,
    /// Who listens at an address; the same nodes as in `known`.
    by_address: BTreeMap<SocketAddr, NodeId>,
    /// Stores that the meta group lists; they may not have been met yet.
    listed_stores: Vec<SocketAddr>,
    /// Members of the view that was followed last; what is the same in the next is not looked at again.
    followed: MemberMap,
}

impl Peers {
    /// Only the node itself.
    #[must_use]
    pub fn new(own: NodeAddress) -> Self {
        Self {
            own,
            known: BTreeMap::new(),
            by_address: BTreeMap::new(),
            listed_stores: Vec::new(),
            followed: MemberMap::default(),
        }
    }

    /// Learns of a process. An earlier run changes nothing; a process at the same address that started
    /// earlier is forgotten, since the address was reused.
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
        self.known.insert(address.node, address);
    }

    fn remove(&mut self, node: NodeId) {
        if let Some(removed) = self.known.remove(&node) {
            self.by_address.remove(&removed.rpc);
        }
    }

    /// Follows the cluster view: learns its members, forgets those that are given up. Costs what changed since
    /// the last view.
    pub fn follow_view(&mut self, view: &ClusterView) {
        let followed = std::mem::replace(&mut self.followed, view.members.clone());
        for (_, member) in view.members.changed_since(&followed) {
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
        let stores = view.meta.stores.iter();
        self.listed_stores =
            stores.filter(|s| s.state != StoreState::Removed).map(|s| s.address).collect();
        for removed in view.meta.stores.iter().filter(|s| s.state == StoreState::Removed) {
            self.remove(removed.node);
        }
    }

    /// What a node that asks is told: this node, all stores and cores, and a few others at random. The rest
    /// it learns from the view; telling all to all each second would grow with the square of the cluster.
    pub fn introduction(&self, rng: &mut impl Rng) -> Vec<NodeAddress> {
        let (central, others): (Vec<&NodeAddress>, Vec<&NodeAddress>) =
            self.known.values().partition(|a| matches!(a.role, NodeRole::Store | NodeRole::Core));
        let some = others.sample(rng, OTHERS_INTRODUCED).copied();
        std::iter::once(&self.own).chain(central).chain(some).cloned().collect()
    }

    /// How many others are known.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.known.len() as u64
    }

    /// Whether a process other than this one is known to listen at an address.
    #[must_use]
    pub fn is_known(&self, address: SocketAddr) -> bool {
        self.by_address.contains_key(&address)
    }

    /// All other processes, each copied.
    #[must_use]
    pub fn others(&self) -> Vec<NodeAddress> {
        self.known.values().cloned().collect()
    }

    /// Rpc addresses of a few others at random.
    #[must_use]
    pub fn sample(&self, count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        self.by_address.keys().copied().sample(rng, count)
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

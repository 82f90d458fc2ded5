//! Which other processes a node knows. Pure.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use hooklug_protocol::control::{Member, MemberHealth, NodeAddress};
use hooklug_state::meta::{StoreRecord, StoreState};
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
    /// Rpc addresses of the processes of each role; the same nodes again.
    by_role: BTreeMap<NodeRole, BTreeSet<SocketAddr>>,
    /// Stores that the meta group lists; they may not have been met yet.
    listed_stores: Vec<SocketAddr>,
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
            by_role: BTreeMap::new(),
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
        self.by_role.entry(address.role).or_default().insert(address.rpc);
        self.known.insert(address.node, address);
    }

    fn remove(&mut self, node: NodeId) {
        if let Some(removed) = self.known.remove(&node) {
            self.by_address.remove(&removed.rpc);
            self.by_role.entry(removed.role).or_default().remove(&removed.rpc);
        }
    }

    /// Follows members of the view that came or changed: learns them, forgets those that are given up.
    pub fn follow_members<'a>(&mut self, members: impl IntoIterator<Item = &'a Member>) {
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

    /// Follows the stores that the meta group lists.
    pub fn follow_stores(&mut self, stores: &[StoreRecord]) {
        let (removed, listed): (Vec<&StoreRecord>, Vec<&StoreRecord>) =
            stores.iter().partition(|s| s.state == StoreState::Removed);
        self.listed_stores = listed.into_iter().map(|s| s.address).collect();
        removed.into_iter().for_each(|store| self.remove(store.node));
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
        let met = self.by_role.get(&role).into_iter().flatten().copied();
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

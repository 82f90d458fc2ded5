//! Choosing a store for a replica: zones apart first, then the least loaded.

use std::collections::BTreeMap;

use hooklug_state::meta::{GroupPlacement, StoreRecord};
use hooklug_types::{NodeId, ZoneName};

/// Replicas of each store.
#[derive(Debug, Clone, Default)]
pub(crate) struct Loads {
    voters: BTreeMap<NodeId, usize>,
    replicas: BTreeMap<NodeId, usize>,
}

impl Loads {
    pub(crate) fn of<'a>(placements: impl Iterator<Item = &'a GroupPlacement>) -> Self {
        let mut loads = Self::default();
        for placement in placements {
            placement.voters.iter().for_each(|node| loads.add_voter(*node));
            placement.learners.iter().for_each(|node| loads.add_learner(*node));
        }
        loads
    }

    pub(crate) fn add_voter(&mut self, node: NodeId) {
        *self.voters.entry(node).or_default() += 1;
        self.add_learner(node);
    }

    pub(crate) fn add_learner(&mut self, node: NodeId) {
        *self.replicas.entry(node).or_default() += 1;
    }

    pub(crate) fn voters(&self, node: NodeId) -> usize {
        self.voters.get(&node).copied().unwrap_or(0)
    }

    pub(crate) fn replicas(&self, node: NodeId) -> usize {
        self.replicas.get(&node).copied().unwrap_or(0)
    }
}

/// The best store for one more replica beside those in `zones`: a zone that has none of them, then few
/// replicas of the kind asked for, then few of any kind, then the lowest node id.
pub(crate) fn best_store<'a>(
    candidates: impl Iterator<Item = &'a StoreRecord>,
    zones: &[&ZoneName],
    loads: &Loads,
    is_voter: bool,
) -> Option<&'a StoreRecord> {
    candidates.min_by_key(|store| {
        let shared = zones.iter().filter(|zone| ***zone == store.zone).count();
        let of_kind = if is_voter { loads.voters(store.node) } else { 0 };
        (shared, of_kind, loads.replicas(store.node), store.node)
    })
}

/// Zone of a store; `None` when it is not in the list.
pub(crate) fn zone_of(stores: &[StoreRecord], node: NodeId) -> Option<&ZoneName> {
    stores.iter().find(|store| store.node == node).map(|store| &store.zone)
}

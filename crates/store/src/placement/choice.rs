//! Chooses a store for a replica: by zone first, so that replicas are spread over zones, then by
//! load.

use std::collections::BTreeMap;

use hooklug_state::meta::{GroupPlacement, StoreRecord};
use hooklug_types::{NodeId, ZoneName};

/// Numbers of voters and of replicas on each store.
#[derive(Debug, Clone, Default)]
pub(crate) struct Loads {
    voters: BTreeMap<NodeId, usize>,
    replicas: BTreeMap<NodeId, usize>,
}

impl Loads {
    pub(crate) fn from_placements<'a>(
        placements: impl Iterator<Item = &'a GroupPlacement>,
    ) -> Self {
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

/// Returns the best store for one more replica of a group that has replicas in `zones`. Prefers the
/// store whose zone has the fewest of them, then the fewest voters if a voter is placed, then the
/// fewest replicas, then the lowest node id.
pub(crate) fn best_store<'a>(
    candidates: impl Iterator<Item = &'a StoreRecord>,
    zones: &[&ZoneName],
    loads: &Loads,
    is_voter: bool,
) -> Option<&'a StoreRecord> {
    candidates.min_by_key(|store| {
        let shared = zones.iter().filter(|zone| ***zone == store.zone).count();
        let voters = if is_voter { loads.voters(store.node) } else { 0 };
        (shared, voters, loads.replicas(store.node), store.node)
    })
}

/// Returns the zone of a store, or `None` if the store is not in the list.
pub(crate) fn zone_of(stores: &[StoreRecord], node: NodeId) -> Option<&ZoneName> {
    stores.iter().find(|store| store.node == node).map(|store| &store.zone)
}

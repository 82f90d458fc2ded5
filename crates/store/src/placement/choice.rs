//! Choosing a store for a replica: zones that keep a majority safe first, then the least loaded.

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

/// Replicas of a group that one zone may hold, at least one: so many that the others are a majority without it. Where
/// a group can bear that, an even load counts more than zones apart: the only store of a small zone would hold every
/// group.
const fn replicas_in_zone(voters: usize) -> usize {
    if voters > 3 { (voters - 1) / 2 } else { 1 }
}

/// Replicas beyond what a zone may hold, if one more comes to it beside those in `zones`.
pub(crate) fn crowding(zones: &[&ZoneName], zone: &ZoneName, voters: usize) -> usize {
    let there = zones.iter().filter(|other| **other == zone).count();
    (there + 1).saturating_sub(replicas_in_zone(voters))
}

/// The best store for one more replica of a group of so many voters, beside those in `zones`: a zone that bears it,
/// then few replicas of the kind asked for, then few of any kind, then a zone that has none, then the lowest node id.
pub(crate) fn best_store<'a>(
    candidates: impl Iterator<Item = &'a StoreRecord>,
    zones: &[&ZoneName],
    voters: usize,
    loads: &Loads,
    is_voter: bool,
) -> Option<&'a StoreRecord> {
    candidates.min_by_key(|store| {
        let crowding = crowding(zones, &store.zone, voters);
        let of_kind = if is_voter { loads.voters(store.node) } else { 0 };
        let shared = zones.iter().filter(|zone| ***zone == store.zone).count();
        (crowding, of_kind, loads.replicas(store.node), shared, store.node)
    })
}

/// Zone of a store; `None` when it is not in the list.
pub(crate) fn zone_of(stores: &[StoreRecord], node: NodeId) -> Option<&ZoneName> {
    stores.iter().find(|store| store.node == node).map(|store| &store.zone)
}

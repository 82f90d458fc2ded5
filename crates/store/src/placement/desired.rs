//! Computes changes of the desired placements: replaces lost and retiring stores and moves replicas
//! to new ones.

use std::collections::BTreeSet;

use hooklug_state::meta::{GroupPlacement, MetaState, StoreRecord, StoreState};
use hooklug_types::{GroupId, NodeId};

use super::choice::{Loads, best_store, zone_of};
use super::reconcile::{is_up_to_date, next_change};
use super::{StoreReport, VOTERS, leader_of, learners};

/// A change of one group's desired placement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementUpdate {
    /// The group.
    pub group: GroupId,
    /// Its current placement.
    pub expected: GroupPlacement,
    /// Its new placement.
    pub placement: GroupPlacement,
}

/// State of the cluster on which placement decisions are based.
struct ClusterView<'a> {
    meta: &'a MetaState,
    reports: &'a [StoreReport],
    alive: &'a BTreeSet<NodeId>,
}

impl<'a> ClusterView<'a> {
    /// Returns the stores that may hold replicas: those that are alive and active.
    fn usable(&self) -> impl Iterator<Item = &'a StoreRecord> + use<'a, '_> {
        self.meta.stores.iter().filter(|store| self.is_usable(store.node))
    }

    fn is_usable(&self, node: NodeId) -> bool {
        let active = |store: &StoreRecord| store.node == node && store.state == StoreState::Active;
        self.alive.contains(&node) && self.meta.stores.iter().any(active)
    }
}

/// Returns the changes due to lost, retiring or added stores, at most one per group. Replicas are
/// rebalanced only while no other change is in progress.
#[must_use]
pub fn changes(
    meta: &MetaState,
    reports: &[StoreReport],
    alive: &BTreeSet<NodeId>,
) -> Vec<PlacementUpdate> {
    let changes = repairs(meta, reports, alive);
    let cluster = ClusterView { meta, reports, alive };
    if changes.is_empty() && is_settled(&cluster) {
        return rebalancing_update(&cluster).into_iter().collect();
    }
    changes
}

/// Returns the changes due to lost or retiring stores, at most one per group.
#[must_use]
pub fn repairs(
    meta: &MetaState,
    reports: &[StoreReport],
    alive: &BTreeSet<NodeId>,
) -> Vec<PlacementUpdate> {
    let cluster = ClusterView { meta, reports, alive };
    let mut loads = Loads::from_placements(meta.placements.values());
    let mut changes = Vec::new();
    for (group, current) in &meta.placements {
        let placement = repaired_placement(&cluster, *group, current, &mut loads);
        if placement != *current {
            let (group, expected) = (*group, current.clone());
            changes.push(PlacementUpdate { group, expected, placement });
        }
    }
    changes
}

/// Returns a group's placement with lost and retiring stores replaced as far as possible now.
fn repaired_placement(
    cluster: &ClusterView<'_>,
    group: GroupId,
    current: &GroupPlacement,
    loads: &mut Loads,
) -> GroupPlacement {
    let mut placement = current.clone();
    for voter in &current.voters {
        if cluster.is_usable(*voter) {
            continue;
        }
        // The voter stays until an up-to-date learner can replace it.
        if let Some(learner) = replacement_learner(cluster, group, &placement, *voter) {
            placement.learners.retain(|node| *node != learner);
            placement.voters.retain(|node| node != voter);
            placement.voters.push(learner);
        }
    }
    placement.learners.retain(|node| cluster.is_usable(*node));
    let voters = VOTERS.max(current.voters.len());
    // A replacement for a lost voter has to catch up as a learner first.
    let lost = placement.voters.iter().filter(|voter| !cluster.is_usable(**voter)).count();
    let desired_learners = learners(voters).max(lost);
    placement.learners.truncate(desired_learners);
    while placement.voters.len() + placement.learners.len() < voters + desired_learners {
        let Some(store) = free_store(cluster, &placement, loads) else { break };
        placement.learners.push(store);
        loads.add_learner(store);
    }
    // A group that was created with fewer stores grows to its full number of voters.
    if placement.voters.len() < voters
        && let Some(learner) = replacement_learner(cluster, group, &placement, NodeId::default())
    {
        placement.learners.retain(|node| *node != learner);
        placement.voters.push(learner);
    }
    placement
}

/// Returns the learner that should replace a voter: an up-to-date one, preferably in a zone without
/// another voter.
fn replacement_learner(
    cluster: &ClusterView<'_>,
    group: GroupId,
    placement: &GroupPlacement,
    leaving: NodeId,
) -> Option<NodeId> {
    let leader = leader_of(group, cluster.reports)?;
    let stores = &cluster.meta.stores;
    let others = placement.voters.iter().filter(|node| **node != leaving);
    let zones: Vec<_> = others.filter_map(|node| zone_of(stores, *node)).collect();
    let ready = placement
        .learners
        .iter()
        .copied()
        .filter(|node| cluster.is_usable(*node) && is_up_to_date(leader.replica, *node));
    ready.min_by_key(|node| {
        let zone = zone_of(stores, *node);
        (zones.iter().filter(|other| Some(**other) == zone).count(), *node)
    })
}

/// Returns a store for a new learner of the group. Since the learner may become a voter, a zone
/// without living members of the group is preferred.
fn free_store(
    cluster: &ClusterView<'_>,
    placement: &GroupPlacement,
    loads: &Loads,
) -> Option<NodeId> {
    let members = || placement.voters.iter().chain(&placement.learners);
    let living = members().filter(|node| cluster.is_usable(**node));
    let zones: Vec<_> = living.filter_map(|n| zone_of(&cluster.meta.stores, *n)).collect();
    let free = cluster.usable().filter(|store| !members().any(|node| *node == store.node));
    best_store(free, &zones, loads, false).map(|store| store.node)
}

/// Returns whether all groups have their desired members and all of these are up to date.
fn is_settled(cluster: &ClusterView<'_>) -> bool {
    cluster.meta.placements.iter().all(|(group, placement)| {
        leader_of(*group, cluster.reports).is_some_and(|leader| {
            let others = leader.replica.progress.iter();
            next_change(placement, leader.replica, cluster.alive).is_none()
                && others.clone().all(|member| is_up_to_date(leader.replica, member.node))
        })
    })
}

/// Returns one change that evens out the load: it moves a replica to the least loaded store or, if
/// the replicas are balanced, swaps a voter and a learner.
fn rebalancing_update(cluster: &ClusterView<'_>) -> Option<PlacementUpdate> {
    let loads = Loads::from_placements(cluster.meta.placements.values());
    let by_replicas = |node: NodeId| loads.replicas(node);
    let by_voters = |node: NodeId| loads.voters(node);
    first_move(cluster, by_replicas, move_replica)
        .or_else(|| first_move(cluster, by_voters, swap_voter_and_learner))
}

/// Returns the first possible move to the least loaded store from a store whose load exceeds it by
/// at least two.
fn first_move(
    cluster: &ClusterView<'_>,
    load: impl Fn(NodeId) -> usize,
    build_update: fn(&ClusterView<'_>, NodeId, &StoreRecord) -> Option<PlacementUpdate>,
) -> Option<PlacementUpdate> {
    let mut stores: Vec<&StoreRecord> = cluster.usable().collect();
    stores.sort_by_key(|store| (load(store.node), store.node));
    let least_loaded = stores.first().copied()?;
    let loaded = stores.iter().rev().take_while(|s| load(s.node) >= load(least_loaded.node) + 2);
    loaded.into_iter().find_map(|store| build_update(cluster, store.node, least_loaded))
}

/// Moves a replica to a store that has none of its group; a learner is preferred over a voter.
fn move_replica(
    cluster: &ClusterView<'_>,
    from: NodeId,
    to: &StoreRecord,
) -> Option<PlacementUpdate> {
    let holds = |placement: &GroupPlacement, node| {
        placement.voters.contains(&node) || placement.learners.contains(&node)
    };
    let movable = cluster.meta.placements.iter().filter(|(_, placement)| {
        holds(placement, from)
            && !holds(placement, to.node)
            && !reduces_zone_spread(cluster, placement, from, to)
    });
    let (group, current) = movable.min_by_key(|(group, p)| (p.voters.contains(&from), **group))?;
    let mut placement = current.clone();
    for member in placement.voters.iter_mut().chain(&mut placement.learners) {
        if *member == from {
            *member = to.node;
        }
    }
    Some(PlacementUpdate { group: *group, expected: current.clone(), placement })
}

/// Swaps the roles of two stores in one group: the voter becomes a learner and the learner a voter.
fn swap_voter_and_learner(
    cluster: &ClusterView<'_>,
    voter: NodeId,
    learner: &StoreRecord,
) -> Option<PlacementUpdate> {
    let (group, current) = cluster.meta.placements.iter().find(|(_, placement)| {
        placement.voters.contains(&voter)
            && placement.learners.contains(&learner.node)
            && !reduces_zone_spread(cluster, placement, voter, learner)
    })?;
    let mut placement = current.clone();
    placement.voters.retain(|node| *node != voter);
    placement.voters.push(learner.node);
    placement.learners.retain(|node| *node != learner.node);
    placement.learners.push(voter);
    Some(PlacementUpdate { group: *group, expected: current.clone(), placement })
}

/// Returns whether moving a voter would make it share its zone with more voters than now.
fn reduces_zone_spread(
    cluster: &ClusterView<'_>,
    placement: &GroupPlacement,
    from: NodeId,
    to: &StoreRecord,
) -> bool {
    if !placement.voters.contains(&from) {
        return false;
    }
    let stores = &cluster.meta.stores;
    let others = || placement.voters.iter().filter(|node| **node != from);
    let shares = |zone| others().filter(|node| zone_of(stores, **node) == Some(zone)).count();
    let before = zone_of(stores, from).map_or(0, shares);
    shares(&to.zone) > before
}

/// Returns the stores that can be marked as removed: they are in no group's placement or
/// membership, and are either retiring or permanently lost, that is, a newer node uses their
/// address.
pub fn removable_stores<'a>(
    meta: &'a MetaState,
    reports: &'a [StoreReport],
    alive: &'a BTreeSet<NodeId>,
) -> impl Iterator<Item = NodeId> + 'a {
    let leaving = meta.stores.iter().filter(move |store| match store.state {
        StoreState::Retiring => true,
        StoreState::Active => !alive.contains(&store.node) && is_superseded(meta, store),
        StoreState::Removed => false,
    });
    leaving.map(|store| store.node).filter(move |node| !is_in_use(meta, reports, *node))
}

/// Returns whether a newer node uses the store's address. The store's disk is then lost, and the
/// store will not return.
#[must_use]
pub fn is_superseded(meta: &MetaState, store: &StoreRecord) -> bool {
    meta.stores.iter().any(|other| {
        other.node != store.node
            && other.address == store.address
            && other.incarnation > store.incarnation
    })
}

/// Returns whether a store is in the placement or the membership of any group. A group without a
/// known leader counts as using the store.
fn is_in_use(meta: &MetaState, reports: &[StoreReport], node: NodeId) -> bool {
    meta.placements.iter().any(|(group, placement)| {
        placement.voters.contains(&node)
            || placement.learners.contains(&node)
            || leader_of(*group, reports).is_none_or(|l| l.replica.conf.contains(node))
    })
}

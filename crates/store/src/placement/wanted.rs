//! Changes of the wanted placements: lost and retiring stores are replaced, new ones get their share.

use std::collections::BTreeSet;

use hooklug_state::meta::{GroupPlacement, MetaState, StoreRecord, StoreState};
use hooklug_types::{GroupId, NodeId};

use super::choice::{Loads, best_store, zone_of};
use super::follow::{is_up_to_date, next_change};
use super::{StoreReport, VOTERS, leader_of, learners};

/// A group's wanted placement, before and after.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedChange {
    /// The group.
    pub group: GroupId,
    /// What it is now.
    pub expected: GroupPlacement,
    /// What it should be.
    pub placement: GroupPlacement,
}

/// What decisions about one group rest on.
struct Scene<'a> {
    meta: &'a MetaState,
    reports: &'a [StoreReport],
    alive: &'a BTreeSet<NodeId>,
}

impl<'a> Scene<'a> {
    /// Stores that may hold replicas.
    fn usable(&self) -> impl Iterator<Item = &'a StoreRecord> + use<'a, '_> {
        self.meta.stores.iter().filter(|store| self.is_usable(store.node))
    }

    fn is_usable(&self, node: NodeId) -> bool {
        let active = |store: &StoreRecord| store.node == node && store.state == StoreState::Active;
        self.alive.contains(&node) && self.meta.stores.iter().any(active)
    }
}

/// Changes that the loss, retirement or arrival of stores asks for, at most one a group. A store is
/// rebalanced onto only when nothing else is under way.
#[must_use]
pub fn changes(
    meta: &MetaState,
    reports: &[StoreReport],
    alive: &BTreeSet<NodeId>,
) -> Vec<WantedChange> {
    let changes = repairs(meta, reports, alive);
    let scene = Scene { meta, reports, alive };
    if changes.is_empty() && is_settled(&scene) {
        return rebalanced(&scene).into_iter().collect();
    }
    changes
}

/// Changes that the loss or retirement of stores asks for, at most one a group.
#[must_use]
pub fn repairs(
    meta: &MetaState,
    reports: &[StoreReport],
    alive: &BTreeSet<NodeId>,
) -> Vec<WantedChange> {
    let scene = Scene { meta, reports, alive };
    let mut loads = Loads::of(meta.placements.values());
    let mut changes = Vec::new();
    for (group, current) in &meta.placements {
        let placement = repaired(&scene, *group, current, &mut loads);
        if placement != *current {
            let (group, expected) = (*group, current.clone());
            changes.push(WantedChange { group, expected, placement });
        }
    }
    changes
}

/// A group's placement without the stores that are lost or retire.
fn repaired(
    scene: &Scene<'_>,
    group: GroupId,
    current: &GroupPlacement,
    loads: &mut Loads,
) -> GroupPlacement {
    let mut placement = current.clone();
    for voter in &current.voters {
        if scene.is_usable(*voter) {
            continue;
        }
        // The voter stays until a learner that has everything can take its place.
        if let Some(learner) = successor(scene, group, &placement, *voter) {
            placement.learners.retain(|node| *node != learner);
            placement.voters.retain(|node| node != voter);
            placement.voters.push(learner);
        }
    }
    placement.learners.retain(|node| scene.is_usable(*node));
    let voters = VOTERS.max(current.voters.len());
    // A place that is to be filled needs a learner first.
    let lost = placement.voters.iter().filter(|voter| !scene.is_usable(**voter)).count();
    let wanted_learners = learners(voters).max(lost);
    placement.learners.truncate(wanted_learners);
    while placement.voters.len() + placement.learners.len() < voters + wanted_learners {
        let Some(store) = free_store(scene, &placement, loads) else { break };
        placement.learners.push(store);
        loads.add_learner(store);
    }
    // A group that began with fewer stores grows to its full number of voters.
    if placement.voters.len() < voters
        && let Some(learner) = successor(scene, group, &placement, NodeId::default())
    {
        placement.learners.retain(|node| *node != learner);
        placement.voters.push(learner);
    }
    placement
}

/// The learner to take a voter's place: up to date, and best in a zone that no other voter is in.
fn successor(
    scene: &Scene<'_>,
    group: GroupId,
    placement: &GroupPlacement,
    leaving: NodeId,
) -> Option<NodeId> {
    let leader = leader_of(group, scene.reports)?;
    let stores = &scene.meta.stores;
    let others = placement.voters.iter().filter(|node| **node != leaving);
    let zones: Vec<_> = others.filter_map(|node| zone_of(stores, *node)).collect();
    let ready = placement
        .learners
        .iter()
        .copied()
        .filter(|node| scene.is_usable(*node) && is_up_to_date(leader.replica, *node));
    ready.min_by_key(|node| {
        let zone = zone_of(stores, *node);
        (zones.iter().filter(|taken| Some(**taken) == zone).count(), *node)
    })
}

/// A store without a replica of the group, for a learner that may become a voter: its zone should
/// differ from those of the living voters.
fn free_store(scene: &Scene<'_>, placement: &GroupPlacement, loads: &Loads) -> Option<NodeId> {
    let members = || placement.voters.iter().chain(&placement.learners);
    let living = members().filter(|node| scene.is_usable(**node));
    let zones: Vec<_> = living.filter_map(|n| zone_of(&scene.meta.stores, *n)).collect();
    let free = scene.usable().filter(|store| !members().any(|node| *node == store.node));
    best_store(free, &zones, loads, false).map(|store| store.node)
}

/// Whether every group's members are as wanted and all its members answer.
fn is_settled(scene: &Scene<'_>) -> bool {
    scene.meta.placements.iter().all(|(group, placement)| {
        leader_of(*group, scene.reports).is_some_and(|leader| {
            let others = leader.replica.progress.iter();
            next_change(placement, leader.replica, scene.alive).is_none()
                && others.clone().all(|member| is_up_to_date(leader.replica, member.node))
        })
    })
}

/// One move of a replica from the most to the least loaded store, or into a zone of its own.
fn rebalanced(scene: &Scene<'_>) -> Option<WantedChange> {
    let loads = Loads::of(scene.meta.placements.values());
    let by_replicas = |node: NodeId| loads.replicas(node);
    let by_voters = |node: NodeId| loads.voters(node);
    first_move(scene, by_replicas, move_replica)
        .or_else(|| first_move(scene, by_voters, swap_kinds))
}

/// The first possible move to the least loaded store from one that has at least two more.
fn first_move(
    scene: &Scene<'_>,
    load: impl Fn(NodeId) -> usize,
    make: fn(&Scene<'_>, NodeId, &StoreRecord) -> Option<WantedChange>,
) -> Option<WantedChange> {
    let mut stores: Vec<&StoreRecord> = scene.usable().collect();
    stores.sort_by_key(|store| (load(store.node), store.node));
    let least = stores.first().copied()?;
    let loaded = stores.iter().rev().take_while(|s| load(s.node) >= load(least.node) + 2);
    loaded.into_iter().find_map(|store| make(scene, store.node, least))
}

/// Moves a replica, a learner rather than a voter, to a store that has none of its group.
fn move_replica(scene: &Scene<'_>, from: NodeId, to: &StoreRecord) -> Option<WantedChange> {
    let holds = |placement: &GroupPlacement, node| {
        placement.voters.contains(&node) || placement.learners.contains(&node)
    };
    let movable = scene.meta.placements.iter().filter(|(_, placement)| {
        holds(placement, from) && !holds(placement, to.node) && !worsens(scene, placement, from, to)
    });
    let (group, current) = movable.min_by_key(|(group, p)| (p.voters.contains(&from), **group))?;
    let mut placement = current.clone();
    for member in placement.voters.iter_mut().chain(&mut placement.learners) {
        if *member == from {
            *member = to.node;
        }
    }
    Some(WantedChange { group: *group, expected: current.clone(), placement })
}

/// Makes a learner a voter and a voter a learner where both stores hold the group.
fn swap_kinds(scene: &Scene<'_>, voter: NodeId, learner: &StoreRecord) -> Option<WantedChange> {
    let (group, current) = scene.meta.placements.iter().find(|(_, placement)| {
        placement.voters.contains(&voter)
            && placement.learners.contains(&learner.node)
            && !worsens(scene, placement, voter, learner)
    })?;
    let mut placement = current.clone();
    placement.voters.retain(|node| *node != voter);
    placement.voters.push(learner.node);
    placement.learners.retain(|node| *node != learner.node);
    placement.learners.push(voter);
    Some(WantedChange { group: *group, expected: current.clone(), placement })
}

/// Whether a voter's move would put two voters in one zone that are apart now.
fn worsens(scene: &Scene<'_>, placement: &GroupPlacement, from: NodeId, to: &StoreRecord) -> bool {
    if !placement.voters.contains(&from) {
        return false;
    }
    let stores = &scene.meta.stores;
    let others = || placement.voters.iter().filter(|node| **node != from);
    let shares = |zone| others().filter(|node| zone_of(stores, **node) == Some(zone)).count();
    let before = zone_of(stores, from).map_or(0, shares);
    shares(&to.zone) > before
}

/// Stores that hold nothing, are wanted for nothing and will not come back: retiring ones, and lost ones
/// whose address a newer node has taken.
pub fn emptied_stores<'a>(
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

/// Whether a newer node has taken a store's address: its disk is lost, and it will not come back.
#[must_use]
pub fn is_superseded(meta: &MetaState, store: &StoreRecord) -> bool {
    meta.stores.iter().any(|other| {
        other.node != store.node
            && other.address == store.address
            && other.incarnation > store.incarnation
    })
}

/// Whether a store is wanted by a group or a member of one; groups without a known leader count.
fn is_in_use(meta: &MetaState, reports: &[StoreReport], node: NodeId) -> bool {
    meta.placements.iter().any(|(group, wanted)| {
        wanted.voters.contains(&node)
            || wanted.learners.contains(&node)
            || leader_of(*group, reports).is_none_or(|l| l.replica.conf.contains(node))
    })
}

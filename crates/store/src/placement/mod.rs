//! Which store holds which replica. Pure: the state of the cluster in, the next changes out.
//!
//! Two steps, so that nothing has to be remembered between calls. The wanted placement of each group
//! lives in the meta state and changes when a store is lost, retires or is added ([`wanted`]); the
//! members of each group follow it, one membership change at a time ([`follow`]).

mod choice;
pub mod follow;
pub mod initial;
pub mod wanted;

use std::collections::BTreeSet;

use hooklug_protocol::store::ReplicaStatus;
use hooklug_raft::{ConfChange, Role};
use hooklug_state::meta::{GroupPlacement, MetaState};
use hooklug_types::{GroupId, NodeId};

/// Fewest voters of each group (design section 3). A group that began with more keeps as many.
pub const VOTERS: usize = 3;

/// Learners of a group with this many voters. One stands by to take a lost voter's place; a group that bears two losses
/// has the time to fill a place from nothing, and is spared a copy of all that is written.
#[must_use]
pub const fn learners(voters: usize) -> usize {
    if voters > VOTERS { 0 } else { 1 }
}

/// The replicas of one store, as it answered to `GroupStatus`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreReport {
    /// The store.
    pub node: NodeId,
    /// Its replicas.
    pub replicas: Vec<ReplicaStatus>,
}

/// One change to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannedChange {
    /// Change the wanted placement, by `MetaCommand::SetPlacement`.
    SetPlacement {
        /// The group.
        group: GroupId,
        /// What it is now.
        expected: GroupPlacement,
        /// What it should be.
        placement: GroupPlacement,
    },
    /// Change the group's members, by `ChangeReplicas` to the leader's store.
    ChangeReplicas {
        /// The group.
        group: GroupId,
        /// The store that leads it.
        leader: NodeId,
        /// The change.
        change: ConfChange,
    },
    /// Nothing is left on a store that retires or is lost for good: mark it removed, by `MetaCommand::SetStoreState`.
    RemoveStore {
        /// The store.
        node: NodeId,
    },
}

/// The next changes, at most one a group. Calling it again after they are made goes on from there; when
/// nothing is to be done it gives none.
///
/// * `reports`: the answers of all stores that answered.
/// * `alive`: stores that count as living; one that is missing here loses its replicas, so the caller
///   leaves a store out only after it has been silent for a while.
#[must_use]
pub fn plan(
    meta: &MetaState,
    reports: &[StoreReport],
    alive: &BTreeSet<NodeId>,
) -> Vec<PlannedChange> {
    plan_with(wanted::changes(meta, reports, alive), meta, reports, alive)
}

/// [`plan`] without what only evens out the load of the stores.
#[must_use]
pub fn plan_repairs(
    meta: &MetaState,
    reports: &[StoreReport],
    alive: &BTreeSet<NodeId>,
) -> Vec<PlannedChange> {
    plan_with(wanted::repairs(meta, reports, alive), meta, reports, alive)
}

fn plan_with(
    wanted: Vec<wanted::WantedChange>,
    meta: &MetaState,
    reports: &[StoreReport],
    alive: &BTreeSet<NodeId>,
) -> Vec<PlannedChange> {
    let moving: BTreeSet<GroupId> = wanted.iter().map(|change| change.group).collect();
    let mut changes: Vec<PlannedChange> =
        wanted
            .into_iter()
            .map(|wanted::WantedChange { group, expected, placement }| {
                PlannedChange::SetPlacement { group, expected, placement }
            })
            .collect();
    for (group, placement) in &meta.placements {
        let Some(leader) = leader_of(*group, reports) else { continue };
        if moving.contains(group) {
            continue;
        }
        if let Some(change) = follow::next_change(placement, leader.replica, alive) {
            let (group, leader) = (*group, leader.node);
            changes.push(PlannedChange::ChangeReplicas { group, leader, change });
        }
    }
    changes.extend(
        wanted::emptied_stores(meta, reports, alive)
            .map(|node| PlannedChange::RemoveStore { node }),
    );
    changes
}

/// A group's leader and its view.
#[derive(Debug, Clone, Copy)]
pub struct LeaderView<'a> {
    /// The store of the leader.
    pub node: NodeId,
    /// What it said.
    pub replica: &'a ReplicaStatus,
}

/// The leader of the newest term that reported.
#[must_use]
pub fn leader_of(group: GroupId, reports: &[StoreReport]) -> Option<LeaderView<'_>> {
    let replicas = reports.iter().flat_map(|report| {
        report.replicas.iter().map(|replica| LeaderView { node: report.node, replica })
    });
    replicas
        .filter(|view| view.replica.group == group && view.replica.role == Role::Leader)
        .max_by_key(|view| view.replica.term)
}

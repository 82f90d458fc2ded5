//! Plans which stores hold the replicas of each group. Free of I/O: from the state of the cluster
//! it computes the next changes.
//!
//! Planning has two steps, so that no state is kept between calls. The desired placement of each
//! group is stored in the meta state and changes when a store is lost, retires or is added
//! ([`desired`]). The members of each group are then brought in line with it, one membership change
//! at a time ([`reconcile`]).

mod choice;
pub mod desired;
pub mod initial;
pub mod reconcile;

use std::collections::BTreeSet;

use hooklug_protocol::store::ReplicaStatus;
use hooklug_raft::{ConfChange, Role};
use hooklug_state::meta::{GroupPlacement, MetaState};
use hooklug_types::{GroupId, NodeId};

/// Minimum number of voters in each group (design document, section 3). A group that was created
/// with more voters keeps that number.
pub const VOTERS: usize = 3;

/// Returns the number of standby learners of a group with this many voters. A group of three has
/// one, ready to replace a lost voter. A larger group tolerates two losses, so there is time to
/// bring a new replica up from nothing, and it has no learner to save the cost of another copy of
/// all writes.
#[must_use]
pub const fn learners(voters: usize) -> usize {
    if voters > VOTERS { 0 } else { 1 }
}

/// The replicas of one store, as reported in its reply to `GroupStatus`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreReport {
    /// The store.
    pub node: NodeId,
    /// Its replicas.
    pub replicas: Vec<ReplicaStatus>,
}

/// A change that the caller should carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannedChange {
    /// Change a group's desired placement, by `MetaCommand::SetPlacement`.
    SetPlacement {
        /// The group.
        group: GroupId,
        /// Its current placement.
        expected: GroupPlacement,
        /// Its new placement.
        placement: GroupPlacement,
    },
    /// Change a group's members, by `ChangeReplicas` to the leader's store.
    ChangeReplicas {
        /// The group.
        group: GroupId,
        /// The store that leads it.
        leader: NodeId,
        /// The membership change.
        change: ConfChange,
    },
    /// Mark a store as removed, by `MetaCommand::SetStoreState`. It retires or is permanently lost,
    /// and holds no replicas any more.
    RemoveStore {
        /// The store.
        node: NodeId,
    },
}

/// Returns the next changes, at most one per group. Call it again after they are carried out; it
/// returns none when nothing remains to be done.
///
/// * `reports`: replies of all stores that responded.
/// * `alive`: stores that count as alive. A store that is missing here loses its replicas, so the
///   caller omits one only after it has been unresponsive for a while.
#[must_use]
pub fn plan(
    meta: &MetaState,
    reports: &[StoreReport],
    alive: &BTreeSet<NodeId>,
) -> Vec<PlannedChange> {
    plan_with(desired::changes(meta, reports, alive), meta, reports, alive)
}

/// Like [`plan`], but without changes that only rebalance the load of the stores.
#[must_use]
pub fn plan_repairs(
    meta: &MetaState,
    reports: &[StoreReport],
    alive: &BTreeSet<NodeId>,
) -> Vec<PlannedChange> {
    plan_with(desired::repairs(meta, reports, alive), meta, reports, alive)
}

fn plan_with(
    updates: Vec<desired::PlacementUpdate>,
    meta: &MetaState,
    reports: &[StoreReport],
    alive: &BTreeSet<NodeId>,
) -> Vec<PlannedChange> {
    let updated_groups: BTreeSet<GroupId> = updates.iter().map(|change| change.group).collect();
    let mut changes: Vec<PlannedChange> = updates
        .into_iter()
        .map(|desired::PlacementUpdate { group, expected, placement }| {
            PlannedChange::SetPlacement { group, expected, placement }
        })
        .collect();
    for (group, placement) in &meta.placements {
        let Some(leader) = leader_of(*group, reports) else { continue };
        if updated_groups.contains(group) {
            continue;
        }
        if let Some(change) = reconcile::next_change(placement, leader.replica, alive) {
            let (group, leader) = (*group, leader.node);
            changes.push(PlannedChange::ChangeReplicas { group, leader, change });
        }
    }
    changes.extend(
        desired::removable_stores(meta, reports, alive)
            .map(|node| PlannedChange::RemoveStore { node }),
    );
    changes
}

/// A group's leader and the status that it reported.
#[derive(Debug, Clone, Copy)]
pub struct LeaderView<'a> {
    /// The store of the leader.
    pub node: NodeId,
    /// Status of the leader's replica.
    pub replica: &'a ReplicaStatus,
}

/// Returns the group's leader; if several replicas report leadership, the one with the newest term.
#[must_use]
pub fn leader_of(group: GroupId, reports: &[StoreReport]) -> Option<LeaderView<'_>> {
    let replicas = reports.iter().flat_map(|report| {
        report.replicas.iter().map(|replica| LeaderView { node: report.node, replica })
    });
    replicas
        .filter(|view| view.replica.group == group && view.replica.role == Role::Leader)
        .max_by_key(|view| view.replica.term)
}

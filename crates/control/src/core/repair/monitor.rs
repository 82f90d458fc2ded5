//! Monitors each group: how long it lacks replicas, and whether it commits. Pure: reports and time
//! are passed in, events are returned.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hooklug_protocol::store::{MemberProgress, ReplicaStatus};
use hooklug_raft::ConfState;
use hooklug_state::meta::{GroupPlacement, MetaState};
use hooklug_store::placement::reconcile::is_up_to_date;
use hooklug_store::placement::{LeaderView, StoreReport, leader_of};
use hooklug_types::{GroupId, NodeId};
use tokio::time::Instant;

/// Time after which a group without a leader, or with uncommitted entries and no progress, counts
/// as stalled: several elections.
pub const STALL_TIME: Duration = Duration::from_secs(3);

/// A leader's view of a group that does not commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StalledLeader {
    /// The leader's store.
    pub node: NodeId,
    /// Highest committed index.
    pub commit: u64,
    /// Last index of its log.
    pub last_index: u64,
    /// Newest membership, committed or not.
    pub newest_conf: ConfState,
    /// Replication progress of each member.
    pub progress: Vec<MemberProgress>,
}

/// A change in the health of a group, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GroupEvent {
    /// A voter is lost, is not in the desired placement, or lags.
    Degraded {
        /// The group.
        group: GroupId,
        /// The desired placement of its replicas.
        desired: GroupPlacement,
        /// Its members, if it has a leader.
        members: Option<ConfState>,
    },
    /// All desired voters are members, alive and up to date again.
    Repaired {
        /// The group.
        group: GroupId,
        /// How long the group was degraded.
        degraded_for: Duration,
    },
    /// The group has committed nothing for [`STALL_TIME`], although entries are waiting; reported once.
    Stalled {
        /// The group.
        group: GroupId,
        /// How long the group has been stalled.
        stalled_for: Duration,
        /// Its leader, if it has one.
        leader: Option<StalledLeader>,
    },
    /// The group commits again after a stall.
    Resumed {
        /// The group.
        group: GroupId,
        /// How long the group was stalled.
        stalled_for: Duration,
    },
}

/// The time since which entries have been waiting to be committed, and the commit index then.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    commit: u64,
    since: Instant,
}

/// State of one group across updates.
#[derive(Debug, Default)]
struct GroupState {
    degraded_since: Option<Instant>,
    waiting: Option<Waiting>,
    is_stall_reported: bool,
}

/// Monitors all groups of a cluster across updates.
#[derive(Debug, Default)]
pub struct GroupMonitor {
    groups: BTreeMap<GroupId, GroupState>,
}

impl GroupMonitor {
    /// Updates all groups with the stores' replies of one round and returns what changed.
    pub fn update(
        &mut self,
        meta: &MetaState,
        reports: &[StoreReport],
        alive: &BTreeSet<NodeId>,
        now: Instant,
    ) -> Vec<GroupEvent> {
        let mut events = Vec::new();
        for (group, desired) in &meta.placements {
            let leader = leader_of(*group, reports);
            let state = self.groups.entry(*group).or_default();
            events.extend(state.update_members(*group, desired, leader, alive, now));
            events.extend(state.update_commit(*group, leader, now));
        }
        events
    }

    /// Returns the number of groups that lack a voter.
    #[must_use]
    pub fn degraded(&self) -> usize {
        self.groups.values().filter(|state| state.degraded_since.is_some()).count()
    }

    /// Returns the number of groups that commit nothing.
    #[must_use]
    pub fn stalled(&self) -> usize {
        self.groups.values().filter(|state| state.is_stall_reported).count()
    }
}

impl GroupState {
    fn update_members(
        &mut self,
        group: GroupId,
        desired: &GroupPlacement,
        leader: Option<LeaderView<'_>>,
        alive: &BTreeSet<NodeId>,
        now: Instant,
    ) -> Option<GroupEvent> {
        let is_complete = leader.is_some_and(|view| is_complete(desired, view.replica, alive));
        match (self.degraded_since, is_complete) {
            (None, false) => {
                self.degraded_since = Some(now);
                let members = leader.map(|view| view.replica.conf.clone());
                Some(GroupEvent::Degraded { group, desired: desired.clone(), members })
            }
            (Some(since), true) => {
                self.degraded_since = None;
                Some(GroupEvent::Repaired { group, degraded_for: now - since })
            }
            _ => None,
        }
    }

    fn update_commit(
        &mut self,
        group: GroupId,
        leader: Option<LeaderView<'_>>,
        now: Instant,
    ) -> Option<GroupEvent> {
        let has_waiting = leader.is_none_or(|view| view.replica.last_index > view.replica.commit);
        let commit = leader.map(|view| view.replica.commit);
        let has_progressed =
            |waiting: &Waiting| !has_waiting || commit.is_some_and(|c| c != waiting.commit);
        if let Some(finished) = self.waiting.take_if(|waiting| has_progressed(waiting))
            && std::mem::take(&mut self.is_stall_reported)
        {
            return Some(GroupEvent::Resumed { group, stalled_for: now - finished.since });
        }
        if !has_waiting {
            return None;
        }
        let started = Waiting { commit: commit.unwrap_or(0), since: now };
        let stalled_for = now - self.waiting.get_or_insert(started).since;
        if self.is_stall_reported || stalled_for < STALL_TIME {
            return None;
        }
        self.is_stall_reported = true;
        Some(GroupEvent::Stalled { group, stalled_for, leader: leader.map(stalled_leader) })
    }
}

fn stalled_leader(view: LeaderView<'_>) -> StalledLeader {
    let LeaderView { node, replica } = view;
    StalledLeader {
        node,
        commit: replica.commit,
        last_index: replica.last_index,
        newest_conf: replica.newest_conf.clone(),
        progress: replica.progress.clone(),
    }
}

/// Returns whether the voters are the desired ones, alive and up to date.
fn is_complete(desired: &GroupPlacement, leader: &ReplicaStatus, alive: &BTreeSet<NodeId>) -> bool {
    let voters: BTreeSet<NodeId> = desired.voters.iter().copied().collect();
    leader.conf.voters == voters
        && voters.iter().all(|node| alive.contains(node) && is_up_to_date(leader, *node))
}

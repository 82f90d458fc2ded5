//! Monitors each group: how long it lacks replicas, and whether it commits. Pure: reports and time
//! are passed in, events are returned.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hooklug_protocol::store::{MemberProgress, ReplicaStatus};
use hooklug_raft::ConfState;
use hooklug_state::meta::{GroupPlacement, MetaState};
use hooklug_store::placement::follow::is_up_to_date;
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
pub enum GroupNews {
    /// A voter is lost, is not in the desired placement, or lags.
    Degraded {
        /// The group.
        group: GroupId,
        /// The desired placement of its replicas.
        wanted: GroupPlacement,
        /// Its members, if it has a leader.
        members: Option<ConfState>,
    },
    /// All desired voters are members, alive and up to date again.
    Whole {
        /// The group.
        group: GroupId,
        /// How long the group was degraded.
        took: Duration,
    },
    /// It has committed nothing for [`STALL_TIME`], although entries are waiting; reported once.
    Stalled {
        /// The group.
        group: GroupId,
        /// How long the group has been stalled.
        stalled_for: Duration,
        /// Its leader, if it has one.
        leader: Option<StalledLeader>,
    },
    /// The group commits again after a stall.
    Moving {
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
struct GroupWatch {
    degraded_since: Option<Instant>,
    waiting: Option<Waiting>,
    is_stall_told: bool,
}

/// Monitors all groups of a cluster across updates.
#[derive(Debug, Default)]
pub struct RepairWatch {
    groups: BTreeMap<GroupId, GroupWatch>,
}

impl RepairWatch {
    /// Updates all groups with the stores' replies of one round and returns what changed.
    pub fn look(
        &mut self,
        meta: &MetaState,
        reports: &[StoreReport],
        alive: &BTreeSet<NodeId>,
        now: Instant,
    ) -> Vec<GroupNews> {
        let mut news = Vec::new();
        for (group, wanted) in &meta.placements {
            let leader = leader_of(*group, reports);
            let watch = self.groups.entry(*group).or_default();
            news.extend(watch.look_at_members(*group, wanted, leader, alive, now));
            news.extend(watch.look_at_commit(*group, leader, now));
        }
        news
    }

    /// Returns the number of groups that lack a voter.
    #[must_use]
    pub fn degraded(&self) -> usize {
        self.groups.values().filter(|watch| watch.degraded_since.is_some()).count()
    }

    /// Returns the number of groups that commit nothing.
    #[must_use]
    pub fn stalled(&self) -> usize {
        self.groups.values().filter(|watch| watch.is_stall_told).count()
    }
}

impl GroupWatch {
    fn look_at_members(
        &mut self,
        group: GroupId,
        wanted: &GroupPlacement,
        leader: Option<LeaderView<'_>>,
        alive: &BTreeSet<NodeId>,
        now: Instant,
    ) -> Option<GroupNews> {
        let is_whole = leader.is_some_and(|view| is_whole(wanted, view.replica, alive));
        match (self.degraded_since, is_whole) {
            (None, false) => {
                self.degraded_since = Some(now);
                let members = leader.map(|view| view.replica.conf.clone());
                Some(GroupNews::Degraded { group, wanted: wanted.clone(), members })
            }
            (Some(since), true) => {
                self.degraded_since = None;
                Some(GroupNews::Whole { group, took: now - since })
            }
            _ => None,
        }
    }

    fn look_at_commit(
        &mut self,
        group: GroupId,
        leader: Option<LeaderView<'_>>,
        now: Instant,
    ) -> Option<GroupNews> {
        let waits = leader.is_none_or(|view| view.replica.last_index > view.replica.commit);
        let commit = leader.map(|view| view.replica.commit);
        let has_moved = |waiting: &Waiting| !waits || commit.is_some_and(|c| c != waiting.commit);
        if let Some(ended) = self.waiting.take_if(|waiting| has_moved(waiting))
            && std::mem::take(&mut self.is_stall_told)
        {
            return Some(GroupNews::Moving { group, stalled_for: now - ended.since });
        }
        if !waits {
            return None;
        }
        let began = Waiting { commit: commit.unwrap_or(0), since: now };
        let stalled_for = now - self.waiting.get_or_insert(began).since;
        if self.is_stall_told || stalled_for < STALL_TIME {
            return None;
        }
        self.is_stall_told = true;
        Some(GroupNews::Stalled { group, stalled_for, leader: leader.map(stalled_leader) })
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
fn is_whole(wanted: &GroupPlacement, leader: &ReplicaStatus, alive: &BTreeSet<NodeId>) -> bool {
    let voters: BTreeSet<NodeId> = wanted.voters.iter().copied().collect();
    leader.conf.voters == voters
        && voters.iter().all(|node| alive.contains(node) && is_up_to_date(leader, *node))
}

//! Brings a group's members in line with its desired placement, one membership change at a time.

use std::collections::BTreeSet;

use hooklug_protocol::store::ReplicaStatus;
use hooklug_raft::ConfChange;
use hooklug_state::meta::GroupPlacement;
use hooklug_types::NodeId;

/// Number of committed entries that a member may lack and still count as up to date. The raft
/// leader checks a learner again before it promotes it.
const MAX_LAG_ENTRIES: u64 = 128;

/// Returns the next membership change of a group, based on its leader's status.
///
/// A desired voter is promoted before an undesired one is removed, so that every commit remains on
/// as many living stores as before.
#[must_use]
pub fn next_change(
    desired: &GroupPlacement,
    leader: &ReplicaStatus,
    alive: &BTreeSet<NodeId>,
) -> Option<ConfChange> {
    let conf = &leader.conf;
    let undesired_voter = conf.voters.iter().copied().find(|node| !desired.voters.contains(node));
    let missing_voter = desired.voters.iter().copied().find(|node| !conf.voters.contains(node));
    if let Some(node) = missing_voter
        && conf.learners.contains(&node)
        && is_up_to_date(leader, node)
    {
        return Some(ConfChange::PromoteVoter(node));
    }
    // Other voters are removed only once all desired voters are members.
    if let Some(node) = undesired_voter
        && missing_voter.is_none()
    {
        return Some(ConfChange::Remove(node));
    }
    let members = desired.voters.iter().chain(&desired.learners).copied();
    let missing = members.into_iter().find(|node| !conf.contains(*node) && alive.contains(node));
    if let Some(node) = missing {
        return Some(ConfChange::AddLearner(node));
    }
    let is_desired =
        |node: &NodeId| desired.learners.contains(node) || desired.voters.contains(node);
    let undesired_learner = conf.learners.iter().copied().find(|node| !is_desired(node));
    undesired_learner.filter(|_| missing_voter.is_none()).map(ConfChange::Remove)
}

/// Returns whether a member responds to its leader and has nearly all committed entries.
#[must_use]
pub fn is_up_to_date(leader: &ReplicaStatus, node: NodeId) -> bool {
    let progress = leader.progress.iter().find(|member| member.node == node);
    progress
        .is_some_and(|member| member.active && member.matched + MAX_LAG_ENTRIES >= leader.commit)
}

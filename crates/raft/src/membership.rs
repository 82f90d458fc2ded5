//! Membership changes and leadership transfer.

use hooklug_types::NodeId;

use crate::error::ProposeError;
use crate::message::{ConfChange, EntryKind, MessageBody};
use crate::node::RawNode;
use crate::progress::Progress;
use crate::status::LogPosition;

/// Maximum number of entries that a learner may lack when it is promoted to voter: few enough to be
/// replicated within one or two heartbeats, so that the new quorum does not wait for it.
pub const MAX_PROMOTE_LAG_ENTRIES: u64 = 256;

impl RawNode {
    /// Appends a membership change, which takes effect immediately.
    ///
    /// # Errors
    /// [`ProposeError`]: not the leader, busy, another change is pending, nothing is committed in
    /// this term, the learner is too far behind, or the change is not applicable.
    pub fn propose_conf_change(&mut self, change: ConfChange) -> Result<LogPosition, ProposeError> {
        self.check_can_propose()?;
        if !self.has_committed_in_term() {
            return Err(ProposeError::NotCommittedInTerm);
        }
        if self.log.conf_change_pending() {
            return Err(ProposeError::ConfChangePending);
        }
        self.check_change_applicable(change)?;
        let position = self.append_entry(EntryKind::ConfChange(change));
        self.sync_progress_with_conf();
        Ok(position)
    }

    /// Transfers leadership to another voter. Proposals are rejected until the target has the
    /// complete log and has been sent `TimeoutNow`. The transfer is aborted after an
    /// election timeout.
    ///
    /// # Errors
    /// [`ProposeError::NotLeader`] or [`ProposeError::InvalidTransferTarget`].
    pub fn transfer_leadership(&mut self, to: NodeId) -> Result<(), ProposeError> {
        self.check_is_leader()?;
        if to == self.config.id || !self.log.conf().voters.contains(&to) {
            return Err(ProposeError::InvalidTransferTarget(to));
        }
        self.transfer_to = Some(to);
        self.election_elapsed = 0;
        self.continue_transfer(to);
        Ok(())
    }

    /// Sends `TimeoutNow` to the target of a leadership transfer once it has the complete log.
    pub(crate) fn continue_transfer(&mut self, from: NodeId) {
        let last_index = self.log.last_index();
        let has_all = self.progress.get(&from).is_some_and(|p| p.matched() == last_index);
        if self.transfer_to == Some(from) && has_all {
            self.send_before_sync(from, MessageBody::TimeoutNow);
        }
    }

    /// Steps down once the leader's own removal is committed, and tells the most up-to-date voter
    /// to campaign.
    pub(crate) fn step_down_if_removed(&mut self) {
        let is_voter = self.log.conf().voters.contains(&self.config.id);
        if is_voter || self.log.conf_change_pending() {
            return;
        }
        self.send_appends();
        let voters = self.log.conf().voters.iter().copied();
        let successor = voters.max_by_key(|node| self.progress.get(node).map(Progress::matched));
        if let Some(successor) = successor {
            self.send_before_sync(successor, MessageBody::TimeoutNow);
        }
        self.become_follower(self.term, None);
    }

    fn check_change_applicable(&self, change: ConfChange) -> Result<(), ProposeError> {
        let conf = self.log.conf();
        match change {
            ConfChange::AddLearner(node) if !conf.contains(node) => Ok(()),
            ConfChange::PromoteVoter(node) if !conf.voters.contains(&node) => {
                self.check_caught_up(node)
            }
            ConfChange::Remove(_) if conf.with(change) != *conf => Ok(()),
            _ => Err(ProposeError::InvalidConfChange),
        }
    }

    fn check_caught_up(&self, node: NodeId) -> Result<(), ProposeError> {
        let last_index = self.log.last_index();
        let progress = self.progress.get(&node);
        let matched = progress.map_or(0, Progress::matched);
        let is_active = progress.is_some_and(Progress::recently_active);
        if !is_active || matched + MAX_PROMOTE_LAG_ENTRIES < last_index {
            return Err(ProposeError::LearnerLags { node, matched, last_index });
        }
        Ok(())
    }

    /// Adds and removes progress entries so that they match the newest members.
    fn sync_progress_with_conf(&mut self) {
        let conf = self.log.conf().clone();
        self.progress.retain(|node, _| conf.contains(*node) || *node == self.config.id);
        let last_index = self.log.last_index();
        for node in conf.members() {
            let new_progress = || Progress::new(last_index, self.config.max_inflight);
            self.progress.entry(node).or_insert_with(new_progress);
        }
    }
}

//! The leader's side: proposals, append messages and their replies, heartbeats, commit and reads.

use bytes::Bytes;
use hooklug_types::NodeId;

use crate::error::ProposeError;
use crate::message::{AppendHint, EntryKind, MessageBody};
use crate::node::RawNode;
use crate::progress::{Progress, ProgressState};
use crate::ready::Role;
use crate::status::LogPosition;

/// Maximum number of uncommitted entries; a leader rejects further proposals.
const MAX_UNCOMMITTED_ENTRIES: u64 = 65_536;

impl RawNode {
    /// Appends a command to the leader's log. It is sent with the next [`crate::Ready`], so that
    /// proposals made before it share one append message and one sync.
    ///
    /// # Errors
    /// [`ProposeError`]; nothing was appended.
    pub fn propose(&mut self, command: impl Into<Bytes>) -> Result<LogPosition, ProposeError> {
        self.check_can_propose()?;
        Ok(self.append_entry(EntryKind::Command(command.into())))
    }

    /// Requests a linearizable read. Its confirmation is returned in [`crate::Ready::reads`]; if
    /// leadership is lost first, the context is returned in [`crate::Ready::aborted_reads`].
    ///
    /// # Errors
    /// [`ProposeError::NotLeader`].
    pub fn read_index(&mut self, context: u64) -> Result<(), ProposeError> {
        self.check_is_leader()?;
        self.reads.add(context);
        Ok(())
    }

    /// Reports the result of a snapshot transfer to a replica. Until then no entries are sent to
    /// it. The driver must report every transfer requested in [`crate::Ready::snapshot_requests`].
    /// The next append or snapshot request waits for the replica's next heartbeat reply, so that a
    /// failing transfer is not retried immediately.
    pub fn report_snapshot(&mut self, to: NodeId, sent: bool) {
        let first_index = self.log.first_index();
        let Some(progress) = self.progress.get_mut(&to) else { return };
        if progress.state() == ProgressState::Snapshot {
            let next = if sent { first_index } else { 1 };
            progress.become_probe(next.max(progress.matched() + 1));
            progress.pause();
        }
    }

    pub(crate) fn check_is_leader(&self) -> Result<(), ProposeError> {
        if self.role == Role::Leader {
            Ok(())
        } else {
            Err(ProposeError::NotLeader { leader: self.leader })
        }
    }

    pub(crate) fn check_can_propose(&self) -> Result<(), ProposeError> {
        self.check_is_leader()?;
        let uncommitted = self.log.last_index() - self.log.commit();
        if self.transfer_to.is_some() || uncommitted >= MAX_UNCOMMITTED_ENTRIES {
            return Err(ProposeError::Busy);
        }
        Ok(())
    }

    pub(crate) fn append_entry(&mut self, kind: EntryKind) -> LogPosition {
        LogPosition { term: self.term, index: self.log.append(self.term, kind) }
    }

    /// Whether the leader has committed an entry of its own term. Only then is its commit index
    /// known to be up to date.
    pub(crate) fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.log.commit()) == Some(self.term)
    }

    pub(crate) fn tick_leader(&mut self) {
        if self.election_elapsed >= self.config.election_ticks {
            self.election_elapsed = 0;
            self.transfer_to = None;
            if !self.check_quorum() {
                self.become_follower(self.term, None);
                return;
            }
        }
        self.heartbeat_elapsed += 1;
        if self.heartbeat_elapsed >= self.config.heartbeat_ticks {
            self.heartbeat_elapsed = 0;
            if self.has_committed_in_term() {
                self.reads.start_round(self.log.commit());
            }
            self.send_heartbeats();
            self.confirm_reads();
        }
    }

    /// Returns whether a quorum was active since the last check, and starts the next interval.
    fn check_quorum(&mut self) -> bool {
        let id = self.config.id;
        let is_active = |node| node == id || self.progress.get(&node).is_some_and(Progress::active);
        let has_quorum = self.log.conf().is_quorum(is_active);
        for progress in self.progress.values_mut() {
            progress.start_interval();
        }
        has_quorum
    }

    pub(crate) fn handle_append_reply(
        &mut self,
        from: NodeId,
        matched: u64,
        rejected: Option<AppendHint>,
    ) {
        let first_index = self.log.first_index();
        let last_index = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else { return };
        progress.set_active(true);
        match rejected {
            // Index 0 matches in every initialized log, so this replica's log is empty even if
            // entries matched before.
            Some(hint) if hint.rejected_index == 0 => {
                progress.reset();
                self.request_snapshot(from);
            }
            Some(hint) => {
                let match_hint = self.log.find_conflict_by_term(hint.hint_index, hint.hint_term);
                progress.append_rejected(hint.rejected_index, match_hint);
            }
            None if matched <= last_index => {
                progress.append_accepted(matched, first_index);
                self.advance_commit();
                self.continue_transfer(from);
            }
            None => {}
        }
    }

    pub(crate) fn handle_heartbeat_reply(&mut self, from: NodeId, read_round: u64) {
        let last_index = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else { return };
        progress.heartbeat_acked(last_index);
        progress.ack_read_round(read_round);
        self.confirm_reads();
    }

    /// Updates the leader's own progress to its synced entries.
    pub(crate) fn update_own_progress(&mut self) {
        let stable = self.log.stable();
        let first_index = self.log.first_index();
        let Some(own) = self.progress.get_mut(&self.config.id) else { return };
        own.append_accepted(stable, first_index);
        self.advance_commit();
    }

    fn advance_commit(&mut self) {
        let matched = |node| self.progress.get(&node).map_or(0, Progress::matched);
        let index = self.log.conf().quorum_value(matched);
        if index <= self.log.commit() || !self.may_commit(index) {
            return;
        }
        self.log.commit_to(index);
        self.step_down_if_removed();
    }

    /// Whether an entry may be committed by counting replicas: only one of the current term (Raft,
    /// section 5.4.2).
    fn may_commit(&self, index: u64) -> bool {
        #[cfg(any(test, feature = "simulation"))]
        if self.broken_rule == Some(crate::simulation::BrokenRule::CommitOlderTermByCounting) {
            return true;
        }
        self.log.term_at(index) == Some(self.term)
    }

    fn send_heartbeats(&mut self) {
        let read_round = self.reads.round();
        let commit = self.log.commit();
        let own = self.config.id;
        let others = self.progress.iter().filter(|(node, _)| **node != own);
        let bodies: Vec<(NodeId, MessageBody)> = others
            .map(|(node, progress)| {
                let commit = commit.min(progress.matched());
                (*node, MessageBody::Heartbeat { commit, read_round })
            })
            .collect();
        for (node, body) in bodies {
            self.send_before_sync(node, body);
        }
    }

    fn needs_read_round(&self) -> bool {
        self.role == Role::Leader && self.reads.needs_round() && self.has_committed_in_term()
    }

    /// Starts a heartbeat round for the waiting reads.
    pub(crate) fn start_read_round(&mut self) {
        if self.needs_read_round() {
            self.reads.start_round(self.log.commit());
            self.send_heartbeats();
            self.confirm_reads();
        }
    }

    fn confirm_reads(&mut self) {
        let own = self.config.id;
        let newest = self.reads.round();
        let acked = |node| match self.progress.get(&node) {
            Some(_) if node == own => newest,
            Some(progress) => progress.acked_read_round(),
            None => 0,
        };
        let confirmed_round = self.log.conf().quorum_value(acked);
        #[cfg(any(test, feature = "simulation"))]
        let confirmed_round = match self.broken_rule {
            Some(crate::simulation::BrokenRule::ReadWithoutRound) => newest,
            _ => confirmed_round,
        };
        let confirmed = self.reads.confirm(confirmed_round);
        self.confirmed_reads.extend(confirmed);
    }

    /// Whether the leader has append messages or a read round to send.
    pub(crate) fn has_unsent_requests(&self) -> bool {
        if self.role != Role::Leader {
            return false;
        }
        let (last_index, commit) = (self.log.last_index(), self.log.commit());
        let own = self.config.id;
        self.needs_read_round()
            || self
                .progress
                .iter()
                .any(|(node, progress)| *node != own && progress.needs_append(last_index, commit))
    }

    /// Sends to each replica all append messages that flow control allows.
    pub(crate) fn send_appends(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let own = self.config.id;
        let others: Vec<NodeId> = self.progress.keys().copied().filter(|n| *n != own).collect();
        for node in others {
            while self.send_append(node) {}
        }
    }

    /// Sends one append message if one is due; returns whether it was sent.
    fn send_append(&mut self, to: NodeId) -> bool {
        let (last_index, commit) = (self.log.last_index(), self.log.commit());
        let Some(progress) = self.progress.get_mut(&to) else { return false };
        if !progress.needs_append(last_index, commit) {
            return false;
        }
        let prev_index = progress.next() - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            self.request_snapshot(to);
            return false;
        };
        let entries = if progress.is_full() {
            Vec::new()
        } else {
            self.log.entries_from(progress.next(), self.config.max_append_bytes)
        };
        progress.append_sent(prev_index + entries.len() as u64, commit);
        self.send_before_sync(to, MessageBody::Append { prev_index, prev_term, entries, commit });
        true
    }

    fn request_snapshot(&mut self, to: NodeId) {
        let Some(progress) = self.progress.get_mut(&to) else { return };
        if progress.state() != ProgressState::Snapshot {
            progress.become_snapshot();
            self.snapshot_requests.push(to);
        }
    }
}

//! Leader election: pre-vote, vote, leader stickiness and role transitions.

use hooklug_types::NodeId;

use crate::message::{EntryKind, MessageBody};
use crate::node::RawNode;
use crate::progress::Progress;
use crate::ready::Role;

/// Kind of a vote request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum VoteKind {
    /// Asks whether the receiver would grant its vote; changes no state.
    PreVote,
    /// Requests the receiver's vote.
    Vote {
        /// The election was started by a leadership transfer.
        transfer: bool,
    },
}

/// A received vote request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VoteRequest {
    pub(crate) from: NodeId,
    pub(crate) term: u64,
    pub(crate) kind: VoteKind,
    pub(crate) last_index: u64,
    pub(crate) last_term: u64,
}

impl RawNode {
    /// Starts an election without waiting for the election timeout. Used to elect the first leader
    /// of a group, and in tests. Starts no election on a leader or a non-voter.
    pub fn campaign(&mut self) {
        if self.role == Role::Leader {
            return;
        }
        self.reset_election_timer();
        self.leader = None;
        if !self.is_promotable() {
            return;
        }
        self.role = Role::PreCandidate;
        self.request_votes(VoteKind::PreVote);
    }

    /// Requests votes immediately, without a pre-vote.
    pub(crate) fn start_election(&mut self, transfer: bool) {
        if self.role == Role::Leader || !self.is_promotable() {
            return;
        }
        let Some(next_term) = self.term.checked_add(1) else { return };
        self.reset_election_timer();
        self.role = Role::Candidate;
        self.leader = None;
        self.term = next_term;
        self.vote = Some(self.config.id);
        self.request_votes(VoteKind::Vote { transfer });
    }

    /// Whether the replica may become leader. A replica whose own removal is not committed yet
    /// still may: otherwise a group of two could be left without an eligible leader (Raft
    /// dissertation, section 4.2.2).
    fn is_promotable(&self) -> bool {
        let id = self.config.id;
        let committed = self.log.conf_at(self.log.commit());
        let is_voter = self.log.conf().voters.contains(&id) || committed.voters.contains(&id);
        is_voter && !self.log.has_pending_snapshot()
    }

    fn request_votes(&mut self, kind: VoteKind) {
        self.votes.clear();
        if kind == VoteKind::PreVote {
            self.votes.insert(self.config.id, true);
        }
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let own = self.config.id;
        let voters = self.log.conf().voters.iter().copied();
        let others: Vec<NodeId> = voters.filter(|voter| *voter != own).collect();
        for voter in others {
            match kind {
                VoteKind::PreVote => {
                    let body = MessageBody::PreVote { last_index, last_term };
                    self.send_with_term(voter, self.term.saturating_add(1), body);
                }
                VoteKind::Vote { transfer } => {
                    self.send(voter, MessageBody::Vote { last_index, last_term, transfer });
                }
            }
        }
        self.count_votes();
    }

    /// Counts a candidate's vote for itself once that vote is on disk. Counting it earlier would
    /// let a sole voter crash and lead the same term again with different entries.
    pub(crate) fn count_own_vote(&mut self, synced_term: u64) {
        if self.role == Role::Candidate && synced_term == self.term {
            self.votes.insert(self.config.id, true);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let won = self.log.conf().is_quorum(|voter| self.votes.get(&voter) == Some(&true));
        let lost = self.log.conf().is_quorum(|voter| self.votes.get(&voter) == Some(&false));
        match self.role {
            Role::PreCandidate if won => self.start_election(false),
            Role::Candidate if won => self.become_leader(),
            Role::PreCandidate | Role::Candidate if lost => self.become_follower(self.term, None),
            _ => {}
        }
    }

    pub(crate) fn handle_vote_request(&mut self, request: VoteRequest) {
        let may_vote = match self.vote {
            Some(voted) if request.term == self.term => voted == request.from,
            None if request.term == self.term => self.leader.is_none(),
            _ => request.term > self.term,
        };
        let granted = may_vote && self.log.is_up_to_date(request.last_index, request.last_term);
        match request.kind {
            VoteKind::PreVote => {
                let term = if granted { request.term } else { self.term };
                let body = MessageBody::PreVoteReply { granted };
                self.send_with_term(request.from, term, body);
            }
            VoteKind::Vote { .. } => {
                if granted {
                    self.vote = Some(request.from);
                    self.reset_election_timer();
                }
                self.send(request.from, MessageBody::VoteReply { granted });
            }
        }
    }

    /// Handles a pre-vote reply. A grant carries the requested term, so that a grant from an
    /// earlier campaign is ignored.
    pub(crate) fn handle_pre_vote_reply(&mut self, from: NodeId, term: u64, granted: bool) {
        let requested_term = self.term.saturating_add(1);
        if self.role != Role::PreCandidate || (granted && term != requested_term) {
            return;
        }
        self.votes.insert(from, granted);
        self.count_votes();
    }

    pub(crate) fn handle_vote_reply(&mut self, from: NodeId, granted: bool) {
        if self.role != Role::Candidate {
            return;
        }
        self.votes.insert(from, granted);
        self.count_votes();
    }

    /// Whether the leader was heard from within an election timeout; vote requests are then
    /// ignored.
    pub(crate) fn has_recent_leader(&self) -> bool {
        self.leader.is_some() && self.election_elapsed < self.config.election_ticks
    }

    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<NodeId>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.progress.clear();
        self.transfer_to = None;
        let lost = self.reads.abandon();
        self.aborted_reads.extend(lost);
        self.reset_election_timer();
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.config.id);
        self.votes.clear();
        self.transfer_to = None;
        self.reset_election_timer();
        self.heartbeat_elapsed = 0;
        let last_index = self.log.last_index();
        let max_inflight = self.config.max_inflight;
        let members: Vec<NodeId> = self.log.conf().members().collect();
        let new_progress = |node| (node, Progress::new(last_index, max_inflight));
        self.progress = members.into_iter().map(new_progress).collect();
        self.log.append(self.term, EntryKind::Noop);
        self.update_own_progress();
    }
}

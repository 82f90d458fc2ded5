//! Processing of received messages: term checks first, then the handler of each message type.

use hooklug_types::NodeId;

use crate::election::{VoteKind, VoteRequest};
use crate::message::{Message, MessageBody};
use crate::node::RawNode;
use crate::ready::{Role, Snapshot};
use crate::replication::AppendRequest;

impl RawNode {
    /// Processes a received message. Messages that are stale, malformed or addressed to another
    /// replica are ignored.
    pub fn step(&mut self, message: Message) {
        if message.to != self.config.id || message.from == self.config.id {
            return;
        }
        if self.accept_term(&message) {
            self.dispatch(message);
        }
    }

    /// Accepts a snapshot that the driver has fully received and verified. It is returned in
    /// [`crate::Ready::snapshot`] if it is newer than the commit index.
    pub fn receive_snapshot(&mut self, from: NodeId, term: u64, snapshot: Snapshot) {
        let announced = MessageBody::InstallSnapshot(snapshot.meta.clone());
        let message = Message { from, to: self.config.id, term, body: announced };
        if from != self.config.id && self.accept_term(&message) {
            self.follow(from);
            self.install_snapshot(from, snapshot);
        }
    }

    /// Applies the term rules; returns whether the message is to be handled.
    fn accept_term(&mut self, message: &Message) -> bool {
        if message.term > self.term {
            return self.accept_newer_term(message);
        }
        if message.term < self.term {
            self.reject_older_term(message);
            return false;
        }
        true
    }

    fn accept_newer_term(&mut self, message: &Message) -> bool {
        match message.body {
            MessageBody::PreVote { .. } => !self.has_recent_leader(),
            MessageBody::PreVoteReply { granted: true } => true,
            MessageBody::Vote { transfer: false, .. } if self.has_recent_leader() => false,
            MessageBody::Append { .. }
            | MessageBody::Heartbeat { .. }
            | MessageBody::InstallSnapshot(_) => {
                self.become_follower(message.term, Some(message.from));
                true
            }
            _ => {
                self.become_follower(message.term, None);
                true
            }
        }
    }

    /// Replies to a sender with an older term, so that it learns the newer one. A leader must
    /// receive this reply: with pre-vote, this replica would never depose it by an election, and
    /// would stay isolated from it forever.
    fn reject_older_term(&mut self, message: &Message) {
        match message.body {
            MessageBody::Append { .. }
            | MessageBody::Heartbeat { .. }
            | MessageBody::InstallSnapshot(_) => {
                self.send(message.from, MessageBody::AppendReply { matched: 0, rejected: None });
            }
            MessageBody::PreVote { .. } => {
                self.send(message.from, MessageBody::PreVoteReply { granted: false });
            }
            _ => {}
        }
    }

    fn dispatch(&mut self, message: Message) {
        let Message { from, term, body, .. } = message;
        match body {
            MessageBody::PreVote { last_index, last_term } => {
                let kind = VoteKind::PreVote;
                self.handle_vote_request(VoteRequest { from, term, kind, last_index, last_term });
            }
            MessageBody::Vote { last_index, last_term, transfer } => {
                let kind = VoteKind::Vote { transfer };
                self.handle_vote_request(VoteRequest { from, term, kind, last_index, last_term });
            }
            MessageBody::PreVoteReply { granted } => {
                self.handle_pre_vote_reply(from, term, granted);
            }
            MessageBody::VoteReply { granted } => self.handle_vote_reply(from, granted),
            MessageBody::Append { prev_index, prev_term, entries, commit } => {
                self.follow(from);
                let request = AppendRequest { prev_index, prev_term, entries, commit };
                self.handle_append(from, request);
            }
            MessageBody::AppendReply { matched, rejected } => {
                self.handle_append_reply(from, matched, rejected);
            }
            MessageBody::Heartbeat { commit, read_round } => {
                self.follow(from);
                self.handle_heartbeat(from, commit, read_round);
            }
            MessageBody::HeartbeatReply { read_round } => {
                self.handle_heartbeat_reply(from, read_round);
            }
            MessageBody::InstallSnapshot(_) => self.follow(from),
            MessageBody::TimeoutNow => self.start_election(true),
        }
    }

    /// Records the leader of the current term and becomes its follower. A leader ignores this:
    /// there is no other leader in its term.
    fn follow(&mut self, leader: NodeId) {
        match self.role {
            Role::Leader => {}
            Role::Follower => {
                self.leader = Some(leader);
                self.election_elapsed = 0;
            }
            Role::PreCandidate | Role::Candidate => self.become_follower(self.term, Some(leader)),
        }
    }
}

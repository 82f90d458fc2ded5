//! The follower's side of replication: append messages, heartbeats and snapshots.

use hooklug_types::NodeId;

use crate::message::{AppendHint, Entry, MessageBody};
use crate::node::RawNode;
use crate::ready::{Role, Snapshot};

/// A received append message.
#[derive(Debug)]
pub(crate) struct AppendRequest {
    pub(crate) prev_index: u64,
    pub(crate) prev_term: u64,
    pub(crate) entries: Vec<Entry>,
    pub(crate) commit: u64,
}

impl RawNode {
    pub(crate) fn handle_append(&mut self, from: NodeId, request: AppendRequest) {
        if self.role == Role::Leader {
            return;
        }
        let AppendRequest { prev_index, prev_term, entries, commit } = request;
        if self.log.is_uninitialized() {
            self.send(from, append_rejection(0, 0, 0));
            return;
        }
        if prev_index < self.log.commit() {
            let matched = self.log.commit();
            self.send(from, MessageBody::AppendReply { matched, rejected: None });
            return;
        }
        if self.log.term_at(prev_index) != Some(prev_term) {
            let hint = self.log.find_conflict_by_term(prev_index, prev_term);
            let hint_term = self.log.term_at(hint).unwrap_or(0);
            self.send(from, append_rejection(prev_index, hint, hint_term));
            return;
        }
        if let Some(matched) = self.log.append_matched(prev_index, entries) {
            self.log.commit_to(commit.min(matched));
            self.send(from, MessageBody::AppendReply { matched, rejected: None });
        }
    }

    pub(crate) fn handle_heartbeat(&mut self, from: NodeId, commit: u64, read_round: u64) {
        if self.role == Role::Leader {
            return;
        }
        self.log.commit_to(commit);
        self.send(from, MessageBody::HeartbeatReply { read_round });
    }

    pub(crate) fn install_snapshot(&mut self, from: NodeId, snapshot: Snapshot) {
        if self.role == Role::Leader {
            return;
        }
        let meta = &snapshot.meta;
        let is_newer = meta.index > self.log.commit() || self.log.is_uninitialized();
        if is_newer && !meta.conf.voters.is_empty() {
            if self.log.term_at(meta.index) == Some(meta.term) && !self.log.is_uninitialized() {
                self.log.commit_to(meta.index);
            } else {
                self.log.restore(snapshot);
            }
        }
        if !self.log.is_uninitialized() {
            let matched = self.log.commit();
            self.send(from, MessageBody::AppendReply { matched, rejected: None });
        }
    }
}

/// Reply that rejects an append. Index 0 matches in every initialized log, so a rejection at 0
/// means that the replica is joining and needs a snapshot.
fn append_rejection(rejected_index: u64, hint_index: u64, hint_term: u64) -> MessageBody {
    let hint = AppendHint { rejected_index, hint_index, hint_term };
    MessageBody::AppendReply { matched: 0, rejected: Some(hint) }
}

//! Messages between the replicas of a group, log entries and persistent state.

use std::collections::BTreeSet;

use bytes::Bytes;
use hooklug_types::NodeId;
use serde::{Deserialize, Serialize};

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that created it.
    pub term: u64,
    /// Position in the log, starting at 1.
    pub index: u64,
    /// The payload.
    pub kind: EntryKind,
}

/// Payload of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryKind {
    /// The first entry of a new leader.
    Noop,
    /// A proposed command. The bytes are reference-counted, since an entry is passed to the log, to
    /// each replica and to the state machine.
    Command(Bytes),
    /// A membership change; at most one is uncommitted at a time.
    ConfChange(ConfChange),
}

/// A membership change of a single replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfChange {
    /// Adds a learner, which receives the log but has no vote.
    AddLearner(NodeId),
    /// Promotes a learner (or a new node) to voter.
    PromoteVoter(NodeId),
    /// Removes a voter or a learner.
    Remove(NodeId),
}

/// Members of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfState {
    /// Replicas with a vote.
    pub voters: BTreeSet<NodeId>,
    /// Replicas without a vote.
    pub learners: BTreeSet<NodeId>,
}

/// Persistent state that must be on disk before a message that depends on it is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Candidate that this replica voted for in that term.
    pub vote: Option<NodeId>,
    /// Highest index known to be committed.
    pub commit: u64,
}

/// A message between two replicas of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender.
    pub from: NodeId,
    /// Receiver.
    pub to: NodeId,
    /// Sender's term; in a pre-vote, the term that it would campaign in.
    pub term: u64,
    /// The payload.
    pub body: MessageBody,
}

/// Payload of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether the receiver would grant its vote; changes no state there.
    PreVote {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of the sender's last entry.
        last_term: u64,
    },
    /// Reply to a pre-vote.
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests the receiver's vote.
    Vote {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of the sender's last entry.
        last_term: u64,
        /// Whether the election was started by a leadership transfer; the receiver then votes even
        /// if it has heard from the leader recently.
        transfer: bool,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Entries that follow the entry at `prev_index`.
    Append {
        /// Index of the entry before the first one.
        prev_index: u64,
        /// Term of the entry at `prev_index`.
        prev_term: u64,
        /// The entries; empty in a probe.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: u64,
    },
    /// Reply to an append.
    AppendReply {
        /// Highest index that matches the leader's log, if the append was accepted.
        matched: u64,
        /// Position to retry from, if the append was rejected.
        rejected: Option<AppendHint>,
    },
    /// Maintains leadership, and confirms reads by their round number.
    Heartbeat {
        /// Leader's commit index, limited to the index up to which the receiver is known to match.
        commit: u64,
        /// Sequence number of the newest read round.
        read_round: u64,
    },
    /// Reply to a heartbeat.
    HeartbeatReply {
        /// Read round of the heartbeat.
        read_round: u64,
    },
    /// Announces a snapshot to a receiver that lacks entries which the leader has compacted. The
    /// driver sends the data in chunks.
    InstallSnapshot(super::ready::SnapshotMeta),
    /// Tells the receiver to start an election immediately, as part of a leadership transfer.
    TimeoutNow,
}

/// Position at which a follower's log diverges from the leader's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendHint {
    /// `prev_index` of the rejected append.
    pub rejected_index: u64,
    /// Last index at which the logs may still agree.
    pub hint_index: u64,
    /// Term of the entry at `hint_index` in the follower's log.
    pub hint_term: u64,
}

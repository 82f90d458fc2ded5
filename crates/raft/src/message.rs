//! What replicas of one group say to each other, and what they keep.

use std::collections::BTreeSet;

use bytes::Bytes;
use hooklug_types::NodeId;
use serde::{Deserialize, Serialize};

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that made it.
    pub term: u64,
    /// Place in the log, from 1.
    pub index: u64,
    /// What it is.
    pub kind: EntryKind,
}

/// What an entry is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryKind {
    /// A new leader's first entry.
    Noop,
    /// What the shell proposed; shared, since one entry goes to the log, to each replica and to the
    /// state machine.
    Command(Bytes),
    /// A membership change; at most one is under way.
    ConfChange(ConfChange),
}

/// One membership change at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfChange {
    /// Adds a learner: gets the log, has no vote.
    AddLearner(NodeId),
    /// Makes a learner (or a new node) a voter.
    PromoteVoter(NodeId),
    /// Removes a replica of either kind.
    Remove(NodeId),
}

/// Members of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfState {
    /// Replicas with a vote.
    pub voters: BTreeSet<NodeId>,
    /// Replicas without.
    pub learners: BTreeSet<NodeId>,
}

/// What must be on disk before a message that rests on it goes out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term seen.
    pub term: u64,
    /// Whom this replica voted for in it.
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
    /// Sender's term (for a pre-vote: the term it would campaign in).
    pub term: u64,
    /// What it says.
    pub body: MessageBody,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Would you vote for me? Changes nothing at the receiver.
    PreVote {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of the sender's last entry.
        last_term: u64,
    },
    /// Answer to a pre-vote.
    PreVoteReply {
        /// Whether it would.
        granted: bool,
    },
    /// Vote for me.
    Vote {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of the sender's last entry.
        last_term: u64,
        /// Whether a leader handed over to the sender, so that the leader lease does not forbid the vote.
        transfer: bool,
    },
    /// Answer to a vote request.
    VoteReply {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries after a place.
    Append {
        /// Index before the first entry.
        prev_index: u64,
        /// Term at that index.
        prev_term: u64,
        /// The entries.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: u64,
    },
    /// Answer to an append.
    AppendReply {
        /// Highest index that matches the leader's log, when accepted.
        matched: u64,
        /// When refused: the place to try next.
        rejected: Option<AppendHint>,
    },
    /// The leader lives; carries a read context to confirm, if any.
    Heartbeat {
        /// Leader's commit index, as far as the receiver is known to match.
        commit: u64,
        /// Sequence number of the newest read round.
        read_round: u64,
    },
    /// Answer to a heartbeat.
    HeartbeatReply {
        /// The read round that it answers.
        read_round: u64,
    },
    /// The receiver lacks entries that the leader no longer has; the shell sends the snapshot in chunks.
    InstallSnapshot(super::ready::SnapshotMeta),
    /// Campaign at once: the leader hands over.
    TimeoutNow,
}

/// Where a follower's log parts from the leader's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendHint {
    /// Index that was refused.
    pub rejected_index: u64,
    /// Last index at which the logs may still agree.
    pub hint_index: u64,
    /// Term at that index in the follower's log.
    pub hint_term: u64,
}

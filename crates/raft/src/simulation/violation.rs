//! What the checker reports.

use hooklug_types::NodeId;

/// A promise of consensus that a run broke.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// Election safety.
    #[error("term {term} has two leaders, {first} and {second}")]
    TwoLeaders {
        /// The term.
        term: u64,
        /// Its first leader.
        first: NodeId,
        /// Its second.
        second: NodeId,
    },
    /// Log matching: one (index, term), two entries or two pasts.
    #[error("log of {node} at {index}, term {term}, differs from another log's")]
    LogMismatch {
        /// The replica whose log differs.
        node: NodeId,
        /// Index of the entry.
        index: u64,
        /// Term of the entry.
        term: u64,
    },
    /// Leader completeness.
    #[error("leader {node} of term {term} lacks the committed entry {index}")]
    LeaderIncomplete {
        /// The leader.
        node: NodeId,
        /// Its term.
        term: u64,
        /// Index of the entry.
        index: u64,
    },
    /// Two replicas hold different entries for committed.
    #[error("{node} committed another entry at {index} than was committed before")]
    CommitMismatch {
        /// The replica.
        node: NodeId,
        /// Index of the entry.
        index: u64,
    },
    /// State-machine safety.
    #[error("{node} reached another state at {index} than another replica")]
    StateMismatch {
        /// The replica.
        node: NodeId,
        /// Applied index.
        index: u64,
    },
    /// Entries were not applied one after another.
    #[error("{node} applied {index} where {expected} was next")]
    ApplyGap {
        /// The replica.
        node: NodeId,
        /// Index applied.
        index: u64,
        /// Index that was next.
        expected: u64,
    },
    /// A linearizable read missed something that was acknowledged before it began.
    #[error("a read at {node} saw the state at {seen}, {acknowledged} was acknowledged before")]
    StaleRead {
        /// The replica that answered.
        node: NodeId,
        /// Applied index at the answer.
        seen: u64,
        /// Highest index acknowledged or read when it began.
        acknowledged: u64,
    },
    /// Messages multiply without end.
    #[error("more than {events} events in one run")]
    EventStorm {
        /// The limit.
        events: u64,
    },
    /// With all faults gone the group did not commit again in time.
    #[error("no write was committed within {units} time units after all faults ended")]
    NoRecovery {
        /// Time given.
        units: u64,
    },
    /// With all faults gone a member did not catch up in time.
    #[error("member {node} stayed at {applied}, the group is at {commit}")]
    NotCaughtUp {
        /// The member.
        node: NodeId,
        /// Its applied index.
        applied: u64,
        /// Commit index of the leader.
        commit: u64,
    },
}

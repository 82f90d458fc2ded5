//! Violations that the checker reports.

use hooklug_types::NodeId;

/// A safety or liveness property that a run violated.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// Election safety: two leaders in one term.
    #[error("term {term} has two leaders, {first} and {second}")]
    TwoLeaders {
        /// The term.
        term: u64,
        /// First leader observed.
        first: NodeId,
        /// Second leader observed.
        second: NodeId,
    },
    /// Log matching: two logs differ in the entry at one (index, term), or in the entries before
    /// it.
    #[error("log of {node} conflicts with another log at index {index}, term {term}")]
    LogMismatch {
        /// The replica whose log differs.
        node: NodeId,
        /// Index of the entry.
        index: u64,
        /// Term of the entry.
        term: u64,
    },
    /// Leader completeness: a leader lacks a committed entry.
    #[error("leader {node} of term {term} lacks the committed entry at index {index}")]
    LeaderIncomplete {
        /// The leader.
        node: NodeId,
        /// Its term.
        term: u64,
        /// Index of the entry.
        index: u64,
    },
    /// Two replicas committed different entries at the same index.
    #[error("{node} committed a different entry at index {index} than another replica")]
    CommitMismatch {
        /// The replica.
        node: NodeId,
        /// Index of the entry.
        index: u64,
    },
    /// State-machine safety: two replicas differ in state after the same index.
    #[error("{node} reached a different state at index {index} than another replica")]
    StateMismatch {
        /// The replica.
        node: NodeId,
        /// Applied index.
        index: u64,
    },
    /// Entries were not applied in order of their index.
    #[error("{node} applied index {index} where {expected} was expected")]
    ApplyGap {
        /// The replica.
        node: NodeId,
        /// Index applied.
        index: u64,
        /// Index that follows the last applied one.
        expected: u64,
    },
    /// A linearizable read returned a state older than one acknowledged before the read started.
    #[error("stale read at {node}: served at index {seen} after {acknowledged} was acknowledged")]
    StaleRead {
        /// The replica that served the read.
        node: NodeId,
        /// Applied index at which the read was served.
        seen: u64,
        /// Highest index acknowledged or read when the read started.
        acknowledged: u64,
    },
    /// The number of events exceeded the limit, for example because messages multiply endlessly.
    #[error("more than {events} events in one run")]
    EventStorm {
        /// The limit.
        events: u64,
    },
    /// After all faults ended, the group did not commit a write in time.
    #[error("no write was committed within {units} time units after all faults ended")]
    NoRecovery {
        /// The time limit.
        units: u64,
    },
    /// After all faults ended, a member did not catch up in time.
    #[error("member {node} did not catch up: applied {applied}, group commit index {commit}")]
    NotCaughtUp {
        /// The member.
        node: NodeId,
        /// Its applied index.
        applied: u64,
        /// Last index of the leader's log, all of which must be committed.
        commit: u64,
    },
}

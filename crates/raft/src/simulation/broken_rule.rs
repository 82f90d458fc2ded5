//! Protocol rules that tests break deliberately, to show that the simulator detects violations.

/// A protocol rule that a replica or its disk violates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenRule {
    /// A leader commits an entry of an older term because a quorum holds it (Raft, figure 8).
    CommitOlderTermByCounting,
    /// A leader serves a read without a heartbeat round.
    ReadWithoutRound,
    /// Messages are sent before the vote and term that they depend on are synced.
    VoteNotSynced,
    /// Messages are sent before the entries that they acknowledge are synced.
    EntriesNotSynced,
    /// A replica that lost its disk continues under its old id.
    EmptyDiskKeepsId,
}

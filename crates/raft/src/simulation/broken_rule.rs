//! Rules broken on purpose, each in its own test only: a simulator that never reports anything
//! shows nothing.

/// A rule that a replica or its disk breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenRule {
    /// A leader commits an older term's entry because a quorum holds it (Raft, figure 8).
    CommitOlderTermByCounting,
    /// A leader answers a read without a heartbeat round.
    ReadWithoutRound,
    /// Messages go out before the vote and term that they rest on are synced.
    VoteNotSynced,
    /// Messages go out before the entries that they acknowledge are synced.
    EntriesNotSynced,
    /// A replica that lost its disk goes on under its old id.
    EmptyDiskKeepsId,
}

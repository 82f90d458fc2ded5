//! Liveness of stores as the repair judges it. Pure: time is passed in.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hooklug_raft::Role;
use hooklug_store::placement::StoreReport;
use hooklug_types::NodeId;
use tokio::time::Instant;

/// Time without a reply after which a store counts as lost and its replicas are placed elsewhere:
/// longer than a restart, and short enough that the replicas are replaced within the time that a
/// successor at another address has to catch up.
pub const LOST_AFTER: Duration = Duration::from_millis(3_500);

/// When each store last replied to this core leader, and from which stores the groups'
/// leaders receive replies.
#[derive(Debug)]
pub struct StoreLiveness {
    since: Instant,
    last_reply: BTreeMap<NodeId, Instant>,
    active_at_leaders: BTreeSet<NodeId>,
}

impl StoreLiveness {
    /// Creates an empty record: a store is lost only after the full time without a reply to this
    /// leader.
    #[must_use]
    pub fn new(since: Instant) -> Self {
        Self { since, last_reply: BTreeMap::new(), active_at_leaders: BTreeSet::new() }
    }

    /// Records the replies of one round.
    pub fn record(&mut self, reports: &[StoreReport], now: Instant) {
        self.last_reply.extend(reports.iter().map(|report| (report.node, now)));
        let replicas = reports.iter().flat_map(|report| &report.replicas);
        let leaders = replicas.filter(|replica| replica.role == Role::Leader);
        let active = leaders.flat_map(|leader| &leader.progress).filter(|member| member.active);
        self.active_at_leaders = active.map(|member| member.node).collect();
    }

    /// Returns whether a store is alive. One that this core cannot reach is alive as long as the
    /// leader of any group receives replies from it.
    #[must_use]
    pub fn is_alive(&self, store: NodeId, now: Instant) -> bool {
        let last_reply = self.last_reply.get(&store).copied().unwrap_or(self.since);
        now.saturating_duration_since(last_reply) < LOST_AFTER
            || self.active_at_leaders.contains(&store)
    }
}

//! Which stores count as living. Pure.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hooklug_raft::Role;
use hooklug_store::placement::StoreReport;
use hooklug_types::NodeId;
use tokio::time::Instant;

/// Silence after which a store counts as lost and its places are filled elsewhere (ours): longer than a restart, and so
/// short that the places are filled within the time that a successor at another address has to catch up.
pub const LOST_AFTER: Duration = Duration::from_millis(3_500);

/// When each store last answered this core leader, and whom the groups' leaders hear.
#[derive(Debug)]
pub struct Signs {
    since: Instant,
    answered: BTreeMap<NodeId, Instant>,
    heard_by_leaders: BTreeSet<NodeId>,
}

impl Signs {
    /// Nothing is known yet: a store is lost only after a full time of silence under this leader.
    #[must_use]
    pub fn new(since: Instant) -> Self {
        Self { since, answered: BTreeMap::new(), heard_by_leaders: BTreeSet::new() }
    }

    /// Takes the answers of one round.
    pub fn note(&mut self, reports: &[StoreReport], now: Instant) {
        self.answered.extend(reports.iter().map(|report| (report.node, now)));
        let replicas = reports.iter().flat_map(|report| &report.replicas);
        let leaders = replicas.filter(|replica| replica.role == Role::Leader);
        let heard = leaders.flat_map(|leader| &leader.progress).filter(|member| member.active);
        self.heard_by_leaders = heard.map(|member| member.node).collect();
    }

    /// Whether a store lives. One that this core cannot reach lives as long as the leader of any group hears it.
    #[must_use]
    pub fn is_alive(&self, store: NodeId, now: Instant) -> bool {
        let answered = self.answered.get(&store).copied().unwrap_or(self.since);
        now.saturating_duration_since(answered) < LOST_AFTER
            || self.heard_by_leaders.contains(&store)
    }
}

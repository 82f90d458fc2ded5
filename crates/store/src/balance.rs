//! Spreads leaderships over the stores, and hands them over before a stop. The choice is pure.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hooklug_protocol::store::ReplicaStatus;
use hooklug_raft::Role;
use hooklug_types::{GroupId, NodeId};
use rand::RngExt;
use tracing::debug;

use crate::placement::follow::is_up_to_date;
use crate::shared::Shared;

/// Time between looks (ours); the half of it is random, so that stores do not move at once.
const INTERVAL: Duration = Duration::from_secs(2);
/// How long a stopping store waits for its leaderships to go; half the grace period at most.
const HAND_OVER_TIME: Duration = Duration::from_secs(2);
/// Time between looks while it waits.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(20);

/// A leadership to hand over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderMove {
    /// The group.
    pub group: GroupId,
    /// The voter that should lead it.
    pub to: NodeId,
}

/// One leadership to hand to a store that leads at least two fewer, by what the replicas on this store
/// know. None while any of them knows no leader.
#[must_use]
pub fn choose_move(own: NodeId, replicas: &[ReplicaStatus]) -> Option<LeaderMove> {
    let mut leads: BTreeMap<NodeId, usize> = BTreeMap::new();
    for replica in replicas {
        *leads.entry(replica.leader?).or_default() += 1;
    }
    let count = |node: &NodeId| leads.get(node).copied().unwrap_or(0);
    let led = replicas.iter().filter(|replica| replica.role == Role::Leader);
    let moves = led.flat_map(|replica| {
        let others = replica.conf.voters.iter().copied().filter(|voter| *voter != own);
        let ready = others.filter(|voter| is_up_to_date(replica, *voter));
        ready.map(|to| LeaderMove { group: replica.group, to })
    });
    let best = moves.min_by_key(|choice| (count(&choice.to), choice.group))?;
    (count(&best.to) + 2 <= count(&own)).then_some(best)
}

/// Runs for the life of the process.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let share: f64 = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(INTERVAL.mul_f64(share)).await;
        let replicas = shared.replicator.status().await;
        if let Some(LeaderMove { group, to }) = choose_move(shared.node(), &replicas) {
            debug!(%group, %to, "handing a leadership over to spread the load");
            let _ = shared.replicator.transfer(group, to).await;
        }
    }
}

/// Hands all leaderships over, as far as there is an up-to-date voter, and waits until they are gone.
pub(crate) async fn hand_over_all(shared: &Shared) {
    let grace = Duration::from_millis(shared.settings.grace_ms);
    let deadline = tokio::time::Instant::now() + HAND_OVER_TIME.min(grace / 2);
    while tokio::time::Instant::now() < deadline {
        let replicas = shared.replicator.status().await;
        let led: Vec<_> = replicas.iter().filter(|r| r.role == Role::Leader).collect();
        let moves: Vec<LeaderMove> =
            led.iter().filter_map(|r| successor(shared.node(), r)).collect();
        if moves.is_empty() {
            return;
        }
        for LeaderMove { group, to } in moves {
            let _ = shared.replicator.transfer(group, to).await;
        }
        tokio::time::sleep(HAND_OVER_PAUSE).await;
    }
}

fn successor(own: NodeId, replica: &ReplicaStatus) -> Option<LeaderMove> {
    let others = replica.progress.iter().filter(|member| {
        member.node != own && member.active && replica.conf.voters.contains(&member.node)
    });
    let best = others.max_by_key(|member| member.matched)?;
    Some(LeaderMove { group: replica.group, to: best.node })
}

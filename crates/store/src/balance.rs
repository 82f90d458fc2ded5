//! Spreads the leaderships of groups over the stores, and hands them over before a shutdown.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hooklug_protocol::store::ReplicaStatus;
use hooklug_raft::Role;
use hooklug_types::{GroupId, NodeId};
use rand::RngExt;
use tracing::debug;

use crate::placement::reconcile::is_up_to_date;
use crate::shared::Shared;

/// Mean interval between balancing rounds. It varies randomly by up to half, so that stores do not
/// hand over leaderships at the same time.
const BALANCE_INTERVAL: Duration = Duration::from_secs(2);
/// How long a stopping store waits until its leaderships are handed over; at most half of the grace
/// period is used.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks during the handover.
const HAND_OVER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A leadership to be transferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderTransfer {
    /// The group.
    pub group: GroupId,
    /// The voter that should lead it.
    pub to: NodeId,
}

/// Chooses one leadership to transfer to a store that leads at least two groups fewer, according to
/// the replicas on this store. Returns `None` while any of these replicas knows no leader.
#[must_use]
pub fn choose_transfer(own: NodeId, replicas: &[ReplicaStatus]) -> Option<LeaderTransfer> {
    let mut leads: BTreeMap<NodeId, usize> = BTreeMap::new();
    for replica in replicas {
        *leads.entry(replica.leader?).or_default() += 1;
    }
    let count = |node: &NodeId| leads.get(node).copied().unwrap_or(0);
    let led = replicas.iter().filter(|replica| replica.role == Role::Leader);
    let transfers = led.flat_map(|replica| {
        let others = replica.conf.voters.iter().copied().filter(|voter| *voter != own);
        let ready = others.filter(|voter| is_up_to_date(replica, *voter));
        ready.map(|to| LeaderTransfer { group: replica.group, to })
    });
    let best = transfers.min_by_key(|transfer| (count(&transfer.to), transfer.group))?;
    (count(&best.to) + 2 <= count(&own)).then_some(best)
}

/// Balances leaderships until the task is aborted.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let factor: f64 = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(BALANCE_INTERVAL.mul_f64(factor)).await;
        let replicas = shared.replicator.status().await;
        if let Some(LeaderTransfer { group, to }) = choose_transfer(shared.node(), &replicas) {
            debug!(%group, %to, "transferring the leadership of a group to balance the load");
            let _ = shared.replicator.transfer_leadership(group, to).await;
        }
    }
}

/// Hands over all leaderships for which there is another active voter, and waits until this is done
/// or the time limit has passed.
pub(crate) async fn hand_over_all(shared: &Shared) {
    let grace = Duration::from_millis(shared.settings.grace_ms);
    let deadline = tokio::time::Instant::now() + HAND_OVER_TIMEOUT.min(grace / 2);
    while tokio::time::Instant::now() < deadline {
        let replicas = shared.replicator.status().await;
        let led: Vec<_> = replicas.iter().filter(|r| r.role == Role::Leader).collect();
        let transfers: Vec<LeaderTransfer> =
            led.iter().filter_map(|r| successor(shared.node(), r)).collect();
        if transfers.is_empty() {
            return;
        }
        for LeaderTransfer { group, to } in transfers {
            let _ = shared.replicator.transfer_leadership(group, to).await;
        }
        tokio::time::sleep(HAND_OVER_POLL_INTERVAL).await;
    }
}

fn successor(own: NodeId, replica: &ReplicaStatus) -> Option<LeaderTransfer> {
    let others = replica.progress.iter().filter(|member| {
        member.node != own && member.active && replica.conf.voters.contains(&member.node)
    });
    let best = others.max_by_key(|member| member.matched)?;
    Some(LeaderTransfer { group: replica.group, to: best.node })
}

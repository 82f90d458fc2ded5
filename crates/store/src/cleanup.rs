//! Deletes local replicas that have been removed from their groups. A leader stops sending to a
//! member once its removal is committed, so the member may not learn of it and has to query the
//! other stores.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use hooklug_protocol::store::{GroupStatus, ReplicaStatus};
use hooklug_raft::Role;
use hooklug_types::NodeId;
use tokio::time::Instant;
use tracing::info;

use crate::shared::{PEER_CALL_TIMEOUT, Shared};

/// Interval between checks for removed replicas.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// Returns whether a replica may have been removed from its group: it is not the leader, and either
/// knows no leader or is not in its own list of members.
#[must_use]
pub fn is_possibly_removed(own: NodeId, replica: &ReplicaStatus) -> bool {
    let leads = replica.role == Role::Leader;
    !leads && (replica.leader.is_none() || !replica.conf.contains(own))
}

/// Returns whether a leader's status proves that a replica was removed from the group: the leader's
/// term is not older, it has committed at least as much as the replica, and neither its committed
/// nor its newest membership contains this store.
#[must_use]
pub fn was_removed(own: NodeId, replica: &ReplicaStatus, leader: &ReplicaStatus) -> bool {
    leader.group == replica.group
        && leader.role == Role::Leader
        && leader.term >= replica.term
        && leader.commit >= replica.commit
        && !leader.conf.contains(own)
        && !leader.newest_conf.contains(own)
}

/// Checks for removed replicas and deletes them until the task is aborted.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let replicas = shared.replicator.status().await;
        let own = shared.node();
        let candidates: Vec<_> =
            replicas.into_iter().filter(|r| is_possibly_removed(own, r)).collect();
        if candidates.is_empty() {
            continue;
        }
        let statuses = query_other_stores(&shared).await;
        for replica in candidates {
            if let Some(leader) = statuses.iter().find(|leader| was_removed(own, &replica, leader))
            {
                info!(group = %replica.group, term = replica.term, commit = replica.commit,
                    leader_term = leader.term, leader_commit = leader.commit,
                    members = ?leader.conf, newest_members = ?leader.newest_conf,
                    "this store was removed from the group; deleting its replica");
                if let Err(error) = shared.replicator.remove(&replica).await {
                    info!(group = %replica.group, %error, "did not delete the replica");
                }
            }
        }
    }
}

async fn query_other_stores(shared: &Shared) -> Vec<ReplicaStatus> {
    let deadline = Instant::now() + PEER_CALL_TIMEOUT;
    let others = shared.addresses.all().into_iter().filter(|(node, _)| *node != shared.node());
    let requests = others.map(|(_, address)| shared.client.call(address, &GroupStatus, deadline));
    join_all(requests).await.into_iter().filter_map(Result::ok).flatten().collect()
}

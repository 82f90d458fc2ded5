//! Removes replicas that their groups have let go. A leader stops sending to a member once its removal is
//! committed, so the replica does not hear of it and has to ask.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use hooklug_protocol::store::{GroupStatus, ReplicaStatus};
use hooklug_raft::Role;
use hooklug_types::NodeId;
use tokio::time::Instant;
use tracing::info;

use crate::shared::{PEER_CALL_TIME, Shared};

/// Time between looks (ours).
const INTERVAL: Duration = Duration::from_secs(3);

/// Whether a replica may have been let go: it knows no leader, or no place of its own.
#[must_use]
pub fn is_in_doubt(own: NodeId, replica: &ReplicaStatus) -> bool {
    let leads = replica.role == Role::Leader;
    !leads && (replica.leader.is_none() || !replica.conf.contains(own))
}

/// Whether a leader's word means that a replica was let go: it leads a term that is not older, has
/// committed all that the replica has, and its members, committed or not, do not name this store.
#[must_use]
pub fn was_let_go(own: NodeId, replica: &ReplicaStatus, leader: &ReplicaStatus) -> bool {
    leader.group == replica.group
        && leader.role == Role::Leader
        && leader.term >= replica.term
        && leader.commit >= replica.commit
        && !leader.conf.contains(own)
        && !leader.newest_conf.contains(own)
}

/// Runs for the life of the process.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        let replicas = shared.replicator.status().await;
        let own = shared.node();
        let doubtful: Vec<_> = replicas.into_iter().filter(|r| is_in_doubt(own, r)).collect();
        if doubtful.is_empty() {
            continue;
        }
        let others = ask_others(&shared).await;
        for replica in doubtful {
            if let Some(leader) = others.iter().find(|leader| was_let_go(own, &replica, leader)) {
                info!(group = %replica.group, term = replica.term, commit = replica.commit,
                    leader_term = leader.term, leader_commit = leader.commit,
                    members = ?leader.conf, newest_members = ?leader.newest_conf,
                    "the group goes on without this store");
                if let Err(error) = shared.replicator.remove(&replica).await {
                    info!(group = %replica.group, %error, "the replica stays");
                }
            }
        }
    }
}

async fn ask_others(shared: &Shared) -> Vec<ReplicaStatus> {
    let deadline = Instant::now() + PEER_CALL_TIME;
    let others = shared.addresses.all().into_iter().filter(|(node, _)| *node != shared.node());
    let asked = others.map(|(_, address)| shared.client.call(address, &GroupStatus, deadline));
    join_all(asked).await.into_iter().filter_map(Result::ok).flatten().collect()
}

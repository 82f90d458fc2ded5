//! Handlers of the rpc requests to a store.

use std::sync::Arc;

use hooklug_protocol::Request;
use hooklug_protocol::store::{
    ChangeReplicas, Execute, ExpireLease, FormationOffer, GroupStatus, Query, RaftBatch,
    SnapshotChunk, StoreRequestError,
};
use hooklug_replication::Reply;
use hooklug_rpc::{Peer, Replier, Router};
use hooklug_state::decode;
use hooklug_state::meta::MetaCommand;
use hooklug_state::shard::ShardCommand;
use hooklug_types::{GroupId, META_GROUP, NodeRole};
use tokio::runtime::Handle;

use crate::gossip;
use crate::shared::Shared;

/// Builds the router with the handlers of all requests to a store.
pub(crate) fn router(shared: &Arc<Shared>) -> Router {
    Router::new()
        .route_deferred::<Execute, _>({
            let shared = shared.clone();
            move |_, request, replier| execute(&shared, request, replier)
        })
        .route(with_shared(shared, |shared, _, request: Query| async move {
            shared.query(request).await
        }))
        .route(with_shared(shared, |shared, peer, request: ExpireLease| async move {
            run_to_completion(async move { shared.expire_lease(&peer, request).await }).await
        }))
        .route(with_shared(shared, |shared, peer, chunk: SnapshotChunk| async move {
            run_to_completion(async move { shared.snapshot_chunk(&peer, chunk).await }).await
        }))
        .route(with_shared(shared, |shared, _, request: ChangeReplicas| async move {
            run_to_completion(async move { shared.change_replicas(request).await }).await
        }))
        .route(with_shared(shared, |shared, _, _: GroupStatus| async move {
            shared.replicator.status().await
        }))
        .route(with_shared(shared, |shared, peer, offer: FormationOffer| async move {
            let handle = move || gossip::handle_offer(&shared, &peer, &offer);
            // Handling an offer may sync a promise to disk, which blocks.
            tokio::task::spawn_blocking(handle)
                .await
                .unwrap_or_else(|e| std::panic::resume_unwind(e.into_panic()))
        }))
        .route_inline::<RaftBatch, _>({
            let shared = shared.clone();
            move |peer, batch| shared.raft_batch(peer, batch)
        })
}

fn with_shared<R, Fut>(
    shared: &Arc<Shared>,
    handler: impl Fn(Arc<Shared>, Peer, R) -> Fut + Send + Sync + 'static,
) -> impl Fn(Peer, R) -> Fut + Send + Sync + 'static {
    let shared = shared.clone();
    move |peer, request| handler(shared.clone(), peer, request)
}

/// Runs a request to completion even if the caller abandons it.
async fn run_to_completion<T: Send + 'static>(
    work: impl Future<Output = Result<T, StoreRequestError>> + Send + 'static,
) -> Result<T, StoreRequestError> {
    tokio::spawn(work).await.unwrap_or(Err(StoreRequestError::Uncertain))
}

/// Proposes a command to its group and replies with the result. A command that was proposed is
/// applied even if the caller abandons the request.
fn execute(shared: &Arc<Shared>, request: Execute, replier: Replier<<Execute as Request>::Reply>) {
    let Execute { group, command } = request;
    if let Err(error) = validate_command(group, &command) {
        return replier.send(&Err(error));
    }
    let (shared_for_error, runtime) = (shared.clone(), Handle::current());
    let reply = Reply::new(move |outcome| match outcome {
        Ok(result) => replier.send(&Ok(result.into())),
        // Building the error may wait for a lock that is held during a disk sync; the threads of
        // the groups must not wait for it.
        Err(error) => drop(runtime.spawn(async move {
            replier.send(&Err(shared_for_error.request_error(group, error)));
        })),
    });
    shared.replicator.propose(group, command, reply);
}

impl Shared {
    async fn query(&self, request: Query) -> Result<Vec<u8>, StoreRequestError> {
        let read = self.replicator.read(request.group, request.query).await;
        read.map(|read| read.answer).map_err(|error| self.request_error(request.group, error))
    }

    /// Delivers raft messages to the replicas. Drops messages for another node id, messages that do
    /// not come from a store, and all messages while this store is not a cluster member.
    fn raft_batch(&self, peer: &Peer, batch: RaftBatch) {
        if batch.to == self.node() && peer.role == NodeRole::Store && self.is_member() {
            self.replicator.deliver(peer.node, batch.messages);
        }
    }

    async fn snapshot_chunk(
        &self,
        peer: &Peer,
        chunk: SnapshotChunk,
    ) -> Result<hooklug_protocol::store::SnapshotProgress, StoreRequestError> {
        if chunk.to != self.node() || chunk.from != peer.node || !self.is_member() {
            let reason =
                "the snapshot chunk names another node, or this store is not a cluster member"
                    .to_owned();
            return Err(StoreRequestError::Refused { reason });
        }
        let group = chunk.group;
        let progress = self.replicator.receive_chunk(chunk).await;
        progress.map_err(|error| self.request_error(group, error))
    }

    async fn change_replicas(&self, request: ChangeReplicas) -> Result<(), StoreRequestError> {
        if let Some(leader) = &self.meta.borrow().leader {
            let is_stale = request.epoch < leader.epoch;
            if is_stale || (request.epoch == leader.epoch && leader.expired) {
                let reason = format!("fencing epoch {} is stale", request.epoch);
                return Err(StoreRequestError::Refused { reason });
            }
        }
        let changed = self.replicator.change_members(request.group, request.change).await;
        changed.map_err(|error| self.request_error(request.group, error))
    }
}

/// Checks that a command decodes and that clients may propose it. The log must never contain a
/// command that no replica can apply, and commands that depend on the leader's clock are reserved
/// to the leader.
fn validate_command(group: GroupId, command: &[u8]) -> Result<(), StoreRequestError> {
    let refused = |reason: String| StoreRequestError::Refused { reason };
    let is_leader_only = if group == META_GROUP {
        let command = decode("meta command", command).map_err(|e| refused(e.to_string()))?;
        matches!(command, MetaCommand::ExpireLeadership { .. } | MetaCommand::AdvanceClock { .. })
    } else {
        let command = decode("shard command", command).map_err(|e| refused(e.to_string()))?;
        is_leader_only(&command)
    };
    if is_leader_only {
        return Err(refused("only the group's leader may propose this command".to_owned()));
    }
    Ok(())
}

fn is_leader_only(command: &ShardCommand) -> bool {
    match command {
        ShardCommand::ExpireLease { .. } | ShardCommand::AdvanceClock { .. } => true,
        ShardCommand::Batch(commands) => commands.iter().any(is_leader_only),
        _ => false,
    }
}

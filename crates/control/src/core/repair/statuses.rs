//! Queries the stores for the status of their replicas. A store that did not reply last time is
//! still queried, but its reply is not awaited.

use std::collections::BTreeSet;
use std::time::Duration;

use futures::future::{BoxFuture, FutureExt};
use futures::stream::{FuturesUnordered, StreamExt};
use hooklug_protocol::store::{GroupStatus, ReplicaStatus};
use hooklug_rpc::RpcClient;
use hooklug_state::meta::{StoreRecord, StoreState};
use hooklug_store::placement::StoreReport;
use hooklug_types::NodeId;
use tokio::time::Instant;

/// Timeout of a status request to a store.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of a status request.
struct StatusReply {
    node: NodeId,
    round: u64,
    replicas: Option<Vec<ReplicaStatus>>,
}

/// Status requests to the stores, over many rounds.
#[derive(Default)]
pub(super) struct Statuses {
    round: u64,
    requests: FuturesUnordered<BoxFuture<'static, StatusReply>>,
    /// Stores with an outstanding request.
    outstanding: BTreeSet<NodeId>,
    /// Stores that did not reply to the last request.
    unresponsive: BTreeSet<NodeId>,
}

impl Statuses {
    /// Queries all stores and returns the replies to this round's requests. Waits only for stores
    /// that replied last time.
    pub(super) async fn query(
        &mut self,
        client: &RpcClient,
        stores: &[StoreRecord],
    ) -> Vec<StoreReport> {
        self.round += 1;
        let mut awaited = BTreeSet::new();
        for store in stores.iter().filter(|store| store.state != StoreState::Removed) {
            if self.outstanding.insert(store.node) {
                self.requests.push(query_store(client.clone(), store.clone(), self.round).boxed());
            }
            if !self.unresponsive.contains(&store.node) {
                awaited.insert(store.node);
            }
        }
        let mut reports = Vec::new();
        while !awaited.is_empty()
            && let Some(reply) = self.requests.next().await
        {
            awaited.remove(&reply.node);
            reports.extend(self.record(reply));
        }
        while let Some(Some(reply)) = self.requests.next().now_or_never() {
            reports.extend(self.record(reply));
        }
        reports
    }

    /// Returns whether a store did not reply to its last request.
    pub(super) fn is_unresponsive(&self, store: NodeId) -> bool {
        self.unresponsive.contains(&store)
    }

    /// Records a reply. One to an older request shows that the store is alive, but is too old to
    /// plan with.
    fn record(&mut self, reply: StatusReply) -> Option<StoreReport> {
        let StatusReply { node, round, replicas } = reply;
        self.outstanding.remove(&node);
        let Some(replicas) = replicas else {
            self.unresponsive.insert(node);
            return None;
        };
        self.unresponsive.remove(&node);
        (round == self.round).then_some(StoreReport { node, replicas })
    }
}

async fn query_store(client: RpcClient, store: StoreRecord, round: u64) -> StatusReply {
    let deadline = Instant::now() + STATUS_TIMEOUT;
    let request = async {
        let replicas = client.call(store.address, &GroupStatus, deadline).await.ok()?;
        // The address may have been reused by another store.
        let peer = client.peer(store.address, deadline).await.ok()?;
        (peer.node == store.node).then_some(replicas)
    };
    let replicas = request.await;
    StatusReply { node: store.node, round, replicas }
}

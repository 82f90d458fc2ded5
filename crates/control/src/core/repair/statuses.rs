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
const STATUS_TIME: Duration = Duration::from_secs(1);

/// Result of a status request.
struct Answer {
    node: NodeId,
    round: u64,
    replicas: Option<Vec<ReplicaStatus>>,
}

/// Status requests to the stores, over many rounds.
#[derive(Default)]
pub(super) struct Statuses {
    round: u64,
    open: FuturesUnordered<BoxFuture<'static, Answer>>,
    /// Stores with an outstanding request.
    asked: BTreeSet<NodeId>,
    /// Stores that did not reply to the last request.
    silent: BTreeSet<NodeId>,
}

impl Statuses {
    /// Queries all stores and returns the replies to this round's requests. Waits only for stores
    /// that replied last time.
    pub(super) async fn ask(
        &mut self,
        client: &RpcClient,
        stores: &[StoreRecord],
    ) -> Vec<StoreReport> {
        self.round += 1;
        let mut awaited = BTreeSet::new();
        for store in stores.iter().filter(|store| store.state != StoreState::Removed) {
            if self.asked.insert(store.node) {
                self.open.push(question(client.clone(), store.clone(), self.round).boxed());
            }
            if !self.silent.contains(&store.node) {
                awaited.insert(store.node);
            }
        }
        let mut reports = Vec::new();
        while !awaited.is_empty()
            && let Some(answer) = self.open.next().await
        {
            awaited.remove(&answer.node);
            reports.extend(self.note(answer));
        }
        while let Some(Some(answer)) = self.open.next().now_or_never() {
            reports.extend(self.note(answer));
        }
        reports
    }

    /// Returns whether a store did not reply to its last request.
    pub(super) fn is_silent(&self, store: NodeId) -> bool {
        self.silent.contains(&store)
    }

    /// Records a reply. One to an older request shows that the store is alive, but is too old to
    /// plan with.
    fn note(&mut self, answer: Answer) -> Option<StoreReport> {
        let Answer { node, round, replicas } = answer;
        self.asked.remove(&node);
        let Some(replicas) = replicas else {
            self.silent.insert(node);
            return None;
        };
        self.silent.remove(&node);
        (round == self.round).then_some(StoreReport { node, replicas })
    }
}

async fn question(client: RpcClient, store: StoreRecord, round: u64) -> Answer {
    let deadline = Instant::now() + STATUS_TIME;
    let asked = async {
        let replicas = client.call(store.address, &GroupStatus, deadline).await.ok()?;
        // The address may have been reused by another store.
        let peer = client.peer(store.address, deadline).await.ok()?;
        (peer.node == store.node).then_some(replicas)
    };
    let replicas = asked.await;
    Answer { node: store.node, round, replicas }
}

//! Test double for the core leader: repairs placements and group memberships.

use std::collections::BTreeSet;

use hooklug_protocol::store::{ChangeReplicas, GroupStatus};
use hooklug_raft::{ConfChange, Role};
use hooklug_rpc::RpcClient;
use hooklug_state::meta::{MetaAnswer, MetaCommand, MetaQuery, MetaReply, MetaState, StoreState};
use hooklug_store::placement::{PlannedChange, StoreReport, plan};
use hooklug_store::{StateAccess, StoreClient};
use hooklug_types::{FencingEpoch, GroupId, Incarnation, NodeId};

use crate::support::{TestCluster, rpc_client, soon, until};

/// A core leader that plans changes and carries them out.
pub struct Repairer {
    access: StoreClient,
    rpc: RpcClient,
    epoch: FencingEpoch,
}

impl Repairer {
    /// Acquires the core leadership of a cluster that has no core yet.
    pub async fn new(cluster: &TestCluster) -> Self {
        let (access, rpc) = (cluster.client(), rpc_client());
        let acquire = MetaCommand::AcquireLeadership {
            core: NodeId(77),
            incarnation: Incarnation(1),
            address: "127.0.0.1:1".parse().unwrap(),
            seen: FencingEpoch(0),
        };
        let reply = access.execute_meta(&acquire, soon()).await.unwrap();
        let MetaReply::Leader(leader) = reply else { panic!("{reply:?}") };
        Self { access, rpc, epoch: leader.epoch }
    }

    pub async fn meta(&self) -> MetaState {
        let answer = self.access.query_meta(&MetaQuery::State, soon()).await.unwrap();
        let MetaAnswer::State(state) = answer else { panic!("{answer:?}") };
        *state
    }

    pub async fn retire(&self, node: NodeId) {
        let (epoch, state) = (self.epoch, StoreState::Retiring);
        let command = MetaCommand::SetStoreState { epoch, node, state };
        let reply = self.access.execute_meta(&command, soon()).await.unwrap();
        assert_eq!(reply, MetaReply::Done);
    }

    /// Requests a membership change from a group's leader until it succeeds.
    pub async fn change(&self, cluster: &TestCluster, group: GroupId, change: ConfChange) {
        until("the membership change succeeds", async || {
            let Some(leader) = cluster.leader(group).await else { return false };
            let request = ChangeReplicas { group, change, epoch: self.epoch };
            let address = cluster.stores[leader].address;
            matches!(self.rpc.call(address, &request, soon()).await, Ok(Ok(())))
        })
        .await;
    }

    /// Plans and carries out changes until none remains and all members of all groups have caught
    /// up. Stores that are not running count as lost.
    pub async fn settle(&self, cluster: &TestCluster) {
        until("the cluster is repaired", async || self.run_round(cluster).await).await;
    }

    /// Runs one round; returns whether there was nothing to do.
    async fn run_round(&self, cluster: &TestCluster) -> bool {
        let meta = self.meta().await;
        let mut reports = Vec::new();
        for store in cluster.stores.iter().filter(|store| store.running.is_some()) {
            let Ok(replicas) = self.rpc.call(store.address, &GroupStatus, soon()).await else {
                return false;
            };
            let node = store.running.as_ref().unwrap().identity.address.node;
            reports.push(StoreReport { node, replicas });
        }
        let alive: BTreeSet<NodeId> = reports.iter().map(|report| report.node).collect();
        let changes = plan(&meta, &reports, &alive);
        for change in &changes {
            self.carry_out(&meta, change).await;
        }
        changes.is_empty() && meta.placements.keys().all(|group| has_caught_up(*group, &reports))
    }

    /// Carries out a change. A membership change that fails is ignored, since the next round plans
    /// it again.
    async fn carry_out(&self, meta: &MetaState, change: &PlannedChange) {
        let epoch = self.epoch;
        let command = match change.clone() {
            PlannedChange::SetPlacement { group, expected, placement } => {
                MetaCommand::SetPlacement { epoch, group, expected, placement }
            }
            PlannedChange::RemoveStore { node } => {
                MetaCommand::SetStoreState { epoch, node, state: StoreState::Removed }
            }
            PlannedChange::ChangeReplicas { group, leader, change } => {
                let store = meta.stores.iter().find(|store| store.node == leader).unwrap();
                let request = ChangeReplicas { group, change, epoch };
                let _ = self.rpc.call(store.address, &request, soon()).await;
                return;
            }
        };
        self.access.execute_meta(&command, soon()).await.unwrap();
    }
}

/// Returns whether a group has a leader and all its members have all committed entries.
fn has_caught_up(group: GroupId, reports: &[StoreReport]) -> bool {
    let replicas = reports.iter().flat_map(|report| &report.replicas);
    let mut leaders = replicas.filter(|r| r.group == group && r.role == Role::Leader);
    leaders.next().is_some_and(|leader| {
        leader.progress.iter().all(|member| member.active && member.matched >= leader.commit)
    })
}

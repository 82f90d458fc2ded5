//! Stores that are lost, replaced, added or retired, with a test double for the core leader that
//! repairs the cluster.

#[path = "support/repair.rs"]
mod repairer;
mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hooklug_protocol::control::{Discover, NodeAddress};
use hooklug_protocol::store::{ChangeReplicas, ReplicaStatus, StoreRequestError};
use hooklug_raft::{ConfChange, Role};
use hooklug_rpc::{LocalIdentity, Router, RpcServer};
use hooklug_state::meta::StoreState;
use hooklug_types::{FencingEpoch, GroupId, NodeId, NodeRole};
use repairer::Repairer;
use support::{
    SECRET, TestCluster, fast_options, free_address, has_program, put_program, rpc_client, soon,
    until,
};
use tokio_util::sync::CancellationToken;

async fn put_programs(cluster: &TestCluster, names: std::ops::Range<u32>) {
    let client = cluster.client();
    for number in names {
        put_program(&client, &format!("program-{number}")).await;
    }
}

async fn assert_programs(cluster: &TestCluster, names: std::ops::Range<u32>) {
    let client = cluster.client();
    for number in names {
        assert!(has_program(&client, &format!("program-{number}")).await, "program-{number}");
    }
}

/// Returns whether a store holds no replicas.
async fn is_empty(cluster: &TestCluster, number: usize) -> bool {
    cluster.handle(number).replicas().await.is_empty()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn acknowledged_writes_survive_two_disk_losses_with_a_repair_between() {
    let mut cluster = TestCluster::formed(4, fast_options()).await;
    let repairer = Repairer::new(&cluster).await;
    repairer.settle(&cluster).await;
    put_programs(&cluster, 0..30).await;
    let lost = cluster.node(1);
    cluster.kill(1).await;
    cluster.lose_disk(1);
    put_programs(&cluster, 30..40).await;
    cluster.start(1).await;
    cluster.until_formed().await;
    assert_ne!(cluster.node(1), lost);
    repairer.settle(&cluster).await;
    let meta = repairer.meta().await;
    assert!(meta.placements.values().all(|p| p.voters.len() == 3 && !p.voters.contains(&lost)));
    until("the lost node is removed", async || {
        repairer.settle(&cluster).await;
        let stores = repairer.meta().await.stores;
        stores.iter().any(|s| s.node == lost && s.state == StoreState::Removed)
    })
    .await;
    // A second disk is lost immediately after the repair.
    cluster.kill(0).await;
    cluster.lose_disk(0);
    assert_programs(&cluster, 0..40).await;
    put_programs(&cluster, 40..50).await;
    repairer.settle(&cluster).await;
    assert_programs(&cluster, 0..50).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn replicas_move_to_an_added_store_and_off_a_retired_one() {
    let mut cluster = TestCluster::formed(4, fast_options()).await;
    let repairer = Repairer::new(&cluster).await;
    put_programs(&cluster, 0..30).await;
    let added = cluster.add().await;
    cluster.start(added).await;
    until("the new store is registered", async || repairer.meta().await.stores.len() == 5).await;
    repairer.settle(&cluster).await;
    assert!(cluster.handle(added).replicas().await.len() >= 12);
    let retired = cluster.node(0);
    repairer.retire(retired).await;
    repairer.settle(&cluster).await;
    let states = repairer.meta().await.stores;
    assert!(states.iter().any(|s| s.node == retired && s.state == StoreState::Removed));
    until("the retired store is empty", async || is_empty(&cluster, 0).await).await;
    cluster.kill(0).await;
    assert_programs(&cluster, 0..30).await;
    put_programs(&cluster, 30..40).await;
    for group in GroupId::all() {
        cluster.assert_equal_digests(group).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn empty_stores_join_the_existing_cluster() {
    let mut cluster = TestCluster::formed(3, fast_options()).await;
    let formed = cluster.handle(0).cluster();
    for _ in 0..3 {
        let number = cluster.add().await;
        cluster.start(number).await;
    }
    cluster.until_formed().await;
    let clusters: BTreeSet<u64> = (0..6).map(|n| cluster.handle(n).cluster()).collect();
    assert_eq!(clusters, [formed].into());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stale_core_leader_changes_no_replicas() {
    let cluster = TestCluster::formed(3, fast_options()).await;
    let _leader = Repairer::new(&cluster).await;
    let group = GroupId(1);
    let leader = cluster.until_leader(group).await;
    until("the store knows the core leader", async || {
        cluster.handle(leader).watch_meta().borrow().leader.is_some()
    })
    .await;
    let change = ConfChange::Remove(cluster.node((leader + 1) % 3));
    let request = ChangeReplicas { group, change, epoch: FencingEpoch(0) };
    let address = cluster.stores[leader].address;
    let answer = rpc_client().call(address, &request, soon()).await.unwrap();
    assert!(matches!(answer, Err(StoreRequestError::Refused { .. })), "{answer:?}");
    let replicas = cluster.handle(leader).replicas().await;
    let conf = &replicas.iter().find(|r| r.group == group).unwrap().conf;
    assert_eq!(conf.voters.len(), 3);
    assert!(!conf.contains(NodeId(0)));
}

/// Returns the replicas of a store, each with its group's leader.
async fn replicas_of(cluster: &TestCluster, number: usize) -> Vec<(ReplicaStatus, ReplicaStatus)> {
    let mut leaders = Vec::new();
    for store in 0..cluster.stores.len() {
        let replicas = cluster.handle(store).replicas().await;
        leaders.extend(replicas.into_iter().filter(|r| r.role == Role::Leader));
    }
    let own = cluster.handle(number).replicas().await;
    let with_leader = |replica: ReplicaStatus| {
        let leader = leaders.iter().find(|leader| leader.group == replica.group)?;
        Some((replica, leader.clone()))
    };
    own.into_iter().filter_map(with_leader).collect()
}

/// Pause between two steps of the test below.
const STEP: Duration = Duration::from_millis(100);
/// Number of steps for which a member is removed from its group. Longer than an election, so that
/// the store queries the others whether it was removed; shorter than both the timeout of such a
/// query and the interval between two of them.
const STEPS_AWAY: u32 = 9;
const STEPS: u32 = 80;

/// Guards against a store that deletes the replica of a group of which it is a member. The store
/// queried the others whether it had been removed, was added again while it waited for an
/// unresponsive store, and then acted on the outdated replies, although the leader counted on the
/// entries that it had held.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_store_added_again_during_its_removal_check_retains_its_replicas() {
    let mut cluster = TestCluster::formed(4, fast_options()).await;
    put_programs(&cluster, 0..30).await;
    let repairer = Repairer::new(&cluster).await;
    repairer.settle(&cluster).await;
    let own = cluster.add().await;
    cluster.start(own).await;
    cluster.until_formed().await;
    let node = cluster.node(own);
    let groups: Vec<GroupId> = GroupId::all().collect();
    for group in &groups {
        repairer.change(&cluster, *group, ConfChange::AddLearner(node)).await;
    }
    let group_at = |step: u32| groups[step as usize % groups.len()];
    cluster.cut(own, 2, true);
    for step in 0..STEPS + STEPS_AWAY {
        if step < STEPS {
            repairer.change(&cluster, group_at(step), ConfChange::Remove(node)).await;
        }
        if let Some(away) = step.checked_sub(STEPS_AWAY) {
            repairer.change(&cluster, group_at(away), ConfChange::AddLearner(node)).await;
        }
        tokio::time::sleep(STEP).await;
    }
    cluster.cut(own, 2, false);
    until("the store holds all entries that its leaders count as replicated", async || {
        let replicas = replicas_of(&cluster, own).await;
        let holds = |(replica, leader): &(ReplicaStatus, ReplicaStatus)| {
            let member = leader.progress.iter().find(|member| member.node == node);
            member.is_some_and(|m| m.matched >= leader.commit && replica.last_index >= m.matched)
        };
        replicas.len() == groups.len() && replicas.iter().all(holds)
    })
    .await;
    for group in groups {
        cluster.assert_equal_digests(group).await;
    }
}

/// A joining store whose only seed is a process of another role. Its client must know the cluster's
/// stores by the time it has joined; otherwise it would query itself and be registered seconds
/// later.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_store_joining_through_a_core_knows_the_stores_and_registers() {
    let mut cluster = TestCluster::formed(3, fast_options()).await;
    let known: Vec<NodeAddress> = (0..3)
        .map(|number| cluster.stores[number].running.as_ref().unwrap().identity.address.clone())
        .collect();
    let stores: Vec<SocketAddr> = known.iter().map(|store| store.rpc).collect();
    let listener = RpcServer::bind(free_address().await).await.unwrap();
    let core = listener.local_addr().unwrap();
    let address =
        NodeAddress { node: NodeId(77), role: NodeRole::Core, rpc: core, ..known[0].clone() };
    let router = Router::new().route_inline(move |_peer, _request: Discover| known.clone());
    let server = RpcServer::new(listener, LocalIdentity::new(address, SECRET), router);
    let stop = CancellationToken::new();
    let serving = tokio::spawn(server.run(stop.clone()));
    cluster.seeds = vec![core];
    let number = cluster.add().await;
    cluster.start(number).await;
    let handle = cluster.stores[number].running.as_ref().unwrap().handle.clone();
    while handle.cluster() == 0 {
        tokio::task::yield_now().await;
    }
    let known_stores = handle.watch_stores().borrow().clone();
    assert!(stores.iter().all(|store| known_stores.contains(store)), "{known_stores:?}");
    assert!(!known_stores.contains(&core), "{known_stores:?}");
    until("the store is registered", async || {
        let meta = handle.watch_meta().borrow().clone();
        meta.stores.len() == 4
    })
    .await;
    stop.cancel();
    serving.await.unwrap();
}

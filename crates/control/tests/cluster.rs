//! Node agents and cores in one cluster, over real connections.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{Cluster, Node, bundle, eventually};
use hooklug_control::view::revision_epoch;
use hooklug_protocol::control::{Discover, Heartbeat, MemberHealth};
use hooklug_rpc::{LinkFault, RpcServer};
use hooklug_state::meta::{MetaRefusal, MetaReply};
use hooklug_types::{BundleVersion, NodeId, NodeRole, Revision};

fn sees_alive(observer: &Node, other: &Node) -> bool {
    let view = observer.view();
    view.members.get(&other.id()).is_some_and(|m| m.health == MemberHealth::Alive)
}

fn leader_of<'a>(cores: &'a [Node], observer: &Node) -> Option<&'a Node> {
    let leader = observer.view().meta.leader.clone().filter(|l| !l.expired)?;
    cores.iter().find(|core| core.id() == leader.core)
}

async fn wait_for_leader<'a>(cores: &'a [Node], observer: &Node) -> &'a Node {
    eventually("a core leads", || leader_of(cores, observer).is_some()).await;
    leader_of(cores, observer).expect("just seen")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nodes_find_each_other_from_one_seed_of_any_role() {
    let cluster = Cluster::new(11).await;
    let mut nodes = vec![cluster.start(NodeRole::Gateway, &[]).await];
    for role in [NodeRole::Gateway, NodeRole::Store, NodeRole::Core, NodeRole::Gateway] {
        let seed = nodes.last().expect("not empty").rpc();
        nodes.push(cluster.start(role, &[seed]).await);
    }
    for observer in &nodes {
        for other in &nodes {
            eventually("each node sees each other", || sees_alive(observer, other)).await;
        }
        let stores = observer.context.node.stores.borrow().clone();
        assert_eq!(stores, vec![nodes[2].rpc()]);
        assert_eq!(observer.context.identity.cluster(), 77);
        eventually("ready", || observer.context.node.readiness.reasons().is_empty()).await;
    }
}

/// Guards against a node that stops querying a core that knew no store at first: all start at the
/// same time, and without a leader there is no view from which the node could learn of the stores.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_keeps_discovering_stores_after_finding_a_core() {
    let cluster = Cluster::new(19).await;
    let core = cluster.start(NodeRole::Core, &[]).await;
    core.state.set_unreachable(true);
    let early = cluster.start(NodeRole::Gateway, &[core.rpc()]).await;
    early.state.set_unreachable(true);
    eventually("the core replies", || early.context.node.reach.borrow().core).await;
    // A store that queries only the core.
    let mut store = early.context.identity.address.clone();
    (store.node, store.role) = (NodeId(1), NodeRole::Store);
    store.rpc = "127.19.0.200:7".parse().expect("an address");
    let request = Discover { from: store.clone() };
    core.context.client.call(core.rpc(), &request, common::deadline()).await.expect("a reply");
    eventually("the store is known", || *early.context.node.stores.borrow() == [store.rpc]).await;
}

/// Guards against a node that learns of the leader only from the stores, sends it heartbeats
/// forever and never follows a view.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_that_learns_the_leader_from_the_stores_sees_the_members() {
    let cluster = Cluster::new(20).await;
    let core = cluster.start(NodeRole::Core, &[]).await;
    let node = cluster.start(NodeRole::Gateway, &[]).await;
    eventually("the node sees the core", || sees_alive(&node, &core)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_at_a_reused_address_replaces_its_predecessor_in_the_view() {
    let cluster = Cluster::new(12).await;
    let core = cluster.start(NodeRole::Core, &[]).await;
    let observer = cluster.start(NodeRole::Gateway, &[core.rpc()]).await;
    let first = cluster.start(NodeRole::Gateway, &[core.rpc()]).await;
    eventually("the first is seen", || sees_alive(&observer, &first)).await;
    let address = first.rpc();
    first.kill();
    let mut listener = RpcServer::bind(address).await;
    while listener.is_err() {
        tokio::time::sleep(Duration::from_millis(20)).await;
        listener = RpcServer::bind(address).await;
    }
    let listener = listener.expect("free by now");
    let second = cluster.start_on(NodeRole::Gateway, &[core.rpc()], listener, None);
    eventually("the second is seen", || sees_alive(&observer, &second)).await;
    assert!(!observer.view().members.contains_key(&first.id()), "the address was reused");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_core_failover_keeps_view_revisions_monotonic() {
    let cluster = Cluster::new(13).await;
    let mut cores = vec![cluster.start(NodeRole::Core, &[]).await];
    let seed = cores[0].rpc();
    for _ in 0..2 {
        cores.push(cluster.start(NodeRole::Core, &[seed]).await);
    }
    let seeds: Vec<_> = cores.iter().map(Node::rpc).collect();
    let gateway = cluster.start(NodeRole::Gateway, &seeds).await;
    let store = cluster.start(NodeRole::Store, &seeds).await;
    let leader = wait_for_leader(&cores, &gateway).await;
    for node in cores.iter().chain([&gateway, &store]) {
        eventually("all are seen", || sees_alive(&gateway, node)).await;
    }
    let before = gateway.view();
    let revisions = watch_revisions(&gateway);
    leader.kill();
    let killed = leader.id();
    eventually("another leads", || {
        leader_of(&cores, &gateway).is_some_and(|leader| leader.id() != killed)
    })
    .await;
    let after = gateway.view();
    assert!(revision_epoch(after.revision) > revision_epoch(before.revision));
    assert!(sees_alive(&gateway, &store), "live nodes stay in the view");
    let late = cluster.start(NodeRole::Gateway, &seeds).await;
    eventually("the view is still updated", || sees_alive(&gateway, &late)).await;
    eventually("the killed core is considered dead", || {
        gateway.view().members.get(&killed).is_none_or(|m| m.health == MemberHealth::Dead)
    })
    .await;
    assert_non_decreasing(&revisions.all());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_former_core_leader_becomes_a_follower_after_a_partition() {
    let cluster = Cluster::new(14).await;
    let first = cluster.start(NodeRole::Core, &[]).await;
    let second = cluster.start(NodeRole::Core, &[first.rpc()]).await;
    let cores = [first, second];
    let seeds: Vec<_> = cores.iter().map(Node::rpc).collect();
    let gateway = cluster.start(NodeRole::Gateway, &seeds).await;
    let leader = wait_for_leader(&cores, &gateway).await;
    for node in &cores {
        eventually("both cores are seen", || sees_alive(&gateway, node)).await;
    }
    let revisions = watch_revisions(&gateway);
    let old_epoch = revision_epoch(gateway.view().revision);
    set_partitioned(leader, &[&cores[0], &cores[1], &gateway], true);
    eventually("the other core leads", || {
        leader_of(&cores, &gateway).is_some_and(|l| l.id() != leader.id())
            && revision_epoch(gateway.view().revision) > old_epoch
    })
    .await;
    let new_epoch = revision_epoch(gateway.view().revision);
    set_partitioned(leader, &[&cores[0], &cores[1], &gateway], false);
    eventually("the old leader follows", || {
        sees_alive(&gateway, leader) && revision_epoch(leader.view().revision) == new_epoch
    })
    .await;
    assert_eq!(revision_epoch(gateway.view().revision), new_epoch);
    assert_non_decreasing(&revisions.all());
}

/// Guards against a restarted core that forwards heartbeats to itself: the meta group still names
/// its previous run as the leader, at the address that the new run has.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_core_at_the_former_leaders_address_does_not_forward_heartbeats_to_itself() {
    let cluster = Cluster::new(20).await;
    let leader = cluster.start(NodeRole::Core, &[]).await;
    eventually("it leads", || leader.view().meta.leader.is_some()).await;
    let address = leader.rpc();
    leader.kill();
    let mut listener = RpcServer::bind(address).await;
    while listener.is_err() {
        tokio::time::sleep(Duration::from_millis(20)).await;
        listener = RpcServer::bind(address).await;
    }
    let successor = cluster.start_on(NodeRole::Core, &[], listener.expect("bound"), None);
    eventually("a core replies", || successor.context.node.reach.borrow().core).await;
    let heartbeat = Heartbeat {
        from: leader.context.identity.address.clone(),
        bundle: BundleVersion(0),
        engine: None,
        load: None,
        statistics: Vec::new(),
        slot_usage: Vec::new(),
    };
    let sender = cluster.start(NodeRole::Core, &[address]).await;
    let client = &sender.context.client;
    for _ in 0..3 {
        let _ = client.call(address, &heartbeat, common::deadline()).await;
    }
    let sent = successor.context.identity.traffic.counts().sent_frames;
    assert!(sent < 500, "{sent} frames");
}

/// Partitions a node from others in both directions and makes the stores' state unreachable for it,
/// or heals both.
fn set_partitioned(node: &Node, others: &[&Node], cut: bool) {
    let fault = LinkFault { cut, delay_micros: 0 };
    let others = others.iter().filter(|o| o.id() != node.id());
    let links: BTreeMap<_, _> = others.clone().map(|o| (o.ip(), fault)).collect();
    node.context.identity.faults.set(links);
    for other in others {
        other.context.identity.faults.set(BTreeMap::from([(node.ip(), fault)]));
    }
    node.state.set_unreachable(cut);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bundles_reach_thirty_nodes_without_going_back() {
    let cluster = Cluster::new(15).await;
    let mut nodes = vec![cluster.start(NodeRole::Core, &[]).await];
    let seed = nodes[0].rpc();
    nodes.push(cluster.start(NodeRole::Store, &[seed]).await);
    for _ in 0..28 {
        nodes.push(cluster.start(NodeRole::Gateway, &[seed]).await);
    }
    let installed: Vec<_> = nodes.iter().map(watch_installed).collect();
    for version in 1..=5 {
        let record = cluster.submit_accepted(&bundle(version, "growers")).await;
        nodes[7].context.identity.bundles.observe(record.version);
    }
    for node in &nodes {
        eventually("all install the newest", || node.installed() == BundleVersion(5)).await;
        assert_eq!(node.context.identity.bundles.installed(), BundleVersion(5));
    }
    let observer = &nodes[9];
    eventually("the view shows it", || {
        let view = observer.view();
        view.members.len() == nodes.len()
            && view.members.values().all(|m| m.bundle == BundleVersion(5))
    })
    .await;
    for observed in installed {
        assert_non_decreasing(&observed.all());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_without_a_core_still_gets_the_newest_bundle() {
    let cluster = Cluster::new(16).await;
    let store = cluster.start(NodeRole::Store, &[]).await;
    let gateway = cluster.start(NodeRole::Gateway, &[store.rpc()]).await;
    eventually("ready without a core", || gateway.context.node.readiness.reasons().is_empty())
        .await;
    cluster.submit_accepted(&bundle(1, "growers")).await;
    eventually("installed", || gateway.installed() == BundleVersion(1)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_is_ready_only_with_the_newest_bundle_and_a_reachable_peer() {
    let cluster = Cluster::new(17).await;
    cluster.submit_accepted(&bundle(1, "growers")).await;
    let alone = cluster.start_without_stores(NodeRole::Gateway, &[]).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let reasons = alone.context.node.readiness.reasons();
    assert!(reasons.contains_key("reach") && reasons.contains_key("bundle"), "{reasons:?}");
    alone.state.set_unreachable(false);
    eventually("the stores reply", || alone.context.node.readiness.reasons().is_empty()).await;
    assert_eq!(alone.installed(), BundleVersion(1), "ready only with the newest bundle");
    alone.state.set_unreachable(true);
    eventually("no core or store is reachable", || {
        alone.context.node.readiness.reasons().contains_key("reach")
    })
    .await;
    assert_eq!(alone.installed(), BundleVersion(1), "it keeps its last bundle");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_of_two_racing_bundles_is_accepted_and_a_resend_gets_the_same_record() {
    let cluster = Cluster::new(18).await;
    let core = cluster.start(NodeRole::Core, &[]).await;
    let gateway = cluster.start(NodeRole::Gateway, &[core.rpc()]).await;
    let (one, two) = (bundle(1, "growers"), bundle(1, "dispatchers"));
    let (first, second) = tokio::join!(cluster.submit(&one), cluster.submit(&two));
    let accepted = |reply: &MetaReply| matches!(reply, MetaReply::Bundle(_));
    assert!(accepted(&first) != accepted(&second), "{first:?} {second:?}");
    let (winner, loser) = if accepted(&first) { (&one, &two) } else { (&two, &one) };
    let record = cluster.submit_accepted(winner).await;
    cluster.submit_accepted(&bundle(2, "growers")).await;
    assert_eq!(cluster.submit_accepted(winner).await, record, "a resend gets the first reply");
    let refused = cluster.submit(loser).await;
    assert!(matches!(refused, MetaReply::Refused(MetaRefusal::VersionTaken { .. })), "{refused:?}");
    eventually("the newest is installed", || gateway.installed() == BundleVersion(2)).await;
}

/// All values observed on a watch channel.
struct Observed<T> {
    values: std::sync::Arc<std::sync::Mutex<Vec<T>>>,
}

impl<T: Clone> Observed<T> {
    fn all(&self) -> Vec<T> {
        self.values.lock().expect("not poisoned").clone()
    }
}

fn watch_revisions(node: &Node) -> Observed<Revision> {
    let values = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let (observed, mut view) = (values.clone(), node.context.node.view.clone());
    tokio::spawn(async move {
        loop {
            let revision = view.borrow_and_update().revision;
            observed.lock().expect("not poisoned").push(revision);
            if view.changed().await.is_err() {
                return;
            }
        }
    });
    Observed { values }
}

fn watch_installed(node: &Node) -> Observed<BundleVersion> {
    let values = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let (observed, mut bundle) = (values.clone(), node.context.node.bundle.clone());
    tokio::spawn(async move {
        loop {
            let installed = bundle.borrow_and_update().as_ref().map(|b| b.record.version);
            observed.lock().expect("not poisoned").extend(installed);
            if bundle.changed().await.is_err() {
                return;
            }
        }
    });
    Observed { values }
}

fn assert_non_decreasing<T: PartialOrd + std::fmt::Debug>(values: &[T]) {
    assert!(!values.is_empty());
    assert!(values.windows(2).all(|pair| pair[0] <= pair[1]), "decreased: {values:?}");
}

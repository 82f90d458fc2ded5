//! Differences between views, and the size of discovery replies.

use std::collections::BTreeSet;

use hooklug_control::agent::Peers;
use hooklug_control::view::{apply_change, changes};
use hooklug_protocol::control::{
    ClusterView, Member, MemberHealth, NodeAddress, SessionHostInfo, ViewChange,
};
use hooklug_types::{BundleVersion, Incarnation, NodeId, NodeRole, ZoneName};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn address(node: u64, incarnation: u64, role: NodeRole) -> NodeAddress {
    let port = u16::try_from(node).expect("small");
    NodeAddress {
        node: NodeId(node),
        incarnation: Incarnation(incarnation),
        role,
        rpc: ([127, 0, 0, 1], port).into(),
        http: ([127, 0, 0, 2], port).into(),
        zone: ZoneName::new("z1").expect("valid"),
    }
}

fn engine(draining: bool) -> SessionHostInfo {
    SessionHostInfo {
        engine: "engine-1".parse().expect("valid"),
        service: "advisor".parse().expect("valid"),
        version: "v1".parse().expect("valid"),
        ready: true,
        draining,
        slots: 8,
    }
}

fn any_member() -> impl Strategy<Value = Member> {
    let health = prop_oneof![Just(MemberHealth::Alive), Just(MemberHealth::Suspect)];
    let hosted = proptest::option::of(any::<bool>().prop_map(engine));
    (1..3_u64, health, 0..3_u64, hosted).prop_map(|(incarnation, health, bundle, engine)| Member {
        address: address(0, incarnation, NodeRole::Engine),
        health,
        bundle: BundleVersion(bundle),
        engine,
    })
}

fn any_view() -> impl Strategy<Value = ClusterView> {
    proptest::collection::btree_map(1..12_u64, any_member(), 0..12).prop_map(|members| {
        let named = |(node, mut member): (u64, Member)| {
            member.address.node = NodeId(node);
            (NodeId(node), member)
        };
        let members = members.into_iter().map(named).collect();
        ClusterView { members, ..ClusterView::default() }
    })
}

proptest! {
    #[test]
    fn applying_the_changes_between_two_views_yields_the_second(
        before in any_view(),
        after in any_view(),
    ) {
        let mut view = before.clone();
        changes(&before, &after).into_iter().for_each(|change| apply_change(&mut view, change));
        prop_assert_eq!(view, after);
    }
}

#[test]
fn a_bundle_installed_on_many_nodes_is_one_view_change() {
    let members = (1..=1_000).map(|node| {
        let address = address(node, 1, NodeRole::Gateway);
        let bundle = BundleVersion(1);
        (NodeId(node), Member { address, health: MemberHealth::Alive, bundle, engine: None })
    });
    let before = ClusterView { members: members.collect(), ..ClusterView::default() };
    let mut after = before.clone();
    after.members.values_mut().for_each(|member| member.bundle = BundleVersion(2));
    let changes = changes(&before, &after);
    let nodes = before.members.keys().copied().collect();
    assert_eq!(changes, [ViewChange::BundleInstalled { bundle: BundleVersion(2), nodes }]);
}

#[test]
fn discovery_returns_all_stores_and_cores_and_few_other_nodes() {
    let own = address(1, 1, NodeRole::Store);
    let mut peers = Peers::new(own.clone());
    let role = |node| match node {
        2..=4 => NodeRole::Store,
        5..=9 => NodeRole::Core,
        _ => NodeRole::Gateway,
    };
    (2..=1_000).for_each(|node| peers.learn(address(node, 1, role(node))));
    assert_eq!(peers.count(), 999);
    let seed = 7;
    let reply = peers.discovery_reply(&mut ChaCha8Rng::seed_from_u64(seed));
    assert_eq!(reply[0], own);
    let nodes: BTreeSet<NodeId> = reply.iter().map(|a| a.node).collect();
    assert!((1..=9).all(|node| nodes.contains(&NodeId(node))), "seed {seed}: {nodes:?}");
    assert_eq!(nodes.len(), reply.len(), "seed {seed}: a node is listed twice");
    assert!((10..=20).contains(&reply.len()), "seed {seed}: {} nodes are listed", reply.len());
}

#[test]
fn the_newest_incarnation_holds_an_address_in_any_order_of_updates() {
    let mut peers = Peers::new(address(1, 1, NodeRole::Core));
    let early = address(2, 5, NodeRole::Gateway);
    let mut late = address(3, 6, NodeRole::Gateway);
    late.rpc = early.rpc;
    for order in [[early.clone(), late.clone()], [late.clone(), early.clone()]] {
        order.into_iter().for_each(|address| peers.learn(address));
        assert_eq!(peers.others(), [late.clone()]);
    }
    // The node moves; its old address is free for another node of any incarnation.
    let mut moved = late.clone();
    moved.incarnation = Incarnation(7);
    moved.rpc = ([127, 0, 0, 1], 900).into();
    peers.learn(moved.clone());
    peers.learn(early.clone());
    assert_eq!(peers.others(), [early, moved]);
}

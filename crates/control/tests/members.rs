//! Member table: health of nodes by heartbeat timeout, incarnation and address.

use std::time::{Duration, Instant};

use hooklug_control::core::members::{DEAD_AFTER, MemberTable, REMOVE_AFTER, SUSPECT_AFTER};
use hooklug_control::core::sent_records::{RESEND_AFTER, SentRecords};
use hooklug_protocol::control::{Heartbeat, MemberHealth, NodeAddress};
use hooklug_types::{BundleVersion, Incarnation, NodeId, NodeRole, ZoneName};

fn heartbeat(node: u64, incarnation: u64, port: u16) -> Heartbeat {
    Heartbeat {
        from: NodeAddress {
            node: NodeId(node),
            incarnation: Incarnation(incarnation),
            role: NodeRole::Gateway,
            rpc: ([127, 0, 0, 1], port).into(),
            http: ([127, 0, 0, 2], port).into(),
            zone: ZoneName::new("z1").expect("valid"),
        },
        bundle: BundleVersion(3),
        engine: None,
        load: None,
        statistics: Vec::new(),
        slot_usage: Vec::new(),
    }
}

/// Updates the health twice per second for `span`, as the leader does, and returns the end time.
fn update_until(table: &mut MemberTable, from: Instant, span: Duration) -> Instant {
    let mut passed = Duration::ZERO;
    while passed < span {
        passed += Duration::from_millis(500);
        table.update_health(from + passed);
    }
    from + passed
}

fn health(table: &MemberTable, node: u64) -> Option<MemberHealth> {
    table.members().get(&NodeId(node)).map(|m| m.health)
}

#[test]
fn an_unresponsive_node_becomes_suspect_then_dead_then_removed() {
    let start = Instant::now();
    let mut table = MemberTable::default();
    table.record_heartbeat(&heartbeat(1, 1, 1), start);
    table.update_health(start);
    assert_eq!(health(&table, 1), Some(MemberHealth::Alive));
    let now = update_until(&mut table, start, SUSPECT_AFTER);
    assert_eq!(health(&table, 1), Some(MemberHealth::Suspect));
    let now = update_until(&mut table, now, DEAD_AFTER - SUSPECT_AFTER);
    assert_eq!(health(&table, 1), Some(MemberHealth::Dead));
    table.record_heartbeat(&heartbeat(1, 1, 1), now);
    assert_eq!(health(&table, 1), Some(MemberHealth::Alive), "a heartbeat takes effect at once");
    update_until(&mut table, now, REMOVE_AFTER);
    assert_eq!(health(&table, 1), None);
}

#[test]
fn heartbeats_of_an_older_incarnation_are_ignored() {
    let now = Instant::now();
    let mut table = MemberTable::default();
    table.record_heartbeat(&heartbeat(1, 5, 1), now);
    table.record_heartbeat(&heartbeat(1, 6, 2), now);
    table.record_heartbeat(&heartbeat(1, 5, 1), now);
    let member = &table.members()[&NodeId(1)];
    assert_eq!(member.address.incarnation, Incarnation(6));
    assert_eq!(member.address.rpc.port(), 2);
}

#[test]
fn a_reused_address_is_a_new_node() {
    let now = Instant::now();
    let mut table = MemberTable::default();
    table.record_heartbeat(&heartbeat(1, 5, 1), now);
    table.record_heartbeat(&heartbeat(2, 6, 1), now);
    assert_eq!(health(&table, 1), None);
    assert_eq!(health(&table, 2), Some(MemberHealth::Alive));
    table.record_heartbeat(&heartbeat(1, 5, 1), now);
    assert_eq!(health(&table, 1), None, "a late heartbeat of the previous node");
}

#[test]
fn a_pause_of_the_leader_marks_no_node_dead() {
    let start = Instant::now();
    let mut table = MemberTable::default();
    table.record_heartbeat(&heartbeat(1, 1, 1), start);
    table.update_health(start);
    let resumed = start + Duration::from_secs(30);
    table.update_health(resumed);
    assert_eq!(health(&table, 1), Some(MemberHealth::Alive));
    update_until(&mut table, resumed, DEAD_AFTER);
    assert_eq!(health(&table, 1), Some(MemberHealth::Dead), "time counts again after the pause");
}

#[test]
fn a_new_leader_gives_each_node_its_full_time() {
    let start = Instant::now();
    let mut before = MemberTable::default();
    before.record_heartbeat(&heartbeat(1, 1, 1), start);
    before.record_heartbeat(&heartbeat(2, 1, 2), start + DEAD_AFTER);
    let now = update_until(&mut before, start, DEAD_AFTER);
    let mut table = MemberTable::take_over(&before.members(), now);
    assert_eq!(health(&table, 1), None, "dead members are not taken over");
    update_until(&mut table, now, SUSPECT_AFTER - Duration::from_millis(500));
    assert_eq!(health(&table, 2), Some(MemberHealth::Alive));
}

#[test]
fn a_heartbeat_with_nothing_new_changes_no_member() {
    let now = Instant::now();
    let mut table = MemberTable::default();
    (1..=3).for_each(|node| table.record_heartbeat(&heartbeat(node, 1, node as u16), now));
    let before = table.members();
    table.record_heartbeat(&heartbeat(2, 1, 2), now + Duration::from_secs(1));
    table.update_health(now + Duration::from_secs(1));
    assert_eq!(table.members().changed_since(&before).count(), 0);
    table.record_heartbeat(&heartbeat(2, 2, 2), now + Duration::from_secs(2));
    let members = table.members();
    let changed: Vec<NodeId> =
        members.changed_since(&before).map(|(_, member)| member.address.node).collect();
    assert_eq!(changed, [NodeId(2)]);
}

#[test]
fn a_node_that_moved_leaves_its_address_to_others() {
    let now = Instant::now();
    let mut table = MemberTable::default();
    table.record_heartbeat(&heartbeat(1, 5, 1), now);
    table.record_heartbeat(&heartbeat(1, 6, 2), now);
    // The incarnation is older than that of the node that left, but the address is free.
    table.record_heartbeat(&heartbeat(3, 2, 1), now);
    assert!(table.members().contains_key(&NodeId(1)));
    assert!(table.members().contains_key(&NodeId(3)));
}

#[test]
fn a_bundle_record_is_due_once_per_node_and_version_until_repeated() {
    let now = Instant::now();
    let mut sent = SentRecords::default();
    let (old, new, newer) = (BundleVersion(1), BundleVersion(2), BundleVersion(3));
    assert!(!sent.is_due(NodeId(1), new, new, now), "it is installed already");
    assert!(sent.is_due(NodeId(1), old, new, now));
    assert!(!sent.is_due(NodeId(1), old, new, now + RESEND_AFTER / 2));
    assert!(sent.is_due(NodeId(2), old, new, now + RESEND_AFTER / 2), "another node");
    assert!(sent.is_due(NodeId(1), old, newer, now + RESEND_AFTER / 2), "another version");
    assert!(
        sent.is_due(NodeId(1), old, newer, now + RESEND_AFTER * 2),
        "the reply may have been lost"
    );
}

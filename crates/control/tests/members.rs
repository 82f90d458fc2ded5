//! Which nodes count as living: by deadline, run and address.

use std::time::{Duration, Instant};

use hooklug_control::core::members::{DEAD_AFTER, GONE_AFTER, MemberTable, SUSPECT_AFTER};
use hooklug_control::core::sent_records::{REPEAT_AFTER, RecordsTold};
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
        slot_uses: Vec::new(),
    }
}

/// Looks twice a second from one instant to another, as the leader does.
fn look_until(table: &mut MemberTable, from: Instant, span: Duration) -> Instant {
    let mut passed = Duration::ZERO;
    while passed < span {
        passed += Duration::from_millis(500);
        table.look(from + passed);
    }
    from + passed
}

fn health(table: &MemberTable, node: u64) -> Option<MemberHealth> {
    table.members().get(&NodeId(node)).map(|m| m.health)
}

#[test]
fn silence_makes_a_node_suspect_then_dead_then_gone() {
    let start = Instant::now();
    let mut table = MemberTable::default();
    table.heard(&heartbeat(1, 1, 1), start);
    table.look(start);
    assert_eq!(health(&table, 1), Some(MemberHealth::Alive));
    let now = look_until(&mut table, start, SUSPECT_AFTER);
    assert_eq!(health(&table, 1), Some(MemberHealth::Suspect));
    let now = look_until(&mut table, now, DEAD_AFTER - SUSPECT_AFTER);
    assert_eq!(health(&table, 1), Some(MemberHealth::Dead));
    table.heard(&heartbeat(1, 1, 1), now);
    assert_eq!(health(&table, 1), Some(MemberHealth::Alive), "a sign of life counts at once");
    look_until(&mut table, now, GONE_AFTER);
    assert_eq!(health(&table, 1), None);
}

#[test]
fn a_restart_is_a_new_run_and_words_of_the_old_run_change_nothing() {
    let now = Instant::now();
    let mut table = MemberTable::default();
    table.heard(&heartbeat(1, 5, 1), now);
    table.heard(&heartbeat(1, 6, 2), now);
    table.heard(&heartbeat(1, 5, 1), now);
    let member = &table.members()[&NodeId(1)];
    assert_eq!(member.address.incarnation, Incarnation(6));
    assert_eq!(member.address.rpc.port(), 2);
}

#[test]
fn a_reused_address_is_a_new_node() {
    let now = Instant::now();
    let mut table = MemberTable::default();
    table.heard(&heartbeat(1, 5, 1), now);
    table.heard(&heartbeat(2, 6, 1), now);
    assert_eq!(health(&table, 1), None);
    assert_eq!(health(&table, 2), Some(MemberHealth::Alive));
    table.heard(&heartbeat(1, 5, 1), now);
    assert_eq!(health(&table, 1), None, "a late word of the node before");
}

#[test]
fn a_pause_of_the_leader_itself_kills_nobody() {
    let start = Instant::now();
    let mut table = MemberTable::default();
    table.heard(&heartbeat(1, 1, 1), start);
    table.look(start);
    let woken = start + Duration::from_secs(30);
    table.look(woken);
    assert_eq!(health(&table, 1), Some(MemberHealth::Alive));
    look_until(&mut table, woken, DEAD_AFTER);
    assert_eq!(health(&table, 1), Some(MemberHealth::Dead), "from then on time counts");
}

#[test]
fn a_new_leader_gives_each_node_its_full_time() {
    let start = Instant::now();
    let mut before = MemberTable::default();
    before.heard(&heartbeat(1, 1, 1), start);
    before.heard(&heartbeat(2, 1, 2), start + DEAD_AFTER);
    let now = look_until(&mut before, start, DEAD_AFTER);
    let mut table = MemberTable::take_over(&before.members(), now);
    assert_eq!(health(&table, 1), None, "the dead are not taken over");
    look_until(&mut table, now, SUSPECT_AFTER - Duration::from_millis(500));
    assert_eq!(health(&table, 2), Some(MemberHealth::Alive));
}

#[test]
fn a_heartbeat_with_nothing_new_changes_no_member() {
    let now = Instant::now();
    let mut table = MemberTable::default();
    (1..=3).for_each(|node| table.heard(&heartbeat(node, 1, node as u16), now));
    let before = table.members();
    table.heard(&heartbeat(2, 1, 2), now + Duration::from_secs(1));
    table.look(now + Duration::from_secs(1));
    assert_eq!(table.members().changed_since(&before).count(), 0);
    table.heard(&heartbeat(2, 2, 2), now + Duration::from_secs(2));
    let members = table.members();
    let changed: Vec<NodeId> =
        members.changed_since(&before).map(|(_, member)| member.address.node).collect();
    assert_eq!(changed, [NodeId(2)]);
}

#[test]
fn a_node_that_moved_leaves_its_address_to_others() {
    let now = Instant::now();
    let mut table = MemberTable::default();
    table.heard(&heartbeat(1, 5, 1), now);
    table.heard(&heartbeat(1, 6, 2), now);
    // An earlier run than the one that left: the address is free.
    table.heard(&heartbeat(3, 2, 1), now);
    assert!(table.members().contains_key(&NodeId(1)));
    assert!(table.members().contains_key(&NodeId(3)));
}

#[test]
fn a_record_is_told_once_a_node_and_version_and_again_after_a_while() {
    let now = Instant::now();
    let mut told = RecordsTold::default();
    let (old, new, newer) = (BundleVersion(1), BundleVersion(2), BundleVersion(3));
    assert!(!told.is_due(NodeId(1), new, new, now), "it is installed");
    assert!(told.is_due(NodeId(1), old, new, now));
    assert!(!told.is_due(NodeId(1), old, new, now + REPEAT_AFTER / 2));
    assert!(told.is_due(NodeId(2), old, new, now + REPEAT_AFTER / 2), "another node");
    assert!(told.is_due(NodeId(1), old, newer, now + REPEAT_AFTER / 2), "another version");
    assert!(told.is_due(NodeId(1), old, newer, now + REPEAT_AFTER * 2), "it may have been lost");
}

//! Liveness of stores as the repair judges it.

use std::time::Duration;

use hooklug_control::core::repair::liveness::{LOST_AFTER, StoreLiveness};
use hooklug_protocol::store::{MemberProgress, ReplicaStatus};
use hooklug_raft::{ConfState, ProgressState, Role};
use hooklug_store::placement::StoreReport;
use hooklug_types::{GroupId, NodeId};
use tokio::time::Instant;

const LEADER: NodeId = NodeId(1);
const OTHER: NodeId = NodeId(2);

/// Report of the leader's store, which hears from the other store or not.
fn report(hears_other: bool) -> StoreReport {
    let state = ProgressState::Replicate;
    let member = |node, active| MemberProgress { node, matched: 9, active, state };
    let conf = ConfState { voters: [LEADER, OTHER].into(), learners: [].into() };
    let replica = ReplicaStatus {
        group: GroupId(1),
        role: Role::Leader,
        term: 2,
        leader: Some(LEADER),
        leader_messages: 0,
        commit: 9,
        applied: 9,
        last_index: 9,
        newest_conf: conf.clone(),
        conf,
        progress: vec![member(LEADER, true), member(OTHER, hears_other)],
    };
    StoreReport { node: LEADER, replicas: vec![replica] }
}

#[test]
fn a_store_is_lost_only_after_the_unresponsive_timeout() {
    let start = Instant::now();
    let mut liveness = StoreLiveness::new(start);
    liveness.record(&[report(false)], start);
    let almost = start + LOST_AFTER - Duration::from_millis(1);
    assert!(liveness.is_alive(OTHER, almost), "this leader has not queried it for long enough");
    assert!(!liveness.is_alive(OTHER, start + LOST_AFTER));
    liveness.record(&[report(false)], almost);
    assert!(liveness.is_alive(LEADER, start + LOST_AFTER), "it replied");
}

#[test]
fn a_store_reachable_from_another_store_is_alive() {
    let start = Instant::now();
    let mut liveness = StoreLiveness::new(start);
    let later = start + 10 * LOST_AFTER;
    liveness.record(&[report(true)], later);
    assert!(liveness.is_alive(OTHER, later));
    liveness.record(&[report(false)], later);
    assert!(!liveness.is_alive(OTHER, later));
}

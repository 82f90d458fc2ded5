//! Group monitor: events for degraded and for stalled groups.

use std::collections::BTreeSet;
use std::time::Duration;

use hooklug_control::core::repair::monitor::{GroupEvent, GroupMonitor, STALL_TIME};
use hooklug_protocol::store::{MemberProgress, ReplicaStatus};
use hooklug_raft::{ConfState, ProgressState, Role};
use hooklug_state::meta::{GroupPlacement, MetaState};
use hooklug_store::placement::StoreReport;
use hooklug_types::{GroupId, NodeId};
use tokio::time::Instant;

const GROUP: GroupId = GroupId(1);
const SECOND: Duration = Duration::from_secs(1);

fn nodes(ids: &[u64]) -> BTreeSet<NodeId> {
    ids.iter().copied().map(NodeId).collect()
}

fn meta() -> MetaState {
    let mut meta = MetaState::default();
    let voters = [1, 2, 3].map(NodeId).to_vec();
    meta.placements.insert(GROUP, GroupPlacement { voters, learners: Vec::new() });
    meta
}

/// Report of store 1, which leads the group.
fn leader(voters: &[u64], commit: u64, last_index: u64) -> Vec<StoreReport> {
    let conf = ConfState { voters: nodes(voters), learners: BTreeSet::new() };
    let state = ProgressState::Replicate;
    let member =
        |node: &NodeId| MemberProgress { node: *node, matched: commit, active: true, state };
    let replica = ReplicaStatus {
        group: GROUP,
        role: Role::Leader,
        term: 2,
        leader: Some(NodeId(1)),
        leader_messages: 0,
        commit,
        applied: commit,
        last_index,
        progress: conf.voters.iter().map(member).collect(),
        newest_conf: conf.clone(),
        conf,
    };
    vec![StoreReport { node: NodeId(1), replicas: vec![replica] }]
}

#[test]
fn a_lost_voter_and_its_repair_time_are_reported_once() {
    let (mut monitor, start, all) = (GroupMonitor::default(), Instant::now(), nodes(&[1, 2, 3]));
    assert_eq!(monitor.update(&meta(), &leader(&[1, 2, 3], 9, 9), &all, start), []);
    let lost = nodes(&[1, 2]);
    let events = monitor.update(&meta(), &leader(&[1, 2, 3], 9, 9), &lost, start + SECOND);
    assert!(matches!(events[..], [GroupEvent::Degraded { group: GROUP, .. }]), "{events:?}");
    assert_eq!(monitor.degraded(), 1);
    assert_eq!(monitor.update(&meta(), &leader(&[1, 2], 9, 9), &lost, start + 2 * SECOND), []);
    let events = monitor.update(&meta(), &leader(&[1, 2, 3], 9, 9), &all, start + 4 * SECOND);
    assert_eq!(events, [GroupEvent::Repaired { group: GROUP, degraded_for: 3 * SECOND }]);
    assert_eq!(monitor.degraded(), 0);
}

#[test]
fn a_stalled_group_is_reported_with_its_progress_and_again_on_recovery() {
    let (mut monitor, start, all) = (GroupMonitor::default(), Instant::now(), nodes(&[1, 2, 3]));
    assert_eq!(monitor.update(&meta(), &leader(&[1, 2, 3], 9, 12), &all, start), []);
    let events = monitor.update(&meta(), &leader(&[1, 2, 3], 9, 15), &all, start + STALL_TIME);
    let [GroupEvent::Stalled { stalled_for, leader: Some(stalled), .. }] = &events[..] else {
        panic!("{events:?}");
    };
    assert_eq!((*stalled_for, stalled.commit, stalled.last_index), (STALL_TIME, 9, 15));
    assert_eq!((monitor.stalled(), stalled.progress.len()), (1, 3));
    let later = start + STALL_TIME + SECOND;
    assert_eq!(
        monitor.update(&meta(), &leader(&[1, 2, 3], 9, 16), &all, later),
        [],
        "reported once"
    );
    let events = monitor.update(&meta(), &leader(&[1, 2, 3], 16, 16), &all, later + SECOND);
    assert!(matches!(events[..], [GroupEvent::Resumed { .. }]), "{events:?}");
    assert_eq!(monitor.stalled(), 0);
}

#[test]
fn a_group_that_commits_under_load_or_is_idle_is_not_stalled() {
    let (mut monitor, start, all) = (GroupMonitor::default(), Instant::now(), nodes(&[1, 2, 3]));
    for second in 0..10 {
        let busy = leader(&[1, 2, 3], 9 + u64::from(second), 20);
        assert_eq!(monitor.update(&meta(), &busy, &all, start + second * SECOND), []);
    }
    for second in 10..20 {
        let idle = leader(&[1, 2, 3], 20, 20);
        assert_eq!(monitor.update(&meta(), &idle, &all, start + second * SECOND), []);
    }
}

#[test]
fn a_group_without_a_leader_is_stalled() {
    let (mut monitor, start, all) = (GroupMonitor::default(), Instant::now(), nodes(&[1, 2, 3]));
    assert_eq!(monitor.update(&meta(), &leader(&[1, 2, 3], 9, 9), &all, start), []);
    monitor.update(&meta(), &[], &all, start + SECOND);
    let events = monitor.update(&meta(), &[], &all, start + SECOND + STALL_TIME);
    let stalled = GroupEvent::Stalled { group: GROUP, stalled_for: STALL_TIME, leader: None };
    assert!(events.contains(&stalled), "{events:?}");
}

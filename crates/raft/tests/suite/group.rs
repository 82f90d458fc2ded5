//! Tests of a group without faults: elections, replication, reads, membership changes and
//! leadership transfer.

use crate::common::{Group, node, voters};
use hooklug_raft::{ConfChange, ConfState, ProposeError, ReadState, Role};

fn group_led_by_node_1() -> Group {
    let mut group = Group::new(&[1, 2, 3]);
    group.at(1).campaign();
    group.settle();
    assert_eq!(group.leader(), Some(1));
    group
}

#[test]
fn a_leader_is_elected_by_timers_alone() {
    let mut group = Group::new(&[1, 2, 3]);
    group.tick(40);
    let leader = group.leader().expect("a leader");
    for replica in group.nodes.values() {
        assert_eq!(replica.status().leader, Some(node(leader)));
    }
}

#[test]
fn commands_reach_every_replica_in_order() {
    let mut group = group_led_by_node_1();
    for n in 0..20u8 {
        group.at(1).propose(vec![n; 600]).expect("accepted");
    }
    group.settle();
    let expected: Vec<Vec<u8>> = (0..20u8).map(|n| vec![n; 600]).collect();
    for id in 1..=3 {
        assert_eq!(group.commands(id), expected, "replica {id}");
    }
}

#[test]
fn a_follower_refuses_proposals_and_names_the_leader() {
    let mut group = group_led_by_node_1();
    let refused = group.at(2).propose(b"x".to_vec());
    assert_eq!(refused, Err(ProposeError::NotLeader { leader: Some(node(1)) }));
    assert_eq!(group.at(3).read_index(1), Err(ProposeError::NotLeader { leader: Some(node(1)) }));
}

#[test]
fn a_sole_voter_commits_alone() {
    let mut group = Group::new(&[1]);
    group.at(1).campaign();
    group.settle();
    group.at(1).propose(b"x".to_vec()).expect("accepted");
    group.at(1).read_index(5).expect("accepted");
    group.settle();
    assert_eq!(group.commands(1), vec![b"x".to_vec()]);
    assert_eq!(group.reads.len(), 1);
}

#[test]
fn a_read_index_requires_a_later_quorum_acknowledgement() {
    let mut group = group_led_by_node_1();
    group.at(1).propose(b"x".to_vec()).expect("accepted");
    group.settle();
    let commit = group.at(1).status().commit;
    group.at(1).read_index(9).expect("accepted");
    group.settle();
    assert_eq!(group.reads, vec![ReadState { context: 9, index: commit }]);

    group.partitioned.insert(1);
    group.at(1).read_index(10).expect("accepted");
    group.settle();
    assert_eq!(group.reads.len(), 1, "no quorum has acknowledged the round");
    group.tick(25);
    assert_eq!(group.aborted_reads, vec![10]);
    assert_eq!(group.at(1).status().role, Role::Follower, "check-quorum");
    assert_ne!(group.leader(), Some(1));
}

#[test]
fn concurrent_reads_share_one_heartbeat_round() {
    let mut group = group_led_by_node_1();
    for context in 0..50 {
        group.at(1).read_index(context).expect("accepted");
    }
    let ready = group.at(1).ready();
    assert_eq!(ready.messages_before_sync.len(), 2, "one heartbeat a follower");
}

#[test]
fn a_replica_that_rejoins_after_a_partition_does_not_depose_the_leader() {
    let mut group = group_led_by_node_1();
    let term = group.at(1).status().term;
    group.partitioned.insert(3);
    group.tick(100);
    group.partitioned.clear();
    group.tick(10);
    assert_eq!(group.leader(), Some(1));
    assert_eq!(group.at(1).status().term, term, "pre-vote preserved the term");
}

#[test]
fn leadership_is_transferred_to_the_chosen_voter() {
    let mut group = group_led_by_node_1();
    assert_eq!(
        group.at(1).transfer_leadership(node(9)),
        Err(ProposeError::InvalidTransferTarget(node(9)))
    );
    group.at(1).transfer_leadership(node(3)).expect("accepted");
    assert_eq!(group.at(1).propose(b"x".to_vec()), Err(ProposeError::Busy));
    group.settle();
    assert_eq!(group.leader(), Some(3));
}

#[test]
fn an_empty_node_joins_as_learner_by_snapshot_and_becomes_a_voter() {
    let mut group = group_led_by_node_1();
    group.at(1).propose(b"before".to_vec()).expect("accepted");
    group.settle();
    group.start(4, ConfState::default());
    group.at(1).propose_conf_change(ConfChange::AddLearner(node(4))).expect("accepted");
    assert_eq!(
        group.at(1).propose_conf_change(ConfChange::Remove(node(2))),
        Err(ProposeError::ConfChangePending)
    );
    group.tick(6);
    assert_eq!(group.commands(4), vec![b"before".to_vec()]);
    group.at(1).propose_conf_change(ConfChange::PromoteVoter(node(4))).expect("caught up");
    group.tick(2);
    group.at(1).propose_conf_change(ConfChange::Remove(node(3))).expect("accepted");
    group.tick(2);
    assert_eq!(group.at(4).status().conf, voters(&[1, 2, 4]));
}

/// Guards against a member that restarts with an empty log but whose leader still considers it up
/// to date: its rejections were ignored as stale, and as a voter it kept entries from committing.
#[test]
fn a_member_that_restarts_with_an_empty_log_catches_up() {
    let mut group = group_led_by_node_1();
    for n in 0..10u8 {
        group.at(1).propose(vec![n]).expect("accepted");
    }
    group.settle();
    group.start(3, ConfState::default());
    group.applied.remove(&3);
    group.partitioned.insert(2);
    group.at(1).propose(b"after".to_vec()).expect("accepted");
    group.tick(6);
    assert_eq!(group.commands(3), group.commands(1));
    assert!(group.commands(3).contains(&b"after".to_vec()), "committed by 1 and 3");
}

#[test]
fn a_learner_that_lags_is_not_promoted() {
    let mut group = group_led_by_node_1();
    group.at(1).propose_conf_change(ConfChange::AddLearner(node(4))).expect("accepted");
    group.settle();
    let refused = group.at(1).propose_conf_change(ConfChange::PromoteVoter(node(4)));
    assert!(matches!(refused, Err(ProposeError::LearnerLags { .. })), "{refused:?}");
}

#[test]
fn an_invalid_membership_change_is_refused() {
    let mut group = group_led_by_node_1();
    for change in [ConfChange::AddLearner(node(2)), ConfChange::Remove(node(9))] {
        let refused = group.at(1).propose_conf_change(change);
        assert_eq!(refused, Err(ProposeError::InvalidConfChange), "{change:?}");
    }
    let mut alone = Group::new(&[1]);
    alone.at(1).campaign();
    alone.settle();
    let refused = alone.at(1).propose_conf_change(ConfChange::Remove(node(1)));
    assert_eq!(refused, Err(ProposeError::InvalidConfChange));
}

#[test]
fn a_leader_that_removes_itself_hands_over() {
    let mut group = group_led_by_node_1();
    group.at(1).propose_conf_change(ConfChange::Remove(node(1))).expect("accepted");
    group.settle();
    let leader = group.leader().expect("a leader");
    assert_ne!(leader, 1);
    group.at(leader).propose(b"after".to_vec()).expect("accepted");
    group.settle();
    assert_eq!(group.at(leader).status().conf, voters(&[2, 3]));
    assert!(group.commands(leader).contains(&b"after".to_vec()));
}

#[test]
fn a_follower_behind_the_compacted_log_gets_a_snapshot() {
    let mut group = group_led_by_node_1();
    group.partitioned.insert(3);
    for n in 0..10u8 {
        group.at(1).propose(vec![n]).expect("accepted");
    }
    group.settle();
    let applied = group.at(1).status().applied;
    group.at(1).compact(applied).expect("the index is applied");
    group.partitioned.clear();
    group.tick(10);
    assert_eq!(group.at(3).status().commit, group.at(1).status().commit);
    assert_eq!(group.commands(3), group.commands(1));
}

//! Tests of the placement planner, with a model cluster that carries out its plans.

use std::collections::{BTreeMap, BTreeSet};

use hooklug_protocol::store::{MemberProgress, ReplicaStatus};
use hooklug_raft::{ConfChange, ConfState, ProgressState, Role};
use hooklug_state::meta::{GroupPlacement, MetaState, StoreRecord, StoreState};
use hooklug_store::placement::{PlannedChange, StoreReport, VOTERS, initial, plan};
use hooklug_types::{GroupId, Incarnation, NodeId, ZoneName};
use proptest::prelude::*;

/// Model of a cluster without consensus: planned changes take effect immediately.
#[derive(Debug, Clone)]
struct Model {
    meta: MetaState,
    confs: BTreeMap<GroupId, ConfState>,
    alive: BTreeSet<NodeId>,
    /// Members that have not caught up.
    behind: BTreeSet<NodeId>,
}

fn store(number: u64, zone: u64) -> StoreRecord {
    StoreRecord {
        node: NodeId(number),
        incarnation: Incarnation(1),
        address: format!("127.0.0.1:{number}").parse().unwrap(),
        zone: ZoneName::new(format!("zone-{zone}")).unwrap(),
        state: StoreState::Active,
    }
}

impl Model {
    fn new(zones: &[u64]) -> Self {
        Self::with_voters(zones, VOTERS)
    }

    fn with_voters(zones: &[u64], voters: usize) -> Self {
        let stores: Vec<_> = zones.iter().zip(1..).map(|(zone, n)| store(n, *zone)).collect();
        let placements: BTreeMap<_, _> = initial::placements(&stores, voters).into_iter().collect();
        let conf = |p: &GroupPlacement| ConfState {
            voters: p.voters.iter().copied().collect(),
            learners: p.learners.iter().copied().collect(),
        };
        let confs = placements.iter().map(|(group, p)| (*group, conf(p))).collect();
        let alive = stores.iter().map(|store| store.node).collect();
        let meta = MetaState { cluster: 1, stores, placements, ..MetaState::default() };
        Self { meta, confs, alive, behind: BTreeSet::new() }
    }

    fn reports(&self) -> Vec<StoreReport> {
        let mut reports: BTreeMap<NodeId, Vec<ReplicaStatus>> = BTreeMap::new();
        for (group, conf) in &self.confs {
            let living = conf.voters.iter().filter(|node| self.alive.contains(node)).count();
            let Some(leader) = conf.voters.iter().find(|node| self.alive.contains(node)) else {
                continue;
            };
            if living > conf.voters.len() / 2 {
                reports.entry(*leader).or_default().push(self.leader_status(*group, conf));
            }
        }
        reports.into_iter().map(|(node, replicas)| StoreReport { node, replicas }).collect()
    }

    fn leader_status(&self, group: GroupId, conf: &ConfState) -> ReplicaStatus {
        let progress = conf.members().map(|node| MemberProgress {
            node,
            matched: if self.behind.contains(&node) { 0 } else { 1_000 },
            active: self.alive.contains(&node),
            state: ProgressState::Replicate,
        });
        ReplicaStatus {
            group,
            role: Role::Leader,
            term: 2,
            leader: None,
            leader_messages: 0,
            commit: 1_000,
            applied: 1_000,
            last_index: 1_000,
            conf: conf.clone(),
            newest_conf: conf.clone(),
            progress: progress.collect(),
        }
    }

    fn plan(&self) -> Vec<PlannedChange> {
        plan(&self.meta, &self.reports(), &self.alive)
    }

    fn apply(&mut self, change: &PlannedChange) {
        match change {
            PlannedChange::SetPlacement { group, expected, placement } => {
                assert_eq!(self.meta.placements[group], *expected);
                self.meta.placements.insert(*group, placement.clone());
            }
            PlannedChange::ChangeReplicas { group, change, leader } => {
                let conf = self.confs.get_mut(group).unwrap();
                assert!(conf.voters.contains(leader));
                let next = conf.with(*change);
                assert_ne!(next, *conf, "{group}: {change:?} changes nothing");
                *conf = next;
            }
            PlannedChange::RemoveStore { node } => {
                self.store_mut(*node).state = StoreState::Removed;
            }
        }
    }

    /// Carries out plans until no change remains, checks each step, and returns all changes.
    fn settle(&mut self) -> Vec<PlannedChange> {
        let mut made = Vec::new();
        for _ in 0..2_000 {
            let changes = self.plan();
            if changes.is_empty() {
                return made;
            }
            let groups: Vec<_> = changes.iter().filter_map(group_of).collect();
            assert_eq!(
                groups.iter().collect::<BTreeSet<_>>().len(),
                groups.len(),
                "more than one change of a group"
            );
            for change in changes {
                let living = |m: &Self, g| m.living_voters(g);
                let before = group_of(&change).map(|group| living(self, group));
                self.apply(&change);
                if let Some((group, before)) = group_of(&change).zip(before) {
                    let after = living(self, group);
                    assert!(after >= before.min(3), "{group}: {before} to {after}: {change:?}");
                }
                made.push(change);
            }
        }
        panic!("planning does not end: {:?}", self.plan());
    }

    fn living_voters(&self, group: GroupId) -> usize {
        self.confs[&group].voters.iter().filter(|n| self.alive.contains(n)).count()
    }

    fn store_mut(&mut self, node: NodeId) -> &mut StoreRecord {
        self.meta.stores.iter_mut().find(|store| store.node == node).unwrap()
    }

    fn zone(&self, node: NodeId) -> ZoneName {
        self.meta.stores.iter().find(|store| store.node == node).unwrap().zone.clone()
    }

    fn replicas(&self, node: NodeId) -> usize {
        self.confs.values().filter(|conf| conf.contains(node)).count()
    }

    fn assert_zones_apart(&self) {
        for (group, conf) in &self.confs {
            let zones: BTreeSet<_> = conf.voters.iter().map(|node| self.zone(*node)).collect();
            assert_eq!(zones.len(), 3, "{group}: {conf:?}");
        }
    }
}

fn group_of(change: &PlannedChange) -> Option<GroupId> {
    match change {
        PlannedChange::SetPlacement { group, .. } | PlannedChange::ChangeReplicas { group, .. } => {
            Some(*group)
        }
        PlannedChange::RemoveStore { .. } => None,
    }
}

fn changes_of(made: &[PlannedChange], group: GroupId) -> Vec<ConfChange> {
    let of = |change: &PlannedChange| match change {
        PlannedChange::ChangeReplicas { group: g, change, .. } if *g == group => Some(*change),
        _ => None,
    };
    made.iter().filter_map(of).collect()
}

#[test]
fn a_new_cluster_is_balanced_across_zones() {
    let model = Model::new(&[1, 2, 3, 4]);
    model.assert_zones_apart();
    assert!(model.confs.values().all(|conf| conf.learners.len() == 1));
    for node in 1..=4 {
        let voters = model.confs.values().filter(|c| c.voters.contains(&NodeId(node))).count();
        assert!((12..=13).contains(&voters), "store {node} has {voters} of 51 votes");
    }
    assert_eq!(model.plan(), vec![]);
}

#[test]
fn placement_keeps_the_replicas_of_a_group_in_separate_zones() {
    Model::new(&[1, 1, 2, 3]).assert_zones_apart();
}

#[test]
fn a_lost_voter_is_replaced_by_the_learner_and_a_new_learner_added() {
    let mut model = Model::new(&[1, 2, 3, 4, 5]);
    let group = *model.confs.iter().find(|(_, c)| c.voters.contains(&NodeId(1))).unwrap().0;
    let learner = *model.confs[&group].learners.first().unwrap();
    model.alive.remove(&NodeId(1));
    let made = model.settle();
    let changes = changes_of(&made, group);
    assert_eq!(changes[..2], [ConfChange::PromoteVoter(learner), ConfChange::Remove(NodeId(1))]);
    assert!(matches!(changes[2..], [ConfChange::AddLearner(_)]), "{changes:?}");
    model.assert_zones_apart();
    assert!(model.confs.values().all(|c| c.learners.len() == 1 && !c.contains(NodeId(1))));
}

#[test]
fn placement_does_not_promote_a_lagging_learner() {
    let mut model = Model::new(&[1, 2, 3, 4]);
    model.behind = [NodeId(4)].into();
    model.alive.remove(&NodeId(1));
    let promoted = |made: &[PlannedChange]| {
        made.iter().any(|change| {
            let promote = ConfChange::PromoteVoter(NodeId(4));
            matches!(change, PlannedChange::ChangeReplicas { change, .. } if *change == promote)
        })
    };
    let made = model.settle();
    assert!(!promoted(&made));
    model.behind.clear();
    let made = model.settle();
    assert!(promoted(&made));
}

#[test]
fn a_lost_learner_is_replaced() {
    let mut model = Model::new(&[1, 2, 3, 4, 5]);
    let (group, conf) = model.confs.iter().next().unwrap();
    let (group, learner) = (*group, *conf.learners.first().unwrap());
    model.alive.remove(&learner);
    model.settle();
    let conf = &model.confs[&group];
    assert_eq!(conf.learners.len(), 1);
    assert!(!conf.contains(learner));
}

#[test]
fn placement_is_unchanged_without_a_free_store() {
    let mut model = Model::new(&[1, 2, 3]);
    model.alive.remove(&NodeId(2));
    assert_eq!(model.plan(), vec![]);
}

#[test]
fn an_empty_store_at_the_address_of_a_lost_one_gets_its_replicas() {
    let mut model = Model::new(&[1, 2, 3]);
    model.alive.remove(&NodeId(2));
    let mut fresh = store(9, 2);
    fresh.address = model.store_mut(NodeId(2)).address;
    fresh.incarnation = Incarnation(2);
    model.meta.stores.push(fresh);
    model.alive.insert(NodeId(9));
    model.behind.insert(NodeId(9));
    model.settle();
    assert!(model.confs.values().all(|c| c.learners.contains(&NodeId(9))));
    model.behind.clear();
    model.settle();
    model.assert_zones_apart();
    assert!(model.confs.values().all(|c| c.voters.contains(&NodeId(9))));
    assert_eq!(model.store_mut(NodeId(2)).state, StoreState::Removed);
}

#[test]
fn a_retiring_store_is_emptied_and_removed() {
    let mut model = Model::new(&[1, 2, 3, 4, 5]);
    model.store_mut(NodeId(3)).state = StoreState::Retiring;
    let made = model.settle();
    assert_eq!(model.replicas(NodeId(3)), 0);
    let removed = PlannedChange::RemoveStore { node: NodeId(3) };
    assert_eq!(made.iter().filter(|change| **change == removed).count(), 1);
    assert_eq!(model.store_mut(NodeId(3)).state, StoreState::Removed);
    model.assert_zones_apart();
}

#[test]
fn an_added_store_gets_its_share() {
    let mut model = Model::new(&[1, 2, 3, 4]);
    model.meta.stores.push(store(5, 5));
    model.alive.insert(NodeId(5));
    model.settle();
    model.assert_zones_apart();
    let replicas: Vec<_> = (1..=5).map(|node| model.replicas(NodeId(node))).collect();
    assert!(replicas.iter().all(|count| (13..=14).contains(count)), "{replicas:?}");
    assert!(model.confs.values().all(|c| c.voters.len() == 3 && c.learners.len() == 1));
}

#[test]
fn no_members_are_changed_in_groups_without_a_leader() {
    let mut model = Model::new(&[1, 2, 3, 4]);
    model.alive = [NodeId(1)].into();
    let changes_members =
        model.plan().iter().any(|change| matches!(change, PlannedChange::ChangeReplicas { .. }));
    assert!(!changes_members);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// After any sequence of lost, returning, retiring and added stores, planning ends and every
    /// group has three living voters in three zones.
    #[test]
    fn planning_converges_with_every_group_fully_replicated(events in prop::collection::vec((0..4_u8, any::<u8>()), 1..8)) {
        let mut model = Model::new(&[1, 2, 3, 4, 5]);
        for (kind, pick) in events {
            let usable: Vec<NodeId> = model.meta.stores.iter()
                .filter(|s| s.state == StoreState::Active && model.alive.contains(&s.node))
                .map(|s| s.node)
                .collect();
            let picked = usable[usize::from(pick) % usable.len()];
            match kind {
                0 if usable.len() > 4 => { model.alive.remove(&picked); }
                1 if usable.len() > 4 => model.store_mut(picked).state = StoreState::Retiring,
                2 => {
                    let next = model.meta.stores.len() as u64 + 1;
                    model.meta.stores.push(store(next, next));
                    model.alive.insert(NodeId(next));
                }
                _ => {
                    let all: Vec<_> = model.meta.stores.iter().map(|s| s.node).collect();
                    model.alive.insert(all[usize::from(pick) % all.len()]);
                }
            }
            model.settle();
            model.assert_zones_apart();
            for conf in model.confs.values() {
                prop_assert_eq!((conf.voters.len(), conf.learners.len()), (3, 1));
                prop_assert!(conf.members().all(|node| model.alive.contains(&node)));
            }
        }
    }
}

/// In a cluster that tolerates two losses, a group has five voters, and a learner only while a lost
/// voter has to be replaced.
#[test]
fn a_group_of_five_gets_a_learner_only_when_a_voter_is_lost() {
    let zones = [1, 2, 3, 4, 5, 1, 2, 3];
    let mut model = Model::with_voters(&zones, 5);
    let is_whole =
        |placement: &GroupPlacement| placement.voters.len() == 5 && placement.learners.is_empty();
    assert!(model.meta.placements.values().all(is_whole));
    assert_eq!(model.settle(), []);
    for lost in [1, 6] {
        model.alive.remove(&NodeId(lost));
        assert!(!model.settle().is_empty());
        assert!(model.meta.placements.values().all(is_whole));
        let holds = |placement: &GroupPlacement| placement.voters.contains(&NodeId(lost));
        assert!(!model.meta.placements.values().any(holds));
    }
}
